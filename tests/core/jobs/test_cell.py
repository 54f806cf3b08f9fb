"""Tests of the state of the cell."""

import unittest

from lagoonshelf_core.jobs.job_records import encode_progress
from lagoonshelf_core.jobs.progress import JobState, RunEnd, attempt_floor
from lagoonshelf_core.jobs.worker_reports import (
    RunningRow,
    apply_report,
)
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    TEAM,
    accept_job,
    add_unverified_run,
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
    """Effects of the ends of runs on tasks and jobs."""

    def test_ends_out_of_order_are_all_counted(self) -> None:
        """Failures must count even if a newer attempt's end is read first.

        A new leader reads the workers' reports in any order. On the andinas site (run trouble-1)
        it ran tasks more often than their failure limit allows (BUDGET).
        """
        cell = make_cell()
        done = accept_job(cell, make_job(), is_inherited=True)
        name = f"{done.id}.0.0.0"
        for worker, attempt in (("w001", 3), ("w000", 2), ("w002", 1)):
            report_end(cell, worker, name, attempt, RunEnd.FAILED)
        self.assertIs(done.state, JobState.FAILED)
        self.assertEqual(plan_starts(cell), [])

    def test_an_end_listed_again_is_counted_once(self) -> None:
        """A worker repeats an end until it is acknowledged; repeats must not count as failures."""
        cell = make_cell()
        accepted = accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        confirm_starts(cell, [run])
        for _ in range(5):
            end_run(cell, run, RunEnd.FAILED)
        self.assertIs(accepted.state, JobState.RUNNING)
        self.assertEqual(accepted.find_task(0, 0, 0).failures, 1)

    def test_done_by_an_older_attempt_stops_the_newer_run(self) -> None:
        """A run taken for lost may finish its task; the run started in its place must stop."""
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
        """A confirmed run that is missing from a later report must be started again."""
        cell = make_cell(1)
        accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        confirm_starts(cell, [run], 5)
        apply_report(cell, cell.workers[run.worker], [], [], 5, 6)
        self.assertIn(
            run,
            cell.workers[run.worker].runs.values(),
            "the report was requested when the start was confirmed",
        )
        apply_report(cell, cell.workers[run.worker], [], [], 10, 20)
        self.assertEqual(len(plan_starts(cell)), 1, "started again")

    def test_an_unanswered_start_keeps_its_allocation(self) -> None:
        """The worker may execute the start command seconds later, so its capacity is not free."""
        cell = make_cell(1, capacity=Resources(4_000, 8_192))
        accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        apply_report(cell, cell.workers[run.worker], [], [], 10, 20)
        accept_job(cell, make_job())
        self.assertEqual(plan_starts(cell, 30), [])

    def test_a_new_incarnation_has_none_of_the_old_runs(self) -> None:
        """A worker restarted under its old id; its first report shows that the run is gone."""
        cell = make_cell(1)
        accept_job(cell, make_job())
        confirm_starts(cell, plan_starts(cell), 5)
        worker = add_worker(cell, worker_info(0, born_ms=2_000), 10)
        self.assertEqual(plan_starts(cell, 10), [])
        apply_report(cell, worker, [], [], 20, 30)
        self.assertEqual(len(plan_starts(cell, 30)), 1)

    def test_a_start_may_have_reached_the_new_incarnation(self) -> None:
        """A start command may reach a restarted worker, as it names only the worker's id.

        Starting the task elsewhere at once ran it twice (TWICE, soak seed 218).
        """
        cell = make_cell(2)
        accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        confirm_starts(cell, [run], 5)
        number = int(run.worker[1:])
        worker = cell.update_worker(worker_info(number, born_ms=2_000), 10)
        self.assertGreater(worker.lapse_ms, 10_000)
        self.assertEqual(plan_starts(cell, 10), [])
        apply_report(cell, worker, [running_row(run)], [], 20, 30)
        self.assertEqual(plan_starts(cell, 30), [])
        end_run(cell, run)
        self.assertTrue(run.task.job.is_final)

    def test_an_older_registry_entry_is_ignored(self) -> None:
        """The registry entries of two incarnations may arrive in any order."""
        cell = make_cell(1)
        add_worker(cell, worker_info(0, born_ms=2_000))
        cell.update_worker(worker_info(0, born_ms=1_000), 0)
        self.assertEqual(cell.workers["w000"].info.born_ms, 2_000)


