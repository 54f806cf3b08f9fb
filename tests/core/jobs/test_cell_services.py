"""Tests of tasks that last until their job is cancelled, in the state of the cell."""

import unittest
from dataclasses import replace

import orjson

from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.job_records import encode_progress
from lagoonshelf_core.jobs.planning import summary
from lagoonshelf_core.jobs.progress import ATTEMPTS_SKIPPED, JobState, Run, RunEnd
from lagoonshelf_core.jobs.worker_reports import (
    EndedRow,
    apply_report,
)
from tests.support.jobs import (
    URGENT,
    accept_job,
    confirm_starts,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_starts,
    running_row,
    take_stops,
    worker_info,
)


class ServiceEndsTest(unittest.TestCase):
    """Ends of tasks that last until their job is cancelled."""

    def test_a_service_that_ends_done_starts_again(self) -> None:
        """Guards against a service that is gone for good once its task has ended "done".

        Its job was shown as running with nothing running (review, case 4).
        """
        cell = make_cell()
        accepted = accept_job(cell, make_job(make_step(is_service=True)))
        for attempt in (1, 2):
            (run,) = plan_starts(cell, attempt * 1_000)
            self.assertEqual(run.attempt, attempt)
            confirm_starts(cell, [run])
            end_run(cell, run, RunEnd.DONE)
        self.assertIs(accepted.state, JobState.RUNNING)
        self.assertEqual(len(plan_starts(cell, 3_000)), 1)

    def test_a_service_that_ends_at_once_does_not_flood_its_worker(self) -> None:
        """Guards against a loop of starts, which would take the leader from all other jobs."""
        for is_gang in (False, True):
            cell = make_cell()
            accept_job(cell, make_job(make_step(2, is_service=True, is_gang=is_gang)))
            starts = 0
            for now_ms in range(0, 10_000, 20):
                for run in plan_starts(cell, now_ms):
                    starts += 1
                    confirm_starts(cell, [run], now_ms)
                    ended = EndedRow(starts, run.name, run.attempt, RunEnd.DONE, "")
                    apply_report(cell, cell.workers[run.worker], [], [ended], now_ms, now_ms)
            self.assertLessEqual(starts, 2 * 21)
            self.assertGreaterEqual(starts, 2 * 19)

    def test_a_service_that_ended_done_starts_again_after_a_takeover(self) -> None:
        """Guards against a service that stays away as an earlier version recorded it as done."""
        cell = make_cell()
        spec = make_job(make_step(is_service=True))
        record = {
            "state": "running",
            "ended_ms": 0,
            "started": True,
            "steps": {"0.0": [[], [[0, 1, 0, [], ""]], []]},
        }
        cell.restore(spec, orjson.dumps(record), 0)
        self.assertEqual(len(plan_starts(cell)), 1)

    def test_a_service_between_two_runs_is_continued_after_a_takeover(self) -> None:
        """Guards against lost progress, and attempts that are counted from the start again.

        A service that had been restarted more often than a successor skips attempts got numbers
        that its workers had seen before.
        """
        cell = make_cell()
        accepted = accept_job(cell, make_job(make_step(is_service=True, saves_progress=True)))
        for number in range(2 * ATTEMPTS_SKIPPED):
            (run,) = plan_starts(cell, number * 1_000)
            confirm_starts(cell, [run])
            end_run(cell, run, RunEnd.FAILED, f"saved-{number}")
        successor = make_cell()
        restored = successor.restore(accepted.spec, encode_progress(accepted), 0)
        (again,) = plan_starts(successor)
        self.assertGreater(again.attempt, run.attempt)
        self.assertEqual(restored.find_task(0, 0, 0).checkpoint, f"saved-{number}")

    def test_a_repeated_end_of_a_service_does_not_undo_its_later_progress(self) -> None:
        """Guards against a checkpoint that goes back while an end is not acknowledged."""
        cell = make_cell(1)
        accepted = accept_job(cell, make_job(make_step(is_service=True, saves_progress=True)))
        (first,) = plan_starts(cell)
        confirm_starts(cell, [first])
        end_run(cell, first, RunEnd.FAILED, "old")
        (second,) = plan_starts(cell, 1_000)
        confirm_starts(cell, [second])
        row = replace(running_row(second), checkpoint="new")
        again = [EndedRow(1, first.name, first.attempt, RunEnd.FAILED, "old")]
        for ended in ([], again):
            apply_report(cell, cell.workers[second.worker], [row], ended, 10, 20)
        cell.end_worker_runs(cell.workers[second.worker], 30, "lost")
        apply_report(cell, cell.workers[second.worker], [], again, 40, 50)
        self.assertEqual(accepted.find_task(0, 0, 0).checkpoint, "new")

    def test_the_members_of_a_service_that_is_a_gang_start_again_together(self) -> None:
        """Guards against members that go on without the one that has ended "done"."""
        cell = make_cell()
        accept_job(cell, make_job(make_step(3, is_service=True, is_gang=True)))
        first, *others = plan_starts(cell)
        confirm_starts(cell, [first, *others])
        end_run(cell, first, RunEnd.DONE)
        self.assertEqual({run.name for run in take_stops(cell)}, {run.name for run in others})
        for run in others:
            end_run(cell, run, RunEnd.STOPPED)
        self.assertEqual([run.attempt for run in plan_starts(cell, 1_000)], [2, 2, 2])


