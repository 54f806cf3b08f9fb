"""Tests of losses of workers and the tasks that may have caused them."""

import unittest
from dataclasses import replace
from itertools import count

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.crashes import (
    CLEARED_MS,
    MAX_LOSSES,
    MAX_SHARED_CRASHES,
    MIN_FLAPS,
    end_runs_of_lost_worker,
    keep_runs_of_restarted_worker,
)
from lagoonshelf_core.jobs.job_records import encode_end, encode_progress
from lagoonshelf_core.jobs.progress import SETTLE_MS, Job, JobState, Run, RunEnd
from lagoonshelf_core.jobs.spec import StepSpec
from lagoonshelf_core.jobs.worker_reports import apply_report
from lagoonshelf_core.jobs.workers import Worker, WorkerLoss
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    HOST,
    URGENT,
    accept_job,
    add_unverified_run,
    add_worker,
    confirm_starts,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_starts,
    running_row,
    worker_info,
)

DOWN_MS = 3_000
CRASH_DELAY_MS = 10
# The users' bounds: a task may be given up after two workers have crashed under it, and must not
# be started three times more after three have.
GIVEN_UP_AFTER = 2
MAX_CRASHES = 5
_incarnations = count(1)


class CrashCase(unittest.TestCase):
    """A cell with a clock, in which workers crash and are back under a new id."""

    def setUp(self) -> None:
        """Create eight workers that have answered."""
        self.now_ms = 10_000
        self.cell = make_cell(8)
        self.hear()

    def hear(self) -> None:
        """Let all workers that are up answer."""
        for worker in self.cell.workers.values():
            if worker.is_read:
                worker.record_answer(self.now_ms)

    def wait(self, duration_ms: int) -> None:
        """Let time pass in which all workers answer."""
        self.now_ms += duration_ms
        self.hear()

    def start(self) -> list[Run]:
        """Run a scheduling pass and confirm its starts."""
        runs = plan_starts(self.cell, self.now_ms)
        confirm_starts(self.cell, runs, self.now_ms)
        return runs

    def lose(self, name: WorkerId, loss: WorkerLoss = WorkerLoss.RESTARTED) -> None:
        """Let a worker crash now, and be back after a while."""
        worker = self.cell.workers[name]
        worker.silent_since_ms = self.now_ms
        worker.is_read = False
        self.wait(DOWN_MS)
        self.replace(worker, loss)

    def replace(self, worker: Worker, loss: WorkerLoss = WorkerLoss.RESTARTED) -> Worker:
        """End the runs of a worker that has crashed and add its next incarnation."""
        end_runs_of_lost_worker(self.cell, worker, loss, self.now_ms)
        self.cell.remove_worker(worker)
        info = worker.info
        fields = {"address": info.address, "rack": info.rack, "capacity": info.capacity}
        number = next(_incarnations)
        successor = worker_info(0, id=WorkerId(f"x{number:03}"), born_ms=number, **fields)
        added = add_worker(self.cell, successor, self.now_ms)
        added.record_answer(self.now_ms)
        return added

    def crash_by(self, run: Run, alive_ms: int = CRASH_DELAY_MS) -> None:
        """Let a run crash its worker."""
        self.wait(alive_ms)
        self.lose(run.worker)

    def crash_until_ended(self, job: Job, index: int, alive_ms: int = CRASH_DELAY_MS) -> int:
        """Start a job whose task crashes its workers until it ends; return the crashes."""
        crashes = 0
        for _ in range(200):
            if job.is_final:
                return crashes
            for run in self.start():
                if run.task.job is job and run.task.index == index:
                    self.crash_by(run, alive_ms)
                    crashes += 1
                    self.assertLess(crashes, 20)
            self.wait(100)
        raise AssertionError("the job has not ended")

    def finish_all(self, jobs: list[Job]) -> None:
        """Let all other runs end until some jobs are complete."""
        for _ in range(200):
            if all(job.is_final for job in jobs):
                break
            self.start()
            for worker in list(self.cell.workers.values()):
                for run in list(worker.runs.values()):
                    end_run(self.cell, run)
            self.wait(SETTLE_MS)
        self.assertEqual({job.state for job in jobs}, {JobState.COMPLETE})

    def accept(self, *steps: StepSpec, **fields: object) -> Job:
        """Add a job."""
        return accept_job(self.cell, make_job(*steps, **fields), self.now_ms)

    def history(self, job: Job, index: int = 0) -> tuple[int, int]:
        """Return the early crashes and all losses that are counted for a task."""
        history = job.find_task(0, 0, index).crash_history
        if history is None:
            return 0, 0
        return history.early_crashes, history.crashes + history.losses


