"""Tests of the result code and the restart of a task after its end."""

import unittest
from types import SimpleNamespace

from lagoonshelf_core.errors import ResultCode
from lagoonshelf_core.model import WorkKind
from lagoonshelf_server.task_ends import result_code_of, should_restart


class TaskEndsTest(unittest.TestCase):
    """Ends that lead to another start."""

    def test_checkpointed_work_does_not_count_as_failed(self) -> None:
        """Guards against counting preemptions with a checkpoint as failures of the task."""
        task = SimpleNamespace(kind=WorkKind.BATCH, repeatable=True, failures=2)
        self.assertTrue(should_restart(task, "checkpointed"))

    def test_third_failure_is_final(self) -> None:
        """Guards against failing work that is retried without end."""
        tasks = [
            SimpleNamespace(kind=WorkKind.BATCH, repeatable=True, failures=failures)
            for failures in range(3)
        ]
        self.assertEqual([should_restart(task, "failed") for task in tasks], [True, True, False])
        self.assertIs(result_code_of("failed"), ResultCode.TASK_FAILED)

    def test_work_not_to_be_repeated_never_runs_again(self) -> None:
        """Guards against a second run with side effects, such as a second stock reservation."""
        task = SimpleNamespace(kind=WorkKind.BATCH, repeatable=False, failures=0)
        states = ("failed", "lost", "lapsed", "checkpointed", "stopped")
        self.assertFalse(any(should_restart(task, state) for state in states))
