"""Lag of the event loop of this process."""

import asyncio

from lagoonshelf_core.clock import Clock
from lagoonshelf_server.jobs import job_metrics
from lagoonshelf_server.logs import logger

TICK_S = 0.05
# Weight of the newest sample in the exponentially weighted moving average.
EWMA_WEIGHT = 0.1
# A single delay of this length is logged: the loop was busy, or the process was paused.
STALL_MS = 500

_log = logger("lag")


class LoopLag:
    """Moving average of the delay of a short timer."""

    def __init__(self, clock: Clock) -> None:
        """Set up without lag."""
        self._clock = clock
        self.mean_ms = 0.0

    async def run(self) -> None:
        """Measure the lag; run for the life of the process."""
        loop = asyncio.get_running_loop()
        while True:
            due, due_ms = loop.time() + TICK_S, self._clock.now_ms() + TICK_S * 1000
            await asyncio.sleep(TICK_S)
            late_ms = max(0.0, loop.time() - due) * 1000
            self.mean_ms += (late_ms - self.mean_ms) * EWMA_WEIGHT
            job_metrics.loop_late_ms.observe({}, late_ms)
            # Unlike the loop's time, the clock also counts time in which the host was suspended.
            elapsed_ms = round(self._clock.now_ms() - due_ms)
            if elapsed_ms >= STALL_MS:
                _log.warning("event loop late", late_ms=elapsed_ms, mean_ms=round(self.mean_ms))
