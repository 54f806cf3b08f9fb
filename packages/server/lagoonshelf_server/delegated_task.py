"""What an owner knows of its delegated tasks, and how delegation reaches its partition."""

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
    """What is known of a delegated task."""

    REQUESTED = "asking"
    RUNNING = "running"
    ENDING = "ending"


@dataclass(slots=True)
class DelegatedTask:
    """A delegated task.

    :param epoch: owner that was asked last, or that runs it
    :param boots: workers of that partition and their boot ids when it was sent
    :param busy: whether a message about it is on its way
    :param stopping: whether it should end
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
    """How delegation reaches its partition.

    :param epoch: epoch of the owner
    :param lost: whether the partition is given up for good
    :param may_act: whether this process still owns the partition
    :param is_active: whether the partition is active too
    :param journal: makes entries durable
    :param started: another owner has taken the task
    :param unwritten: a task was not sent, as its intent could not be journaled
    :param requeue: a task waits here again
    :param end: stores the outcome of a task
    :param adopt: finds or makes the task and the record of what another owner reports
    :param lacks_grant: whether a waiting task was held back by its team's grant
    :param digest_of: content hash of a task's request
    :param spawn: starts a coroutine on the loop
    """

    epoch: Callable[[], Epoch]
    lost: Callable[[], bool]
    may_act: Callable[[], bool]
    is_active: Callable[[], bool]
    journal: Callable[[list[Entry]], Awaitable[None]]
    started: Callable[[Task], None]
    not_journaled: Callable[[Task], None]
    requeue: Callable[[Task], None]
    store_outcome: Callable[[Task, Outcome], Awaitable[None]]
    adopt: Callable[[TaskMeta], Task | None]
    lacks_grant: Callable[[Task], bool]
    digest_of: Callable[[Task], str]
    spawn: Callable[[Coroutine], object]


def intent_of(delegated: DelegatedTask, digest: str) -> IntentEntry:
    """Return the intent to give a task to another partition.

    Its boot id stands for all workers of that partition when the task is sent.

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
