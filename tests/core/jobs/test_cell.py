"""Tests of the state of the whole cell."""

import unittest

from lagoonshelf_core.jobs.cell import RunningRow
from lagoonshelf_core.jobs.progress import JobState, RunEnd, encode_progress
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    TEAM,
    accept_job,
    add_worker,
    confirm_starts,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_starts,
    report_end,
    running_row,
    take_stops,
    worker_info,
)


class RunEndsTest(unittest.TestCase):
    """What the ends of runs mean for tasks and jobs."""

    def test_ends_out_of_order_are_all_counted(self) -> None:
        """A successor reads the newer of two failed attempts first (BUDGET, andinas trouble-1)."""
        cell = make_cell()
        done = accept_job(cell, make_job(), is_inherited=True)
        name = f"{done.id}.0.0.0"
        for worker, attempt in (("w001", 3), ("w000", 2), ("w002", 1)):
            report_end(cell, worker, name, attempt, RunEnd.FAILED)
        self.assertIs(done.state, JobState.FAILED)
        self.assertEqual(plan_starts(cell), [])

    def test_an_end_listed_again_is_counted_once(self) -> None:
        """Ends are listed until they are acknowledged."""
        cell = make_cell()
        accepted = accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        confirm_starts(cell, [run])
        for _ in range(5):
            end_run(cell, run, RunEnd.FAILED)
        self.assertIs(accepted.state, JobState.RUNNING)
        self.assertEqual(accepted.find_task(0, 0, 0).failures, 1)

    def test_done_by_an_older_attempt_stops_the_newer_run(self) -> None:
        """A late order may finish a task whose next run is under way."""
        cell = make_cell()
        accepted = accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        confirm_starts(cell, [run])
        end_run(cell, run, RunEnd.LAPSED)
        (restarted,) = plan_starts(cell)
        confirm_starts(cell, [restarted])
        accepted.find_task(0, 0, 0).counted_attempts.discard(run.attempt)
        report_end(cell, run.worker, run.name, run.attempt, RunEnd.DONE)
        self.assertIs(accepted.state, JobState.COMPLETE)
        self.assertEqual(take_stops(cell), [restarted])

    def test_a_run_that_its_worker_does_not_list_is_lost(self) -> None:
        """The run was confirmed before the list was asked for."""
        cell = make_cell(1)
        accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        confirm_starts(cell, [run], 5)
        cell.apply_report(cell.workers[run.worker], [], [], 5, 6)
        self.assertIn(run, cell.workers[run.worker].runs.values(), "asked at the same time")
        cell.apply_report(cell.workers[run.worker], [], [], 10, 20)
        self.assertEqual(len(plan_starts(cell)), 1, "started again")

    def test_an_unanswered_start_keeps_its_allocation(self) -> None:
        """The order may be carried out seconds later."""
        cell = make_cell(1, capacity=Resources(4_000, 8_192))
        accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        cell.apply_report(cell.workers[run.worker], [], [], 10, 20)
        accept_job(cell, make_job())
        self.assertEqual(plan_starts(cell, 30), [])

    def test_a_new_incarnation_has_none_of_the_old_runs(self) -> None:
        """The worker came back under its old id; its first list tells."""
        cell = make_cell(1)
        accept_job(cell, make_job())
        confirm_starts(cell, plan_starts(cell), 5)
        worker = add_worker(cell, worker_info(0, born_ms=2_000), 10)
        self.assertEqual(plan_starts(cell, 10), [])
        cell.apply_report(worker, [], [], 20, 30)
        self.assertEqual(len(plan_starts(cell, 30)), 1)

    def test_a_start_may_have_reached_the_new_incarnation(self) -> None:
        """The order named the id only (TWICE, soak seed 218)."""
        cell = make_cell(2)
        accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        confirm_starts(cell, [run], 5)
        number = int(run.worker[1:])
        worker = cell.update_worker(worker_info(number, born_ms=2_000), 10)
        self.assertGreater(worker.lapse_ms, 10_000)
        self.assertEqual(plan_starts(cell, 10), [])
        cell.apply_report(worker, [running_row(run)], [], 20, 30)
        self.assertEqual(plan_starts(cell, 30), [])
        end_run(cell, run)
        self.assertTrue(run.task.job.is_final)

    def test_an_older_registry_entry_is_ignored(self) -> None:
        """Entries of two incarnations may arrive in any order."""
        cell = make_cell(1)
        add_worker(cell, worker_info(0, born_ms=2_000))
        cell.update_worker(worker_info(0, born_ms=1_000), 0)
        self.assertEqual(cell.workers["w000"].info.born_ms, 2_000)


