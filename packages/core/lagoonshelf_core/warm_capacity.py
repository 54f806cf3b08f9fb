"""Warm capacity per queue, from the pattern of the day."""

import math
from dataclasses import dataclass, field

from lagoonshelf_core.ids import QueueId

DAY_MS = 86_400_000
INTERVALS_PER_DAY = 96
INTERVAL_MS = DAY_MS // INTERVALS_PER_DAY
# A peak that does not come back loses a third of its weight per day: gone from 8 to 1 in 5 days.
DAILY_DECAY = 0.7
# Expected concurrency below which a slot of the day is forgotten.
FORGET_BELOW = 0.5
# Warming starts this much before the cold start time, to cover the interval between passes.
WARM_UP_LEAD_MS = 60_000
HOUR_MS = 3_600_000
# Longest interval between two cost reports that is counted; longer ones are pauses.
MAX_COST_INTERVAL_MS = 60_000


@dataclass(slots=True)
class _Interval:
    """Peak of one quarter of an hour, and the day on which it was last folded."""

    peak: float
    day: int

    def value_on(self, day: int) -> float:
        """Return the peak after the days that passed since."""
        value = self.peak * DAILY_DECAY ** max(0, day - self.day - 1)
        return value if value >= FORGET_BELOW else 0.0


@dataclass(slots=True)
class _DailyPattern:
    intervals: dict[int, _Interval] = field(default_factory=dict)
    current: int = -1
    current_peak: int = 0


@dataclass(slots=True)
class _Cost:
    warm: int = 0
    busy: int = 0
    since_ms: int = 0
    idle_slot_ms: int = 0
    warm_slot_ms: int = 0


@dataclass(frozen=True, slots=True)
class WarmCapacityReport:
    """What the warm capacity of a queue cost.

    :param idle_slot_hours: warm and unused
    :param warm_slot_hours: warm, used or not
    """

    queue: QueueId
    idle_slot_hours: float
    warm_slot_hours: float


class WarmCapacity:
    """Daily pattern of peak concurrency of each queue in one partition.

    A slot's peak counts from the next day on. Demand of the running slot does not raise the
    target: what is warmed on arrival is ready only after most peaks are over.
    """

    def __init__(self) -> None:
        """Start without a pattern; until a day has passed, only the floor is warm."""
        self._patterns: dict[QueueId, _DailyPattern] = {}
        self._costs: dict[QueueId, _Cost] = {}

    def observe(self, queue: QueueId, concurrency: int, wall_ms: int) -> None:
        """Count the queue's running plus waiting tasks at a time.

        :param wall_ms: wall time; a step back within the running slot is harmless
        """
        pattern = self._patterns.setdefault(queue, _DailyPattern())
        interval_number = wall_ms // INTERVAL_MS
        if interval_number > pattern.current:
            _finish_interval(pattern)
            pattern.current = interval_number
            pattern.current_peak = 0
        pattern.current_peak = max(pattern.current_peak, concurrency)

    def warm_slots(self, queue: QueueId, cold_start_ms: int, minimum: int, wall_ms: int) -> int:
        """Return how many slots should be warm or warming now.

        :param cold_start_ms: what is warmed now is ready after this time
        :param floor: least number at any time of day
        """
        pattern = self._patterns.get(queue)
        if pattern is None or cold_start_ms <= 0:
            return minimum
        first = wall_ms // INTERVAL_MS
        last = (wall_ms + cold_start_ms + WARM_UP_LEAD_MS) // INTERVAL_MS
        last = min(last, first + INTERVALS_PER_DAY - 1)
        expected = max(
            _expected(pattern, interval_number) for interval_number in range(first, last + 1)
        )
        return max(minimum, math.ceil(expected))

    def record_cost(self, queue: QueueId, warm: int, busy: int, now_ms: int) -> None:
        """Add up the time since the last call, and note what is warm from now on.

        :param warm: warm slots, used or not
        :param busy: warm slots that run a task
        :param now_ms: monotonic time
        """
        cost = self._costs.setdefault(queue, _Cost(since_ms=now_ms))
        elapsed_ms = min(max(0, now_ms - cost.since_ms), MAX_COST_INTERVAL_MS)
        cost.warm_slot_ms += cost.warm * elapsed_ms
        cost.idle_slot_ms += max(0, cost.warm - cost.busy) * elapsed_ms
        cost.warm = warm
        cost.busy = busy
        cost.since_ms = now_ms

    def report(self) -> list[WarmCapacityReport]:
        """Return the cost of each queue since the start."""
        return [
            WarmCapacityReport(queue, cost.idle_slot_ms / HOUR_MS, cost.warm_slot_ms / HOUR_MS)
            for queue, cost in sorted(self._costs.items())
        ]

    def forget(self, queue: QueueId) -> None:
        """Drop a queue that was removed from the configuration."""
        self._patterns.pop(queue, None)
        self._costs.pop(queue, None)

    def save(self) -> dict[str, list[list[float]]]:
        """Return the finished slots as JSON, for the next owner of the partition."""
        return {
            queue: [
                [index, interval.peak, interval.day]
                for index, interval in pattern.intervals.items()
            ]
            for queue, pattern in self._patterns.items()
        }

    def load(self, saved: dict[str, list[list[float]]]) -> None:
        """Take over the slots of the previous owner.

        :param saved: what ``save`` returned
        """
        for queue, slots in saved.items():
            pattern = self._patterns.setdefault(QueueId(queue), _DailyPattern())
            for index, peak, day in slots:
                pattern.intervals[int(index)] = _Interval(float(peak), int(day))


def _finish_interval(pattern: _DailyPattern) -> None:
    """Move the finished slot's peak into the pattern."""
    if pattern.current < 0:
        return
    day, index = divmod(pattern.current, INTERVALS_PER_DAY)
    known = pattern.intervals.get(index)
    decayed = 0.0 if known is None else known.value_on(day) * DAILY_DECAY
    peak = max(float(pattern.current_peak), decayed)
    if peak >= FORGET_BELOW:
        pattern.intervals[index] = _Interval(peak, day)
    else:
        pattern.intervals.pop(index, None)


def _expected(pattern: _DailyPattern, interval_number: int) -> float:
    day, index = divmod(interval_number, INTERVALS_PER_DAY)
    interval = pattern.intervals.get(index)
    return 0.0 if interval is None else interval.value_on(day)
