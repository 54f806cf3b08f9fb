"""Tests of the cancellations of jobs that are not known yet."""

import unittest

from lagoonshelf_core.jobs.early_cancellations import (
    EARLY_CANCELLATION_MS,
    MEMORY_MS,
    EarlyCancellations,
    encode_cancellation,
    is_cancellation_expired,
)
from lagoonshelf_core.jobs.spec import JobId

JOB, OTHER = JobId("1"), JobId("2")


class EarlyCancellationsTest(unittest.TestCase):
    """Two cancelled jobs."""

    def test_a_cancellation_is_applied_once(self) -> None:
        """Guards against cancellations that are kept for jobs that have become known."""
        cancellations = EarlyCancellations()
        cancellations.add(JOB, 0)
        self.assertFalse(cancellations.take(OTHER))
        self.assertTrue(cancellations.take(JOB))
        self.assertFalse(cancellations.take(JOB))

    def test_cancellations_expire(self) -> None:
        """Guards against a leader that grows with the cancellations of jobs that never come."""
        cancellations = EarlyCancellations()
        cancellations.add(JOB, 0)
        cancellations.add(OTHER, 1)
        self.assertEqual(cancellations.take_expired(MEMORY_MS - 1), [])
        self.assertEqual(cancellations.take_expired(MEMORY_MS), [JOB])
        self.assertFalse(cancellations.take(JOB))
        self.assertTrue(cancellations.take(OTHER))

    def test_a_cancellation_that_is_repeated_is_kept_for_longer(self) -> None:
        """Guards against a second acknowledgement that holds only as long as the first."""
        cancellations = EarlyCancellations()
        cancellations.add(JOB, 0)
        cancellations.add(JOB, 2)
        self.assertEqual(cancellations.take_expired(MEMORY_MS + 1), [])
        self.assertEqual(cancellations.take_expired(MEMORY_MS + 2), [JOB])

    def test_records_expire(self) -> None:
        """Guards against records that stay for ever, or that go while their job may still come."""
        record = encode_cancellation(1_000)
        self.assertFalse(is_cancellation_expired(record, 999 + EARLY_CANCELLATION_MS))
        self.assertTrue(is_cancellation_expired(record, 1_000 + EARLY_CANCELLATION_MS))
        for unreadable in (b"{}", b"", b"[]", b'{"at_ms":null}'):
            self.assertTrue(is_cancellation_expired(unreadable, 0), unreadable)
