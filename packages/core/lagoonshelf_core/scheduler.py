"""The queue and the workers of one partition, and the pass that decides what starts."""

from collections.abc import Callable

from lagoonshelf_core.commands import Command, Start
from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.model import Task, TaskState, WorkerInfo, WorkerState
from lagoonshelf_core.resources import Resources

MayStart = Callable[[Task], bool]


class Scheduler:
    """Waiting and running tasks and the room on each worker of a partition."""

    def __init__(self) -> None:
        """Start with no workers and no tasks."""
        self.tasks: dict[TaskId, Task] = {}
        self._queue: dict[TaskId, None] = {}
        self._workers: dict[WorkerId, WorkerInfo] = {}
        self._states: dict[WorkerId, WorkerState] = {}
        self._free: dict[WorkerId, Resources] = {}

    def set_worker(self, info: WorkerInfo, state: WorkerState) -> None:
        """Add a worker or change what is known of it.

        :param info: the worker as the host list gives it
        :param state: only ready workers get new tasks
        """
        known = self._workers.get(info.worker)
        if known is None:
            self._free[info.worker] = info.capacity
        elif known.capacity != info.capacity:
            self._free[info.worker] += info.capacity - known.capacity
        self._workers[info.worker] = info
        self._states[info.worker] = state

    def remove_worker(self, worker: WorkerId) -> None:
        """Forget a worker that holds no task."""
        self._workers.pop(worker, None)
        self._states.pop(worker, None)
        self._free.pop(worker, None)

    def enqueue(self, task: Task) -> None:
        """Add a waiting task, or put a task back whose start was refused."""
        task.state = TaskState.QUEUED
        task.worker = None
        self.tasks[task.task] = task
        self._queue[task.task] = None

    def adopt(self, task: Task, worker: WorkerId) -> None:
        """Add a task that already runs on a worker."""
        self._queue.pop(task.task, None)
        self.tasks[task.task] = task
        task.worker = worker
        task.state = TaskState.RUNNING
        task.reserved = task.size
        if worker in self._free:
            self._free[worker] -= task.reserved

    def release(self, task_id: TaskId) -> Task | None:
        """Forget a task and free what it holds.

        :returns: the task, or none when it is not known
        """
        self._queue.pop(task_id, None)
        task = self.tasks.pop(task_id, None)
        if task is not None and task.worker in self._free:
            self._free[task.worker] += task.reserved
        return task

    def run_pass(self, now_ms: int, may_start: MayStart) -> list[Command]:
        """Decide what starts now and reserve room for it.

        :param now_ms: current time
        :param may_start: tells whether the team's upper limit allows a task
        """
        commands: list[Command] = []
        for task_id in list(self._queue):
            task = self.tasks[task_id]
            worker = self._first_fit(task.size)
            if worker is None or not may_start(task):
                continue
            self._reserve(task, worker, now_ms)
            commands.append(Start(task_id, worker))
        return commands

    def queue_length(self) -> int:
        """Return the number of waiting tasks."""
        return len(self._queue)

    def free(self) -> Resources:
        """Return the free room on ready workers."""
        total = Resources()
        for worker, room in self._free.items():
            if self._states[worker] is WorkerState.READY:
                total += room
        return total

    def _first_fit(self, size: Resources) -> WorkerId | None:
        for worker, room in self._free.items():
            if self._states[worker] is WorkerState.READY and size.fits_in(room):
                return worker
        return None

    def _reserve(self, task: Task, worker: WorkerId, now_ms: int) -> None:
        del self._queue[task.task]
        task.worker = worker
        task.state = TaskState.STARTING
        task.started_ms = now_ms
        task.attempt += 1
        task.reserved = task.size
        self._free[worker] -= task.reserved
