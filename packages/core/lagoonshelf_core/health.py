"""Quarantine of workers that fail everything, and blame of tasks that fail everywhere."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum

from lagoonshelf_core.ids import TaskId, WorkerId

STREAK_LIMIT = 5
HISTORY = 20
FIRST_QUARANTINE_MS = 30_000
MAX_QUARANTINE_MS = 600_000
# Time without quarantine after which the next one is short again.
BACKOFF_RESET_MS = 600_000
PROBES_TO_CLEAR = 3
TASK_WORKER_LIMIT = 3
MAX_FAILED_TASKS = 10_000
# Unresolved starts a worker may have after its first failure; fewer after each further one. A
# worker that fails fast always looks empty and would get most starts before it is quarantined.
SUSPECT_STARTS = 4


@dataclass(frozen=True, slots=True)
class HealthLimits:
    """When a worker is kept away from work, and for how long.

    :param streak: failures in a row that begin a quarantine
    :param history: recent outcomes; a quarantine begins when over half of them failed
    :param task_workers: workers on which a task may fail before it is blamed itself
    """

    streak: int = STREAK_LIMIT
    history: int = HISTORY
    first_quarantine_ms: int = FIRST_QUARANTINE_MS
    max_quarantine_ms: int = MAX_QUARANTINE_MS
    backoff_reset_ms: int = BACKOFF_RESET_MS
    probes_to_clear: int = PROBES_TO_CLEAR
    max_failed_workers: int = TASK_WORKER_LIMIT
    starts_after_failure: int = SUSPECT_STARTS


class FailureVerdict(Enum):
    """What a failure says about the task."""

    RETRY = "retry"
    TASK_FAULT = "task_fault"


@dataclass(slots=True)
class _Worker:
    """Outcomes of one worker.

    :param outcomes: task and whether it ended well, newest last
    :param until_ms: end of the quarantine
    :param probes: probes that ended well since the quarantine
    """

    limits: HealthLimits
    outcomes: deque[tuple[TaskId, bool]] = field(default_factory=deque)
    unresolved: set[TaskId] = field(default_factory=set)
    suspended: bool = False
    until_ms: int = 0
    quarantine_ms: int = 0
    cleared_ms: int = 0
    probes: int = 0

    def note(self, task: TaskId, succeeded: bool) -> None:
        """Add an outcome and drop the oldest one beyond the history."""
        self.outcomes.append((task, succeeded))
        if len(self.outcomes) > self.limits.history:
            self.outcomes.popleft()

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

    def is_bad(self) -> bool:
        """Tell whether the recent outcomes call for a quarantine."""
        return self.streak() >= self.limits.streak or self.failures() > self.limits.history // 2


class Health:
    """Health of the workers of one partition, judged by the outcomes of their tasks.

    A stopped or cancelled task is neither a success nor a failure: report it with ``dropped``.
    """

    def __init__(self, limits: HealthLimits | None = None) -> None:
        """Start with all workers trusted."""
        self._limits = limits or HealthLimits()
        self._workers: dict[WorkerId, _Worker] = {}
        self._failed_on: OrderedDict[TaskId, set[WorkerId]] = OrderedDict()

    def may_start(self, worker: WorkerId, repeatable: bool, now_ms: int) -> bool:
        """Tell whether a worker may get another task now.

        :param repeatable: only such tasks are risked on a worker after its quarantine
        """
        entry = self._workers.get(worker)
        if entry is None:
            return True
        if entry.suspended:
            return now_ms >= entry.until_ms and repeatable and not entry.unresolved
        streak = entry.streak()
        if streak == 0:
            return True
        return len(entry.unresolved) < max(1, self._limits.starts_after_failure - streak + 1)

    def recent_failures(self, worker: WorkerId) -> int:
        """Return the recent failures; placement prefers workers with fewer before free room."""
        entry = self._workers.get(worker)
        return 0 if entry is None else entry.failures()

    def is_quarantined(self, worker: WorkerId, now_ms: int) -> bool:
        """Tell whether a worker gets no task at all."""
        entry = self._workers.get(worker)
        return entry is not None and entry.suspended and now_ms < entry.until_ms

    def quarantine_until_ms(self, worker: WorkerId) -> int:
        """Return when the worker's quarantine ends, 0 when it is trusted."""
        entry = self._workers.get(worker)
        return entry.until_ms if entry is not None and entry.suspended else 0

    def failed_workers(self, task: TaskId) -> frozenset[WorkerId]:
        """Return the workers on which a task failed, so that it is tried on another one."""
        return frozenset(self._failed_on.get(task, ()))

    def started(self, worker: WorkerId, task: TaskId) -> None:
        """Note a start whose outcome is open."""
        self._workers.setdefault(worker, _Worker(self._limits)).unresolved.add(task)

    def dropped(self, worker: WorkerId, task: TaskId) -> None:
        """Note that a start ended without an outcome of its own: stopped, cancelled, refused."""
        entry = self._workers.get(worker)
        if entry is not None:
            entry.unresolved.discard(task)

    def succeeded(self, worker: WorkerId, task: TaskId, now_ms: int) -> None:
        """Note that a task ended well."""
        self._failed_on.pop(task, None)
        entry = self._workers.setdefault(worker, _Worker(self._limits))
        entry.unresolved.discard(task)
        entry.note(task, True)
        if not entry.suspended or now_ms < entry.until_ms:
            return
        entry.probes += 1
        if entry.probes >= self._limits.probes_to_clear:
            _clear(entry, now_ms)

    def failed(self, worker: WorkerId, task: TaskId, now_ms: int) -> FailureVerdict:
        """Note that a task failed, and tell whether to try it again."""
        entry = self._workers.setdefault(worker, _Worker(self._limits))
        entry.unresolved.discard(task)
        entry.note(task, False)
        if self._blame(task, worker):
            self._acquit(task, now_ms)
            return FailureVerdict.TASK_FAULT
        _judge(entry, now_ms)
        return FailureVerdict.RETRY

    def forget_worker(self, worker: WorkerId) -> None:
        """Drop a worker that is gone or has restarted."""
        self._workers.pop(worker, None)

    def forget_task(self, task: TaskId) -> None:
        """Drop the failures of a task whose request ended."""
        self._failed_on.pop(task, None)

    def _blame(self, task: TaskId, worker: WorkerId) -> bool:
        """Count the worker against the task; tell whether the task is at fault."""
        workers = self._failed_on.setdefault(task, set())
        workers.add(worker)
        self._failed_on.move_to_end(task)
        if len(self._failed_on) > MAX_FAILED_TASKS:
            self._failed_on.popitem(last=False)
        return len(workers) >= self._limits.max_failed_workers

    def _acquit(self, task: TaskId, now_ms: int) -> None:
        """Take the failures of a task back from the workers it ran on."""
        for worker in self._failed_on[task]:
            entry = self._workers.get(worker)
            if entry is None:
                continue
            kept = [outcome for outcome in entry.outcomes if outcome != (task, False)]
            entry.outcomes = deque(kept)
            if entry.suspended and not entry.is_bad():
                _clear(entry, now_ms)


def _judge(entry: _Worker, now_ms: int) -> None:
    """Begin or lengthen the quarantine after a failure."""
    if entry.suspended:
        # Tasks started before the quarantine still fail during it; only a probe lengthens it.
        if now_ms >= entry.until_ms:
            _quarantine(entry, now_ms)
        return
    if not entry.is_bad():
        return
    if now_ms - entry.cleared_ms > entry.limits.backoff_reset_ms:
        entry.quarantine_ms = 0
    _quarantine(entry, now_ms)


def _quarantine(entry: _Worker, now_ms: int) -> None:
    doubled_ms = min(entry.quarantine_ms * 2, entry.limits.max_quarantine_ms)
    entry.quarantine_ms = max(doubled_ms, entry.limits.first_quarantine_ms)
    entry.suspended = True
    entry.until_ms = now_ms + entry.quarantine_ms
    entry.probes = 0


def _clear(entry: _Worker, now_ms: int) -> None:
    """Trust the worker again; the length of the last quarantine is kept for a while."""
    entry.suspended = False
    entry.cleared_ms = now_ms
    entry.probes = 0
    entry.outcomes.clear()
