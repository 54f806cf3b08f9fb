"""Tests of the permissions of the placement policy."""

import unittest

from lagoonshelf_core.jobs.permits import Permits


class PermitsTest(unittest.TestCase):
    """What is asked, and what stays known."""

    def setUp(self) -> None:
        """Ask about three workers, of which two are allowed."""
        self.permits = Permits()
        self.permits.asking("s")
        self.permits.answered("s", ("a", "b", "c"), {"a": "1", "b": "2"}, 1_000)

    def test_a_worker_that_was_away_stays_allowed(self) -> None:
        """It was not named the second time (LOST, andinas trouble-3)."""
        self.assertEqual(self.permits.to_ask("s", ["b", "c"]), ["b"])
        self.permits.answered("s", ("b",), {"b": "3"}, 2_000)
        self.assertEqual(self.permits.to_ask("s", ["a", "b", "c"]), ["a", "b"])
        self.assertEqual(self.permits.valid("s", 1_500), {"b": "3"})

    def test_new_workers_are_asked_about(self) -> None:
        """Beside those that are allowed."""
        self.assertEqual(self.permits.to_ask("s", ["a", "c", "d"]), ["a", "d"])

    def test_a_worker_that_is_no_longer_allowed_is_not_named_again(self) -> None:
        """The policy said so."""
        self.permits.answered("s", ("a", "b"), {"b": "3"}, 2_000)
        self.assertEqual(self.permits.to_ask("s", ["a", "b", "c"]), ["b"])

    def test_a_refused_permit_is_asked_for_anew(self) -> None:
        """The worker may have started again since."""
        self.permits.refused("s", "a")
        self.assertTrue(self.permits.is_due("s", 10, 100))
        self.assertEqual(self.permits.to_ask("s", ["a", "b", "c"]), ["a", "b"])

    def test_one_question_at_a_time(self) -> None:
        """And none while permits last."""
        self.assertFalse(self.permits.is_due("s", 10, 100))
        self.assertTrue(self.permits.is_due("s", 10, 900))
        self.permits.asking("s")
        self.assertFalse(self.permits.is_due("s", 10, 900))
        self.permits.unanswered("s", 900)
        self.assertFalse(self.permits.is_due("s", 10, 901))
        self.assertTrue(self.permits.is_due("s", 10, 1_200))
