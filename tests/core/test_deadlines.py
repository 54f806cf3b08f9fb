"""Tests of deadlines."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonshelf_core.deadlines import (
    DAY_MS,
    FINISH_MARGIN_MS,
    HOUR_MS,
    MINUTE_MS,
    DeadlineMonitor,
    DueTask,
    forecast_queue,
    next_deadline,
    plan_queue,
)
from lagoonshelf_core.ids import QueueId, TaskId
from lagoonshelf_core.model import WorkClass

Q = QueueId("night")
DUE = 12 * HOUR_MS


def due_tasks(count: int, run_ms: int, due: int = DUE) -> list[DueTask]:
    """Return equal tasks."""
    return [DueTask(TaskId(f"{due}.{index}"), run_ms, due) for index in range(count)]


class DeadlineOfTest(unittest.TestCase):
    """Conversion of a time of day to a wall time."""

    def test_time_already_past_means_tomorrow(self) -> None:
        """Guards against a deadline in the past for work accepted after the time of day."""
        day = 20_000 * DAY_MS
        self.assertEqual(next_deadline("06:30", day + 6 * HOUR_MS), day + 390 * MINUTE_MS)
        self.assertEqual(next_deadline("06:30", day + 390 * MINUTE_MS), day + DAY_MS + 23_400_000)


class PlanTest(unittest.TestCase):
    """Latest starts and raised classes."""

    def test_classes_rise_as_slack_runs_out(self) -> None:
        """Guards against overnight work that misses its deadline behind daytime work."""
        start_ms = DUE - FINISH_MARGIN_MS - HOUR_MS
        for slack_min, expected in [(31, 2), (30, 1), (6, 1), (5, 0), (-10, 0)]:
            now = start_ms - slack_min * MINUTE_MS
            plan = plan_queue(due_tasks(1, HOUR_MS), 1, WorkClass.BACKGROUND, now)[0]
            self.assertEqual(
                (plan.latest_start_wall_ms, plan.work_class.value), (start_ms, expected)
            )
        urgent = plan_queue(due_tasks(1, HOUR_MS), 1, WorkClass.URGENT, 0)[0]
        self.assertIs(urgent.work_class, WorkClass.URGENT)

    def test_pieces_that_share_slots_start_in_time(self) -> None:
        """Guards against raising the class of a long queue only when its last task must start."""
        plans = plan_queue(due_tasks(20, HOUR_MS), 2, WorkClass.BACKGROUND, 0)
        self.assertEqual(plans[0].latest_start_wall_ms, DUE - FINISH_MARGIN_MS - 10 * HOUR_MS)

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(1, 1000), st.integers(1, 3)), min_size=1, max_size=40),
        st.integers(1, 6),
    )
    def test_starting_as_planned_meets_each_deadline(
        self, works: list[tuple[int, int]], slots: int
    ) -> None:
        """Guards against a plan that needs more slots than exist or misses a deadline."""
        work = [
            DueTask(TaskId(str(index)), run_ms, DUE * days)
            for index, (run_ms, days) in enumerate(works)
        ]
        by_task = {due_task.task: due_task for due_task in work}
        events = []
        for plan in plan_queue(work, slots, WorkClass.NORMAL, 0):
            due_task = by_task[plan.task]
            end_ms = plan.latest_start_wall_ms + due_task.run_ms
            self.assertLessEqual(end_ms, due_task.deadline_wall_ms - FINISH_MARGIN_MS)
            events += [(plan.latest_start_wall_ms, 1), (end_ms, -1)]
        running = 0
        for _, change in sorted(events):
            running += change
            self.assertLessEqual(running, slots)


class ForecastTest(unittest.TestCase):
    """Forecast and warnings."""

    def test_work_due_earlier_delays_later_work(self) -> None:
        """Guards against a forecast that ignores work due by earlier deadlines."""
        work = due_tasks(10, HOUR_MS, 7 * HOUR_MS) + due_tasks(10, HOUR_MS)
        forecasts = forecast_queue(work, due_tasks(2, HOUR_MS, 7 * HOUR_MS), 2, 0)
        self.assertEqual([f.finish_wall_ms for f in forecasts], [23_760_000, 43_560_000])
        self.assertEqual([f.late_ms for f in forecasts], [0, 360_000])

    def test_warning_comes_early_and_once(self) -> None:
        """Guards against a missed deadline without a warning, and repeated warnings."""
        monitor = DeadlineMonitor()
        late = forecast_queue(due_tasks(24, HOUR_MS), [], 2, 0)
        warning = monitor.check(Q, late, 0)[0]
        self.assertIn("finishes at 13:12 UTC, 72 min after its deadline 12:00", warning.reason)
        self.assertEqual(monitor.check(Q, late, 0), [])
        worse = forecast_queue(due_tasks(30, HOUR_MS), [], 2, 0)
        self.assertEqual(len(monitor.check(Q, worse, 0)), 1)
        stuck = monitor.check(Q, forecast_queue(due_tasks(1, 1), [], 0, 0), 0)
        self.assertIn("no slots", stuck[0].reason)
        self.assertEqual(monitor.check(Q, forecast_queue(due_tasks(1, 1), [], 1, 0), 0), [])
        self.assertEqual(len(monitor.check(Q, late, 0)), 1)
