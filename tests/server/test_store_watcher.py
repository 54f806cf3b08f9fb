"""Tests of the store watcher against the stand-in store on loopback."""

import asyncio
import threading
import unittest

import orjson

from lagoonshelf_core.clock import Clock
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.config_sync import ConfigSync
from lagoonshelf_server.members import Members
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.store import StoreClient
from lagoonshelf_server.store_watcher import StoreWatcher
from lagoonshelf_standins.http import make_server
from lagoonshelf_standins.store import MAX_EVENTS, Mode, Store

MEMBER_RECORD = orjson.dumps(
    {"address": "127.0.0.1:1", "failure_domain": "fd", "lease": "l"}
).decode()


class StoreWatcherTest(unittest.IsolatedAsyncioTestCase):
    """One process that watches a store."""

    async def asyncSetUp(self) -> None:
        self.backend = Store()
        server = make_server("127.0.0.1", 0, self.backend.handle, 8)
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self.addCleanup(server.stop)
        url = f"http://127.0.0.1:{server.bind_addr[1]}"
        cfg = Settings(
            member="me",
            failure_domain="fd",
            store_url=url,
            cluster_secret="secret-of-the-test",
            operator_key_sha256="0" * 64,
        )
        clock = Clock()
        self.bridge = Bridge(asyncio.get_running_loop(), 4)
        self.addCleanup(self.bridge.close)
        store = StoreClient(url, self.bridge, clock.now_ms, "me")
        self.members = Members(cfg, store, clock)
        self.config = ConfigSync(store, clock, self.members.view, 4000, self.bridge.spawn)
        watch = StoreWatcher(store, self.members, self.config, {})
        self.task = self.bridge.spawn(watch.follow_forever())

    def put(self, key: str, value: str, version: int = 0) -> None:
        self.backend.handle("/cas", {"key": key, "value": value, "version": version})

    def remove(self, key: str) -> None:
        version = self.backend.handle("/get", {"key": key})[1]["version"]
        self.backend.handle("/delete", {"key": key, "version": version})

    async def wait_for_members(self, *names: str) -> None:
        for _ in range(1000):
            if set(self.members.others) == set(names):
                return
            await asyncio.sleep(0.01)
        self.fail(f"known: {set(self.members.others)}, expected: {names}")

    async def test_members_deleted_during_a_history_gap_are_removed(self) -> None:
        """Guards against a deleted member that stays listed.

        The watch misses the deletion because the store's event history no longer covers it.
        """
        self.put("members/a", MEMBER_RECORD)
        self.put("members/b", MEMBER_RECORD)
        await self.wait_for_members("a", "b")
        self.backend.handle("/control", {"mode": Mode.DOWN.value, "blocked": ["me"]})
        await asyncio.sleep(0.5)  # lets the pending watch call end
        self.backend.handle("/control", {"mode": Mode.UP.value})
        self.remove("members/a")
        for number in range(MAX_EVENTS + 1):
            self.put(f"filler/{number}", "")
        self.backend.handle("/control", {"blocked": []})
        await self.wait_for_members("b")

    async def test_a_malformed_value_does_not_end_the_watch(self) -> None:
        """Guards against a watch that ends after one malformed value."""
        await asyncio.sleep(0)
        for key in ("owners/x", "owners/1", "members/bad", "config/000000000001"):
            self.put(key, "{")
        self.put("members/a", MEMBER_RECORD)
        await self.wait_for_members("a")
        self.assertFalse(self.task.done())
