"""Lag of the event loop of this process."""

import asyncio

TICK_S = 0.05
# Weight of the newest sample in the exponentially weighted moving average.
EWMA_WEIGHT = 0.1


class LoopLag:
    """Moving average of the delay of a short timer."""

    def __init__(self) -> None:
        """Set up without lag."""
        self.mean_ms = 0.0

    async def run(self) -> None:
        """Measure the lag; run for the life of the process."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            late_ms = max(0.0, loop.time() - due) * 1000
            self.mean_ms += (late_ms - self.mean_ms) * EWMA_WEIGHT