class StaleRecordTest(unittest.TestCase):
    """Takeover from a leader that could not record its last starts.

    The new leader believed the stale record and ran a task twice (TWICE, inkbridge hunt-1558-7).
    """

    def setUp(self) -> None:
        """Take over a task whose record has attempt 1 on the first worker."""
        self.cell = make_cell(3)
        for worker in self.cell.workers.values():
            worker.is_read = False
        self.job = accept_job(self.cell, make_job(), is_inherited=True)
        self.task = self.job.find_task(0, 0, 0)
        self.first, self.second = self.cell.workers["w000"], self.cell.workers["w001"]
        add_unverified_run(self.cell, self.first, self.task.name, 1, 5)

    def _list(self, worker: Worker, *rows: RunningRow, now_ms: int = 100) -> None:
        apply_report(self.cell, worker, rows, [], now_ms - 10, now_ms)
        worker.is_read = True

    def test_a_later_run_found_replaces_the_recorded_one(self) -> None:
        """The previous leader had seen the recorded run end, so the later one is kept."""
        self._list(self.second, RunningRow(self.task.name, 2, "", 10, 0.0))
        self.assertEqual((self.task.run.worker, self.task.run.attempt), ("w001", 2))
        self._list(self.first)
        self.assertEqual((self.task.run.attempt, self.task.duplicate_runs), (2, 0))
        self.assertEqual(plan_starts(self.cell), [])
        end_run(self.cell, self.task.run)
        self.assertIs(self.job.state, JobState.COMPLETE)

    def test_a_task_waits_for_the_end_of_each_of_its_runs(self) -> None:
        """Runs of earlier attempts are stopped; the task must not start before they have ended."""
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
    """Gangs: jobs whose tasks only work together."""

    def setUp(self) -> None:
        """Start a gang of three."""
        self.cell = make_cell(3, capacity=Resources(4_000, 8_192))
        self.job = accept_job(self.cell, make_job(make_step(3, is_gang=True)))
        self.runs = plan_starts(self.cell)
        confirm_starts(self.cell, self.runs)

    def test_one_done_member_completes_the_gang(self) -> None:
        """The other members keep their allocations until their own ends are reported."""
        end_run(self.cell, self.runs[0])
        self.assertIs(self.job.state, JobState.COMPLETE)
        other = self.runs[1]
        self.assertIn(other, self.cell.workers[other.worker].runs.values())
        self.assertEqual(take_stops(self.cell), [])

    def test_gang_members_share_an_attempt(self) -> None:
        """After a failed member all members restart together, under the same attempt number."""
        end_run(self.cell, self.runs[0], RunEnd.FAILED)
        self.assertEqual(len(take_stops(self.cell)), 2)
        self.assertEqual(plan_starts(self.cell), [], "not while members are being stopped")
        for run in self.runs[1:]:
            end_run(self.cell, run, RunEnd.BROKEN)
        restarted = plan_starts(self.cell)
        self.assertEqual([run.attempt for run in restarted], [2, 2, 2])

    def test_failed_attempts_are_counted_for_the_gang(self) -> None:
        """Two failed members of one attempt count once; the job fails after three attempts."""
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
    """Takeover by a new leader from records and workers' reports."""

    def test_running_tasks_are_adopted(self) -> None:
        """Adopted runs must count as allocated on their worker and for their team."""
        predecessor = make_cell(1)
        spec = make_job(make_step(2))
        accept_job(predecessor, spec)
        runs = plan_starts(predecessor)
        cell = make_cell(1)
        accepted = cell.restore(spec, None, 0)
        apply_report(cell, cell.workers["w000"], [running_row(run) for run in runs], [], 10, 20)
        self.assertEqual(cell.team_allocations[TEAM], Resources(8_000, 8_192))
        self.assertIs(accepted.state, JobState.RUNNING)
        self.assertEqual(plan_starts(cell), [])

    def test_a_second_run_of_a_task_is_stopped(self) -> None:
        """Only the first run that is reported is adopted."""
        predecessor = make_cell(2)
        spec = make_job()
        accept_job(predecessor, spec)
        (run,) = plan_starts(predecessor)
        cell = make_cell(2)
        cell.restore(spec, None, 0)
        for worker in cell.workers.values():
            apply_report(cell, worker, [running_row(run)], [], 10, 20)
        self.assertEqual(len(take_stops(cell)), 1)

    def test_a_run_of_an_unknown_job_is_stopped(self) -> None:
        """The job was cancelled and removed, or never stored; the run must not go on."""
        predecessor = make_cell(1)
        accept_job(predecessor, make_job())
        (run,) = plan_starts(predecessor)
        cell = make_cell(1)
        apply_report(cell, cell.workers["w000"], [running_row(run)], [], 10, 20)
        self.assertEqual([stopped.name for stopped in take_stops(cell)], [run.name])

    def test_progress_is_restored(self) -> None:
        """Done tasks must not run again, failures are kept, and attempt numbers increase."""
        predecessor = make_cell(1)
        spec = make_job(make_step(2))
        accepted = accept_job(predecessor, spec)
        runs = plan_starts(predecessor)
        confirm_starts(predecessor, runs)
        end_run(predecessor, runs[0])
        end_run(predecessor, runs[1], RunEnd.FAILED, "abc")
        cell = make_cell(1)
        cell.attempt_floor = attempt_floor(1)
        cell.restore(spec, encode_progress(accepted), 0)
        (restarted,) = plan_starts(cell)
        self.assertEqual(restarted.name, runs[1].name)
        self.assertGreater(restarted.attempt, cell.attempt_floor)
        self.assertEqual(restarted.task.failures, 1)
        self.assertEqual(restarted.task.checkpoint, "abc")

    def test_occurrences_without_progress_are_not_skipped(self) -> None:
        """Guards against times of a scheduled job that never run after a change of the leader.

        A later one has run and is in the record, an earlier one waits and is not (review/5).
        """
        predecessor = make_cell(1)
        spec = make_job(occurrences=3, first_due_ms=1_000, interval_ms=500)
        accepted = accept_job(predecessor, spec)
        runs = plan_starts(predecessor, 2_000)
        self.assertEqual(len(runs), 3)
        confirm_starts(predecessor, runs)
        for run in runs:
            end_run(predecessor, run, RunEnd.STOPPED if run is runs[0] else RunEnd.DONE)
        accepted.steps[(0, 0)].tasks[0].counted_attempts.clear()
        cell = make_cell(1)
        cell.restore(spec, encode_progress(accepted), 0)
        self.assertEqual([run.name for run in plan_starts(cell, 2_000)], [runs[0].name])

    def test_recorded_runs_of_a_lost_worker_count_as_running(self) -> None:
        """Unverified runs must block only their own tasks, until the lease has lapsed."""
        cell = make_cell(1)
        lost = cell.update_worker(worker_info(7), 0)
        spec = make_job(make_step(2))
        cell.restore(spec, None, 0)
        add_unverified_run(cell, lost, f"{spec.id}.0.0.0", 1, 0)
        self.assertEqual([run.name for run in plan_starts(cell)], [f"{spec.id}.0.0.1"])
        cell.end_worker_runs(lost, 10, "lease lapsed")
        self.assertEqual([run.name for run in plan_starts(cell)], [f"{spec.id}.0.0.0"])

    def test_inherited_jobs_wait_for_workers_that_were_not_read(self) -> None:
        """The previous leader may have started any inherited task on a worker not yet read."""
        cell = make_cell(1)
        cell.update_worker(worker_info(7), 0).blocks_inherited = True
        cell.restore(make_job(), None, 0)
        fresh = accept_job(cell, make_job())
        self.assertEqual([run.task.job for run in plan_starts(cell)], [fresh])


