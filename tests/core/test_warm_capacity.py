"""Tests of warm capacity."""

import unittest

from lagoonshelf_core.ids import QueueId
from lagoonshelf_core.warm_capacity import DAY_MS, INTERVAL_MS, WARM_UP_LEAD_MS, WarmCapacity

Q = QueueId("fitting")
NINE = 9 * 3_600_000
COLD_MS = 10 * 60_000


def observe_day(warm_capacity: WarmCapacity, day: int, peak: int) -> None:
    """Observe a day in which only the interval from nine o'clock on has work."""
    for interval in range(96):
        wall_ms = day * DAY_MS + interval * INTERVAL_MS
        warm_capacity.observe(Q, peak if interval * INTERVAL_MS == NINE else 0, wall_ms)


class PatternTest(unittest.TestCase):
    """Warm slots by time of day."""

    def test_capacity_is_warmed_before_the_peak(self) -> None:
        """Guards against a warm-up that starts at the peak and is ready only after it."""
        warm_capacity = WarmCapacity()
        observe_day(warm_capacity, 0, 8)
        start = DAY_MS + NINE - COLD_MS - WARM_UP_LEAD_MS
        self.assertEqual(warm_capacity.warm_slots(Q, COLD_MS, 1, start - 1), 1)
        self.assertEqual(warm_capacity.warm_slots(Q, COLD_MS, 1, start), 8)
        self.assertEqual(
            warm_capacity.warm_slots(Q, COLD_MS, 1, DAY_MS + NINE + INTERVAL_MS - 1), 8
        )
        self.assertEqual(warm_capacity.warm_slots(Q, COLD_MS, 1, DAY_MS + NINE + INTERVAL_MS), 1)

    def test_arrival_alone_warms_nothing(self) -> None:
        """Guards against a warm-up for a peak that ends before the slots are ready."""
        warm_capacity = WarmCapacity()
        warm_capacity.observe(Q, 50, NINE)
        self.assertEqual(warm_capacity.warm_slots(Q, COLD_MS, 2, NINE + 1), 2)
        self.assertEqual(warm_capacity.warm_slots(QueueId("new"), COLD_MS, 3, NINE), 3)

    def test_peaks_decay_over_days(self) -> None:
        """Guards against slots that stay warm forever because of one exceptional day."""
        warm_capacity = WarmCapacity()
        observe_day(warm_capacity, 0, 10)
        seen = []
        for day in range(1, 12):
            seen.append(warm_capacity.warm_slots(Q, COLD_MS, 0, day * DAY_MS + NINE))
            observe_day(warm_capacity, day, 0)
        self.assertEqual(seen[:4], [10, 7, 5, 4])
        self.assertEqual(seen[-1], 0)

    def test_days_without_an_owner_decay_too(self) -> None:
        """Guards against an outdated pattern after a time without an owner."""
        warm_capacity = WarmCapacity()
        observe_day(warm_capacity, 0, 10)
        self.assertEqual(warm_capacity.warm_slots(Q, COLD_MS, 0, 3 * DAY_MS + NINE), 5)
        self.assertEqual(warm_capacity.warm_slots(Q, COLD_MS, 0, 30 * DAY_MS + NINE), 0)

    def test_next_owner_keeps_the_pattern(self) -> None:
        """Guards against a loss of the pattern when a partition changes its owner."""
        warm_capacity, successor = WarmCapacity(), WarmCapacity()
        observe_day(warm_capacity, 0, 8)
        successor.load(warm_capacity.save())
        self.assertEqual(successor.warm_slots(Q, COLD_MS, 0, DAY_MS + NINE), 8)


class CostTest(unittest.TestCase):
    """Cost of warm capacity."""

    def test_idle_slots_are_added_up(self) -> None:
        """Guards against idle warm slots missing from the cost report."""
        warm_capacity = WarmCapacity()
        for minute in range(61):
            warm_capacity.record_cost(Q, 8, 2, minute * 60_000)
        warm_capacity.record_cost(Q, 8, 2, 10 * 3_600_000)
        report = warm_capacity.report()[0]
        self.assertAlmostEqual(report.idle_slot_hours, 6 + 6 / 60)
        self.assertAlmostEqual(report.warm_slot_hours, 8 + 8 / 60)
