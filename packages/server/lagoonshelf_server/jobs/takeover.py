"""Reading of the cell's state at the start of a leader term."""

import asyncio
from dataclasses import dataclass

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.early_cancellations import is_cancellation_expired
from lagoonshelf_core.jobs.spec import JobId, JobSpec
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
    :param cancelled: cancelled jobs, also some that are not stored
    :param orphans: keys of progress records and cancellations that are no longer needed
    """

    revision: StoreRevision
    requested_ms: int
    jobs: tuple[JobSpec, ...]
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
        self.items: list[Item] = []
        self.revision = ABSENT
        self.requested_ms = 0

    async def read(self) -> list[Item]:
        """Return all items; ``revision`` and ``requested_ms`` are those of the first page."""
        after = ""
        while True:
            sent_ms = self._clock.now_ms()
            try:
                page = await self._store.read_page(self._prefix, after)
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.info(
                    "takeover is waiting for the store",
                    prefix=self._prefix,
                    items=len(self.items),
                    reason=str(exc),
                )
                await asyncio.sleep(RETRY_S)
                continue
            if not after:
                self.revision, self.requested_ms = page.revision, sent_ms
            self.items += page.items
            if not page.has_more:
                return self.items
            after = page.items[-1].key


async def read_cell_state(store: Store, registry_prefix: str, clock: Clock) -> CellState:
    """Read the state of the cell, however long it takes.

    The prefixes are read one after the other, which leaves room on a small link for the renewal of
    the leader lease.
    """
    registry = await PrefixReader(store, registry_prefix, clock).read()
    used_workers = await _read(store, USED_WORKERS)
    # Progress goes before jobs: a job whose records are deleted between the two readings is then
    # missing, instead of looking like one that has not started.
    progress = await PrefixReader(store, PROGRESS_PREFIX, clock).read()
    submissions = PrefixReader(store, SUBMISSION_PREFIX, clock)
    stored = await submissions.read()
    jobs: dict[JobId, JobSpec] = {}
    cancelled: dict[JobId, Item] = {}
    for number, item in enumerate(stored):
        if number % ITEMS_PER_TURN == 0:
            await asyncio.sleep(0)
        spec = read_job(item)
        if spec is not None:
            jobs[spec.id] = spec
        cancelled_job = read_cancel(item)
        if cancelled_job is not None:
            cancelled[cancelled_job] = item
    records = {JobId(item.key.removeprefix(PROGRESS_PREFIX)): item for item in progress}
    # A job whose record cannot be decoded keeps its other records.
    stored_keys = {item.key for item in stored}
    orphans = [item.key for job, item in records.items() if job_key(job) not in stored_keys]
    # A job whose cancellation is not old may still be stored.
    expired = {
        job
        for job, item in cancelled.items()
        if job_key(job) not in stored_keys and is_cancellation_expired(item.value, clock.wall_ms())
    }
    orphans += [cancelled[job].key for job in expired]
    return CellState(
        submissions.revision,
        submissions.requested_ms,
        tuple(jobs.values()),
        records,
        tuple(job for job in cancelled if job not in expired),
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
