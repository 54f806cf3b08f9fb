"""Tests of what callers are told."""

import unittest

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.progress import Job, JobState, encode_progress
from lagoonshelf_core.jobs.spec import encode_job
from lagoonshelf_server.jobs.job_api import JobApi, LeaderClient, WriteOutcome
from lagoonshelf_server.jobs.keys import cancel_key, job_key, progress_key
from lagoonshelf_server.jobs.ports import StoreUnavailableError
from tests.support.job_fakes import FakeStore
from tests.support.jobs import job


class JobApiTest(unittest.IsolatedAsyncioTestCase):
    """An entry whose holder does not answer, unless a test says so."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.relayed: list[str] = []
        self.relay_outcome: WriteOutcome | None = None
        leader_client = LeaderClient(
            self._no_announce, self._no_announce, self._no_state, self._relay
        )
        self.api = JobApi(self.store, Clock(), leader_client)

    async def _no_announce(self, *args: object) -> None:
        raise ConnectionError("no holder")

    async def _no_state(self, job_id: str) -> JobState | None:
        raise ConnectionError("no holder")

    async def _relay(self, job_id: str, record: str) -> WriteOutcome:
        self.relayed.append(job_id)
        if self.relay_outcome is None:
            raise ConnectionError("no member")
        return self.relay_outcome

    async def test_an_accepted_job_is_stored(self) -> None:
        """Before the caller is told."""
        spec = job()
        self.assertIs(await self.api.submit(spec, 1_000), WriteOutcome.STORED)
        self.assertIn(job_key(spec.id), self.store.items)

    async def test_the_same_job_again_is_the_same_job(self) -> None:
        """Its first record stays."""
        spec = job()
        await self.api.submit(spec, 1_000)
        before = self.store.items[job_key(spec.id)]
        self.assertIs(await self.api.submit(spec, 1_000), WriteOutcome.STORED)
        self.assertEqual(self.store.items[job_key(spec.id)], before)

    async def test_a_lost_answer_is_followed_up(self) -> None:
        """The write took effect."""
        self.store.lose_answers = 1
        self.assertIs(await self.api.submit(job(), 2_000), WriteOutcome.STORED)

    async def test_a_lost_answer_never_becomes_a_refusal(self) -> None:
        """The store goes away after the first try; the job may be stored."""
        spec = job()
        self.store.lose_answers = 1
        original = self.store.commit

        async def commit(*args: object, **kwargs: object) -> object:
            if self.store.commits:
                self.store.is_down = True
            return await original(*args, **kwargs)

        self.store.commit = commit
        self.assertIs(await self.api.submit(spec, 700), WriteOutcome.UNCERTAIN)
        self.assertEqual(self.relayed, [])

    async def test_without_the_store_another_member_writes(self) -> None:
        """A refusal comes at once when none can."""
        self.store.is_down = True
        self.relay_outcome = WriteOutcome.STORED
        self.assertIs(await self.api.submit(job(), 1_000), WriteOutcome.STORED)
        self.relay_outcome = None
        self.assertIs(await self.api.submit(job(), 1_000), WriteOutcome.UNAVAILABLE)

    async def test_states_come_from_the_store_without_a_holder(self) -> None:
        """Stored, in progress, never stored."""
        spec = job()
        self.assertIsNone(await self.api.state(spec.id))
        self.store.put(job_key(spec.id), encode_job(spec))
        self.assertIs(await self.api.state(spec.id), JobState.QUEUED)
        progress = encode_progress(Job(spec, 0, state=JobState.RUNNING))
        self.store.put(progress_key(spec.id), progress)
        self.assertIs(await self.api.state(spec.id), JobState.RUNNING)

    async def test_no_job_is_called_unknown_without_the_store(self) -> None:
        """Neither the holder nor the store answers."""
        self.store.is_down = True
        with self.assertRaises(StoreUnavailableError):
            await self.api.state(job().id)

    async def test_a_cancellation_is_stored(self) -> None:
        """Of a job that is stored; another one is unknown."""
        spec = job()
        self.assertIs(await self.api.cancel(spec.id, 1_000), WriteOutcome.UNKNOWN_JOB)
        await self.api.submit(spec, 1_000)
        self.assertIs(await self.api.cancel(spec.id, 1_000), WriteOutcome.STORED)
        self.assertIn(cancel_key(spec.id), self.store.items)
