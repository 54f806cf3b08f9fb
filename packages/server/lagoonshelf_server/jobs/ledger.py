"""Group commit of the progress of jobs, under the condition that the seat is still held."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from lagoonshelf_core.jobs.progress import Job, JobState, encode_progress
from lagoonshelf_core.jobs.spec import JobId
from lagoonshelf_server.jobs.keys import SEAT, cancel_key, job_key, progress_key
from lagoonshelf_server.jobs.ports import (
    ABSENT,
    Committed,
    Conflict,
    Put,
    Store,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.jobs.seat import Seat
from lagoonshelf_server.logs import logger

# A transaction of the store has at most 32 entries: the seat, and two for each job.
MAX_JOBS_PER_COMMIT = 15
# Starts and final states wait for their record; other progress is gathered for longer, as each
# call to the store has its price.
URGENT_PAUSE_S = 0.006
PAUSE_S = 0.04
RETRY_S = 0.1

_log = logger("ledger")


class Ledger:
    """Writes the progress of changed jobs, and tells what is durable."""

    def __init__(self, store: Store, seat: Seat) -> None:
        """Set up without anything to write."""
        self._store = store
        self._seat = seat
        self._waiting: dict[JobId, Job] = {}
        self._revisions: dict[JobId, int] = {}
        self._wake = asyncio.Event()
        self._hurry = asyncio.Event()
        self._version = 0
        self._durable = 0
        self._flushed = asyncio.Event()
        self.shown: dict[JobId, JobState] = {}
        self.on_commit: Callable[[list[Job]], None] = lambda jobs: None

    def known(self, job: JobId, revision: int, state: JobState) -> None:
        """Note a record that was read."""
        self._revisions[job] = revision
        self.shown[job] = state

    def add(self, jobs: set[Job], *, is_urgent: bool = True) -> None:
        """Write the present progress of jobs soon."""
        if not jobs:
            return
        for job in jobs:
            self._waiting[job.id] = job
        self._version += 1
        self._wake.set()
        if is_urgent:
            self._hurry.set()

    def mark(self) -> int:
        """Return a mark for what has been added until now."""
        return self._version

    def is_durable(self, mark: int) -> bool:
        """Tell whether all that had been added at a mark is durable."""
        return mark <= self._durable

    async def wait_durable(self, mark: int, timeout_s: float) -> bool:
        """Wait until all that had been added at a mark is durable; tell whether it is."""
        try:
            async with asyncio.timeout(timeout_s):
                while not self.is_durable(mark):
                    self._flushed.clear()
                    await self._flushed.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._wake.wait()
            with suppress(TimeoutError):
                async with asyncio.timeout(PAUSE_S):
                    await self._hurry.wait()
                    await asyncio.sleep(URGENT_PAUSE_S)
            self._wake.clear()
            self._hurry.clear()
            await self._flush()

    async def forget(self, jobs: list[JobId]) -> None:
        """Delete the records of final jobs."""
        for job in jobs:
            deletes = [job_key(job), cancel_key(job), progress_key(job)]
            result = await self._store.commit({SEAT: self._seat.revision}, deletes=deletes)
            if isinstance(result, Committed):
                self._revisions.pop(job, None)
                self.shown.pop(job, None)

    async def _flush(self) -> None:
        """Write all that waits now; what is added meanwhile belongs to the next round."""
        while self._waiting:
            mark = self._version
            batch_jobs = list(self._waiting.values())
            self._waiting = {}
            for start in range(0, len(batch_jobs), MAX_JOBS_PER_COMMIT):
                batch = batch_jobs[start : start + MAX_JOBS_PER_COMMIT]
                while not await self._write(batch):
                    if not self._seat.is_held:
                        return
                    await asyncio.sleep(RETRY_S)
            self._durable = mark
            self._flushed.set()

    async def _write(self, batch: list[Job]) -> bool:
        """Write one batch; tell whether it is durable."""
        states = [job.state for job in batch]
        puts = [Put(progress_key(job.id), encode_progress(job)) for job in batch]
        conditions: dict[str, int] = {SEAT: self._seat.revision}
        for job in batch:
            conditions[progress_key(job.id)] = self._revisions.get(job.id, ABSENT)
        try:
            result = await self._store.commit(conditions, puts)
        except (StoreUnavailableError, StoreUncertainError) as exc:
            _log.info("progress not written", jobs=len(batch), reason=str(exc))
            return False
        if isinstance(result, Conflict):
            return self._resolve(batch, puts, result)
        if result is None:
            return False
        for job, state in zip(batch, states, strict=True):
            self._revisions[job.id] = result.revision
            self.shown[job.id] = state
        self.on_commit(batch)
        return True

    def _resolve(self, batch: list[Job], puts: list[Put], conflict: Conflict) -> bool:
        """Learn from a conflict whether an earlier try took effect, or the seat is lost."""
        found = {item.key: item for item in conflict.items}
        seat = found.get(SEAT)
        if seat is None or seat.revision != self._seat.revision:
            if seat is not None:
                self._seat.contradicted(seat.revision)
            return False
        took_effect = True
        for job, put in zip(batch, puts, strict=True):
            item = found.get(put.key)
            self._revisions[job.id] = ABSENT if item is None else item.revision
            took_effect = took_effect and item is not None and item.value == put.value
        if not took_effect:
            _log.info("progress record changed", jobs=[job.id for job in batch])
            return False
        for job in batch:
            self.shown[job.id] = job.state
        self.on_commit(batch)
        return True
