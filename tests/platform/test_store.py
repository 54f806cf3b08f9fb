"""Tests of the client of the platform's store."""

import unittest

from lagoonshelf_core.clock import Clock
from lagoonshelf_platform.http_client import HttpClient
from lagoonshelf_platform.store import MAX_WATCH_BYTES, PlatformStore
from lagoonshelf_server.jobs.ports import HistoryLostError, StoreUnavailableError
from tests.platform.standin.store import StubStore


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    """A client of the stand-in store."""

    async def asyncSetUp(self) -> None:
        self.stub = StubStore()
        await self.stub.server.listen()
        self.addAsyncCleanup(self.stub.server.close)
        self.store = PlatformStore(HttpClient(), self.stub.server.address, Clock())

    async def _lose(self) -> None:
        """Let calls fail until the store counts as failing."""
        address, self.store._address = self.store._address, "127.0.0.1:9"
        while not self.store.is_failing():
            with self.assertRaises(StoreUnavailableError):
                await self.store.read("key")
        self.store._address = address

    async def test_a_missing_key_is_an_answer_of_the_store(self) -> None:
        """Guards against a process that does not claim a free lease, as its key is missing."""
        await self._lose()
        self.assertIsNone(await self.store.read("key"))
        self.assertFalse(self.store.is_failing())
        self.assertGreater(self.store.last_answer_ms(), 0)

    async def test_a_lost_history_is_an_answer_of_the_store(self) -> None:
        """Guards against a store that counts as unreachable because its history is gone."""
        self.stub.compact_history()
        await self._lose()
        with self.assertRaises(HistoryLostError):
            await self.store.watch("key", 1, 0)
        self.assertFalse(self.store.is_failing())
        self.assertGreater(self.store.last_answer_ms(), 0)

    async def test_changes_beyond_one_response_are_read_by_pages(self) -> None:
        """Guards against a leader that decodes all changes of a burst at once."""
        for number in range(4):
            self.stub.put(f"in/job/{number}", {"image": "x" * (MAX_WATCH_BYTES // 4)})
        with self.assertRaises(HistoryLostError):
            await self.store.watch("in/", 1, 0)
        self.assertFalse(self.store.is_failing())
        items, revision = await self.store.read_all("in/")
        self.assertEqual(len(items), 4)
        self.assertEqual((await self.store.watch("in/", revision, 0))[0], [])

    async def test_an_expired_lease_is_an_answer_of_the_store(self) -> None:
        """Guards against a store that counts as unreachable because a lease has expired."""
        await self._lose()
        self.assertFalse(await self.store.keep_lease(99))
        self.assertFalse(self.store.is_failing())
