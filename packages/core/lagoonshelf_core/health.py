"""Quarantine of failing workers, and detection of tasks that fail on every worker."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum

from lagoonshelf_core.ids import TaskId, WorkerId

STREAK_LIMIT = 5
HISTORY = 20
FIRST_QUARANTINE_MS = 30_000
MAX_QUARANTINE_MS = 600_000
# Time without quarantine after which the next quarantine has its initial length again.
BACKOFF_RESET_MS = 600_000
PROBES_TO_CLEAR = 3
MAX_FAILED_WORKERS = 3
MAX_FAILED_TASKS = 10_000
# Limit on a worker's open starts after its first failure, reduced by one with each further one.
# A worker that fails fast always looks empty and would get most starts before its quarantine.
STARTS_AFTER_FAILURE = 4


@dataclass(frozen=True, slots=True)
class HealthLimits:
    """Limits for the quarantine of workers and for task faults.

    :param streak: consecutive failures that start a quarantine
    :param history: number of recent outcomes; a quarantine starts when over half of them failed
    :param backoff_reset_ms: time without quarantine after which its length is reset
    :param probes_to_clear: successful probes that end a quarantine
    :param max_failed_workers: failures on this many workers are the task's fault
    :param starts_after_failure: limit on open starts after a first failure
    """

    streak: int = STREAK_LIMIT
    history: int = HISTORY
    first_quarantine_ms: int = FIRST_QUARANTINE_MS
    max_quarantine_ms: int = MAX_QUARANTINE_MS
    backoff_reset_ms: int = BACKOFF_RESET_MS
    probes_to_clear: int = PROBES_TO_CLEAR
    max_failed_workers: int = MAX_FAILED_WORKERS
    starts_after_failure: int = STARTS_AFTER_FAILURE


class FailureVerdict(Enum):
    """Conclusion from a failure: retry the task, or the task is at fault."""

    RETRY = "retry"
    TASK_FAULT = "task_fault"


@dataclass(slots=True)
class _WorkerHistory:
    """Recent outcomes and quarantine state of one worker.

    :param outcomes: task and whether it succeeded, newest last
    :param open_starts: started tasks without an outcome
    :param open_probes: those of them that were started since the quarantine began
    :param quarantined_until_ms: end of the quarantine
    :param quarantine_ms: length of the last quarantine
    :param cleared_ms: when the last quarantine was cleared
    :param probes: successful probes since the quarantine
    """

    limits: HealthLimits
    outcomes: deque[tuple[TaskId, bool]] = field(default_factory=deque)
    open_starts: set[TaskId] = field(default_factory=set)
    open_probes: set[TaskId] = field(default_factory=set)
    quarantined: bool = False
    quarantined_until_ms: int = 0
    quarantine_ms: int = 0
    cleared_ms: int = 0
    probes: int = 0

    def add_outcome(self, task: TaskId, succeeded: bool) -> None:
        """Add an outcome and remove the oldest one beyond the history length."""
        self.outcomes.append((task, succeeded))
        if len(self.outcomes) > self.limits.history:
            self.outcomes.popleft()

    def close_start(self, task: TaskId) -> None:
        """Remove a started task that has an outcome, or will have none."""
        self.open_starts.discard(task)
        self.open_probes.discard(task)

    def streak(self) -> int:
        """Return the number of failures since the last success."""
        count = 0
        for _, succeeded in reversed(self.outcomes):
            if succeeded:
                break
            count += 1
        return count

    def failures(self) -> int:
        """Return the number of failures among the recent outcomes."""
        return sum(not succeeded for _, succeeded in self.outcomes)

    def is_unhealthy(self) -> bool:
        """Return whether the recent outcomes require a quarantine."""
        return self.streak() >= self.limits.streak or self.failures() > self.limits.history // 2


class Health:
    """Health of the workers of one partition, based on the outcomes of their tasks.

    A stopped or cancelled task is neither a success nor a failure: report it with ``dropped``.
    """

    def __init__(self, limits: HealthLimits | None = None) -> None:
        """Initialize with all workers healthy."""
        self._limits = limits or HealthLimits()
        self._workers: dict[WorkerId, _WorkerHistory] = {}
        self._failed_on: OrderedDict[TaskId, set[WorkerId]] = OrderedDict()

    def may_start(self, worker: WorkerId, repeatable: bool, now_ms: int) -> bool:
        """Return whether a worker may get another task now.

        :param repeatable: only repeatable tasks are used as probes after a quarantine
        """
        worker_history = self._workers.get(worker)
        if worker_history is None:
            return True
        if worker_history.quarantined:
            # Earlier starts show nothing about the worker as it is now, and may last.
            return (
                now_ms >= worker_history.quarantined_until_ms
                and repeatable
                and not worker_history.open_probes
            )
        streak = worker_history.streak()
        if streak == 0:
            return True
        return len(worker_history.open_starts) < max(
            1, self._limits.starts_after_failure - streak + 1
        )

    def recent_failures(self, worker: WorkerId) -> int:
        """Return the number of failures among a worker's recent outcomes."""
        worker_history = self._workers.get(worker)
        return 0 if worker_history is None else worker_history.failures()

    def is_quarantined(self, worker: WorkerId, now_ms: int) -> bool:
        """Return whether a worker is quarantined and may not be probed yet."""
        worker_history = self._workers.get(worker)
        return (
            worker_history is not None
            and worker_history.quarantined
            and now_ms < worker_history.quarantined_until_ms
        )

    def is_on_probe(self, worker: WorkerId, now_ms: int) -> bool:
        """Return whether a quarantine has passed, and its probes have not succeeded yet."""
        worker_history = self._workers.get(worker)
        return (
            worker_history is not None
            and worker_history.quarantined
            and now_ms >= worker_history.quarantined_until_ms
        )

    def quarantine_until_ms(self, worker: WorkerId) -> int:
        """Return when the worker's quarantine ends, 0 when it is not quarantined."""
        worker_history = self._workers.get(worker)
        return (
            worker_history.quarantined_until_ms
            if worker_history is not None and worker_history.quarantined
            else 0
        )

    def failed_workers(self, task: TaskId) -> frozenset[WorkerId]:
        """Return the workers on which a task failed; a retry should use another one."""
        return frozenset(self._failed_on.get(task, ()))

    def started(self, worker: WorkerId, task: TaskId) -> None:
        """Record the start of a task."""
        worker_history = self._workers.setdefault(worker, _WorkerHistory(self._limits))
        worker_history.open_starts.add(task)
        if worker_history.quarantined:
            worker_history.open_probes.add(task)

    def dropped(self, worker: WorkerId, task: TaskId) -> None:
        """Record that a start ended without an outcome: stopped, cancelled or refused."""
        worker_history = self._workers.get(worker)
        if worker_history is not None:
            worker_history.close_start(task)

    def succeeded(self, worker: WorkerId, task: TaskId, now_ms: int) -> None:
        """Record that a task succeeded."""
        self._failed_on.pop(task, None)
        worker_history = self._workers.setdefault(worker, _WorkerHistory(self._limits))
        worker_history.close_start(task)
        worker_history.add_outcome(task, True)
        if not worker_history.quarantined or now_ms < worker_history.quarantined_until_ms:
            return
        worker_history.probes += 1
        if worker_history.probes >= self._limits.probes_to_clear:
            _end_quarantine(worker_history, now_ms)

    def failed(self, worker: WorkerId, task: TaskId, now_ms: int) -> FailureVerdict:
        """Record that a task failed, and return whether to retry it."""
        worker_history = self._workers.setdefault(worker, _WorkerHistory(self._limits))
        worker_history.close_start(task)
        worker_history.add_outcome(task, False)
        if self._count_failed_worker(task, worker):
            self._discard_task_failures(task, now_ms)
            return FailureVerdict.TASK_FAULT
        _update_quarantine(worker_history, now_ms)
        return FailureVerdict.RETRY

    def forget_worker(self, worker: WorkerId) -> None:
        """Remove the history of a worker that was removed or has restarted."""
        self._workers.pop(worker, None)

    def forget_task(self, task: TaskId) -> None:
        """Remove the failures of a task whose request ended."""
        self._failed_on.pop(task, None)

    def _count_failed_worker(self, task: TaskId, worker: WorkerId) -> bool:
        """Add a worker on which the task failed; return whether the task is at fault."""
        workers = self._failed_on.setdefault(task, set())
        workers.add(worker)
        self._failed_on.move_to_end(task)
        if len(self._failed_on) > MAX_FAILED_TASKS:
            self._failed_on.popitem(last=False)
        return len(workers) >= self._limits.max_failed_workers

    def _discard_task_failures(self, task: TaskId, now_ms: int) -> None:
        """Remove the failures of a faulty task from the outcomes of its workers."""
        for worker in self._failed_on[task]:
            worker_history = self._workers.get(worker)
            if worker_history is None:
                continue
            kept = [outcome for outcome in worker_history.outcomes if outcome != (task, False)]
            worker_history.outcomes = deque(kept)
            if worker_history.quarantined and not worker_history.is_unhealthy():
                _end_quarantine(worker_history, now_ms)


