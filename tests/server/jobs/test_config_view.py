"""Tests of the age of the configuration and of what is logged about it."""

import asyncio
import unittest

from logbook import TestHandler

from lagoonshelf_core.clock import ManualClock
from lagoonshelf_server.jobs.config_view import LATE_MS, ConfigView
from lagoonshelf_server.jobs.ports import Item, StoreRevision, StoreUnavailableError
from tests.support.job_fakes import FakeCodec
from tests.support.jobs import config

START_MS = 1_000_000


class StoreStub:
    """Store whose reads take a given time of the clock between the answer and its arrival."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.is_down = False
        self.delay_ms = 0
        self.reads = 0

    async def read(self, key: str) -> Item:
        """Answer a read."""
        await asyncio.sleep(0)
        self.reads += 1
        self._clock.advance(self.delay_ms)
        if self.is_down:
            raise StoreUnavailableError("down")
        return Item(key, b"1", StoreRevision(7))


class ConfigViewTest(unittest.IsolatedAsyncioTestCase):
    """A view whose store can be down or late."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock(START_MS)
        self.store = StoreStub(self.clock)
        codec = FakeCodec()
        codec.configs[b"1"] = config()
        self.view = ConfigView(self.store, codec, self.clock)

    async def _poll_once(self) -> None:
        """Run the polling loop until it has read once."""
        reads = self.store.reads
        task = asyncio.ensure_future(self.view.poll())
        while self.store.reads == reads:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()

    async def test_a_time_without_confirmation_is_logged_once(self) -> None:
        """Guards against an old configuration in use of which no log tells the age and reason."""
        await self._poll_once()
        with TestHandler() as logs:
            self.store.is_down = True
            self.clock.advance(LATE_MS + 1)
            await self._poll_once()
            await self._poll_once()
            self.store.is_down = False
            await self._poll_once()
        found = [(r.message, r.kwargs["age_ms"], r.kwargs.get("reason")) for r in logs.records]
        late = ("configuration not confirmed", LATE_MS + 1, "down")
        self.assertEqual(found, [late, ("configuration confirmed again", LATE_MS + 1, None)])

    async def test_the_age_counts_from_when_the_read_was_sent(self) -> None:
        """Guards against an old configuration that counts as new after a pause of the process.

        The response waited in the socket while the process was paused.
        """
        self.store.delay_ms = 6_000
        await self._poll_once()
        self.assertEqual(self.view.age_ms(), 6_000)
        self.assertFalse(self.view.is_fresh())
        self.store.delay_ms = 10
        await self._poll_once()
        self.assertTrue(self.view.is_fresh())
