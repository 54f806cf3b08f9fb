"""Tests of the rules for acting as an owner and for takeovers."""

import unittest

from lagoonshelf_core.clock import ManualClock
from lagoonshelf_core.ids import MemberId
from lagoonshelf_core.membership import Membership, PeerReport, record_pong, set_members
from lagoonshelf_core.ownership import (
    LeaseState,
    LeaseTiming,
    defer_takeover,
    extend_by_promises,
    give_promise,
    holds_lease,
    may_act,
    may_take_over,
    record_lease_loss,
    record_renewal,
    should_claim,
)

TIMING = LeaseTiming(lease_ttl_ms=3000, margin_ms=500, promise_ms=3000)
A = MemberId("a")


class LeaseStateTest(unittest.TestCase):
    """An owner whose lease was renewed at time 0 and that knows one other member."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.lease = LeaseState()
        self.members = Membership()
        set_members(self.members, {A})
        record_renewal(self.lease, TIMING, 0)

    def promise_of_a(self, reached: bool = False) -> None:
        """Record a pong to a ping that is sent now."""
        now_ms = self.clock.now_ms()
        report = PeerReport(reached, 0, 0 if reached else 3000)
        record_pong(self.members, A, report, now_ms, 0)
        extend_by_promises(self.lease, TIMING, self.members, now_ms)

    def may_act(self) -> bool:
        return may_act(self.lease, self.clock.now_ms())

    def test_stops_a_margin_before_the_lease_ends(self) -> None:
        """Guards against commands sent after the lease has expired in the store."""
        self.clock.advance(2499)
        self.assertTrue(self.may_act())
        self.clock.advance(1)
        self.assertFalse(self.may_act())

    def test_a_late_answer_to_an_old_renewal_does_not_shorten_the_deadline(self) -> None:
        """Guards against an owner that stops because renewals were answered out of order."""
        record_renewal(self.lease, TIMING, 1000)
        record_renewal(self.lease, TIMING, 500)
        self.clock.advance(3400)
        self.assertTrue(self.may_act())

    def test_promises_extend_until_one_is_missing(self) -> None:
        """Guards against an owner that stops in an outage or acts on after a member has died."""
        for _ in range(20):
            self.clock.advance(500)
            self.promise_of_a()
            self.assertTrue(self.may_act())
        self.assertFalse(holds_lease(self.lease, self.clock.now_ms()))
        self.clock.advance(2500)
        extend_by_promises(self.lease, TIMING, self.members, self.clock.now_ms())
        self.assertFalse(self.may_act())

    def test_a_member_that_reaches_the_store_stops_the_extension_at_once(self) -> None:
        """Guards against two owners when only one member can reach the store again."""
        self.clock.advance(2600)
        self.promise_of_a()
        self.assertTrue(self.may_act())
        self.promise_of_a(reached=True)
        self.assertFalse(self.may_act())

    def test_promises_do_not_extend_an_owner_after_a_long_pause(self) -> None:
        """Guards against an owner that resumes after another has owned its partition."""
        self.clock.advance(2500 + 3001)
        self.promise_of_a()
        self.assertFalse(self.may_act())

    def test_a_lost_lease_is_not_extended(self) -> None:
        """Guards against promises that extend a lease which has expired in the store."""
        record_lease_loss(self.lease, TIMING)
        self.promise_of_a()
        self.assertFalse(self.may_act())

    def test_an_owner_stops_before_a_successor_may_start(self) -> None:
        """Guards against two owners at once.

        The owner counts a promise from its ping, but the other member keeps it from its pong,
        which is later.
        """
        other = LeaseState()
        delay_ms = 700
        sent_ms = 2000
        promise_ms = give_promise(other, TIMING, False, sent_ms + delay_ms)
        record_pong(self.members, A, PeerReport(False, 0, promise_ms), sent_ms, 0)
        extend_by_promises(self.lease, TIMING, self.members, sent_ms + delay_ms)
        for now_ms in range(sent_ms + delay_ms, 10_000, 50):
            self.assertFalse(may_act(self.lease, now_ms) and may_take_over(other, now_ms))


class TakeOverTest(unittest.TestCase):
    """Rules for claiming partitions."""

    def test_no_takeover_before_given_promises_have_ended(self) -> None:
        """Guards against a takeover from an owner that still relies on the promise."""
        lease = LeaseState()
        self.assertEqual(give_promise(lease, TIMING, False, 1000), 3000)
        record_lease_loss(lease, TIMING)
        self.assertFalse(may_take_over(lease, 3999))
        self.assertTrue(may_take_over(lease, 4000))

    def test_no_promise_while_the_store_is_reached(self) -> None:
        """Guards against an owner that relies on a member which can take over."""
        lease = LeaseState()
        self.assertEqual(give_promise(lease, TIMING, True, 1000), 0)
        self.assertTrue(may_take_over(lease, 1000))

    def test_a_member_back_from_an_outage_waits(self) -> None:
        """Guards against a takeover from owners that no longer list this member."""
        lease = LeaseState()
        defer_takeover(lease, TIMING, 1000)
        self.assertFalse(may_take_over(lease, 3999))

    def test_own_partitions_are_claimed_again_within_one_lease(self) -> None:
        """Guards against partitions that all stop after an outage, and against a late reclaim."""
        lease = LeaseState()
        record_renewal(lease, TIMING, 0)
        defer_takeover(lease, TIMING, 3000)
        record_lease_loss(lease, TIMING)
        self.assertEqual(lease.reclaim_until_ms, 5500)

    def test_other_members_wait_for_the_preferred_owner(self) -> None:
        """Guards against a race of all members for each free partition."""
        self.assertTrue(should_claim(0, True, 0))
        self.assertFalse(should_claim(0, False, 1000))
        self.assertTrue(should_claim(0, False, 1001))
