"""Tests of the state of the whole cell."""

import unittest

from lagoonshelf_core.jobs.cell import RunningRow
from lagoonshelf_core.jobs.progress import JobState, RunEnd, encode_progress
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    TEAM,
    accept,
    add_worker,
    cell,
    confirm,
    end,
    job,
    report_end,
    row,
    starts,
    step,
    stops,
    worker_info,
)


class EndsTest(unittest.TestCase):
    """What the ends of runs mean for tasks and jobs."""

    def test_ends_out_of_order_are_all_counted(self) -> None:
        """A successor reads the newer of two failed attempts first (BUDGET, andinas trouble-1)."""
        made = cell()
        done = accept(made, job(), is_inherited=True)
        name = f"{done.id}.0.0.0"
        for worker, attempt in (("w001", 3), ("w000", 2), ("w002", 1)):
            report_end(made, worker, name, attempt, RunEnd.FAILED)
        self.assertIs(done.state, JobState.FAILED)
        self.assertEqual(starts(made), [])

    def test_an_end_listed_again_is_counted_once(self) -> None:
        """Ends are listed until they are acknowledged."""
        made = cell()
        accepted = accept(made, job())
        (run,) = starts(made)
        confirm(made, [run])
        for _ in range(5):
            end(made, run, RunEnd.FAILED)
        self.assertIs(accepted.state, JobState.RUNNING)
        self.assertEqual(accepted.find_task(0, 0, 0).failures, 1)

    def test_done_by_an_older_attempt_stops_the_newer_run(self) -> None:
        """A late order may finish a task whose next run is under way."""
        made = cell()
        accepted = accept(made, job())
        (run,) = starts(made)
        confirm(made, [run])
        end(made, run, RunEnd.LAPSED)
        (again,) = starts(made)
        confirm(made, [again])
        accepted.find_task(0, 0, 0).counted_attempts.discard(run.attempt)
        report_end(made, run.worker, run.name, run.attempt, RunEnd.DONE)
        self.assertIs(accepted.state, JobState.COMPLETE)
        self.assertEqual(stops(made), [again])

    def test_a_run_that_its_worker_does_not_list_is_lost(self) -> None:
        """The run was confirmed before the list was asked for."""
        made = cell(1)
        accept(made, job())
        (run,) = starts(made)
        confirm(made, [run], 5)
        made.apply_report(made.workers[run.worker], [], [], 5, 6)
        self.assertIn(run, made.workers[run.worker].runs.values(), "asked at the same time")
        made.apply_report(made.workers[run.worker], [], [], 10, 20)
        self.assertEqual(len(starts(made)), 1, "started again")

    def test_an_unanswered_start_holds_its_room(self) -> None:
        """The order may be carried out seconds later."""
        made = cell(1, capacity=Resources(4_000, 8_192))
        accept(made, job())
        (run,) = starts(made)
        made.apply_report(made.workers[run.worker], [], [], 10, 20)
        accept(made, job())
        self.assertEqual(starts(made, 30), [])

    def test_a_new_incarnation_has_none_of_the_old_runs(self) -> None:
        """The worker came back under its old id; its first list tells."""
        made = cell(1)
        accept(made, job())
        confirm(made, starts(made), 5)
        worker = add_worker(made, worker_info(0, born_ms=2_000), 10)
        self.assertEqual(starts(made, 10), [])
        made.apply_report(worker, [], [], 20, 30)
        self.assertEqual(len(starts(made, 30)), 1)

    def test_a_start_may_have_reached_the_new_incarnation(self) -> None:
        """The order named the id only (TWICE, soak seed 218)."""
        made = cell(2)
        accept(made, job())
        (run,) = starts(made)
        confirm(made, [run], 5)
        number = int(run.worker[1:])
        worker = made.update_worker(worker_info(number, born_ms=2_000), 10)
        self.assertGreater(worker.lapse_ms, 10_000)
        self.assertEqual(starts(made, 10), [])
        made.apply_report(worker, [row(run)], [], 20, 30)
        self.assertEqual(starts(made, 30), [])
        end(made, run)
        self.assertTrue(run.task.job.is_final)

    def test_an_older_registry_entry_is_ignored(self) -> None:
        """Entries of two incarnations may arrive in any order."""
        made = cell(1)
        add_worker(made, worker_info(0, born_ms=2_000))
        made.update_worker(worker_info(0, born_ms=1_000), 0)
        self.assertEqual(made.workers["w000"].info.born_ms, 2_000)


