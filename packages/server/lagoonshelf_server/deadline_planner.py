"""Raises the class of work close to its deadline; warns of deadlines that will be missed."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.deadlines import (
    DeadlineMonitor,
    DueTask,
    forecast_queue,
    next_deadline,
    plan_queue,
)
from lagoonshelf_core.document import QueueConfig
from lagoonshelf_core.ids import QueueId, TaskId
from lagoonshelf_core.model import Task, TaskState, WorkClass
from lagoonshelf_server import metrics
from lagoonshelf_server.config_sync import ConfigSync
from lagoonshelf_server.corrections import Corrections
from lagoonshelf_server.logs import logger

# Slack is measured in minutes, and each plan reads all tasks of the queue.
PLAN_INTERVAL_MS = 5_000
WARNING_INTERVAL_MS = 60_000
_log = logger("deadlines")


class DeadlinePlanner:
    """Plans the work with deadlines of one partition."""

    def __init__(self, clock: Clock, config: ConfigSync, corrections: Corrections) -> None:
        """Initialize without a plan."""
        self._clock = clock
        self._config = config
        self._corrections = corrections
        self._monitor = DeadlineMonitor()
        self._effective_classes: dict[TaskId, WorkClass] = {}
        self._warned_ms: dict[QueueId, int] = {}
        self._planned_ms: int | None = None

    def effective_class(self, task: Task, now_ms: int) -> WorkClass:
        """Return the work class of a waiting task in the last plan."""
        del now_ms
        return self._effective_classes.get(task.task, task.work_class)

    def begin_pass(self, tasks: Iterable[Task], free_slots: Callable[[], int]) -> None:
        """Plan all queues with deadlines again if the last plan is too old.

        :param tasks: all tasks that the scheduler knows
        :param free_slots: return the number of free slots on ready workers
        """
        now_ms = self._clock.now_ms()
        if self._planned_ms is not None and now_ms - self._planned_ms < PLAN_INTERVAL_MS:
            return
        self._planned_ms = now_ms
        self._effective_classes.clear()
        queues = self._due_tasks(tasks)
        if not queues:
            return
        free = free_slots()
        for queue, due in queues.items():
            self._plan(queue, due, free)

    def _due_tasks(self, tasks: Iterable[Task]) -> dict[QueueId, list[tuple[Task, int]]]:
        """Return the tasks that have a deadline, with the deadline, by queue."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        deadlines: dict[QueueId, list[tuple[Task, int]]] = defaultdict(list)
        for task in tasks:
            queue = self._config.document.queues.get(task.queue)
            due_ms = _deadline(task, queue, wall_ms - (now_ms - task.queued_ms))
            if due_ms:
                deadlines[task.queue].append((task, due_ms))
        return deadlines

    def _plan(self, queue: QueueId, due: list[tuple[Task, int]], free: int) -> None:
        wall_ms = self._clock.wall_ms()
        waiting = [
            DueTask(task.task, self._corrections.run_ms(task), due_ms)
            for task, due_ms in due
            if task.state is TaskState.QUEUED
        ]
        running = [
            DueTask(task.task, self._remaining_ms(task), due_ms)
            for task, due_ms in due
            if task.state is not TaskState.QUEUED
        ]
        # While no task of the queue runs and no slot is free, the plan assumes one slot, which
        # raises work too early rather than too late. The class drops again as tasks start.
        slots = max(1, len(running) + free)
        base = due[0][0].work_class
        for plan in plan_queue(waiting, slots, base, wall_ms):
            self._effective_classes[plan.task] = plan.work_class
        self._warn(queue, waiting, running, slots)

    def _remaining_ms(self, task: Task) -> int:
        elapsed_ms = max(0, self._clock.now_ms() - task.started_ms)
        estimates = self._corrections.estimates
        return estimates.remaining_ms(task.team, task.queue, task.run_ms, elapsed_ms)

    def _warn(
        self, queue: QueueId, waiting: list[DueTask], running: list[DueTask], slots: int
    ) -> None:
        """Log that a deadline will be missed, at most once a minute for each queue."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        warned_ms = self._warned_ms.get(queue)
        if warned_ms is not None and now_ms - warned_ms < WARNING_INTERVAL_MS:
            return
        forecasts = forecast_queue(waiting, running, slots, wall_ms)
        warnings = self._monitor.check(queue, forecasts, wall_ms)
        if warnings:
            self._warned_ms[queue] = now_ms
            metrics.deadline_warnings.add({"queue": queue}, len(warnings))
            _log.warning(
                "forecast", queue=queue, reason=warnings[0].reason, more=len(warnings) - 1
            )


def _deadline(task: Task, queue: QueueConfig | None, accepted_wall_ms: int) -> int:
    """Return the earlier of the task's own and its queue's deadline, 0 if there is none."""
    deadlines = [task.deadline_wall_ms] if task.deadline_wall_ms else []
    if queue is not None and queue.finish_by:
        deadlines.append(next_deadline(queue.finish_by, accepted_wall_ms))
    return min(deadlines, default=0)
