"""Warm capacity per queue, predicted from the daily pattern of its concurrency."""

import math
from dataclasses import dataclass, field

from lagoonshelf_core.ids import QueueId

DAY_MS = 86_400_000
INTERVALS_PER_DAY = 96
INTERVAL_MS = DAY_MS // INTERVALS_PER_DAY
# A peak that does not recur loses 30% per day: it decays from 8 to about 1 in 5 days.
DAILY_DECAY = 0.7
# Expected concurrency below which an interval of the day is discarded.
FORGET_BELOW = 0.5
# Warm-up starts this much before the cold start time, to allow for the time between passes.
WARM_UP_LEAD_MS = 60_000
HOUR_MS = 3_600_000
# Longest time between two cost reports that is counted in full; the rest is a pause.
MAX_COST_INTERVAL_MS = 60_000


@dataclass(slots=True)
class _Interval:
    """Peak concurrency of a quarter of an hour, and the day of its last update."""

    peak: float
    day: int

    def value_on(self, day: int) -> float:
        """Return the peak decayed by the days since its update."""
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
    """Cost of a queue's warm capacity.

    :param idle_slot_hours: warm and idle
    :param warm_slot_hours: warm, idle or busy
    """

    queue: QueueId
    idle_slot_hours: float
    warm_slot_hours: float


class WarmCapacity:
    """Daily pattern of peak concurrency of each queue in one partition.

    An interval's peak counts from the next day on. Demand of the current interval does not raise
    the target: slots that are warmed on arrival are ready only after most peaks are over.
    """

    def __init__(self) -> None:
        """Initialize without a pattern; only the minimum is warm until a day has passed."""
        self._patterns: dict[QueueId, _DailyPattern] = {}
        self._costs: dict[QueueId, _Cost] = {}

    def observe(self, queue: QueueId, concurrency: int, wall_ms: int) -> None:
        """Record the number of a queue's running and waiting tasks.

        :param wall_ms: wall time; a step back within the current interval is harmless
        """
        pattern = self._patterns.setdefault(queue, _DailyPattern())
        interval_number = wall_ms // INTERVAL_MS
        if interval_number > pattern.current:
            _finish_interval(pattern)
            pattern.current = interval_number
            pattern.current_peak = 0
        pattern.current_peak = max(pattern.current_peak, concurrency)

    def warm_slots(self, queue: QueueId, cold_start_ms: int, minimum: int, wall_ms: int) -> int:
        """Return the number of slots that should be warm or warming up now.

        :param cold_start_ms: time until a slot that is warmed now is ready
        :param minimum: minimum number at any time of day
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
        """Add the slot time since the last call, and record the current slots.

        :param warm: warm slots, idle or busy
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
        """Return the cost of each queue since the process started."""
        return [
            WarmCapacityReport(queue, cost.idle_slot_ms / HOUR_MS, cost.warm_slot_ms / HOUR_MS)
            for queue, cost in sorted(self._costs.items())
        ]

    def forget(self, queue: QueueId) -> None:
        """Remove a queue that was removed from the configuration."""
        self._patterns.pop(queue, None)
        self._costs.pop(queue, None)

    def save(self) -> dict[str, list[list[float]]]:
        """Return the finished intervals as JSON data for the next owner of the partition."""
        return {
            queue: [
                [index, interval.peak, interval.day]
                for index, interval in pattern.intervals.items()
            ]
            for queue, pattern in self._patterns.items()
        }

    def load(self, saved: dict[str, list[list[float]]]) -> None:
        """Load the intervals saved by the previous owner.

        :param saved: result of ``save``
        """
        for queue, intervals in saved.items():
            pattern = self._patterns.setdefault(QueueId(queue), _DailyPattern())
            for index, peak, day in intervals:
                pattern.intervals[int(index)] = _Interval(float(peak), int(day))


def _finish_interval(pattern: _DailyPattern) -> None:
    """Merge the peak of the current interval into the pattern."""
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
