"""Bounds on the leases of a worker's runs."""

import unittest

from lagoonshelf_core.jobs.workers import (
    MAX_CALL_DELAY_MS,
    MAX_LEASE_MS,
    Worker,
    lapse_after_ms,
)
from tests.support.jobs import make_cell, worker_info

LEASE_MS = 6_000


class RestartTest(unittest.TestCase):
    """Guards against a run that is started elsewhere while it still has a lease.

    A restarted worker takes calls for its former incarnation, and shortens the lease that they
    grant to the longest one from their arrival.
    """

    def test_the_bound_covers_a_late_call_for_the_former_incarnation(self) -> None:
        worker = Worker(worker_info(0))
        worker.record_restart(1_000)
        worker.lease_lapse_ms = 1_000 + lapse_after_ms(LEASE_MS)
        expected = 1_000 + MAX_CALL_DELAY_MS + lapse_after_ms(MAX_LEASE_MS)
        self.assertEqual(worker.lapse_ms, expected)

    def test_once_fenced_it_covers_the_calls_before(self) -> None:
        worker = Worker(worker_info(0))
        worker.record_restart(1_000)
        for now_ms in (1_200, 3_000):
            worker.record_fenced(now_ms, LEASE_MS)
            self.assertEqual(worker.lapse_ms, 1_200 + lapse_after_ms(MAX_LEASE_MS))

    def test_a_further_restart_begins_anew(self) -> None:
        worker = Worker(worker_info(0))
        worker.record_restart(1_000)
        worker.record_fenced(1_200, LEASE_MS)
        worker.record_restart(2_000)
        self.assertGreater(worker.lapse_ms, 2_000 + MAX_CALL_DELAY_MS + MAX_LEASE_MS)

    def test_a_worker_that_has_not_restarted_has_the_lease_of_its_leaders(self) -> None:
        worker = Worker(worker_info(0))
        worker.min_lapse_ms = 20_000
        worker.record_fenced(1_000, LEASE_MS)
        self.assertEqual(worker.lapse_ms, 1_000 + lapse_after_ms(LEASE_MS))

    def test_a_restart_counts_without_runs(self) -> None:
        """What starts on the new incarnation has the longer lease, too."""
        cell = make_cell(1)
        cell.update_worker(worker_info(0, born_ms=2_000), 500)
        self.assertGreater(cell.workers["w000"].lapse_ms, 500 + MAX_LEASE_MS)
