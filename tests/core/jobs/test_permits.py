"""Tests of the permits of the placement policy."""

import unittest

from lagoonshelf_core.jobs.permits import Permits
from tests.support.jobs import ADVISED


class PermitsTest(unittest.TestCase):
    """When advice is requested, for which workers, and what stays known."""

    def setUp(self) -> None:
        """Request advice for three workers, of which two are allowed."""
        self.permits = Permits()
        self.permits.request_sent("s")
        self.permits.response_received("s", ADVISED, ("a", "b", "c"), {"a": "1", "b": "2"}, 1_000)

    def _requestable(self, workers: list[str]) -> list[str]:
        """Return the workers that a request would list."""
        return [name for name in workers if self.permits.allow_probability("s", name, 0.5)]

    def test_allowed_share_counts_only_newly_requested_workers(self) -> None:
        """Repeated decisions on workers known to be allowed would raise the share."""
        before = self.permits.allowed_share(ADVISED)
        self.permits.response_received("s", ADVISED, ("a", "b"), {"a": "1", "b": "2"}, 2_000)
        self.assertEqual(self.permits.allowed_share(ADVISED), before)
        for _ in range(100):
            self.permits.remove("s")
            self.permits.response_received("s", ADVISED, ("a", "b", "c", "d"), {"a": "1"}, 2_000)
        self.assertAlmostEqual(self.permits.allowed_share(ADVISED), 0.25, 2)

    def test_a_worker_missing_from_a_request_stays_allowed(self) -> None:
        """A worker that a later request leaves out must stay known as allowed.

        When it counted as denied, it was never requested again (LOST, andinas trouble-3).
        """
        self.assertEqual(self._requestable(["b", "c"]), ["b"])
        self.permits.response_received("s", ADVISED, ("b",), {"b": "3"}, 2_000)
        self.assertEqual(self._requestable(["a", "b", "c"]), ["a", "b"])
        self.assertEqual(self.permits.valid("s", 1_500), {"b": "3"})

    def test_new_workers_are_requested(self) -> None:
        """New workers are listed beside those known to be allowed."""
        self.assertEqual(self._requestable(["a", "c", "d"]), ["a", "d"])

    def test_a_worker_no_longer_allowed_is_not_requested_again(self) -> None:
        """The policy has denied a worker that it had allowed before."""
        self.permits.response_received("s", ADVISED, ("a", "b"), {"b": "3"}, 2_000)
        self.assertEqual(self._requestable(["a", "b", "c"]), ["b"])

    def test_a_rejected_permit_is_requested_again(self) -> None:
        """A worker that restarted rejects its permit and must be requested again."""
        self.permits.permit_rejected("s", "a")
        self.assertTrue(self.permits.is_request_due("s", 10, 100))
        self.assertEqual(self._requestable(["a", "b", "c"]), ["a", "b"])

    def test_one_request_at_a_time(self) -> None:
        """No second request is due while one is in progress or the permits are valid."""
        self.assertFalse(self.permits.is_request_due("s", 10, 100))
        self.assertTrue(self.permits.is_request_due("s", 10, 900))
        self.permits.request_sent("s")
        self.assertFalse(self.permits.is_request_due("s", 10, 900))
        self.permits.request_failed("s", 900)
        self.assertFalse(self.permits.is_request_due("s", 10, 901))
        self.assertTrue(self.permits.is_request_due("s", 10, 1_200))
