"""Tests of configuration synchronization against the stand-in store on loopback."""

import asyncio
import threading
import unittest
from collections.abc import Callable

import orjson

from lagoonshelf_core.clock import ManualClock
from lagoonshelf_core.membership import Membership
from lagoonshelf_server import config_sync
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.config_sync import KEPT_CHANGES, PREFIX, ConfigSync, revision_key
from lagoonshelf_server.store import StoreClient
from lagoonshelf_standins.http import make_server
from lagoonshelf_standins.store import Mode, Store

FRESH_MS = 4000


def document(number: int) -> dict:
    """Return a document that differs for each number."""
    teams = {f"team{n}": {"limit_tasks": n, "limit_cpu_milli": 1} for n in range(50)}
    teams["team0"]["limit_tasks"] = number
    return {"teams": teams, "keys": {}, "queues": {}}


class ConfigSyncTest(unittest.IsolatedAsyncioTestCase):
    """Several processes that share one store."""

    async def asyncSetUp(self) -> None:
        self.backend = Store()
        self.on_call: Callable[[str, dict], None] = lambda path, body: None
        server = make_server("127.0.0.1", 0, self.handle, 8)
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self.addCleanup(server.stop)
        self.url = f"http://127.0.0.1:{server.bind_addr[1]}"
        self.clock = ManualClock(1000)
        self.bridge = Bridge(asyncio.get_running_loop(), 4)
        self.addCleanup(self.bridge.close)

    def handle(self, path: str, body: dict) -> tuple[int, object]:
        answer = self.backend.handle(path, body)
        self.on_call(path, body)
        return answer

    def process(self) -> ConfigSync:
        store = StoreClient(self.url, self.bridge, self.clock.now_ms, "p")
        return ConfigSync(store, self.clock, Membership(), FRESH_MS, self.bridge.spawn)

    async def propose(self, config: ConfigSync, number: int) -> str:
        """Propose a document based on the current revision; return the fault code, or ""."""
        result = await config.propose(config.revision, document(number))
        fault = result.swap().value_or(None)
        return fault.code.name if fault else ""

    async def grow(self, config: ConfigSync, revision: int) -> None:
        while config.revision < revision:
            self.assertEqual(await self.propose(config, config.revision), "")
        await asyncio.gather(*self.bridge._tasks)

    def stored(self) -> list[str]:
        items = self.backend.handle("/list", {"prefix": PREFIX, "limit": 10_000})[1]["items"]
        return [item["key"] for item in items]

    async def test_a_starting_process_reads_from_the_newest_snapshot_in_two_calls(self) -> None:
        """Guards against a process that reads all revisions when it starts."""
        old = self.process()
        await self.grow(old, 200)
        self.assertEqual(self.stored()[0], revision_key(128))
        self.backend.counters.clear()
        new = self.process()
        await new.refresh()
        self.assertEqual((new.revision, new.raw), (200, old.raw))
        self.assertEqual(dict(self.backend.counters), {"/get": 1, "/list": 1})

    async def test_a_start_without_the_snapshot_hint_still_finds_all(self) -> None:
        """Guards against a missing hint, as after a writer that died before writing it."""
        old = self.process()
        await self.grow(old, 130)
        hint = self.backend.handle("/get", {"key": config_sync.SNAPSHOT_HINT_KEY})[1]
        self.backend.handle("/delete", {"key": config_sync.SNAPSHOT_HINT_KEY, **hint})
        new = self.process()
        await new.refresh()
        self.assertEqual((new.revision, new.raw), (130, old.raw))

    async def test_a_change_is_smaller_than_the_document(self) -> None:
        """Guards against 4,400 changes a day that each send every process the full document."""
        config = self.process()
        await self.grow(config, 2)
        self.assertLess(len(config.changes[2]), len(orjson.dumps(document(1))) / 5)
        self.assertEqual(config.changes_after(1), (config.changes[2],))

    async def test_kept_changes_are_bounded_and_an_old_revision_gets_a_snapshot(self) -> None:
        """Guards against memory that grows with each change, and a peer that cannot catch up."""
        config = self.process()
        await self.grow(config, KEPT_CHANGES + 5)
        self.assertEqual(len(config.changes), KEPT_CHANGES)
        behind = self.process()
        (snapshot,) = config.changes_after(1)
        self.assertTrue(behind.apply(snapshot))
        self.assertEqual((behind.revision, behind.raw), (config.revision, config.raw))

    async def test_a_process_catches_up_after_the_changes_it_missed_were_deleted(self) -> None:
        """Guards against a process that stays behind because a change it needs was deleted."""
        lagging, config = self.process(), self.process()
        await self.grow(config, 1)
        await lagging.refresh()
        await self.grow(config, 200)
        await lagging.refresh()
        self.assertEqual((lagging.revision, lagging.raw), (200, config.raw))

    async def test_a_digest_mismatch_is_repaired_from_the_store(self) -> None:
        """Guards against a process that keeps a document that differs from the stored one."""
        good, bad = self.process(), self.process()
        await self.grow(good, 3)
        await bad.refresh()
        bad.current.raw["teams"]["team7"]["limit_tasks"] = 999
        await self.grow(good, 4)
        await bad.refresh()
        self.assertEqual((bad.revision, bad.raw), (4, good.raw))

    async def test_an_invalid_revision_makes_the_configuration_stale(self) -> None:
        """Guards against a process that fails, or keeps admitting work, after an invalid value."""
        config = self.process()
        await self.grow(config, 1)
        self.clock.advance(FRESH_MS)
        self.backend.handle("/cas", {"key": revision_key(2), "value": "{", "version": 0})
        await config.refresh()
        self.assertEqual((config.revision, config.remaining_fresh_ms()), (1, 0))

    async def test_a_lower_revision_is_never_applied(self) -> None:
        """Guards against a configuration that reverts to an earlier revision (I11)."""
        config = self.process()
        await self.grow(config, 3)
        first = config.changes[1]
        before = config.raw
        config.apply(first)
        self.assertEqual((config.revision, config.raw), (3, before))

    async def test_a_lagging_process_proposes_on_the_current_revision(self) -> None:
        """Guards against a false conflict because this process lags behind the store."""
        lagging, config = self.process(), self.process()
        await self.grow(config, 3)
        result = await lagging.propose(3, document(9))
        self.assertEqual(result.unwrap(), 4)

    async def test_one_of_two_concurrent_proposals_succeeds(self) -> None:
        """Guards against two operators silently overwriting each other's change."""
        first, second = self.process(), self.process()
        await self.grow(first, 5)
        results = await asyncio.gather(
            first.propose(5, document(100)), second.propose(5, document(200))
        )
        faults = [result.swap().value_or(None) for result in results]
        (fault,) = [fault for fault in faults if fault]
        self.assertEqual(fault.code.name, "CONFIG_CONFLICT")
        self.assertIn("the current one is 6", fault.message)

    async def test_a_lost_answer_is_resolved_by_reading(self) -> None:
        """Guards against reporting a change as refused when only the answer to it was lost."""
        config = self.process()
        await self.grow(config, 1)
        self.backend.mode = Mode.LOSE_ANSWERS
        self.assertEqual(await self.propose(config, 50), "")
        self.assertEqual(config.revision, 2)

    async def test_a_write_of_unknown_outcome_is_found_when_the_store_is_back(self) -> None:
        """Guards against losing a change because the store failed after writing it."""
        config = self.process()
        await self.grow(config, 1)
        self.backend.mode = Mode.LOSE_ANSWERS

        def go_down(path: str, body: dict) -> None:
            self.clock.advance(500)
            if path == "/cas":
                self.backend.mode = Mode.DOWN

        self.on_call = go_down
        self.assertEqual(await self.propose(config, 50), "WRITE_UNKNOWN")
        self.assertEqual(config.revision, 1)
        self.assertEqual(await self.propose(config, 51), "STORE_UNAVAILABLE")
        self.backend.mode = Mode.UP
        await config.refresh()
        self.assertEqual(config.raw["teams"]["team0"]["limit_tasks"], 50)

    async def test_freshness_counts_from_the_time_the_read_was_sent(self) -> None:
        """Guards against an old answer that counts as fresh, as after a pause of the process."""
        config = self.process()
        await self.grow(config, 1)
        self.clock.advance(FRESH_MS)
        self.assertEqual(config.remaining_fresh_ms(), 0)
        self.on_call = lambda path, body: self.clock.advance(60_000)
        await config.refresh()
        self.assertEqual(config.remaining_fresh_ms(), 0)