def _update_quarantine(worker_history: _WorkerHistory, now_ms: int) -> None:
    """Start or extend the quarantine of a worker after a failure."""
    if worker_history.quarantined:
        # Tasks started before the quarantine may fail during it; only a failed probe extends it.
        if now_ms >= worker_history.quarantined_until_ms:
            _quarantine(worker_history, now_ms)
        return
    if not worker_history.is_unhealthy():
        return
    if now_ms - worker_history.cleared_ms > worker_history.limits.backoff_reset_ms:
        worker_history.quarantine_ms = 0
    _quarantine(worker_history, now_ms)


def _quarantine(worker_history: _WorkerHistory, now_ms: int) -> None:
    doubled_ms = min(worker_history.quarantine_ms * 2, worker_history.limits.max_quarantine_ms)
    worker_history.quarantine_ms = max(doubled_ms, worker_history.limits.first_quarantine_ms)
    worker_history.quarantined = True
    worker_history.quarantined_until_ms = now_ms + worker_history.quarantine_ms
    worker_history.probes = 0


def _end_quarantine(worker_history: _WorkerHistory, now_ms: int) -> None:
    """End the quarantine; its length is kept until ``backoff_reset_ms`` has passed."""
    worker_history.quarantined = False
    worker_history.cleared_ms = now_ms
    worker_history.probes = 0
    worker_history.open_probes.clear()
    worker_history.outcomes.clear()
