"""Typed messages of the peer protocol; field names match the schema."""

from dataclasses import dataclass

from lagoonshelf_core.jobs.job_memory import TeamMemory
from lagoonshelf_core.jobs.load_forecast import PoolForecast


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a connection.

    :param proof: HMAC of the member name under the cluster secret
    """

    member: str
    proof: str
    address: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Owned:
    """A partition owned by the sender, with its free capacity."""

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
    """A client's request, sent to the owner of its partition.

    :param retry: whether the process that accepted the request has sent it before
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
    """The owner's answer to a client's request.

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
    """Reference to a request, for status and cancel."""

    team: str
    key_id: str
    request_key: str


@dataclass(frozen=True, slots=True)
class TaskMeta:
    """Metadata of a task that its worker stores besides the payload.

    :param home: home partition of the task
    :param epoch: epoch of the home owner that created the task
    :param digest: content hash of the task's request
    """

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
    """Request to the owner of another partition to start a task at once.

    :param epoch: epoch of the addressed owner; an owner with another epoch rejects the request
    """

    partition: int
    home_epoch: int
    meta: TaskMeta
    payload: str
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class DelegateReply:
    """Whether a delegated task was accepted; a task that was not accepted did not run."""

    accepted: bool
    code: int


@dataclass(frozen=True, slots=True)
class DelegateDone:
    """End of a delegated task, reported to its home owner.

    :param state: state of the task reported by the worker, or refused or lost
    """

    partition: int
    meta: TaskMeta
    code: int
    result: str
    state: str = ""


@dataclass(frozen=True, slots=True)
class DelegateQuery:
    """Request for the delegated tasks of a home partition that an owner knows."""

    partition: int
    home: int
    home_epoch: int


@dataclass(frozen=True, slots=True)
class DelegateState:
    """A delegated task and its state.

    :param partition: partition in which it runs or ran
    :param epoch: epoch of the owner that answers
    """

    meta: TaskMeta
    state: str
    result: str = ""
    partition: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class DelegateStates:
    """Delegated tasks of a home partition.

    :param complete: whether all workers of the partition have been read
    :param boots: name and boot id of each worker that has been read
    """

    complete: bool
    tasks: tuple[DelegateState, ...] = ()
    boots: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DelegateStop:
    """Request to the owner that runs a delegated task to stop it."""

    partition: int
    home: int
    home_epoch: int
    task: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Announcement of a new owner; receivers reject lower epochs of the partition from then on."""

    partition: int
    epoch: int
    member: str


@dataclass(frozen=True, slots=True)
class FenceReply:
    """Reply to a fence, with the delegated tasks of the fenced partition.

    :param partitions: partitions for which the answer is complete
    """

    accepted: bool
    tasks: tuple[DelegateState, ...] = ()
    partitions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class GrantAsk:
    """Request to an owner to return unused grant of a team."""

    team: str
    partition: int
    tasks: int
    cpu_milli: int


@dataclass(frozen=True, slots=True)
class ConfigAsk:
    """Request for the configuration changes after a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class ConfigReply:
    """Configuration changes in order, each as the store value."""

    revision: int
    changes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Reply without data.

    :param code: number of the result code
    """

    code: int
    message: str = ""


@dataclass(frozen=True, slots=True)
class JobRecord:
    """Durable record of a job that has been stored or is to be stored.

    :param created: store revision at which the record was created, 0 if it is not stored yet
    """

    job: str
    record: str
    created: int = 0


@dataclass(frozen=True, slots=True)
class JobRef:
    """Reference to a job by its id."""

    job: str


@dataclass(frozen=True, slots=True)
class JobStateReply:
    """State of a job; empty if the leader does not know the job.

    :param is_holder: whether the sender is the leader
    """

    is_holder: bool
    state: str


@dataclass(frozen=True, slots=True)
class QueueCount:
    """Number of jobs in a queue of which no task has started."""

    queue: str
    count: int


@dataclass(frozen=True, slots=True)
class Pulse:
    """Heartbeat of a member to the leader of the cell.

    :param seat: latest revision of the leader lease that the sender knows
    :param store_age_ms: time since the store last answered the sender
    :param is_store_troubled: whether a recent call to the store failed or was slow
    :param cores_milli: CPU cores of the sender's host, in thousandths
    :param suits_leader: whether the sender's host has the cores and the link of a leader
    :param memory_mb: memory of the sender's host, 0 if it does not report it
    """

    member: str
    address: str
    seat: int
    store_age_ms: int
    is_store_troubled: bool = False
    cores_milli: int = 0
    suits_leader: bool = False
    memory_mb: int = 0


@dataclass(frozen=True, slots=True)
class PeerState:
    """State of another member as known to the leader."""

    address: str
    store_age_ms: int


@dataclass(frozen=True, slots=True)
class PulseReply:
    """Reply to a heartbeat.

    :param is_holder: whether the sender is the leader
    :param seat: latest revision of the leader lease that the sender knows
    :param holder: member that the sender knows as the leader
    :param members: some members that reach the store
    :param is_ready: whether the leader has read all jobs, so that its counts are complete
    :param interval_ms: time until the next heartbeat, 0 for the default
    :param config_version: configuration in force at the sender, 0 if it is not the leader
    :param config_age_ms: time since the sender read the configuration from the store
    :param forecasts: load of the pools; empty if the leader computes none
    :param forecast_age_ms: time since the leader computed them
    :param held_bytes: estimated memory of the jobs at the leader
    :param max_bytes: memory that they may take, 0 if it is not known
    :param teams: memory by team; empty while no team can have reached its share
    """

    is_holder: bool
    seat: int
    store_age_ms: int
    pending: tuple[QueueCount, ...] = ()
    members: tuple[PeerState, ...] = ()
    holder: str = ""
    holder_address: str = ""
    is_ready: bool = False
    interval_ms: int = 0
    config_version: int = 0
    config_age_ms: int = 0
    forecasts: tuple[PoolForecast, ...] = ()
    forecast_age_ms: int = 0
    held_bytes: int = 0
    max_bytes: int = 0
    teams: tuple[TeamMemory, ...] = ()


@dataclass(frozen=True, slots=True)
class AdviceAsk:
    """Advice request that the leader forwards to a member, which calls the placement policy."""

    step: str
    workers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to place work on one worker."""

    worker: str
    permit: str


@dataclass(frozen=True, slots=True)
class Advice:
    """Advice returned by the placement policy."""

    is_answered: bool
    permits: tuple[Permit, ...] = ()


@dataclass(frozen=True, slots=True)
class Relayed:
    """Outcome of a change that another member wrote into the store."""

    outcome: str


@dataclass(frozen=True, slots=True)
class ConfigCopyAsk:
    """Request for a member's copy of the configuration.

    :param revision: revision of the sender's copy, 0 for none
    """

    revision: int


@dataclass(frozen=True, slots=True)
class ConfigCopy:
    """Configuration as the sender read it from the store.

    :param revision: revision of its key in the store
    :param document: value of the key, empty if the receiver has this revision or the sender none
    :param age_ms: time since the store is known to have held it
    """

    revision: int
    document: bytes
    age_ms: int


@dataclass(frozen=True, slots=True)
class WhereText:
    """Description of a job, or the report where it would start, as JSON."""

    text: str


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
    | ConfigCopyAsk
    | ConfigCopy
    | WhereText
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its id.

    :param kind: name of the union member in the schema
    :param reply: whether it is the reply to the message with the same id
    """

    id: int
    kind: str
    body: Body
    reply: bool = False
