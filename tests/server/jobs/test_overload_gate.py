"""Tests of the refusal of jobs under overload at a member, and of the forecast's way to it."""

import asyncio
import unittest
import unittest.mock
from dataclasses import replace

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import FailureDomain, MemberId
from lagoonshelf_core.jobs.job_memory import MB, MemoryReport, TeamMemory, job_bytes
from lagoonshelf_core.jobs.load_forecast import EDGES_MS, PoolForecast
from lagoonshelf_core.jobs.memory_admission import MAX_BACKLOG_RATIO, MemoryRefusal
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.overload_admission import MAX_FORECAST_AGE_MS, Refusal
from lagoonshelf_core.jobs.spec import JobSpec
from lagoonshelf_server.codec import decode, encode
from lagoonshelf_server.jobs.heartbeats import NodeSettings
from lagoonshelf_server.jobs.job_api import JobApi, WriteOutcome
from lagoonshelf_server.jobs.keys import ended_key, job_key
from lagoonshelf_server.jobs.leader import Ports
from lagoonshelf_server.jobs.node import Node
from lagoonshelf_server.jobs.overload_gate import (
    MAX_MEMORY_AGE_MS,
    REPORT_LAG_MS,
    STORE_TROUBLE_MS,
    WRITE_SETTLE_S,
    OverloadGate,
)
from lagoonshelf_server.jobs.ports import StoreUncertainError
from lagoonshelf_server.messages import Envelope, Pulse, PulseReply
from tests.support.job_fakes import FakeStore, eventually
from tests.support.jobs import POOL, TEAM, config, make_job
from tests.support.terms import TermTestCase

WORK = (10**9,) * (len(EDGES_MS) + 1)
FULL = PoolForecast(POOL, 100_000, 0, (3, 2, 1), 100, 0, 0, WORK, WORK, WORK)


class OverloadGateTest(unittest.IsolatedAsyncioTestCase):
    """A member with a forecast by which every job is refused."""

    async def asyncSetUp(self) -> None:
        self.store, self.clock = FakeStore(), Clock()
        self.gate = self._gate(SchedulerOptions(refuses_overload=True))
        self.api = JobApi(self.store, self.clock, None)
        self.api.find_refusal = self.gate.find_refusal
        self.api._spawn = lambda coro: None
        self.api._leader = unittest.mock.MagicMock()

    def _gate(self, options: SchedulerOptions) -> OverloadGate:
        gate = OverloadGate(options, self.store, self.clock, config)
        gate.record((FULL,), self.clock.now_ms())
        return gate

    async def _submit(self, spec: JobSpec) -> WriteOutcome | Refusal:
        return await self.api.submit(spec, 1_000)

    async def test_refused_job_is_not_stored(self) -> None:
        """Guards against a refusal of a job that runs, and against one without the switch."""
        spec = make_job()
        self.assertIsInstance(await self._submit(spec), Refusal)
        self.assertEqual(self.store.items, {})
        self.api.find_refusal = self._gate(SchedulerOptions()).find_refusal
        self.assertIs(await self._submit(spec), WriteOutcome.STORED)

    async def test_known_id_is_not_refused(self) -> None:
        """Guards against a refusal of a job that was accepted before, or that has ended."""
        for key in (job_key, ended_key):
            spec = make_job()
            self.store.put(key(spec.id), b"{}")
            self.assertIs(await self._submit(spec), WriteOutcome.STORED)

    async def test_write_of_a_process_that_died_is_seen(self) -> None:
        """Guards against a refusal, sent while the first attempt's write is on its way."""
        spec = make_job()
        refusal = asyncio.ensure_future(self.gate.find_refusal(spec))
        await asyncio.sleep(WRITE_SETTLE_S / 2)
        self.store.put(job_key(spec.id), b"{}")
        self.assertIsNone(await refusal)

    async def test_without_the_store_nothing_is_refused(self) -> None:
        """Guards against a refusal while an earlier write of the job may still take effect."""
        spec = make_job()

        async def read(key: str) -> None:
            raise StoreUncertainError(key)

        self.store.read = read
        self.assertIs(await self._submit(spec), WriteOutcome.STORED)
        del self.store.read
        self.store.troubled_ms = self.clock.now_ms() - STORE_TROUBLE_MS // 2
        self.assertIs(await self._submit(make_job()), WriteOutcome.STORED)

    async def test_absent_or_old_forecast_refuses_nothing(self) -> None:
        """Guards against refusals by the state of a former leader, or of another pool."""
        spec = make_job()
        self.gate._computed_ms -= MAX_FORECAST_AGE_MS + 1
        self.assertIsNone(await self.gate.find_refusal(spec))
        self.gate.record((replace(FULL, pool="other"),), self.clock.now_ms())
        self.assertIsNone(await self.gate.find_refusal(spec))
        self.gate.own_forecast = lambda: ((FULL,), 0)
        self.assertIsNotNone(await self.gate.find_refusal(spec))


