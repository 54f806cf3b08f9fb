"""Tests of what a process concludes from heartbeats."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import patch

from lagoonshelf_core.errors import ResultCode
from lagoonshelf_core.ids import FailureDomain, MemberId
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.spec import JobId, encode_job
from lagoonshelf_server.jobs import node as node_module
from lagoonshelf_server.jobs.heartbeats import MAX_UNHEARD_MS, NodeSettings
from lagoonshelf_server.jobs.job_api import WriteOutcome
from lagoonshelf_server.jobs.leader import Ports
from lagoonshelf_server.jobs.leader_lease import LeaderRecord, LeaderStatus
from lagoonshelf_server.jobs.node import Node
from lagoonshelf_server.jobs.ports import StoreRevision
from lagoonshelf_server.messages import (
    Ack,
    Body,
    JobRecord,
    JobRef,
    PeerState,
    Pulse,
    PulseReply,
    QueueCount,
)
from tests.support.job_fakes import FakeCodec, FakeStore, FakeWorkers, PausableClock, eventually
from tests.support.jobs import config, make_job


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """A follower of a leader in another process."""

    async def asyncSetUp(self) -> None:
        self.clock, self.store = PausableClock(), FakeStore()
        ports = Ports(self.store, FakeWorkers(self.clock), FakeCodec())
        member = (MemberId("m1"), FailureDomain("d"), "127.0.0.1", 7000, 2_000)
        cfg = NodeSettings(*member, evacuate_ms=5_000)
        self.node = Node(cfg, ports, None, self.clock)
        self.node.leader_lease.record = LeaderRecord(StoreRevision(5), MemberId("m2"), "a:2")

    async def test_counts_of_a_leader_that_has_not_read_all_jobs_are_ignored(self) -> None:
        """Guards against a wrong zero count during a takeover (andinas-grown, trouble-1)."""
        full = PulseReply(True, 5, 0, (QueueCount("q", 7),), is_ready=True)
        self.node.heartbeats.on_reply(full, self.clock.now_ms(), is_to_leader=True)
        self.assertEqual(self.node.pending("q"), 7)
        self.node.heartbeats.on_reply(
            PulseReply(True, 5, 0), self.clock.now_ms(), is_to_leader=True
        )
        self.assertEqual(self.node.pending("q"), 7)

    async def test_a_term_is_bound_by_the_ages_of_the_settings(self) -> None:
        """Guards against a leader that goes by workers and capacities of any age."""
        self.node.leader_lease.record = None
        await self.node.leader_lease._refresh()
        await self.node.leader_lease._try_claim()
        term = asyncio.ensure_future(self.node._lead())
        self.addCleanup(term.cancel)
        await eventually(lambda: self.node._leader is not None)
        cell, cfg = self.node._leader.cell, self.node._cfg
        self.assertEqual(cell.max_registry_age_ms, cfg.registry_max_age_ms)
        self.assertEqual(cell.max_capacity_age_ms, cfg.capacity_max_age_ms)
        self.assertGreater(cell.max_registry_age_ms, 0)
        self.assertEqual(self.node._leader.evacuate_ms, cfg.evacuate_ms)
        self.assertEqual(self.node._leader.evacuate_ms, 5_000)
        self.node.leader_lease.step_down("end of the test")

    async def test_memory_follows_the_smallest_host_that_is_heard(self) -> None:
        """Guards against work that the next leader has no memory for."""
        self.node.leader_lease.is_held = True
        self.store._answered_ms = self.clock.now_ms()
        self.assertEqual(self.node.heartbeats.smallest_memory_mb(), self.node._cfg.memory_mb)
        self._answer(Pulse("m2", "a:2", 5, 10, memory_mb=100))
        self.assertEqual(self.node.heartbeats.smallest_memory_mb(), 100)
        state, _ = self.node.heartbeats._members["m2"]
        self.node.heartbeats._members["m2"] = (state, self.clock.now_ms() - MAX_UNHEARD_MS)
        self.assertEqual(self.node.heartbeats.smallest_memory_mb(), self.node._cfg.memory_mb)

    async def test_outdated_counts_are_not_returned(self) -> None:
        """Guards against returning counts that are older than 2 s."""
        full = PulseReply(True, 5, 0, (QueueCount("q", 7),), is_ready=True)
        self.node.heartbeats.on_reply(full, self.clock.now_ms(), is_to_leader=True)
        self.node.job_api.pending_at_ms -= 2_000
        self.assertIsNone(self.node.pending("q"))

    async def test_a_process_that_does_not_lead_marks_the_leader_dead(self) -> None:
        """Guards against waiting for a leader that has restarted at the same address."""
        self.node.heartbeats.on_reply(
            PulseReply(False, 0, 0), self.clock.now_ms(), is_to_leader=True
        )
        self.assertIs(self.node.leader_lease.leader_status, LeaderStatus.DEAD)

    async def test_a_newer_lease_is_learned_from_any_member(self) -> None:
        """Guards against an outdated leader while the store is unreachable."""
        reply = PulseReply(False, 9, 0, holder="m3", holder_address="a:3")
        self.node.heartbeats.on_reply(reply, self.clock.now_ms(), is_to_leader=False)
        self.assertEqual(self.node.leader_lease.record.member, "m3")

    async def test_a_leader_cut_off_from_the_store_steps_down(self) -> None:
        """Guards against a leader that alone cannot reach the store.

        Another member got a much later answer, which does not occur in a store outage.
        """
        self.node.leader_lease.is_held = True
        self.store._answered_ms = self.clock.now_ms() - 2_000
        self._answer(Pulse("m2", "a:2", 5, 1_900))
        self.assertTrue(self.node.leader_lease.is_held)
        self._answer(Pulse("m2", "a:2", 5, 100))
        self.assertFalse(self.node.leader_lease.is_held)

    def _answer(self, heartbeat: Pulse) -> PulseReply:
        return self.node.heartbeats.answer(MemberId("m2"), heartbeat, _LeaderStub(), None)

    def _lead_and_count_offers(self, **settings: object) -> list[bool]:
        """Lead the cell on a host of given size; return a list that grows with each offer."""
        offers: list[bool] = []

        async def offer() -> None:
            offers.append(True)

        self.node.leader_lease.is_held = True
        self.node.leader_lease.offer = offer
        self.store._answered_ms = self.clock.now_ms()
        self.node.heartbeats._cfg = replace(self.node.heartbeats._cfg, **settings)
        return offers

    async def test_a_leader_on_a_small_host_offers_the_lease_to_a_large_host(self) -> None:
        """Guards against a leader that stays on a small host.

        Grown sites have 6 large hosts of 45.
        """
        offers = self._lead_and_count_offers(cores_milli=500)
        self._answer(Pulse("m2", "a:2", 5, 10, False, 600))
        await asyncio.sleep(0)
        self.assertEqual(offers, [])
        self._answer(Pulse("m2", "a:2", 5, 10, False, 2_000))
        self._answer(Pulse("m3", "a:3", 5, 10, False, 2_000))
        await asyncio.sleep(0)
        self.assertEqual(offers, [True])

    async def test_a_leader_on_a_slow_link_offers_the_lease_to_a_host_with_a_fast_one(
        self,
    ) -> None:
        """Guards against a leader whose link is full of the lists of 176 workers.

        On 5 Mbit/s its calls to 103 workers timed out under a burst, and 77 workers counted as
        lost. A host that is no better is offered nothing, so that the lease is not passed around.
        """
        options = SchedulerOptions(leader_link_mbps=20.0)
        offers = self._lead_and_count_offers(options=options, link_mbps=5.0)
        self._answer(Pulse("m2", "a:2", 5, 10, False, 2_000, False))
        await asyncio.sleep(0)
        self.assertEqual(offers, [])
        self._answer(Pulse("m3", "a:3", 5, 10, False, 2_000, True))
        await asyncio.sleep(0)
        self.assertEqual(offers, [True])

    async def test_links_count_only_where_the_settings_ask_for_it(self) -> None:
        """Guards against other leaders in a deployment that has not asked for them."""
        offers = self._lead_and_count_offers(link_mbps=5.0)
        self._answer(Pulse("m3", "a:3", 5, 10, False, 2_000, True))
        await asyncio.sleep(0)
        self.assertEqual(offers, [])
        self.assertTrue(self.node.heartbeats._cfg.suits_leader)

    async def test_a_heartbeat_reports_the_state_of_the_sender(self) -> None:
        """Guards against heartbeats that omit the store state or the cores of the sender."""
        sent: list[Pulse] = []

        class _Net:
            async def call(self, address: str, kind: str, body: Pulse, timeout_s: float) -> None:
                sent.append(body)

        self.store.is_down = True
        await self.node.heartbeats.send(_Net())
        (heartbeat,) = sent
        self.assertTrue(heartbeat.is_store_troubled)
        self.assertEqual((heartbeat.seat, heartbeat.cores_milli), (5, 2_000))

    async def test_a_leader_that_is_cut_off_knows_members_that_may_relay(self) -> None:
        """Guards against a former leader without members to relay its writes.

        It sent no heartbeats whose replies list them, and answered 504 in the whole-path test.
        """
        heartbeats, now_ms = self.node.heartbeats, self.clock.now_ms()
        heartbeats._members = {
            MemberId("m3"): (PeerState("a:3", 10), now_ms),
            MemberId("m4"): (PeerState("a:4", 5_000), now_ms),
            MemberId("m5"): (PeerState("a:5", 10), now_ms - 5_000),
        }
        self.assertEqual(heartbeats.relay_addresses(), ["a:2", "a:3"])
        heartbeats._relays = (PeerState("a:2", 10), PeerState("a:6", 10), PeerState("a:3", 10))
        self.assertEqual(heartbeats.relay_addresses(), ["a:2", "a:6", "a:3"])

    async def test_an_old_configuration_accepts_no_work(self) -> None:
        """Guards against a withdrawn key that works at a process that was paused or cut off.

        The leader's heartbeats confirm the configuration of a process without the store.
        """
        config_view = self.node.config
        config_view.current = config()
        config_view.confirmed_ms = self.clock.now_ms()
        self.assertTrue(config_view.is_fresh())
        config_view.confirmed_ms -= 5_000
        self.assertFalse(config_view.is_fresh())
        newer = PulseReply(True, 5, 0, is_ready=True, config_version=2, config_age_ms=10)
        self.node.heartbeats.on_reply(newer, self.clock.now_ms(), is_to_leader=True)
        self.assertFalse(config_view.is_fresh(), "the leader has a newer configuration")
        outdated = PulseReply(True, 5, 0, is_ready=True, config_version=1, config_age_ms=6_000)
        self.node.heartbeats.on_reply(outdated, self.clock.now_ms(), is_to_leader=True)
        self.assertFalse(config_view.is_fresh(), "the leader does not reach the store either")
        current = PulseReply(True, 5, 0, is_ready=True, config_version=1, config_age_ms=10)
        self.node.heartbeats.on_reply(current, self.clock.now_ms(), is_to_leader=True)
        self.assertTrue(config_view.is_fresh())

    async def test_a_reply_that_waited_while_the_process_was_paused_confirms_nothing(self) -> None:
        """Guards against an old configuration and old counts that count as new after a pause."""
        rows = (QueueCount("q", 7),)
        reply = PulseReply(True, 5, 0, rows, is_ready=True, config_version=1, config_age_ms=10)
        clock = self.clock

        class _Net:
            pause_ms = 0

            async def call(self, address: str, kind: str, body: Pulse, timeout_s: float) -> Body:
                clock.skipped_ms += self.pause_ms
                return reply

        self.node.config.current = config()
        net = _Net()
        await self.node.heartbeats.send(net)
        self.assertTrue(self.node.config.is_fresh())
        self.assertEqual(self.node.pending("q"), 7)
        net.pause_ms = 6_000
        await self.node.heartbeats.send(net)
        self.assertFalse(self.node.config.is_fresh())
        self.assertIsNone(self.node.pending("q"))

    async def test_a_member_without_the_store_refuses_to_relay_at_once(self) -> None:
        """Guards against submissions that wait for one member after the other in an outage."""
        self.store.is_down = True
        spec = make_job()
        record = JobRecord(spec.id, encode_job(spec).decode())
        kind, body = await self.node._handle(MemberId("m2"), "relayJob", record)
        self.assertEqual((kind, body.outcome), ("relayed", WriteOutcome.UNAVAILABLE.value))
        self.assertEqual(self.store.pages_read + self.store.commits, 0)

    async def test_an_unexpected_error_does_not_end_the_process(self) -> None:
        """Guards against a process that exits because of one malformed message."""
        calls: list[int] = []

        async def loop() -> None:
            calls.append(1)
            raise AttributeError("'int' object has no attribute 'split'")

        with patch.object(node_module, "LOOP_RESTART_S", 0.01):
            task = asyncio.ensure_future(self.node._run_forever(loop))
            await asyncio.sleep(0.1)
        self.assertGreater(len(calls), 1)
        self.assertFalse(task.done())
        task.cancel()

    async def test_the_cost_of_heartbeats_does_not_grow_with_the_square_of_the_members(
        self,
    ) -> None:
        """Guards against replies that list every member, and a full rate from all of them.

        With 97 members the replies took most of the leader's processor (large andinas).
        """
        self.node.leader_lease.is_held = True
        self.store._answered_ms = self.clock.now_ms()
        first = self._answer(Pulse("m2", "a:2", 5, 10))
        self.assertLessEqual(first.interval_ms, 250)
        now_ms = self.clock.now_ms()
        for number in range(97):
            state = PeerState(f"a:{number}", 10)
            self.node.heartbeats._members[MemberId(f"n{number}")] = (state, now_ms)
        reply = self._answer(Pulse("m2", "a:2", 5, 10))
        self.assertLessEqual(len(reply.members), 4)
        self.assertGreater(reply.interval_ms, 250)
        # Reports of members are used for 1 s.
        self.assertLessEqual(reply.interval_ms, 800)

    async def test_a_leader_in_its_takeover_confirms_a_cancellation(self) -> None:
        """Guards against a cancellation that is refused until its announcement is given up."""
        leader = self.node._leader = _LeaderStub()
        kind, body = await self.node._handle(MemberId("m2"), "jobCancelled", JobRef("1"))
        self.assertEqual((kind, body.code), ("ack", ResultCode.DONE.number))
        await self.node._announce_cancel(JobId("2"))
        self.assertEqual(leader.cancelled, ["1", "2"])

    async def test_a_cancellation_is_announced_until_it_is_confirmed(self) -> None:
        """Guards against a leader that works without the store and starts a cancelled job."""
        calls: list[str] = []
        is_answering = True

        async def call(kind: str, body: Body, timeout_s: float) -> Body:
            calls.append(kind)
            self.clock.skipped_ms += 500
            if is_answering and len(calls) == 8:
                return Ack(ResultCode.DONE.number, "")
            raise ConnectionError("no answer")

        self.node._call_leader = call
        with patch.object(node_module, "RETRY_S", 0.001):
            await self.node._announce_cancel(JobId("1"))
            self.assertEqual(calls, ["jobCancelled"] * 8)
            is_answering = False
            await asyncio.wait_for(self.node._announce_cancel(JobId("1")), 3.0)

    async def test_a_store_outage_needs_the_reports_of_others(self) -> None:
        """Guards against taking a network partition for a store outage."""
        self.store.is_down = True
        now_ms = self.clock.now_ms()
        self.assertTrue(self.node.heartbeats.is_store_troubled_for_all(), "there are no others")
        self.node.leader_lease.acquired_ms = now_ms
        self.assertFalse(
            self.node.heartbeats.is_store_troubled_for_all(), "none had time to report"
        )
        self.node.heartbeats._troubled[MemberId("m2")] = (True, now_ms)
        self.assertTrue(self.node.heartbeats.is_store_troubled_for_all())
        self.node.heartbeats._troubled[MemberId("m3")] = (False, now_ms)
        self.assertFalse(self.node.heartbeats.is_store_troubled_for_all())
        self.node.heartbeats._troubled = {MemberId("m2"): (True, now_ms - 5_000)}
        self.assertFalse(self.node.heartbeats.is_store_troubled_for_all())

    async def test_a_store_that_answers_any_member_is_not_down(self) -> None:
        """Guards against starts of cancelled jobs while a troubled store still takes writes."""
        heartbeats, now_ms = self.node.heartbeats, self.clock.now_ms()
        self.store.is_down = True
        self.store._answered_ms = now_ms - 2_000
        heartbeats._troubled[MemberId("m2")] = (True, now_ms)
        heartbeats._members[MemberId("m2")] = (PeerState("a:2", 100), now_ms)
        self.assertTrue(heartbeats.is_store_troubled_for_all())
        self.assertFalse(heartbeats.is_store_down_for_all())
        heartbeats._members[MemberId("m2")] = (PeerState("a:2", 1_500), now_ms)
        self.assertTrue(heartbeats.is_store_down_for_all())
        self.store._answered_ms = now_ms
        self.assertFalse(heartbeats.is_store_down_for_all())

    async def test_a_store_that_answers_a_member_out_of_reach_is_not_down(self) -> None:
        """Guards against starts of jobs that a member cancels whose link to the leader is cut.

        Its last heartbeat, 1.2 s ago, said that the store answers it.
        """
        heartbeats, now_ms = self.node.heartbeats, self.clock.now_ms()
        self.store.is_down = True
        self.store._answered_ms = now_ms - 2_000
        heartbeats._troubled[MemberId("m2")] = (True, now_ms)
        heartbeats._members[MemberId("m2")] = (PeerState("a:2", 1_500), now_ms)
        self.assertTrue(heartbeats.is_store_down_for_all())
        heartbeats._troubled[MemberId("m3")] = (False, now_ms - 1_200)
        heartbeats._members[MemberId("m3")] = (PeerState("a:3", 10), now_ms - 1_200)
        self.assertFalse(heartbeats.is_store_down_for_all())


class _LeaderStub:
    """A leader that has not read its jobs."""

    is_ready = False

    def __init__(self) -> None:
        self.cancelled: list[JobId] = []

    def cancel(self, job: JobId) -> None:
        """Record the cancellation."""
        self.cancelled.append(job)

    @staticmethod
    def may_answer() -> bool:
        """Return that it may not."""
        return False

    class advice_router:  # noqa: N801
        """Accepts heartbeats."""

        @staticmethod
        def record_heartbeat(*args: object) -> None:
            """Ignore the heartbeat."""
