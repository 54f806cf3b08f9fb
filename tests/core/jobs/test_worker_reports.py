"""Reports of workers that may be cut."""

import unittest

from lagoonshelf_core.jobs.progress import RunEnd
from lagoonshelf_core.jobs.supervision import STALL_MS, supervise
from lagoonshelf_core.jobs.worker_reports import EndedRow, apply_report
from tests.support.jobs import (
    accept_job,
    confirm_starts,
    make_cell,
    make_job,
    make_step,
    plan_starts,
    take_stops,
)


class CutReportTest(unittest.TestCase):
    """Guards against a run that is taken to be lost because its end is not listed yet."""

    def setUp(self) -> None:
        self.cell = make_cell(1)
        self.worker = self.cell.workers["w000"]
        accept_job(self.cell, make_job(make_step(2)))
        self.runs = plan_starts(self.cell)

    def _report(self, at_ms: int, *ended: EndedRow, may_be_cut: bool) -> None:
        apply_report(self.cell, self.worker, [], ended, at_ms, at_ms, may_be_cut=may_be_cut)

    def test_a_run_is_kept_until_a_complete_list(self) -> None:
        confirm_starts(self.cell, self.runs)
        first, second = self.runs
        self._report(10, EndedRow(1, first.name, 1, RunEnd.DONE, ""), may_be_cut=True)
        self.assertEqual(plan_starts(self.cell, 10), [])
        self._report(20, EndedRow(2, second.name, 1, RunEnd.DONE, ""), may_be_cut=False)
        self.assertTrue(second.task.is_done)

    def test_a_run_that_no_complete_list_has_is_lost(self) -> None:
        confirm_starts(self.cell, self.runs, 1)
        self._report(10, may_be_cut=True)
        self._report(20, may_be_cut=False)
        self.assertEqual([run.attempt for run in plan_starts(self.cell, 20)], [2, 2])

    def test_a_stopped_run_whose_start_was_not_answered_is_kept(self) -> None:
        for run in self.runs:
            self.cell.stop_run(run, "start not answered")
            run.confirmed_ms = 5
        self._report(10, may_be_cut=True)
        self.assertEqual(plan_starts(self.cell, 10), [])

    def test_it_is_not_taken_to_have_stalled(self) -> None:
        confirm_starts(self.cell, self.runs)
        for at_ms in range(0, 3 * STALL_MS, 500):
            self._report(at_ms, may_be_cut=True)
            supervise(self.cell, at_ms)
        self.assertEqual(take_stops(self.cell), [])


class EndNotesTest(unittest.TestCase):
    """Log entries that tell which report ended an attempt."""

    def test_an_end_hidden_by_that_of_an_unknown_run_is_logged(self) -> None:
        """Guards against a task that starts again without a line that says why."""
        cell = make_cell(2)
        accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        confirm_starts(cell, [run])
        other = next(worker for worker in cell.workers.values() if worker.id != run.worker)
        lapsed = EndedRow(1, run.name, run.attempt, RunEnd.LAPSED, "")
        for _ in range(2):
            apply_report(cell, other, [], [lapsed], 10, 20)
        done = EndedRow(1, run.name, run.attempt, RunEnd.DONE, "")
        apply_report(cell, cell.workers[run.worker], [], [done], 10, 20)
        notes = [(message, fields.get("worker")) for message, fields in cell.notes]
        self.assertEqual(notes.count(("unknown runs ended", other.id)), 1)
        self.assertIn(("run end not counted", run.worker), notes)
