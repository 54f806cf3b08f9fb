"""Reading of the cell's state at the start of a leader term."""

import asyncio
from collections.abc import AsyncIterator, Container
from dataclasses import dataclass

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.early_cancellations import is_cancellation_expired
from lagoonshelf_core.jobs.job_memory import JobMemory, job_bytes
from lagoonshelf_core.jobs.spec import JobId, JobSpec
from lagoonshelf_server.jobs.deferred_jobs import DeferredJob
from lagoonshelf_server.jobs.job_watcher import read_cancel, read_job
from lagoonshelf_server.jobs.keys import (
    PROGRESS_PREFIX,
    SUBMISSION_PREFIX,
    USED_WORKERS,
    job_key,
)
from lagoonshelf_server.jobs.ports import (
    ABSENT,
    Item,
    Store,
    StoreRevision,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.logs import logger

RETRY_S = 0.1
# Items that are decoded, and tasks that are created, before other tasks of the process, such as
# the renewal of the leader lease, get a turn.
ITEMS_PER_TURN = 50
TASKS_PER_TURN = 1_000

_log = logger("takeover")


@dataclass(frozen=True, slots=True)
class CellState:
    """State of the cell in the store.

    :param revision: revision of the store when the reading of the jobs began
    :param requested_ms: clock time at which it was requested
    :param jobs: stored jobs that have started, and others as far as memory allows
    :param deferred: the other stored jobs
    :param cancelled: cancelled jobs, also some that are not stored
    :param orphans: keys of progress records and cancellations that are no longer needed
    """

    revision: StoreRevision
    requested_ms: int
    jobs: tuple[JobSpec, ...]
    deferred: tuple[DeferredJob, ...]
    progress: dict[JobId, Item]
    cancelled: tuple[JobId, ...]
    orphans: tuple[str, ...]
    registry: tuple[Item, ...]
    used_workers: Item | None


class PrefixReader:
    """Reads the items under a prefix page by page.

    A failed call is repeated for its page only, so that reading ends however large the state is
    and however slow the link.
    """

    def __init__(self, store: Store, prefix: str, clock: Clock) -> None:
        """Set up without reading."""
        self._store = store
        self._clock = clock
        self._prefix = prefix
        self._items_read = 0
        self.revision = ABSENT
        self.requested_ms = 0

    async def read(self) -> list[Item]:
        """Return all items; ``revision`` and ``requested_ms`` are those of the first page."""
        return [item async for page in self.pages() for item in page]

    async def pages(self) -> AsyncIterator[tuple[Item, ...]]:
        """Yield the items page by page."""
        after, has_more = "", True
        while has_more:
            sent_ms = self._clock.now_ms()
            try:
                page = await self._store.read_page(self._prefix, after)
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.info(
                    "takeover is waiting for the store",
                    prefix=self._prefix,
                    items=self._items_read,
                    reason=str(exc),
                )
                await asyncio.sleep(RETRY_S)
                continue
            if not after:
                self.revision, self.requested_ms = page.revision, sent_ms
            self._items_read += len(page.items)
            yield page.items
            has_more = page.has_more
            after = page.items[-1].key if page.items else after


class _Submissions:
    """Stored jobs and cancellations, as far as a takeover keeps them."""

    def __init__(self, started: Container[JobId], memory: JobMemory) -> None:
        """Initialize without jobs.

        :param started: jobs with a progress record, which are loaded whatever they take: their
            runs are to be known
        """
        self._started = started
        self._memory = memory
        self.jobs: dict[JobId, JobSpec] = {}
        self.deferred: dict[JobId, DeferredJob] = {}
        self.cancelled: dict[JobId, Item] = {}
        # With the keys of jobs whose records cannot be decoded.
        self.keys: set[str] = set()

    def add(self, item: Item) -> None:
        """Add a stored item."""
        self.keys.add(item.key)
        cancelled_job = read_cancel(item)
        if cancelled_job is not None:
            self.cancelled[cancelled_job] = item
        spec = read_job(item)
        if spec is None or spec.id in self.jobs:
            return
        size_bytes = job_bytes(spec)
        is_loaded = spec.id in self._started or self._memory.fits(spec.team, size_bytes)
        if is_loaded:
            self.jobs[spec.id] = spec
            self._memory.update(spec, size_bytes)
        else:
            self.deferred[spec.id] = DeferredJob.of(spec)


async def read_cell_state(
    store: Store, registry_prefix: str, clock: Clock, memory: JobMemory
) -> CellState:
    """Read the state of the cell, however long it takes.

    The prefixes are read one after the other, which leaves room on a small link for the renewal of
    the leader lease.

    :param memory: memory of the jobs of the new term, to which those that are loaded are added
    """
    registry = await PrefixReader(store, registry_prefix, clock).read()
    used_workers = await _read(store, USED_WORKERS)
    # Progress goes before jobs: a job whose records are deleted between the two readings is then
    # missing, instead of looking like one that has not started.
    progress = await PrefixReader(store, PROGRESS_PREFIX, clock).read()
    records = {JobId(item.key.removeprefix(PROGRESS_PREFIX)): item for item in progress}
    reader = PrefixReader(store, SUBMISSION_PREFIX, clock)
    stored = _Submissions(records, memory)
    async for page in reader.pages():
        for number, item in enumerate(page):
            if number % ITEMS_PER_TURN == 0:
                await asyncio.sleep(0)
            stored.add(item)
    # A job whose record cannot be decoded keeps its other records.
    orphans = [item.key for job, item in records.items() if job_key(job) not in stored.keys]
    # A job whose cancellation is not old may still be stored.
    expired = {
        job
        for job, item in stored.cancelled.items()
        if job_key(job) not in stored.keys and is_cancellation_expired(item.value, clock.wall_ms())
    }
    orphans += [stored.cancelled[job].key for job in expired]
    return CellState(
        reader.revision,
        reader.requested_ms,
        tuple(stored.jobs.values()),
        tuple(stored.deferred.values()),
        records,
        tuple(job for job in stored.cancelled if job not in expired),
        tuple(orphans),
        tuple(registry),
        used_workers,
    )


async def _read(store: Store, key: str) -> Item | None:
    while True:
        try:
            return await store.read(key)
        except (StoreUnavailableError, StoreUncertainError) as exc:
            _log.info("takeover is waiting for the store", key=key, reason=str(exc))
            await asyncio.sleep(RETRY_S)
