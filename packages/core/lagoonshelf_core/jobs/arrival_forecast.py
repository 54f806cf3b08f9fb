"""Forecast of urgent arrivals, and the CPU that is kept free for them in each pool."""

from dataclasses import dataclass, field
from math import exp, inf

from lagoonshelf_core.jobs.capacity import fixed_reserve_milli
from lagoonshelf_core.jobs.config import PoolId, Queue
from lagoonshelf_core.jobs.progress import Run
from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.spec import JobSpec
from lagoonshelf_core.jobs.workers import Worker, allocation_of

# Time constant of the averages: several runs of wide work, whose ends come in lumps, and short
# beside the minutes over which the rates change.
DECAY_MS = 10_000
# What arrives or is freed within this time counts as one amount, so that jobs that are submitted
# together, and gangs that end together, show in the variance.
BATCH_MS = 100
# Time after the first event of a pool for which the fixed shares apply.
MIN_OBSERVED_MS = DECAY_MS
# For this long after an urgent job one of its size finds room, however rare such jobs are.
LARGEST_MS = 60_000
# Risk that urgent work finds less room than it needs, as a quantile of the normal distribution:
# 1 in 100 for work on time, in 1,000 for late work, in 10,000 for what gives way first.
QUANTILES = {
    Band.ON_TIME: 2.33,
    Band.LATE: 3.09,
    Band.EXCESS: 3.72,
    Band.EXCESS_LATE: 3.72,
    Band.TOO_LATE: 3.72,
}


@dataclass(slots=True)
class _Flow:
    """Decayed mean and variance of amounts of CPU per millisecond, in thousandths of cores.

    :param batch: amount since ``batch_ms``, the time to which the sums before it are decayed
    """

    sum: float = 0.0
    squares: float = 0.0
    batch: int = 0
    batch_ms: int = 0

    def add(self, amount_milli: int, now_ms: int) -> None:
        """Add an amount."""
        self._advance(now_ms)
        self.batch += amount_milli

    def mean_and_variance(self, now_ms: int) -> tuple[float, float]:
        """Return the mean and the variance of the amounts per millisecond."""
        self._advance(now_ms)
        mean = self.sum / DECAY_MS
        return mean, max(0.0, self.squares / DECAY_MS - mean**2 * BATCH_MS)

    def _advance(self, now_ms: int) -> None:
        """Include the batch if it is over, and begin a new one."""
        elapsed_ms = now_ms - self.batch_ms
        if elapsed_ms < BATCH_MS:
            return
        share = exp(-elapsed_ms / DECAY_MS)
        self.sum = (self.sum + self.batch) * share
        self.squares = (self.squares + float(self.batch) ** 2) * share
        self.batch, self.batch_ms = 0, now_ms


@dataclass(slots=True)
class _PoolFlows:
    """Urgent arrivals and freed CPU of a pool.

    :param largest_milli: CPU of the largest urgent job of late
    """

    first_ms: int
    arrivals: _Flow = field(default_factory=_Flow)
    freed: _Flow = field(default_factory=_Flow)
    largest_milli: int = 0
    largest_ms: int = 0


class ArrivalForecast:
    """Arrivals of urgent work and ends of runs, by pool."""

    def __init__(self) -> None:
        """Set up without having seen any."""
        self._pools: dict[PoolId, _PoolFlows] = {}

    def record_job(self, queue: Queue | None, spec: JobSpec, now_ms: int) -> None:
        """Count a job, if it is urgent, by the CPU of its tasks that can start at once."""
        if queue is None or queue.priority > 0 or spec.occurrences:
            return
        cpu_milli = sum(
            step.count * allocation_of(step.size, step.is_filler).cpu_milli
            for step in spec.steps
            if not step.after and not step.is_service
        )
        flows = self._find(queue.pool, now_ms)
        flows.arrivals.add(cpu_milli, now_ms)
        is_old = not 0 <= now_ms - flows.largest_ms <= LARGEST_MS
        if is_old or cpu_milli >= flows.largest_milli:
            flows.largest_milli, flows.largest_ms = cpu_milli, now_ms

    def record_end(self, worker: Worker | None, run: Run, now_ms: int) -> None:
        """Count the CPU of a run that has ended."""
        if worker is not None:
            cpu_milli = allocation_of(run.size, run.is_filler).cpu_milli
            self._find(worker.info.pool, now_ms).freed.add(cpu_milli, now_ms)

    def reserve_milli(self, pool: PoolId, capacity_milli: int, band: Band, now_ms: int) -> int:
        """Return the CPU that work of a band leaves free, at most the fixed share of the band.

        In a full pool urgent work gets what runs free. Over a time t it needs more than that by
        up to (arriving - freed) * t + quantile * sqrt(variance * t), which is largest at the
        horizon and falls from there on, as running work frees more than arrives.
        """
        fixed_milli = fixed_reserve_milli(capacity_milli, band)
        flows = self._pools.get(pool)
        if band not in QUANTILES or flows is None or now_ms - flows.first_ms < MIN_OBSERVED_MS:
            return fixed_milli
        if not 0 <= now_ms - flows.largest_ms <= LARGEST_MS:
            return 0
        arriving, variance = flows.arrivals.mean_and_variance(now_ms)
        freed, freed_variance = flows.freed.mean_and_variance(now_ms)
        variance += freed_variance
        surplus = freed - arriving
        peak = QUANTILES[band] ** 2 * variance / (4 * surplus) if surplus > 0 else inf
        return int(min(fixed_milli, max(peak, flows.largest_milli)))

    def _find(self, pool: PoolId, now_ms: int) -> _PoolFlows:
        flows = self._pools.get(pool)
        if flows is None:
            flows = self._pools[pool] = _PoolFlows(now_ms)
        return flows
