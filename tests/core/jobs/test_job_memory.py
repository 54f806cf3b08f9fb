"""Tests of the memory that jobs are taken to need, and of its bounds in a cell."""

import unittest
from dataclasses import replace

from lagoonshelf_core.ids import TeamId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.ended_jobs import MIN_KNOWN_MS
from lagoonshelf_core.jobs.job_memory import (
    MB,
    RUN_BYTES,
    JobMemory,
    MemoryReport,
    TeamMemory,
    description_bytes,
    job_bytes,
    occurrence_bytes,
)
from lagoonshelf_core.jobs.memory_admission import find_memory_refusal
from lagoonshelf_core.jobs.progress import Job, JobState, RunEnd
from lagoonshelf_core.jobs.scheduling_pass import MAX_STARTS_PER_PASS
from lagoonshelf_core.jobs.spec import MAX_STEPS, MAX_TASKS_PER_STEP
from lagoonshelf_core.resources import ZERO_RESOURCES
from tests.support.jobs import (
    TEAM,
    confirm_starts,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_starts,
    report_end,
)

OTHER = TeamId("desk")
SMALLEST_HOST_MB = 160
# The widest job of the sites' pages.
LARGEST_PAGE_TASKS = 4_800
WIDE_STEP = make_step(MAX_TASKS_PER_STEP)


class JobMemoryTest(unittest.TestCase):
    """Sums and bounds without a cell."""

    def setUp(self) -> None:
        self.memory = JobMemory(SMALLEST_HOST_MB)

    def _fill(self, team: TeamId) -> None:
        while self.memory.fits(team, job_bytes(make_job(WIDE_STEP))):
            spec = replace(make_job(WIDE_STEP), team=team)
            self.memory.update(spec, job_bytes(spec))

    def test_each_part_of_a_description_counts(self) -> None:
        """Guards against a cheap description of much work."""
        small = job_bytes(make_job())
        large = [
            make_job(WIDE_STEP),
            make_job(*[make_step()] * MAX_STEPS),
            make_job(make_step(image="x" * 100_000)),
            make_job(make_step(), make_step(after=(0,) * 100_000)),
            replace(make_job(), payload="x" * 100_000),
        ]
        for spec in large:
            self.assertGreater(job_bytes(spec), 30 * small)

    def test_teams_that_take_all_they_can_leave_room_for_others(self) -> None:
        """Guards against one client account that shuts the others out."""
        for number in range(20):
            self._fill(TeamId(f"t{number}"))
            self.assertTrue(self.memory.fits(OTHER, job_bytes(make_job(make_step(3)))))
        self.assertLess(self.memory.held_bytes, self.memory.max_bytes)

    def test_load_of_the_sites_fits_the_smallest_host(self) -> None:
        """Guards against a bound that clients inside the limits of the pages meet."""
        wide = make_job(WIDE_STEP, WIDE_STEP, WIDE_STEP, WIDE_STEP)
        self.assertTrue(self.memory.fits(TEAM, job_bytes(wide)))
        widest = make_job(make_step(LARGEST_PAGE_TASKS))
        for spec in (widest, *(make_job(make_step(25), make_step(25)) for _ in range(1_000))):
            self.assertTrue(self.memory.fits(TEAM, job_bytes(spec)))
            self.memory.update(spec, job_bytes(spec))

    def test_a_report_lists_teams_before_one_can_reach_its_bound(self) -> None:
        """Guards against a team that a member admits beyond its bound, as it is not listed."""
        spec = make_job(WIDE_STEP)
        while self.memory.fits(TEAM, job_bytes(spec)):
            self.assertIsNone(find_memory_refusal(make_job(WIDE_STEP), self._report(), {}, 0))
            self.memory.update(spec, job_bytes(spec))
            spec = make_job(WIDE_STEP)
        self.assertIsNotNone(find_memory_refusal(spec, self._report(), {}, 0))

    def _report(self) -> MemoryReport:
        return self.memory.report({})

    def test_what_ends_is_free_again(self) -> None:
        """Guards against sums that drift."""
        specs = [replace(make_job(), team=team) for team in (TEAM, OTHER, TEAM)]
        for spec in specs:
            self.memory.update(spec, job_bytes(spec))
            self.memory.update(spec, description_bytes(spec))
        self.assertEqual(self.memory.held_bytes, sum(map(description_bytes, specs)))
        for spec in specs:
            self.memory.update(spec, 0)
            self.memory.update(spec, 0)
        self.assertEqual((self.memory.held_bytes, self.memory._by_team), (0, {}))

    def test_a_job_larger_than_the_bound_fits_an_empty_leader(self) -> None:
        """Guards against a stored job that waits for ever as the hosts have become smaller."""
        self.memory.set_host_memory(1)
        self.assertTrue(self.memory.fits(TEAM, self.memory.max_bytes + 1))
        spec = make_job()
        self.memory.update(spec, job_bytes(spec))
        self.assertFalse(self.memory.fits(TEAM, self.memory.max_bytes))


