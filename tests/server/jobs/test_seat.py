"""Tests of the seat of the cell's holder."""

import asyncio
import unittest

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import MemberId
from lagoonshelf_server.jobs.keys import SEAT, TERM
from lagoonshelf_server.jobs.ports import StoreRevision
from lagoonshelf_server.jobs.seat import (
    INCUMBENT_GRACE_MS,
    OUTAGE_MS,
    SEAT_TTL_MS,
    HolderView,
    Seat,
    SeatView,
)
from tests.support.job_fakes import FakeStore, eventually


class SeatTest(unittest.IsolatedAsyncioTestCase):
    """Several processes and one store."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.seats = [
            Seat(self.store, Clock(), MemberId(f"m{number}"), f"a:{number}") for number in range(3)
        ]
        for seat in self.seats:
            for coro in (seat.follow(), seat.contend(), seat.renew()):
                task = asyncio.ensure_future(coro)
                self.addCleanup(task.cancel)

    async def _holder(self) -> Seat:
        await eventually(lambda: sum(seat.is_held for seat in self.seats) == 1)
        holder = next(seat for seat in self.seats if seat.is_held)
        await eventually(lambda: all(s.revision == holder.revision for s in self.seats))
        # A claim that is still under way may rightly succeed once the seat is free again.
        await eventually(lambda: self.store.grants == self.store.commits)
        return holder

    async def test_one_of_several_takes_a_free_seat(self) -> None:
        """The others see who holds it."""
        holder = await self._holder()
        await asyncio.sleep(0.2)
        self.assertEqual(sum(seat.is_held for seat in self.seats), 1)
        self.assertTrue(holder.may_order())

    async def test_a_dead_holder_is_replaced_before_its_lease_ends(self) -> None:
        """The token rises."""
        holder = await self._holder()
        before = holder.revision
        holder.is_willing = False
        others = [seat for seat in self.seats if seat is not holder]
        others[0].heard(HolderView.DEAD, before)
        await eventually(lambda: others[0].is_held)
        self.assertGreater(others[0].revision, before)
        await eventually(lambda: not holder.is_held)

    async def test_a_silent_holder_is_not_replaced_while_its_lease_lasts(self) -> None:
        """One member's cut link does not depose a healthy holder."""
        holder = await self._holder()
        for seat in self.seats:
            seat.heard(HolderView.SILENT, holder.revision)
        await asyncio.sleep(0.3)
        self.assertTrue(holder.is_held)

    async def test_an_answering_holder_writes_a_lapsed_key_again(self) -> None:
        """After an outage in which leases ran out."""
        holder = await self._holder()
        for seat in self.seats:
            seat.heard(HolderView.ANSWERS, holder.revision)
        self.store.end_lease(self.store.leases[SEAT])
        await eventually(lambda: SEAT in self.store.items)
        await asyncio.sleep(0.1)
        self.assertTrue(holder.is_held)
        self.assertEqual(holder.revision, self.store.items[SEAT].revision)

    async def test_a_lapsed_key_is_not_written_again_after_another_term(self) -> None:
        """The other term came and went while this holder did not reach the store."""
        holder = await self._holder()
        for seat in self.seats:
            seat.is_willing = False
            seat.heard(HolderView.ANSWERS, holder.revision)
        self.store.is_down = True
        self.store.end_lease(self.store.leases[SEAT])
        self.store.put(TERM, b"m9")
        self.store.is_down = False
        await eventually(lambda: not holder.is_held)
        self.assertNotIn(SEAT, self.store.items)

    async def test_a_released_seat_is_taken_at_once(self) -> None:
        """Draining processes do not take it back."""
        holder = await self._holder()
        holder.is_willing = False
        for seat in self.seats:
            seat.heard(HolderView.ANSWERS, holder.revision)
        await holder.release()
        self.assertFalse(holder.is_held)
        others = [seat for seat in self.seats if seat is not holder]
        await eventually(lambda: any(seat.is_held for seat in others), INCUMBENT_GRACE_MS / 2_000)

    async def test_an_offered_seat_is_held_until_another_has_it(self) -> None:
        """A slow store leaves no gap (trouble-2 of andinas)."""
        holder = await self._holder()
        holder.is_willing = False
        for seat in self.seats:
            seat.heard(HolderView.ANSWERS, holder.revision)
        await holder.offer()
        self.assertTrue(holder.is_held)
        others = [seat for seat in self.seats if seat is not holder]
        await eventually(lambda: any(seat.is_held for seat in others), INCUMBENT_GRACE_MS / 2_000)
        await eventually(lambda: not holder.is_held)

    async def test_a_weak_host_leaves_the_seat_to_others(self) -> None:
        """It takes it when nobody else does (grown sites: 6 strong hosts of 45)."""
        holder = await self._holder()
        weak, strong = [seat for seat in self.seats if seat is not holder]
        weak.claim_delay_ms = 300
        holder.is_willing = False
        await holder.release()
        await eventually(lambda: strong.is_held or weak.is_held)
        self.assertTrue(strong.is_held)
        strong.is_willing = False
        await strong.release()
        await eventually(lambda: weak.is_held)

    async def test_a_holder_without_the_store_stops_ordering_in_time(self) -> None:
        """Its successor counts on that."""
        holder = await self._holder()
        self.store.is_down = True
        holder.renewed_ms -= SEAT_TTL_MS
        self.assertFalse(holder.may_order())
        holder.is_outage = lambda: True
        self.assertTrue(holder.may_order(), "no other member reaches the store either")
        holder.renewed_ms -= OUTAGE_MS
        self.assertFalse(holder.may_order())

    async def test_a_member_learns_a_newer_seat_from_others(self) -> None:
        """It does not reach the store itself."""
        holder = await self._holder()
        revision = StoreRevision(holder.revision + 5)
        self.store.is_down = True
        holder.told(SeatView(revision, MemberId("m9"), "a:9"))
        self.assertFalse(holder.is_held)
        self.assertEqual(holder.view.member, "m9")
        holder.told(SeatView(StoreRevision(1), MemberId("m8"), "a:8"))
        self.assertEqual(holder.view.member, "m9", "an older seat is ignored")
