"""What the end of a task on a worker means for its request."""

from lagoonshelf_core.errors import ResultCode
from lagoonshelf_core.model import Task, WorkKind

MAX_FAILURES = 3
# States in which a worker or an owner cut the task off, which is no failure of the task.
INTERRUPTED = ("stopped", "checkpointed", "lapsed", "lost")
_CODES = {
    "finished": ResultCode.OK,
    "failed": ResultCode.TASK_FAILED,
    "stopped": ResultCode.CANCELLED_RUNNING,
    "checkpointed": ResultCode.CANCELLED_RUNNING,
    "lapsed": ResultCode.OUTCOME_UNKNOWN,
    "lost": ResultCode.OUTCOME_UNKNOWN,
}


def result_code_of(state: str) -> ResultCode:
    """Return the result code of a worker's final state of a task."""
    return _CODES.get(state, ResultCode.TASK_FAILED)


def should_restart(task: Task, state: str, requeue: bool = True) -> bool:
    """Tell whether a task waits for another start after its end.

    :param requeue: whether an interrupted task is wanted again
    """
    if task.kind is WorkKind.SERVICE:
        return task.repeatable or state not in ("lapsed", "lost")
    if not task.repeatable:
        return False
    if state in INTERRUPTED:
        return requeue
    return state == "failed" and task.failures + 1 < MAX_FAILURES
