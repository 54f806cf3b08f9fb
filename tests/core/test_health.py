"""Tests of worker health and task faults."""

import unittest

from lagoonshelf_core.health import FailureVerdict, Health
from lagoonshelf_core.ids import TaskId, WorkerId

W = WorkerId("w1")


def run(
    health: Health, worker: WorkerId, task: str, ok: bool, now_ms: int = 0
) -> FailureVerdict | None:
    """Record a start and its outcome."""
    health.started(worker, TaskId(task))
    if ok:
        health.succeeded(worker, TaskId(task), now_ms)
        return None
    return health.failed(worker, TaskId(task), now_ms)


def quarantine(health: Health, prefix: str, now_ms: int = 0) -> None:
    """Record five consecutive failures on one worker."""
    for number in range(5):
        run(health, W, f"{prefix}{number}", False, now_ms)


class QuarantineTest(unittest.TestCase):
    """Quarantine of failing workers."""

    def test_five_failures_in_a_row(self) -> None:
        """Guards against a broken worker that keeps getting tasks."""
        health = Health()
        for number in range(4):
            run(health, W, f"a{number}", False)
        self.assertFalse(health.is_quarantined(W, 0))
        run(health, W, "a4", False)
        self.assertTrue(health.is_quarantined(W, 29_999))
        self.assertFalse(health.may_start(W, True, 29_999))
        self.assertTrue(health.may_start(WorkerId("w2"), False, 0))

    def test_over_half_of_the_last_twenty(self) -> None:
        """Guards against a failing worker that avoids quarantine through occasional successes."""
        health = Health()
        for number in range(20):
            run(health, W, f"a{number}", number % 2 == 0)
        self.assertFalse(health.is_quarantined(W, 0))
        run(health, W, "b", False)
        self.assertTrue(health.is_quarantined(W, 0))

    def test_one_repeatable_probe_at_a_time(self) -> None:
        """Guards against a non-repeatable task, or many tasks, lost on a broken worker."""
        health = Health()
        quarantine(health, "a")
        self.assertFalse(health.may_start(W, False, 30_000))
        for number in range(3):
            self.assertTrue(health.may_start(W, True, 30_000))
            health.started(W, TaskId(f"p{number}"))
            self.assertFalse(health.may_start(W, True, 30_000))
            health.succeeded(W, TaskId(f"p{number}"), 31_000)
        self.assertTrue(health.may_start(W, False, 31_000))

    def test_quarantine_doubles_to_ten_minutes(self) -> None:
        """Guards against probing a broken worker too often, or never again."""
        health, now_ms, lengths = Health(), 0, []
        quarantine(health, "a")
        for number in range(7):
            lengths.append(health.quarantine_until_ms(W) - now_ms)
            now_ms = health.quarantine_until_ms(W)
            run(health, W, f"late{number}", False, now_ms - 1)
            run(health, W, f"p{number}", False, now_ms)
        expected = [30_000, 60_000, 120_000, 240_000, 480_000, 600_000, 600_000]
        self.assertEqual(lengths, expected)

    def test_backoff_is_reset_after_a_period_without_quarantine(self) -> None:
        """Guards against a short quarantine after a recent one, and a long one much later."""
        for later_ms, expected in [(1_000, 60_000), (700_000, 30_000)]:
            health = Health()
            quarantine(health, "a")
            for number in range(3):
                run(health, W, f"p{number}", True, 30_000)
            quarantine(health, "b", 30_000 + later_ms)
            self.assertEqual(health.quarantine_until_ms(W), 30_000 + later_ms + expected)

    def test_fast_failures_do_not_attract_work(self) -> None:
        """Guards against a worker that gets most tasks because it fails fast and looks empty."""
        health, started = Health(), 0
        health.started(W, TaskId("first"))
        health.failed(W, TaskId("first"), 0)
        while health.may_start(W, True, 0):
            burst = []
            while health.may_start(W, True, 0):
                burst.append(TaskId(f"t{started}"))
                health.started(W, burst[-1])
                started += 1
            for task in burst:
                health.failed(W, task, 0)
        self.assertLessEqual(started, 5)
        self.assertGreater(health.recent_failures(W), health.recent_failures(WorkerId("w2")))

    def test_stopped_tasks_do_not_block_a_probe(self) -> None:
        """Guards against a worker that stays quarantined because its probe was cancelled."""
        health = Health()
        quarantine(health, "a")
        health.started(W, TaskId("p"))
        health.dropped(W, TaskId("p"))
        self.assertTrue(health.may_start(W, True, 30_000))

    def test_starts_before_the_quarantine_do_not_block_its_probes(self) -> None:
        """Guards against a worker that is never used again beside a task that does not end."""
        health = Health()
        health.started(W, TaskId("service"))
        quarantine(health, "a")
        for number in range(3):
            self.assertTrue(health.may_start(W, True, 30_000))
            health.started(W, TaskId(f"p{number}"))
            self.assertFalse(health.may_start(W, True, 30_000))
            health.succeeded(W, TaskId(f"p{number}"), 31_000)
        self.assertTrue(health.may_start(W, False, 31_000))


class TaskFaultTest(unittest.TestCase):
    """Tasks that fail on every worker."""

    def test_failures_on_three_workers_are_a_task_fault(self) -> None:
        """Guards against retrying a faulty task forever."""
        health = Health()
        workers = [W, W, WorkerId("w2"), WorkerId("w3")]
        verdicts = [run(health, worker, "bad", False) for worker in workers]
        self.assertEqual(verdicts, [FailureVerdict.RETRY] * 3 + [FailureVerdict.TASK_FAULT])
        self.assertEqual(health.failed_workers(TaskId("bad")), set(workers))
        self.assertEqual([health.recent_failures(worker) for worker in workers], [0] * 4)

    def test_broken_batch_does_not_quarantine_all_workers(self) -> None:
        """Guards against one faulty job that quarantines all workers."""
        health = Health()
        workers = [WorkerId(f"w{number}") for number in range(3)]
        for worker in workers:
            for number in range(6):
                run(health, worker, f"bad{number}", False)
        self.assertEqual([health.is_quarantined(worker, 1) for worker in workers], [False] * 3)

    def test_memory_is_bounded(self) -> None:
        """Guards against a memory leak: the number of recorded failed tasks is limited."""
        health = Health()
        for number in range(10_050):
            run(health, W, f"t{number}", False)
        self.assertEqual(len(health._failed_on), 10_000)
        health.forget_worker(W)
        self.assertEqual(health._workers, {})
