"""Deletion of records that are no longer needed: ended jobs, and remains of interrupted writes."""

import asyncio
from collections.abc import AsyncIterator, Callable, Container

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.early_cancellations import is_cancellation_expired
from lagoonshelf_core.jobs.job_records import decode_end_ms
from lagoonshelf_core.jobs.spec import JobId
from lagoonshelf_server.jobs.job_watcher import read_cancel
from lagoonshelf_server.jobs.keys import CANCEL_PREFIX, ENDED_PREFIX
from lagoonshelf_server.jobs.ports import (
    Item,
    Page,
    Store,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.jobs.progress_writer import ProgressWriter
from lagoonshelf_server.logs import logger

# Clients are promised the state of a job for 120 s after its end.
RETENTION_MS = 150_000
SWEEP_INTERVAL_S = 60.0
# Pause between two pages, as a sweep is never urgent.
PAGE_PAUSE_S = 0.2

_log = logger("retention")


class JobRetention:
    """Sweeps the records of ended jobs, also those that former leaders wrote."""

    def __init__(
        self,
        store: Store,
        progress_writer: ProgressWriter,
        clock: Clock,
        known_jobs: Container[JobId],
    ) -> None:
        """Set up.

        :param known_jobs: jobs whose cancellations are still needed
        """
        self._store = store
        self._progress_writer = progress_writer
        self._clock = clock
        self._known_jobs = known_jobs
        self.on_ended_job_removed: Callable[[JobId], object] = lambda job: None
        self.on_cancellation_removed: Callable[[JobId], object] = lambda job: None

    async def run(self, orphans: tuple[str, ...]) -> None:
        """Delete some orphaned records, then sweep until cancelled."""
        try:
            await self._progress_writer.delete(list(orphans))
        except (StoreUnavailableError, StoreUncertainError) as exc:
            _log.info("orphaned records not deleted", records=len(orphans), reason=str(exc))
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                await self._sweep_ended_jobs()
                await self._sweep_cancellations()
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.info("ended jobs not swept", reason=str(exc))

    async def _sweep_ended_jobs(self) -> None:
        async for page in self._read_pages(ENDED_PREFIX):
            old = [item.key for item in page.items if self._is_old(item)]
            if await self._progress_writer.delete(old):
                for key in old:
                    self.on_ended_job_removed(JobId(key.removeprefix(ENDED_PREFIX)))

    async def _sweep_cancellations(self) -> None:
        """Delete the cancellations of jobs that were never stored."""
        async for page in self._read_pages(CANCEL_PREFIX):
            now_ms = self._clock.wall_ms()
            old = [
                item.key
                for item in page.items
                if read_cancel(item) not in self._known_jobs
                and is_cancellation_expired(item.value, now_ms)
            ]
            if await self._progress_writer.delete(old):
                for key in old:
                    self.on_cancellation_removed(JobId(key.removeprefix(CANCEL_PREFIX)))

    async def _read_pages(self, prefix: str) -> AsyncIterator[Page]:
        after, has_more = "", True
        while has_more:
            page = await self._store.read_page(prefix, after, stale=True)
            yield page
            has_more = page.has_more
            after = page.items[-1].key if page.items else after
            await asyncio.sleep(PAGE_PAUSE_S)

    def _is_old(self, item: Item) -> bool:
        try:
            ended_ms = decode_end_ms(item.value)
        except (KeyError, TypeError, ValueError) as exc:
            _log.error("record of an ended job unreadable", key=item.key, reason=repr(exc))
            return True
        return ended_ms < self._clock.wall_ms() - RETENTION_MS
