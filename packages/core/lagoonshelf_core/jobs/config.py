"""Configuration of queues, teams and pools that is in force."""

from dataclasses import dataclass, field
from typing import NewType

from lagoonshelf_core.ids import QueueId, TeamId
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources

PoolId = NewType("PoolId", str)

DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 262_144
DEFAULT_HEADER_TIMEOUT_MS = 3_000
DEFAULT_IDLE_TIMEOUT_MS = 15_000


@dataclass(frozen=True, slots=True)
class AdviceTiming:
    """What asking the placement policy of a queue costs.

    :param base_ms: time of one call
    :param per_worker_ms: further time for each worker named
    :param valid_ms: how long a permission is accepted
    """

    base_ms: float
    per_worker_ms: float
    valid_ms: int


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue that callers hand jobs in to.

    :param host: host name of the queue's address
    :param prefix: beginning of the paths of its jobs
    :param pool: pool of workers that run its tasks
    :param priority: 0 comes first
    :param max_failures: failed runs of one task after which its job has failed
    :param stretch: allowed waiting, as a multiple of the job's longest chain of work
    :param latency_ms: allowance beside ``stretch``
    :param advice: terms of the placement policy, none where every worker is allowed
    :param is_public: no key is needed
    """

    id: QueueId
    host: str
    prefix: str
    pool: PoolId
    priority: int = 0
    max_failures: int = 1
    stretch: float = 1.0
    latency_ms: int = 0
    advice: AdviceTiming | None = None
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class Team:
    """A team that hands in jobs.

    :param weight: share when all is full; also the jobs a second it is entitled to
    :param limit: most it may have running; an amount of 0 means no limit
    """

    id: TeamId
    weight: float = 1.0
    limit: Resources = ZERO_RESOURCES


@dataclass(frozen=True, slots=True)
class Pool:
    """Workers that serve the same queues.

    :param checks_capacity: its workers refuse what does not fit
    :param is_standby: its machines are off
    """

    id: PoolId
    checks_capacity: bool = False
    is_standby: bool = False


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds on callers' requests."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_ms: int = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class CellConfig:
    """One version of the configuration.

    :param team_of_key: teams by the keys that callers send
    """

    version: int
    queues: dict[QueueId, Queue] = field(default_factory=dict)
    teams: dict[TeamId, Team] = field(default_factory=dict)
    team_of_key: dict[str, TeamId] = field(default_factory=dict)
    pools: dict[PoolId, Pool] = field(default_factory=dict)
    http: HttpLimits = HttpLimits()
