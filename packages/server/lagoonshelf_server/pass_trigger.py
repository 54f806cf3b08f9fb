"""Coalesces requests for scheduling passes, so that there is no pass for each event."""

import asyncio
from contextlib import suppress

from lagoonshelf_core.clock import Clock

# Under load, a pass for each event would spend most of its time on unchanged state.
MIN_PASS_INTERVAL_MS = 10
# Limits the rate of passes while the due time stays in the past.
MIN_DUE_WAIT_MS = 50


class PassTrigger:
    """Trigger of scheduling passes, by a request or at a due time."""

    def __init__(self, clock: Clock) -> None:
        """Initialize without a request."""
        self._clock = clock
        self._event = asyncio.Event()
        self._last_ms = 0

    def request(self) -> None:
        """Request a pass."""
        self._event.set()

    async def wait(self, due_ms: int | None) -> None:
        """Wait until a pass is requested or due.

        Two passes are at least ``MIN_PASS_INTERVAL_MS`` apart.

        :param due_ms: time at which a pass is due without a request, or ``None``
        """
        timeout_s = None
        if due_ms is not None:
            timeout_s = max(MIN_DUE_WAIT_MS, due_ms - self._clock.now_ms()) / 1000
        # asyncio.wait_for of Python 3.11 loses a cancellation that arrives with the event.
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        left_ms = self._last_ms + MIN_PASS_INTERVAL_MS - self._clock.now_ms()
        if left_ms > 0:
            await asyncio.sleep(left_ms / 1000)
        self._event.clear()
        self._last_ms = self._clock.now_ms()
