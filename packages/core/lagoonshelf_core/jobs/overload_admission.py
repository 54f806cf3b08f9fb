"""Admission of new jobs under overload: which cannot end in time to be of use, by a forecast."""

from dataclasses import dataclass
from math import ceil
from zlib import crc32

from lagoonshelf_core.jobs.capacity import fixed_reserve_milli
from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.late_order import estimate_ms, late_delay_ms
from lagoonshelf_core.jobs.load_forecast import EDGES_MS, PoolForecast, class_of, slots_for
from lagoonshelf_core.jobs.progress import critical_path_ms
from lagoonshelf_core.jobs.ranking import TOO_LATE_FACTOR, Band
from lagoonshelf_core.jobs.spec import JobId, JobSpec

# Age from which a forecast is not used; members get one every 250 to 600 ms.
MAX_FORECAST_AGE_MS = 1_000
# With more of the pool free than the largest reserve leaves, something else than capacity keeps
# the waiting work waiting.
IDLE_SHARE = 0.3
# Least share of the pool's rate that is reckoned to be left for work of a lower band.
MIN_SHARE = 0.1
# Part of the expected wait that is certain enough to refuse a job by it. Work with less slack may
# be wide and leave room for smaller work, and what it waits for may end early.
CERTAIN_SHARE = 0.7
# Bounds on the time until a refused job is to be submitted again, and on the time over which the
# jobs refused together are spread. A forecast further ahead is of little worth.
MAX_BACKLOG_MS = 45_000.0
MIN_SPREAD_MS = 1_000.0
MAX_SPREAD_MS = 15_000.0
_HASH_RANGE = 2**32


@dataclass(frozen=True, slots=True)
class JobDemand:
    """What a job needs, as its client declared it.

    :param objective_ms: time from receipt within which it should end
    :param first_count: number of tasks that can start at once
    :param first_size_milli: CPU of the largest of them, in thousandths of a core
    :param first_cpu_milli: CPU of all of them
    :param work: all its work, in thousandths of core-milliseconds
    """

    critical_path_ms: float
    objective_ms: float
    first_count: int
    first_size_milli: int
    first_cpu_milli: int
    work: int


