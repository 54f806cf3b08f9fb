"""Admission of submitted jobs by the leader's load and memory, at every member."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import TeamId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.config import CellConfig, PoolId
from lagoonshelf_core.jobs.job_memory import MemoryReport, job_bytes
from lagoonshelf_core.jobs.load_forecast import PoolForecast
from lagoonshelf_core.jobs.memory_admission import MemoryRefusal, find_memory_refusal
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.overload_admission import Refusal, find_refusal, wait_on_time
from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.spec import JobId, JobSpec
from lagoonshelf_server.jobs import job_metrics
from lagoonshelf_server.jobs.job_api import AnyRefusal, WriteOutcome
from lagoonshelf_server.jobs.keys import ended_key, job_key
from lagoonshelf_server.jobs.ports import Store, StoreUnavailableError, StoreUncertainError
from lagoonshelf_server.logs import logger

# A leader computes a forecast anew when it is older than this. With the interval of the heartbeats
# of at most 600 ms, those that members use stay below MAX_FORECAST_AGE_MS.
FORECAST_INTERVAL_MS = 250
# Wait before the reads: a client whose process died while it stored the job sends it again, and
# must not be refused what that write is about to store. A store that takes longer is troubled.
WRITE_SETTLE_S = 0.1
# Time for the reads before a refusal; without their answers the job is accepted as usual.
READ_TIMEOUT_S = 0.5
# After a failed or slow call to the store, an earlier write of the same job may still take effect,
# so that nothing is refused for about twice the time after which a write is given up.
STORE_TROUBLE_MS = 2_000

# Time in which an accepted job is stored and announced, so that the next report includes it.
REPORT_LAG_MS = 500
# The memory that a leader reported longer ago says nothing of a successor's.
MAX_MEMORY_AGE_MS = 3_000

Forecasts = tuple[tuple[PoolForecast, ...], int]

_log = logger("front")


class OverloadGate:
    """Refuses jobs that cannot end in time to be of use, or that the leader could not hold."""

    def __init__(
        self,
        options: SchedulerOptions,
        store: Store,
        clock: Clock,
        config: Callable[[], CellConfig],
    ) -> None:
        """Set up without a forecast.

        :param config: returns the configuration in force
        """
        self._options = options
        self._store = store
        self._clock = clock
        self._config = config
        self._forecasts: tuple[PoolForecast, ...] = ()
        self._computed_ms = 0
        self._memory, self._memory_ms = MemoryReport(), 0
        # Jobs that were accepted here and that the report may lack: time, team, bytes.
        self._accepted: deque[tuple[int, TeamId, int]] = deque()
        self.own_forecast: Callable[[], Forecasts | None] = lambda: None
        self.own_memory: Callable[[], MemoryReport | None] = lambda: None

    def record(self, forecasts: tuple[PoolForecast, ...], computed_ms: int) -> None:
        """Keep the forecasts of a heartbeat reply.

        :param computed_ms: clock time at which the leader had computed them, or an earlier one
        """
        if forecasts and computed_ms >= self._computed_ms:
            self._forecasts, self._computed_ms = forecasts, computed_ms

    def record_memory(self, report: MemoryReport, sent_ms: int) -> None:
        """Keep the memory in a heartbeat reply.

        :param sent_ms: clock time at which the heartbeat was sent
        """
        if sent_ms >= self._memory_ms:
            self._memory, self._memory_ms = report, sent_ms
            self._forget_accepted(sent_ms - REPORT_LAG_MS)

    async def find_refusal(self, spec: JobSpec) -> AnyRefusal | WriteOutcome | None:
        """Return why a job is refused, ``None`` if it is accepted or its id is in use.

        ``UNCERTAIN`` is returned where it can neither be refused truthfully, as the store does
        not tell whether it is stored, nor be held.
        """
        refusal = self._decide(spec)
        if refusal is None:
            now_ms = self._clock.now_ms()
            self._forget_accepted(now_ms - MAX_MEMORY_AGE_MS)
            self._accepted.append((now_ms, spec.team, job_bytes(spec)))
            return None
        if self._is_store_troubled():
            return self._decide_in_doubt(spec, refusal)
        await asyncio.sleep(WRITE_SETTLE_S)
        may_be_in_use = await self._may_be_in_use(spec.id)
        if self._is_store_troubled():
            return self._decide_in_doubt(spec, refusal)
        if may_be_in_use:
            return None
        _record_refusal(spec, refusal)
        return refusal

    def _decide_in_doubt(self, spec: JobSpec, refusal: AnyRefusal) -> WriteOutcome | None:
        """Return how to answer while an earlier write of a job may take effect."""
        if not isinstance(refusal, MemoryRefusal) or not refusal.is_backlog_full:
            return None
        _record_refusal(spec, refusal)
        return WriteOutcome.UNCERTAIN

    def _forget_accepted(self, before_ms: int) -> None:
        while self._accepted and self._accepted[0][0] < before_ms:
            self._accepted.popleft()

    def _decide(self, spec: JobSpec) -> AnyRefusal | None:
        return self._decide_by_memory(spec) or self._decide_by_load(spec)

    def _decide_by_memory(self, spec: JobSpec) -> MemoryRefusal | None:
        own = self.own_memory()
        if own is not None:
            return find_memory_refusal(spec, own, {}, 0)
        age_ms = self._clock.now_ms() - self._memory_ms
        if age_ms > MAX_MEMORY_AGE_MS:
            return None
        added: Counter[TeamId] = Counter()
        for _, team, size_bytes in self._accepted:
            added[team] += size_bytes
        return find_memory_refusal(spec, self._memory, added, age_ms)

    def _decide_by_load(self, spec: JobSpec) -> Refusal | None:
        if not self._options.refuses_overload:
            return None
        cfg = self._config()
        queue = cfg.queues.get(spec.queue)
        forecasts, age_ms = self._current()
        forecast = next((row for row in forecasts if queue and row.pool == queue.pool), None)
        if queue is None or forecast is None:
            return None
        by_work = self._options.orders_late_by_work
        return find_refusal(spec, queue, forecast, age_ms, orders_late_by_work=by_work)

    def _current(self) -> Forecasts:
        """Return the latest forecasts and their age; those of this process if it leads."""
        own = self.own_forecast()
        return own or (self._forecasts, self._clock.now_ms() - self._computed_ms)

    def _is_store_troubled(self) -> bool:
        return self._clock.now_ms() - self._store.trouble_ms() < STORE_TROUBLE_MS

    async def _may_be_in_use(self, job: JobId) -> bool:
        """Return whether a job may be stored or may have ended.

        The record of a job is replaced by its final state, so that this is read last.
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                stored = await self._store.read(job_key(job))
                return stored is not None or await self._store.read(ended_key(job)) is not None
        except (TimeoutError, StoreUnavailableError, StoreUncertainError):
            return True


