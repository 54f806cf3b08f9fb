"""Tests of the journal in the store: group commit, lost answers and snapshots."""

import asyncio
import unittest

from lagoonshelf_core.errors import LagoonshelfError, ResultCode
from lagoonshelf_core.journal import (
    MAX_SEGMENT_BYTES,
    AcceptEntry,
    CancelEntry,
    EpochEntry,
    IntentEntry,
    OutcomeEntry,
    Segment,
    VoidEntry,
    encode_segment,
)
from lagoonshelf_core.records import spec_to_dict
from lagoonshelf_core.replay import JournalState
from lagoonshelf_server.journal_writer import JournalWriter
from lagoonshelf_server.snapshots import SnapshotError, read_journal, write_snapshot
from lagoonshelf_server.store import StoreError
from tests.support.fakes import FakeStore, spec, until


def accept(key: str, payload: str = "p") -> AcceptEntry:
    """Return the acceptance of a request."""
    return AcceptEntry(spec_to_dict(spec(key, payload=payload)))


class JournalTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a writer of an empty journal."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.writer = self.new_writer(JournalState(), 1)

    def new_writer(self, state: JournalState, number: int) -> JournalWriter:
        return JournalWriter(self.store, 0, 1, state, number, 1)

    async def keys(self) -> set[str]:
        """Return the request keys that a successor reads."""
        read = await read_journal(self.store, 0)
        return {key for _, key in read.state.requests}

    def segments(self) -> list[str]:
        return sorted(key for key in self.store.items if key.startswith("journal/"))


class WriterTest(JournalTestCase):
    """Appends while the store fails."""

    async def test_lost_answers_do_not_repeat_or_lose_an_entry(self) -> None:
        """Guards against an entry reported as not written although it is in the journal."""
        self.store.faults = {"cas": ["lost", None], "get": ["down", "down"]}
        await self.writer.append([accept("a")])
        self.assertEqual(await self.keys(), {"a"})
        self.assertEqual(len(self.segments()), 1)
        self.assertEqual(self.writer.next_segment, 2)

    async def test_write_is_confirmed_by_a_read_while_all_write_answers_are_lost(self) -> None:
        """Guards against an append that never returns although its entry can be read back."""
        self.store.faults = {"cas": ["lost"] * 100}
        async with asyncio.timeout(5):
            await self.writer.append([accept("a")])
        self.assertEqual(self.writer.next_segment, 2)

    async def test_conflict_is_detected_after_a_failed_read(self) -> None:
        """Guards against a conflict with another writer that is reported as an outage."""
        self.store._write("journal/0/000000000001", encode_segment(Segment(2, "x", [])), 0)
        self.store.faults = {"get": ["down"]}
        with self.assertRaises(LagoonshelfError) as caught:
            await self.writer.append([accept("a")])
        self.assertIs(caught.exception.fault.code, ResultCode.OWNER_LEFT)
        self.assertTrue(self.writer.lost)

    async def test_outage_refuses_what_was_not_sent_and_keeps_the_rest(self) -> None:
        """Guards against requests blocked by an outage, and against outcomes lost in it."""
        self.store.faults = {"cas": ["down"] * 5, "get": ["down"] * 5}
        first = asyncio.ensure_future(self.writer.append([accept("a")]))
        await until(lambda: ("cas", "journal/0/000000000001") in self.store.calls)
        await asyncio.sleep(0.01)
        with self.assertRaises(LagoonshelfError) as caught:
            await self.writer.append([accept("b")])
        self.assertIs(caught.exception.fault.code, ResultCode.STORE_UNAVAILABLE)
        outcome = OutcomeEntry("0.1.1", "t", "a", 0, "OK", "r", "d")
        await asyncio.gather(first, self.writer.append([outcome], fail_fast=False))
        self.assertEqual(await self.keys(), {"a"})
        self.assertEqual(self.writer.state.requests[("t", "a")].outcomes[0], outcome)

    async def test_large_entries_are_split_and_joined(self) -> None:
        """Guards against segments above the size limit and truncated payloads."""
        payload = '\u4e16\x01"' * 80_000
        await asyncio.gather(
            self.writer.append([accept("big", payload), accept("a")]),
            self.writer.append([accept("b", "x" * 300_000), accept("c", "x" * 300_000)]),
        )
        sizes = [len(item.value.encode()) for item in self.store.items.values()]
        self.assertLessEqual(max(sizes), MAX_SEGMENT_BYTES)
        state = (await read_journal(self.store, 0)).state
        self.assertEqual({key for _, key in state.requests}, {"a", "b", "big", "c"})
        self.assertEqual(state.requests[("t", "big")].accept.spec["payload"], payload)

    async def test_late_writer_loses(self) -> None:
        """Guards against two writers that both treat the same segment as theirs."""
        late = self.new_writer(JournalState(), 1)
        await self.writer.append([accept("a")])
        with self.assertRaises(LagoonshelfError):
            await late.append([accept("b")])
        self.assertEqual(await self.keys(), {"a"})