class StaleRecordTest(unittest.TestCase):
    """A predecessor could not record its last starts (TWICE, inkbridge hunt-1558-7)."""

    def setUp(self) -> None:
        """Take over a task whose record names attempt 1 on one worker."""
        self.cell = make_cell(3)
        for worker in self.cell.workers.values():
            worker.is_read = False
        self.job = accept_job(self.cell, make_job(), is_inherited=True)
        self.task = self.job.find_task(0, 0, 0)
        self.first, self.second = self.cell.workers["w000"], self.cell.workers["w001"]
        self.cell.add_unverified_run(self.first, self.task.name, 1, 5)

    def _list(self, worker: Worker, *rows: RunningRow, now_ms: int = 100) -> None:
        self.cell.apply_report(worker, rows, [], now_ms - 10, now_ms)
        worker.is_read = True

    def test_a_later_run_found_replaces_the_recorded_one(self) -> None:
        """The predecessor had seen the recorded one end."""
        self._list(self.second, RunningRow(self.task.name, 2, "", 10, 0.0))
        self.assertEqual((self.task.run.worker, self.task.run.attempt), ("w001", 2))
        self._list(self.first)
        self.assertEqual((self.task.run.attempt, self.task.duplicate_runs), (2, 0))
        self.assertEqual(plan_starts(self.cell), [])
        end_run(self.cell, self.task.run)
        self.assertIs(self.job.state, JobState.COMPLETE)

    def test_a_task_waits_for_the_end_of_each_of_its_runs(self) -> None:
        """An earlier run than the one that is known is stopped; its stop takes a while."""
        third = self.cell.workers["w002"]
        self._list(self.second, RunningRow(self.task.name, 3, "", 10, 0.0))
        older = RunningRow(self.task.name, 2, "", 10, 0.0)
        self._list(third, older)
        self._list(self.first)
        self.assertEqual(len(take_stops(self.cell)), 2)
        end_run(self.cell, self.task.run, RunEnd.FAILED)
        self.assertEqual(plan_starts(self.cell), [], "attempt 2 has not ended")
        report_end(self.cell, "w002", self.task.name, 2, RunEnd.STOPPED)
        self.assertEqual(len(plan_starts(self.cell)), 1)


class GangTest(unittest.TestCase):
    """Jobs whose tasks only work together."""

    def setUp(self) -> None:
        """Start a gang of three."""
        self.cell = make_cell(3, capacity=Resources(4_000, 8_192))
        self.job = accept_job(self.cell, make_job(make_step(3, is_gang=True)))
        self.runs = plan_starts(self.cell)
        confirm_starts(self.cell, self.runs)

    def test_one_done_member_completes_the_gang(self) -> None:
        """The others' rooms stay held until their own ends are listed."""
        end_run(self.cell, self.runs[0])
        self.assertIs(self.job.state, JobState.COMPLETE)
        other = self.runs[1]
        self.assertIn(other, self.cell.workers[other.worker].runs.values())
        self.assertEqual(take_stops(self.cell), [])

    def test_gang_members_share_an_attempt(self) -> None:
        """Also after a failure of one of them."""
        end_run(self.cell, self.runs[0], RunEnd.FAILED)
        self.assertEqual(len(take_stops(self.cell)), 2)
        self.assertEqual(plan_starts(self.cell), [], "not while members are being stopped")
        for run in self.runs[1:]:
            end_run(self.cell, run, RunEnd.BROKEN)
        restarted = plan_starts(self.cell)
        self.assertEqual([run.attempt for run in restarted], [2, 2, 2])

    def test_failed_attempts_are_counted_for_the_gang(self) -> None:
        """Two members that fail in one attempt count once; after three the job has failed."""
        runs = self.runs
        for _ in range(3):
            self.assertIsNot(self.job.state, JobState.FAILED)
            end_run(self.cell, runs[0], RunEnd.FAILED)
            end_run(self.cell, runs[1], RunEnd.FAILED)
            end_run(self.cell, runs[2], RunEnd.BROKEN)
            take_stops(self.cell)
            runs = plan_starts(self.cell)
            confirm_starts(self.cell, runs)
        self.assertIs(self.job.state, JobState.FAILED)
        self.assertEqual(runs, [])


