"""Workers of the cell, their state and their runs."""

from dataclasses import dataclass, field
from enum import Enum

from lagoonshelf_core.ids import FailureDomain, RackId, WorkerId
from lagoonshelf_core.jobs.config import PoolId
from lagoonshelf_core.jobs.progress import SETTLE_MS, Run
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources

# A worker shortens longer leases to this duration.
MAX_LEASE_MS = 10_000
# A worker may carry out a call that it has not answered up to this much later.
MAX_CALL_DELAY_MS = 12_000
# A worker's clock may run slow by this share.
MAX_CLOCK_DRIFT = 0.02
# A worker that reports to be slow for longer after its start is taken to be so for this long.
MAX_COLD_MS = 600_000
# Time that a worker takes to end the runs of an expired lease, with a margin.
LEASE_END_MARGIN_MS = 1_000


class WorkerLoss(Enum):
    """How a worker lost its runs.

    ``RESTARTED``: another incarnation is in its place. ``LAPSED``: it has not answered until the
    lease of its runs had lapsed; it may have crashed or may be cut off.
    """

    RESTARTED = "restarted"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class LossRecord:
    """The loss of a worker.

    :param lost_ms: time of its first call without an answer
    :param had_isolated_runs: it had just been given a task that may crash its workers
    """

    lost_ms: int
    address: str
    rack: RackId
    had_isolated_runs: bool


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker's entry in the registry.

    :param born_ms: start of this incarnation, Unix milliseconds
    :param remaining_ms: minimum time that a draining worker remains available
    :param cold_left_ms: how much longer the worker is slow after its start
    """

    id: WorkerId
    address: str
    pool: PoolId
    domain: FailureDomain
    rack: RackId
    labels: frozenset[str]
    capacity: Resources
    born_ms: int
    is_draining: bool = False
    remaining_ms: int = 0
    # It counts down in each report, which is no change of the worker.
    cold_left_ms: int = field(default=0, compare=False)


@dataclass(slots=True, eq=False)
class Worker:
    """A worker and the runs with resources allocated on it.

    :param is_listed: in the registry
    :param is_read: this leader has read its runs
    :param is_recorded: a later leader would know from the store that it may have runs
    :param reported_ms: time of its last report of runs
    :param heard_ms: time of its last answer of any kind to this leader
    :param lease_lapse_ms: clock time by which the leases that this leader has granted have lapsed
    :param min_lapse_ms: clock time until which other leases may last: those of a former leader,
        and those that calls for a former incarnation have granted
    :param has_restarted: another incarnation was in its place before, as far as is known
    :param min_token: lowest fencing token of calls to it; calls for a former incarnation have
        lower ones, so that it refuses them once it has seen this one
    :param drain_end_ms: clock time until which a draining worker remains available
    :param cold_end_ms: clock time until which it is slow after its start
    :param cold_ms: longest time that it was known to stay slow, 0 if it was not
    :param used: sum of the allocations of its runs
    :param unknown_runs: number of its runs whose tasks, and so whose sizes, are not known
    :param blocks_inherited: may run tasks of a previous leader, and has not been read since
    :param is_full: it has refused a start for want of room, and has not reported itself or ended a
        run since
    :param registered_ms: time at which its registry entry, and so its capacity, was current
    :param silent_since_ms: time since which it has not answered, 0 while it answers
    :param isolated_runs: runs of suspected tasks that have not settled; it gets no other work
        meanwhile, so that only they can be the cause if it crashes
    :param speed_class: class of its speed relative to its pool, 0 for the mean
    :param is_slow: marked slow; it gets new tasks only where no other worker has room
    """

    info: WorkerInfo
    is_listed: bool = True
    is_read: bool = False
    is_recorded: bool = False
    reported_ms: int = 0
    heard_ms: int = 0
    lease_lapse_ms: int = 0
    min_lapse_ms: int = 0
    has_restarted: bool = False
    min_token: int = 0
    drain_end_ms: int = 0
    cold_end_ms: int = 0
    cold_ms: int = 0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    used: Resources = ZERO_RESOURCES
    unknown_runs: int = 0
    services: int = 0
    fillers: int = 0
    is_maintenance_due: bool = False
    blocks_inherited: bool = False
    is_full: bool = False
    registered_ms: int = 0
    silent_since_ms: int = 0
    isolated_runs: set[Run] = field(default_factory=set)
    speed_class: int = 0
    is_slow: bool = False

    @property
    def id(self) -> WorkerId:
        """Return the worker's id."""
        return self.info.id

    @property
    def is_overfull(self) -> bool:
        """Return whether it has shrunk below what its runs, also those starting, need."""
        return not self.used.fits_in(self.info.capacity)

    @property
    def is_usable(self) -> bool:
        """Return whether the worker may get new tasks."""
        return (
            self.is_listed
            and self.is_read
            and not self.info.is_draining
            and not self.is_maintenance_due
            and not self.unknown_runs
            and not self.isolated_runs
            and not self.is_full
        )

    def is_cold(self, now_ms: int) -> bool:
        """Return whether it is slow since its start."""
        return now_ms < self.cold_end_ms

    def record_cold(self, now_ms: int) -> None:
        """Record until when it is slow, by its registry entry."""
        left_ms = min(self.info.cold_left_ms, MAX_COLD_MS)
        self.cold_end_ms = now_ms + left_ms
        self.cold_ms = max(self.cold_ms, left_ms) if left_ms else 0

    @property
    def lapse_ms(self) -> int:
        """Return the time by which all its runs have ended unless their lease is renewed."""
        return max(self.lease_lapse_ms, self.min_lapse_ms)

    def record_restart(self, now_ms: int) -> None:
        """Record that another incarnation is in its place.

        The new one takes calls that were meant for the old one. Their lease end is a time of the
        old one's clock, which it shortens to the longest lease from their arrival, and it does not
        shorten the lease any more for later calls.
        """
        self.has_restarted = True
        lapse_ms = now_ms + MAX_CALL_DELAY_MS + lapse_after_ms(MAX_LEASE_MS)
        self.min_lapse_ms = max(self.min_lapse_ms, lapse_ms)

    def record_fenced(self, now_ms: int, lease_ms: int) -> None:
        """Record that it has seen ``min_token``, and refuses calls from before.

        :param lease_ms: duration of the leases that a former leader granted
        """
        if self.has_restarted:
            lease_ms = MAX_LEASE_MS
        self.min_lapse_ms = min(self.min_lapse_ms, now_ms + lapse_after_ms(lease_ms))

    def token(self, leader_token: int) -> int:
        """Return the fencing token of a call to it."""
        return max(leader_token, self.min_token)

    def record_answer(self, now_ms: int) -> None:
        """Record that the worker has answered this leader."""
        self.heard_ms = now_ms
        self.silent_since_ms = 0
        if self.isolated_runs:
            self.isolated_runs = {run for run in self.isolated_runs if not self.has_settled(run)}

    def has_settled(self, run: Run) -> bool:
        """Return whether the worker has been heard long enough after the start of a run."""
        return self.alive_ms(run) >= SETTLE_MS

    def alive_ms(self, run: Run) -> int:
        """Return for how long the worker has been heard after it was told to start a run."""
        return max(0, self.heard_ms - run.started_ms)

    def add_run(self, run: Run) -> None:
        """Add a run and allocate its resources."""
        self.runs[(run.name, run.attempt)] = run
        self.used += allocation_of(run.size, run.is_filler)
        self.unknown_runs += run.task is None
        self.services += run.is_service
        self.fillers += run.is_filler
        if run.task is not None and run.task.is_suspect:
            self.isolated_runs.add(run)

    def remove_run(self, run: Run) -> None:
        """Remove a run and release its resources."""
        if self.runs.pop((run.name, run.attempt), None) is None:
            return
        self.used -= allocation_of(run.size, run.is_filler)
        self.unknown_runs -= run.task is None
        self.services -= run.is_service
        self.fillers -= run.is_filler
        self.isolated_runs.discard(run)
        self.is_full = False


def lapse_after_ms(lease_ms: int) -> int:
    """Return the time after which all runs of a lease have certainly ended.

    :param lease_ms: duration of the lease on the worker's clock
    """
    return int(lease_ms / (1 - MAX_CLOCK_DRIFT)) + LEASE_END_MARGIN_MS


def allocation_of(size: Resources, is_filler: bool) -> Resources:
    """Return the resources allocated to a run; a best-effort filler is allocated no CPU."""
    if is_filler:
        return Resources(0, size.memory_mib, size.accelerators)
    return size
