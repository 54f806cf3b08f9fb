"""Leaders that go on without the store while others may have replaced them."""

import asyncio
from collections.abc import Callable, Sequence

from lagoonshelf_core.jobs.progress import JobState
from lagoonshelf_core.jobs.workers import WorkerInfo
from lagoonshelf_server.jobs.keys import LEADER_KEY
from lagoonshelf_server.jobs.leader import Leader
from lagoonshelf_server.jobs.leader_lease import LEASE_TTL_MS
from lagoonshelf_server.jobs.ports import Listing, NoAnswerError, Put, StoreUnavailableError
from tests.support.job_fakes import FakeWorker, eventually
from tests.support.jobs import make_job
from tests.support.terms import TermTestCase


class DeposedLeaderTest(TermTestCase):
    """A leader that goes on in an outage of the store, and a successor that it does not know."""

    async def test_a_job_stored_after_the_lease_has_lapsed_is_not_started(self) -> None:
        """Both leaders took the job for new and started its task, each as attempt 1."""
        first = await self._term("m1")
        self._isolate(first)
        second, connect = await self._term("m2"), self._hold_lists(first)
        spec = make_job()
        self._store(spec)
        await eventually(lambda: spec.id in first.cell.jobs)
        await asyncio.sleep(0.2)
        connect()
        await eventually(lambda: second.state(spec.id) is JobState.RUNNING)
        self.assertEqual(self._starts_of(spec), 1)

    async def test_it_is_started_once_the_lease_is_renewed(self) -> None:
        """Guards against a job that waits for good with a leader that has kept the lease."""
        leader = await self._term("m1")
        self._isolate(leader)
        spec = make_job()
        self._store(spec)
        await eventually(lambda: spec.id in leader.cell.jobs)
        leader.lease.renewed_ms = self.clock.now_ms()
        await eventually(lambda: self._starts_of(spec) == 1)

    def _isolate(self, leader: Leader) -> None:
        """Let the lease of a leader lapse in what is an outage of the store to it."""
        # Its renewals.
        self.tasks[1].cancel()
        leader.lease.renewed_ms = self.clock.now_ms() - LEASE_TTL_MS
        leader.lease.is_outage = leader.is_store_troubled = leader.is_store_down = lambda: True
        original, token = self.store.commit, leader.lease.token

        async def commit(
            conditions: dict, puts: Sequence[Put] = (), *args: object, **limits: int
        ) -> object:
            is_claim = any(put.key == LEADER_KEY for put in puts)
            if conditions.get(LEADER_KEY) == token and not is_claim:
                raise StoreUnavailableError("cut off")
            return await original(conditions, puts, *args, **limits)

        self.store.commit = commit

    def _hold_lists(self, first: Leader) -> Callable[[], None]:
        """Keep workers from answering other leaders until the returned function is called.

        Those with a run by then do not answer them any more.
        """
        original, connected = self.workers.list_runs, asyncio.Event()

        async def list_runs(info: WorkerInfo, token: int, *args: object) -> Listing:
            if token != first.lease.token:
                await connected.wait()
                if self.workers.workers[info.id] in lost:
                    raise NoAnswerError("cut off")
            return await original(info, token, *args)

        def connect() -> None:
            lost.extend(entry for entry in self._entries() if entry.running)
            connected.set()

        lost: list[FakeWorker] = []
        self.workers.list_runs = list_runs
        return connect
