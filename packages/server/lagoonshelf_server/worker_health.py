"""Keeps work away from failing workers, and tasks away from workers on which they failed."""

from collections.abc import Callable, Iterable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.commands import Command, Start
from lagoonshelf_core.health import FailureVerdict, Health
from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.model import Task, TaskState, WorkerInfo, WorkKind

# Interval at which starts that ended without a report (refused, lost) are detected.
SWEEP_INTERVAL_MS = 1_000
# A replica of a service that has run for this long has started well; the jobs engine clears a task
# that was alive this long as well.
SERVICE_SETTLE_MS = 10_000


class WorkerHealth:
    """Health of the workers of one partition, as used by scheduling passes."""

    def __init__(self, clock: Clock, ready_workers: Callable[[], Iterable[WorkerInfo]]) -> None:
        """Initialize with no worker quarantined.

        :param ready_workers: return the workers that may get tasks
        """
        self.health = Health()
        self._clock = clock
        self._ready_workers = ready_workers
        self._allowed: dict[TaskId, WorkerId] = {}
        self._started: dict[TaskId, WorkerId] = {}
        self._last_sweep_ms = 0

    def may_use(self, worker: WorkerId, task: Task) -> bool:
        """Return whether a task may be placed on a worker.

        An allowed placement on a worker with failures counts as a start until the pass ends, so
        that one pass does not place more tasks there than the worker may get.
        """
        if self._allowed.get(task.task) == worker:
            return True
        if not self.health.may_start(worker, task.repeatable, self._clock.now_ms()):
            return False
        if worker in self.health.failed_workers(task.task) and self._fits_elsewhere(task):
            return False
        if self.health.recent_failures(worker):
            self._allow(worker, task.task)
        return True

    def begin_pass(self, tasks: dict[TaskId, Task]) -> None:
        """Remove starts whose tasks are not on that worker any more, and count running replicas.

        A replica of a service ends only with its request, so its start succeeds before.

        :param tasks: all tasks that the scheduler knows
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_sweep_ms < SWEEP_INTERVAL_MS:
            return
        self._last_sweep_ms = now_ms
        for name, worker in list(self._started.items()):
            task = tasks.get(name)
            if task is None or task.worker != worker:
                self._drop(name, worker)
            elif _has_settled(task, now_ms):
                del self._started[name]
                self.health.succeeded(worker, name, now_ms)

    def end_pass(self, commands: Iterable[Command]) -> None:
        """Record the starts of a pass and discard allowed placements that were not used."""
        started = {c.task: c.worker for c in commands if isinstance(c, Start)}
        for name, worker in self._allowed.items():
            if started.get(name) != worker:
                self.health.dropped(worker, name)
        self._allowed.clear()
        for name, worker in started.items():
            self.health.started(worker, name)
        self._started.update(started)

    def record_end(self, worker: WorkerId, task: TaskId, state: str) -> bool:
        """Record the reported end of a task.

        :param state: final state of the report
        :returns: whether the task is at fault, as it failed on too many workers
        """
        self._started.pop(task, None)
        if state == "finished":
            self.health.succeeded(worker, task, self._clock.now_ms())
        elif state == "failed":
            return (
                self.health.failed(worker, task, self._clock.now_ms()) is FailureVerdict.TASK_FAULT
            )
        else:
            self.health.dropped(worker, task)
        return False

    def _allow(self, worker: WorkerId, task: TaskId) -> None:
        previous = self._allowed.get(task)
        if previous is not None:
            self.health.dropped(previous, task)
        self._allowed[task] = worker
        self.health.started(worker, task)

    def _drop(self, task: TaskId, worker: WorkerId) -> None:
        del self._started[task]
        self.health.dropped(worker, task)

    def _fits_elsewhere(self, task: Task) -> bool:
        """Return whether the task fits on a worker that is not quarantined and did not fail it."""
        now_ms = self._clock.now_ms()
        failed_workers = self.health.failed_workers(task.task)
        return any(
            info.worker not in failed_workers
            and task.size.fits_in(info.capacity)
            and not self.health.is_quarantined(info.worker, now_ms)
            for info in self._ready_workers()
        )


def _has_settled(task: Task, now_ms: int) -> bool:
    """Return whether a task is a replica of a service that has started well."""
    is_running = task.kind is WorkKind.SERVICE and task.state is TaskState.RUNNING
    return is_running and now_ms - task.started_ms >= SERVICE_SETTLE_MS