class GiveUpTest(CrashCase):
    """Tasks that crash each worker that starts them."""

    def test_a_task_is_given_up_after_two_crashes(self) -> None:
        """Guards against a task that crashes one worker after the other, without an end."""
        job = self.accept(make_step(3))
        self.assertEqual(self.crash_until_ended(job, 1), GIVEN_UP_AFTER)
        self.assertIs(job.state, JobState.FAILED)
        self.assertIn(f"{job.id}.0.0.1", job.failure)
        self.assertIn(job.failure, encode_end(job).decode())

    def test_those_beside_it_are_not_given_up(self) -> None:
        """Guards against the failure of jobs that were on the crashed workers by chance.

        On andinas-ajuste one task was lost three times beside the one at fault.
        """
        others = [self.accept(make_step(4)) for _ in range(12)]
        job = self.accept(make_step(2), queue=URGENT)
        others += [self.accept(make_step(4)) for _ in range(4)]
        self.assertEqual(self.crash_until_ended(job, 0), GIVEN_UP_AFTER)
        self.finish_all(others)

    def test_several_tasks_at_once(self) -> None:
        """Guards against tasks at fault that are blamed on each other, or on those beside them."""
        others = [self.accept(make_step(3)) for _ in range(10)]
        culprits = [self.accept(make_step(2)) for _ in range(4)]
        crashes = dict.fromkeys(culprits, 0)
        for _ in range(100):
            runs = [run for run in self.start() if run.task.job in crashes and not run.task.index]
            self.wait(CRASH_DELAY_MS)
            lost = {run.worker: run.task.job for run in runs}
            for run in runs:
                crashes[run.task.job] += 1
            for name in lost:
                self.cell.workers[name].silent_since_ms = self.now_ms
                self.cell.workers[name].is_read = False
            self.wait(DOWN_MS if lost else 100)
            for name in lost:
                self.replace(self.cell.workers[name])
        self.assertEqual({job.state for job in culprits}, {JobState.FAILED})
        self.assertLessEqual(max(crashes.values()), MAX_CRASHES - 2)
        self.finish_all(others)

    def test_a_task_that_crashes_its_workers_later(self) -> None:
        """Guards against a task that works for a while before it crashes each worker."""
        for alive_ms in (SETTLE_MS + 100, 2_000, CLEARED_MS - 1_000):
            job = self.accept(make_step(2, estimate_ms=20_000))
            crashes = self.crash_until_ended(job, 0, alive_ms)
            self.assertLessEqual(crashes, MAX_CRASHES)
            self.assertIs(job.state, JobState.FAILED)

    def test_a_member_of_a_gang(self) -> None:
        """Guards against a gang that is started for ever, as one member crashes its worker."""
        large = Resources(20_000, 4_096)
        self.accept(make_step(6, large, estimate_ms=60_000))
        job = self.accept(make_step(6, large, is_gang=True))
        for _ in range(MAX_SHARED_CRASHES):
            runs = [run for run in self.start() if run.task.job is job]
            self.assertEqual(len(runs), 6)
            self.crash_by(next(run for run in runs if run.task.index == 2))
            for run in runs:
                if run in self.cell.workers.get(run.worker, Worker(None)).runs.values():
                    end_run(self.cell, run, RunEnd.STOPPED)
            self.wait(SETTLE_MS)
            if job.is_final:
                break
        self.assertIs(job.state, JobState.FAILED)

    def test_a_member_of_a_gang_whose_other_members_end_first(self) -> None:
        """Guards against a crash that is not counted, as the run was to be stopped meanwhile.

        The other members of a gang end before it is certain that the worker has crashed.
        """
        job = self.accept(make_step(6, HOST, is_gang=True))
        (crashing, *others) = self.start()
        worker = self.cell.workers[crashing.worker]
        self.wait(CRASH_DELAY_MS)
        worker.silent_since_ms, worker.is_read = self.now_ms, False
        self.wait(DOWN_MS)
        for run in others:
            end_run(self.cell, run, RunEnd.ALONE)
        self.replace(worker)
        self.assertEqual(self.history(job, crashing.task.index), (1, 1))

    def test_a_service_a_filler_and_an_occurrence(self) -> None:
        """Guards against kinds of work that are restarted however they end."""
        for step, fields in (
            (make_step(2, is_service=True), {}),
            (make_step(2, is_service=True, is_filler=True), {}),
            (make_step(2, saves_progress=True), {}),
            (make_step(2), {"occurrences": 5, "interval_ms": 100_000}),
        ):
            job = self.accept(step, **fields)
            self.assertEqual(self.crash_until_ended(job, 0), GIVEN_UP_AFTER, step)
            self.assertIs(job.state, JobState.FAILED)


