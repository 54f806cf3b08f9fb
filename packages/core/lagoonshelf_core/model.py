"""Data types shared by the scheduling modules."""

from dataclasses import dataclass, field
from enum import Enum

from lagoonshelf_core.ids import (
    Epoch,
    FailureDomain,
    PartitionId,
    QueueId,
    RackId,
    RequestKey,
    TaskId,
    TeamId,
    WorkerId,
)
from lagoonshelf_core.resources import Resources


class WorkKind(Enum):
    """Kinds of work."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class WorkClass(Enum):
    """Priority class of a queue; the lowest number is scheduled first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class TaskState(Enum):
    """States of a task; ``charts/task.toml`` defines the transitions."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class WorkerState(Enum):
    """States of a worker as its partition's owner sees it."""

    UNREAD = "unread"
    READY = "ready"
    SET_ASIDE = "set_aside"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A validated request from a client.

    :param size: resources of one task
    :param run_ms: declared run time of one task, 0 when not declared
    :param tasks: number of tasks (batch, gang) or replicas (service); 1 when interactive
    :param timeout_ms: how long the client of an interactive request waits for the result
    :param deadline_wall_ms: wall time by which the work should be finished, 0 for none
    """

    team: TeamId
    queue: QueueId
    request_key: RequestKey
    kind: WorkKind
    repeatable: bool
    size: Resources
    run_ms: int
    tasks: int
    payload: str
    timeout_ms: int
    deadline_wall_ms: int = 0


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """Description of a worker in the platform's host list.

    :param address: base URL of the worker's API
    :param boot_id: id that changes each time the worker starts
    :param fencing: whether the worker rejects commands with an old epoch
    """

    worker: WorkerId
    address: str
    failure_domain: FailureDomain
    rack: RackId
    capacity: Resources
    leaving: bool = False
    fencing: bool = True
    boot_id: str = ""


@dataclass(slots=True)
class Task:
    """One task of a request, owned by its home partition.

    :param index: index of the task within its request
    :param attempt: number of starts, 0 before the first
    :param reserved: resources reserved on the worker, at least the declared size
    """

    task: TaskId
    team: TeamId
    queue: QueueId
    request_key: RequestKey
    kind: WorkKind
    work_class: WorkClass
    repeatable: bool
    size: Resources
    run_ms: int
    index: int
    queued_ms: int
    home: PartitionId
    epoch: Epoch
    payload: str = ""
    attempt: int = 0
    state: TaskState = TaskState.QUEUED
    worker: WorkerId | None = None
    started_ms: int = 0
    reserved: Resources = field(default_factory=Resources)
    gang_size: int = 1
    failures: int = 0
    deadline_wall_ms: int = 0