class StaleRecordTest(unittest.TestCase):
    """A predecessor could not record its last starts (TWICE, inkbridge hunt-1558-7)."""

    def setUp(self) -> None:
        """Take over a task whose record names attempt 1 on one worker."""
        self.made = cell(3)
        for worker in self.made.workers.values():
            worker.is_read = False
        self.job = accept(self.made, job(), is_inherited=True)
        self.task = self.job.find_task(0, 0, 0)
        self.first, self.second = self.made.workers["w000"], self.made.workers["w001"]
        self.made.add_unverified_run(self.first, self.task.name, 1, 5)

    def _list(self, worker: Worker, *rows: RunningRow, now_ms: int = 100) -> None:
        self.made.apply_report(worker, rows, [], now_ms - 10, now_ms)
        worker.is_read = True

    def test_a_later_run_that_is_found_is_kept(self) -> None:
        """The predecessor had seen the recorded one end."""
        self._list(self.second, RunningRow(self.task.name, 2, "", 10, 0.0))
        self.assertEqual((self.task.run.worker, self.task.run.attempt), ("w001", 2))
        self._list(self.first)
        self.assertEqual((self.task.run.attempt, self.task.duplicate_runs), (2, 0))
        self.assertEqual(starts(self.made), [])
        end(self.made, self.task.run)
        self.assertIs(self.job.state, JobState.COMPLETE)

    def test_a_task_waits_for_the_end_of_each_of_its_runs(self) -> None:
        """An earlier run than the one that is known is stopped; its stop takes a while."""
        third = self.made.workers["w002"]
        self._list(self.second, RunningRow(self.task.name, 3, "", 10, 0.0))
        older = RunningRow(self.task.name, 2, "", 10, 0.0)
        self._list(third, older)
        self._list(self.first)
        self.assertEqual(len(stops(self.made)), 2)
        end(self.made, self.task.run, RunEnd.FAILED)
        self.assertEqual(starts(self.made), [], "attempt 2 has not ended")
        report_end(self.made, "w002", self.task.name, 2, RunEnd.STOPPED)
        self.assertEqual(len(starts(self.made)), 1)


class GangTest(unittest.TestCase):
    """Jobs whose tasks only work together."""

    def setUp(self) -> None:
        """Start a gang of three."""
        self.cell = cell(3, capacity=Resources(4_000, 8_192))
        self.job = accept(self.cell, job(step(3, is_gang=True)))
        self.runs = starts(self.cell)
        confirm(self.cell, self.runs)

    def test_one_end_stands_for_all(self) -> None:
        """The others' rooms stay held until their own ends are listed."""
        end(self.cell, self.runs[0])
        self.assertIs(self.job.state, JobState.COMPLETE)
        other = self.runs[1]
        self.assertIn(other, self.cell.workers[other.worker].runs.values())
        self.assertEqual(stops(self.cell), [])

    def test_members_share_an_attempt(self) -> None:
        """Also after a failure of one of them."""
        end(self.cell, self.runs[0], RunEnd.FAILED)
        self.assertEqual(len(stops(self.cell)), 2)
        self.assertEqual(starts(self.cell), [], "not while members are being stopped")
        for run in self.runs[1:]:
            end(self.cell, run, RunEnd.BROKEN)
        again = starts(self.cell)
        self.assertEqual([run.attempt for run in again], [2, 2, 2])

    def test_failed_attempts_are_counted_for_the_gang(self) -> None:
        """Two members that fail in one attempt count once; after three the job has failed."""
        runs = self.runs
        for _ in range(3):
            self.assertIsNot(self.job.state, JobState.FAILED)
            end(self.cell, runs[0], RunEnd.FAILED)
            end(self.cell, runs[1], RunEnd.FAILED)
            end(self.cell, runs[2], RunEnd.BROKEN)
            stops(self.cell)
            runs = starts(self.cell)
            confirm(self.cell, runs)
        self.assertIs(self.job.state, JobState.FAILED)
        self.assertEqual(runs, [])


