"""State of one scheduling pass."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.advice_lanes import AdviceBudget
from lagoonshelf_core.jobs.arrival_forecast import ArrivalForecast
from lagoonshelf_core.jobs.capacity import (
    MAX_MEMBERS_PER_WORKER,
    count_fitting,
    fixed_reserve_milli,
    startable_milli,
)
from lagoonshelf_core.jobs.late_order import LATE_BANDS
from lagoonshelf_core.jobs.progress import GangHold, Job, StepRun
from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.spec import JobId, StepIndex
from lagoonshelf_core.jobs.workers import Worker, allocation_of
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources

# Starts of one scheduling pass; a wide step takes several passes, so that each ends within a small
# part of the leader lease's TTL.
MAX_STARTS_PER_PASS = 100
# A late step may use workers held for a later gang if it needs at most this share of its CPU.
SMALL_SHARE = 0.25


@dataclass(slots=True)
class PoolLoad:
    """CPU of the usable workers of a pool, in thousandths."""

    capacity_milli: int = 0
    used_milli: int = 0


@dataclass(slots=True)
class SchedulingPass:
    """State and decisions of a pass so far.

    :param usable: workers that may get tasks, by pool
    :param pools: capacity and load of the usable workers, by pool
    :param by_free_cpu: usable workers by pool, those with the most free CPU first; sorted on
        first use
    :param by_speed: the same for steps that prefer fast workers, the fastest with room first
    :param advised_steps: number of steps whose permits are kept valid
    :param late_checks: number of late steps checked for an advice request
    :param late_gangs: number of late gangs that may wait for capacity
    :param holders: gang that each held worker is held for
    :param arrivals: forecast of urgent arrivals, None where the reserves are fixed shares
    :param later_holders: gangs with holds that come later in the pass than what is planned now;
        filled only where late work is ordered by its size
    :param quieted_pools: pools of which a worker is kept for a suspected task
    :param advice_budget: time of the placement policy that requests may still use
    :param starts_left: tasks that the pass may still start, not counting gangs and the first
        starts of other jobs
    :param started_jobs: jobs of which it has started tasks
    :param stuck_steps: job and index of the steps of occurrences of which no task could start
    :param cold: capacity that may be used of each worker that is slow since its start
    :param cold_starts_left: starts that such workers may still get, by pool with a limit
    """

    now_ms: int
    usable: dict[str, dict[WorkerId, Worker]]
    pools: dict[str, PoolLoad] = field(default_factory=dict)
    by_free_cpu: dict[str, list[Worker]] = field(default_factory=dict)
    by_speed: dict[str, list[Worker]] = field(default_factory=dict)
    advised_steps: int = 0
    late_checks: int = 0
    late_gangs: int = 0
    holders: dict[WorkerId, StepRun] = field(default_factory=dict)
    arrivals: ArrivalForecast | None = None
    later_holders: set[StepRun] = field(default_factory=set)
    quieted_pools: set[str] = field(default_factory=set)
    advice_budget: AdviceBudget = field(default_factory=AdviceBudget)
    starts_left: int = MAX_STARTS_PER_PASS
    started_jobs: set[JobId] = field(default_factory=set)
    stuck_steps: set[tuple[JobId, StepIndex]] = field(default_factory=set)
    cold: dict[WorkerId, Resources] = field(default_factory=dict)
    cold_starts_left: dict[str, int] = field(default_factory=dict)

    def add_usable(self, worker: Worker) -> None:
        """Add a worker that may get tasks."""
        pool = worker.info.pool
        self.usable.setdefault(pool, {})[worker.id] = worker
        load = self.pools.setdefault(pool, PoolLoad())
        capacity_milli = worker.info.capacity.cpu_milli
        load.capacity_milli += capacity_milli
        # A worker that has shrunk may use more than it has, which is no load of the others.
        load.used_milli += min(worker.used.cpu_milli, capacity_milli)

    def cold_room(self, worker: Worker, size: Resources, planned: Resources | None = None) -> int:
        """Return how many tasks of a size a worker may get as far as it is cold.

        A cold worker without runs may get one task of any size, which else could wait for long.

        :param planned: resources of tasks that the pass has placed on the worker
        """
        capacity = self.cold.get(worker.id)
        if capacity is None:
            return MAX_MEMBERS_PER_WORKER
        is_idle = not worker.runs and planned is None
        fitting = count_fitting(size, capacity, worker.used + (planned or ZERO_RESOURCES))
        return max(fitting, int(is_idle))

    def take_cold(self, *workers: Worker) -> bool:
        """Count a start on each worker as far as it is cold; return false if too many are."""
        cold = [worker.info.pool for worker in workers if worker.id in self.cold]
        if not cold or cold[0] not in self.cold_starts_left:
            return True
        if self.cold_starts_left[cold[0]] < len(cold):
            return False
        self.cold_starts_left[cold[0]] -= len(cold)
        return True

    def capacity_milli(self, pool: str) -> int:
        """Return the CPU of the usable workers of a pool, in thousandths."""
        load = self.pools.get(pool)
        return 0 if load is None else load.capacity_milli

    def may_start(self, step: StepRun) -> bool:
        """Return whether the pass may start tasks of a step.

        The tasks of a wide job, or of many, keep no job of lower priority waiting where there is
        room for both.
        """
        return self.starts_left > 0 or step.job.id not in self.started_jobs

    def count_start(self, job: Job) -> None:
        """Count the start of a task."""
        self.starts_left -= 1
        self.started_jobs.add(job.id)

    def note_stuck(self, step: StepRun) -> None:
        """Record that no task of a step could start."""
        spec = step.spec
        is_special = spec.max_per_worker or spec.is_service or step.has_suspects
        if step.job.spec.occurrences and not is_special:
            self.stuck_steps.add((step.job.id, step.index))

    def is_stuck(self, step: StepRun) -> bool:
        """Return whether the same step of another occurrence could not start either."""
        return bool(self.stuck_steps) and (step.job.id, step.index) in self.stuck_steps

    def close(self, worker: Worker) -> None:
        """Give no more tasks to a worker in this pass."""
        self.usable[worker.info.pool].pop(worker.id, None)

    def startable_milli(self, step: StepRun, pool: str, band: Band) -> int:
        """Return how much CPU the tasks of a step may take beside the reserve of its band."""
        load, spec = self.pools[pool], step.spec
        smallest = allocation_of(spec.size, spec.is_filler).cpu_milli
        smallest *= spec.count if spec.is_gang else 1
        reserve_milli = self.reserve_milli(pool, band)
        return startable_milli(load.capacity_milli, load.used_milli, reserve_milli, smallest)

    def reserve_milli(self, pool: str, band: Band) -> int:
        """Return the CPU of a pool that tasks of a band leave free."""
        capacity_milli = self.pools[pool].capacity_milli
        if self.arrivals is None:
            return fixed_reserve_milli(capacity_milli, band)
        return self.arrivals.reserve_milli(pool, capacity_milli, band, self.now_ms)

    def register_holds(self, steps: Iterable[StepRun]) -> None:
        """Register the workers that waiting gangs hold since earlier passes.

        :param steps: steps in order of priority; the first of several holders of a worker has it
        """
        for step in steps:
            for name in () if step.hold is None else step.hold.workers:
                self.holders.setdefault(name, step)

    def hold(self, step: StepRun, hold: GangHold) -> None:
        """Hold workers for a gang."""
        step.hold = hold
        self.holders.update(dict.fromkeys(hold.workers, step))

    def release(self, step: StepRun) -> None:
        """End the hold of a gang, if it has one."""
        if step.hold is None:
            return
        for name in step.hold.workers:
            if self.holders.get(name) is step:
                del self.holders[name]
        step.hold = None

    def has_all_held(self, step: StepRun, pool: str) -> bool:
        """Return whether the workers that a gang holds are usable, held for it, and as large."""
        usable, hold = self.usable[pool], step.hold
        if hold is None:
            return False
        capacity = ZERO_RESOURCES
        for name in hold.workers:
            if name not in usable or self.holders.get(name) is not step:
                return False
            capacity += usable[name].info.capacity
        return hold.capacity.fits_in(capacity)

    def count_held(self, band: Band) -> int:
        """Return the number of workers held for gangs of a band and higher ones."""
        return sum(step.hold.band <= band for step in self.holders.values())

    def is_held_from(self, worker: Worker, step: StepRun, band: Band) -> bool:
        """Return whether a worker is held for a gang that goes before a step.

        Urgent steps may use held workers, as they wait for nothing else, and so may late steps
        that come before the gang in the order and are much smaller.
        """
        holder = self.holders.get(worker.id)
        if holder in self.later_holders and band in LATE_BANDS and _is_small(step, holder):
            return False
        return self.is_kept_from(worker, step, band)

    def is_kept_from(self, worker: Worker, step: StepRun, band: Band) -> bool:
        """Return whether a worker cannot be held for a step, as it is for another gang.

        A gang that took over what others hold would keep both waiting.
        """
        holder = self.holders.get(worker.id)
        if holder is None or holder is step or holder.hold is None or band <= Band.URGENT:
            return False
        return band >= holder.hold.band


def _is_small(step: StepRun, holder: StepRun) -> bool:
    """Return whether a step needs little CPU beside a gang."""
    needed, held = (len(row.waiting) * row.spec.size.cpu_milli for row in (step, holder))
    return needed <= SMALL_SHARE * held
