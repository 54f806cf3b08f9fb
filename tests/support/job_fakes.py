"""In-memory implementations of the ports to the store and the workers."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import FailureDomain
from lagoonshelf_core.jobs.progress import RunEnd
from lagoonshelf_core.jobs.worker_reports import EndedRow, RunningRow
from lagoonshelf_core.jobs.workers import WorkerInfo
from lagoonshelf_server.jobs.ports import (
    Change,
    Committed,
    Conflict,
    HistoryLostError,
    Item,
    Listing,
    NoAnswerError,
    Page,
    Put,
    StartOutcome,
    StartRequest,
    StopOutcome,
    StoreLease,
    StoreRevision,
    StoreUnavailableError,
    StoreUncertainError,
    WorkerGoneError,
    WorkerReply,
)

PAUSE_S = 0.0005


class PausableClock(Clock):
    """Clock that can skip the time for which the process is paused."""

    skipped_ms = 0

    def now_ms(self) -> int:
        """Return the current time."""
        return super().now_ms() + self.skipped_ms


class FakeStore:
    """Linearizable store that can be down or lose answers."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.leases: dict[str, StoreLease] = {}
        self.revision = 10
        self.changes: list[Change] = []
        self.first_kept = 0
        self.is_down = False
        self.troubled_ms = 0
        self.lose_answers = 0
        self.late: list = []
        self.commits = 0
        self.pages_read = 0
        self.page_items = 500
        self.grants = 0
        self._next_lease = 1
        self.ended_leases: set[StoreLease] = set()
        self.clock = Clock()
        self._answered_ms = 0

    def last_answer_ms(self) -> int:
        return self._answered_ms

    def is_failing(self) -> bool:
        return self.is_down

    def trouble_ms(self) -> int:
        return self.clock.now_ms() if self.is_down else self.troubled_ms

    async def read(self, key: str, *, timeout_ms: int | None = None) -> Item | None:
        await self._pause()
        return self.items.get(key)

    async def read_all(self, prefix: str, *, stale: bool = False) -> tuple[list[Item], int]:
        await self._pause()
        found = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
        return found, self.revision

    async def read_page(self, prefix: str, after: str, *, stale: bool = False) -> Page:
        await self._pause()
        self.pages_read += 1
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        page = tuple(found[: self.page_items])
        return Page(page, StoreRevision(self.revision), len(found) > len(page))

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> tuple[list[Change], StoreRevision]:
        deadline = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            await self._pause()
            if after < self.first_kept:
                raise HistoryLostError(prefix)
            found = [c for c in self.changes if c.revision > after and c.key.startswith(prefix)]
            if found or asyncio.get_running_loop().time() >= deadline:
                return found, StoreRevision(self.revision)
            await asyncio.sleep(0.002)

    async def commit(
        self,
        conditions: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
        *,
        timeout_ms: int | None = None,
    ) -> Committed | Conflict | None:
        await self._pause()
        self.commits += 1
        if self.lose_answers:
            self.lose_answers -= 1
            self._apply(conditions, puts, deletes)
            raise StoreUncertainError("answer lost")
        return self._apply(conditions, puts, deletes)

    async def grant_lease(self, ttl_ms: int) -> StoreLease:
        self.grants += 1
        await self._pause()
        self._next_lease += 1
        return StoreLease(self._next_lease)

    async def keep_lease(self, lease: StoreLease) -> bool:
        await self._pause()
        return lease not in self.ended_leases

    def end_lease(self, lease: StoreLease) -> None:
        """Expire a lease and delete its keys."""
        self.ended_leases.add(lease)
        for key, owner in list(self.leases.items()):
            if owner == lease:
                self._delete(key)

    def put(self, key: str, value: bytes) -> None:
        """Write as another client."""
        self._apply({}, [Put(key, value)], ())

    def compact(self) -> None:
        """Compact the whole history."""
        self.first_kept = self.revision + 1
        self.revision += 1

    def _apply(
        self, conditions: Mapping[str, int], puts: Sequence[Put], deletes: Sequence[str]
    ) -> Committed | Conflict | None:
        for key, revision in conditions.items():
            item = self.items.get(key)
            if (0 if item is None else item.revision) != revision:
                present = [self.items[name] for name in conditions if name in self.items]
                return Conflict(tuple(present))
        if any(put.lease in self.ended_leases for put in puts if put.lease):
            return None
        self.revision += 1
        for put in puts:
            old = self.items.get(put.key)
            created = StoreRevision(self.revision if old is None else old.created)
            item = Item(put.key, put.value, StoreRevision(self.revision), created)
            self.items[put.key] = item
            self.leases[put.key] = put.lease
            self.changes.append(Change(put.key, item.revision, item))
        for key in deletes:
            self._delete(key)
        return Committed(StoreRevision(self.revision))

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.leases.pop(key, None)
            self.changes.append(Change(key, StoreRevision(self.revision), None))

    async def _pause(self) -> None:
        await asyncio.sleep(PAUSE_S)
        if self.is_down:
            raise StoreUnavailableError("down")
        self._answered_ms = self.clock.now_ms()


@dataclass
class FakeWorker:
    """State of one worker."""

    born_ms: int
    token: int = 0
    lease_end_ms: int = 0
    running: dict[tuple[str, int], str] = field(default_factory=dict)
    ended: list[EndedRow] = field(default_factory=list)
    highest_attempt: dict[str, int] = field(default_factory=dict)
    end_count: int = 0
    acked_end: int = 0
    is_silent: bool = False
    is_replaced: bool = False
    lose_starts: int = 0
    refuse_starts: int = 0
    late_starts: list[StartRequest] = field(default_factory=list)


