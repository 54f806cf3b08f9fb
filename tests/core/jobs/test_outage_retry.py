"""Tests of Retry-After in an outage of the store.

Load: an outage of five seconds in which urgent jobs and wide ones with an objective of many
seconds are submitted; their clients give up after four more attempts.
"""

import unittest

from lagoonshelf_core.jobs.outage_retry import MAX_RETRY_AFTER_MS, retry_after_outage_s
from tests.support.jobs import BATCH, URGENT, config, make_job, make_step

ATTEMPTS = 4
OUTAGE_MS = 5_500
WIDE = make_step(25, estimate_ms=4_000)
SMALL = make_step(3, estimate_ms=640)


class OutageRetryTest(unittest.TestCase):
    """Waits of refused jobs."""

    def test_attempts_of_a_wide_job_outlast_the_outage(self) -> None:
        """Guards against a constant wait, with which all attempts fall into the outage."""
        queue = config().queues[BATCH]
        for _ in range(20):
            spec = make_job(WIDE)
            at_ms = 500
            for _ in range(ATTEMPTS):
                at_ms += 1_000 * retry_after_outage_s(spec, queue, at_ms)
            self.assertGreater(at_ms, OUTAGE_MS)

    def test_a_job_comes_back_while_it_can_end_in_time(self) -> None:
        """Guards against urgent jobs that are sent away for longer than they are of use."""
        queue = config().queues[URGENT]
        for outage_ms in (0, 1_000, 60_000, -1):
            self.assertEqual(retry_after_outage_s(make_job(SMALL), queue, outage_ms), 1)

    def test_waits_are_bounded_and_spread(self) -> None:
        """Guards against clients that come back together, or after a store was back for long."""
        queue = config().queues[BATCH]
        step = make_step(1, estimate_ms=3_600_000)
        waits = {retry_after_outage_s(make_job(step), queue, 3_600_000) for _ in range(50)}
        self.assertGreater(len(waits), 2)
        self.assertLessEqual(max(waits), 1.5 * MAX_RETRY_AFTER_MS / 1_000)
