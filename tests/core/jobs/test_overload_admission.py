"""Admission by the forecast of the load, on a pool of 8 workers of 64 cores.

Load: a backlog of urgent or of batch work that the pool takes longer for than new jobs are of use.
Without the switch each was accepted, waited, and was done when it was of no use any more.
"""

import unittest
from dataclasses import replace

from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.load_forecast import EDGES_MS, LoadForecaster, PoolForecast
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.overload_admission import Refusal, find_refusal
from lagoonshelf_core.jobs.progress import RunEnd
from lagoonshelf_core.jobs.spec import JobSpec
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    BATCH,
    HOST,
    POOL,
    TEAM,
    URGENT,
    accept_job,
    config,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_starts,
)

WORKERS = 8
POOL_MILLI = WORKERS * HOST.cpu_milli
CORES_5 = Resources(5_000, 1_024, 0)
SMALL = make_step(3, CORES_5, estimate_ms=640)
# An urgent job is of use for 3.63 s, a batch job of 4 s for 57 s.
WIDE = make_step(20, CORES_5, estimate_ms=4_000)
WORK = (10**9,) * (len(EDGES_MS) + 1)
FULL = PoolForecast(POOL, 100_000, 0, (), 100, 0, 0, WORK, WORK, WORK)
YEAR_MS = 365 * 24 * 3_600_000


def _cell() -> Cell:
    cell = make_cell(WORKERS)
    cell.options = SchedulerOptions(orders_late_by_work=True, refuses_overload=True)
    return cell


def _overload(cell: Cell, spec_steps: object, queue: object, cores_s: int) -> None:
    """Fill the pool, and add waiting work of a number of core-seconds."""
    work_s = spec_steps.count * spec_steps.size.cpu_milli * spec_steps.estimate_ms / 1e6
    for _ in range(int(cores_s / work_s) + 1):
        accept_job(cell, make_job(spec_steps, queue=queue), 0)
    while plan_starts(cell, 0):
        pass


def _forecast(cell: Cell, now_ms: int = 0) -> PoolForecast:
    (forecast,), age_ms = LoadForecaster(cell).current(now_ms, 0)
    assert age_ms == 0
    return forecast


def _decide(spec: JobSpec, forecast: PoolForecast, age_ms: int = 0) -> Refusal | None:
    queue = config().queues[spec.queue]
    return find_refusal(spec, queue, forecast, age_ms, orders_late_by_work=True)


