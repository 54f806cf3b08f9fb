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
        self.permits.response_received(
            "s", ADVISED, ("a", "b", "c"), {"a": "1", "b": "2"}, 0, 1_000
        )

    def _requestable(self, workers: list[str]) -> list[str]:
        """Return the workers that a request would list."""
        return [name for name in workers if self.permits.allow_probability("s", name, 0.5)]

    def test_allowed_share_counts_only_newly_requested_workers(self) -> None:
        """Repeated decisions on workers known to be allowed would raise the share."""
        before = self.permits.allowed_share(ADVISED)
        self.permits.response_received(
            "s", ADVISED, ("a", "b"), {"a": "1", "b": "2"}, 1_000, 1_000
        )
        self.assertEqual(self.permits.allowed_share(ADVISED), before)
        for _ in range(100):
            self.permits.remove("s")
            self.permits.response_received(
                "s", ADVISED, ("a", "b", "c", "d"), {"a": "1"}, 1_000, 1_000
            )
        self.assertAlmostEqual(self.permits.allowed_share(ADVISED), 0.25, 2)

    def test_a_worker_missing_from_a_request_stays_allowed(self) -> None:
        """A worker that a later request leaves out must stay known as allowed.

        When it counted as denied, it was never requested again (LOST, andinas trouble-3).
        """
        self.assertEqual(self._requestable(["b", "c"]), ["b"])
        self.permits.response_received("s", ADVISED, ("b",), {"b": "3"}, 1_000, 1_000)
        self.assertEqual(self._requestable(["a", "b", "c"]), ["a", "b"])
        self.assertEqual(self.permits.valid("s", 1_500), {"b": "3"})

    def test_new_workers_are_requested(self) -> None:
        """New workers are listed beside those known to be allowed."""
        self.assertEqual(self._requestable(["a", "c", "d"]), ["a", "d"])

    def test_a_worker_no_longer_allowed_is_not_requested_again(self) -> None:
        """The policy has denied a worker that it had allowed before."""
        self.permits.response_received("s", ADVISED, ("a", "b"), {"b": "3"}, 1_000, 1_000)
        self.assertEqual(self._requestable(["a", "b", "c"]), ["b"])

    def test_a_rejected_permit_is_requested_again(self) -> None:
        """A worker that restarted rejects its permit and must be requested again."""
        self.permits.permit_rejected("s", "a")
        self.assertTrue(self.permits.is_request_due("s", 10, 100))
        self.assertEqual(self._requestable(["a", "b", "c"]), ["a", "b"])

    def test_the_margin_follows_the_delay_of_starts(self) -> None:
        """Guards against permits that a late leader uses so late that they have expired.

        On a host with 0.12 of a core 1,061 of 2,500 starts were refused (large andinas, --small).
        """
        self.assertTrue(self.permits.valid("s", 700))
        for _ in range(5):
            self.permits.permit_rejected("other", "a")
        self.assertFalse(self.permits.valid("s", 700))
        self.assertTrue(self.permits.valid("s", 300), "a part of the validity is always used")
        self.assertTrue(self.permits.is_request_due("s", 10, 300))
        for _ in range(200):
            self.permits.permit_accepted()
        self.assertTrue(self.permits.valid("s", 700))

    def test_a_start_that_has_waited_uses_a_newer_permit(self) -> None:
        """Guards against starts with a permit that was renewed or has expired meanwhile."""
        self.assertEqual(self.permits.find("s", "a", 900), "1")
        self.assertEqual(self.permits.find("s", "a", 990), "")
        self.permits.response_received("s", ADVISED, ("a",), {"a": "3"}, 980, 1_000)
        self.assertEqual(self.permits.find("s", "a", 990), "3")
        self.assertEqual(self.permits.find("s", "c", 990), "")

    def test_one_request_at_a_time(self) -> None:
        """No second request is due while one is in progress or the permits are valid."""
        self.assertFalse(self.permits.is_request_due("s", 10, 100))
        self.assertTrue(self.permits.is_request_due("s", 10, 900))
        self.permits.request_sent("s")
        self.assertFalse(self.permits.is_request_due("s", 10, 900))
        self.permits.request_failed("s", 900)
        self.assertFalse(self.permits.is_request_due("s", 10, 901))
        self.assertTrue(self.permits.is_request_due("s", 10, 1_200))
