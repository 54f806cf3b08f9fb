"""Jobs of thousands of tasks."""

import unittest
from collections.abc import Callable

import orjson

from lagoonshelf_core.errors import ResultCode
from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.crashes import end_runs_of_lost_worker
from lagoonshelf_core.jobs.job_records import RecordedRun, encode_progress
from lagoonshelf_core.jobs.progress import Run, RunEnd
from lagoonshelf_core.jobs.scheduling_pass import MAX_STARTS_PER_PASS
from lagoonshelf_core.jobs.spec import MAX_TASKS_PER_JOB, validate_job
from lagoonshelf_core.jobs.workers import WorkerLoss
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    URGENT,
    accept_job,
    add_unverified_run,
    confirm_starts,
    make_cell,
    make_job,
    make_step,
    plan_starts,
)
from tests.support.line_count import count_lines

TINY = Resources(1, 1, 0)
NARROW, WIDE = 60, 5_000
# The platform's store accepts values up to this size.
MAX_VALUE_BYTES = 1_048_576


def start_all(cell: Cell) -> list[Run]:
    """Run scheduling passes until nothing more starts, and confirm the starts."""
    started: list[Run] = []
    while runs := plan_starts(cell):
        confirm_starts(cell, runs)
        started += runs
    return started


def cost_by_width(event: Callable[[Cell, list[Run]], Callable[[], object]]) -> list[int]:
    """Return the cost of an event in a narrow and in a wide job.

    :param event: prepares the event for a cell and the runs of its job, and returns it
    """
    costs = []
    for count in (NARROW, WIDE):
        cell = make_cell(4)
        accept_job(cell, make_job(make_step(count, TINY)))
        costs.append(count_lines(event(cell, start_all(cell))))
    return costs


class WideJobCostTest(unittest.TestCase):
    """Guards against events whose cost grows with the tasks of their job.

    With such costs a leader lost its lease as it started a wide job, and each successor as it took
    over.
    """

    def _assert_equal_cost(self, event: Callable[[Cell, list[Run]], Callable[[], object]]) -> None:
        narrow, wide = cost_by_width(event)
        self.assertLess(wide, 1.2 * narrow)

    def test_an_end(self) -> None:
        # Not by a report, whose cost grows with the runs that it lists.
        self._assert_equal_cost(
            lambda cell, runs: lambda: cell.end_run(runs[7], RunEnd.DONE, "", 10)
        )

    def test_a_failure(self) -> None:
        self._assert_equal_cost(
            lambda cell, runs: lambda: cell.end_run(runs[7], RunEnd.FAILED, "", 10)
        )

    def test_a_start_that_was_rejected(self) -> None:
        self._assert_equal_cost(lambda cell, runs: lambda: cell.start_rejected(runs[7]))

    def test_an_adoption(self) -> None:
        def event(cell: Cell, runs: list[Run]) -> Callable[[], object]:
            run = runs[7]
            cell.start_rejected(run)
            worker = cell.workers[run.worker]
            return lambda: add_unverified_run(cell, worker, run.name, 1, 10)

        self._assert_equal_cost(event)

    def test_a_pass_that_starts_one_task_again(self) -> None:
        def event(cell: Cell, runs: list[Run]) -> Callable[[], object]:
            cell.start_rejected(runs[7])
            return lambda: plan_starts(cell)

        self._assert_equal_cost(event)

    def test_a_check_whether_a_job_has_runs(self) -> None:
        self._assert_equal_cost(
            lambda cell, runs: lambda: (runs[7].task.job.has_runs, runs[7].task.job.is_complete())
        )

    def test_the_loss_of_a_worker_costs_as_much_as_it_has_runs(self) -> None:
        costs = []
        for count in (100, 1_000):
            cell = make_cell(1)
            for _ in range(count):
                accept_job(cell, make_job(make_step(1, TINY)))
            start_all(cell)
            worker = cell.workers["w000"]
            costs.append(
                count_lines(
                    lambda c=cell, w=worker: end_runs_of_lost_worker(
                        c, w, WorkerLoss.RESTARTED, 10
                    )
                )
            )
        self.assertLess(costs[1], 12 * costs[0])

    def test_the_record_of_what_is_done_stays_small(self) -> None:
        cell = make_cell(4)
        job = accept_job(cell, make_job(make_step(WIDE, TINY), make_step(1, TINY, after=(0,))))
        for run in start_all(cell):
            cell.end_run(run, RunEnd.DONE, "", 10)
        self.assertLess(len(encode_progress(job)), 200)