def _record_refusal(spec: JobSpec, refusal: AnyRefusal) -> None:
    """Count and log a job that is not accepted."""
    if isinstance(refusal, MemoryRefusal):
        job_metrics.memory_refusals.inc({"is_team": str(refusal.is_team)})
        _log_memory_refusal(spec, refusal)
    else:
        job_metrics.refusals.inc({"queue": spec.queue})
        _log_refusal(spec, refusal)


def _log_memory_refusal(spec: JobSpec, refusal: MemoryRefusal) -> None:
    _log.info(
        "job refused for memory",
        request=spec.id,
        queue=spec.queue,
        team=spec.team,
        is_team=refusal.is_team,
        size_bytes=refusal.size_bytes,
        held_bytes=refusal.held_bytes,
        is_backlog_full=refusal.is_backlog_full,
        max_bytes=refusal.max_bytes,
        report_age_ms=refusal.report_age_ms,
        retry_after_s=refusal.retry_after_s,
    )


def report_load(cell: Cell, current: Forecasts | None, now_ms: int) -> None:
    """Set the metrics of the forecasts and reserves."""
    _report_reserves(cell, now_ms)
    by_pool = {} if current is None else {row.pool: row for row in current[0]}
    for queue in cell.cfg.queues.values():
        forecast = by_pool.get(queue.pool)
        if forecast is not None:
            wait = wait_on_time(queue.latency_ms, queue, forecast)
            job_metrics.forecast_wait_ms.set({"queue": queue.id}, int(wait.wait_ms))


def _report_reserves(cell: Cell, now_ms: int) -> None:
    """Set the metric of the CPU that work on time leaves free, where it is forecast."""
    if not cell.options.forecasts_reserve:
        return
    capacity_milli: Counter[PoolId] = Counter()
    for worker in cell.workers.values():
        if worker.is_usable:
            capacity_milli[worker.info.pool] += worker.info.capacity.cpu_milli
    for pool, milli in capacity_milli.items():
        reserve_milli = cell.arrivals.reserve_milli(pool, milli, Band.ON_TIME, now_ms)
        job_metrics.reserve_milli.set({"pool": pool}, reserve_milli)


def _log_refusal(spec: JobSpec, refusal: Refusal) -> None:
    """Log a refusal with its inputs; work in core-milliseconds, rates in thousandths of cores."""
    _log.info(
        "job refused",
        request=spec.id,
        queue=spec.queue,
        retry_after_s=refusal.retry_after_s,
        limit_ms=refusal.limit_ms,
        ahead_ms=refusal.on_time.ahead_ms,
        rate_milli=refusal.on_time.rate_milli,
        late_ahead_ms=refusal.late.ahead_ms,
        late_rate_milli=refusal.late.rate_milli,
        forecast_age_ms=refusal.forecast_age_ms,
    )
