"""Tests of a member's view of the other members."""

import unittest
from dataclasses import replace

from lagoonshelf_core.clock import ManualClock
from lagoonshelf_core.ids import MemberId
from lagoonshelf_core.membership import (
    NEVER,
    Membership,
    PeerReport,
    fresh_until,
    promised_until,
    record_ping,
    record_pong,
    record_store_read,
    set_members,
)

A, B = MemberId("a"), MemberId("b")
UNREACHED = PeerReport(store_reached=False, revision=5, promise_ms=3000)
REACHED = PeerReport(store_reached=True, revision=5)
FRESH_MS = 4000


class MembershipTest(unittest.TestCase):
    """A member that knows two others at configuration revision 5."""

    def setUp(self) -> None:
        self.clock = ManualClock(now_ms=10_000)
        self.state = Membership()
        set_members(self.state, {A, B})

    def pong(self, name: MemberId, report: PeerReport, own_revision: int = 5) -> None:
        record_pong(self.state, name, report, self.clock.now_ms(), own_revision)

    def promised(self) -> int:
        return promised_until(self.state, self.clock.now_ms(), 3000)

    def fresh(self, revision: int = 5) -> int:
        return fresh_until(self.state, revision, self.clock.now_ms(), FRESH_MS)

    def test_the_earliest_promise_of_all_members_counts(self) -> None:
        """Guards against an owner that acts while one member may already take over."""
        self.pong(A, UNREACHED)
        self.assertEqual(self.promised(), NEVER)
        self.clock.advance(400)
        self.pong(B, UNREACHED)
        self.assertEqual(self.promised(), 13_000)

    def test_a_member_that_reaches_the_store_ends_all_promises(self) -> None:
        """Guards against an extended lease while a member can take over, as its ping reports."""
        self.pong(A, UNREACHED)
        self.pong(B, UNREACHED)
        record_ping(self.state, B, REACHED, self.clock.now_ms())
        self.assertEqual(self.promised(), NEVER)

    def test_an_unlisted_member_that_reaches_the_store_ends_all_promises(self) -> None:
        """Guards against a takeover by a new member while only listed members gave promises."""
        self.pong(A, UNREACHED)
        self.pong(B, UNREACHED)
        record_ping(self.state, MemberId("new"), REACHED, self.clock.now_ms())
        self.assertEqual(self.promised(), NEVER)

    def test_a_draining_member_is_not_counted(self) -> None:
        """Guards against a stop of all members in an outage because one has shut down."""
        self.pong(A, UNREACHED)
        record_ping(self.state, B, replace(REACHED, draining=True), self.clock.now_ms())
        self.assertEqual(self.promised(), 13_000)
        self.assertEqual(self.fresh(), 14_000)

    def test_a_process_that_never_read_the_members_has_no_promises(self) -> None:
        """Guards against a process that starts in an outage and assumes that it is alone."""
        self.state = Membership()
        self.assertEqual(self.promised(), NEVER)
        self.assertEqual(self.fresh(), NEVER)

    def test_freshness_from_the_store_starts_when_the_read_is_sent(self) -> None:
        """Guards against an old answer, read after a pause, that counts as fresh."""
        record_store_read(self.state, 10_000, FRESH_MS)
        self.clock.advance(60_000)
        self.assertLess(self.fresh(), self.clock.now_ms())

    def test_freshness_from_a_member_requires_its_revision(self) -> None:
        """Guards against a process that uses old keys although a member has a newer revision."""
        report = replace(REACHED, fresh_ms=2500)
        self.pong(A, replace(report, revision=6))
        self.assertEqual(self.fresh(), NEVER)
        self.pong(A, report)
        self.assertEqual(self.fresh(), 12_500)

    def test_fresh_when_all_members_answer_and_none_reaches_the_store(self) -> None:
        """Guards against rejecting all work in an outage, and against trusting a partial view."""
        self.pong(A, UNREACHED)
        self.assertEqual(self.fresh(), NEVER)
        self.clock.advance(1000)
        self.pong(B, UNREACHED)
        self.assertEqual(self.fresh(), 14_000)
        self.assertEqual(self.fresh(revision=4), NEVER)
        self.pong(B, REACHED)
        self.assertEqual(self.fresh(), NEVER)
