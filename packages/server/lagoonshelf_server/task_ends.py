"""What the end of a task on a worker means for its request."""

from lagoonshelf_core.errors import ResultCode
from lagoonshelf_core.model import Task

MAX_FAILURES = 3
_CODES = {
    "finished": ResultCode.OK,
    "failed": ResultCode.TASK_FAILED,
    "stopped": ResultCode.CANCELLED_RUNNING,
    "checkpointed": ResultCode.CANCELLED_RUNNING,
    "lapsed": ResultCode.OUTCOME_UNKNOWN,
    "lost": ResultCode.OUTCOME_UNKNOWN,
}


def code_of_end(state: str) -> ResultCode:
    """Return the result code of a worker's final state of a task."""
    return _CODES.get(state, ResultCode.TASK_FAILED)


def runs_again(task: Task, state: str) -> bool:
    """Tell whether a task waits for another start, and count its failure.

    A checkpointed task was stopped by its owner to make room; this is no failure.
    """
    if not task.repeatable:
        return False
    if state in ("checkpointed", "lost"):
        return True
    if code_of_end(state) is not ResultCode.TASK_FAILED or task.failures + 1 >= MAX_FAILURES:
        return False
    task.failures += 1
    return True
