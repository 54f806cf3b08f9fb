"""Group commit of job progress, on condition that this process still holds the leader lease."""

import asyncio
from contextlib import suppress

from lagoonshelf_core.jobs.progress import Job, JobState, encode_progress
from lagoonshelf_core.jobs.spec import JobId
from lagoonshelf_server.jobs.keys import LEADER_KEY, cancel_key, job_key, progress_key
from lagoonshelf_server.jobs.leader_lease import LeaderLease
from lagoonshelf_server.jobs.ports import (
    ABSENT,
    Committed,
    Conflict,
    Put,
    Store,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.logs import logger

# A store transaction has at most 32 entries: one for the leader lease and two per job.
MAX_JOBS_PER_COMMIT = 15
# Starts and final states wait for their record, so they are written soon; other progress is
# batched for longer to save store calls.
URGENT_BATCH_DELAY_S = 0.006
BATCH_DELAY_S = 0.04
# The next commit starts in parallel only after the previous one has been unanswered for this long.
# Usually it is answered sooner, and all jobs that wait meanwhile share one call.
OVERLAP_DELAY_S = 0.03
PARALLEL_COMMITS = 4
RETRY_S = 0.1

_log = logger("ledger")


class ProgressWriter:
    """Writes the progress of changed jobs and tracks what is durable."""

    def __init__(self, store: Store, leader_lease: LeaderLease) -> None:
        """Set up with nothing to write."""
        self._store = store
        self._leader_lease = leader_lease
        self._waiting: dict[JobId, Job] = {}
        self._writing: set[JobId] = set()
        # Version at which each job was first added after its last durable write started.
        self._dirty_since: dict[JobId, int] = {}
        self._revisions: dict[JobId, int] = {}
        self._commit_starts: list[float] = []
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()
        self._version = 0
        self._written = asyncio.Event()
        self.durable_states: dict[JobId, JobState] = {}

    def load_record(self, job: JobId, revision: int, state: JobState) -> None:
        """Record the revision and state of a record that was read from the store."""
        self._revisions[job] = revision
        self.durable_states[job] = state

    def add(self, jobs: set[Job], *, is_urgent: bool = True) -> None:
        """Queue the current progress of jobs for writing."""
        if not jobs:
            return
        self._version += 1
        for job in jobs:
            self._waiting[job.id] = job
            self._dirty_since.setdefault(job.id, self._version)
        self._wake.set()
        if is_urgent:
            self._urgent.set()

    def mark(self) -> int:
        """Return a mark that covers everything added so far."""
        return self._version

    def is_durable(self, mark: int) -> bool:
        """Return whether everything that a mark covers is durable."""
        return all(version > mark for version in self._dirty_since.values())

    async def wait_durable(self, mark: int, timeout_s: float) -> bool:
        """Wait until everything that a mark covers is durable; return ``False`` on timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                while not self.is_durable(mark):
                    self._written.clear()
                    await self._written.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Write until cancelled, with several concurrent commits of different jobs."""
        async with asyncio.TaskGroup() as group:
            for _ in range(PARALLEL_COMMITS):
                group.create_task(self._write_batches())

    async def _write_batches(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            with suppress(TimeoutError):
                async with asyncio.timeout(BATCH_DELAY_S):
                    await self._urgent.wait()
                    await asyncio.sleep(URGENT_BATCH_DELAY_S)
            if self._commit_starts and loop.time() - self._commit_starts[-1] < OVERLAP_DELAY_S:
                await asyncio.sleep(URGENT_BATCH_DELAY_S)
                continue
            batch = self._next_batch()
            if batch:
                self._commit_starts.append(loop.time())
                await self._write_batch(batch)
                self._commit_starts.pop(0)

    def _next_batch(self) -> list[Job]:
        """Remove and return queued jobs that are not being written."""
        free = [job for name, job in self._waiting.items() if name not in self._writing]
        batch = free[:MAX_JOBS_PER_COMMIT]
        for job in batch:
            del self._waiting[job.id]
            self._writing.add(job.id)
        if len(batch) == len(free):
            self._wake.clear()
            self._urgent.clear()
        return batch

    async def _write_batch(self, batch: list[Job]) -> None:
        started_version = self._version
        for job in batch:
            self._dirty_since[job.id] = min(
                self._dirty_since.get(job.id, started_version), started_version
            )
        while not await self._write(batch):
            if not self._leader_lease.is_held:
                return
            await asyncio.sleep(RETRY_S)
        for job in batch:
            self._writing.discard(job.id)
            if job.id in self._waiting:
                # Added again meanwhile; the write may not include that change.
                self._dirty_since[job.id] = started_version + 1
                self._wake.set()
                self._urgent.set()
            else:
                self._dirty_since.pop(job.id, None)
        self._written.set()

    async def delete_records(self, jobs: list[JobId]) -> None:
        """Delete the records of ended jobs."""
        for job in jobs:
            deletes = [job_key(job), cancel_key(job), progress_key(job)]
            result = await self._store.commit(
                {LEADER_KEY: self._leader_lease.revision}, deletes=deletes
            )
            if isinstance(result, Committed):
                self._revisions.pop(job, None)
                self.durable_states.pop(job, None)

    async def _write(self, batch: list[Job]) -> bool:
        """Write one batch; return whether it is durable."""
        states = [job.state for job in batch]
        puts = [Put(progress_key(job.id), encode_progress(job)) for job in batch]
        conditions: dict[str, int] = {LEADER_KEY: self._leader_lease.revision}
        for job in batch:
            conditions[progress_key(job.id)] = self._revisions.get(job.id, ABSENT)
        try:
            result = await self._store.commit(conditions, puts)
        except (StoreUnavailableError, StoreUncertainError) as exc:
            _log.info("progress not written", jobs=len(batch), reason=str(exc))
            return False
        if isinstance(result, Conflict):
            return self._resolve_conflict(batch, states, puts, result)
        if result is None:
            return False
        for job, state in zip(batch, states, strict=True):
            self._revisions[job.id] = result.revision
            self.durable_states[job.id] = state
        return True

    def _resolve_conflict(
        self, batch: list[Job], states: list[JobState], puts: list[Put], conflict: Conflict
    ) -> bool:
        """Return whether the conflict shows that an earlier attempt took effect.

        Stop leading if it shows that another process holds the leader lease.

        :param states: states of the jobs when the records were encoded
        """
        found = {item.key: item for item in conflict.items}
        leader_item = found.get(LEADER_KEY)
        if leader_item is None or leader_item.revision != self._leader_lease.revision:
            if leader_item is not None:
                self._leader_lease.observe_revision(leader_item.revision)
            return False
        took_effect = True
        for job, put in zip(batch, puts, strict=True):
            item = found.get(put.key)
            self._revisions[job.id] = ABSENT if item is None else item.revision
            took_effect = took_effect and item is not None and item.value == put.value
        if not took_effect:
            _log.info("progress record differs from the write", jobs=[job.id for job in batch])
            return False
        for job, state in zip(batch, states, strict=True):
            self.durable_states[job.id] = state
        return True
