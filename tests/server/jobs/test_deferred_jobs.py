"""Tests of stored jobs that wait until the leader has memory for them."""

import asyncio

from lagoonshelf_core.jobs.job_memory import JobMemory, job_bytes
from lagoonshelf_core.jobs.progress import JobState
from lagoonshelf_core.jobs.spec import JobSpec
from lagoonshelf_server.jobs.keys import ended_key, job_key
from lagoonshelf_server.jobs.leader import Leader
from lagoonshelf_server.jobs.ports import StoreRevision
from tests.support.job_fakes import eventually
from tests.support.jobs import BATCH, TEAM, make_job, make_step
from tests.support.terms import TermTestCase

JOBS = 12
STEP = make_step(2, estimate_ms=10)


class DeferredJobsTest(TermTestCase):
    """A leader with memory for two or three jobs of a team."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.max_bytes = 4 * job_bytes(make_job(STEP))
        original = JobMemory.set_host_memory

        def set_host_memory(memory: JobMemory, memory_mb: float) -> None:
            original(memory, memory_mb)
            memory.max_bytes = self.max_bytes
            memory.max_ended_bytes = 0

        JobMemory.set_host_memory = set_host_memory
        self.addCleanup(setattr, JobMemory, "set_host_memory", original)

    def _hold_workers(self, leader: Leader) -> None:
        """Let nothing start."""
        leader.cell.may_use_registry = lambda now_ms: False

    def _forget_ended_jobs_at_once(self, leader: Leader) -> None:
        """Free the memory of ended jobs without the time for which they stay known."""
        leader.cell.release_job = lambda job, now_ms: leader.cell.remove_job(job)

    async def _submit(self, leader: Leader, *specs: JobSpec) -> None:
        for spec in specs:
            self._store(spec)
        await eventually(
            lambda: all(
                spec.id in leader.cell.jobs or spec.id in leader._deferred for spec in specs
            )
        )

    def _complete_runs(self) -> None:
        for name, entry in self.workers.workers.items():
            for task, attempt in list(entry.running):
                self.workers.end(name, task, attempt)

    async def _complete(self, specs: list[JobSpec]) -> None:
        """Let the tasks of all jobs end until all have ended."""

        def is_over() -> bool:
            self._complete_runs()
            return all(ended_key(spec.id) in self.store.items for spec in specs)

        await eventually(is_over)

    async def test_each_deferred_job_runs_once(self) -> None:
        """Guards against accepted jobs that are lost, or run twice, for want of memory."""
        leader = await self._term("m1")
        specs = [make_job(STEP) for _ in range(JOBS)]
        await self._submit(leader, *specs)
        self.assertGreater(len(leader._deferred), JOBS // 2)
        self.assertLessEqual(leader.cell.memory.held_bytes, self.max_bytes)
        self._forget_ended_jobs_at_once(leader)
        await self._complete(specs)
        self.assertEqual([self._starts_of(spec) for spec in specs], [STEP.count] * JOBS)

    async def test_a_deferred_job_counts_as_pending_and_is_known_by_its_record(self) -> None:
        """Guards against counts that lack jobs, and against a state of another job."""
        leader = await self._term("m1")
        self._hold_workers(leader)
        specs = [make_job(STEP) for _ in range(JOBS)]
        await self._submit(leader, *specs)
        self.assertEqual(leader.pending_by_queue(), {BATCH: JOBS})
        self.assertIsNone(leader.state(specs[-1].id))
        report = leader.memory_report()
        self.assertEqual(report.teams[0].size_bytes, sum(map(job_bytes, specs)))
        self.assertLess(report.held_bytes, report.teams[0].size_bytes)

    async def test_a_job_that_is_reported_again_is_deferred_once(self) -> None:
        """Guards against a job that is loaded twice."""
        leader = await self._term("m1")
        self._hold_workers(leader)
        specs = [make_job(STEP) for _ in range(JOBS)]
        await self._submit(leader, *specs)
        count = len(leader._deferred)
        for spec in specs:
            created = self.store.items[job_key(spec.id)].created
            for revision in (created, created + 1_000):
                leader.accept(spec, StoreRevision(revision))
        self.assertEqual(len(leader._deferred), count)

    async def test_a_small_job_does_not_pass_a_deferred_one_of_its_team(self) -> None:
        """Guards against small jobs that keep a large one waiting for ever."""
        leader = await self._term("m1")
        self._hold_workers(leader)
        large = make_job(make_step(30))
        await self._submit(leader, make_job(STEP), large, make_job(STEP))
        self.assertIn(large.id, leader._deferred)
        self.assertEqual(len(leader._deferred), 2)
        self._forget_ended_jobs_at_once(leader)
        for job in list(leader.cell.live_jobs):
            leader.cancel(job)
        await eventually(lambda: large.id in leader.cell.jobs)

    async def test_a_cancelled_job_ends_without_waiting_for_memory(self) -> None:
        """Guards against a cancellation that is forgotten while its job waits."""
        leader = await self._term("m1")
        self._hold_workers(leader)
        specs = [make_job(STEP) for _ in range(JOBS)]
        await self._submit(leader, *specs)
        last = specs[-1]
        self.assertIn(last.id, leader._deferred)
        leader.cancel(last.id)
        await eventually(lambda: ended_key(last.id) in self.store.items)
        self.assertIs(leader.state(last.id), JobState.CANCELLED)
        self.assertEqual(self._starts_of(last), 0)

    async def test_a_successor_with_little_memory_loads_what_has_started(self) -> None:
        """Guards against runs that a successor does not know, and against lost jobs."""
        self.max_bytes *= 10
        leader = await self._term("m1")
        started = [make_job(STEP) for _ in range(3)]
        await self._submit(leader, *started)
        await eventually(lambda: all(self._starts_of(spec) == STEP.count for spec in started))
        await eventually(lambda: all(leader.state(s.id) is JobState.RUNNING for s in started))
        self._hold_workers(leader)
        waiting = [make_job(STEP) for _ in range(JOBS)]
        await self._submit(leader, *waiting)
        self.max_bytes = job_bytes(started[0])
        successor = await self._term("m2")
        self.assertTrue(all(spec.id in successor.cell.jobs for spec in started))
        self.assertGreater(len(successor._deferred), JOBS // 2)
        self._forget_ended_jobs_at_once(successor)
        await self._complete([*started, *waiting])
        for spec in (*started, *waiting):
            self.assertEqual(self._starts_of(spec), STEP.count)

    async def test_a_store_outage_delays_deferred_jobs_only(self) -> None:
        """Guards against a deferred job that is dropped as its record could not be read."""
        leader = await self._term("m1")
        self._hold_workers(leader)
        specs = [make_job(STEP) for _ in range(JOBS)]
        await self._submit(leader, *specs)
        count = len(leader._deferred)
        self.store.is_down = True
        self.max_bytes *= 100
        leader.cell.memory.max_bytes = self.max_bytes
        await asyncio.sleep(0.2)
        self.assertEqual(len(leader._deferred), count)
        self.store.is_down = False
        await eventually(lambda: not leader._deferred)
        self.assertTrue(all(spec.id in leader.cell.jobs for spec in specs))
        self.assertEqual(leader._deferred.bytes_by_team[TEAM], 0)
