"""Removal of a partition's old records and compaction of its journal."""

import asyncio
from collections.abc import Callable

from lagoonshelf_core.errors import LagoonshelfError
from lagoonshelf_core.journal import ForgetEntry
from lagoonshelf_server.journal_writer import JournalWriter
from lagoonshelf_server.logs import logger
from lagoonshelf_server.partition_state import PartitionState
from lagoonshelf_server.snapshots import MAX_SEGMENTS, SnapshotError, write_snapshot
from lagoonshelf_server.store import StoreClient, StoreError
from lagoonshelf_server.task_events import TaskEvents

MAINTENANCE_INTERVAL_S = 2.0
_log = logger("upkeep")


class Maintenance:
    """Limits what one owned partition keeps in memory and in the store."""

    def __init__(
        self,
        partition: PartitionState,
        events: TaskEvents,
        store: StoreClient,
        journal: JournalWriter,
        first_segment: int,
    ) -> None:
        """Initialize for an active partition.

        :param first_segment: number of the oldest segment in the store
        """
        self._partition = partition
        self._events = events
        self._store = store
        self._journal = journal
        self._first_segment = first_segment

    async def run(self, may_start: Callable[[], bool]) -> None:
        """Run the maintenance at a fixed interval until cancelled.

        :param may_start: whether the partition is active
        """
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            if not may_start():
                continue
            try:
                await self.remove_old_records()
                await self.compact_journal()
            except (StoreError, SnapshotError, LagoonshelfError) as exc:
                _log.info(
                    "maintenance postponed", partition=self._partition.number, reason=str(exc)
                )

    async def remove_old_records(self) -> None:
        """Remove old records; journal this before a new request may use their keys."""
        old = self._partition.record_table.ended_before(
            self._partition.clock.now_ms() - self._partition.cfg.retain_ms
        )
        entries = [
            ForgetEntry(record.spec.team, record.spec.request_key)
            for record in old
            if record.durable or not record.spec.repeatable
        ]
        if entries:
            await self._partition.append(entries, True)
        for record in old:
            self._partition.record_table.drop(record)
            self._events.release_results(record)

    async def compact_journal(self) -> None:
        """Replace the segments by a snapshot if there are more than ``MAX_SEGMENTS``."""
        number = self._journal.next_segment
        if number - self._first_segment <= MAX_SEGMENTS:
            return
        entries = self._journal.state.entries()
        await write_snapshot(
            self._store, self._partition.number, self._partition.epoch, entries, number
        )
        self._first_segment = number - 1
