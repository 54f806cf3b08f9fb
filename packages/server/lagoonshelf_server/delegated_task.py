"""Tasks delegated to other partitions, and the callbacks that delegation uses."""

from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from enum import Enum

from lagoonshelf_core.ids import Epoch, PartitionId
from lagoonshelf_core.journal import Entry, IntentEntry
from lagoonshelf_core.model import Task
from lagoonshelf_core.records import Outcome
from lagoonshelf_server.hosting import boots_digest
from lagoonshelf_server.messages import TaskMeta

STOP_INTERVAL_MS = 500


class DelegationState(Enum):
    """State of a delegated task as its home owner knows it."""

    REQUESTED = "asking"
    RUNNING = "running"
    ENDING = "ending"


@dataclass(slots=True)
class DelegatedTask:
    """A task that this partition has delegated to another one.

    :param partition: partition that runs the task
    :param epoch: epoch of the owner that last got the request, or that runs the task
    :param boots: workers of that partition and their boot ids when the task was sent
    :param busy: whether a message about the task is in flight
    :param stopping: whether a stop of the task has been requested
    """

    task: Task
    partition: PartitionId
    epoch: Epoch
    boots: frozenset[str]
    state: DelegationState = DelegationState.REQUESTED
    busy: bool = False
    stopping: bool = False
    stop_sent_ms: int = -STOP_INTERVAL_MS


@dataclass(frozen=True, slots=True)
class DelegationHooks:
    """Callbacks from delegation into its partition.

    :param epoch: epoch of the owner
    :param is_lost: whether ownership of the partition has ended for good
    :param may_act: whether this process still owns the partition
    :param is_active: whether, in addition, the partition is active
    :param journal: makes entries durable
    :param on_started: called when another owner has accepted the task
    :param on_intent_failed: called for a task that was not sent because its intent could not
        be journaled
    :param requeue: puts a task back into the queue of this partition
    :param store_outcome: stores the outcome of a task
    :param adopt: finds or creates the task, with its record, that another owner reports; none if
        it already has an outcome
    :param lacks_grant: whether a waiting task could not start for lack of its team's grant
    :param digest_of: content hash of a task's request
    :param spawn: starts a coroutine on the event loop
    """

    epoch: Callable[[], Epoch]
    is_lost: Callable[[], bool]
    may_act: Callable[[], bool]
    is_active: Callable[[], bool]
    journal: Callable[[list[Entry]], Awaitable[None]]
    on_started: Callable[[Task], None]
    on_intent_failed: Callable[[Task], None]
    requeue: Callable[[Task], None]
    store_outcome: Callable[[Task, Outcome], Awaitable[None]]
    adopt: Callable[[TaskMeta], Task | None]
    lacks_grant: Callable[[Task], bool]
    digest_of: Callable[[Task], str]
    spawn: Callable[[Coroutine], object]


def intent_of(delegated: DelegatedTask, digest: str) -> IntentEntry:
    """Return the journal entry for the intent to delegate a task.

    Its boot id is a digest over the boot ids of all workers of the target partition at the time
    of sending.

    :param digest: content hash of the request
    """
    task = delegated.task
    return IntentEntry(
        task.task,
        task.attempt,
        "",
        boots_digest(delegated.boots),
        delegated.partition,
        task.team,
        task.request_key,
        digest,
        task.index,
    )