class SnapshotTest(JournalTestCase):
    """Snapshots that are interrupted at each step."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.writer.append([EpochEntry(1, "m1")])
        for number in range(5):
            await self.writer.append([accept(f"k{number}", "x" * 200_000)])
        self.want = {f"k{number}" for number in range(5)}

    async def snapshot(self) -> None:
        entries = self.writer.state.entries()
        await write_snapshot(self.store, 0, 1, entries, self.writer.next_segment)

    async def test_crash_at_each_step_keeps_the_journal(self) -> None:
        """Guards against accepted work lost with the segments that a snapshot replaces."""
        steps = 0
        for name in ("cas", "delete", "get", "list"):
            for mode in ("down", "lost"):
                for step in range(12):
                    self.store.faults = {name: [None] * step + [mode]}
                    try:
                        await self.snapshot()
                    except (StoreError, SnapshotError):
                        steps += 1
                    self.store.faults = {}
                    self.assertEqual(await self.keys(), self.want, (name, mode, step))
                    await self.writer.append([VoidEntry("0.1.1", 1, "t", "k0")])
        self.assertGreater(steps, 10)

    async def test_snapshot_replaces_segments_in_parts(self) -> None:
        """Guards against store values above the size limit and journals that only grow."""
        before = (await read_journal(self.store, 0)).state.entries()
        await self.snapshot()
        self.assertEqual(len(self.segments()), 1)
        parts = [i for k, i in self.store.items.items() if k.startswith("snapshot/0/0")]
        self.assertGreater(len(parts), 1)
        self.assertLessEqual(max(len(p.value.encode()) for p in parts), MAX_SEGMENT_BYTES)
        read = await read_journal(self.store, 0)
        self.assertEqual(read.state.entries(), before)
        self.assertEqual(read.next_segment, self.writer.next_segment)
        await self.writer.append([accept("after")])
        self.assertEqual(await self.keys(), self.want | {"after"})

    async def test_paused_predecessor_finds_its_segment_number_taken(self) -> None:
        """Guards against a deleted segment that a paused writer can create again."""
        late = self.new_writer(JournalState(), self.writer.next_segment)
        await self.writer.append([EpochEntry(2, "m2")])
        await self.snapshot()
        with self.assertRaises(LagoonshelfError):
            await late.append([accept("late")])


class JournalStateTest(unittest.TestCase):
    """State computed from journal entries."""

    def test_snapshot_entries_restore_the_same_state(self) -> None:
        """Guards against a snapshot that differs from the segments that it replaces."""
        state = JournalState()
        intent = IntentEntry("0.1.1", 1, "w0", "b", 0, "t", "once", "d")
        for entry in (
            EpochEntry(3, "m1"),
            accept("batch"),
            IntentEntry("0.1.2", 1, "w0", "b", 0, "t", "batch", "d", 1),
            VoidEntry("0.1.2", 1, "t", "batch", 1),
            IntentEntry("0.1.2", 2, "w0", "b", 0, "t", "batch", "d", 1),
            OutcomeEntry("0.1.3", "t", "batch", 2, "OK", "r", "d"),
            CancelEntry("t", "batch"),
            intent,
        ):
            state.apply(entry)
        copy = JournalState()
        for entry in state.entries():
            copy.apply(entry)
        self.assertEqual(copy.requests, state.requests)
        self.assertEqual(copy.epoch, 3)
        self.assertEqual(copy.requests[("t", "once")].intents, {0: intent})
        self.assertEqual(copy.requests[("t", "batch")].intents[1].attempt, 2)
