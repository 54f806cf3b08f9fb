"""Result code and restart of a task after its end on a worker."""

from lagoonshelf_core.errors import ResultCode
from lagoonshelf_core.model import Task, WorkKind

MAX_FAILURES = 3
# States in which a worker or an owner interrupted the task, which is no failure of the task.
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
    """Return the result code for the final state of a task on a worker."""
    return _CODES.get(state, ResultCode.TASK_FAILED)


def should_restart(task: Task, state: str, requeue: bool = True) -> bool:
    """Return whether a task is to be started again after its end.

    :param requeue: whether an interrupted task is to be queued again
    """
    if task.kind is WorkKind.SERVICE:
        return task.repeatable or state not in ("lapsed", "lost")
    if not task.repeatable:
        return False
    if state in INTERRUPTED:
        return requeue
    return state == "failed" and task.failures + 1 < MAX_FAILURES
