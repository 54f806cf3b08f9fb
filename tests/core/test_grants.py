"""Tests of the division of limits into grants."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonshelf_core.grants import (
    Amount,
    GrantDocument,
    GrantEntry,
    KnownLimit,
    decode_grants,
    encode_grants,
    grant_after_lowering,
    limit_in_force,
    prorated_grant,
    raised_grant,
    reduced_grant,
    start_limit,
    with_entry,
)

PARTITIONS = 3
CPU = 100
OPERATIONS = ("learn", "refresh", "take", "give", "lower", "start", "end", "owner", "limit")


class _Owner:
    """Owner of one partition: its configuration, its copy of the document, and its usage."""

    def __init__(self) -> None:
        self.epoch = 1
        self.running = 0
        self.known = KnownLimit(Amount(), 0)
        self.view = GrantDocument()

    @property
    def usage(self) -> Amount:
        return Amount(self.running, self.running * CPU)


class _Fleet:
    """The grant document, its owners, and a central counter as the reference.

    :param bound: highest limit that an owner's configuration or copy may still hold
    """

    def __init__(self) -> None:
        self.doc = GrantDocument()
        self.limit = KnownLimit(Amount(8, 8 * CPU), 1)
        self.owners = [_Owner() for _ in range(PARTITIONS)]
        self.bound = 8

    def apply(self, name: str, number: int, value: int) -> None:
        getattr(self, name)(number, self.owners[number], value)
        if all(o.known == self.limit and o.view is self.doc for o in self.owners):
            self.bound = self.limit.amount.tasks

    def learn(self, _number: int, owner: _Owner, _value: int) -> None:
        owner.known = self.limit

    def refresh(self, _number: int, owner: _Owner, _value: int) -> None:
        owner.view = self.doc

    def change_limit(self, tasks: int) -> None:
        self.limit = KnownLimit(Amount(tasks, tasks * CPU), self.limit.revision + 1)
        self.bound = max(self.bound, tasks)

    def take(self, number: int, owner: _Owner, value: int) -> None:
        self._write(
            number, owner, raised_grant(self.doc, number, self._need(owner, value), owner.known)
        )

    def give(self, number: int, owner: _Owner, _value: int) -> None:
        grant = self.doc.amount(number)
        self._write(number, owner, reduced_grant(grant, owner.usage, owner.known.amount))

    def lower(self, number: int, owner: _Owner, _value: int) -> None:
        limit = limit_in_force(self.doc, owner.known)
        self._write(number, owner, grant_after_lowering(self.doc, number, owner.usage, limit))

    def start(self, number: int, owner: _Owner, _value: int) -> None:
        allowed = start_limit(owner.view, number, limit_in_force(owner.view, owner.known))
        allowed = allowed.minimum(owner.view.usable(number, owner.epoch))
        if self._need(owner, 1).fits_in(allowed):
            owner.running += 1
            total = sum(o.running for o in self.owners)
            assert total <= self.bound, f"{total} running under a limit of {self.bound}"

    def end(self, _number: int, owner: _Owner, _value: int) -> None:
        owner.running = max(0, owner.running - 1)

    def owner(self, _number: int, owner: _Owner, _value: int) -> None:
        owner.epoch += 1
        owner.known = KnownLimit(Amount(), 0)
        owner.view = GrantDocument()

    def _need(self, owner: _Owner, value: int) -> Amount:
        return owner.usage + Amount(value, value * CPU)

    def _write(self, number: int, owner: _Owner, amount: Amount) -> None:
        entry = GrantEntry(amount, owner.epoch, "t")
        self.doc = with_entry(self.doc, number, entry, owner.known)
        owner.view = self.doc


class GrantsTest(unittest.TestCase):
    """Raising, reducing and prorating of grants."""

    @settings(derandomize=True, max_examples=600, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(OPERATIONS), st.integers(0, PARTITIONS - 1), st.integers(0, 10)
            ),
            max_size=80,
        )
    )
    def test_no_interleaving_runs_more_than_a_central_counter_allows(self, operations) -> None:
        """Guards against two partitions that both use the same part of a limit.

        Owners read and write the document in any order, each with an older or newer copy.
        """
        fleet = _Fleet()
        for number in range(PARTITIONS):
            fleet.apply("learn", number, 0)
        for name, number, value in operations:
            if name == "limit":
                fleet.change_limit(value)
            else:
                fleet.apply(name, number, value)
            for partition, owner in enumerate(fleet.owners):
                self.assertLessEqual(owner.running, fleet.doc.amount(partition).tasks)

    def test_prorated_grants_are_rounded_down(self) -> None:
        """Guards against rounding up, after which the grants exceed a lowered limit."""
        doc = _document({0: 5, 1: 5, 2: 5})
        limit = Amount(8, 8 * CPU)
        self.assertEqual([prorated_grant(doc, p, limit).tasks for p in range(3)], [2, 2, 2])

    def test_no_task_starts_until_other_grants_are_below_the_limit(self) -> None:
        """Guards against a start while another partition still runs more than a lowered limit."""
        limit = Amount(8, 8 * CPU)
        self.assertEqual(start_limit(_document({0: 8, 1: 8}), 0, limit), Amount())
        self.assertEqual(start_limit(_document({0: 8, 1: 4}), 0, limit).tasks, 4)

    def test_a_grant_grows_by_at_least_an_eighth_and_at_most_the_unallocated_amount(self) -> None:
        """Guards against a write per task, and against grants that exceed the limit."""
        known = KnownLimit(Amount(64, 64 * CPU), 1)
        self.assertEqual(
            raised_grant(_document({0: 0}), 0, Amount(1, CPU), known), Amount(8, 8 * CPU)
        )
        self.assertEqual(raised_grant(_document({1: 60}), 0, Amount(9, 9 * CPU), known).tasks, 4)

    def test_an_owner_with_an_older_revision_does_not_raise_its_grant(self) -> None:
        """Guards against a grant based on the higher limit of an old configuration."""
        doc = GrantDocument(limit=Amount(1, CPU), revision=5)
        old = KnownLimit(Amount(100, 100 * CPU), 4)
        self.assertEqual(raised_grant(doc, 0, Amount(1, CPU), old), Amount())

    def test_encoding_keeps_the_document(self) -> None:
        """Guards against a field that is lost when one owner reads what another wrote."""
        doc = _document({0: 5, 3: 1})
        self.assertEqual(decode_grants(encode_grants(doc)), doc)


def _document(tasks: dict[int, int]) -> GrantDocument:
    entries = {p: GrantEntry(Amount(n, n * CPU), 1, "t") for p, n in tasks.items()}
    return GrantDocument(Amount(100, 100 * CPU), 1, 1, entries)
