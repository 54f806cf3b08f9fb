"""Tests of the supervision of runs."""

import unittest

from lagoonshelf_core.jobs.supervision import STALL_MS, SUPERVISION_INTERVAL_MS, supervise
from lagoonshelf_core.jobs.worker_reports import RunningRow, apply_report
from tests.support.jobs import (
    accept_job,
    confirm_starts,
    make_cell,
    make_job,
    plan_starts,
    take_stops,
)


class StallTest(unittest.TestCase):
    """One run of a task whose estimate is one second."""

    def setUp(self) -> None:
        self.cell = make_cell(1)
        accept_job(self.cell, make_job())
        (self.run_,) = plan_starts(self.cell)
        confirm_starts(self.cell, [self.run_])
        self.worker = self.cell.workers[self.run_.worker]

    def _report(self, percent: int, now_ms: int) -> None:
        row = RunningRow(self.run_.name, self.run_.attempt, "", percent, 0.0)
        apply_report(self.cell, self.worker, [row], [], now_ms, now_ms)

    def test_a_run_without_a_report_is_not_stalled(self) -> None:
        """Guards against giving up the runs of a worker that is only silent.

        A leader that was late took runs whose reports it had not read for stalled ones
        (large andinas, small quiet-1).
        """
        self._report(20, 100)
        supervise(self.cell, 100 + 5 * STALL_MS)
        self.assertEqual(take_stops(self.cell), [])
        self._report(90, 100 + 5 * STALL_MS)
        supervise(self.cell, 100 + 5 * STALL_MS + SUPERVISION_INTERVAL_MS)
        self.assertEqual(take_stops(self.cell), [])

    def test_a_run_whose_reports_show_no_progress_is_stopped(self) -> None:
        """Guards against runs that stand still for ever."""
        self._report(20, 100)
        for now_ms in range(600, 100 + 2 * STALL_MS, 500):
            self._report(20, now_ms)
            supervise(self.cell, now_ms)
        self.assertEqual(take_stops(self.cell), [self.run_])
