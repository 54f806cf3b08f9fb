"""Tests of the order in which connections are closed."""

import unittest

from lagoonshelf_server.connection_budget import MB, ConnectionBudget
from lagoonshelf_server.refusals import Reason


class FakeHolder:
    """A connection that records its eviction."""

    def __init__(self, address: str, waiting_since: float, is_protected: bool = False) -> None:
        self.address, self.waiting_since = address, waiting_since
        self.is_protected = is_protected
        self.held_bytes = 0
        self.evicted: Reason | None = None

    def evict(self, reason: Reason) -> None:
        self.evicted = reason


class ConnectionBudgetTest(unittest.TestCase):
    """A budget of 1 MB and 32 connections."""

    def setUp(self) -> None:
        self.budget = ConnectionBudget(memory_mb=8, max_fds=64)

    def _add(self, *holders: FakeHolder) -> None:
        for holder in holders:
            self.budget.add(holder)

    def test_what_holds_most_and_waited_longest_is_closed_first(self) -> None:
        """Guards against closing small or protected connections for the sake of large ones."""
        busy, small, old, young = holders = (
            FakeHolder("a", 0.0, is_protected=True),
            FakeHolder("b", 1.0),
            FakeHolder("c", 2.0),
            FakeHolder("d", 3.0),
        )
        self._add(*holders)
        for holder, share in ((busy, 0.4), (small, 0.1), (young, 0.2), (old, 0.2)):
            self.budget.update(holder, int(share * MB))
        self.assertEqual([holder.evicted for holder in holders], [None] * 4)
        self.budget.update(small, int(0.19 * MB))
        self.assertEqual(
            [holder.evicted for holder in holders], [None, None, Reason.TOTAL_LIMIT, None]
        )
        self.budget.update(busy, int(0.7 * MB))
        self.assertEqual(young.evicted, Reason.TOTAL_LIMIT)
        self.assertEqual((busy.evicted, small.evicted), (None, None))

    def test_one_address_does_not_displace_others(self) -> None:
        """Guards against a caller that takes all connections of the process."""
        other = FakeHolder("other", 0.0)
        crowd = [FakeHolder("crowd", 1.0 + number) for number in range(60)]
        self._add(other, *crowd)
        self.assertIsNone(other.evicted)
        kept = [holder for holder in crowd if holder.evicted is None]
        self.assertEqual(kept, crowd[-len(kept) :])
        self.assertLessEqual(len(kept), 24)

    def test_a_connection_is_refused_when_all_others_are_protected(self) -> None:
        """Guards against evicting requests in progress, and against a bound that does not hold."""
        busy = [FakeHolder(str(number), 0.0, is_protected=True) for number in range(32)]
        late = FakeHolder("late", 1.0)
        self._add(*busy, late)
        self.assertEqual(late.evicted, Reason.TOTAL_LIMIT)
        self.assertEqual({holder.evicted for holder in busy}, {None})
        self.budget.remove(late)
        self.budget.remove(busy[0])
        again = FakeHolder("again", 2.0)
        self._add(again)
        self.assertIsNone(again.evicted)
