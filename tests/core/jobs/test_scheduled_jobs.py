"""Scheduled jobs with many occurrences."""

import unittest
from random import Random

from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.job_records import encode_progress
from lagoonshelf_core.jobs.progress import Job, JobState, Run, RunEnd
from lagoonshelf_core.jobs.spec import JobSpec
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    accept_job,
    add_worker,
    confirm_starts,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_starts,
    worker_info,
)
from tests.support.line_count import count_lines

INTERVAL_MS = 10
TINY = Resources(10, 1, 0)
# The platform's store accepts values up to this size.
MAX_VALUE_BYTES = 1_048_576


def scheduled_job(occurrences: int, *steps: object) -> JobSpec:
    """Return a job whose occurrences are due one after the other from 0 ms on."""
    steps = steps or (make_step(1, TINY),)
    return make_job(*steps, occurrences=occurrences, interval_ms=INTERVAL_MS)


def run_occurrences(cell: Cell, first: int, count: int) -> None:
    """Let occurrences of jobs of one task become due, and run each to its end."""
    for number in range(first, first + count):
        for run in plan_starts(cell, number * INTERVAL_MS):
            confirm_starts(cell, [run])
            end_run(cell, run)


def successor(job: Job) -> tuple[Cell, Job]:
    """Return a new leader's cell and its job, restored from the record of a job."""
    cell = Cell(make_cell(0).cfg)
    add_worker(cell, worker_info(0))
    return cell, cell.restore(job.spec, encode_progress(job), 0)


class OccurrenceCostTest(unittest.TestCase):
    """Guards against events whose cost grows with the occurrences that a job has had.

    With such a cost a leader was late for its lease after some 1,100 occurrences, and no successor
    could take over the cell.
    """

    def test_an_occurrence_costs_the_same_after_many(self) -> None:
        cell = make_cell(1)
        accept_job(cell, scheduled_job(2_000))
        run_occurrences(cell, 0, 100)
        early = count_lines(lambda: run_occurrences(cell, 100, 10))
        run_occurrences(cell, 110, 1_000)
        late = count_lines(lambda: run_occurrences(cell, 1_110, 10))
        self.assertLess(late, 1.1 * early)

    def test_a_takeover_costs_the_same_after_many(self) -> None:
        costs = []
        for done in (100, 1_100):
            cell = make_cell(1)
            job = accept_job(cell, scheduled_job(2_000))
            run_occurrences(cell, 0, done)
            restored, _ = successor(job)
            costs.append(count_lines(lambda c=restored, d=done: run_occurrences(c, d, 1)))
        self.assertLess(costs[1], 1.1 * costs[0])

    def test_handing_in_with_many_due_costs_as_much_as_they_have_tasks(self) -> None:
        costs = []
        for due in (500, 2_000):
            cell = make_cell(1)
            accept_job(cell, scheduled_job(due))
            costs.append(count_lines(lambda c=cell, d=due: plan_starts(c, d * INTERVAL_MS)))
        self.assertLess(costs[1], 1.5 * costs[0])

    def test_a_pass_costs_the_same_however_many_wait(self) -> None:
        costs = []
        for due in (500, 5_000):
            cell = make_cell(1, capacity=TINY)
            accept_job(cell, scheduled_job(due, make_step(1, TINY), make_step(1, TINY)))
            for _ in range(20):
                plan_starts(cell, due * INTERVAL_MS)
            costs.append(count_lines(lambda c=cell, d=due: plan_starts(c, d * INTERVAL_MS)))
        self.assertLess(costs[1], 1.1 * costs[0])

    def test_the_record_stays_small(self) -> None:
        cell = make_cell(1)
        steps = (make_step(2, TINY), make_step(4, TINY, after=(0,)))
        job = accept_job(cell, scheduled_job(10_000, *steps))
        sizes = []
        for number in range(10_000):
            for _ in steps:
                for run in plan_starts(cell, number * INTERVAL_MS):
                    confirm_starts(cell, [run])
                    end_run(cell, run)
            sizes.append(len(encode_progress(job)) if number % 500 == 0 else 0)
        self.assertIs(job.state, JobState.COMPLETE)
        self.assertLess(max(sizes), MAX_VALUE_BYTES / 100)
        self.assertEqual(job.steps, {})

    def test_wide_occurrences_are_created_as_they_can_start(self) -> None:
        cell = make_cell(1, capacity=TINY)
        job = accept_job(cell, scheduled_job(1_000, make_step(5_000, TINY)))
        for _ in range(20):
            plan_starts(cell, 1_000 * INTERVAL_MS)
        self.assertLessEqual(sum(len(step.tasks) for step in job.steps.values()), 20_000)


