"""Job API that every process serves: submit and cancel jobs, read states and queue counts."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

from returns.result import Failure

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import QueueId
from lagoonshelf_core.jobs.progress import FINAL_STATES, JobState, decode_state
from lagoonshelf_core.jobs.spec import JobId, JobSpec, decode_job, encode_job
from lagoonshelf_server.jobs.keys import cancel_key, job_key, progress_key
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

# Timeout of one write attempt. After an unanswered attempt, a conflict on the next one shows that
# the record exists.
WRITE_TIMEOUT_MS = 900
RETRY_S = 0.05
# Part of the client's timeout that is reserved for returning the response.
ANSWER_MARGIN_MS = 250
MAX_CACHED_STATES = 20_000

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

    :param relay: lets another member write a job or, with an empty record, a cancellation
    """

    announce: Callable[[JobSpec, str], Awaitable[None]]
    announce_cancel: Callable[[JobId], Awaitable[None]]
    state: Callable[[JobId], Awaitable[JobState | None]]
    relay: Callable[[JobId, str], Awaitable[WriteOutcome]]


class JobWriter:
    """Writes jobs and cancellations to the store, each exactly once."""

    def __init__(self, store: Store, clock: Clock) -> None:
        """Set up.

        :param clock: clock of the deadlines
        """
        self._store = store
        self._clock = clock

    async def write_job(self, job: JobId, record: bytes, deadline_ms: int) -> WriteOutcome:
        """Store a job unless its id is already stored.

        :param deadline_ms: clock time at which to give up
        """
        return await self._create(job_key(job), record, deadline_ms)

    async def write_cancel(self, job: JobId, deadline_ms: int) -> WriteOutcome:
        """Store the cancellation of a stored job."""
        try:
            if await self._store.read(job_key(job)) is None:
                return WriteOutcome.UNKNOWN_JOB
        except (StoreUnavailableError, StoreUncertainError):
            return WriteOutcome.UNAVAILABLE
        return await self._create(cancel_key(job), b"{}", deadline_ms)

    async def _create(self, key: str, value: bytes, deadline_ms: int) -> WriteOutcome:
        outcome = WriteOutcome.UNAVAILABLE
        while True:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                return outcome
            try:
                result = await self._store.commit(
                    {key: ABSENT}, [Put(key, value)], timeout_ms=min(WRITE_TIMEOUT_MS, left_ms)
                )
                if isinstance(result, Committed | Conflict):
                    return WriteOutcome.STORED
            except StoreUncertainError:
                # This attempt may still take effect, whatever later attempts return.
                outcome = WriteOutcome.UNCERTAIN
            except StoreUnavailableError:
                if outcome is WriteOutcome.UNAVAILABLE:
                    return outcome
            await asyncio.sleep(RETRY_S)


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
        self.writer = JobWriter(store, clock)
        self.pending: dict[QueueId, int] = {}
        self.pending_at_ms = 0

    async def submit(self, spec: JobSpec, wait_ms: int) -> WriteOutcome:
        """Accept a job; it is durable when this returns ``STORED``.

        :param wait_ms: timeout of the client
        """
        record = encode_job(spec)
        deadline_ms = self._clock.now_ms() + max(50, wait_ms - ANSWER_MARGIN_MS)
        write = partial(self.writer.write_job, spec.id, record, deadline_ms)
        relay = partial(self._relay, spec.id, record.decode(), deadline_ms)
        written = await self._write_or_relay(write, relay)
        if written is WriteOutcome.STORED:
            self._spawn(self._leader.announce(spec, record.decode()))
        _log.info("job handed in", request=spec.id, queue=spec.queue, outcome=written.value)
        return written

    async def cancel(self, job: JobId, wait_ms: int) -> WriteOutcome:
        """Cancel a job; the cancellation is durable when this returns ``STORED``."""
        deadline_ms = self._clock.now_ms() + max(50, wait_ms - ANSWER_MARGIN_MS)
        write = partial(self.writer.write_cancel, job, deadline_ms)
        relay = partial(self._relay, job, "", deadline_ms)
        written = await self._write_or_relay(write, relay)
        if written is WriteOutcome.STORED:
            self._spawn(self._leader.announce_cancel(job))
        _log.info("job cancellation requested", request=job, outcome=written.value)
        return written

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
        try:
            progress = await self._store.read(progress_key(job))
            if progress is not None:
                return decode_state(progress.value)
            record = await self._store.read(job_key(job))
        except StoreUncertainError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if record is None:
            return None
        result = decode_job(record.value)
        if not isinstance(result, Failure):
            self._spawn(self._leader.announce(result.unwrap(), record.value.decode()))
        return JobState.QUEUED

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
