"""Group commit of job progress, on condition that this process still holds the leader lease.

The write of a final state replaces all other records of the job, so that what a successor has to
read does not grow with the number of jobs that have ended.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from lagoonshelf_core.jobs.job_records import encode_end, encode_progress
from lagoonshelf_core.jobs.progress import Job, JobState
from lagoonshelf_core.jobs.spec import JobId
from lagoonshelf_server.jobs.keys import (
    LEADER_KEY,
    cancel_key,
    ended_key,
    job_key,
    progress_key,
)
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

# Entries that the store accepts in one transaction.
MAX_ENTRIES = 32
# Jobs in one transaction, apart from ended ones: each has a condition and a record.
MAX_JOBS_PER_BATCH = (MAX_ENTRIES - 1) // 2
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


@dataclass(frozen=True, slots=True)
class _Write:
    """Entries of a transaction that make the current state of one job durable."""

    job: JobId
    state: JobState
    conditions: dict[str, int]
    put: Put
    deletes: tuple[str, ...] = ()

    @property
    def entries(self) -> int:
        """Return the number of entries in the transaction."""
        return len(self.conditions) + 1 + len(self.deletes)

    @property
    def is_end(self) -> bool:
        """Return whether it replaces the records of the job by its final state."""
        return self.put.key == ended_key(self.job)


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
        self._ended: set[JobId] = set()
        self._commit_starts: list[float] = []
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()
        self._version = 0
        self._written = asyncio.Event()
        self._finished = asyncio.Event()
        self.durable_states: dict[JobId, JobState] = {}
        self.on_ended: Callable[[JobId], None] = lambda job: None

    def load_record(self, job: JobId, revision: int, state: JobState) -> None:
        """Record the revision and state of a record that was read from the store."""
        self._revisions[job] = revision
        self.durable_states[job] = state

    def add(self, jobs: set[Job], *, is_urgent: bool = True) -> None:
        """Queue the current progress of jobs for writing."""
        # Nothing that happens to a job after its final state is durable has to be kept.
        jobs = {job for job in jobs if job.id not in self._ended}
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
            while True:
                await self._wake.wait()
                with suppress(TimeoutError):
                    async with asyncio.timeout(BATCH_DELAY_S):
                        await self._urgent.wait()
                        await asyncio.sleep(URGENT_BATCH_DELAY_S)
                await self._wait_for_turn()
                batch = self._next_batch()
                if batch:
                    group.create_task(self._commit(batch))

    async def _wait_for_turn(self) -> None:
        """Wait until another commit may start."""
        loop = asyncio.get_running_loop()
        while self._commit_starts:
            overlap_s = self._commit_starts[-1] + OVERLAP_DELAY_S - loop.time()
            is_full = len(self._commit_starts) >= PARALLEL_COMMITS
            if overlap_s <= 0 and not is_full:
                return
            self._finished.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(None if is_full else overlap_s):
                    await self._finished.wait()

    async def _commit(self, batch: list[Job]) -> None:
        started = asyncio.get_running_loop().time()
        self._commit_starts.append(started)
        await self._write_batch(batch)
        self._commit_starts.remove(started)
        self._finished.set()

    def _next_batch(self) -> list[Job]:
        """Remove and return queued jobs that are not being written."""
        free = [job for name, job in self._waiting.items() if name not in self._writing]
        batch = free[:MAX_JOBS_PER_BATCH]
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
        pending = batch
        while pending := [job for job in pending if job.id not in self._ended]:
            writes = self._plan_writes(pending)
            if await self._write(writes):
                pending = pending[len(writes) :]
                continue
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

    async def delete(self, keys: list[str]) -> bool:
        """Delete records that are no longer needed; return whether this process still leads."""
        for start in range(0, len(keys), MAX_ENTRIES - 1):
            some = keys[start : start + MAX_ENTRIES - 1]
            result = await self._store.commit({LEADER_KEY: self._leader_lease.token}, deletes=some)
            if not isinstance(result, Committed):
                return False
        return True

    def forget(self, job: JobId) -> None:
        """Forget an ended job whose record has been deleted."""
        self._ended.discard(job)
        self.durable_states.pop(job, None)

    def _plan_writes(self, jobs: list[Job]) -> list[_Write]:
        """Return the writes of the first of some jobs, as many as fit into one transaction."""
        writes: list[_Write] = []
        entries = 1  # the condition on the leader lease
        for job in jobs:
            write = self._plan_write(job)
            entries += write.entries
            if entries > MAX_ENTRIES:
                break
            writes.append(write)
        return writes

    def _plan_write(self, job: Job) -> _Write:
        """Return the write that makes the current state of a job durable."""
        revision = self._revisions.get(job.id, ABSENT)
        conditions = {progress_key(job.id): revision}
        # The size of runs that are being stopped is known by the records of their job.
        if not job.is_final or job.has_runs:
            put = Put(progress_key(job.id), encode_progress(job))
            return _Write(job.id, job.state, conditions, put)
        # The condition on the final state shows whether an unanswered attempt took effect.
        conditions[ended_key(job.id)] = ABSENT
        deletes = [job_key(job.id)]
        if revision != ABSENT:
            deletes.append(progress_key(job.id))
        if job.state is JobState.CANCELLED:
            deletes.append(cancel_key(job.id))
        put = Put(ended_key(job.id), encode_end(job))
        return _Write(job.id, job.state, conditions, put, tuple(deletes))

    async def _write(self, writes: list[_Write]) -> bool:
        """Write in one transaction; return whether it is durable."""
        conditions: dict[str, int] = {LEADER_KEY: self._leader_lease.token}
        for write in writes:
            conditions.update(write.conditions)
        puts = [write.put for write in writes]
        deletes = [key for write in writes for key in write.deletes]
        try:
            result = await self._store.commit(conditions, puts, deletes)
        except (StoreUnavailableError, StoreUncertainError) as exc:
            _log.info("progress not written", jobs=len(writes), reason=str(exc))
            return False
        if isinstance(result, Conflict):
            return self._resolve_conflict(writes, result)
        if result is None:
            return False
        for write in writes:
            self._record_write(write, result.revision)
        return True

    def _record_write(self, write: _Write, revision: int) -> None:
        """Record that a write is durable.

        :param revision: revision of the job's progress record
        """
        self.durable_states[write.job] = write.state
        if write.is_end:
            self._revisions.pop(write.job, None)
            self._ended.add(write.job)
            self.on_ended(write.job)
        else:
            self._revisions[write.job] = revision

    def _resolve_conflict(self, writes: list[_Write], conflict: Conflict) -> bool:
        """Return whether the conflict shows that an earlier attempt took effect.

        Stop leading if it shows that another process holds the leader lease.
        """
        found = {item.key: item for item in conflict.items}
        leader_item = found.get(LEADER_KEY)
        if leader_item is None or leader_item.revision != self._leader_lease.token:
            if leader_item is not None:
                self._leader_lease.observe_revision(leader_item.revision)
            return False
        took_effect = True
        for write in writes:
            progress = found.get(progress_key(write.job))
            self._revisions[write.job] = ABSENT if progress is None else progress.revision
            item = found.get(write.put.key)
            if item is None:
                took_effect = False
            elif write.is_end:
                # Only the leader writes final states, so an existing one is that of this job.
                self._record_write(write, ABSENT)
            else:
                took_effect = took_effect and item.value == write.put.value
        if not took_effect:
            _log.info(
                "progress record differs from the write", jobs=[write.job for write in writes]
            )
            return False
        for write in writes:
            if not write.is_end:
                self.durable_states[write.job] = write.state
        return True