class CancelTest(unittest.TestCase):
    """Cancelled jobs."""

    def test_running_tasks_are_stopped_and_waiting_ones_dropped(self) -> None:
        """The job is shown as cancelled, its runs stop, and no waiting task starts."""
        cell = make_cell(1, capacity=Resources(4_000, 8_192))
        accepted = accept_job(cell, make_job(make_step(2)))
        (run,) = plan_starts(cell)
        self.assertTrue(cell.cancel(accepted.id, 5))
        self.assertEqual(take_stops(cell), [run])
        end_run(cell, run, RunEnd.STOPPED)
        self.assertIs(accepted.state, JobState.CANCELLED)
        self.assertEqual(plan_starts(cell), [])

    def test_a_late_start_of_a_cancelled_job_is_stopped(self) -> None:
        """A worker may execute a start command after the job was cancelled."""
        cell = make_cell(1)
        accepted = accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        cell.start_rejected(run)
        cell.cancel(accepted.id, 5)
        apply_report(cell, cell.workers["w000"], [running_row(run)], [], 10, 20)
        self.assertEqual([stopped.name for stopped in take_stops(cell)], [run.name])


class UnknownRunsTest(unittest.TestCase):
    """Runs that a worker reports and whose tasks are not known."""

    def test_a_worker_gets_no_tasks_beside_a_run_of_unknown_size(self) -> None:
        """Guards against more work than a worker can hold (LIMIT, large andinas, scale-1).

        The run is being stopped, which takes a second, and keeps its resources until then.
        """
        cell = make_cell(1)
        worker = cell.workers["w000"]
        row = RunningRow("00000000000000ff.0.0.0", 1, "", 10, 0.0)
        apply_report(cell, worker, [row], [], 0, 10)
        self.assertEqual(len(take_stops(cell)), 1)
        accept_job(cell, make_job())
        self.assertEqual(plan_starts(cell, 20), [])
        report_end(cell, "w000", row.name, 1, RunEnd.STOPPED)
        self.assertEqual(len(plan_starts(cell, 30)), 1)

    def test_a_final_job_changes_when_its_last_run_ends(self) -> None:
        """Guards against records of an ended job that are never deleted."""
        cell = make_cell(1)
        job = accept_job(cell, make_job())
        (run,) = plan_starts(cell)
        confirm_starts(cell, [run])
        cell.cancel(job.id, 1)
        cell.changed_jobs.clear()
        run.task.counted_attempts.add(run.attempt)
        end_run(cell, run, RunEnd.STOPPED)
        self.assertIn(job, cell.changed_jobs)
        self.assertFalse(job.has_runs)