class MemoryAdmissionTest(unittest.TestCase):
    """A member that decides by the leader's report."""

    def test_without_a_report_nothing_is_refused(self) -> None:
        self.assertIsNone(find_memory_refusal(make_job(), MemoryReport(), {}, 0))

    def test_a_team_at_its_share_is_refused_and_others_are_not(self) -> None:
        report = MemoryReport(30 * MB, 40 * MB, (TeamMemory(TEAM, 30 * MB),))
        refusal = find_memory_refusal(make_job(), report, {}, 50)
        self.assertTrue(refusal.is_team)
        self.assertIn("team", refusal.message)
        other = replace(make_job(), team=OTHER)
        self.assertIsNone(find_memory_refusal(other, report, {}, 50))
        full = replace(report, held_bytes=40 * MB)
        self.assertFalse(find_memory_refusal(other, full, {}, 50).is_team)

    def test_what_was_accepted_after_the_report_counts(self) -> None:
        """Guards against a burst between two heartbeats."""
        report = MemoryReport(0, 40 * MB)
        self.assertIsNone(find_memory_refusal(make_job(), report, {TEAM: 20 * MB}, 50))
        self.assertIsNotNone(find_memory_refusal(make_job(), report, {TEAM: 30 * MB}, 50))

    def test_refused_jobs_do_not_return_together(self) -> None:
        report = MemoryReport(40 * MB, 40 * MB)
        waits = {find_memory_refusal(make_job(), report, {}, 50).retry_after_s for _ in range(200)}
        self.assertGreater(len(waits), 5)
        self.assertGreaterEqual(min(waits), 1)