class MemoryGateTest(unittest.IsolatedAsyncioTestCase):
    """A member of a cell whose memory for jobs is in use."""

    async def asyncSetUp(self) -> None:
        self.store, self.clock = FakeStore(), Clock()
        self.gate = OverloadGate(SchedulerOptions(), self.store, self.clock, config)
        self.full = MemoryReport(MB, MB)
        self.gate.record_memory(self.full, self.clock.now_ms())

    async def test_a_job_without_memory_is_refused_by_default(self) -> None:
        """Guards against a bound that holds only where an option is set."""
        self.assertIsInstance(await self.gate.find_refusal(make_job()), MemoryRefusal)

    async def test_a_known_id_is_not_refused(self) -> None:
        """Guards against a refusal that says a job never runs that does."""
        for key in (job_key, ended_key):
            spec = make_job()
            self.store.put(key(spec.id), b"{}")
            self.assertIsNone(await self.gate.find_refusal(spec))

    async def test_without_the_store_nothing_is_refused(self) -> None:
        """Guards against a refusal while an earlier write may take effect."""
        self.store.is_down = True
        self.assertIsNone(await self.gate.find_refusal(make_job()))
        self.store.is_down = False
        self.store.troubled_ms = self.clock.now_ms() - STORE_TROUBLE_MS // 2
        self.assertIsNone(await self.gate.find_refusal(make_job()))

    async def test_in_doubt_and_beside_a_long_backlog_nothing_more_is_stored(self) -> None:
        """Guards against a backlog without bound while the store is slow.

        The leader itself may be what makes it look slow. 504 says that the job may run.
        """
        self.store.troubled_ms = self.clock.now_ms()
        full = replace(self.full, teams=(TeamMemory(TEAM, MAX_BACKLOG_RATIO * MB + 1),))
        self.gate.record_memory(full, self.clock.now_ms())
        self.assertIs(await self.gate.find_refusal(make_job()), WriteOutcome.UNCERTAIN)
        self.store.troubled_ms = 0
        self.assertIsInstance(await self.gate.find_refusal(make_job()), MemoryRefusal)

    async def test_an_old_report_refuses_nothing(self) -> None:
        """Guards against refusals by what a former leader held."""
        self.gate._memory_ms -= MAX_MEMORY_AGE_MS + 1
        self.assertIsNone(await self.gate.find_refusal(make_job()))
        self.gate.own_memory = lambda: self.full
        self.assertIsNotNone(await self.gate.find_refusal(make_job()))

    async def test_accepted_jobs_count_until_a_report_includes_them(self) -> None:
        """Guards against a burst between two heartbeats, and against counting it for ever."""
        now_ms, size = self.clock.now_ms(), job_bytes(make_job())
        self.gate.record_memory(MemoryReport(0, 4 * size), now_ms)
        accepted = [await self.gate.find_refusal(make_job()) is None for _ in range(5)]
        self.assertEqual(accepted, [True, True, True, False, False])
        later_ms = self.clock.now_ms() + REPORT_LAG_MS + 1
        self.gate.record_memory(MemoryReport(0, 4 * size), later_ms)
        self.assertIsNone(await self.gate.find_refusal(make_job()))


class ForecastMessageTest(TermTestCase):
    """The forecast in a heartbeat reply."""

    async def test_forecast_of_a_leader_passes_the_codec(self) -> None:
        """Guards against a field that the schema lacks, or that does not fit it."""
        leader = await self._term("m1")
        self.assertIsNone(leader.forecasts())
        leader.cell.options = SchedulerOptions(refuses_overload=True)
        await eventually(lambda: leader.forecasts()[0])
        forecasts, age_ms = leader.forecasts()
        self.assertEqual([row.pool for row in forecasts], [POOL])
        reply = PulseReply(True, 5, 0, is_ready=True, forecasts=(*forecasts, FULL))
        reply = replace(reply, forecast_age_ms=age_ms)
        envelope = Envelope(1, "pulseReply", reply, True)
        self.assertEqual(decode(encode(envelope)).unwrap(), envelope)
        ports = Ports(self.store, self.workers, self.codec)
        cfg = NodeSettings(MemberId("m2"), FailureDomain("d"), "127.0.0.1", 7000)
        node = Node(cfg, ports, None, self.clock)
        sent_ms = self.clock.now_ms()
        node.heartbeats.on_reply(replace(reply, forecast_age_ms=40), sent_ms, is_to_leader=True)
        gate = node.heartbeats.overload_gate
        self.assertEqual((gate._forecasts, gate._computed_ms), (reply.forecasts, sent_ms - 40))

    async def test_memory_of_a_leader_passes_the_codec(self) -> None:
        """Guards against a field that the schema lacks, or that does not fit it."""
        teams = (TeamMemory(TEAM, 30 * MB),)
        reply = PulseReply(True, 5, 0, is_ready=True, held_bytes=30 * MB, teams=teams)
        reply = replace(reply, max_bytes=40 * MB)
        envelope = Envelope(1, "pulseReply", reply, True)
        self.assertEqual(decode(encode(envelope)).unwrap(), envelope)
        pulse = Envelope(1, "pulse", Pulse("m2", "a:2", 5, 10, memory_mb=160), False)
        self.assertEqual(decode(encode(pulse)).unwrap(), pulse)
        cfg = NodeSettings(MemberId("m2"), FailureDomain("d"), "127.0.0.1", 7000)
        node = Node(cfg, Ports(self.store, self.workers, self.codec), None, self.clock)
        node.heartbeats.on_reply(reply, self.clock.now_ms(), is_to_leader=True)
        gate = node.heartbeats.overload_gate
        self.assertEqual(gate._memory, MemoryReport(30 * MB, 40 * MB, teams))