class LargestJobTest(unittest.TestCase):
    """Guards against a job whose record the store refuses, which holds up the records of all."""

    def test_its_record_fits_into_the_store(self) -> None:
        cell = make_cell(8)
        steps = [make_step(WIDE, TINY) for _ in range(MAX_TASKS_PER_JOB // WIDE)]
        spec = make_job(*steps)
        self.assertIsNone(validate_job(spec))
        job = accept_job(cell, spec)
        for run in start_all(cell):
            cell.end_run(run, RunEnd.STOPPED, "00000bb87a21d94b", 10)
        start_all(cell)
        self.assertEqual(job.run_count, MAX_TASKS_PER_JOB)
        record = encode_progress(job)
        self.assertLess(len(record), MAX_VALUE_BYTES)
        restored = make_cell(8).restore(spec, record, 0)
        self.assertEqual(restored.find_task(0, 3, 17).counted_attempts, {1})

    def test_a_larger_one_is_refused(self) -> None:
        """Each process that led the cell ran out of memory with 64 steps of 5,000 tasks."""
        steps = [make_step(WIDE, TINY) for _ in range(MAX_TASKS_PER_JOB // WIDE)]
        fault = validate_job(make_job(*steps, make_step(1, TINY)))
        self.assertIs(fault.code, ResultCode.BAD_REQUEST)
        self.assertIn(str(MAX_TASKS_PER_JOB), fault.message)

    def test_records_of_the_former_form_are_read(self) -> None:
        spec = make_job(make_step(3, TINY))
        steps = {"0.0": [[1], [[0, 1, 0, [1], ""], [1, 0, 1, [1], "c"]], [[1, 2, "w001"]]]}
        record = {"state": "running", "ended_ms": 0, "started": True, "steps": steps}
        cell = make_cell(2)
        job = cell.restore(spec, orjson.dumps(record), 0)
        self.assertTrue(job.find_task(0, 0, 0).is_done)
        self.assertEqual(job.find_task(0, 0, 1).failures, 1)
        expected = [RecordedRun(f"{spec.id}.0.0.1", 2, WorkerId("w001"))]
        self.assertEqual(cell.recorded_runs, expected)


class WideJobTest(unittest.TestCase):
    """Guards against a wide job that keeps the process, or other work, waiting."""

    def test_a_pass_starts_a_part_and_asks_for_the_next(self) -> None:
        cell = make_cell(4)
        accept_job(cell, make_job(make_step(WIDE, TINY)))
        starts = [len(plan_starts(cell)) for _ in range(WIDE // MAX_STARTS_PER_PASS + 1)]
        self.assertEqual(max(starts), MAX_STARTS_PER_PASS)
        self.assertEqual(sum(starts), WIDE)

    def test_urgent_work_goes_first_in_each_pass(self) -> None:
        cell = make_cell(4)
        accept_job(cell, make_job(make_step(WIDE, TINY)))
        plan_starts(cell)
        urgent = accept_job(cell, make_job(make_step(1, TINY), queue=URGENT))
        self.assertIn(urgent.id, [run.task.job.id for run in plan_starts(cell)])

    def test_a_job_of_lower_priority_waits_for_no_wide_job(self) -> None:
        cell = make_cell(4)
        late = accept_job(cell, make_job(make_step(2, TINY)), -1_000_000)
        accept_job(cell, make_job(make_step(WIDE, TINY)))
        started = plan_starts(cell)
        self.assertIn(late.id, [run.task.job.id for run in started])
        self.assertLessEqual(len(started), MAX_STARTS_PER_PASS + 1)

    def test_a_gang_wider_than_a_pass_starts_whole(self) -> None:
        cell = make_cell(4)
        accept_job(cell, make_job(make_step(3 * MAX_STARTS_PER_PASS, TINY, is_gang=True)))
        self.assertEqual(len(plan_starts(cell)), 3 * MAX_STARTS_PER_PASS)
