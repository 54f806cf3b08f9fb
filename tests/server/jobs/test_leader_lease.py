"""Tests of the leader lease."""

import asyncio
import unittest
from unittest.mock import patch

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import MemberId
from lagoonshelf_server.jobs import leader_lease
from lagoonshelf_server.jobs.keys import LEADER_KEY, TERM_KEY
from lagoonshelf_server.jobs.leader_lease import (
    INCUMBENT_GRACE_MS,
    LEASE_TTL_MS,
    MAX_OUTAGE_MS,
    LeaderLease,
    LeaderRecord,
    LeaderStatus,
)
from lagoonshelf_server.jobs.ports import StoreRevision
from tests.support.job_fakes import FakeStore, eventually


class LeaderLeaseTest(unittest.IsolatedAsyncioTestCase):
    """Three processes that share a store."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.leases = [
            LeaderLease(self.store, Clock(), MemberId(f"m{number}"), f"a:{number}")
            for number in range(3)
        ]
        for lease in self.leases:
            for coro in (lease.watch(), lease.poll(), lease.campaign(), lease.renew()):
                task = asyncio.ensure_future(coro)
                self.addCleanup(task.cancel)

    async def _leader(self) -> LeaderLease:
        await eventually(lambda: sum(lease.is_held for lease in self.leases) == 1)
        leader = next(lease for lease in self.leases if lease.is_held)
        await eventually(lambda: all(s.revision == leader.revision for s in self.leases))
        # Wait for pending claims, as one may still succeed when the test frees the lease.
        await eventually(lambda: self.store.grants == self.store.commits)
        return leader

    async def test_one_of_several_processes_acquires_a_free_lease(self) -> None:
        """Guards against two leaders when several processes claim at once."""
        leader = await self._leader()
        await asyncio.sleep(0.2)
        self.assertEqual(sum(lease.is_held for lease in self.leases), 1)
        self.assertTrue(leader.may_dispatch())

    async def test_a_new_leader_is_known_although_the_watch_is_silent(self) -> None:
        """Guards against a former leader that is taken for the present one for seconds.

        The connection of the watch went silent without an error.
        """
        silent = LeaderLease(self.store, Clock(), MemberId("m9"), "a:9")
        poll = asyncio.ensure_future(silent.poll())
        self.addCleanup(poll.cancel)
        leader = await self._leader()
        await eventually(lambda: silent.revision == leader.revision)
        leader.is_candidate = silent.is_candidate = False
        await leader.release()
        await eventually(lambda: silent.record.member != leader.member)

    async def test_a_read_without_result_does_not_undo_what_the_watch_reported(self) -> None:
        """Guards against a lease that counts as free because a read was overtaken."""
        lease = LeaderLease(self.store, Clock(), MemberId("m9"), "a:9")
        reads = 0

        async def read(key: str, *, timeout_ms: int) -> None:
            nonlocal reads
            reads += 1
            if reads > 1:
                await asyncio.Event().wait()
            lease.observe_record(LeaderRecord(StoreRevision(99), MemberId("m8"), "a:8"))

        with (
            patch.object(leader_lease, "READ_INTERVAL_S", 0.01),
            patch.object(self.store, "read", read),
        ):
            poll = asyncio.ensure_future(lease.poll())
            # The result of the first read has been used when the second one begins.
            await eventually(lambda: reads > 1)
            poll.cancel()
        self.assertEqual(lease.revision, 99)
        self.assertFalse(lease._is_claimable())

    async def test_a_dead_leader_is_replaced_before_its_lease_expires(self) -> None:
        """Guards against waiting for the lease of a dead process, and against a reused token."""
        leader = await self._leader()
        before = leader.revision
        leader.is_candidate = False
        others = [lease for lease in self.leases if lease is not leader]
        others[0].record_status(LeaderStatus.DEAD, before)
        await eventually(lambda: others[0].is_held)
        self.assertGreater(others[0].revision, before)
        await eventually(lambda: not leader.is_held)

    async def test_a_silent_leader_is_not_replaced_while_its_lease_lasts(self) -> None:
        """Guards against replacing a healthy leader because a network link failed."""
        leader = await self._leader()
        for lease in self.leases:
            lease.record_status(LeaderStatus.SILENT, leader.revision)
        await asyncio.sleep(0.3)
        self.assertTrue(leader.is_held)

    async def test_an_answering_leader_rewrites_its_lapsed_key(self) -> None:
        """Guards against a change of leader after an outage in which leases expired."""
        leader = await self._leader()
        for lease in self.leases:
            lease.record_status(LeaderStatus.ANSWERS, leader.revision)
        self.store.end_lease(self.store.leases[LEADER_KEY])
        await eventually(lambda: LEADER_KEY in self.store.items)
        await asyncio.sleep(0.1)
        self.assertTrue(leader.is_held)
        self.assertEqual(leader.revision, self.store.items[LEADER_KEY].revision)

    async def test_a_lapsed_key_is_not_rewritten_after_another_term(self) -> None:
        """Guards against a leader that does not know the work of a term in between.

        The other term began and ended while this leader could not reach the store.
        """
        leader = await self._leader()
        for lease in self.leases:
            lease.is_candidate = False
            lease.record_status(LeaderStatus.ANSWERS, leader.revision)
        self.store.is_down = True
        self.store.end_lease(self.store.leases[LEADER_KEY])
        self.store.put(TERM_KEY, b"m9")
        self.store.is_down = False
        await eventually(lambda: not leader.is_held)
        self.assertNotIn(LEADER_KEY, self.store.items)

    async def test_a_released_lease_is_acquired_immediately(self) -> None:
        """Guards against a gap after a release, and a draining process that claims again."""
        leader = await self._leader()
        leader.is_candidate = False
        for lease in self.leases:
            lease.record_status(LeaderStatus.ANSWERS, leader.revision)
        await leader.release()
        self.assertFalse(leader.is_held)
        others = [lease for lease in self.leases if lease is not leader]
        await eventually(
            lambda: any(lease.is_held for lease in others), INCUMBENT_GRACE_MS / 2_000
        )

    async def test_an_offered_lease_is_held_until_another_process_has_it(self) -> None:
        """Guards against a gap without a leader on a slow store (andinas, trouble-2)."""
        leader = await self._leader()
        leader.is_candidate = False
        for lease in self.leases:
            lease.record_status(LeaderStatus.ANSWERS, leader.revision)
        await leader.offer()
        self.assertTrue(leader.is_held)
        others = [lease for lease in self.leases if lease is not leader]
        await eventually(
            lambda: any(lease.is_held for lease in others), INCUMBENT_GRACE_MS / 2_000
        )
        await eventually(lambda: not leader.is_held)

    async def test_a_small_host_claims_only_if_no_other_does(self) -> None:
        """Guards against a leader on a small host; grown sites have 6 large hosts of 45."""
        leader = await self._leader()
        weak, strong = [lease for lease in self.leases if lease is not leader]
        weak.claim_delay_ms = 300
        leader.is_candidate = False
        await leader.release()
        await eventually(lambda: strong.is_held or weak.is_held)
        self.assertTrue(strong.is_held)
        strong.is_candidate = False
        await strong.release()
        await eventually(lambda: weak.is_held)

    async def test_a_leader_without_the_store_stops_dispatching_in_time(self) -> None:
        """Guards against commands of a former leader after its successor may have started."""
        leader = await self._leader()
        self.store.is_down = True
        leader.renewed_ms -= LEASE_TTL_MS
        self.assertFalse(leader.may_dispatch())
        leader.is_outage = lambda: True
        self.assertTrue(leader.may_dispatch(), "no other member reaches the store either")
        leader.renewed_ms -= MAX_OUTAGE_MS
        self.assertFalse(leader.may_dispatch())

    async def test_a_member_learns_a_newer_lease_from_others(self) -> None:
        """Guards against an outdated leader while the store is unreachable."""
        leader = await self._leader()
        revision = StoreRevision(leader.revision + 5)
        self.store.is_down = True
        leader.observe_record(LeaderRecord(revision, MemberId("m9"), "a:9"))
        self.assertFalse(leader.is_held)
        self.assertEqual(leader.record.member, "m9")
        leader.observe_record(LeaderRecord(StoreRevision(1), MemberId("m8"), "a:8"))
        self.assertEqual(leader.record.member, "m9", "an older lease is ignored")

    async def test_a_malformed_lease_is_replaced(self) -> None:
        """Guards against a cell without a leader after a garbled write."""
        leader = await self._leader()
        for lease in self.leases:
            lease.record_status(LeaderStatus.DEAD, lease.revision)
        self.store.put(LEADER_KEY, b"[1,")
        await eventually(lambda: not leader.is_held or leader.revision > 0)
        await eventually(lambda: self.store.items[LEADER_KEY].value != b"[1,")
        await eventually(lambda: sum(lease.is_held for lease in self.leases) == 1)
