"""Tests of the supervision of runs."""

import unittest

from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import PaceRun
from lagoonshelf_core.jobs.progress import RunEnd
from lagoonshelf_core.jobs.supervision import STALL_MS, SUPERVISION_INTERVAL_MS, supervise
from lagoonshelf_core.jobs.worker_reports import RunningRow, apply_report
from tests.support.jobs import (
    accept_job,
    confirm_starts,
    end_run,
    make_cell,
    make_job,
    make_step,
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


class PaceTest(unittest.TestCase):
    """A filler beside a task of a service on one worker."""

    def setUp(self) -> None:
        self.service = make_job(make_step(is_service=True, target_tail_ms=100))
        self.filler = make_job(make_step(is_filler=True, estimate_ms=60_000))
        self.cell = make_cell(1)
        for spec in (self.service, self.filler):
            accept_job(self.cell, spec)
        self.runs = {run.task.job.id: run for run in plan_starts(self.cell)}
        confirm_starts(self.cell, list(self.runs.values()))

    def _report(self, cell: Cell, load: float, now_ms: int) -> None:
        """Report both runs, the service with a tail latency."""
        rows = [
            RunningRow(run.name, run.attempt, "", 50, load if run.is_service else 0.0)
            for run in self.runs.values()
        ]
        apply_report(cell, cell.workers["w000"], rows, [], now_ms, now_ms)

    def _paces(self, cell: Cell, now_ms: int) -> list[tuple[str, int]]:
        """Return the paces that supervision commands now."""
        supervise(cell, now_ms)
        commands, cell.commands = cell.commands, []
        return [(c.run.name, c.percent) for c in commands if isinstance(c, PaceRun)]

    def test_a_filler_works_again_when_the_service_has_left(self) -> None:
        """Guards against a filler that is suspended for ever by the last tail that was heard."""
        for now_ms in range(1_000, 9_000, 1_000):
            self._report(self.cell, 500.0, now_ms)
            self._paces(self.cell, now_ms)
        filler = self.runs[self.filler.id]
        self.assertEqual(filler.pace_percent, 0)
        self.cell.cancel(self.service.id, 0)
        end_run(self.cell, self.runs[self.service.id], RunEnd.STOPPED)
        paces = [
            pace
            for at_ms in range(20_000, 26_000, 1_000)
            for pace in self._paces(self.cell, at_ms)
        ]
        self.assertEqual(paces[-1:], [(filler.name, 100)])

    def test_a_pace_of_an_earlier_leader_does_not_last(self) -> None:
        """Guards against a filler that stays slow after a change of the leader.

        The pace is not reported, and the successor took it for the full one.
        """
        cell = make_cell(1)
        for spec in (self.service, self.filler):
            cell.restore(spec, None, 0)
        self._report(cell, 10.0, 1_000)
        name = self.runs[self.filler.id].name
        self.assertEqual(self._paces(cell, 2_000), [(name, 100)])
        self._report(cell, 10.0, 3_000)
        self.assertEqual(self._paces(cell, 3_000), [])
