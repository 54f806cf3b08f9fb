"""Starts that one leader could not record, and what the next one numbers and counts."""

import asyncio
from collections.abc import Callable
from unittest.mock import patch

from lagoonshelf_core.jobs import supervision
from lagoonshelf_core.jobs.progress import JobState, RunEnd
from lagoonshelf_core.jobs.spec import JobSpec, StepSpec
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.jobs import fleet
from lagoonshelf_server.jobs.leader import Leader
from lagoonshelf_server.jobs.ports import WorkerReply
from tests.support.job_fakes import FakeWorker, eventually
from tests.support.jobs import SMALL, config, make_job, make_step
from tests.support.terms import TermTestCase


class UnrecordedStartTest(TermTestCase):
    """Two leaders in a row that find the same record of a job.

    The second one started the task under the attempt number of the first one's start, of which it
    could not know, and took the end of either run for that of the other (review/14).
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # Runs of these workers show no progress.
        for module, name, value_ms in (
            (fleet, "RUN_LEASE_MS", 100),
            (supervision, "STALL_MS", 60_000),
        ):
            patched = patch.object(module, name, value_ms)
            patched.start()
            self.addCleanup(patched.stop)

    async def _start_twice(self, step: StepSpec) -> tuple[Leader, JobSpec, FakeWorker]:
        """Start the tasks of a step, cut their worker off, and let a successor start them again.

        :return: successor, job, and worker that is cut off
        """
        spec = make_job(step)
        self._store(spec)
        self._fail_progress_writes()
        first = await self._term("m1")
        first.is_store_troubled = lambda: True
        await eventually(lambda: self._starts_of(spec) == step.count)
        (name,) = {name for name, _, _ in self.workers.started}
        lost = self.workers.workers[name]
        lost.is_silent = True
        self._restore_progress_writes()
        second = await self._term("m2")
        await eventually(lambda: self._starts_of(spec) == 2 * step.count, 5.0)
        return second, spec, lost

    async def _report_back(self, lost: FakeWorker, end: RunEnd) -> None:
        """Connect a worker again, whose runs have ended, and wait until its ends are counted."""
        name = next(name for name, entry in self.workers.workers.items() if entry is lost)
        for task, attempt in list(lost.running):
            self.workers.end(name, task, attempt, end)
        lost.is_silent = False
        await eventually(lambda: not lost.ended)

    def _runs(self) -> int:
        return sum(len(entry.running) for entry in self._entries())

    async def test_a_task_that_is_done_is_not_started_again(self) -> None:
        """The lapsed end of the first run hid that the second run was done."""
        leader, spec, lost = await self._start_twice(make_step())
        await self._report_back(lost, RunEnd.LAPSED)
        self.workers.end_all()
        await eventually(lambda: leader.state(spec.id) is JobState.COMPLETE)
        self.assertEqual(self._starts_of(spec), 2)

    async def test_the_lapsed_gang_of_a_predecessor_does_not_stop_the_next_one(self) -> None:
        """The end of a member of the first gang stopped the members of the second."""
        leader, spec, lost = await self._start_twice(make_step(2, is_gang=True))
        await self._report_back(lost, RunEnd.LAPSED)
        await asyncio.sleep(0.2)
        self.assertEqual(self._runs(), 2)
        self.workers.end_all()
        await eventually(lambda: leader.state(spec.id) is JobState.COMPLETE)
        self.assertEqual(self._starts_of(spec), 4)

    async def test_failures_of_both_runs_are_counted(self) -> None:
        """Two failures under one number counted as one, and the task was started too often."""
        leader, spec, lost = await self._start_twice(make_step())
        await self._report_back(lost, RunEnd.FAILED)
        for _ in range(2):
            await eventually(lambda: self._runs() == 1)
            self.workers.end_all(RunEnd.FAILED)
            await eventually(lambda: not any(entry.ended for entry in self._entries()))
        await eventually(lambda: leader.state(spec.id) is JobState.FAILED)
        self.assertEqual(self._starts_of(spec), 3)

    async def test_the_second_run_is_stopped_when_the_first_one_is_done(self) -> None:
        """It passed for the run that was done, and worked on beside the end of its job."""
        leader, spec, lost = await self._start_twice(make_step())
        await self._report_back(lost, RunEnd.DONE)
        await eventually(lambda: self._runs() == 0)
        await eventually(lambda: leader.state(spec.id) is JobState.COMPLETE)

    async def test_a_team_stays_within_its_limit_beside_runs_without_record(self) -> None:
        """A successor started a new job beside runs of its team that it did not know (QUOTA)."""
        limit = Resources(4 * SMALL.cpu_milli, 0, 0)
        with patch.object(fleet, "RUN_LEASE_MS", 10_000):
            spec, new = make_job(make_step(4)), make_job(make_step(4))
            self._store(spec)
            self._fail_progress_writes()
            first = await self._term("m1")
            first.is_store_troubled = lambda: True
            await eventually(lambda: self._starts_of(spec) == 4)
            for name in {name for name, _, _ in self.workers.started}:
                self.workers.workers[name].is_silent = True
            self._restore_progress_writes()
            second = await self._term("m2")
            second.config_view.current = config(limit)
            self._store(new)
            await eventually(lambda: new.id in second.cell.jobs)
            await asyncio.sleep(0.5)
        self.assertLessEqual(self._runs(), 4)

    async def test_a_service_is_stopped_only_with_its_job(self) -> None:
        """The lapsed gang of a service stopped the one that had replaced it."""
        step = make_step(2, is_gang=True, is_service=True)
        _, spec, lost = await self._start_twice(step)
        await self._report_back(lost, RunEnd.LAPSED)
        await asyncio.sleep(0.2)
        self.assertEqual((self._runs(), self._starts_of(spec)), (2, 4))


class AttemptNumberTest(TermTestCase):
    """Numbers of starts at workers that know of starts by earlier leaders."""

    async def test_a_number_that_is_too_low_is_raised_at_once(self) -> None:
        """Guards against thousands of refused starts where a worker knows an earlier term's run.

        A job that comes again after its end is counted from 1.
        """
        await self._term("m1")
        spec = make_job()
        for entry in self._entries():
            entry.highest_attempt[f"{spec.id}.0.0.0"] = 5_000
        calls = self._count_start_calls()
        self._store(spec)
        await eventually(lambda: self._starts_of(spec) == 1)
        self.assertLessEqual(calls(), 2)

    def _count_start_calls(self) -> Callable[[], int]:
        original, count = self.workers.start, 0

        async def start(*args: object) -> WorkerReply:
            nonlocal count
            count += 1
            return await original(*args)

        self.workers.start = start
        return lambda: count
