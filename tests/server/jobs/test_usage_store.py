"""Tests of the record of past use over leader terms, with a fake store."""

import asyncio
from unittest.mock import patch

import orjson

from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.past_use import MAX_TEAMS
from lagoonshelf_server.jobs import job_metrics, usage_store
from lagoonshelf_server.jobs.keys import USAGE
from lagoonshelf_server.jobs.leader import Leader
from lagoonshelf_server.jobs.usage_store import MAX_RECORD_BYTES, decode_usage, encode_usage
from tests.support.job_fakes import eventually
from tests.support.jobs import TEAM, make_job, make_step
from tests.support.terms import TermTestCase

HOUR_MS = 3_600_000
USE = 1e9


class UsageStoreTest(TermTestCase):
    """Terms that write their use every 20 ms."""

    options = SchedulerOptions(usage_half_life_h=4.0)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name, value in (("TICK_S", 0.005), ("WRITE_INTERVAL_MS", 20)):
            short = patch.object(usage_store, name, value)
            short.start()
            self.addCleanup(short.stop)

    def _recorded(self) -> float:
        item = self.store.items.get(USAGE)
        return 0.0 if item is None else decode_usage(item.value)[0].get(TEAM, 0.0)

    def _known(self, leader: Leader) -> float | None:
        past_use = leader.cell.past_use
        if not past_use.is_known:
            return None
        return past_use.use_core_ms(self.clock.now_ms()).get(TEAM, 0.0)

    def _put_record(self, age_ms: int = 0) -> None:
        self.store.put(USAGE, encode_usage({TEAM: USE}, self.clock.wall_ms() - age_ms))

    async def test_overlapping_leaders_count_use_once(self) -> None:
        """Guards against a late write of a deposed leader, and a run charged by both leaders.

        A long run goes on over the takeover; the former leader does not notice that it is deposed.
        """
        first = await self._term("m1")
        began_ms = self.clock.now_ms()
        self._store(make_job(make_step(1, is_service=True)))
        await eventually(lambda: self._recorded() > 400)
        before = self._recorded()
        second = await self._term("m2")
        await first._usage_store._replace(b"late")
        values = [c.item.value for c in self.store.changes if c.key == USAGE]
        self.assertNotIn(b"late", values)
        await eventually(lambda: (self._known(second) or 0) > before + 100)
        self.assertLess(self._known(second), 4 * (self.clock.now_ms() - began_ms))

    async def test_store_that_is_down_loses_nothing_while_the_leader_lives(self) -> None:
        """Guards against a leader that waits for the record, or overwrites it unread."""
        self._put_record()
        original, self.store.read = self.store.read, self._read_nothing
        leader = await self._term("m1")
        await asyncio.sleep(0.05)
        self.assertIsNone(self._known(leader))
        self.assertEqual(job_metrics.usage_is_known.get({}), 0)
        self.assertEqual(len(job_metrics.team_use.values), 0)
        self.store.read = original
        await eventually(lambda: self._known(leader) is not None)
        self.assertAlmostEqual(self._known(leader), USE, delta=USE / 1000)
        await eventually(lambda: len(job_metrics.team_use.values) == 1)
        self.store.lose_answers = 2
        written = self.store.items[USAGE].revision
        await eventually(lambda: self.store.items[USAGE].revision > written + 1)
        self.assertAlmostEqual(self._recorded(), USE, delta=USE / 1000)

    async def _read_nothing(self, key: str, **fields: object) -> None:
        if key == USAGE:
            raise usage_store.StoreUnavailableError("down")
        return self.store.items.get(key)

    async def test_only_a_lost_cell_ages_the_record_by_the_wall_clock(self) -> None:
        """Guards against a history that a jump of the wall clock halves at a takeover."""
        self._put_record(age_ms=24 * HOUR_MS)
        first = await self._term("m1")
        await eventually(lambda: self._known(first) is not None)
        self.assertAlmostEqual(self._known(first), USE / 2, delta=USE / 1000)
        await first.prepare_hand_over()
        self._put_record(age_ms=24 * HOUR_MS)
        second = await self._term("m2")
        await eventually(lambda: self._known(second) is not None)
        self.assertAlmostEqual(self._known(second), USE, delta=USE / 1000)

    async def test_garbage_records_start_empty_with_one_line(self) -> None:
        """Guards against a term that ends for a record that cannot be read."""
        bad = (b"\xff{", b"[]", b'{"use":{"a":-1},"written_ms":1}', b'{"use":{"a":1e300}}', b"")
        for value in bad:
            with self.assertRaises(ValueError):
                decode_usage(value)
        self.store.put(USAGE, bad[2])
        with patch.object(usage_store._log, "error") as error:
            leader = await self._term("m1")
            await eventually(lambda: self._known(leader) == 0.0)
            await eventually(lambda: self.store.items[USAGE].value != bad[2])
        error.assert_called_once()

    def test_record_of_many_teams_fits_into_one_value(self) -> None:
        """Guards against a record that the store turns away for its size."""
        use = {f"team-{number:059}": 1e17 - number for number in range(2 * MAX_TEAMS)}
        data = encode_usage(use, 1)
        self.assertLessEqual(len(data), MAX_RECORD_BYTES)
        self.assertEqual(decode_usage(orjson.dumps({"use": {}, "written_ms": 1})), ({}, 1))
        self.assertIn(next(iter(use)), decode_usage(data)[0])

    async def test_without_the_option_the_store_is_not_called(self) -> None:
        """Guards against calls for a part that is off."""
        self.options = SchedulerOptions()
        with patch.object(self.store, "read", wraps=self.store.read) as read:
            leader = await self._term("m1")
            await leader.prepare_hand_over()
            await asyncio.sleep(0.05)
        self.assertNotIn(USAGE, [call.args[0] for call in read.call_args_list])
        self.assertNotIn(USAGE, self.store.items)
