"""Tests of estimates."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonshelf_core.estimates import MAX_CLASSES, WINDOW_SIZE, Estimates, quantile, running_size
from lagoonshelf_core.ids import QueueId, TeamId
from lagoonshelf_core.resources import Resources

T, Q = TeamId("t"), QueueId("q")
DECLARED = Resources(1000, 512, 1, 1)


class RunTimeTest(unittest.TestCase):
    """Corrected run times."""

    def test_declared_time_counts_until_there_are_reports(self) -> None:
        """Guards against an estimate of 0 ms, and one based on a single short report."""
        estimates = Estimates()
        self.assertEqual(estimates.run_ms(T, Q, 0), 60_000)
        estimates.report_run(T, Q, 10)
        self.assertEqual(estimates.run_ms(T, Q, 500), 500)
        for run_ms in range(1000, 1010):
            estimates.report_run(T, Q, run_ms)
        self.assertEqual(estimates.run_ms(T, Q, 500), 1008)
        self.assertEqual(estimates.run_ms(T, QueueId("other"), 500), 500)

    def test_change_of_the_work_is_followed(self) -> None:
        """Guards against an estimate dominated by old reports after a change of run times."""
        estimates = Estimates()
        for run_ms in [10] * 1000 + [900] * WINDOW_SIZE:
            estimates.report_run(T, Q, run_ms)
        self.assertEqual(estimates.run_ms(T, Q, 10), 900)

    def test_overrunning_task_is_not_expected_to_end_at_once(self) -> None:
        """Guards against backfill based on a task that is expected to end at once.

        A task that exceeds the estimate has not reported its own run time yet.
        """
        estimates = Estimates()
        for run_ms in [100] * 19 + [5000]:
            estimates.report_run(T, Q, run_ms)
        self.assertEqual(estimates.remaining_ms(T, Q, 1, 40), 60)
        self.assertEqual(estimates.remaining_ms(T, Q, 1, 200), 4800)
        self.assertEqual(estimates.remaining_ms(T, Q, 1, 6000), 3000)


class SizeTest(unittest.TestCase):
    """Corrected sizes."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 9000), st.integers(0, 9000)), max_size=80))
    def test_size_is_never_below_declared(self, peaks: list[tuple[int, int]]) -> None:
        """Guards against overcommitted workers after small or missing reports."""
        estimates = Estimates()
        for cpu_milli, memory_mib in peaks:
            estimates.report_peak(T, Q, Resources(cpu_milli, memory_mib))
        size = estimates.size(T, Q, DECLARED, Resources(8000, 100, 1, 8))
        self.assertTrue(DECLARED.fits_in(size))
        self.assertTrue(size.fits_in(Resources(8000, 512, 1, 1)))

    def test_peak_gets_a_margin(self) -> None:
        """Guards against allocations that the next task slightly exceeds."""
        estimates = Estimates()
        estimates.report_peak(T, Q, Resources(2001, 0))
        self.assertEqual(estimates.size(T, Q, DECLARED), Resources(2202, 512, 1, 1))
        self.assertEqual(running_size(DECLARED, Resources(0, 1000)), Resources(1000, 1100, 1, 1))

    def test_memory_is_bounded(self) -> None:
        """Guards against a memory leak: the number of job classes is limited."""
        estimates = Estimates()
        for number in range(MAX_CLASSES + 10):
            estimates.report_run(T, QueueId(f"q{number}"), 7)
        self.assertEqual(len(estimates._classes), MAX_CLASSES)
        self.assertEqual(estimates.run_ms(T, QueueId("q0"), 3), 3)

    def test_quantile_of_one(self) -> None:
        """Guards against an index outside the list."""
        self.assertEqual((quantile([4], 0.9), quantile([1, 2], 1.0)), (4, 2))
