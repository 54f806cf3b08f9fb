"""Commands that a scheduling pass gives to the runtime."""

from dataclasses import dataclass

from lagoonshelf_core.ids import QueueId, TaskId, WorkerId


@dataclass(frozen=True, slots=True)
class Start:
    """Start a task on a worker; its resources are reserved already."""

    task: TaskId
    worker: WorkerId


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a running task.

    :param requeue: whether the task waits for another start afterwards
    :param checkpoint: whether the worker saves the task's progress first
    """

    task: TaskId
    worker: WorkerId
    requeue: bool
    checkpoint: bool = False


@dataclass(frozen=True, slots=True)
class Throttle:
    """Limit a task's processor use.

    :param percent: share of the declared processor amount, 100 to lift the limit
    """

    task: TaskId
    worker: WorkerId
    percent: int


@dataclass(frozen=True, slots=True)
class Warm:
    """Prepare slots of a worker for a queue.

    :param slots: number of slots that should be warm
    """

    worker: WorkerId
    queue: QueueId
    slots: int


@dataclass(frozen=True, slots=True)
class GiveUp:
    """End a queued task that cannot run; the reason is shown to the caller."""

    task: TaskId
    reason: str


@dataclass(frozen=True, slots=True)
class DeadlineWarning:
    """Tell operators about a forecast.

    :param reason: short text that names the queue and the time
    """

    queue: QueueId
    reason: str


Command = Start | Stop | Throttle | Warm | GiveUp | DeadlineWarning