@dataclass(frozen=True, slots=True)
class ExpectedWait:
    """Expected wait of a new job until it starts.

    :param ahead_ms: core-milliseconds of work that goes before it
    :param rate_milli: core-milliseconds per second that this work gets
    """

    ahead_ms: int
    rate_milli: int

    @property
    def wait_ms(self) -> float:
        """Return the time until the work before the job has been done."""
        return 1000 * self.ahead_ms / max(1, self.rate_milli)


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job that is not accepted, and what that was decided by.

    :param on_time: expected wait if it started on time
    :param late: expected wait as it does not
    :param limit_ms: time from receipt after which it is of no use
    """

    retry_after_s: int
    on_time: ExpectedWait
    late: ExpectedWait
    limit_ms: int
    forecast_age_ms: int

    @property
    def message(self) -> str:
        """Return the text for the client."""
        return f"the job could not end in time: it would start in {self.late.wait_ms:.0f} ms"


def find_refusal(
    spec: JobSpec, queue: Queue, forecast: PoolForecast, age_ms: int, *, orders_late_by_work: bool
) -> Refusal | None:
    """Return why a job is refused, ``None`` if it is accepted; in doubt it is accepted.

    :param age_ms: age of the forecast
    """
    if not 0 <= age_ms <= MAX_FORECAST_AGE_MS or not _is_usable(forecast):
        return None
    demand = job_demand(spec, queue)
    limit_ms = TOO_LATE_FACTOR * demand.objective_ms
    could_end = demand.critical_path_ms < limit_ms
    if not _is_due(spec) or not could_end or _has_room(demand, queue, forecast):
        return None
    slack_ms = demand.objective_ms - demand.critical_path_ms
    wait = wait_on_time(slack_ms, queue, forecast)
    over_ms = CERTAIN_SHARE * wait.wait_ms - slack_ms
    if over_ms <= 0:
        return None
    late = wait_late(demand, queue, forecast, orders_late_by_work=orders_late_by_work)
    late_over_ms = CERTAIN_SHARE * late.wait_ms + demand.critical_path_ms - limit_ms
    if late_over_ms <= 0:
        return None
    # It is accepted again as soon as it would start on time, or end in time though it is late.
    retry_after_s = _retry_after_s(spec.id, min(over_ms, late_over_ms), wait.wait_ms)
    return Refusal(retry_after_s, wait, late, int(limit_ms), age_ms)


def wait_on_time(slack_ms: float, queue: Queue, forecast: PoolForecast) -> ExpectedWait:
    """Return the expected wait of a new job until it starts, while it is on time.

    Less urgent work and work with more slack come after it.
    """
    if queue.priority <= 0:
        return ExpectedWait(_work_before(forecast.urgent, slack_ms), forecast.rate_milli)
    ahead_ms = forecast.urgent[-1] + _work_before(forecast.on_time, slack_ms)
    return ExpectedWait(ahead_ms, _on_time_milli(forecast))


def wait_late(
    demand: JobDemand, queue: Queue, forecast: PoolForecast, *, orders_late_by_work: bool
) -> ExpectedWait:
    """Return the expected wait of a new job if it does not start within its slack.

    All work on time goes before it, also what arrives later, and so does what is late for longer.
    """
    delay_ms = 0.0
    if orders_late_by_work:
        delay_ms = late_delay_ms(demand.work, demand.objective_ms, queue, forecast.capacity_milli)
    ahead_ms = forecast.urgent[-1] + forecast.on_time[-1]
    ahead_ms += _work_before(forecast.late, delay_ms)
    late_milli = _on_time_milli(forecast) - forecast.on_time_rate_milli
    return ExpectedWait(ahead_ms, max(_least_milli(forecast), late_milli))


def job_demand(spec: JobSpec, queue: Queue) -> JobDemand:
    """Return what a job needs."""
    path_ms = critical_path_ms(spec)
    first = [(step.count, step.size.cpu_milli) for step in spec.steps if not step.after]
    return JobDemand(
        path_ms,
        queue.stretch * path_ms + queue.latency_ms,
        sum(count for count, _ in first),
        max((size_milli for _, size_milli in first), default=0),
        sum(count * size_milli for count, size_milli in first),
        sum(step.count * step.size.cpu_milli * estimate_ms(step) for step in spec.steps),
    )


def _is_due(spec: JobSpec) -> bool:
    """Return whether a job is due to end at some time after its receipt.

    Services never end, fillers take only what others leave, and occurrences are due later.
    """
    is_open_ended = any(step.is_service or step.is_filler for step in spec.steps)
    return not spec.occurrences and not is_open_ended


def _on_time_milli(forecast: PoolForecast) -> int:
    """Return the rate that is left for work that is not urgent."""
    return max(_least_milli(forecast), forecast.rate_milli - forecast.urgent_rate_milli)


def _least_milli(forecast: PoolForecast) -> int:
    return int(MIN_SHARE * forecast.rate_milli)


def _is_usable(forecast: PoolForecast) -> bool:
    """Return whether a forecast is complete; another version's may not be."""
    classes = len(EDGES_MS) + 1
    is_complete = all(
        len(work) == classes for work in (forecast.urgent, forecast.on_time, forecast.late)
    )
    return is_complete and forecast.capacity_milli > 0 and forecast.rate_milli > 0


def _has_room(demand: JobDemand, queue: Queue, forecast: PoolForecast) -> bool:
    """Return whether the pool has free capacity for all tasks of a job that can start at once."""
    if forecast.free_milli >= IDLE_SHARE * forecast.capacity_milli:
        return True
    band = Band.URGENT if queue.priority <= 0 else Band.ON_TIME
    reserve_milli = fixed_reserve_milli(forecast.capacity_milli, band)
    if demand.first_cpu_milli > forecast.free_milli - reserve_milli:
        return False
    return demand.first_count <= slots_for(forecast.free_slots, demand.first_size_milli)


def _work_before(cumulative: tuple[int, ...], value_ms: float) -> int:
    """Return the work before a slack or virtual finish time; of its own class in proportion."""
    index = class_of(value_ms)
    if not 1 <= index < len(EDGES_MS):
        return cumulative[max(0, index - 1)]
    low_ms, high_ms = EDGES_MS[index - 1 : index + 1]
    before = cumulative[index - 1]
    return before + int((cumulative[index] - before) * (value_ms - low_ms) / (high_ms - low_ms))


def spread_fraction(job: JobId) -> float:
    """Return a number from 0 to 1 that differs between jobs."""
    return crc32(job.encode()) / _HASH_RANGE


def _retry_after_s(job: JobId, over_ms: float, wait_ms: float) -> int:
    """Return when to submit a job again: once the backlog is down to what would admit it.

    Jobs refused together are spread over as long as the backlog takes, by their ids, so that they
    do not come back together.
    """
    spread_ms = min(MAX_SPREAD_MS, max(MIN_SPREAD_MS, wait_ms)) * spread_fraction(job)
    return max(1, ceil((min(MAX_BACKLOG_MS, over_ms) + spread_ms) / 1000))
