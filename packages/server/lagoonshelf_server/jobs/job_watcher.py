"""Watches the store for jobs and cancellations that were not announced to the leader."""

import asyncio
from collections.abc import Callable

from returns.result import Failure

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.spec import JobId, JobSpec, decode_job
from lagoonshelf_server.jobs.keys import CANCEL_PREFIX, JOB_PREFIX, SUBMISSION_PREFIX
from lagoonshelf_server.jobs.ports import (
    HistoryLostError,
    Item,
    Store,
    StoreRevision,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.logs import logger

WATCH_MS = 5_000
RETRY_S = 0.1
# Accepting processes announce the jobs they store, so the watch only has to find missed ones.
WATCH_PAUSE_S = 0.4
# A watch that returns at once, to learn whether one that waits has missed something.
POLL_MS = 1
POLL_CHECK_S = 0.05

_log = logger("intake")


class JobWatcher:
    """Watches the jobs and cancellations that are written to the store."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        accept: Callable[[JobSpec, StoreRevision], object],
        cancel: Callable[[JobId], None],
    ) -> None:
        """Set up.

        :param accept: called with each stored job, including known ones, and the revision of its
            creation
        :param cancel: called with the id of each cancelled job
        """
        self._store = store
        self._clock = clock
        self._accept = accept
        self._cancel = cancel
        self.revision = StoreRevision(0)
        self._confirmed_ms = 0
        self._is_failing = False

    def age_ms(self) -> int:
        """Return how long ago everything that was stored is known to have been passed on."""
        return self._clock.now_ms() - self._confirmed_ms

    def record_reading(self, revision: StoreRevision, sent_ms: int) -> None:
        """Record that everything up to a revision has been passed on.

        :param sent_ms: when it was requested; the response may have waited here for any time
        """
        if self._is_failing:
            self._is_failing = False
            _log.info("submissions watched again", revision=revision, age_ms=self.age_ms())
        self.revision = max(self.revision, revision)
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)

    async def watch(self) -> None:
        """Watch from ``revision`` on until cancelled."""
        while True:
            if await self._apply_changes(WATCH_MS):
                await asyncio.sleep(WATCH_PAUSE_S)

    async def poll(self, max_age_ms: int) -> None:
        """Ask for changes whenever the watch has not returned for a while, until cancelled.

        A watch without changes waits, and one whose connection was lost without an error too.

        :param max_age_ms: age of what is known from which to ask
        """
        while True:
            await asyncio.sleep(POLL_CHECK_S)
            # While the store fails, the watch asks as often.
            if self.age_ms() >= max_age_ms and not self._store.is_failing():
                await self._apply_changes(POLL_MS)

    async def _apply_changes(self, wait_ms: int) -> bool:
        """Pass on the changes since ``revision``; return whether the store returned them."""
        sent_ms = self._clock.now_ms()
        try:
            changes, revision = await self._store.watch(SUBMISSION_PREFIX, self.revision, wait_ms)
        except HistoryLostError:
            await self._reread()
            return False
        except (StoreUnavailableError, StoreUncertainError) as exc:
            self._log_failure(exc)
            await asyncio.sleep(RETRY_S)
            return False
        for change in changes:
            if change.item is not None:
                self.apply_item(change.item)
        self.record_reading(revision, sent_ms)
        return True

    async def _reread(self) -> None:
        """Pass on all that is stored; what has been passed on so far is kept if a page fails."""
        sent_ms = self._clock.now_ms()
        revision, after, count = None, "", 0
        while True:
            try:
                page = await self._store.read_page(SUBMISSION_PREFIX, after)
            except (StoreUnavailableError, StoreUncertainError) as exc:
                self._log_failure(exc)
                await asyncio.sleep(RETRY_S)
                return
            revision = page.revision if revision is None else revision
            count += len(page.items)
            for item in page.items:
                self.apply_item(item)
            if not page.has_more:
                break
            after = page.items[-1].key
        self.record_reading(revision, sent_ms)
        _log.info("submissions read again", items=count, revision=revision)

    def _log_failure(self, exc: Exception) -> None:
        """Log the first of some failures; the end of them is logged by ``record_reading``."""
        if not self._is_failing:
            self._is_failing = True
            fields = {"revision": self.revision, "age_ms": self.age_ms(), "reason": str(exc)}
            _log.info("submissions not watched", **fields)

    def apply_item(self, item: Item) -> None:
        """Pass on a stored job or cancellation."""
        cancelled = read_cancel(item)
        if cancelled is not None:
            self._cancel(cancelled)
        spec = read_job(item)
        if spec is not None:
            self._accept(spec, item.created)


def read_job(item: Item) -> JobSpec | None:
    """Return the job in a stored item, ``None`` for other items and unreadable records."""
    if not item.key.startswith(JOB_PREFIX):
        return None
    result = decode_job(item.value)
    if isinstance(result, Failure):
        _log.error("job record unreadable", key=item.key, reason=str(result.failure()))
        return None
    return result.unwrap()


def read_cancel(item: Item) -> JobId | None:
    """Return the id of the job that a stored item cancels, ``None`` for other items."""
    if not item.key.startswith(CANCEL_PREFIX):
        return None
    return JobId(item.key.removeprefix(CANCEL_PREFIX))
