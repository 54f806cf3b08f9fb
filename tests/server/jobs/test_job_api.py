"""Tests of the job API."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import patch

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.job_records import encode_progress
from lagoonshelf_core.jobs.progress import Job, JobState
from lagoonshelf_core.jobs.spec import encode_job
from lagoonshelf_server.jobs import job_api
from lagoonshelf_server.jobs.job_api import JobApi, LeaderClient, WriteOutcome
from lagoonshelf_server.jobs.keys import (
    ENDED_PREFIX,
    cancel_key,
    ended_key,
    job_key,
    progress_key,
)
from lagoonshelf_server.jobs.ports import Item, StoreUnavailableError, StoreUncertainError
from tests.support.job_fakes import FakeStore
from tests.support.jobs import make_job


class JobApiTest(unittest.IsolatedAsyncioTestCase):
    """A job API whose leader is unreachable; a test may let another member relay writes."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.relayed: list[str] = []
        self.relay_outcome: WriteOutcome | None = None
        leader_client = LeaderClient(
            self._fail_announce, self._fail_announce, self._fail_state, self._relay
        )
        self.api = JobApi(self.store, Clock(), leader_client)

    async def _fail_announce(self, *args: object) -> None:
        raise ConnectionError("no leader")

    async def _fail_state(self, job_id: str) -> JobState | None:
        raise ConnectionError("no leader")

    async def _relay(self, job_id: str, record: str) -> WriteOutcome:
        self.relayed.append(job_id)
        if self.relay_outcome is None:
            raise ConnectionError("no member")
        return self.relay_outcome

    async def test_an_accepted_job_is_stored(self) -> None:
        """Guards against accepting a job that is not durable yet."""
        spec = make_job()
        self.assertIs(await self.api.submit(spec, 1_000), WriteOutcome.STORED)
        self.assertIn(job_key(spec.id), self.store.items)

    async def test_records_in_announcements_are_bounded(self) -> None:
        """Guards against a process that keeps all jobs of a leader that does not answer."""
        size = len(encode_job(make_job()))
        announced, is_over = [], asyncio.Event()

        async def announce(job: str, record: str, created: int) -> None:
            announced.append(job)
            await is_over.wait()

        self.api._leader = replace(self.api._leader, announce=announce)
        with patch.object(job_api, "MAX_ANNOUNCED_BYTES", 3 * size):
            for count in (3, 6):
                for _ in range(5):
                    outcome = await self.api.submit(make_job(), 1_000)
                    self.assertIs(outcome, WriteOutcome.STORED)
                await asyncio.sleep(0)
                self.assertEqual(len(announced), count)
                is_over.set()
                await asyncio.gather(*self.api._tasks)
                is_over.clear()
        self.assertEqual(self.api._announced_bytes, 0)

    async def test_a_resubmitted_job_is_stored_once(self) -> None:
        """Guards against a resubmission that overwrites the first record."""
        spec = make_job()
        await self.api.submit(spec, 1_000)
        before = self.store.items[job_key(spec.id)]
        self.assertIs(await self.api.submit(spec, 1_000), WriteOutcome.STORED)
        self.assertEqual(self.store.items[job_key(spec.id)], before)

    async def test_an_unanswered_write_is_retried(self) -> None:
        """Guards against reporting a failure for a write that took effect without an answer."""
        self.store.lose_answers = 1
        self.assertIs(await self.api.submit(make_job(), 2_000), WriteOutcome.STORED)

    async def test_an_unanswered_write_is_never_reported_as_unavailable(self) -> None:
        """Guards against a definite failure although the job may be stored.

        The first write is unanswered, and the store is unreachable for the second one.
        """
        spec = make_job()
        self.store.lose_answers = 1
        original = self.store.commit

        async def commit(*args: object, **kwargs: object) -> object:
            if self.store.commits:
                self.store.is_down = True
            return await original(*args, **kwargs)

        self.store.commit = commit
        self.assertIs(await self.api.submit(spec, 700), WriteOutcome.UNCERTAIN)
        self.assertEqual(self.relayed, [])

    async def test_a_failing_store_is_probed_before_a_write(self) -> None:
        """Guards against an uncertain outcome for each job of an outage that resets connections.

        A client may not submit a job elsewhere after "may have run"; in such an outage 450
        submissions got that answer (large andinas, scale-1).
        """

        async def commit(*args: object, **kwargs: object) -> None:
            self.store.commits += 1
            raise StoreUncertainError("connection closed")

        self.store.commit = commit
        self.assertIs(await self.api.submit(make_job(), 400), WriteOutcome.UNCERTAIN)
        self.store.is_down = True
        before = self.store.commits
        self.assertIs(await self.api.submit(make_job(), 400), WriteOutcome.UNAVAILABLE)
        self.assertEqual(self.store.commits, before)

    async def test_without_the_store_another_member_writes(self) -> None:
        """Guards against refusing a job that another member can store.

        If no member can, the call fails immediately.
        """
        self.store.is_down = True
        self.relay_outcome = WriteOutcome.STORED
        self.assertIs(await self.api.submit(make_job(), 1_000), WriteOutcome.STORED)
        self.relay_outcome = None
        self.assertIs(await self.api.submit(make_job(), 1_000), WriteOutcome.UNAVAILABLE)

    async def test_states_are_read_from_the_store_without_a_leader(self) -> None:
        """Guards against wrong states of unknown, stored and running jobs without a leader."""
        spec = make_job()
        self.assertIsNone(await self.api.state(spec.id))
        self.store.put(job_key(spec.id), encode_job(spec))
        self.assertIs(await self.api.state(spec.id), JobState.QUEUED)
        progress = encode_progress(Job(spec, 0, state=JobState.RUNNING))
        self.store.put(progress_key(spec.id), progress)
        self.assertIs(await self.api.state(spec.id), JobState.RUNNING)

    async def test_an_unreachable_store_is_not_reported_as_an_unknown_job(self) -> None:
        """Guards against "unknown job" when neither the leader nor the store answers."""
        self.store.is_down = True
        with self.assertRaises(StoreUnavailableError):
            await self.api.state(make_job().id)

    async def test_a_cancellation_is_stored(self) -> None:
        """Guards against a cancellation that is not durable or that names an unknown job."""
        spec = make_job()
        self.assertIs(await self.api.cancel(spec.id, 1_000), WriteOutcome.UNKNOWN_JOB)
        self.assertIn(cancel_key(spec.id), self.store.items)
        await self.api.submit(spec, 1_000)
        self.assertIs(await self.api.cancel(spec.id, 1_000), WriteOutcome.STORED)
        self.assertIn(cancel_key(spec.id), self.store.items)

    async def test_a_job_that_is_stored_meanwhile_is_cancelled(self) -> None:
        """Guards against "unknown job" for a job that is stored while it is looked for."""
        spec = make_job()
        read = self.store.read

        async def read_then_store(key: str, **limits: int) -> Item | None:
            found = await read(key, **limits)
            if key == ended_key(spec.id):
                self.store.put(job_key(spec.id), encode_job(spec))
                self.store.read = read
            return found

        self.store.read = read_then_store
        self.assertIs(await self.api.cancel(spec.id, 1_000), WriteOutcome.STORED)
        self.assertIn(cancel_key(spec.id), self.store.items)

    async def test_a_cancellation_that_is_recorded_is_not_refused(self) -> None:
        """Guards against "nothing was done" after an unanswered write that took effect.

        The store goes away before the record can be renewed.
        """
        spec = make_job()
        self.store.lose_answers = 1
        read = self.store.read

        async def read_then_fail(key: str, **limits: int) -> Item | None:
            found = await read(key, **limits)
            self.store.is_down = self.store.commits > 0 and key.startswith(ENDED_PREFIX)
            return found

        self.store.read = read_then_fail
        self.assertIs(await self.api.cancel(spec.id, 1_500), WriteOutcome.UNCERTAIN)
        self.assertIn(cancel_key(spec.id), self.store.items)

    async def test_a_job_is_not_unknown_before_that_is_durable(self) -> None:
        """Guards against "unknown job" while the write of the job may still take effect."""
        read = self.store.read

        async def read_then_fail(key: str, **limits: int) -> Item | None:
            found = await read(key, **limits)
            self.store.is_down = key.startswith(ENDED_PREFIX)
            return found

        self.store.read = read_then_fail
        self.assertIs(await self.api.cancel(make_job().id, 400), WriteOutcome.UNAVAILABLE)
