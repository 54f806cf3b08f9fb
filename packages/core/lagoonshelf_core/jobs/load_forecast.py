"""Forecast of the load of each pool: the work that goes before a new job, and the pool's rate."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import accumulate
from math import exp

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.config import PoolId, Queue
from lagoonshelf_core.jobs.late_order import estimate_ms, order_late_by_work, waiting_work
from lagoonshelf_core.jobs.progress import Job, Run, RunEnd, StepRun
from lagoonshelf_core.jobs.ranking import Band, rank, slack_ms
from lagoonshelf_core.jobs.workers import Worker

# Edges of the classes of waiting work within a band: by slack where it is on time, by virtual
# finish time from now on where it is late. The first class is what goes before any new job. Each
# edge is about 1.4 times the one before, and within a class the work counts as evenly spread.
EDGES_MS = (
    0,
    *(250, 350, 500, 700, 1_000, 1_400, 2_000, 2_800, 4_000),
    *(5_600, 8_000, 11_200, 16_000, 22_400, 32_000, 44_800, 64_000),
)
# Sizes of tasks, in thousandths of a core, for which it is told how many fit into the free
# capacity. The sum of it does not tell: what is left on each worker of a full pool fits no task.
SLOT_SIZES_MILLI = (
    *(250, *range(500, 16_001, 500)),
    *(20_000, 24_000, 32_000, 48_000, 64_000, 96_000, 128_000),
)
# Time constant of the averages. Ends of wide jobs come in lumps, some seconds apart.
RATE_TIME_MS = 5_000
# Largest amount of work in a message, in core-milliseconds. Estimates have no bound.
MAX_WORK_MS = 10**15


@dataclass(frozen=True, slots=True)
class PoolForecast:
    """Load of a pool.

    :param capacity_milli: CPU of the workers that may get tasks, in thousandths of a core
    :param free_milli: part of it that no run has, on workers that are held for no gang
    :param free_slots: number of tasks that fit into it, by size
    :param rate_milli: estimated core-milliseconds of work that the pool completes per second
    :param urgent_rate_milli: part of the rate that goes to urgent work that starts on time
    :param on_time_rate_milli: part of the rate that goes to other work that starts on time
    :param urgent: core-milliseconds of waiting urgent work that is on time, cumulative by class
    :param on_time: the same of other work that is on time
    :param late: the same of all work that is late and still of use
    """

    pool: str
    capacity_milli: int
    free_milli: int
    free_slots: tuple[int, ...]
    rate_milli: int
    urgent_rate_milli: int
    on_time_rate_milli: int
    urgent: tuple[int, ...]
    on_time: tuple[int, ...]
    late: tuple[int, ...]


@dataclass(slots=True)
class _PoolRate:
    """Averages of completed work, in thousandths of cores; a full pool is assumed at first."""

    rate_milli: float
    at_ms: int
    urgent_milli: float = 0.0
    on_time_milli: float = 0.0
    ended_urgent: float = 0.0
    ended_on_time: float = 0.0
    ended_late: float = 0.0

    def update(self, capacity_milli: int, now_ms: int, *, is_backlogged: bool) -> None:
        """Include what has ended since the last update.

        A pool without a backlog completes what it is given, which says nothing of what it could.
        """
        elapsed_ms = now_ms - self.at_ms
        if elapsed_ms <= 0:
            return
        weight = 1.0 - exp(-elapsed_ms / RATE_TIME_MS)
        ended = self.ended_urgent + self.ended_on_time + self.ended_late
        target = ended / elapsed_ms if is_backlogged else float(capacity_milli)
        self.rate_milli += weight * (target - self.rate_milli)
        self.urgent_milli += weight * (self.ended_urgent / elapsed_ms - self.urgent_milli)
        self.on_time_milli += weight * (self.ended_on_time / elapsed_ms - self.on_time_milli)
        self.ended_urgent = self.ended_on_time = self.ended_late = 0.0
        self.at_ms = now_ms


@dataclass(slots=True)
class _PoolLoad:
    capacity_milli: int = 0
    waiting_milli: int = 0
    workers: list[Worker] = field(default_factory=list)
    held: set[WorkerId] = field(default_factory=set)
    work: dict[Band, list[int]] = field(default_factory=dict)

    def add(self, band: Band, class_index: int, work_ms: int, cpu_milli: int) -> None:
        """Add the waiting work of a job."""
        self.waiting_milli += cpu_milli
        self.work.setdefault(band, _no_work())[class_index] += work_ms

    def free_milli(self) -> list[int]:
        """Return the free CPU of each worker that is held for no gang."""
        free = (
            worker.info.capacity.cpu_milli - worker.used.cpu_milli
            for worker in self.workers
            if worker.id not in self.held
        )
        return [milli for milli in free if milli > 0]

    def cumulative(self, band: Band) -> tuple[int, ...]:
        """Return the waiting work of a band up to each class."""
        sums = accumulate(self.work.get(band, _no_work()))
        return tuple(min(MAX_WORK_MS, work_ms) for work_ms in sums)


class LoadForecaster:
    """Forecasts the load of a cell's pools; it lives as long as a leader term."""

    def __init__(self, cell: Cell) -> None:
        """Set up without having seen any work end."""
        self._cell = cell
        self._rates: dict[str, _PoolRate] = {}
        self._latest: tuple[PoolForecast, ...] = ()
        self._latest_ms: int | None = None

    def record_end(self, run: Run, end: RunEnd) -> None:
        """Count the work of a run that is done.

        Its estimate counts, not its run time: what waits is known by estimates, too, so that the
        rate makes up for estimates that are wrong.
        """
        queue = None if run.task is None else self._cell.queue_of(run.task.job)
        rate = None if queue is None else self._rates.get(queue.pool)
        if rate is None or end is not RunEnd.DONE or run.is_filler or run.is_service:
            return
        step = run.task.step
        work = run.size.cpu_milli * estimate_ms(step.spec)
        if slack_ms(step, queue, run.started_ms) < 0:
            rate.ended_late += work
        elif queue.priority <= 0:
            rate.ended_urgent += work
        else:
            rate.ended_on_time += work

    def current(self, now_ms: int, max_age_ms: int) -> tuple[tuple[PoolForecast, ...], int]:
        """Return the forecast of each pool with usable workers, and the age of the forecasts.

        :param max_age_ms: age up to which the latest ones are returned
        """
        if self._latest_ms is None or not 0 <= now_ms - self._latest_ms <= max_age_ms:
            self._latest, self._latest_ms = tuple(self._forecast(now_ms)), now_ms
        return self._latest, now_ms - self._latest_ms

    def _forecast(self, now_ms: int) -> Iterable[PoolForecast]:
        loads = _usable_pools(self._cell, now_ms)
        _add_waiting_work(self._cell, loads, now_ms)
        for pool, load in loads.items():
            free = load.free_milli()
            rate = self._rates.setdefault(pool, _PoolRate(load.capacity_milli, now_ms))
            is_backlogged = load.waiting_milli > sum(free)
            rate.update(load.capacity_milli, now_ms, is_backlogged=is_backlogged)
            yield PoolForecast(
                pool,
                load.capacity_milli,
                sum(free),
                _slots(free),
                int(rate.rate_milli),
                int(rate.urgent_milli),
                int(rate.on_time_milli),
                load.cumulative(Band.URGENT),
                load.cumulative(Band.ON_TIME),
                load.cumulative(Band.LATE),
            )