class TakeoverTest(unittest.TestCase):
    """What a successor makes of records and lists."""

    def test_running_tasks_are_adopted(self) -> None:
        """Their room and their team's use are counted."""
        predecessor = make_cell(1)
        spec = make_job(make_step(2))
        accept_job(predecessor, spec)
        runs = plan_starts(predecessor)
        cell = make_cell(1)
        accepted = cell.restore(spec, None, 0)
        cell.apply_report(cell.workers["w000"], [running_row(run) for run in runs], [], 10, 20)
        self.assertEqual(cell.team_allocations[TEAM], Resources(8_000, 8_192))
        self.assertIs(accepted.state, JobState.RUNNING)
        self.assertEqual(plan_starts(cell), [])

    def test_a_second_run_of_a_task_is_stopped(self) -> None:
        """Only the first one found is adopted."""
        predecessor = make_cell(2)
        spec = make_job()
        accept_job(predecessor, spec)
        (run,) = plan_starts(predecessor)
        cell = make_cell(2)
        cell.restore(spec, None, 0)
        for worker in cell.workers.values():
            cell.apply_report(worker, [running_row(run)], [], 10, 20)
        self.assertEqual(len(take_stops(cell)), 1)

    def test_a_run_of_an_unknown_job_is_stopped(self) -> None:
        """Its job was cancelled and forgotten, or never stored."""
        predecessor = make_cell(1)
        accept_job(predecessor, make_job())
        (run,) = plan_starts(predecessor)
        cell = make_cell(1)
        cell.apply_report(cell.workers["w000"], [running_row(run)], [], 10, 20)
        self.assertEqual([stopped.name for stopped in take_stops(cell)], [run.name])

    def test_progress_is_restored(self) -> None:
        """Done tasks are not run again, failures count on, and attempt numbers rise."""
        predecessor = make_cell(1)
        spec = make_job(make_step(2))
        accepted = accept_job(predecessor, spec)
        runs = plan_starts(predecessor)
        confirm_starts(predecessor, runs)
        end_run(predecessor, runs[0])
        end_run(predecessor, runs[1], RunEnd.FAILED, "abc")
        cell = make_cell(1)
        cell.restore(spec, encode_progress(accepted), 0)
        (restarted,) = plan_starts(cell)
        self.assertEqual(restarted.name, runs[1].name)
        self.assertGreater(restarted.attempt, 2)
        self.assertEqual(restarted.task.failures, 1)
        self.assertEqual(restarted.task.checkpoint, "abc")

    def test_recorded_runs_of_a_lost_worker_count_as_running(self) -> None:
        """They block only their own tasks."""
        cell = make_cell(1)
        lost = cell.update_worker(worker_info(7), 0)
        spec = make_job(make_step(2))
        cell.restore(spec, None, 0)
        cell.add_unverified_run(lost, f"{spec.id}.0.0.0", 1, 0)
        self.assertEqual([run.name for run in plan_starts(cell)], [f"{spec.id}.0.0.1"])
        cell.end_worker_runs(lost, 10, "lease lapsed")
        self.assertEqual([run.name for run in plan_starts(cell)], [f"{spec.id}.0.0.0"])

    def test_inherited_jobs_wait_for_workers_that_were_not_read(self) -> None:
        """The predecessor may have started any of it there."""
        cell = make_cell(1)
        cell.update_worker(worker_info(7), 0).blocks_inherited = True
        cell.restore(make_job(), None, 0)
        fresh = accept_job(cell, make_job())
        self.assertEqual([run.task.job for run in plan_starts(cell)], [fresh])


class CancelTest(unittest.TestCase):
    """Cancelled jobs."""

    def test_running_tasks_are_stopped_and_waiting_ones_dropped(self) -> None:
        """The state is shown at once."""
        cell = make_cell(1, capacity=Resources(4_000, 8_192))
        accepted = accept_job(cell, make_job(make_step(2)))
        (run,) = plan_starts(cell)
        self.assertTrue(cell.cancel(accepted.id, 5))
        self.assertEqual(take_stops(cell), [run])
        end_run(cell, run, RunEnd.STOPPED)
        self.assertIs(accepted.state, JobState.CANCELLED)
        self.assertEqual(plan_starts(cell), [])

    def test_a_late_start_of_a_cancelled_job_is_stopped(self) -> None:
        """The order was carried out after the cancellation."""
        cell = make_cell(1)
        accepted = accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        cell.start_rejected(run)
        cell.cancel(accepted.id, 5)
        cell.apply_report(cell.workers["w000"], [running_row(run)], [], 10, 20)
        self.assertEqual([stopped.name for stopped in take_stops(cell)], [run.name])
