"""Deadlines of queues whose work must finish by a time of day."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from lagoonshelf_core.commands import DeadlineWarning
from lagoonshelf_core.ids import QueueId, TaskId
from lagoonshelf_core.model import WorkClass

DAY_MS = 86_400_000
HOUR_MS = 3_600_000
MINUTE_MS = 60_000
# Allows for placement, delayed reports and one restart of a short task.
FINISH_MARGIN_MS = 5 * MINUTE_MS
# Slack below which tasks are raised to a class: normal tasks are placed before background
# tasks, urgent tasks may preempt.
NORMAL_SLACK_MS = 30 * MINUTE_MS
URGENT_SLACK_MS = 5 * MINUTE_MS
# The forecast assumes evenly filled slots; actual packing takes up to about this much longer.
FORECAST_MARGIN_PERCENT = 10
# Increase of the forecast delay that triggers another warning.
REPEAT_WARNING_MS = 15 * MINUTE_MS


@dataclass(frozen=True, slots=True)
class DueTask:
    """One waiting task of a queue with a deadline.

    :param run_ms: corrected run time
    :param deadline_wall_ms: wall time by which the task must have finished
    """

    task: TaskId
    run_ms: int
    deadline_wall_ms: int


@dataclass(frozen=True, slots=True)
class StartPlan:
    """Latest start and resulting class of a due task."""

    task: TaskId
    latest_start_wall_ms: int
    work_class: WorkClass


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected end of the work due by a deadline.

    :param finish_wall_ms: none when the queue has no slots
    """

    deadline_wall_ms: int
    finish_wall_ms: int | None

    @property
    def late_ms(self) -> int:
        """Return the delay after the deadline, 0 when it is met."""
        if self.finish_wall_ms is None:
            return DAY_MS
        return max(0, self.finish_wall_ms - self.deadline_wall_ms)


def next_deadline(finish_by: str, accepted_wall_ms: int) -> int:
    """Return the next wall time of a time of day (UTC).

    :param finish_by: ``HH:MM``
    :param accepted_wall_ms: wall time at which the work was accepted
    """
    hours, minutes = finish_by.split(":")
    offset_ms = int(hours) * HOUR_MS + int(minutes) * MINUTE_MS
    midnight_ms = accepted_wall_ms - accepted_wall_ms % DAY_MS
    deadline_ms = midnight_ms + offset_ms
    return deadline_ms if deadline_ms > accepted_wall_ms else deadline_ms + DAY_MS


def plan_queue(
    due_tasks: Iterable[DueTask], slots: int, base_class: WorkClass, now_wall_ms: int
) -> list[StartPlan]:
    """Return the latest start and the class of each task, earliest start first.

    The tasks share the queue's slots, so the slots are filled backward from the deadline: with
    many tasks per slot, the first must start long before its own run time requires it.

    :param due_tasks: in the order in which they are to start
    :param slots: number of the queue's tasks that run concurrently
    :param base_class: class of the queue; a task may be raised above it, never lowered below
    """
    ordered = sorted(due_tasks, key=lambda due_task: due_task.deadline_wall_ms)
    starts = _latest_starts(ordered, max(1, slots))
    plans = [
        StartPlan(due_task.task, start_ms, _raised_class(base_class, start_ms - now_wall_ms))
        for due_task, start_ms in zip(ordered, starts, strict=True)
    ]
    return sorted(plans, key=lambda plan: plan.latest_start_wall_ms)


def _latest_starts(ordered: list[DueTask], slots: int) -> list[int]:
    """Return the latest start of each task when the slots are filled backward."""
    if not ordered:
        return []
    last_ms = ordered[-1].deadline_wall_ms - FINISH_MARGIN_MS
    # Times are negated because heapq returns the smallest item, and the latest slot is needed.
    free_until = [-last_ms] * min(slots, len(ordered))
    starts = []
    for due_task in reversed(ordered):
        end_ms = min(-free_until[0], due_task.deadline_wall_ms - FINISH_MARGIN_MS)
        start_ms = end_ms - due_task.run_ms
        heapq.heapreplace(free_until, -start_ms)
        starts.append(start_ms)
    starts.reverse()
    return starts


