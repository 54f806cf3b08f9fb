"""Stored jobs and cancellations, also those that nobody told the holder of."""

import asyncio
from collections.abc import Callable

from returns.result import Failure

from lagoonshelf_core.jobs.spec import JobId, JobSpec, decode_job
from lagoonshelf_server.jobs.keys import CANCEL_PREFIX, JOB_PREFIX, SUBMISSION_PREFIX
from lagoonshelf_server.jobs.ports import (
    HistoryLostError,
    Item,
    Store,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.logs import logger

WATCH_MS = 5_000
RETRY_S = 0.1
# Entries tell of the jobs they store; the watch only finds what was not told.
WATCH_PAUSE_S = 0.4

_log = logger("intake")


class JobWatcher:
    """Follows what entries write into the store."""

    def __init__(
        self,
        store: Store,
        accept: Callable[[JobSpec], object],
        cancel: Callable[[JobId], None],
    ) -> None:
        """Set up.

        :param accept: called with each stored job, also with known ones
        :param cancel: called with each cancelled job
        """
        self._store = store
        self._accept = accept
        self._cancel = cancel
        self.revision = 0

    async def follow(self) -> None:
        """Follow from ``revision`` on until cancelled."""
        while True:
            try:
                changes, revision = await self._store.watch(
                    SUBMISSION_PREFIX, self.revision, WATCH_MS
                )
                self.revision = revision
                for change in changes:
                    if change.item is not None:
                        self.apply_item(change.item)
                await asyncio.sleep(WATCH_PAUSE_S)
            except HistoryLostError:
                await self._reread()
            except (StoreUnavailableError, StoreUncertainError):
                await asyncio.sleep(RETRY_S)

    async def _reread(self) -> None:
        try:
            items, revision = await self._store.read_all(SUBMISSION_PREFIX)
        except (StoreUnavailableError, StoreUncertainError):
            await asyncio.sleep(RETRY_S)
            return
        self.revision = revision
        for item in items:
            self.apply_item(item)

    def apply_item(self, item: Item) -> None:
        """Hand on a stored job or cancellation."""
        cancelled = read_cancel(item)
        if cancelled is not None:
            self._cancel(cancelled)
        spec = read_job(item)
        if spec is not None:
            self._accept(spec)


def read_job(item: Item) -> JobSpec | None:
    """Return the job of a stored item, none for another item or an unreadable record."""
    if not item.key.startswith(JOB_PREFIX):
        return None
    result = decode_job(item.value)
    if isinstance(result, Failure):
        _log.error("job record unreadable", key=item.key, reason=str(result.failure()))
        return None
    return result.unwrap()


def read_cancel(item: Item) -> JobId | None:
    """Return the job that a stored item cancels, none for another item."""
    if not item.key.startswith(CANCEL_PREFIX):
        return None
    return JobId(item.key.removeprefix(CANCEL_PREFIX))