class InnocentTest(CrashCase):
    """Workers that are lost for other reasons than a task."""

    def _restart_on(self, job: Job, losses: int, loss: WorkerLoss, alive_ms: int) -> None:
        for _ in range(losses):
            (run,) = self._start_run(job)
            self.wait(alive_ms)
            self.lose(run.worker, loss)

    def _start_run(self, job: Job) -> list[Run]:
        for _ in range(50):
            runs = [run for run in self.start() if run.task.job is job]
            if runs:
                return runs
            self.wait(100)
        raise AssertionError("not started")

    def test_crashes_of_workers_on_which_a_task_has_worked(self) -> None:
        """Guards against giving up long tasks on workers that often crash."""
        job = self.accept(make_step(estimate_ms=60_000))
        self._restart_on(job, 8, WorkerLoss.RESTARTED, CLEARED_MS)
        self.assertEqual(self.history(job), (0, 0))
        self.finish_all([job])

    def test_a_start_that_may_not_have_arrived(self) -> None:
        """Guards against counting a crash by another task just before a start arrived.

        Two tasks at fault started on one worker at once, and one of them was given up after a
        single crash of its own (deadly-wide, andinas-ajuste, LOST).
        """
        job = self.accept(make_step())
        for _ in range(GIVEN_UP_AFTER):
            runs = plan_starts(self.cell, self.now_ms)
            while not runs:
                self.wait(100)
                runs = plan_starts(self.cell, self.now_ms)
            self.lose(runs[0].worker)
        self.assertEqual(self.history(job), (0, GIVEN_UP_AFTER))
        (run,) = self._start_run(job)
        self.wait(CRASH_DELAY_MS)
        self.lose(run.worker)
        self.assertFalse(job.is_final, "one worker has certainly crashed")
        self.finish_all([job])

    def test_a_run_settles_while_its_worker_is_heard(self) -> None:
        """Guards against blaming runs that are known to have been alive for longer."""
        job = self.accept(make_step(2))
        (first, _) = self.start()
        self.wait(SETTLE_MS)
        self.lose(first.worker)
        self.assertEqual(self.history(job, first.task.index), (0, 1))
        self.assertFalse(first.task.is_suspect)

    def test_a_task_that_was_lost_after_it_had_settled_is_not_isolated(self) -> None:
        """Guards against workers that are closed for tasks which were lost twice by chance."""
        job = self.accept(make_step(estimate_ms=20_000))
        self._restart_on(job, 2, WorkerLoss.RESTARTED, 2_000)
        self.assertFalse(job.find_task(0, 0, 0).is_suspect)
        (run,) = self._start_run(job)
        self.accept(make_step())
        self.assertEqual([other.worker for other in self.start()], [run.worker])

    def test_workers_that_were_only_silent(self) -> None:
        """Guards against giving up a task since its workers were cut off for a while.

        A worker that is silent until its lease has lapsed may run on.
        """
        job = self.accept(make_step())
        self._restart_on(job, MAX_LOSSES - 1, WorkerLoss.LAPSED, CRASH_DELAY_MS)
        self.assertFalse(job.is_final)
        self.finish_all([job])

    def test_a_worker_that_is_back_with_its_runs(self) -> None:
        """Guards against counting silence that ends before the lease has lapsed."""
        job = self.accept(make_step())
        (run,) = self.start()
        worker = self.cell.workers[run.worker]
        worker.is_read = False
        self.wait(DOWN_MS)
        apply_report(self.cell, worker, [running_row(run)], [], self.now_ms, self.now_ms)
        worker.is_read = True
        self.assertEqual(self.history(job), (0, 0))

    def test_a_draining_worker_and_one_in_maintenance(self) -> None:
        """Guards against blaming tasks for workers that were taken away as planned."""
        for field in ("is_draining", "is_maintenance_due"):
            job = self.accept(make_step())
            (run,) = self.start()
            worker = self.cell.workers[run.worker]
            if field == "is_draining":
                worker.info = replace(worker.info, is_draining=True)
            else:
                worker.is_maintenance_due = True
            self.lose(worker.id)
            self.assertEqual(self.history(job), (0, 0), field)
            self.finish_all([job])

    def test_a_rack_that_fails_at_once(self) -> None:
        """Guards against giving up suspects that were on a rack as its power was lost."""
        job = self.accept(make_step())
        self._restart_on(job, 1, WorkerLoss.RESTARTED, CRASH_DELAY_MS)
        others = [self.accept(make_step(2, HOST)) for _ in range(3)]
        (run,) = self._start_run(job)
        self.wait(CRASH_DELAY_MS)
        lost = list(self.cell.workers.values())
        for worker in lost:
            worker.silent_since_ms = self.now_ms
            worker.is_read = False
        self.now_ms += DOWN_MS
        for worker in lost:
            self.replace(worker)
        self.assertEqual(self.history(job), (GIVEN_UP_AFTER, GIVEN_UP_AFTER))
        self.finish_all([job, *others])

    def test_a_worker_that_crashes_again_and_again(self) -> None:
        """Guards against blaming the suspects that happen to be started on a faulty worker."""
        for worker in list(self.cell.workers.values())[1:]:
            self.cell.remove_worker(worker)
        for _ in range(MIN_FLAPS):
            self.lose(next(iter(self.cell.workers)))
        job = self.accept(make_step())
        self._restart_on(job, MAX_LOSSES - 1, WorkerLoss.RESTARTED, CRASH_DELAY_MS)
        self.assertFalse(job.is_final)
        self.finish_all([job])

    def test_a_suspect_beside_a_task_at_fault(self) -> None:
        """Guards against a verdict on a crash that another task may have caused as well."""
        job = self.accept(make_step())
        self._restart_on(job, 1, WorkerLoss.RESTARTED, CRASH_DELAY_MS)
        (run,) = self._start_run(job)
        worker = self.cell.workers[run.worker]
        other = self.accept(make_step())
        beside = self.cell.begin_run(other.find_task(0, 0, 0), worker, 1, self.now_ms)
        confirm_starts(self.cell, [beside], self.now_ms)
        self.wait(CRASH_DELAY_MS)
        self.lose(worker.id)
        self.assertFalse(job.is_final)
        self.finish_all([job, other])