def class_of(value_ms: float) -> int:
    """Return the class of waiting work with a slack or virtual finish time."""
    return bisect_right(EDGES_MS, value_ms)


def slots_for(free_slots: tuple[int, ...], size_milli: int) -> int:
    """Return how many tasks of a size fit into the free capacity, at least."""
    index = bisect_left(SLOT_SIZES_MILLI, size_milli)
    return free_slots[index] if index < len(free_slots) else 0


def _slots(free: list[int]) -> tuple[int, ...]:
    """Return how many tasks of each size fit into the free CPU of workers."""
    return tuple(sum(milli // size for milli in free) for size in SLOT_SIZES_MILLI)


def _no_work() -> list[int]:
    return [0] * (len(EDGES_MS) + 1)


def _usable_pools(cell: Cell, now_ms: int) -> dict[PoolId, _PoolLoad]:
    loads: dict[PoolId, _PoolLoad] = {}
    for worker in cell.workers.values():
        if cell.is_available(worker, now_ms):
            load = loads.setdefault(worker.info.pool, _PoolLoad())
            load.capacity_milli += worker.info.capacity.cpu_milli
            load.workers.append(worker)
    return loads


def _add_waiting_work(cell: Cell, loads: dict[PoolId, _PoolLoad], now_ms: int) -> None:
    """Add the jobs that wait for capacity, each with the place of its first waiting step."""
    for job in cell.live_jobs.values():
        queue = cell.queue_of(job)
        load = None if queue is None else loads.get(queue.pool)
        step = _first_waiting_step(job)
        if load is None or step is None or _waits_for_limit(cell, step):
            continue
        if step.hold is not None:
            load.held.update(step.hold.workers)
        band, value_ms = _place(cell, step, queue, load.capacity_milli, now_ms)
        if Band.URGENT <= band <= Band.LATE:
            cpu_milli = len(step.waiting) * step.spec.size.cpu_milli * job.is_ready(step)
            load.add(band, class_of(value_ms), waiting_work(job) // 1000, cpu_milli)


def _place(
    cell: Cell, step: StepRun, queue: Queue, pool_milli: int, now_ms: int
) -> tuple[Band, float]:
    """Return the band of a step, and its slack or its virtual finish time from now on."""
    row = rank(step, queue, now_ms)
    if cell.options.orders_late_by_work:
        row = order_late_by_work(row, step, queue, pool_milli)
    band = Band(row[0])
    return band, row[1] - now_ms if band is Band.LATE else row[1]


def _first_waiting_step(job: Job) -> StepRun | None:
    """Return the first step with waiting tasks that take CPU and end."""
    for step in job.steps.values():
        spec = step.spec
        if step.waiting and not spec.is_service and not spec.is_filler:
            return step
    return None


def _waits_for_limit(cell: Cell, step: StepRun) -> bool:
    """Return whether a step waits for its team's limit, and so goes before no other team's."""
    return not cell.is_within_limit(step.job.spec.team, step.spec.smallest_start)