class CellMemoryTest(unittest.TestCase):
    """Jobs of a cell with little memory."""

    def _end_job(self, cell: Cell) -> Job:
        job = cell.accept(make_job(), 0)
        (run,) = plan_starts(cell)
        confirm_starts(cell, [run])
        end_run(cell, run)
        self.assertIs(job.state, JobState.COMPLETE)
        return job

    def test_occurrences_wait_for_memory(self) -> None:
        """Guards against due occurrences without bound whose first step is done.

        Two jobs of 64 steps were still growing after 40 s, at 89 MB.
        """
        cell = make_cell(4)
        last = [make_step(after=(0,), label="absent") for _ in range(MAX_STEPS - 1)]
        times = {"occurrences": 10_000, "first_due_ms": 0, "interval_ms": 1}
        spec = make_job(make_step(), *last, **times)
        cell.memory.max_bytes = 10 * occurrence_bytes(spec)
        job = cell.accept(spec, 0)
        for _ in range(50):
            runs = plan_starts(cell, 10_000)
            confirm_starts(cell, runs)
            for run in runs:
                end_run(cell, run)
        self.assertTrue(5 <= len(job.steps) / MAX_STEPS <= 10, len(job.steps) / MAX_STEPS)
        self.assertLessEqual(cell.memory.held_bytes, cell.memory.max_bytes)

    def test_one_occurrence_opens_without_memory_and_all_run(self) -> None:
        """Guards against a scheduled job that the jobs of others stop."""
        cell = make_cell(4)
        cell.memory.max_bytes = 1
        job = cell.accept(make_job(occurrences=20, first_due_ms=0, interval_ms=1), 0)
        names = []
        for _ in range(20):
            runs = plan_starts(cell, 10_000)
            self.assertEqual(len(runs), 1)
            confirm_starts(cell, runs)
            names.append(runs[0].name)
            end_run(cell, runs[0])
        self.assertIs(job.state, JobState.COMPLETE)
        self.assertEqual(len(set(names)), 20)

    def test_a_late_end_of_a_removed_job_holds_nothing(self) -> None:
        """Guards against memory that is never free again."""
        cell = make_cell(1)
        job = cell.accept(make_job(occurrences=2, first_due_ms=0, interval_ms=1), 0)
        run, _ = plan_starts(cell, 10_000)
        cell.cancel(job.id, 0)
        cell.remove_job(job.id)
        end_run(cell, run)
        self.assertEqual(cell.memory.held_bytes, 0)

    def test_an_ended_job_holds_its_description_only(self) -> None:
        """Guards against tasks that are kept until the record of the job is deleted."""
        cell = make_cell(1)
        job = self._end_job(cell)
        cell.release_job(job.id, 0)
        self.assertEqual(cell.memory.held_bytes, description_bytes(job.spec))
        self.assertEqual(job.steps, {})

    def test_a_late_end_of_a_released_job_starts_nothing(self) -> None:
        """Guards against a second run after the tasks of the job were dropped."""
        cell = make_cell(1)
        job = self._end_job(cell)
        cell.release_job(job.id, 0)
        report_end(cell, next(iter(cell.workers)), f"{job.id}.0.0.0", 1, RunEnd.FAILED)
        self.assertIs(job.state, JobState.COMPLETE)
        self.assertEqual((job.steps, plan_starts(cell)), ({}, []))

    def test_a_run_of_a_released_job_is_stopped_and_counted_meanwhile(self) -> None:
        """Guards against a worker that is overfilled as its run is no longer known."""
        cell = make_cell(1)
        job = self._end_job(cell)
        cell.release_job(job.id, 0)
        task = cell.find_task(f"{job.id}.0.0.0")
        self.assertTrue(task.is_done)
        self.assertEqual(task.step.spec.size, job.spec.steps[0].size)

    def test_ended_jobs_are_forgotten_but_not_soon(self) -> None:
        """Guards against ended jobs that leave no memory, and against one that runs again."""
        cell = make_cell(1)
        cell.memory.max_ended_bytes = 0
        job = self._end_job(cell)
        cell.release_job(job.id, 0)
        cell.forget_ended_jobs(MIN_KNOWN_MS - 1)
        self.assertIn(job.id, cell.jobs)
        cell.forget_ended_jobs(MIN_KNOWN_MS)
        self.assertNotIn(job.id, cell.jobs)
        self.assertEqual((cell.memory.held_bytes, cell.ended_jobs.held_bytes), (0, 0))

    def test_ended_jobs_stay_while_there_is_memory(self) -> None:
        """Guards against states that have to be read from the store."""
        cell = make_cell(1)
        job = self._end_job(cell)
        cell.release_job(job.id, 0)
        cell.forget_ended_jobs(10 * MIN_KNOWN_MS)
        self.assertIn(job.id, cell.jobs)

    def test_runs_of_tasks_without_size_are_bounded(self) -> None:
        """Guards against more runs than memory where no capacity bounds them."""
        cell = make_cell(4)
        cell.memory.max_runs = 150
        cell.accept(make_job(make_step(2_000, ZERO_RESOURCES)), 0)
        runs = [run for _ in range(20) for run in plan_starts(cell)]
        self.assertTrue(150 <= len(runs) < 150 + MAX_STARTS_PER_PASS, len(runs))
        for run in runs:
            confirm_starts(cell, [run])
            end_run(cell, run)
        self.assertTrue(plan_starts(cell))

    def test_the_smallest_host_holds_the_runs_of_a_large_cell(self) -> None:
        """Guards against a bound of runs below what the executors of a site can run."""
        self.assertGreater(JobMemory(SMALLEST_HOST_MB).max_runs * RUN_BYTES, 16 * MB)
