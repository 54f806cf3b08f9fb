"""Tests of the age of the configuration and of what is logged about it."""

import asyncio
import unittest
from dataclasses import replace

from logbook import TestHandler

from lagoonshelf_core.clock import ManualClock
from lagoonshelf_server.jobs.config_view import LATE_MS, ConfigView
from lagoonshelf_server.jobs.ports import Item, StoreRevision, StoreUnavailableError
from lagoonshelf_server.messages import ConfigCopy
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
        self.value = b"1"

    async def read(self, key: str, *, timeout_ms: int | None = None) -> Item:
        """Answer a read."""
        await asyncio.sleep(0)
        self.reads += 1
        self._clock.advance(self.delay_ms)
        if self.is_down:
            raise StoreUnavailableError("down")
        return Item(key, self.value, StoreRevision(6 + int(self.value)))


class ConfigViewTest(unittest.IsolatedAsyncioTestCase):
    """A view whose store can be down or late."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock(START_MS)
        self.store = StoreStub(self.clock)
        codec = FakeCodec()
        codec.configs = {b"1": config(), b"2": replace(config(), version=2)}
        self.view = ConfigView(self.store, codec, self.clock)

    async def _poll_for_a_moment(self) -> None:
        task = asyncio.ensure_future(self.view.poll())
        for _ in range(10):
            await asyncio.sleep(0)
        task.cancel()

    async def _poll_once(self) -> None:
        """Run the polling loop when a read is due, for one read."""
        reads = self.store.reads
        await self._poll_for_a_moment()
        self.assertEqual(self.store.reads, reads + 1)

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

    async def test_a_newer_version_is_taken_from_the_leader_while_the_store_fails(self) -> None:
        """Guards against refusals for the whole time for which the store turns one process away.

        The leader reads a newer version, so the one of this process may not be used any more.
        """
        await self._poll_once()
        self.store.is_down = True
        copies = [ConfigCopy(8, b"2", 300)]

        async def fetch_copy(revision: StoreRevision) -> ConfigCopy:
            return copies[0]

        self.view.fetch_copy = fetch_copy
        self.clock.advance(2_000)
        self.view.confirm(1, 100, self.clock.now_ms())
        self.clock.advance(2_000)
        await self._poll_once()
        self.assertEqual((self.view.current.version, self.view.age_ms()), (1, 2_100))
        self.view.confirm(2, 100, self.clock.now_ms())
        await self._poll_once()
        self.assertEqual((self.view.current.version, self.view.age_ms()), (2, 300))
        copies[0] = ConfigCopy(7, b"1", 0)
        self.view.confirm(3, 100, self.clock.now_ms())
        self.clock.advance(2_000)
        await self._poll_once()
        self.assertEqual((self.view.current.version, self.view.age_ms()), (2, 2_300))

    async def test_another_member_confirms_while_the_store_fails(self) -> None:
        """Guards against refusals at a former leader, to which no leader replies yet.

        Members are asked at most every 250 ms.
        """
        await self._poll_once()
        self.store.is_down = True
        asked: list[int] = []

        async def fetch_copy(revision: StoreRevision) -> ConfigCopy:
            asked.append(revision)
            return ConfigCopy(7, b"", 400)

        self.view.fetch_copy = fetch_copy
        self.clock.advance(1_000)
        await self._poll_once()
        self.assertEqual(asked, [], "it is not old yet")
        self.clock.advance(3_000)
        await self._poll_once()
        self.assertEqual((asked, self.view.age_ms()), ([7], 400))
        self.clock.advance(4_000)
        await self._poll_once()
        self.clock.advance(100)
        await self._poll_for_a_moment()
        self.assertEqual(len(asked), 2)

    async def test_confirmations_of_the_leader_replace_reads(self) -> None:
        """Guards against a small link that is filled by reads of one large configuration."""
        await self._poll_once()
        for _ in range(20):
            self.clock.advance(300)
            self.view.confirm(1, 600, self.clock.now_ms())
            await self._poll_for_a_moment()
        self.assertEqual(self.store.reads, 1)
        self.clock.advance(1_000)
        await self._poll_for_a_moment()
        self.assertEqual(self.store.reads, 2)

    async def test_a_configuration_that_cannot_be_decoded_is_logged_once(self) -> None:
        """Guards against a log that is filled by each read of the same value."""
        await self._poll_once()
        self.store.value = b"3"
        with TestHandler() as logs:
            for _ in range(3):
                self.clock.advance(1_000)
                await self._poll_once()
        self.assertEqual([r.message for r in logs.records], ["configuration unreadable"])
        self.assertEqual(self.view.current.version, 1)
