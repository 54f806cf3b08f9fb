"""Tests of admission control."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from lagoonshelf_core.admission import Admission, CellCapacity, QueueLimits, RetryBudget
from lagoonshelf_core.errors import ResultCode
from lagoonshelf_core.ids import PartitionId, QueueId, RequestKey, TeamId
from lagoonshelf_core.model import RequestSpec, WorkKind
from lagoonshelf_core.resources import Resources

A, B, Q = TeamId("a"), TeamId("b"), QueueId("q")
SMALL = Resources(64_000, 128_000, 0, 8)
LARGE = Resources(16_000, 512_000, 0, 8)
SHAPE = CellCapacity([(PartitionId(0), SMALL)] * 2 + [(PartitionId(1), LARGE)])
SPEC = RequestSpec(
    A, Q, RequestKey("k"), WorkKind.BATCH, True, Resources(1000, 100, 0, 1), 50, 1, "", 0
)


class FeasibilityTest(unittest.TestCase):
    """Requests that fit on no worker."""

    def test_reason_names_the_offending_amount(self) -> None:
        """Guards against requests that wait forever, and refusals without a reason."""
        cases = [
            (Resources(65_000, 1, 0, 1), "cpu_milli 65000; the largest worker has 64000"),
            (Resources(1, 1, 2, 1), "accelerators 2; no worker has any"),
            (Resources(64_000, 512_000, 0, 1), "all of cpu_milli 64000, memory_mib 512000"),
        ]
        for size, part in cases:
            fault = SHAPE.check(replace(SPEC, size=size)).failure()
            self.assertIs(fault.code, ResultCode.NEVER_FITS)
            self.assertIn(part, fault.message)

    def test_gang_is_bounded_by_the_largest_partition(self) -> None:
        """Guards against a gang that waits forever because no single partition is large enough."""
        gang = replace(SPEC, kind=WorkKind.GANG, tasks=16)
        self.assertTrue(is_successful(SHAPE.check(gang)))
        fault = SHAPE.check(replace(gang, tasks=17)).failure()
        self.assertIn("17 tasks; the largest partition holds 16", fault.message)
        self.assertTrue(is_successful(SHAPE.check(replace(SPEC, tasks=17))))

    def test_unknown_cell_refuses_nothing(self) -> None:
        """Guards against a wrong refusal before the host list is read."""
        self.assertTrue(is_successful(CellCapacity([]).check(SPEC)))


class QueueBoundsTest(unittest.TestCase):
    """Limits on waiting tasks."""

    def test_full_team_queue_does_not_limit_another_team(self) -> None:
        """Guards against one team filling a queue for all teams."""
        admission = Admission(SHAPE)
        taken = sum(is_successful(admission.admit(SPEC, 10, 0)) for _ in range(1000))
        self.assertEqual(taken, 10)
        other = replace(SPEC, team=B, tasks=10)
        self.assertTrue(is_successful(admission.admit(other, 10, 0)))

    def test_retry_delay_follows_the_drain_rate(self) -> None:
        """Guards against retry delays that are too short for the queue to drain."""
        limits = QueueLimits()
        limits.admit(A, Q, 100, 100, 0)
        idle = limits.admit(A, Q, 1, 100, 0).failure()
        self.assertEqual((idle.code, idle.retry_after_ms), (ResultCode.QUEUE_FULL, 5_000))
        limits.remove(A, Q, 50, 0)
        fast = limits.admit(A, Q, 60, 100, 0).failure()
        self.assertEqual(fast.retry_after_ms, 2_000)
        slow = limits.admit(A, Q, 60, 100, 10_000).failure()
        self.assertGreater(slow.retry_after_ms, 5_000)
        never = limits.admit(A, Q, 101, 100, 0).failure()
        self.assertIs(never.code, ResultCode.NEVER_FITS)

    def test_idle_teams_use_no_memory(self) -> None:
        """Guards against a memory leak: state of teams without recent traffic is removed."""
        admission = Admission(SHAPE)
        admission.admit(SPEC, 10, 0)
        admission.queue_limits.remove(A, Q, 1, 0)
        admission.forget_idle(20_000)
        self.assertEqual(
            (admission.queue_limits._team_queues, admission.retries._counts), ({}, {})
        )


class RetryBudgetTest(unittest.TestCase):
    """Limit on retries relative to first attempts."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 400)), max_size=200))
    def test_retries_stay_within_a_fifth(self, steps: list[tuple[bool, int]]) -> None:
        """Guards against retries that multiply the load of an overloaded cell."""
        budget, now_ms, events = RetryBudget(), 0, []
        for is_retry, delta_ms in steps:
            now_ms += delta_ms
            if not is_retry:
                budget.count_first_attempt(A, now_ms)
            elif not is_successful(budget.try_retry(A, now_ms)):
                continue
            events.append((now_ms, is_retry))
            recent = [retry for at_ms, retry in events if at_ms > now_ms - 10_000]
            wide = [retry for at_ms, retry in events if at_ms > now_ms - 11_000]
            if is_retry:
                self.assertLessEqual(sum(recent), max(3, wide.count(False) // 5))

    def test_budget_is_refilled_after_the_retry_delay(self) -> None:
        """Guards against a team that can never retry again."""
        budget = RetryBudget()
        for _ in range(3):
            budget.try_retry(A, 0)
        fault = budget.try_retry(A, 500).failure()
        self.assertIs(fault.code, ResultCode.RETRY_BUDGET)
        self.assertTrue(is_successful(budget.try_retry(A, 500 + fault.retry_after_ms)))
        self.assertTrue(is_successful(budget.try_retry(B, 500)))
