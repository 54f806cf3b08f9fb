"""Load test: gangs of many large tasks in a cell that uses four fifths of its processors.

On the large andinas site a gang needs 20 tasks of 18 processors on workers of 64, of which the
policy allows three in ten. Smaller work took each part of a worker that fell free, so that gangs
waited for tens of seconds and some never started (scalp-map, worth 0.2 to 0.5; LOST).
"""

import unittest
from unittest.mock import patch

from bench.cell_cost import HOLD, MATCH, RENDER, WORKER_CAPACITY, make_queues, make_teams
from bench.cell_simulation import (
    CellSimulation,
    JobKind,
    SimulationResult,
    generate_arrivals,
    make_config,
    make_worker_infos,
)
from lagoonshelf_core.jobs import planning
from lagoonshelf_core.jobs.progress import Run
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    ADVISED,
    accept_job,
    confirm_starts,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_advice_requests,
    plan_starts,
)

WORKERS = 90
SITE_WORKERS = 270
TEAMS = make_teams()
LOAD_MS = 12_000
END_MS = 60_000
RATE = WORKERS / SITE_WORKERS
KINDS = [
    JobKind(RENDER, 4.26 * RATE, 1, 20, 4_000, Resources(18_000, 18_000, 0), 1.0),
    JobKind(MATCH, 8.3 * RATE, 1, 19, 2_700, Resources(11_000, 16_000, 0)),
    JobKind(HOLD, 49.4 * RATE, 1, 3, 800, Resources(16_000, 29_000, 0), 0.3),
]
ALLOWED_SHARES = {RENDER: 0.3, MATCH: 0.45, HOLD: 0.7}


def _simulate(seed: int) -> SimulationResult:
    simulation = CellSimulation(
        make_config(make_queues(), TEAMS),
        make_worker_infos(WORKERS, WORKER_CAPACITY),
        advice_members=32,
    )
    simulation.allowed_shares = ALLOWED_SHARES
    load = generate_arrivals(KINDS, [team.id for team in TEAMS], LOAD_MS, seed)
    return simulation.run(load, END_MS)


class LargeGangsTest(unittest.TestCase):
    """The mix of the large site at its rate, on a third of its workers."""

    def test_more_gangs_end_in_time_than_without_held_workers(self) -> None:
        """The other queues lose nothing by it, and every job ends."""
        with patch.object(planning, "hold_workers", lambda *args: None):
            former = [_simulate(seed) for seed in (1, 2)]
        current = [_simulate(seed) for seed in (1, 2)]
        self.assertGreater(
            sum(result.in_time[RENDER] for result in current),
            sum(result.in_time[RENDER] for result in former),
        )
        for queue in (MATCH, HOLD):
            self.assertGreaterEqual(
                sum(result.in_time[queue] for result in current),
                0.98 * sum(result.in_time[queue] for result in former),
            )
        for result in current:
            self.assertEqual(len(result.completion_ms), sum(result.arrived.values()))


class HeldWorkersTest(unittest.TestCase):
    """A gang that waits for four full workers, each with one task of 30 processors twice."""

    def setUp(self) -> None:
        self.size = Resources(30_000, 1, 0)
        self.cell = make_cell(4)
        accept_job(self.cell, make_job(make_step(8, self.size, estimate_ms=4_000)))
        self.running = plan_starts(self.cell)
        confirm_starts(self.cell, self.running)

    def _answer_requests(self, now_ms: int) -> None:
        for request in plan_advice_requests(self.cell, now_ms):
            permits = dict.fromkeys(request.workers, "permit")
            self.cell.permits.response_received(
                request.step.name, ADVISED, request.workers, permits, now_ms, 2_000
            )

    def _starts(self, now_ms: int) -> list[Run]:
        return plan_starts(self.cell, now_ms)

    def test_workers_stay_held_while_permits_are_renewed(self) -> None:
        """Guards against losing the held workers in the time without valid permits.

        A gang with half of its workers free lost them to a flow of smaller work.
        """
        gang = make_step(8, self.size, is_gang=True, estimate_ms=4_000)
        gang_job = accept_job(self.cell, make_job(gang, queue=ADVISED))
        self._answer_requests(10)
        self.assertEqual(self._starts(20), [])
        for run in self.running[:4]:
            end_run(self.cell, run)
        accept_job(self.cell, make_job(make_step(8, self.size)), 2_500)
        self.assertEqual(self._starts(2_500), [], "permits have lapsed, the workers are held")
        self.cell.permits.request_failed(next(iter(gang_job.steps.values())).name, 2_500)
        for run in self.running[4:]:
            end_run(self.cell, run)
        self._answer_requests(2_750)
        started = self._starts(2_760)
        self.assertEqual({run.task.job for run in started}, {gang_job})
        self.assertEqual(len(started), 8)

    def test_urgent_work_may_use_held_workers(self) -> None:
        """Guards against urgent work that waits for a gang."""
        gang = make_step(8, self.size, is_gang=True, estimate_ms=4_000)
        accept_job(self.cell, make_job(gang))
        self.assertEqual(self._starts(20), [])
        end_run(self.cell, self.running[0])
        urgent = accept_job(self.cell, make_job(make_step(1, self.size), queue="urgent"), 30)
        self.assertEqual([run.task.job for run in self._starts(40)], [urgent])

    def test_a_late_gang_keeps_what_it_has_waited_for(self) -> None:
        """Guards against giving up held workers when the gang becomes late."""
        gang = make_step(8, self.size, is_gang=True, estimate_ms=4_000)
        job = accept_job(self.cell, make_job(gang))
        self.assertEqual(self._starts(20), [])
        step = next(iter(job.steps.values()))
        held = step.hold.workers
        job.received_ms = -18_000
        self.assertEqual(self._starts(40), [])
        self.assertEqual(step.hold.workers, held)


class UnusedCapacityTest(unittest.TestCase):
    """A gang of small parts in an empty cell."""

    def test_a_gang_that_fits_starts_however_late_it_is(self) -> None:
        """Guards against a gang that could run and does not.

        Advice counted processors that a late gang then had to leave free on each worker, so that
        it never asked for more workers (large andinas, quiet-1: 51 tasks of 13 processors).
        """
        cell = make_cell(13)
        size = Resources(13_000, 32_000, 0)
        gang = make_step(51, size, is_gang=True)
        job = accept_job(cell, make_job(gang, queue=ADVISED))
        job.received_ms = -60_000
        for request in plan_advice_requests(cell, 0):
            permits = dict.fromkeys(request.workers, "permit")
            cell.permits.response_received(
                request.step.name, ADVISED, request.workers, permits, 0, 2_000
            )
        self.assertEqual(len(plan_starts(cell, 10)), 51)
