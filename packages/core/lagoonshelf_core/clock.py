"""Clocks in milliseconds."""

import time


class Clock:
    """Read the host's clocks in milliseconds."""

    def now_ms(self) -> int:
        """Return milliseconds since boot, including time the host or process was suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for display and times of day only."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """Clock that advances only on request, for tests and benchmarks."""

    def __init__(self, now_ms: int = 0, wall_ms: int = 0) -> None:
        """Set the initial times.

        :param now_ms: initial value of ``now_ms``
        :param wall_ms: initial value of ``wall_ms``
        """
        self._now_ms = now_ms
        self._wall_ms = wall_ms

    def now_ms(self) -> int:
        """Return the current manual time."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current manual wall time."""
        return self._wall_ms

    def advance(self, delta_ms: int) -> None:
        """Advance both clocks.

        :param delta_ms: milliseconds, not negative
        """
        if delta_ms < 0:
            raise ValueError(f"clock cannot move back by {-delta_ms} ms")
        self._now_ms += delta_ms
        self._wall_ms += delta_ms
