"""Workers of one leader term: registry, sessions, and the record for a successor."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass

import orjson

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import FailureDomain, RackId, WorkerId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.config import PoolId
from lagoonshelf_core.jobs.crashes import end_runs_of_lost_worker, keep_runs_of_restarted_worker
from lagoonshelf_core.jobs.worker_reports import add_unverified_runs
from lagoonshelf_core.jobs.workers import Worker, WorkerInfo, WorkerLoss, lapse_after_ms
from lagoonshelf_core.resources import ZERO_RESOURCES
from lagoonshelf_server.jobs.keys import LEADER_KEY, USED_WORKERS
from lagoonshelf_server.jobs.leader_lease import MAX_OUTAGE_MS, LeaderLease
from lagoonshelf_server.jobs.ports import (
    ABSENT,
    Committed,
    HistoryLostError,
    Item,
    PlatformCodec,
    Put,
    Store,
    StoreRevision,
    StoreUnavailableError,
    StoreUncertainError,
    WorkerPort,
)
from lagoonshelf_server.jobs.progress_writer import ProgressWriter
from lagoonshelf_server.jobs.worker_session import RUN_LEASE_MS, WorkerSession
from lagoonshelf_server.logs import logger

WATCH_MS = 5_000
READ_INTERVAL_S = 1.0
# Pause after a reading that failed: without one, and without the watch, nothing is started.
READ_RETRY_S = 0.3
RETRY_S = 0.1
CHECK_INTERVAL_S = 0.1
# Registry entries that lapsed in a store outage are back within about 2 s of its end.
REGISTRY_GRACE_MS = 2_300
# An entry that names a start this much later than now is not its worker's; clocks may be seconds
# apart.
MAX_BORN_AHEAD_MS = 3_600_000
# Part of the greatest age of a capacity that an entry is taken to have as a takeover reads it.
TAKEOVER_AGE_SHARE = 0.5
# Recorded runs that a takeover adds before other tasks of the process, such as the renewal of the
# leader lease, get a turn.
RUNS_PER_TURN = 500

Spawn = Callable[[Coroutine], asyncio.Task]
_log = logger("fleet")


@dataclass(frozen=True, slots=True)
class FleetPorts:
    """External systems that a fleet uses."""

    store: Store
    workers: WorkerPort
    codec: PlatformCodec


@dataclass(frozen=True, slots=True)
class FleetHooks:
    """Callbacks of a fleet to its leader.

    :param spawn: runs a coroutine until the term ends
    :param on_report: called after each list of runs from a worker
    :param on_change: called when a scheduling pass is needed
    :param record_changes: queues all changes of the cell for writing
    """

    spawn: Spawn
    on_report: Callable[[], None]
    on_change: Callable[[], None]
    record_changes: Callable[[], None]


class Fleet:
    """Tracks the registry and the workers, and records which of them may have runs."""

    def __init__(
        self,
        cell: Cell,
        ports: FleetPorts,
        progress_writer: ProgressWriter,
        leader_lease: LeaderLease,
        clock: Clock,
        hooks: FleetHooks,
    ) -> None:
        """Set up without workers."""
        self._cell = cell
        self._store = ports.store
        self._port = ports.workers
        self._codec = ports.codec
        self._progress_writer = progress_writer
        self._leader_lease = leader_lease
        self._clock = clock
        self._hooks = hooks
        self._session_tasks: dict[WorkerId, asyncio.Task] = {}
        self._store_failed_ms = 0
        self._registry_read_ms = 0
        self._used: dict[WorkerId, _UsedWorker] = {}
        self._used_revision = ABSENT
        # The last write of the record had no answer, so that it may differ from ``_used``.
        self._is_used_uncertain = False
        # Next rows, None for none, of recorded workers that are lost or have left, with the mark
        # of the progress that has to be durable before.
        self._replaced: dict[WorkerId, tuple[_UsedWorker | None, int]] = {}
        # Worker and revision of each registry entry that was applied last.
        self._applied: dict[str, tuple[WorkerId | None, StoreRevision]] = {}
        self._used_lock = asyncio.Lock()
        # Workers that have restarted since the previous leader used them.
        self._restarted: set[WorkerId] = set()
        self._sessions_changed = asyncio.Event()
        self.sessions: dict[str, WorkerSession] = {}

    def start(self) -> None:
        """Start all loops."""
        for coro in (
            self._record_used(),
            self._watch_registry(),
            self._read_registry(),
            self._check_leases(),
        ):
            self._hooks.spawn(coro)

    def restore(self, registry: Sequence[Item], used: Item | None, read_ms: int) -> int:
        """Add known workers; return when leases that a predecessor granted have lapsed.

        :param read_ms: when the registry was requested
        """
        now_ms = self._clock.now_ms()
        self._registry_read_ms = self._cell.registry_ms = read_ms
        registered_ms = read_ms - int(TAKEOVER_AGE_SHARE * self._cell.max_capacity_age_ms)
        for item in registry:
            info = self._decode(item)
            if info is not None:
                self._cell.update_worker(info, now_ms).registered_ms = registered_ms
            self._applied[item.key] = (None if info is None else info.id, item.revision)
        self._used_revision = ABSENT if used is None else used.revision
        lapse_ms = now_ms + lapse_after_ms(RUN_LEASE_MS)
        # A predecessor that may be alive keeps granting leases this much longer in a store outage.
        if not self._leader_lease.predecessor_is_dead:
            lapse_ms += MAX_OUTAGE_MS
        for row in _decode_used(used):
            self._restore_used(row, lapse_ms, now_ms)
        return lapse_ms

    def _restore_used(self, row: "_UsedWorker", lapse_ms: int, now_ms: int) -> None:
        worker = self._cell.workers.get(row.worker)
        if worker is None:
            info = WorkerInfo(
                row.worker,
                row.address,
                PoolId(""),
                FailureDomain(""),
                RackId(""),
                frozenset(),
                ZERO_RESOURCES,
                row.born_ms,
            )
            worker = self._cell.update_worker(info, now_ms)
            worker.is_listed = False
        if row.born_ms < worker.info.born_ms:
            self._restarted.add(worker.id)
        self._used[row.worker] = row
        worker.min_lapse_ms = lapse_ms
        if row.is_restarted:
            worker.record_restart(now_ms)
        # A predecessor starts work without a record while the store is troubled for all members.
        worker.blocks_inherited = True

    async def add_unverified_runs(self, lapse_ms: int) -> None:
        """Keep the recorded runs of unreachable workers as unverified until their lease lapses."""
        now_ms = self._clock.now_ms()
        recorded = []
        for run in self._cell.recorded_runs:
            worker = self._cell.workers.get(run.worker)
            if worker is None:
                fields = {"task": run.name, "attempt": run.attempt, "worker": run.worker}
                _log.warning("recorded run on a worker that is not recorded", **fields)
            elif not worker.is_read:
                worker.lease_lapse_ms = worker.lapse_ms or lapse_ms
                recorded.append((worker, run))
        self._cell.recorded_runs.clear()
        for first in range(0, len(recorded), RUNS_PER_TURN):
            add_unverified_runs(self._cell, recorded[first : first + RUNS_PER_TURN], now_ms)
            await asyncio.sleep(0)
        for name in self._restarted:
            keep_runs_of_restarted_worker(self._cell, self._cell.workers[name], now_ms)
        self._restarted.clear()

    async def _record_used(self) -> None:
        """Record new workers whenever sessions change, and lost ones once that is possible."""
        while True:
            await self._sessions_changed.wait()
            self._sessions_changed.clear()
            try:
                await self.write_used()
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.info("used workers not recorded", reason=str(exc))
                await asyncio.sleep(RETRY_S)
                self._sessions_changed.set()
            self._hooks.on_change()
            if self._replaced:
                await asyncio.sleep(RETRY_S)
                self._sessions_changed.set()

    async def write_used(self) -> None:
        """Record which workers may have runs, before they are used."""
        async with self._used_lock:
            rows = self._next_rows()
            if rows != self._used or self._is_used_uncertain:
                await self._store_used(rows)
        for worker in self._cell.workers.values():
            row = self._used.get(worker.id)
            if row is None or row.born_ms != worker.info.born_ms:
                continue
            if not worker.is_recorded:
                worker.is_recorded = True
                # Newer than the tokens of all calls to its former incarnations, and older than
                # those of the leaders that follow.
                worker.min_token = self._used_revision
            if worker.id not in self._session_tasks:
                self._open_session(worker)

    async def _store_used(self, rows: "dict[WorkerId, _UsedWorker]") -> None:
        """Replace the record of used workers.

        An earlier write without an answer may take effect at any time of the term. The condition
        on the record's revision keeps it from replacing a newer one.
        """
        put = Put(USED_WORKERS, orjson.dumps([row.fields() for row in rows.values()]))
        self._is_used_uncertain = True
        while True:
            token = self._leader_lease.token
            conditions = {LEADER_KEY: token, USED_WORKERS: self._used_revision}
            result = await self._store.commit(conditions, [put])
            if isinstance(result, Committed):
                break
            found = {item.key: item.revision for item in result.items} if result else {}
            if found.get(LEADER_KEY) != token:
                raise StoreUnavailableError("list of used workers not written")
            self._used_revision = found.get(USED_WORKERS, ABSENT)
        self._used_revision, self._used = result.revision, rows
        self._is_used_uncertain = False

    def _next_rows(self) -> "dict[WorkerId, _UsedWorker]":
        """Return the rows to record now.

        The row of a lost incarnation stays until the progress of the jobs that ran there is
        durable: a successor reads the ends, and counts the loss, of recorded workers only.
        """
        now_ms = self._clock.now_ms()
        rows = {
            worker.id: _used_worker(worker, now_ms)
            for worker in self._cell.workers.values()
            if worker.is_listed or worker.runs or worker.blocks_inherited
        }
        replaced: dict[WorkerId, tuple[_UsedWorker | None, int]] = {}
        for name, row in self._used.items():
            next_row = rows.get(name)
            if next_row == row:
                continue
            known_row, mark = self._replaced.get(name, (row, 0))
            if known_row != next_row:
                self._hooks.record_changes()
                mark = self._progress_writer.mark()
            if not self._progress_writer.is_durable(mark):
                replaced[name] = next_row, mark
                rows[name] = row
        self._replaced = replaced
        if replaced:
            self._sessions_changed.set()
        return rows

    def _open_session(self, worker: Worker) -> None:
        session = WorkerSession(
            worker,
            self._cell,
            self._port,
            self._progress_writer,
            self._leader_lease,
            self._clock,
            self._hooks.on_report,
            self._sessions_changed.set,
        )
        self.sessions[worker.id] = session
        self._session_tasks[worker.id] = self._hooks.spawn(session.run())

    async def _watch_registry(self) -> None:
        revision = 0
        prefix = self._codec.registry_prefix
        while True:
            try:
                sent_ms = self._clock.now_ms()
                if not revision:
                    # Not a stale copy, which may be older than the history that is left.
                    items, revision = await self._store.read_all(prefix)
                    self._apply_registry(items, sent_ms)
                    sent_ms = self._clock.now_ms()
                changes, revision = await self._store.watch(prefix, revision, WATCH_MS)
                now_ms = self._clock.now_ms()
                for change in changes:
                    if change.item is not None:
                        self._apply_if_changed(change.item, now_ms)
                self._record_registry_age(sent_ms)
                await self.write_used()
            except HistoryLostError:
                revision = 0
            except (StoreUnavailableError, StoreUncertainError):
                await asyncio.sleep(RETRY_S)

    async def _read_registry(self) -> None:
        """Read the whole registry periodically, as a watch may be broken without an error."""
        interval_s = READ_INTERVAL_S
        while True:
            await asyncio.sleep(interval_s)
            interval_s = READ_INTERVAL_S
            sent_ms = self._clock.now_ms()
            try:
                items, _ = await self._store.read_all(self._codec.registry_prefix)
                self._apply_registry(items, sent_ms)
                await self.write_used()
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.info("registry not read", reason=str(exc))
                interval_s = READ_RETRY_S
                self._store_failed_ms = self._clock.now_ms()

    def _apply_registry(self, items: list[Item], sent_ms: int) -> None:
        """Apply all entries of the registry.

        :param sent_ms: when they were requested
        """
        now_ms = self._clock.now_ms()
        self._record_registry_age(sent_ms)
        # An entry that the watch has missed may have been written since the previous read.
        registered_ms = min(sent_ms, self._registry_read_ms or sent_ms)
        self._registry_read_ms = sent_ms
        listed = {self._apply_if_changed(item, registered_ms) for item in items}
        self._applied = {item.key: self._applied[item.key] for item in items}
        for worker in self._cell.workers.values():
            if worker.id in listed:
                continue
            is_grace_over = now_ms - self._store_failed_ms > REGISTRY_GRACE_MS
            if worker.is_listed and is_grace_over:
                worker.is_listed = False
                _log.info("worker removed from the registry", worker=worker.id)

    def _record_registry_age(self, at_ms: int) -> None:
        """Record that all entries are known that the store held at a time.

        An answer may have waited here for any time, so it is as old as its request.
        """
        self._cell.registry_ms = max(self._cell.registry_ms, at_ms)

    def _apply_if_changed(self, item: Item, registered_ms: int) -> WorkerId | None:
        """Apply an entry unless it was applied before.

        :param registered_ms: time at which it was current
        """
        worker_id, revision = self._applied.get(item.key, (None, ABSENT))
        if revision >= item.revision:
            worker = None if worker_id is None else self._cell.workers.get(worker_id)
            if worker_id is None or (worker is not None and worker.is_listed):
                return worker_id
        worker_id = self._apply_entry(item, registered_ms)
        self._applied[item.key] = (worker_id, item.revision)
        return worker_id

    def _decode(self, item: Item) -> WorkerInfo | None:
        """Return the worker of a registry entry, ``None`` if the entry names none."""
        info = self._codec.decode_worker(item.key, item.value)
        if info is None:
            _log.warning("registry entry unreadable", key=item.key, revision=item.revision)
        elif info.born_ms > self._clock.wall_ms() + MAX_BORN_AHEAD_MS:
            _log.warning("registry entry of the future", key=item.key, born_ms=info.born_ms)
            return None
        return info

    def _apply_entry(self, item: Item, registered_ms: int) -> WorkerId | None:
        info = self._decode(item)
        if info is None:
            return None
        known = self._cell.workers.get(info.id)
        if known is None or known.info != info:
            _log.info(
                "worker registered or changed",
                worker=info.id,
                born_ms=info.born_ms,
                draining=info.is_draining,
                cpu_milli=info.capacity.cpu_milli,
            )
        is_restarted = known is not None and known.info.born_ms < info.born_ms
        now_ms = self._clock.now_ms()
        if is_restarted:
            keep_runs_of_restarted_worker(self._cell, known, now_ms)
        worker = self._cell.update_worker(info, now_ms)
        worker.registered_ms = max(worker.registered_ms, registered_ms)
        if is_restarted and info.id in self._session_tasks:
            # Its session has the clock of the old incarnation.
            self._session_tasks.pop(info.id).cancel()
            del self.sessions[info.id]
        self._hooks.on_change()
        return info.id

    async def _check_leases(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_ms = self._clock.now_ms()
            for worker in list(self._cell.workers.values()):
                if not worker.is_read and 0 < worker.lapse_ms <= now_ms:
                    self._expire_lease(worker, now_ms)
                if not worker.is_listed and not worker.runs and not worker.blocks_inherited:
                    self._drop(worker)
            self._hooks.on_change()

    def _expire_lease(self, worker: Worker, now_ms: int) -> None:
        if worker.runs or worker.blocks_inherited:
            _log.warning("lease of a lost worker lapsed", worker=worker.id, runs=len(worker.runs))
        worker.blocks_inherited = False
        end_runs_of_lost_worker(self._cell, worker, WorkerLoss.LAPSED, now_ms)

    def _drop(self, worker: Worker) -> None:
        self._cell.remove_worker(worker)
        self.sessions.pop(worker.id, None)
        self._sessions_changed.set()
        task = self._session_tasks.pop(worker.id, None)
        if task is not None:
            task.cancel()
        self._port.forget(worker.info)


@dataclass(frozen=True, slots=True)
class _UsedWorker:
    """A worker that may have runs.

    :param is_restarted: calls for its former incarnation may have granted it longer leases
    """

    worker: WorkerId
    address: str
    born_ms: int
    is_restarted: bool = False

    def fields(self) -> list[object]:
        """Return the stored form."""
        return [self.worker, self.address, self.born_ms, int(self.is_restarted)]


def _used_worker(worker: Worker, now_ms: int) -> _UsedWorker:
    is_restarted = worker.has_restarted and now_ms < worker.min_lapse_ms
    return _UsedWorker(worker.id, worker.info.address, worker.info.born_ms, is_restarted)


def _decode_used(item: Item | None) -> list[_UsedWorker]:
    if item is None:
        return []
    return [
        _UsedWorker(WorkerId(worker), address, born_ms, any(flags))
        for worker, address, born_ms, *flags in orjson.loads(item.value)
    ]
