"""Configuration in force: queues, teams and pools."""

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
    """Timing of advice requests to the placement policy of a queue.

    :param base_ms: time of one request
    :param per_worker_ms: additional time for each worker in the request
    :param valid_ms: validity of a permit
    """

    base_ms: float
    per_worker_ms: float
    valid_ms: int


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue that clients submit jobs to.

    :param host: host name of the queue's address
    :param prefix: prefix of the paths of its jobs
    :param pool: pool of workers that run its tasks
    :param priority: 0 is the highest priority
    :param max_failures: failed runs of one task, or failed attempts of one gang, after which the
        job fails
    :param stretch: target time from receipt to end, as a multiple of the job's critical path
    :param latency_ms: time added to the target beside ``stretch``
    :param advice: timing of the placement policy, None when every worker is allowed
    :param is_public: no client key is required
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
    """A team that submits jobs.

    :param weight: share of the team under overload, as the jobs per second that it is entitled
        to; jobs above this rate are excess
    :param limit: resources that its runs may use at once; an amount of 0 means no limit
    """

    id: TeamId
    weight: float = 1.0
    limit: Resources = ZERO_RESOURCES


@dataclass(frozen=True, slots=True)
class Pool:
    """Workers that serve the same queues.

    :param checks_capacity: its workers reject tasks that do not fit
    :param is_standby: its machines are powered off
    :param cold_start_ms: time for which its workers are slow after their start, 0 if unknown
    :param cold_starts_per_s: starts on such workers together, 0 for no limit
    """

    id: PoolId
    checks_capacity: bool = False
    is_standby: bool = False
    cold_start_ms: int = 0
    cold_starts_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on client requests."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_ms: int = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class CellConfig:
    """One version of the configuration.

    :param team_of_key: teams by client key
    """

    version: int
    queues: dict[QueueId, Queue] = field(default_factory=dict)
    teams: dict[TeamId, Team] = field(default_factory=dict)
    team_of_key: dict[str, TeamId] = field(default_factory=dict)
    pools: dict[PoolId, Pool] = field(default_factory=dict)
    http: HttpLimits = HttpLimits()
