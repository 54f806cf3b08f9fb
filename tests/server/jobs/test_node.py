"""Tests of what a process learns from signs of life."""

import asyncio
import unittest
from dataclasses import replace

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import FailureDomain, MemberId
from lagoonshelf_server.jobs.heartbeats import NodeSettings
from lagoonshelf_server.jobs.leader import Ports
from lagoonshelf_server.jobs.leader_lease import LeaderRecord, LeaderStatus
from lagoonshelf_server.jobs.node import Node
from lagoonshelf_server.jobs.ports import StoreRevision
from lagoonshelf_server.messages import PeerState, Pulse, PulseReply, QueueCount
from tests.support.job_fakes import FakeCodec, FakeStore, FakeWorkers


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """A follower of a holder elsewhere."""

    async def asyncSetUp(self) -> None:
        self.clock, self.store = Clock(), FakeStore()
        ports = Ports(self.store, FakeWorkers(self.clock), FakeCodec())
        cfg = NodeSettings(MemberId("m1"), FailureDomain("d"), "127.0.0.1", 7000, 2_000)
        self.node = Node(cfg, ports, None, self.clock)
        self.node.leader_lease.record = LeaderRecord(StoreRevision(5), MemberId("m2"), "a:2")

    async def test_counts_of_a_holder_that_has_not_read_all_jobs_are_left(self) -> None:
        """They would say that nothing waits (MIXED, andinas-grown trouble-1)."""
        full = PulseReply(True, 5, 0, (QueueCount("q", 7),), is_ready=True)
        self.node.heartbeats.on_reply(full, is_to_leader=True)
        self.assertEqual(self.node.pending("q"), 7)
        self.node.heartbeats.on_reply(PulseReply(True, 5, 0), is_to_leader=True)
        self.assertEqual(self.node.pending("q"), 7)

    async def test_old_counts_are_not_shown(self) -> None:
        """They may be 2 s old."""
        full = PulseReply(True, 5, 0, (QueueCount("q", 7),), is_ready=True)
        self.node.heartbeats.on_reply(full, is_to_leader=True)
        self.node.job_api.pending_at_ms -= 2_000
        self.assertIsNone(self.node.pending("q"))

    async def test_a_process_that_no_longer_holds_is_no_holder(self) -> None:
        """It may have started again at the same address."""
        self.node.heartbeats.on_reply(PulseReply(False, 0, 0), is_to_leader=True)
        self.assertIs(self.node.leader_lease.leader_status, LeaderStatus.DEAD)

    async def test_a_newer_seat_is_learnt_from_any_member(self) -> None:
        """The store may be out of reach."""
        reply = PulseReply(False, 9, 0, holder="m3", holder_address="a:3")
        self.node.heartbeats.on_reply(reply, is_to_leader=False)
        self.assertEqual(self.node.leader_lease.record.member, "m3")

    async def test_a_holder_cut_off_from_the_store_steps_down(self) -> None:
        """A member heard the store much later; in an outage nobody does."""
        self.node.leader_lease.is_held = True
        self.store._answered_ms = self.clock.now_ms() - 2_000
        self._answer(Pulse("m2", "a:2", 5, 1_900))
        self.assertTrue(self.node.leader_lease.is_held)
        self._answer(Pulse("m2", "a:2", 5, 100))
        self.assertFalse(self.node.leader_lease.is_held)

    def _answer(self, heartbeat: Pulse) -> PulseReply:
        return self.node.heartbeats.answer(MemberId("m2"), heartbeat, _Stub(), None)

    async def test_a_weak_holder_offers_the_seat_to_a_strong_host(self) -> None:
        """Grown sites have 6 strong hosts of 45."""
        offers: list[bool] = []

        async def offer() -> None:
            offers.append(True)

        self.node.leader_lease.is_held = True
        self.node.leader_lease.offer = offer
        self.store._answered_ms = self.clock.now_ms()
        self.node.heartbeats._cfg = replace(self.node.heartbeats._cfg, cores_milli=500)
        self._answer(Pulse("m2", "a:2", 5, 10, False, 600))
        await asyncio.sleep(0)
        self.assertEqual(offers, [])
        self._answer(Pulse("m2", "a:2", 5, 10, False, 2_000))
        self._answer(Pulse("m3", "a:3", 5, 10, False, 2_000))
        await asyncio.sleep(0)
        self.assertEqual(offers, [True])

    async def test_a_sign_of_life_says_how_the_sender_is(self) -> None:
        """Whether the store troubles it, and how strong its host is."""
        sent: list[Pulse] = []

        class _Net:
            async def call(self, address: str, kind: str, body: Pulse, timeout_s: float) -> None:
                sent.append(body)

        self.store.is_down = True
        await self.node.heartbeats.send(_Net())
        (heartbeat,) = sent
        self.assertTrue(heartbeat.is_store_troubled)
        self.assertEqual((heartbeat.seat, heartbeat.cores_milli), (5, 2_000))

    async def test_a_holder_that_is_cut_off_knows_who_may_write_for_it(self) -> None:
        """No reply to a sign of life has named other members to it (504, whole path)."""
        pulses, now_ms = self.node.heartbeats, self.clock.now_ms()
        pulses._members = {
            MemberId("m3"): (PeerState("a:3", 10), now_ms),
            MemberId("m4"): (PeerState("a:4", 5_000), now_ms),
            MemberId("m5"): (PeerState("a:5", 10), now_ms - 5_000),
        }
        self.assertEqual(pulses.relay_addresses(), ["a:2", "a:3"])
        pulses._relays = (PeerState("a:2", 10), PeerState("a:6", 10), PeerState("a:3", 10))
        self.assertEqual(pulses.relay_addresses(), ["a:2", "a:6", "a:3"])

    async def test_an_outage_is_known_only_from_others(self) -> None:
        """A process that hears no member it knows cannot tell an outage from a cut."""
        self.store.is_down = True
        now_ms = self.clock.now_ms()
        self.assertTrue(self.node.heartbeats.is_store_troubled_for_all(), "there are no others")
        self.node.leader_lease.acquired_ms = now_ms
        self.assertFalse(self.node.heartbeats.is_store_troubled_for_all(), "none had time to tell")
        self.node.heartbeats._troubled[MemberId("m2")] = (True, now_ms)
        self.assertTrue(self.node.heartbeats.is_store_troubled_for_all())
        self.node.heartbeats._troubled[MemberId("m3")] = (False, now_ms)
        self.assertFalse(self.node.heartbeats.is_store_troubled_for_all())
        self.node.heartbeats._troubled = {MemberId("m2"): (True, now_ms - 5_000)}
        self.assertFalse(self.node.heartbeats.is_store_troubled_for_all())


class _Stub:
    """A holder that has not read its jobs."""

    is_ready = False

    @staticmethod
    def may_answer() -> bool:
        """Tell that it may not."""
        return False

    class advice_router:  # noqa: N801
        """Takes signs of life."""

        @staticmethod
        def record_heartbeat(*args: object) -> None:
            """Ignore them."""
