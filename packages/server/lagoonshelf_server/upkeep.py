"""Forgets old records of a partition and shortens its journal."""

import asyncio
from collections.abc import Callable

from lagoonshelf_core.errors import LagoonshelfError
from lagoonshelf_core.journal import ForgetEntry
from lagoonshelf_server.journal_writer import JournalWriter
from lagoonshelf_server.logs import logger
from lagoonshelf_server.partition import Partition
from lagoonshelf_server.snapshots import SNAPSHOT_SEGMENTS, SnapshotError, write_snapshot
from lagoonshelf_server.store import StoreClient, StoreError
from lagoonshelf_server.task_events import TaskEvents

INTERVAL_S = 2.0
_log = logger("upkeep")


class Upkeep:
    """Bounds what one owned partition keeps in memory and in the store."""

    def __init__(
        self,
        partition: Partition,
        events: TaskEvents,
        store: StoreClient,
        journal: JournalWriter,
        first: int,
    ) -> None:
        """Set up.

        :param first: number of the oldest segment in the store
        """
        self._part = partition
        self._events = events
        self._store = store
        self._journal = journal
        self._first = first

    async def run(self, may_start: Callable[[], bool]) -> None:
        """Do the upkeep for ever.

        :param may_start: whether the partition is active
        """
        while True:
            await asyncio.sleep(INTERVAL_S)
            if not may_start():
                continue
            try:
                await self.forget_old()
                await self.shorten_journal()
            except (StoreError, SnapshotError, LagoonshelfError) as exc:
                _log.info("upkeep put off", partition=self._part.number, reason=str(exc))

    async def forget_old(self) -> None:
        """Journal that old records are forgotten before a new request may use their keys."""
        old = self._part.book.ended_before(self._part.clock.now_ms() - self._part.cfg.retain_ms)
        entries = [
            ForgetEntry(record.spec.team, record.spec.request_key)
            for record in old
            if record.durable or not record.spec.repeatable
        ]
        if entries:
            await self._part.append(entries, True)
        for record in old:
            self._part.book.drop(record)
            self._events.hand_over(record)

    async def shorten_journal(self) -> None:
        """Replace the segments by a snapshot when there are many."""
        number = self._journal.number
        if number - self._first <= SNAPSHOT_SEGMENTS:
            return
        entries = self._journal.state.entries()
        await write_snapshot(self._store, self._part.number, self._part.epoch, entries, number)
        self._first = number - 1