class QuarantineTest(unittest.TestCase):
    """Quarantine of workers that also run services."""

    def _start_service(self, cell: Cell, now_ms: int = 0) -> Run:
        accept_job(cell, make_job(make_step(is_service=True), queue=URGENT))
        (run,) = plan_starts(cell, now_ms)
        confirm_starts(cell, [run], now_ms)
        return run

    def _report_at_work(self, cell: Cell, run: Run, now_ms: int = 0) -> None:
        row = replace(running_row(run), percent=100)
        apply_report(cell, cell.workers[run.worker], [row], [], now_ms, now_ms)

    def _quarantine(self, cell: Cell) -> None:
        """Let the runs of two jobs fail; these are cancelled, so that nothing waits."""
        for _ in range(2):
            failing = accept_job(cell, make_job())
            (run,) = plan_starts(cell)
            confirm_starts(cell, [run])
            end_run(cell, run, RunEnd.FAILED)
            cell.cancel(failing.id, 0)
        self.assertTrue(cell.health.is_quarantined(run.worker, 20))

    def test_a_worker_with_a_service_is_used_again_after_a_quarantine(self) -> None:
        """Guards against workers that get nothing more since the start of a service stays open.

        Once all workers had been quarantined, nothing was started any more (review, case 3).
        """
        cell = make_cell(1)
        service = self._start_service(cell)
        self._report_at_work(cell, service)
        self._quarantine(cell)
        accept_job(cell, make_job())
        self.assertEqual(plan_starts(cell, 3_000), [])
        self.assertEqual(len(plan_starts(cell, 5_000)), 1)

    def test_a_service_that_is_at_work_ends_a_quarantine(self) -> None:
        """Guards against a quarantine without end when its probe is a service."""
        cell = make_cell(1)
        self._quarantine(cell)
        probe = self._start_service(cell, 5_000)
        accept_job(cell, make_job())
        self.assertEqual(plan_starts(cell, 5_100), [])
        self.assertEqual(summary(cell, 5_100)["on_probe"], 1)
        self._report_at_work(cell, probe, 5_200)
        self.assertEqual(summary(cell, 5_200)["on_probe"], 0)
        self.assertEqual(len(plan_starts(cell, 5_300)), 1)

    def test_services_at_work_do_not_use_up_the_starts_after_a_failure(self) -> None:
        """Guards against a worker with many services that gets nothing after one failure."""
        cell = make_cell(1)
        for _ in range(9):
            self._start_service(cell)
        worker = cell.workers[worker_info(0).id]
        rows = [replace(running_row(run), percent=100) for run in worker.runs.values()]
        apply_report(cell, worker, rows, [], 10, 20)
        accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        confirm_starts(cell, [run])
        end_run(cell, run, RunEnd.FAILED)
        self.assertEqual(len(plan_starts(cell, 100)), 1)
