"""Corrected run times and sizes per job class, from delayed and incomplete reports."""

import math
from bisect import bisect_right
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from lagoonshelf_core.ids import QueueId, TeamId
from lagoonshelf_core.resources import Resources

# Only recent reports count, so that a change in the work of a class takes effect within one job.
WINDOW_SIZE = 64
MAX_CLASSES = 4_096
# With fewer reports a quantile is unreliable, so the declared amount is a lower limit.
MIN_REPORTS = 5
# An underestimated run time breaks deadlines and backfill; an overestimate only wastes capacity.
RUN_QUANTILE = 0.9
PEAK_QUANTILE = 0.95
SIZE_MARGIN_PERCENT = 10
DEFAULT_RUN_MS = 60_000
# Factor for a task that runs longer than all reports of its class.
OVERRUN_FACTOR = 1.5

JobClass = tuple[TeamId, QueueId]


def quantile(ordered: list[int], fraction: float) -> int:
    """Return the nearest-rank quantile of a sorted, non-empty list.

    :param fraction: above 0, at most 1
    """
    return ordered[math.ceil(fraction * len(ordered)) - 1]


class _Window:
    """Last reported amounts; the sorted list is cached until the next report."""

    __slots__ = ("_recent", "_ordered")

    def __init__(self) -> None:
        self._recent: deque[int] = deque(maxlen=WINDOW_SIZE)
        self._ordered: list[int] | None = None

    def add(self, amount: int) -> None:
        self._recent.append(amount)
        self._ordered = None

    def ordered(self) -> list[int]:
        if self._ordered is None:
            self._ordered = sorted(self._recent)
        return self._ordered


@dataclass(slots=True)
class _Reports:
    run_ms: _Window = field(default_factory=_Window)
    cpu_milli: _Window = field(default_factory=_Window)
    memory_mib: _Window = field(default_factory=_Window)


class Estimates:
    """Estimates from the reports on past tasks of each job class (team, queue).

    Reports may arrive in any order, and a missing report leaves the declared amount in force.
    When there are too many classes, the least recently reported one is dropped.
    """

    def __init__(self) -> None:
        """Initialize without reports."""
        self._classes: OrderedDict[JobClass, _Reports] = OrderedDict()

    def report_run(self, team: TeamId, queue: QueueId, run_ms: int) -> None:
        """Add the run time of a successful task.

        The caller leaves out failed and stopped tasks, which end early and would make the
        estimate too short.
        """
        self._reports_of(team, queue).run_ms.add(max(0, run_ms))

    def report_peak(self, team: TeamId, queue: QueueId, peak: Resources) -> None:
        """Add the peak usage of a task, once per task.

        :param peak: peak usage; an amount of 0 is a missing report
        """
        reports = self._reports_of(team, queue)
        if peak.cpu_milli > 0:
            reports.cpu_milli.add(peak.cpu_milli)
        if peak.memory_mib > 0:
            reports.memory_mib.add(peak.memory_mib)

    def run_ms(self, team: TeamId, queue: QueueId, declared_ms: int) -> int:
        """Return the corrected run time of a task.

        :param declared_ms: 0 when not declared
        """
        reported = self._runs(team, queue)
        if not reported:
            return declared_ms or DEFAULT_RUN_MS
        estimate = quantile(reported, RUN_QUANTILE)
        if len(reported) < MIN_REPORTS:
            return max(estimate, declared_ms)
        return estimate

    def remaining_ms(self, team: TeamId, queue: QueueId, declared_ms: int, elapsed_ms: int) -> int:
        """Return the estimated remaining run time of a running task.

        A task that exceeds the estimate is compared with the longer reports only, because its
        own report is still missing from the window.

        :param elapsed_ms: time since the task started
        """
        estimate = self.run_ms(team, queue, declared_ms)
        if elapsed_ms < estimate:
            return estimate - elapsed_ms
        reported = self._runs(team, queue)
        longer = reported[bisect_right(reported, elapsed_ms) :]
        if longer:
            return quantile(longer, RUN_QUANTILE) - elapsed_ms
        return math.ceil(elapsed_ms * (OVERRUN_FACTOR - 1))

    def size(
        self, team: TeamId, queue: QueueId, declared: Resources, largest: Resources | None = None
    ) -> Resources:
        """Return the resources to allocate to a new task, at least the declared amounts.

        Accelerators and slots are whole units and stay as declared.

        :param largest: upper limit of a correction, so that an exaggerated report does not make
            a feasible task wait forever
        """
        reports = self._classes.get((team, queue))
        if reports is None:
            return declared
        cpu_milli = _class_peak(reports.cpu_milli)
        memory_mib = _class_peak(reports.memory_mib)
        if largest is not None:
            cpu_milli = min(cpu_milli, largest.cpu_milli)
            memory_mib = min(memory_mib, largest.memory_mib)
        return _raised_to(declared, cpu_milli, memory_mib)

    def _runs(self, team: TeamId, queue: QueueId) -> list[int]:
        reports = self._classes.get((team, queue))
        return [] if reports is None else reports.run_ms.ordered()

    def _reports_of(self, team: TeamId, queue: QueueId) -> _Reports:
        key = (team, queue)
        reports = self._classes.setdefault(key, _Reports())
        self._classes.move_to_end(key)
        if len(self._classes) > MAX_CLASSES:
            self._classes.popitem(last=False)
        return reports


def running_size(declared: Resources, peak: Resources) -> Resources:
    """Return the resources to allocate to a running task.

    :param peak: reported peak usage of the task; an amount of 0 is a missing report
    """
    return _raised_to(declared, _with_margin(peak.cpu_milli), _with_margin(peak.memory_mib))


def _class_peak(window: _Window) -> int:
    ordered = window.ordered()
    if not ordered:
        return 0
    return _with_margin(quantile(ordered, PEAK_QUANTILE))


def _with_margin(amount: int) -> int:
    return -(-amount * (100 + SIZE_MARGIN_PERCENT) // 100)


def _raised_to(declared: Resources, cpu_milli: int, memory_mib: int) -> Resources:
    return Resources(
        max(declared.cpu_milli, cpu_milli),
        max(declared.memory_mib, memory_mib),
        declared.accelerators,
        declared.slots,
    )