class AdmissionTest(unittest.TestCase):
    """Which new jobs are refused."""

    def test_job_that_cannot_end_in_time_is_refused(self) -> None:
        """Urgent work of 10 s waits: it was accepted, and of no use when it started.

        Callers that are all told the same time come back together.
        """
        cell = _cell()
        _overload(cell, SMALL, URGENT, 10 * POOL_MILLI // 1000)
        forecast = _forecast(cell, 300)
        refusals = [_decide(make_job(SMALL, queue=URGENT), forecast) for _ in range(50)]
        self.assertNotIn(None, refusals)
        times_s = {refusal.retry_after_s for refusal in refusals}
        self.assertGreater(len(times_s), 5)
        self.assertAlmostEqual(refusals[0].on_time.wait_ms, 10_000, delta=1_500)
        self.assertEqual(refusals[0].limit_ms, 3_630)
        # Until 3.63 s are left it takes at least 3 s, and the backlog is gone after 10 s.
        self.assertGreaterEqual(min(times_s), 3)
        self.assertLessEqual(max(times_s), 15)

    def test_batch_waits_for_what_urgent_work_leaves(self) -> None:
        """A batch job goes by the rate that urgent arrivals leave, and for it alone it is late."""
        cell = _cell()
        _overload(cell, WIDE, BATCH, 50 * POOL_MILLI // 1000)
        all_of_it = _forecast(cell, 10_000)
        half = replace(all_of_it, urgent_rate_milli=POOL_MILLI // 2)
        self.assertIsNone(_decide(make_job(WIDE), all_of_it))
        self.assertIsNotNone(_decide(make_job(WIDE), half))

    def test_urgent_job_goes_before_a_backlog(self) -> None:
        """A backlog of 200 s of batch work is behind a small urgent job, and once late behind any.

        To refuse it, as the number of waiting jobs would, gives capacity away.
        """
        cell = _cell()
        _overload(cell, WIDE, BATCH, 200 * POOL_MILLI // 1000)
        for now_ms, is_refused in ((10_000, True), (20_000, False)):
            forecast = _forecast(cell, now_ms)
            self.assertIsNone(_decide(make_job(SMALL, queue=URGENT), forecast))
            self.assertEqual(_decide(make_job(WIDE), forecast) is not None, is_refused)

    def test_team_at_its_limit_delays_no_other(self) -> None:
        """Work that waits for the limit of its team was taken to go before that of others."""
        cell = make_cell(WORKERS, config(Resources(20_000, 0, 0)))
        _overload(cell, WIDE, BATCH, 200 * POOL_MILLI // 1000)
        self.assertIsNone(_decide(make_job(WIDE), _forecast(cell)))
        self.assertEqual(cell.team_allocations[TEAM].cpu_milli, 20_000)

    def test_free_capacity_admits(self) -> None:
        """Waiting work that no worker fits, beside a pool that is half free, refuses nothing."""
        self.assertIsNotNone(_decide(make_job(WIDE), FULL))
        self.assertIsNone(_decide(make_job(WIDE), replace(FULL, free_milli=50_000)))
        one = make_job(make_step(1, CORES_5, estimate_ms=4_000))
        self.assertIsNone(_decide(one, replace(FULL, free_milli=13_000, free_slots=(2,) * 20)))
        scattered = replace(FULL, free_milli=13_000, free_slots=(9, 9, 4))
        self.assertIsNotNone(_decide(one, scattered))

    def test_odd_forecasts_and_jobs_are_accepted(self) -> None:
        """Nothing is refused by an old forecast, an odd one, or without an objective."""
        spec = make_job(WIDE)
        self.assertIsNone(_decide(spec, FULL, 1_001))
        self.assertIsNone(_decide(spec, FULL, -1))
        for fields in ({"capacity_milli": 0}, {"rate_milli": 0}, {"urgent": ()}, {"late": (1,)}):
            self.assertIsNone(_decide(spec, replace(FULL, **fields)))
        queue = config().queues[BATCH]
        for odd in (
            replace(queue, stretch=0.0, latency_ms=0),
            replace(queue, latency_ms=-(10**9)),
        ):
            self.assertIsNone(find_refusal(spec, odd, FULL, 0, orders_late_by_work=True))
        for fields in ({"is_service": True}, {"is_filler": True}):
            self.assertIsNone(_decide(make_job(replace(WIDE, **fields)), FULL))
        self.assertIsNone(_decide(make_job(WIDE, occurrences=5, interval_ms=1_000), FULL))
        for estimate_ms in (0, YEAR_MS):
            refusal = _decide(make_job(replace(WIDE, estimate_ms=estimate_ms)), FULL)
            self.assertTrue(refusal is None or 1 <= refusal.retry_after_s <= 60)


class RateTest(unittest.TestCase):
    """The rate at which a pool completes work."""

    def _rate(self, *, is_full: bool) -> float:
        """Return the rate after 20 s in which half of the pool's runs end at their estimate."""
        cell = _cell()
        forecaster = LoadForecaster(cell)
        forecaster.current(0, 0)
        for now_ms in range(1_000, 21_000, 1_000):
            if is_full:
                _overload(cell, make_step(50, estimate_ms=1_000), BATCH, 2 * POOL_MILLI // 1000)
            runs = [run for worker in cell.workers.values() for run in worker.runs.values()]
            for run in runs[::2]:
                end_run(cell, run)
                forecaster.record_end(run, RunEnd.DONE)
                forecaster.record_end(run, RunEnd.FAILED)
            (forecast,), _ = forecaster.current(now_ms, 0)
        return forecast.rate_milli / POOL_MILLI

    def test_rate_is_measured_while_work_waits(self) -> None:
        """Runs that take twice their estimate halve the rate; an idle pool's is its capacity.

        The rate of a pool without load is low, and would have refused the first jobs of a burst.
        """
        self.assertAlmostEqual(self._rate(is_full=True), 0.5, delta=0.1)
        self.assertEqual(self._rate(is_full=False), 1.0)

    def test_classes_fit_the_message(self) -> None:
        """An estimate of thousands of years is bounded, so that the message can be encoded."""
        cell = _cell()
        accept_job(cell, make_job(make_step(5_000, CORES_5, estimate_ms=10**15)), 0)
        forecast = _forecast(cell)
        self.assertEqual(len(forecast.on_time), len(EDGES_MS) + 1)
        self.assertLess(max(forecast.on_time), 2**63)