class OccurrenceTest(unittest.TestCase):
    """Guards against occurrences that are lost or run twice now that done ones are dropped."""

    def test_all_due_occurrences_run_once_however_many_are_due_at_first(self) -> None:
        cell = make_cell(4)
        job = accept_job(cell, scheduled_job(2_000))
        names = []
        while not job.is_final:
            runs = plan_starts(cell, 2_000 * INTERVAL_MS)
            self.assertTrue(runs)
            names += [run.name for run in runs]
            confirm_starts(cell, runs)
            for run in runs:
                end_run(cell, run)
        self.assertEqual(sorted(names), sorted({f"{job.id}.{k}.0.0" for k in range(2_000)}))

    def test_no_occurrence_is_started_before_it_is_due(self) -> None:
        cell = make_cell(1)
        accept_job(cell, scheduled_job(100))
        self.assertEqual(len(plan_starts(cell, 3 * INTERVAL_MS)), 4)

    def test_a_successor_runs_what_is_left_and_nothing_else(self) -> None:
        for seed in range(20):
            rng = Random(seed)
            cell = make_cell(1)
            job = accept_job(
                cell, scheduled_job(40, make_step(2, TINY), make_step(1, TINY, after=(0,)))
            )
            done = set()
            for at_ms in range(0, 40 * INTERVAL_MS, 20):
                runs = plan_starts(cell, at_ms)
                confirm_starts(cell, runs)
                for run in [run for run in self._current(cell) if rng.random() < 0.6]:
                    done.add(run.name)
                    end_run(cell, run)
            running = {run.name for run in self._current(cell)}
            cell, job = successor(job)
            again = {run.name for run in cell.recorded_runs}
            self.assertEqual(again, running, f"seed {seed}")
            # The successor learns that none of these runs has survived.
            while not job.is_final:
                runs = plan_starts(cell, 40 * INTERVAL_MS)
                self.assertTrue(runs, f"seed {seed}")
                for run in runs:
                    self.assertNotIn(run.name, done, f"seed {seed}")
                    done.add(run.name)
                    confirm_starts(cell, [run])
                    end_run(cell, run)
            self.assertEqual(len(done), 3 * 40, f"seed {seed}")

    def test_a_late_end_of_a_dropped_occurrence_changes_nothing(self) -> None:
        cell = make_cell(1)
        job = accept_job(cell, scheduled_job(10))
        run_occurrences(cell, 0, 5)
        cell.changed_jobs.clear()
        task = job.find_task(2, 0, 0)
        cell.count_end(task, 7, RunEnd.FAILED, "")
        self.assertEqual((task.is_done, cell.changed_jobs), (True, set()))
        self.assertEqual(plan_starts(cell, 4 * INTERVAL_MS), [])

    def test_a_step_that_cannot_start_does_not_keep_other_steps_waiting(self) -> None:
        cell = make_cell(1)
        nowhere = make_step(1, TINY, label="none")
        job = accept_job(cell, scheduled_job(1_000, nowhere, make_step(1, TINY)))
        names = set()
        while runs := plan_starts(cell, 1_000 * INTERVAL_MS):
            names.update(run.name for run in runs)
        self.assertEqual(names, {f"{job.id}.{k}.1.0" for k in range(1_000)})

    def _current(self, cell: Cell) -> list[Run]:
        return [run for worker in cell.workers.values() for run in worker.runs.values()]