class IsolationTest(CrashCase):
    """Starts of suspects."""

    def setUp(self) -> None:
        """Make the tasks of one job suspects."""
        super().setUp()
        self.job = self.accept(make_step(3))
        runs = self.start()
        self.assertEqual(len({run.worker for run in runs}), 1, "packed")
        self.crash_by(runs[0])

    def test_suspects_start_on_different_workers_that_get_nothing_else(self) -> None:
        """Guards against tasks that were lost together and are placed together again."""
        other = self.accept(make_step(40))
        runs = self.start()
        suspects = [run for run in runs if run.task.job is self.job]
        workers = {run.worker for run in suspects}
        self.assertEqual(len(workers), 3)
        beside = [run for run in runs if run.worker in workers and run.task.job is other]
        self.assertEqual(beside, [])
        self.wait(SETTLE_MS - 1)
        self.accept(make_step(60))
        self.assertTrue(workers.isdisjoint(run.worker for run in self.start()))
        self.wait(1)
        self.accept(make_step(60))
        self.assertTrue({run.worker for run in self.start()} & workers)

    def test_a_suspect_waits_until_the_runs_on_its_worker_have_settled(self) -> None:
        """Guards against a crash after which again several runs may be the cause."""
        for worker in list(self.cell.workers.values())[1:]:
            self.cell.remove_worker(worker)
        other = self.accept(make_step(2), queue=URGENT)
        self.assertEqual({run.task.job for run in self.start()}, {other})
        self.assertEqual(self.start(), [])
        self.wait(SETTLE_MS)
        self.assertEqual([run.task.job for run in self.start()], [self.job])

    def test_a_suspect_gets_a_worker_in_a_full_cell(self) -> None:
        """Guards against suspects that wait for as long as each worker has recent starts."""
        for worker in list(self.cell.workers.values())[2:]:
            self.cell.remove_worker(worker)
        for passes in range(40):
            self.cell.is_recording = passes > 0
            self.accept(make_step(2, max_per_worker=1))
            if any(run.task.job is self.job for run in self.start()):
                return
            self.wait(SETTLE_MS // 4)
            for worker in self.cell.workers.values():
                for run in list(worker.runs.values())[:-6]:
                    end_run(self.cell, run)
        self.fail("never started")

    def test_the_least_loaded_worker_is_used(self) -> None:
        """Guards against another crash that ends much work of others."""
        self.cell.is_recording = False
        self.accept(make_step(8))
        (busy,) = {run.worker for run in self.start()}
        self.wait(SETTLE_MS)
        self.cell.is_recording = True
        self.assertNotIn(busy, {run.worker for run in self.start()})

    def test_a_suspect_does_not_start_without_a_record(self) -> None:
        """Guards against a start that a successor could not count, in an outage of the store."""
        self.cell.is_recording = False
        self.assertEqual(self.start(), [])
        self.cell.is_recording = True
        self.assertEqual(len(self.start()), 3)


class SuccessorTest(CrashCase):
    """What the next leader knows of the crashes."""

    def _take_over(self, job: Job) -> tuple[Cell, Job]:
        """Return the cell of a successor that has read the record of a job."""
        former, self.cell = self.cell, Cell(self.cell.cfg)
        for worker in former.workers.values():
            added = self.cell.update_worker(worker.info, self.now_ms)
            added.is_listed = worker.is_listed
        restored = self.cell.restore(job.spec, encode_progress(job), self.now_ms)
        for run in self.cell.recorded_runs:
            worker = self.cell.workers[run.worker]
            add_unverified_run(self.cell, worker, run.name, run.attempt, self.now_ms)
        return former, restored

    def test_the_count_is_in_the_record_of_the_progress(self) -> None:
        """Guards against a count that starts anew with each leader, also for services."""
        for step in (make_step(2), make_step(2, is_service=True)):
            job = self.accept(step)
            self.crash_by(next(run for run in self.start() if not run.task.index))
            self.cell.changed_jobs.clear()
            former, restored = self._take_over(job)
            for worker in self.cell.workers.values():
                worker.is_read = True
            self.hear()
            self.assertEqual(self.history(restored), (1, 1))
            self.assertEqual(self.crash_until_ended(restored, 0), 1)
            self.assertIs(restored.state, JobState.FAILED)

    def test_a_crash_without_a_leader_is_counted_but_decides_nothing(self) -> None:
        """Guards against a verdict on a run that may have ended before its worker crashed.

        A task that had ended was given up after two restarts of its worker (soak seed 1015). At
        the same time losses are counted, so that crashes at each takeover have an end.
        """
        job = self.accept(make_step())
        self.crash_by(self.start()[0])
        for crashes in range(2, MAX_CRASHES + 1):
            for _ in range(20):
                runs = self.start()
                if runs:
                    break
                self.wait(100)
            (run,) = runs
            self.wait(CRASH_DELAY_MS)
            _, job = self._take_over(job)
            lost = self.cell.workers[run.worker]
            for worker in self.cell.workers.values():
                worker.is_read = worker is not lost
            self.wait(DOWN_MS)
            self.replace(lost)
            self.assertEqual(self.history(job), (1, crashes))
            if job.is_final:
                break
        self.assertIs(job.state, JobState.FAILED)
        self.assertGreater(crashes, GIVEN_UP_AFTER)

    def test_records_of_former_versions_are_read(self) -> None:
        """Guards against a takeover that fails on records without counts of crashes."""
        job = self.accept(make_step(2))
        self.start()
        record = encode_progress(job)
        self.assertNotIn(b"crashes", record)
        restored = Cell(self.cell.cfg).restore(job.spec, record, self.now_ms)
        self.assertFalse(restored.is_final)


class LossRecordTest(CrashCase):
    """What is recorded of the loss of a worker."""

    def test_the_log_has_the_ages_of_the_runs(self) -> None:
        """Guards against a crash of which the log does not tell what had just been started."""
        self.accept()
        (old,) = self.start()
        self.wait(2_000)
        self.accept()
        (new,) = self.start()
        self.assertEqual(new.worker, old.worker)
        self.wait(20)
        self.cell.notes.clear()
        self.lose(old.worker)
        message, fields = self.cell.notes[0]
        self.assertEqual(message, "worker lost its runs")
        self.assertEqual(fields["youngest"], [[new.name, 1, 20], [old.name, 1, 2_020]])
        self.assertEqual((fields["how"], fields["silent_ms"]), ("restarted", DOWN_MS))

    def test_a_restart_is_recorded_once(self) -> None:
        """Guards against counting a restart for the registry and again for the worker's answer."""
        losses = []
        self.cell.on_loss = losses.append
        job = self.accept()
        (run,) = self.start()
        worker = self.cell.workers[run.worker]
        keep_runs_of_restarted_worker(self.cell, worker, self.now_ms)
        self.cell.update_worker(replace(worker.info, born_ms=2_000), self.now_ms)
        keep_runs_of_restarted_worker(self.cell, worker, self.now_ms)
        end_runs_of_lost_worker(self.cell, worker, WorkerLoss.LAPSED, self.now_ms)
        self.assertEqual(losses, [WorkerLoss.RESTARTED])
        self.assertEqual(self.history(job), (1, 1))