class TakeoverTest(unittest.TestCase):
    """What a successor makes of records and lists."""

    def test_running_tasks_are_adopted(self) -> None:
        """Their room and their team's use are counted."""
        before = cell(1)
        spec = job(step(2))
        accept(before, spec)
        runs = starts(before)
        made = cell(1)
        accepted = made.restore(spec, None, 0)
        made.apply_report(made.workers["w000"], [row(run) for run in runs], [], 10, 20)
        self.assertEqual(made.team_allocations[TEAM], Resources(8_000, 8_192))
        self.assertIs(accepted.state, JobState.RUNNING)
        self.assertEqual(starts(made), [])

    def test_a_second_run_of_a_task_is_stopped(self) -> None:
        """Only the first one found is adopted."""
        before = cell(2)
        spec = job()
        accept(before, spec)
        (run,) = starts(before)
        made = cell(2)
        made.restore(spec, None, 0)
        for worker in made.workers.values():
            made.apply_report(worker, [row(run)], [], 10, 20)
        self.assertEqual(len(stops(made)), 1)

    def test_a_run_of_an_unknown_job_is_stopped(self) -> None:
        """Its job was cancelled and forgotten, or never stored."""
        before = cell(1)
        accept(before, job())
        (run,) = starts(before)
        made = cell(1)
        made.apply_report(made.workers["w000"], [row(run)], [], 10, 20)
        self.assertEqual([stopped.name for stopped in stops(made)], [run.name])

    def test_progress_is_restored(self) -> None:
        """Done tasks are not run again, failures count on, and attempt numbers rise."""
        before = cell(1)
        spec = job(step(2))
        accepted = accept(before, spec)
        runs = starts(before)
        confirm(before, runs)
        end(before, runs[0])
        end(before, runs[1], RunEnd.FAILED, "abc")
        made = cell(1)
        made.restore(spec, encode_progress(accepted), 0)
        (again,) = starts(made)
        self.assertEqual(again.name, runs[1].name)
        self.assertGreater(again.attempt, 2)
        self.assertEqual(again.task.failures, 1)
        self.assertEqual(again.task.checkpoint, "abc")

    def test_runs_of_a_lost_worker_are_taken_as_under_way(self) -> None:
        """They block only their own tasks."""
        made = cell(1)
        lost = made.update_worker(worker_info(7), 0)
        spec = job(step(2))
        made.restore(spec, None, 0)
        made.add_unverified_run(lost, f"{spec.id}.0.0.0", 1, 0)
        self.assertEqual([run.name for run in starts(made)], [f"{spec.id}.0.0.1"])
        made.end_worker_runs(lost, 10, "lease lapsed")
        self.assertEqual([run.name for run in starts(made)], [f"{spec.id}.0.0.0"])

    def test_inherited_work_waits_for_workers_that_were_not_read(self) -> None:
        """The predecessor may have started any of it there."""
        made = cell(1)
        made.update_worker(worker_info(7), 0).blocks_inherited = True
        made.restore(job(), None, 0)
        fresh = accept(made, job())
        self.assertEqual([run.task.job for run in starts(made)], [fresh])


class CancelTest(unittest.TestCase):
    """Cancelled jobs."""

    def test_running_tasks_are_stopped_and_waiting_ones_dropped(self) -> None:
        """The state is shown at once."""
        made = cell(1, capacity=Resources(4_000, 8_192))
        accepted = accept(made, job(step(2)))
        (run,) = starts(made)
        self.assertTrue(made.cancel(accepted.id, 5))
        self.assertEqual(stops(made), [run])
        end(made, run, RunEnd.STOPPED)
        self.assertIs(accepted.state, JobState.CANCELLED)
        self.assertEqual(starts(made), [])

    def test_a_late_start_of_a_cancelled_job_is_stopped(self) -> None:
        """The order was carried out after the cancellation."""
        made = cell(1)
        accepted = accept(made, job())
        (run,) = starts(made)
        made.start_rejected(run)
        made.cancel(accepted.id, 5)
        made.apply_report(made.workers["w000"], [row(run)], [], 10, 20)
        self.assertEqual([stopped.name for stopped in stops(made)], [run.name])
