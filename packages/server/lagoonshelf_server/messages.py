"""Typed messages of the peer protocol; field names match the schema."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a connection."""

    member: str
    proof: str
    address: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Owned:
    """A partition owned by the sender and its free room."""

    partition: int
    epoch: int
    active: bool
    free_cpu_milli: int = 0
    free_memory_mib: int = 0
    free_accelerators: int = 0
    free_slots: int = 0
    queued: int = 0


@dataclass(frozen=True, slots=True)
class TeamUse:
    """What a team runs in the sender's partitions."""

    team: str
    cpu_milli: int
    slots: int


@dataclass(frozen=True, slots=True)
class Status:
    """State of a member, sent in pings and pongs.

    :param promise_ms: how long the sender takes over no partition, 0 for no promise
    :param fresh_ms: how long the sender's configuration still counts as fresh, 0 when stale
    """

    member: str
    revision: int
    store_reached: bool
    promise_ms: int
    draining: bool
    owned: tuple[Owned, ...] = ()
    use: tuple[TeamUse, ...] = ()
    fresh_ms: int = 0


@dataclass(frozen=True, slots=True)
class Submit:
    """A caller's request on its way to the owner.

    :param retry: whether the entry process has sent it before
    """

    team: str
    key_id: str
    queue: str
    request_key: str
    kind: str
    repeatable: bool
    cpu_milli: int
    memory_mib: int
    accelerators: int
    run_ms: int
    tasks: int
    payload: str
    timeout_ms: int
    deadline_wall_ms: int = 0
    retry: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """The owner's answer to a caller's request.

    :param code: number of the result code
    :param waited_ms: time between arrival at the owner and the first start
    """

    code: int
    message: str = ""
    retry_after_ms: int = 0
    state: str = ""
    result: str = ""
    request_key: str = ""
    task_ids: tuple[str, ...] = ()
    finished: int = 0
    failed: int = 0
    total: int = 0
    waited_ms: int = 0


@dataclass(frozen=True, slots=True)
class RequestRef:
    """Names a request, for status and cancel."""

    team: str
    key_id: str
    request_key: str


@dataclass(frozen=True, slots=True)
class TaskMeta:
    """What a worker keeps of a task besides its payload."""

    task: str
    attempt: int
    home: int
    epoch: int
    team: str
    queue: str
    request_key: str
    kind: str
    work_class: int
    repeatable: bool
    cpu_milli: int
    memory_mib: int
    accelerators: int
    run_ms: int
    index: int
    digest: str


@dataclass(frozen=True, slots=True)
class Delegate:
    """Asks the owner of another partition to start a task at once.

    :param epoch: the owner that is asked; any other one refuses
    """

    partition: int
    home_epoch: int
    meta: TaskMeta
    payload: str
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class DelegateReply:
    """Tells whether a delegated task was taken; if not, it did not run."""

    accepted: bool
    code: int


@dataclass(frozen=True, slots=True)
class DelegateDone:
    """Reports the end of a delegated task to its home owner.

    :param state: the worker's state of the task, or refused or lost
    """

    partition: int
    meta: TaskMeta
    code: int
    result: str
    state: str = ""


@dataclass(frozen=True, slots=True)
class DelegateQuery:
    """Asks an owner for the delegated tasks of a home partition."""

    partition: int
    home: int
    home_epoch: int


@dataclass(frozen=True, slots=True)
class DelegateState:
    """A delegated task and its state.

    :param partition: where it runs or ran
    :param epoch: the owner that answers
    """

    meta: TaskMeta
    state: str
    result: str = ""
    partition: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class DelegateStates:
    """Delegated tasks of a home partition.

    :param complete: whether all workers of the partition were read
    :param boots: name and boot id of each worker that was read
    """

    complete: bool
    tasks: tuple[DelegateState, ...] = ()
    boots: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DelegateStop:
    """Asks the owner that runs a delegated task to stop it."""

    partition: int
    home: int
    home_epoch: int
    task: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Announces a new owner; lower epochs of the partition are refused from now on."""

    partition: int
    epoch: int
    member: str


@dataclass(frozen=True, slots=True)
class FenceReply:
    """Confirms a fence and returns the partition's delegated tasks.

    :param partitions: partitions for which the answer is complete
    """

    accepted: bool
    tasks: tuple[DelegateState, ...] = ()
    partitions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class GrantAsk:
    """Asks an owner to give back idle grant of a team."""

    team: str
    partition: int
    tasks: int
    cpu_milli: int


@dataclass(frozen=True, slots=True)
class ConfigAsk:
    """Asks for the configuration changes after a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class ConfigReply:
    """Configuration changes in order, each the text of a store value."""

    revision: int
    changes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Plain reply.

    :param code: number of the result code
    """

    code: int
    message: str = ""


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A job that was stored, or is to be stored, by its durable record."""

    job: str
    record: str


@dataclass(frozen=True, slots=True)
class JobRef:
    """A job by its id."""

    job: str


@dataclass(frozen=True, slots=True)
class JobStateReply:
    """State of a job; empty when the holder does not know the job."""

    is_holder: bool
    state: str


@dataclass(frozen=True, slots=True)
class QueueCount:
    """Jobs of a queue of which no task has started."""

    queue: str
    count: int


@dataclass(frozen=True, slots=True)
class Pulse:
    """Sign of life of a member to the holder of the cell.

    :param seat: revision of the seat that the sender knows
    :param store_age_ms: time since the store last answered the sender
    :param is_store_troubled: a call to the store failed or was slow lately
    :param cores_milli: processors of the sender's host
    """

    member: str
    address: str
    seat: int
    store_age_ms: int
    is_store_troubled: bool = False
    cores_milli: int = 0


@dataclass(frozen=True, slots=True)
class PeerState:
    """What the holder knows of another member."""

    address: str
    store_age_ms: int


@dataclass(frozen=True, slots=True)
class PulseReply:
    """The answer to a sign of life, with the seat that the sender knows.

    :param is_ready: the holder has read all jobs, so that its counts are whole
    """

    is_holder: bool
    seat: int
    store_age_ms: int
    pending: tuple[QueueCount, ...] = ()
    members: tuple[PeerState, ...] = ()
    holder: str = ""
    holder_address: str = ""
    is_ready: bool = False


@dataclass(frozen=True, slots=True)
class AdviceAsk:
    """The holder asks a member to ask the placement policy."""

    step: str
    workers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission for one worker."""

    worker: str
    permit: str


@dataclass(frozen=True, slots=True)
class Advice:
    """What the placement policy answered."""

    is_answered: bool
    permits: tuple[Permit, ...] = ()


@dataclass(frozen=True, slots=True)
class Relayed:
    """What became of a change that another member wrote into the store."""

    outcome: str


Body = (
    Hello
    | Status
    | Submit
    | Answer
    | RequestRef
    | Delegate
    | DelegateReply
    | DelegateDone
    | DelegateQuery
    | DelegateStates
    | DelegateStop
    | Fence
    | FenceReply
    | GrantAsk
    | ConfigAsk
    | ConfigReply
    | Ack
    | JobRecord
    | JobRef
    | JobStateReply
    | Pulse
    | PulseReply
    | AdviceAsk
    | Advice
    | Relayed
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its number.

    :param kind: name of the union member in the schema
    :param reply: whether it answers the message with the same number
    """

    id: int
    kind: str
    body: Body
    reply: bool = False
