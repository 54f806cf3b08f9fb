"""Workers that start again under their ids and take calls for their former incarnations."""

import asyncio
from dataclasses import replace

from lagoonshelf_core.jobs.progress import RunEnd
from lagoonshelf_core.jobs.workers import MAX_LEASE_MS, WorkerInfo
from lagoonshelf_server.jobs.leader import Leader
from lagoonshelf_server.jobs.ports import StartOutcome, StartRequest, WorkerReply
from tests.support.job_fakes import FakeWorker, eventually
from tests.support.jobs import make_job, make_step, worker_info
from tests.support.terms import TermTestCase

NAME = "w000"


class RestartTest(TermTestCase):
    """Guards against what a call for a former incarnation does to the new one."""

    def _restart(self, *, is_registered: bool = True) -> FakeWorker:
        """Let a worker start again; return its new incarnation."""
        restarted = replace(worker_info(0), born_ms=worker_info(0).born_ms + 1_000)
        entry = self.workers.add(restarted)
        if is_registered:
            self._register(restarted)
        return entry

    def _register(self, restarted: WorkerInfo) -> None:
        self.codec.infos[b"restarted"] = restarted
        self.store.put(f"workers/{NAME}", b"restarted")

    def _lapse_in_ms(self, leader: Leader) -> int:
        return leader.cell.workers[NAME].lapse_ms - self.clock.now_ms()

    async def _read_restarted(self, leader: Leader) -> None:
        worker = leader.cell.workers[NAME]
        await eventually(lambda: worker.info.born_ms == 2_000 and worker.is_usable)
        await asyncio.sleep(0.2)

    async def test_its_leases_may_last_longer_than_those_granted_since(self) -> None:
        """The run was started elsewhere after 6 s, with up to 10 s of its lease left (TWICE)."""
        leader = await self._term("m1")
        self._restart()
        await self._read_restarted(leader)
        self.assertGreater(self._lapse_in_ms(leader), MAX_LEASE_MS)

    async def test_so_does_a_successor_assume(self) -> None:
        """The successor counted 6 s from its own start."""
        leader = await self._term("m1")
        entry = self._restart()
        await self._read_restarted(leader)
        entry.is_silent = True
        successor = await self._term("m2")
        self.assertGreater(self._lapse_in_ms(successor), MAX_LEASE_MS)
        entry.is_silent = False
        await eventually(lambda: successor.cell.workers[NAME].is_usable)
        self.assertGreater(self._lapse_in_ms(successor), MAX_LEASE_MS)

    async def test_a_successor_keeps_to_the_leases_of_its_predecessor(self) -> None:
        """The first answer of a worker, before any renewal, set the end of all leases to 1 s."""
        await self._term("m1")
        successor = await self._term("m2")
        for name in self.workers.workers:
            worker = successor.cell.workers[name]
            await eventually(lambda w=worker: w.is_read)
            self.assertGreater(worker.min_lapse_ms - self.clock.now_ms(), 6_000)

    async def test_a_restart_is_noted_once_while_the_registry_is_behind(self) -> None:
        """Each answer of the new incarnation moved the end of its leases."""
        leader = await self._term("m1")
        self._restart(is_registered=False)
        worker = leader.cell.workers[NAME]
        await eventually(lambda: worker.has_restarted)
        noted_ms = worker.lapse_ms
        await asyncio.sleep(0.5)
        self.assertEqual(worker.lapse_ms, noted_ms)

    async def test_late_calls_for_the_former_incarnation_are_refused(self) -> None:
        """A late list would make it forget unread ends, a late start run a task twice."""
        leader = await self._term("m1")
        entry = self._restart()
        former_token = leader.lease.token
        await self._read_restarted(leader)
        self.assertGreater(entry.token, former_token)
        start = StartRequest("a.0.0.0", 1, "", 0, former_token)
        self.assertIs(self.workers.apply_start(NAME, start), StartOutcome.FENCED)
        info = worker_info(0)
        entry.running[("b.0.0.0", 1)] = ""
        self.workers.end(NAME, "b.0.0.0", 1, RunEnd.DONE)
        acked_end = entry.acked_end
        listing = await self.workers.list_runs(info, former_token, 57, None, 0, 500)
        self.assertTrue(listing.is_fenced)
        self.assertEqual(entry.acked_end, acked_end)

    async def test_the_refusal_of_such_a_call_does_not_depose_the_leader(self) -> None:
        """The start goes out to the former incarnation and reaches the new one after its list."""
        leader = await self._term("m1")
        held, original = asyncio.Event(), self.workers.start

        async def start(info: WorkerInfo, request: StartRequest, timeout_ms: int) -> WorkerReply:
            if info.id == NAME and info.born_ms == 1_000:
                await held.wait()
            return await original(info, request, timeout_ms)

        self.workers.start = start
        spec = make_job(make_step(60))
        self._store(spec)
        await eventually(lambda: len(self.workers.started) > 10)
        self._restart()
        await self._read_restarted(leader)
        held.set()
        await eventually(lambda: self._starts_of(spec) >= 48)
        await asyncio.sleep(0.3)
        self.assertTrue(leader.lease.is_held)

    async def test_the_next_leader_has_a_higher_token(self) -> None:
        """Guards against a token of a restarted worker that fences the leaders that follow."""
        leader = await self._term("m1")
        entry = self._restart()
        await self._read_restarted(leader)
        token = entry.token
        successor = await self._term("m2")
        await eventually(lambda: successor.cell.workers[NAME].is_usable)
        self.assertGreater(entry.token, token)
        self.assertTrue(successor.lease.is_held)
