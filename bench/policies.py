"""Scheduling policies that the replay compares: two baselines and the real scheduler."""

from collections.abc import Callable, Iterable

from bench.workloads import Workload
from lagoonshelf_core.commands import Command, Start
from lagoonshelf_core.document import TeamConfig
from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.model import Task, TaskState, WorkerInfo, WorkerState, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.scheduler import Scheduler

MayStart = Callable[[Task], bool]
NO_LIMIT = 1_000_000_000


class FirstFitPolicy:
    """First-fit scheduler with priority levels and the interface of ``Scheduler``.

    A task that does not fit is skipped, so infeasible tasks do not block others. A gang starts
    when all its tasks fit at once. Tasks are never stopped, throttled or abandoned, and no slots
    are warmed up.
    """

    def __init__(self, levels: int, level_of: Callable[[Task], int]) -> None:
        """Set up without workers and tasks.

        :param levels: number of priority levels; level 0 is served first
        :param level_of: returns the priority level of a task
        """
        self.tasks: dict[TaskId, Task] = {}
        self._levels: list[dict[TaskId, None]] = [{} for _ in range(levels)]
        self._level_of = level_of
        self._free: dict[WorkerId, Resources] = {}

    def set_worker(self, info: WorkerInfo, state: WorkerState) -> None:
        """Add a worker if it is ready."""
        if state is WorkerState.READY:
            self._free.setdefault(info.worker, info.capacity)

    def enqueue(self, task: Task) -> None:
        """Add a waiting task."""
        task.state = TaskState.QUEUED
        task.worker = None
        self.tasks[task.task] = task
        self._levels[self._level_of(task)][task.task] = None

    def release(self, task_id: TaskId) -> Task | None:
        """Remove a task and release its allocation."""
        task = self.tasks.pop(task_id, None)
        if task is None:
            return None
        self._levels[self._level_of(task)].pop(task_id, None)
        if task.worker is not None:
            self._free[task.worker] += task.reserved
        return task

    def run_pass(self, now_ms: int, may_start: MayStart) -> list[Command]:
        """Start the tasks that fit, by priority level and then in order of arrival."""
        commands: list[Command] = []
        # Free capacity only shrinks during a pass, so a size that did not fit is not tried again.
        unplaceable: set[tuple[Resources, int]] = set()
        for level in self._levels:
            for task_id in list(level):
                if task_id not in level:
                    continue
                task = self.tasks[task_id]
                demand = (task.size, task.gang_size)
                if demand in unplaceable or not may_start(task):
                    continue
                placed = self._place(self._group(task, level))
                if not placed:
                    unplaceable.add(demand)
                commands.extend(self._start(placed, level, now_ms))
        return commands

    def queue_length(self) -> int:
        """Return the number of waiting tasks."""
        return sum(len(level) for level in self._levels)

    def _group(self, task: Task, level: Iterable[TaskId]) -> list[Task]:
        if task.kind is not WorkKind.GANG:
            return [task]
        waiting = (self.tasks[task_id] for task_id in level)
        return [other for other in waiting if other.request_key == task.request_key]

    def _place(self, group: list[Task]) -> list[tuple[Task, WorkerId]]:
        """Return a worker for each task of a group, or an empty list when not all of them fit."""
        free = dict(self._free) if len(group) > 1 else self._free
        placed = []
        for task in group:
            fitting = (
                worker for worker, available in free.items() if task.size.fits_in(available)
            )
            worker = next(fitting, None)
            if worker is None:
                return []
            if free is not self._free:
                free[worker] -= task.size
            placed.append((task, worker))
        return placed

    def _start(
        self, placed: list[tuple[Task, WorkerId]], level: dict[TaskId, None], now_ms: int
    ) -> list[Command]:
        for task, worker in placed:
            del level[task.task]
            task.worker = worker
            task.state = TaskState.STARTING
            task.started_ms = now_ms
            task.attempt += 1
            task.reserved = task.size
            self._free[worker] -= task.reserved
        return [Start(task.task, worker) for task, worker in placed]


def make_fifo(_workload: Workload) -> FirstFitPolicy:
    """Return a first-in-first-out policy with first fit."""
    return FirstFitPolicy(1, lambda task: 0)


def make_strict_priority(_workload: Workload) -> FirstFitPolicy:
    """Return a strict-priority policy: each work class is served after all higher ones."""
    return FirstFitPolicy(3, lambda task: task.work_class.value)


def make_scheduler(workload: Workload) -> Scheduler:
    """Return the real scheduler, configured for a workload without effective team limits."""
    scheduler = Scheduler()
    teams = {
        team: TeamConfig(share=share, limit_tasks=NO_LIMIT, limit_cpu_milli=NO_LIMIT)
        for team, share in workload.shares.items()
    }
    scheduler.set_policy(teams, workload.queues)
    return scheduler


POLICIES = {"fifo": make_fifo, "strict": make_strict_priority, "real": make_scheduler}
