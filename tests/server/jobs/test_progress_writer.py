"""Tests of the group commit of job progress."""

import asyncio
import unittest

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import MemberId, WorkerId
from lagoonshelf_core.jobs.job_records import decode_state
from lagoonshelf_core.jobs.progress import Job, JobState, Run, RunPhase
from lagoonshelf_core.jobs.spec import Occurrence, encode_job
from lagoonshelf_server.jobs.keys import (
    LEADER_KEY,
    cancel_key,
    ended_key,
    job_key,
    progress_key,
)
from lagoonshelf_server.jobs.leader_lease import LeaderLease
from lagoonshelf_server.jobs.progress_writer import ProgressWriter
from tests.support.job_fakes import FakeStore, eventually
from tests.support.jobs import SMALL, TEAM, make_job


class ProgressWriterTest(unittest.IsolatedAsyncioTestCase):
    """The progress writer of a leader."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.lease = LeaderLease(self.store, Clock(), MemberId("m1"), "a:1")
        self.store._answered_ms = Clock().now_ms()
        self.lease.is_loaded = True
        await self.lease._try_claim()
        self.writer = ProgressWriter(self.store, self.lease)
        task = asyncio.ensure_future(self.writer.run())
        self.addCleanup(task.cancel)

    async def test_a_mark_is_durable_only_after_its_jobs_are_written(self) -> None:
        """Guards against acknowledging ends that are not durable.

        Tasks ran twice because of it (andinas, scale-1).
        """
        self.store.is_down = True
        changed = Job(make_job(), 0, state=JobState.COMPLETE)
        self.writer.add({changed})
        mark = self.writer.mark()
        self.assertFalse(await self.writer.wait_durable(mark, 0.05))
        self.assertNotIn(changed.id, self.writer.durable_states)
        self.store.is_down = False
        self.assertTrue(await self.writer.wait_durable(mark, 2.0))
        record = self.store.items[ended_key(changed.id)]
        self.assertIs(decode_state(record.value), JobState.COMPLETE)
        self.assertIs(self.writer.durable_states[changed.id], JobState.COMPLETE)

    async def test_an_unanswered_write_is_recognized_by_the_retry(self) -> None:
        """Guards against a retry that conflicts forever with the unanswered first attempt."""
        self.store.lose_answers = 1
        changed = Job(make_job(), 0)
        self.writer.add({changed})
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        changed.state = JobState.FAILED
        self.writer.add({changed})
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        record = self.store.items[ended_key(changed.id)]
        self.assertIs(decode_state(record.value), JobState.FAILED)

    async def test_the_durable_state_is_the_one_that_was_written(self) -> None:
        """Guards against reporting a state that is not durable.

        The job ends between an unanswered write and the retry that finds its result.
        """
        changed = Job(make_job(), 0, state=JobState.RUNNING)
        self.store.lose_answers = 1
        original, calls = self.store.commit, 0

        async def commit(*args: object, **kwargs: object) -> object:
            nonlocal calls
            calls += 1
            try:
                return await original(*args, **kwargs)
            finally:
                if calls == 2:
                    changed.state = JobState.COMPLETE

        self.store.commit = commit
        self.writer.add({changed})
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        self.assertIs(self.writer.durable_states[changed.id], JobState.RUNNING)

    async def test_nothing_is_written_once_another_process_leads(self) -> None:
        """Guards against writes of a former leader; the conflict makes it step down."""
        self.store.put(LEADER_KEY, b'{"member":"m2","address":"a:2"}')
        changed = Job(make_job(), 0)
        self.writer.add({changed})
        await eventually(lambda: not self.lease.is_held)
        self.assertNotIn(progress_key(changed.id), self.store.items)

    async def test_a_late_write_does_not_undo_a_newer_one(self) -> None:
        """Guards against an unanswered write that takes effect late and undoes a newer one."""
        changed = Job(make_job(), 0)
        old = {progress_key(changed.id): 0, LEADER_KEY: self.lease.revision}
        self.writer.add({changed})
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        before = self.store.items[progress_key(changed.id)]
        await self.store.commit(old, [])
        self.assertEqual(self.store.items[progress_key(changed.id)], before)

    async def test_more_jobs_than_one_commit_holds(self) -> None:
        """Guards against one commit per job, and against losing jobs beyond one commit."""
        jobs = {Job(make_job(), 0) for _ in range(100)}
        before = self.store.commits
        self.writer.add(jobs)
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        self.assertEqual(self.store.commits - before, 7)

    async def test_an_ended_job_leaves_one_record(self) -> None:
        """Guards against a takeover that has to read every job that ever ended.

        After a power loss no leader finished its takeover (large andinas, trouble-1).
        """
        changed = Job(make_job(), 0, state=JobState.RUNNING)
        self.store.put(job_key(changed.id), b"{}")
        self.store.put(cancel_key(changed.id), b"{}")
        self.writer.add({changed})
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        changed.state = JobState.CANCELLED
        self.writer.add({changed})
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        keys = [key for key in self.store.items if key.endswith(changed.id)]
        self.assertEqual(keys, [ended_key(changed.id)])

    async def test_an_unanswered_final_write_is_recognized_by_the_retry(self) -> None:
        """Guards against a retry that conflicts forever, or that writes the records again."""
        changed = Job(make_job(), 0, state=JobState.RUNNING)
        self.writer.add({changed})
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        self.store.lose_answers = 1
        changed.state = JobState.COMPLETE
        self.writer.add({changed})
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        self.assertIs(self.writer.durable_states[changed.id], JobState.COMPLETE)
        self.writer.add({changed})
        await asyncio.sleep(0.1)
        self.assertNotIn(progress_key(changed.id), self.store.items)

    async def test_jobs_that_end_while_a_write_is_repeated_fit_into_transactions(self) -> None:
        """Guards against a transaction with more entries than the store accepts.

        All jobs of a full batch end during an outage, and each end takes more entries.
        """
        jobs = {Job(make_job(), 0, state=JobState.RUNNING) for _ in range(15)}
        sizes: list[int] = []
        original = self.store.commit

        async def commit(conditions: dict, puts: list, deletes: list = ()) -> object:
            sizes.append(len(conditions) + len(puts) + len(deletes))
            return await original(conditions, puts, deletes)

        self.store.commit = commit
        self.writer.add(jobs)
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        self.store.is_down = True
        self.writer.add(jobs)
        await asyncio.sleep(0.15)
        for job in jobs:
            job.state = JobState.CANCELLED
        self.store.is_down = False
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 3.0))
        self.assertLessEqual(max(sizes), 32)
        self.assertEqual(sum(key.startswith("ended/") for key in self.store.items), len(jobs))

    async def test_an_ended_job_does_not_block_the_jobs_written_with_it(self) -> None:
        """Guards against a batch that conflicts for ever.

        A run of a cancelled job ended while its final state was written, so that the job was
        written again, together with others (trial on large andinas, small trouble-1).
        """
        ended, other = (Job(make_job(), 0, state=JobState.RUNNING) for _ in range(2))
        ended.state = JobState.CANCELLED
        original = self.store.commit

        async def commit(*args: object, **kwargs: object) -> object:
            result = await original(*args, **kwargs)
            self.store.commit = original
            self.writer.add({ended, other})
            return result

        self.store.commit = commit
        self.writer.add({ended})
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        await eventually(lambda: other.id in self.writer.durable_states)
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))

    async def test_a_job_is_known_until_its_runs_have_ended(self) -> None:
        """Guards against a successor that does not know the size of runs that are being stopped.

        It started more on their workers than these can hold (LIMIT, large andinas, scale-1).
        """
        spec = make_job()
        self.store.put(job_key(spec.id), encode_job(spec))
        changed = Job(spec, 0, state=JobState.CANCELLED)
        (task,) = changed.occurrence_steps(Occurrence(0))[0].tasks
        run = Run(task.name, 1, WorkerId("w1"), SMALL, TEAM, task, RunPhase.STOPPING, 0)
        task.assign(run)
        self.writer.add({changed})
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        self.assertIs(self.writer.durable_states[changed.id], JobState.CANCELLED)
        self.assertIn(job_key(spec.id), self.store.items)
        task.assign(None)
        self.writer.add({changed})
        self.assertTrue(await self.writer.wait_durable(self.writer.mark(), 2.0))
        self.assertNotIn(job_key(spec.id), self.store.items)
