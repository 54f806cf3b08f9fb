"""Reserve for urgent work by a forecast of its arrivals.

Load: 69 urgent jobs of 15 cores per second beside batch work on 5,632 cores. The fixed shares keep
8% to 24% of a pool free at any load, also where no urgent job has come for hours.
"""

import unittest
from random import Random

from lagoonshelf_core.jobs.arrival_forecast import LARGEST_MS, MIN_OBSERVED_MS, ArrivalForecast
from lagoonshelf_core.jobs.capacity import RESERVE_PERMILLE, fixed_reserve_milli
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.progress import Run
from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    HOST,
    POOL,
    URGENT,
    accept_job,
    config,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_starts,
    worker_info,
)

CAPACITY_MILLI = 5_632_000
SMALL = make_job(make_step(3, Resources(5_000, 1_024, 0), estimate_ms=640), queue=URGENT)
QUEUE = config().queues[URGENT]
WORKER = Worker(worker_info(0))
RATE_PER_MS = 0.0688
OBSERVED_MS = 30_000


def _run(cores: int) -> Run:
    run = Run("x", 1, "w", Resources(1_000 * cores, 0, 0), None, None, None, 0)
    run.is_filler = False
    return run


def _observe(
    ends_per_ms: float, cores: int, *, jobs: int = 1, until_ms: int = OBSERVED_MS
) -> ArrivalForecast:
    """Return a forecast that has seen Poisson arrivals, and ends of runs of a size.

    :param jobs: number of urgent jobs that are submitted together
    """
    rng, forecast, run = Random(5), ArrivalForecast(), _run(cores)
    for now_ms in range(1, until_ms):
        if rng.random() < RATE_PER_MS / jobs:
            for _ in range(jobs):
                forecast.record_job(QUEUE, SMALL, now_ms)
        if rng.random() < ends_per_ms:
            forecast.record_end(WORKER, run, now_ms)
    return forecast


def _permille(forecast: ArrivalForecast, band: Band, now_ms: int = OBSERVED_MS) -> float:
    return 1000 * forecast.reserve_milli(POOL, CAPACITY_MILLI, band, now_ms) / CAPACITY_MILLI


class ArrivalForecastTest(unittest.TestCase):
    """Reserves of a pool that frees 1.9 cores per millisecond unless a test says otherwise."""

    def test_reserve_follows_the_variance(self) -> None:
        """Jobs that come together, or wide runs that end together, need more kept free."""
        smooth = _permille(_observe(0.19, 10), Band.ON_TIME)
        together = _permille(_observe(0.19, 10, jobs=40), Band.ON_TIME)
        in_lumps = _permille(_observe(0.0038, 500), Band.ON_TIME)
        self.assertLess(smooth, RESERVE_PERMILLE[Band.ON_TIME] / 2)
        self.assertGreater(together, 2 * smooth)
        self.assertGreater(in_lumps, 2 * smooth)

    def test_lower_bands_keep_more_and_never_more_than_the_shares(self) -> None:
        """A reserve without bound would keep all other work out of the pool."""
        for forecast in (_observe(0.19, 10), _observe(0.01, 10), _observe(0.0, 10, jobs=500)):
            reserves = [_permille(forecast, band) for band in Band]
            self.assertEqual(reserves, sorted(reserves))
            for band, reserve in zip(Band, reserves, strict=True):
                self.assertLessEqual(reserve, RESERVE_PERMILLE[band])

    def test_risk_is_kept(self) -> None:
        """Guards against a quantile that is no risk: urgent CPU beyond what is free and freed."""
        forecast = _observe(0.19, 10)
        reserve_milli = forecast.reserve_milli(POOL, CAPACITY_MILLI, Band.ON_TIME, OBSERVED_MS)
        rng, free_milli, short, horizon_ms = Random(7), 0.0, 0, 200_000
        for _ in range(horizon_ms):
            free_milli -= 15_000 * (rng.random() < RATE_PER_MS)
            free_milli = min(reserve_milli, free_milli + 10_000 * (rng.random() < 0.19))
            short += free_milli < 0
        self.assertLess(short / horizon_ms, 0.02)

    def test_without_observations_or_arrivals(self) -> None:
        """The shares apply until there is a forecast, and nothing is kept for what never comes."""
        forecast = _observe(0.19, 10, until_ms=MIN_OBSERVED_MS // 2)
        self.assertEqual(_permille(forecast, Band.LATE, MIN_OBSERVED_MS // 2), 160)
        self.assertEqual(_permille(ArrivalForecast(), Band.LATE), 160)
        forecast = _observe(0.19, 10)
        later_ms = OBSERVED_MS + LARGEST_MS - 1_000
        reserve_milli = forecast.reserve_milli(POOL, CAPACITY_MILLI, Band.LATE, later_ms)
        self.assertGreaterEqual(reserve_milli, 15_000)
        self.assertEqual(_permille(forecast, Band.LATE, later_ms + 2_000), 0)
        self.assertLessEqual(_permille(forecast, Band.LATE, -1), 160)

    def test_pass_goes_by_the_forecast_behind_its_switch(self) -> None:
        """With the switch batch work may take what no urgent work has needed."""
        for forecasts_reserve in (False, True):
            cell = make_cell(4)
            cell.options = SchedulerOptions(forecasts_reserve=forecasts_reserve)
            accept_job(cell, make_job(queue=URGENT), 0)
            for run in plan_starts(cell, 0):
                end_run(cell, run)
            accept_job(cell, make_job(make_step(100, estimate_ms=60_000)), 100_000)
            runs = plan_starts(cell, 100_000)
            used_milli = sum(run.size.cpu_milli for run in runs)
            pool_milli = 4 * HOST.cpu_milli
            fixed_milli = pool_milli - fixed_reserve_milli(pool_milli, Band.ON_TIME)
            self.assertEqual(used_milli > fixed_milli, forecasts_reserve)
