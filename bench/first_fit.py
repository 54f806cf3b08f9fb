"""Baseline scheduler: first in, first out, on the first worker with enough free capacity."""

from collections.abc import Callable

from lagoonshelf_core.commands import Start
from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.model import Task, TaskState, WorkerInfo, WorkerState
from lagoonshelf_core.resources import Resources


class FirstFitScheduler:
    """Scans the whole queue and all workers in order; has no work classes, shares or gangs."""

    def __init__(self) -> None:
        """Set up without workers and tasks."""
        self.tasks: dict[TaskId, Task] = {}
        self._queue: list[TaskId] = []
        self._free: dict[WorkerId, Resources] = {}

    def set_worker(self, info: WorkerInfo, state: WorkerState) -> None:
        """Add a worker; the state is ignored."""
        self._free[info.worker] = info.capacity

    def enqueue(self, task: Task) -> None:
        """Add a waiting task."""
        self.tasks[task.task] = task
        self._queue.append(task.task)

    def release(self, task_id: TaskId) -> None:
        """Remove a task and release its allocation."""
        task = self.tasks.pop(task_id)
        if task.worker is None:
            self._queue.remove(task_id)
        else:
            self._free[task.worker] += task.size

    def run_pass(self, now_ms: int, may_start: Callable[[Task], bool]) -> list[Start]:
        """Start each waiting task that fits on a worker, in order of arrival."""
        commands = []
        waiting = []
        for task_id in self._queue:
            task = self.tasks[task_id]
            worker = self._first_fit(task.size)
            if worker is None or not may_start(task):
                waiting.append(task_id)
                continue
            self._free[worker] -= task.size
            task.worker = worker
            task.state = TaskState.STARTING
            commands.append(Start(task_id, worker))
        self._queue = waiting
        return commands

    def _first_fit(self, size: Resources) -> WorkerId | None:
        for worker, free in self._free.items():
            if size.fits_in(free):
                return worker
        return None