def _raised_class(base_class: WorkClass, slack_ms: int) -> WorkClass:
    if slack_ms <= URGENT_SLACK_MS:
        return WorkClass.URGENT
    if slack_ms <= NORMAL_SLACK_MS:
        return min(base_class, WorkClass.NORMAL, key=lambda work_class: work_class.value)
    return base_class


def forecast_queue(
    waiting: Iterable[DueTask], running: Iterable[DueTask], slots: int, now_wall_ms: int
) -> list[Forecast]:
    """Return when the work due by each deadline ends, earliest deadline first.

    :param running: running tasks of the queue; ``run_ms`` is their remaining run time
    :param slots: number of the queue's tasks that run concurrently
    """
    work_ms: dict[int, int] = {}
    longest_ms: dict[int, int] = {}
    for due_task in (*waiting, *running):
        deadline_ms = due_task.deadline_wall_ms
        work_ms[deadline_ms] = work_ms.get(deadline_ms, 0) + due_task.run_ms
        longest_ms[deadline_ms] = max(longest_ms.get(deadline_ms, 0), due_task.run_ms)
    forecasts = []
    total_ms = 0
    for deadline_ms in sorted(work_ms):
        total_ms += work_ms[deadline_ms]
        finish_ms = None
        if slots > 0:
            spread_ms = -(-total_ms // slots)
            padded_ms = (
                max(spread_ms, longest_ms[deadline_ms]) * (100 + FORECAST_MARGIN_PERCENT) // 100
            )
            finish_ms = now_wall_ms + padded_ms
        forecasts.append(Forecast(deadline_ms, finish_ms))
    return forecasts


class DeadlineMonitor:
    """Warns operators once per queue and deadline, and again when the forecast gets worse.

    A repeated warning requires that the delay has grown by ``REPEAT_WARNING_MS``.
    """

    def __init__(self) -> None:
        """Initialize without warnings."""
        self._warned: dict[tuple[QueueId, int], int] = {}

    def check(
        self, queue: QueueId, forecasts: Iterable[Forecast], now_wall_ms: int
    ) -> list[DeadlineWarning]:
        """Return the new warnings.

        :param forecasts: result of ``forecast_queue`` for the queue
        """
        self._remove_past(now_wall_ms)
        warnings = []
        for forecast in forecasts:
            key = (queue, forecast.deadline_wall_ms)
            if forecast.late_ms == 0:
                self._warned.pop(key, None)
                continue
            warned_ms = self._warned.get(key)
            if warned_ms is None or forecast.late_ms >= warned_ms + REPEAT_WARNING_MS:
                self._warned[key] = forecast.late_ms
                warnings.append(DeadlineWarning(queue, _describe(queue, forecast)))
        return warnings

    def _remove_past(self, now_wall_ms: int) -> None:
        for key in [key for key in self._warned if key[1] + DAY_MS < now_wall_ms]:
            del self._warned[key]


def _describe(queue: QueueId, forecast: Forecast) -> str:
    due = _time_of_day(forecast.deadline_wall_ms)
    if forecast.finish_wall_ms is None:
        return f"queue {queue!r} has no slots and misses its deadline {due} UTC"
    finish = _time_of_day(forecast.finish_wall_ms)
    minutes = -(-forecast.late_ms // MINUTE_MS)
    return f"queue {queue!r} finishes at {finish} UTC, {minutes} min after its deadline {due} UTC"


def _time_of_day(wall_ms: int) -> str:
    minutes = wall_ms % DAY_MS // MINUTE_MS
    return f"{minutes // 60:02}:{minutes % 60:02}"
