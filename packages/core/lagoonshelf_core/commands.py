"""Commands issued by a scheduling pass."""

from dataclasses import dataclass

from lagoonshelf_core.ids import QueueId, TaskId, WorkerId


@dataclass(frozen=True, slots=True)
class Start:
    """Start a task on a worker; its resources are already allocated."""

    task: TaskId
    worker: WorkerId


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a running task.

    :param requeue: whether the task is requeued afterwards
    :param checkpoint: whether the worker saves the task's progress first
    """

    task: TaskId
    worker: WorkerId
    requeue: bool
    checkpoint: bool = False


@dataclass(frozen=True, slots=True)
class Throttle:
    """Limit a task's processor use.

    :param percent: percentage of the declared processor amount, 100 to lift the limit
    """

    task: TaskId
    worker: WorkerId
    percent: int


@dataclass(frozen=True, slots=True)
class Warm:
    """Warm up slots of a worker for a queue.

    :param slots: number of slots that should be warm
    """

    worker: WorkerId
    queue: QueueId
    slots: int


@dataclass(frozen=True, slots=True)
class GiveUp:
    """End a queued task that cannot run; the reason is returned to the client."""

    task: TaskId
    reason: str


@dataclass(frozen=True, slots=True)
class DeadlineWarning:
    """Warn operators of a deadline that is forecast to be missed.

    :param reason: short text with the queue and the time
    """

    queue: QueueId
    reason: str


Command = Start | Stop | Throttle | Warm | GiveUp | DeadlineWarning
