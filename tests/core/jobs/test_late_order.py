"""Late work by its size: small late jobs pass a wide one for a bounded time, and none starves.

Load: a hundred urgent jobs of 3 tasks of 5 cores that are late but of use, beside one late gang of
1,440 core-seconds, on 512 cores. By receipt alone the gang goes first and takes most of them.
"""

import unittest

from lagoonshelf_core.jobs.advice_lanes import AdviceBudget
from lagoonshelf_core.jobs.advice_requests import least_cost_ms
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import RequestAdvice
from lagoonshelf_core.jobs.late_order import order_late_by_work, virtual_finish_ms
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.planning import plan
from lagoonshelf_core.jobs.ranking import Band, objective_ms
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    ADVISED,
    HOST,
    URGENT,
    accept_job,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_starts,
)

WORKERS = 8
# Its objective is 19 s: it is late once it has waited for 15 s, and too late after 53 s.
WIDE = make_step(24, Resources(15_000, 1_024, 0), estimate_ms=4_000, is_gang=True)
# Its objective is 1.21 s: it is late once it has waited for 0.57 s, and too late after 2.99 s.
SMALL = make_step(3, Resources(5_000, 1_024, 0), estimate_ms=640)
SMALL_TASK_MS = 640
WIDE_DELAY_MS = 19_000


def _cell(*, orders_late_by_work: bool = True) -> Cell:
    cell = make_cell(WORKERS)
    cell.options = SchedulerOptions(orders_late_by_work=orders_late_by_work)
    return cell


def _accept_small(cell: Cell, count: int, received_ms: int) -> None:
    for _ in range(count):
        accept_job(cell, make_job(SMALL, queue=URGENT), received_ms)


def _advised(cell: Cell, now_ms: int, left_ms: float, full_ms: float) -> list[RequestAdvice]:
    """Return the advice requests of a pass with a part of the policy's time left."""
    plan(cell, now_ms, now_ms, AdviceBudget(left_ms, full_ms=full_ms))
    commands, cell.commands = cell.commands, []
    return [command for command in commands if isinstance(command, RequestAdvice)]


class LateOrderTest(unittest.TestCase):
    """Order and advice of late steps."""

    def _starts_wide(self, small_received_ms: int, **fields: bool) -> bool:
        """Return whether a gang received at 0 starts before a hundred late small jobs."""
        cell = _cell(**fields)
        wide = accept_job(cell, make_job(WIDE), 0)
        _accept_small(cell, 100, small_received_ms)
        runs = plan_starts(cell, small_received_ms + 1_000)
        return wide.id in {run.task.job.id for run in runs}

    def test_small_jobs_pass_a_wide_one_for_a_bounded_time(self) -> None:
        """Without the switch the gang goes first; with it, only small jobs received long after."""
        self.assertTrue(self._starts_wide(15_000, orders_late_by_work=False))
        self.assertFalse(self._starts_wide(15_000))
        self.assertTrue(self._starts_wide(WIDE_DELAY_MS + 500))

    def test_hold_of_a_later_gang_keeps_no_smaller_job_out(self) -> None:
        """A late gang that held all free workers kept the small jobs before it waiting."""
        cell = _cell()
        accept_job(cell, make_job(SMALL, queue=URGENT), 14_800)
        blocker = plan_starts(cell, 14_800)
        wide = accept_job(cell, make_job(make_step(32, WIDE.size, is_gang=True)), 0)
        self.assertEqual(len(blocker), 3)
        plan_starts(cell, 15_500)
        self.assertIsNotNone(wide.steps[(0, 0)].hold)
        _accept_small(cell, 5, 15_000)
        self.assertEqual(len(plan_starts(cell, 16_000)), 15)

    def test_wide_job_does_not_starve(self) -> None:
        """Small late jobs that fill the pool without end held the gang back without bound."""
        cell = _cell()
        wide = accept_job(cell, make_job(WIDE), 0)
        for now_ms in range(16_000, 53_000, SMALL_TASK_MS):
            _accept_small(cell, 40, now_ms - 1_000)
            runs = plan_starts(cell, now_ms)
            if wide.id in {run.task.job.id for run in runs}:
                break
            for run in runs:
                end_run(cell, run)
        self.assertLess(now_ms, WIDE_DELAY_MS + 5_000)

    def test_too_late_work_leaves_the_policy_to_useful_work(self) -> None:
        """After a restart a thousand too-late steps used the placement policy for seconds."""
        cell = _cell()
        for _ in range(1_000):
            accept_job(cell, make_job(make_step(25), queue=ADVISED), 0)
        full_ms = 20 * least_cost_ms(cell.cfg.queues[ADVISED])
        left_ms = full_ms
        for now_ms in range(60_000, 60_010):
            left_ms -= sum(request.cost_ms for request in _advised(cell, now_ms, left_ms, full_ms))
        self.assertLess(left_ms, full_ms)
        self.assertGreaterEqual(left_ms, full_ms / 2)
        new = accept_job(cell, make_job(queue=ADVISED), 60_010)
        (request,) = _advised(cell, 60_010, left_ms, full_ms)
        self.assertEqual(request.step.job.id, new.id)

    def test_too_late_work_uses_the_rest_of_the_policy(self) -> None:
        """Guards against accepted jobs that wait in an idle cell, four at a time, for advice."""
        cell = _cell()
        for _ in range(100):
            accept_job(cell, make_job(make_step(2), queue=ADVISED), 0)
        full_ms = 20 * least_cost_ms(cell.cfg.queues[ADVISED])
        self.assertGreaterEqual(len(_advised(cell, 60_000, full_ms, full_ms)), 8)

    def test_odd_estimates(self) -> None:
        """An estimate of 0, or of a year, postpones a job by more than 0 and at most its bound."""
        cell = _cell()
        for estimate_ms in (0, 31_536_000_000):
            wide = make_step(5_000, SMALL.size, estimate_ms=estimate_ms)
            step = accept_job(cell, make_job(wide), 0).steps[(0, 0)]
            queue = cell.queue_of(step.job)
            finish_ms = virtual_finish_ms(step, queue, WORKERS * HOST.cpu_milli)
            self.assertGreater(finish_ms, 0)
            self.assertLessEqual(finish_ms, objective_ms(step, queue))
            row = (Band.LATE, 0.0)
            self.assertEqual(order_late_by_work(row, step, queue, 0), row)
