"""Load test: gangs that need advice of the placement policy, in a cell that is mostly full.

Few of the allowed workers fit more than one member, so a gang needs advice for many workers at
once. On the grown andinas site gangs waited for a second and third request while a third of all
processors was idle.
"""

import unittest
from unittest.mock import patch

from bench.cell_cost import HOLD, MATCH, RENDER, make_job_kinds, make_teams, new_simulation
from bench.cell_simulation import SimulationResult, generate_arrivals
from lagoonshelf_core.jobs import advice_requests
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

WORKERS = 176
TEAMS = make_teams()
LOAD_MS = 12_000
END_MS = 45_000
# Former maximum number of workers in a request, before requests were sized by a step's needs.
FORMER_MAX_WORKERS = 40


def _simulate(factor: float) -> SimulationResult:
    load = generate_arrivals(make_job_kinds(factor), [team.id for team in TEAMS], LOAD_MS, 5)
    return new_simulation(TEAMS, WORKERS, 0.45).run(load, END_MS)


class AdvisedGangsTest(unittest.TestCase):
    """The grown mix at 1.5 times its rate, which needs about all processors of the cell."""

    def test_gangs_end_in_time_without_delaying_other_queues(self) -> None:
        """More gangs end in time than with requests of the former size on the same load."""
        with patch.object(advice_requests, "MAX_WORKERS_PER_REQUEST", FORMER_MAX_WORKERS):
            former = _simulate(1.5)
        current = _simulate(1.5)
        self.assertGreaterEqual(current.in_time[RENDER], 0.9 * current.arrived[RENDER])
        self.assertGreater(current.in_time[RENDER], former.in_time[RENDER])
        for queue in (MATCH, HOLD):
            self.assertGreaterEqual(current.in_time[queue], 0.98 * former.in_time[queue])
        self.assertEqual(len(current.completion_ms), sum(current.arrived.values()))


class LateStepsTest(unittest.TestCase):
    """Many late steps, most of which do not fit on any worker."""

    def test_late_gangs_do_not_block_advice_requests_of_other_steps(self) -> None:
        """Advice must be requested for a late job that idle workers could run.

        Late gangs that could not start took all requests of a pass (LOST, grown andinas).
        """
        cell = make_cell(4)
        for _ in range(2 * advice_requests.MAX_ADVISED_STEPS):
            accept_job(
                cell, make_job(make_step(9, Resources(60_000, 1, 0), is_gang=True), queue=ADVISED)
            )
        late_ms = 6_000
        for request in plan_advice_requests(cell):
            permits = dict.fromkeys(request.workers, "permit")
            cell.permits.response_received(
                request.step.name, ADVISED, request.workers, permits, 0, 2_000
            )
        late_job = accept_job(cell, make_job(queue=ADVISED))
        late_job.received_ms = -100_000
        requested = set()
        for now_ms in range(late_ms, late_ms + 1_000, 10):
            requested.update(request.step.job.id for request in plan_advice_requests(cell, now_ms))
        self.assertIn(late_job.id, requested)

    def test_steps_on_time_are_requested_first(self) -> None:
        """A pass checks only a few late steps, after the steps that are on time."""
        cell = make_cell(4)
        for _ in range(2 * advice_requests.MAX_ADVISED_STEPS):
            accept_job(cell, make_job(queue=ADVISED)).received_ms = -4_000
        on_time_job = accept_job(cell, make_job(queue=ADVISED))
        requested = [request.step.job.id for request in plan_advice_requests(cell)]
        self.assertEqual(requested[0], on_time_job.id)
        self.assertLessEqual(len(requested), 1 + advice_requests.MAX_LATE_CHECKS)

    def test_capacity_is_reserved_for_the_first_late_gang(self) -> None:
        """Without a reservation, single tasks of its band take each free slot.

        The gang then never starts (LOST, grown andinas).
        """
        cell = make_cell(4)
        size = Resources(30_000, 1, 0)
        running_job = accept_job(cell, make_job(make_step(4, size)))
        running = plan_starts(cell)
        confirm_starts(cell, running)
        gang = accept_job(cell, make_job(make_step(8, size, is_gang=True)))
        others = [accept_job(cell, make_job(make_step(4, size))) for _ in range(9)]
        for number, late in enumerate((gang, *others)):
            late.received_ms = number - 100_000
        for run in running:
            self.assertEqual(plan_starts(cell, 100), [], "capacity for one task at a time")
            end_run(cell, run)
        self.assertTrue(running_job.is_final)
        started = plan_starts(cell, 200)
        self.assertEqual({run.task.job for run in started}, {gang})
        self.assertEqual(len(started), 8, "it uses the reserve, as it could not run beside it")
