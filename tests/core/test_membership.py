"""Tests of what a member knows of the others."""

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
CUT_OFF = PeerReport(store_reached=False, revision=5, promise_ms=3000)
REACHES = PeerReport(store_reached=True, revision=5)
FRESH_MS = 4000


class MembershipTest(unittest.TestCase):
    """A process with two other members at revision 5."""

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

    def test_the_oldest_promise_of_all_members_counts(self) -> None:
        """Guards against an owner that goes on while one member may already take over."""
        self.pong(A, CUT_OFF)
        self.assertEqual(self.promised(), NEVER)
        self.clock.advance(400)
        self.pong(B, CUT_OFF)
        self.assertEqual(self.promised(), 13_000)

    def test_a_member_that_reaches_the_store_ends_all_promises(self) -> None:
        """Guards against an extension while a member can take over; pings tell it as well."""
        self.pong(A, CUT_OFF)
        self.pong(B, CUT_OFF)
        record_ping(self.state, B, REACHES, self.clock.now_ms())
        self.assertEqual(self.promised(), NEVER)

    def test_an_unlisted_member_that_reaches_the_store_ends_all_promises(self) -> None:
        """Guards against a new member that takes over while the known ones promise."""
        self.pong(A, CUT_OFF)
        self.pong(B, CUT_OFF)
        record_ping(self.state, MemberId("new"), REACHES, self.clock.now_ms())
        self.assertEqual(self.promised(), NEVER)

    def test_a_leaving_member_is_not_counted(self) -> None:
        """Guards against an outage in which a member that has left stops all others."""
        self.pong(A, CUT_OFF)
        record_ping(self.state, B, replace(REACHES, draining=True), self.clock.now_ms())
        self.assertEqual(self.promised(), 13_000)
        self.assertEqual(self.fresh(), 14_000)

    def test_a_process_that_never_read_the_members_has_no_promises(self) -> None:
        """Guards against a process started in an outage that counts as unanimous alone."""
        self.state = Membership()
        self.assertEqual(self.promised(), NEVER)
        self.assertEqual(self.fresh(), NEVER)

    def test_fresh_by_the_store_from_the_time_of_sending(self) -> None:
        """Guards against an answer read long after it was sent, as after a pause."""
        record_store_read(self.state, 10_000, FRESH_MS)
        self.clock.advance(60_000)
        self.assertLess(self.fresh(), self.clock.now_ms())

    def test_fresh_by_a_member_only_when_not_behind_it(self) -> None:
        """Guards against a process that trusts its old keys although a member is ahead."""
        report = replace(REACHES, fresh_ms=2500)
        self.pong(A, replace(report, revision=6))
        self.assertEqual(self.fresh(), NEVER)
        self.pong(A, report)
        self.assertEqual(self.fresh(), 12_500)

    def test_fresh_when_all_members_are_heard_and_none_reaches_the_store(self) -> None:
        """Guards against refusing all work in an outage, and against trusting a partial view."""
        self.pong(A, CUT_OFF)
        self.assertEqual(self.fresh(), NEVER)
        self.clock.advance(1000)
        self.pong(B, CUT_OFF)
        self.assertEqual(self.fresh(), 14_000)
        self.assertEqual(self.fresh(revision=4), NEVER)
        self.pong(B, REACHES)
        self.assertEqual(self.fresh(), NEVER)