class FakeWorkers:
    """Workers that enforce fencing tokens and attempt numbers."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.workers: dict[str, FakeWorker] = {}
        self.started: list[tuple[str, str, int]] = []
        self.max_listed_ends = 500

    def add(self, info: WorkerInfo) -> FakeWorker:
        worker = self.workers[info.id] = FakeWorker(info.born_ms)
        return worker

    async def start(
        self, worker: WorkerInfo, request: StartRequest, timeout_ms: int
    ) -> WorkerReply:
        entry = await self._reach(worker)
        if entry.lose_starts:
            entry.lose_starts -= 1
            entry.late_starts.append(request)
            raise NoAnswerError("start")
        if entry.refuse_starts:
            entry.refuse_starts -= 1
            return WorkerReply(StartOutcome.NO_ROOM, self.clock.now_ms())
        return WorkerReply(self.apply_start(worker.id, request), self.clock.now_ms())

    def apply_start(self, name: str, request: StartRequest) -> StartOutcome:
        """Apply a start command, also a late one."""
        entry = self.workers[name]
        if request.token < entry.token:
            return StartOutcome.FENCED
        entry.token = request.token
        if (request.task, request.attempt) in entry.running:
            return StartOutcome.STARTED
        if request.attempt <= entry.highest_attempt.get(request.task, 0):
            return StartOutcome.ATTEMPT_TOO_LOW
        entry.running[(request.task, request.attempt)] = request.checkpoint
        self.started.append((name, request.task, request.attempt))
        return StartOutcome.STARTED

    def deliver_late_starts(self) -> None:
        """Apply the start commands whose answers were lost."""
        for name, entry in self.workers.items():
            for request in entry.late_starts:
                self.apply_start(name, request)

    async def stop(
        self, worker: WorkerInfo, task: str, attempt: int, token: int, timeout_ms: int
    ) -> WorkerReply:
        entry = await self._reach(worker)
        if token < entry.token:
            return WorkerReply(StopOutcome.FENCED, self.clock.now_ms())
        entry.highest_attempt[task] = max(entry.highest_attempt.get(task, 0), attempt)
        if (task, attempt) in entry.running:
            self.end(worker.id, task, attempt, RunEnd.STOPPED)
        return WorkerReply(StopOutcome.DONE, self.clock.now_ms())

    async def pace(
        self,
        worker: WorkerInfo,
        task: str,
        attempt: int,
        percent: int,
        token: int,
        timeout_ms: int,
    ) -> WorkerReply:
        await self._reach(worker)
        return WorkerReply(StopOutcome.DONE, self.clock.now_ms())

    async def list_runs(
        self,
        worker: WorkerInfo,
        token: int,
        acked_end: int,
        lease_end_ms: int | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> Listing:
        entry = await self._reach(worker)
        if entry.is_replaced:
            raise WorkerGoneError(worker.id)
        if token < entry.token:
            return Listing(self.clock.now_ms(), entry.born_ms, (), (), is_fenced=True)
        entry.token = token
        entry.acked_end = max(entry.acked_end, acked_end)
        entry.ended = [row for row in entry.ended if row.number > entry.acked_end]
        deadline = asyncio.get_running_loop().time() + min(wait_ms, 50) / 1000
        while not entry.ended and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.002)
        running = tuple(RunningRow(name, run, "", 50, 0.0) for name, run in entry.running)
        ended = tuple(entry.ended[: self.max_listed_ends])
        may_be_cut = len(ended) == self.max_listed_ends
        return Listing(self.clock.now_ms(), entry.born_ms, running, ended, may_be_cut=may_be_cut)

    def forget(self, worker: WorkerInfo) -> None:
        """Do nothing, as there are no connections."""

    def end(self, name: str, task: str, attempt: int, how: RunEnd = RunEnd.DONE) -> None:
        """End a run."""
        entry = self.workers[name]
        entry.running.pop((task, attempt))
        entry.end_count += 1
        entry.highest_attempt[task] = max(entry.highest_attempt.get(task, 0), attempt)
        entry.ended.append(EndedRow(entry.end_count, task, attempt, how, ""))

    def end_all(self, how: RunEnd = RunEnd.DONE) -> int:
        """End all runs; return their number."""
        ended = 0
        for name, entry in self.workers.items():
            for task, attempt in list(entry.running):
                self.end(name, task, attempt, how)
                ended += 1
        return ended

    async def _reach(self, worker: WorkerInfo) -> FakeWorker:
        await asyncio.sleep(PAUSE_S)
        entry = self.workers[worker.id]
        if entry.is_silent:
            await asyncio.sleep(0.02)
            raise NoAnswerError("silent")
        return entry


class FakeCodec:
    """Codec whose encoded form is the name of a prepared object."""

    config_key = "config"
    registry_prefix = "workers/"
    evacuation_prefix = "evacuate/"

    def __init__(self) -> None:
        self.infos: dict[bytes, WorkerInfo] = {}
        self.configs: dict[bytes, object] = {}

    def decode_config(self, data: bytes) -> object:
        return self.configs.get(data)

    def decode_worker(self, key: str, data: bytes) -> WorkerInfo | None:
        return self.infos.get(data)

    def decode_evacuation(self, key: str) -> FailureDomain | None:
        return FailureDomain(key.removeprefix(self.evacuation_prefix)) or None


async def eventually(check: object, timeout_s: float = 3.0) -> None:
    """Wait until a condition holds.

    :raises AssertionError: if it does not hold in time
    """
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not check():
        if asyncio.get_running_loop().time() > deadline:
            raise AssertionError("condition did not hold in time")
        await asyncio.sleep(0.003)
