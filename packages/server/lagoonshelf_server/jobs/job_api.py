"""Job API that every process serves: submit and cancel jobs, read states and queue counts."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import QueueId
from lagoonshelf_core.jobs.early_cancellations import encode_cancellation
from lagoonshelf_core.jobs.job_records import decode_state
from lagoonshelf_core.jobs.memory_admission import MemoryRefusal
from lagoonshelf_core.jobs.overload_admission import Refusal
from lagoonshelf_core.jobs.progress import FINAL_STATES, JobState
from lagoonshelf_core.jobs.spec import JobId, JobSpec, encode_job
from lagoonshelf_server.jobs.keys import cancel_key, ended_key, job_key, progress_key
from lagoonshelf_server.jobs.ports import (
    ABSENT,
    Committed,
    Conflict,
    Put,
    Store,
    StoreRevision,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.logs import logger

# Timeout of one write attempt. After an unanswered attempt, a conflict on the next one shows that
# the record exists.
WRITE_TIMEOUT_MS = 900
RETRY_S = 0.05
# Part of the client's timeout that is reserved for returning the response.
ANSWER_MARGIN_MS = 250
MAX_CACHED_STATES = 20_000

# Records in announcements to the leader, in bytes. Beyond it the leader learns of a job from the
# store, shortly later.
MAX_ANNOUNCED_BYTES = 4 * 1024 * 1024

AnyRefusal = Refusal | MemoryRefusal

_log = logger("front")


class WriteOutcome(Enum):
    """Outcome of a write to the store."""

    STORED = "stored"
    UNAVAILABLE = "unavailable"
    UNCERTAIN = "uncertain"
    UNKNOWN_JOB = "unknown job"


@dataclass(frozen=True, slots=True)
class LeaderClient:
    """Calls to the leader, which may be this process.

    Each raises ``ConnectionError`` if the leader does not answer.

    :param announce: reports a stored job with its record and the revision of its creation
    :param relay: lets another member write a job or, with an empty record, a cancellation
    """

    announce: Callable[[JobId, str, StoreRevision], Awaitable[None]]
    announce_cancel: Callable[[JobId], Awaitable[None]]
    state: Callable[[JobId], Awaitable[JobState | None]]
    relay: Callable[[JobId, str], Awaitable[WriteOutcome]]


@dataclass(frozen=True, slots=True)
class JobWrite:
    """Result of writing a job.

    :param created: revision at which the job was stored, ``ABSENT`` if it has already ended or
        is not known to be stored
    """

    outcome: WriteOutcome
    created: StoreRevision = ABSENT


class JobWriter:
    """Writes jobs and cancellations to the store, each exactly once."""

    def __init__(self, store: Store, clock: Clock) -> None:
        """Set up.

        :param clock: clock of the deadlines
        """
        self._store = store
        self._clock = clock

    async def write_job(self, job: JobId, record: bytes, deadline_ms: int) -> JobWrite:
        """Store a job unless a job with its id is stored or has ended.

        :param deadline_ms: clock time at which to give up
        """
        key = job_key(job)
        # The record of a job is deleted when it ends, but its id stays in use.
        conditions = {key: ABSENT, ended_key(job): ABSENT}
        outcome, result = await self._create(conditions, key, record, deadline_ms)
        if isinstance(result, Committed):
            return JobWrite(outcome, result.revision)
        if isinstance(result, Conflict):
            stored = next((item for item in result.items if item.key == key), None)
            return JobWrite(outcome, ABSENT if stored is None else stored.created)
        return JobWrite(outcome)

    async def write_cancel(self, job: JobId, deadline_ms: int) -> WriteOutcome:
        """Store the cancellation of a job; a job that has ended needs none.

        A job that is not stored may be about to be, so its cancellation is stored too: "unknown
        job" then means that it never runs.
        """
        key, value = cancel_key(job), encode_cancellation(self._clock.wall_ms())
        known_record = ABSENT
        while True:
            failure = WriteOutcome.UNCERTAIN if known_record else WriteOutcome.UNAVAILABLE
            try:
                stored = await self._store.read(job_key(job))
                ended = await self._store.read(ended_key(job)) if stored is None else None
            except (StoreUnavailableError, StoreUncertainError):
                return failure
            if ended is not None:
                return WriteOutcome.STORED
            revision = ABSENT if stored is None else stored.revision
            conditions = {job_key(job): revision, ended_key(job): ABSENT, key: known_record}
            outcome, result = await self._create(conditions, key, value, deadline_ms)
            if outcome is WriteOutcome.UNAVAILABLE:
                return failure
            if outcome is not WriteOutcome.STORED:
                return outcome
            if isinstance(result, Committed):
                return WriteOutcome.UNKNOWN_JOB if stored is None else outcome
            found = {item.key: item for item in result.items}
            if key in found and job_key(job) in found:
                return outcome
            # The job has been stored or has ended since it was read, or its cancellation was
            # recorded before, and is to be kept for as long from now on.
            known_record = found[key].revision if key in found else ABSENT

    async def _create(
        self, conditions: dict[str, StoreRevision], key: str, value: bytes, deadline_ms: int
    ) -> tuple[WriteOutcome, Committed | Conflict | None]:
        """Write a key under conditions that fail once it is written; a conflict is a success.

        A store whose last calls failed is probed by a read, because a write that gets no response
        may still take effect.
        """
        outcome = WriteOutcome.UNAVAILABLE
        while True:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                return outcome, None
            if self._store.is_failing() and not await self._is_answering(key, left_ms):
                if outcome is WriteOutcome.UNAVAILABLE:
                    return outcome, None
                await asyncio.sleep(RETRY_S)
                continue
            timeout_ms = min(WRITE_TIMEOUT_MS, left_ms)
            try:
                result = await self._store.commit(
                    conditions, [Put(key, value)], timeout_ms=timeout_ms
                )
                if isinstance(result, Committed | Conflict):
                    return WriteOutcome.STORED, result
            except StoreUncertainError:
                # This attempt may still take effect, whatever later attempts return.
                outcome = WriteOutcome.UNCERTAIN
            except StoreUnavailableError:
                if outcome is WriteOutcome.UNAVAILABLE:
                    return outcome, None
            await asyncio.sleep(RETRY_S)

    async def _is_answering(self, key: str, left_ms: int) -> bool:
        try:
            # A read without an answer must not outlast the deadline of the client.
            await self._store.read(key, timeout_ms=min(WRITE_TIMEOUT_MS, left_ms))
        except (StoreUnavailableError, StoreUncertainError):
            return False
        return True


class JobApi:
    """Accepts jobs once they are stored, and returns job states from the leader or the store."""

    def __init__(self, store: Store, clock: Clock, leader: LeaderClient) -> None:
        """Set up.

        :param leader: calls to the leader
        """
        self._store = store
        self._clock = clock
        self._leader = leader
        self._final_states: dict[JobId, JobState] = {}
        self._tasks: set[asyncio.Task] = set()
        self._announced_bytes = 0
        self._writer = JobWriter(store, clock)
        self.find_refusal: Callable[[JobSpec], Awaitable[AnyRefusal | WriteOutcome | None]] = (
            _accept
        )
        self.pending: dict[QueueId, int] = {}
        self.pending_at_ms = 0

    async def submit(self, spec: JobSpec, wait_ms: int) -> WriteOutcome | AnyRefusal:
        """Accept a job; it is durable when this returns ``STORED``.

        A refused job is not stored, and never runs unless it is submitted again. ``UNCERTAIN`` may
        also be returned without a write.

        :param wait_ms: timeout of the client
        """
        record = encode_job(spec)
        deadline_ms = self._clock.now_ms() + max(50, wait_ms - ANSWER_MARGIN_MS)
        refusal = await self.find_refusal(spec)
        if refusal is not None:
            return refusal
        write = partial(self.store_job, spec.id, record, deadline_ms)
        relay = partial(self._relay, spec.id, record.decode(), deadline_ms)
        written = await self._write_or_relay(write, relay)
        _log.info("job handed in", request=spec.id, queue=spec.queue, outcome=written.value)
        return written

    def outage_ms(self) -> int:
        """Return the time since the store's last answer to this process."""
        return self._clock.now_ms() - self._store.last_answer_ms()

    async def cancel(self, job: JobId, wait_ms: int) -> WriteOutcome:
        """Cancel a job; the cancellation is durable when this returns ``STORED``."""
        deadline_ms = self._clock.now_ms() + max(50, wait_ms - ANSWER_MARGIN_MS)
        write = partial(self.store_cancel, job, deadline_ms)
        relay = partial(self._relay, job, "", deadline_ms)
        written = await self._write_or_relay(write, relay)
        _log.info("job cancellation requested", request=job, outcome=written.value)
        return written

    async def store_job(self, job: JobId, record: bytes, deadline_ms: int) -> WriteOutcome:
        """Store a job, here or for another member, and report it to the leader."""
        written = await self._writer.write_job(job, record, deadline_ms)
        if written.created != ABSENT:
            self._announce_job(job, record, written.created)
        return written.outcome

    async def store_cancel(self, job: JobId, deadline_ms: int) -> WriteOutcome:
        """Store a cancellation, here or for another member, and report it to the leader."""
        outcome = await self._writer.write_cancel(job, deadline_ms)
        if outcome in (WriteOutcome.STORED, WriteOutcome.UNKNOWN_JOB):
            self._spawn(self._leader.announce_cancel(job))
        return outcome

    async def state(self, job: JobId) -> JobState | None:
        """Return the state of a job, ``None`` if no such job is stored.

        :raises StoreUnavailableError: if neither the leader nor the store answers
        """
        cached = self._final_states.get(job)
        if cached is not None:
            return cached
        try:
            state = await self._leader.state(job)
        except ConnectionError as exc:
            _log.info("leader did not return the job state", request=job, reason=str(exc))
            state = None
        if state is None:
            state = await self._stored_state(job)
        if state in FINAL_STATES:
            if len(self._final_states) >= MAX_CACHED_STATES:
                self._final_states.pop(next(iter(self._final_states)))
            self._final_states[job] = state
        return state

    async def _stored_state(self, job: JobId) -> JobState | None:
        """Return the state in the store.

        The final state is read first, as a late write may leave an older record behind, and again
        at the end, as the job may have ended between the reads.
        """
        try:
            for key in (ended_key(job), progress_key(job)):
                item = await self._store.read(key)
                if item is not None:
                    return decode_state(item.value)
            record = await self._store.read(job_key(job))
            if record is None:
                ended = await self._store.read(ended_key(job))
                return None if ended is None else decode_state(ended.value)
        except StoreUncertainError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        self._announce_job(job, record.value, record.created)
        return JobState.QUEUED

    def _announce_job(self, job: JobId, record: bytes, created: StoreRevision) -> None:
        size_bytes = len(record)
        if self._announced_bytes + size_bytes > MAX_ANNOUNCED_BYTES:
            return

        async def announce() -> None:
            try:
                await self._leader.announce(job, record.decode(), created)
            finally:
                self._announced_bytes -= size_bytes

        self._announced_bytes += size_bytes
        self._spawn(announce())

    async def _write_or_relay(
        self,
        write: Callable[[], Awaitable[WriteOutcome]],
        relay: Callable[[], Awaitable[WriteOutcome]],
    ) -> WriteOutcome:
        """Write here or through another member; relay first while the store is failing here."""
        written = WriteOutcome.UNAVAILABLE
        if self._store.is_failing():
            written = await relay()
        if written is WriteOutcome.UNAVAILABLE:
            written = await write()
        if written is WriteOutcome.UNAVAILABLE and not self._store.is_failing():
            written = await relay()
        return written

    async def _relay(self, job: JobId, record: str, deadline_ms: int) -> WriteOutcome:
        """Write through another member."""
        left_ms = deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            return WriteOutcome.UNAVAILABLE
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await self._leader.relay(job, record)
        except TimeoutError:
            return WriteOutcome.UNCERTAIN
        except ConnectionError as exc:
            _log.info("write not relayed", request=job, reason=str(exc))
            return WriteOutcome.UNAVAILABLE

    def _spawn(self, coro: Awaitable[None]) -> None:
        task = asyncio.ensure_future(self._announce(coro))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _announce(self, coro: Awaitable[None]) -> None:
        """Run an announcement; failures are only logged, as the leader also watches the store."""
        try:
            await coro
        except ConnectionError as exc:
            _log.info("change not announced to the leader", reason=str(exc))


async def _accept(spec: JobSpec) -> AnyRefusal | WriteOutcome | None:
    """Refuse no job."""
    del spec
    return None
