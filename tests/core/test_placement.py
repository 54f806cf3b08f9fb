"""Tests of worker selection, compared with a search of all workers."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from lagoonshelf_core.model import WorkKind
from lagoonshelf_core.placement import Placement, fit_key
from lagoonshelf_core.resources import Resources
from tests.support.scheduling import SLOT, cell, enqueue, group, run, started, worker


def sizes(least: int) -> st.SearchStrategy:
    """Generate sizes; free capacity may be negative while a reservation waits for tasks to end."""
    small, few = st.integers(least, 12), st.integers(least, 3)
    return st.builds(Resources, small, small, few, few)


SIZES = sizes(0)
CHANGES = st.lists(st.tuples(st.integers(0, 11), st.none() | sizes(-1)), max_size=60)


def build(changes: list) -> tuple[Placement, dict]:
    """Return an index and a dictionary of the same workers."""
    placement, table = Placement(), {}
    for number, free in changes:
        info = worker(number, SLOT)
        if free is None:
            placement.remove(info.worker, info.failure_domain)
            table.pop(info.worker, None)
        else:
            placement.update(info.worker, info.failure_domain, free)
            table[info.worker] = (info, free)
    return placement, table


def can_hold(free: Resources, size: Resources) -> bool:
    """Return whether a size fits on a worker; nothing fits on an overcommitted one."""
    return Resources().fits_in(free) and size.fits_in(free)


class BestFitTest(unittest.TestCase):
    """Best fit, compared with a search of all workers."""

    @given(CHANGES, SIZES, st.sets(st.integers(0, 11)))
    def test_same_worker_as_a_full_search(self, changes, size, unusable) -> None:
        """Guards against an index that misses a worker or returns one that is too small."""
        placement, table = build(changes)
        barred = {worker(number, SLOT).worker for number in unusable}
        fitting = [
            fit_key(free, name)
            for name, (_, free) in table.items()
            if can_hold(free, size) and name not in barred
        ]
        expected = min(fitting)[-1] if fitting else None
        self.assertEqual(placement.best_fit(size, lambda w: w not in barred), expected)

    @given(
        CHANGES,
        SIZES,
        st.dictionaries(st.sampled_from(["d0", "d1", "d2"]), st.integers(0, 3)),
        st.dictionaries(st.sampled_from(["d0r0", "d1r0", "d1r1", "d2r1"]), st.integers(0, 3)),
        st.integers(1, 3),
    )
    def test_same_replica_spread_as_a_full_search(
        self, changes, size, in_domain, in_rack, most
    ) -> None:
        """Guards against a replica in a domain or rack that has more replicas than another."""
        placement, table = build(changes)
        ranked = [
            (
                in_domain.get(info.failure_domain, 0),
                info.failure_domain,
                in_rack.get(info.rack, 0),
                fit_key(free, name),
            )
            for name, (info, free) in table.items()
            if can_hold(free, size) and in_domain.get(info.failure_domain, 0) < most
        ]
        expected = min(ranked)[-1][-1] if ranked else None
        found = placement.best_spread(
            size, lambda _: True, most, in_domain, in_rack, lambda w: table[w][0].rack
        )
        self.assertEqual(found, expected)

    def test_worker_that_moves_to_another_domain(self) -> None:
        """Guards against a worker that remains in the index of its previous failure domain."""
        placement = Placement()
        placement.update("w", "d0", SLOT)
        placement.best_spread(SLOT, lambda _: True, 1, {}, {}, lambda _: "r")
        placement.remove("w", "d0")
        placement.update("w", "d1", SLOT)
        found = placement.best_spread(SLOT, lambda _: True, 1, {"d1": 1}, {}, lambda _: "r")
        self.assertIsNone(found)


class ServiceSpreadTest(unittest.TestCase):
    """Spread of replicas over failure domains and racks."""

    @given(st.integers(1, 14), st.integers(1, 4), st.sets(st.integers(0, 11), max_size=6))
    def test_no_domain_exceeds_its_part(self, replicas, slots, missing) -> None:
        """Guards against losing most replicas when one failure domain fails."""
        scheduler = cell(12, Resources(64_000, 65_536, 0, slots))
        domains = {number % 3 for number in range(12) if number not in missing}
        for number in missing:
            scheduler.remove_worker(worker(number, SLOT).worker)
        members = group(replicas, WorkKind.SERVICE)
        enqueue(scheduler, members)
        run(scheduler)
        placed = [m.worker for m in members if m.worker]
        per_domain = Counter(int(name[1:]) % 3 for name in placed)
        part = -(-replicas // max(len(domains), 1))
        self.assertLessEqual(max(per_domain.values(), default=0), part)
        left = Counter(number % 3 for number in range(12) if number not in missing)
        room_for = sum(min(part, slots * left[d]) for d in domains)
        self.assertEqual(len(placed), min(replicas, room_for))

    def test_racks_differ_within_a_domain(self) -> None:
        """Guards against losing all of a domain's replicas when one rack fails."""
        scheduler = cell(12, Resources(64_000, 65_536, 0, 8))
        members = group(6, WorkKind.SERVICE)
        enqueue(scheduler, members)
        self.assertEqual(len(started(run(scheduler))), 6)
        racks = {worker(int(m.worker[1:]), SLOT).rack for m in members}
        self.assertEqual(len(racks), 6)
