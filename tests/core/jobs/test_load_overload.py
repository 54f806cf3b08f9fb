"""Load test: after a burst, and after a restart with a thousand jobs of no use any more.

Urgent jobs that arrive at ordinary load have to end in time from RECOVERY_MS on, regardless of the
old backlog: its steps, holds, advice requests and runs must not keep them waiting.
"""

import unittest
from dataclasses import replace

from bench.cell_cost import (
    HOLD,
    WORKER_CAPACITY,
    make_job_kinds,
    make_queues,
    make_teams,
)
from bench.cell_simulation import (
    Arrival,
    CellSimulation,
    SimulationResult,
    generate_arrivals,
    make_config,
    make_worker_infos,
)
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.spec import JobId

WORKERS = 44
SITE_WORKERS = 176
TEAMS = make_teams()
# The smallest cell has this many members, which call the placement policy one at a time.
MEMBERS = 6
BURST_MS = 3_000
BURST_FACTOR = 6.0
OLD_JOBS = 1_000
OLD_MS = 600_000
# After the end of the burst, or after the restart.
RECOVERY_MS = 2_000
MEASURED_MS = 3_000
ALL_ON = SchedulerOptions(orders_late_by_work=True, forecasts_reserve=True)


def _arrivals(factor: float, until_ms: int, seed: int, prefix: str) -> list[Arrival]:
    """Return the mix of the grown site, scaled to the workers and by a factor."""
    kinds = make_job_kinds(factor * WORKERS / SITE_WORKERS)
    load = generate_arrivals(kinds, [team.id for team in TEAMS], until_ms, seed)
    return [
        replace(row, spec=replace(row.spec, id=JobId(prefix + row.spec.id[1:]))) for row in load
    ]


def _simulation() -> CellSimulation:
    simulation = CellSimulation(
        make_config(make_queues(), TEAMS),
        make_worker_infos(WORKERS, WORKER_CAPACITY),
        advice_members=MEMBERS,
        allowed_share=0.6,
    )
    simulation.cell.options = ALL_ON
    return simulation


def _urgent_in_time(result: SimulationResult, load: list[Arrival], from_ms: int) -> float:
    """Return the share of the urgent jobs received from a time on that ended in time."""
    urgent = [
        row.spec.id in result.in_time_jobs
        for row in load
        if row.spec.queue == HOLD and from_ms <= row.at_ms < from_ms + MEASURED_MS
    ]
    assert len(urgent) > 20
    return sum(urgent) / len(urgent)


class OverloadEndsTest(unittest.TestCase):
    """The grown mix on a quarter of its workers, with the optional parts that decide in passes."""

    def test_burst(self) -> None:
        """Three seconds at six times the ordinary load leave seconds of work."""
        from_ms = BURST_MS + RECOVERY_MS
        until_ms = from_ms + MEASURED_MS
        load = _arrivals(1.0, until_ms, 3, "a")
        burst = _arrivals(BURST_FACTOR, BURST_MS, 4, "b")
        result = _simulation().run(load + burst, until_ms + 3_000)
        self.assertGreaterEqual(_urgent_in_time(result, load, from_ms), 0.98)

    def test_restart_with_a_thousand_jobs_too_late(self) -> None:
        """Work of no use took the advice slots and the capacity that new work needed.

        It is still owed, and takes what the new work and the reserve of its band leave.
        """
        until_ms = RECOVERY_MS + MEASURED_MS
        simulation = _simulation()
        old = _arrivals(1.0, 90_000, 4, "b")[:OLD_JOBS]
        self.assertEqual(len(old), OLD_JOBS)
        for row in old:
            simulation._task_ms[row.spec.id] = row.task_ms
            simulation.cell.accept(row.spec, -OLD_MS)
        load = _arrivals(1.0, until_ms, 3, "a")
        result = simulation.run(load, until_ms + 3_000)
        self.assertGreaterEqual(_urgent_in_time(result, load, RECOVERY_MS), 0.98)
        workers = simulation.cell.workers.values()
        used_milli = sum(worker.used.cpu_milli for worker in workers)
        self.assertGreater(used_milli, 0.7 * WORKERS * WORKER_CAPACITY.cpu_milli)
