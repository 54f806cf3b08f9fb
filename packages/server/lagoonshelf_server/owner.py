"""Lifecycle of one owned partition: takeover, recovery, requests, hand-over."""

import asyncio
from enum import Enum

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.commands import Stop
from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import Epoch, MemberId, PartitionId, TaskId, WorkerId, task_id
from lagoonshelf_core.journal import (
    AcceptEntry,
    CancelEntry,
    Entry,
    EpochEntry,
    IntentEntry,
    OutcomeEntry,
    ReleaseEntry,
    VoidEntry,
    decode_segment,
    journal_prefix,
)
from lagoonshelf_core.model import RequestSpec, Task, TaskState, WorkClass, WorkerInfo, WorkKind
from lagoonshelf_core.records import Outcome, Record, RecordBook, spec_from_dict, spec_to_dict
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.routing import partition_of_worker
from lagoonshelf_core.scheduler import Scheduler
from returns.result import Failure

from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.config_sync import ConfigSync
from lagoonshelf_server.dispatch import Dispatch, DispatchHooks, task_from_meta
from lagoonshelf_server.journal_writer import JournalWriter
from lagoonshelf_server.logs import logger
from lagoonshelf_server.members import Members
from lagoonshelf_server.messages import TaskMeta
from lagoonshelf_server.owner_parts import (
    OwnerPort,
    make_delegation,
    make_grants,
    make_hosting,
)
from lagoonshelf_server.partition_calls import PartitionCalls
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.store import StoreClient
from lagoonshelf_server.task_ends import code_of_end, runs_again
from lagoonshelf_server.workers import Authority, TaskReport, WorkerClient

CONTENT_UNKNOWN_MS = 0  # timeout of a request known only from a worker; callers' are above 0
_log = logger("owner")


class OwnerState(Enum):
    """States of an owned partition."""

    RECOVERING = "recovering"
    ACTIVE = "active"
    RELEASING = "releasing"
    LOST = "lost"


class Owner:
    """One partition while this process owns it."""

    def __init__(
        self,
        cfg: Settings,
        partition: PartitionId,
        clock: Clock,
        bridge: Bridge,
        store: StoreClient,
        workers: WorkerClient,
        members: Members,
        config: ConfigSync,
        calls: PartitionCalls,
    ) -> None:
        """Begin before the takeover."""
        self.partition = partition
        self.epoch = Epoch(0)
        self.state = OwnerState.RECOVERING
        self.scheduler = Scheduler()
        self.book = RecordBook()
        self.dispatch: Dispatch | None = None
        self._cfg = cfg
        self._clock = clock
        self._bridge = bridge
        self._store = store
        self._workers = workers
        self._members = members
        self._config = config
        self._lease = members.lease
        self._journal: JournalWriter | None = None
        self._sequence = 0
        self._waiters: dict[tuple, list[asyncio.Future[None]]] = {}
        self._kicked = asyncio.Event()
        port = OwnerPort(
            self._append,
            self._on_started,
            self._on_refused,
            self._end,
            self._adopt,
            self._digest_of,
            self._kicked.set,
            lambda: self.state is OwnerState.LOST,
        )
        self.grants = make_grants(self, port, cfg, clock, bridge, store, config, calls)
        self.hosting = make_hosting(self, cfg, clock, calls)
        self.delegation = make_delegation(self, port, cfg, clock, bridge, calls)
        self._background: list[asyncio.Task] = []

    def may_act(self) -> bool:
        """Tell whether a command or an answer may leave now."""
        return (
            self.state in (OwnerState.ACTIVE, OwnerState.RECOVERING, OwnerState.RELEASING)
            and self._lease == self._members.lease
            and self._members.may_act()
        )

    def is_active(self) -> bool:
        """Tell whether the partition is active and this process may act for it."""
        return self.state is OwnerState.ACTIVE and self.may_act()

    async def take_over(self) -> None:
        """Read the journal, begin a new epoch, read the workers, and become active."""
        items, _ = await self._store.list_keys(journal_prefix(self.partition))
        entries: list[Entry] = []
        for item in items:
            entries += decode_segment(item.value or "").entries
        last = max((e.epoch for e in entries if isinstance(e, EpochEntry)), default=0)
        clean = not entries or isinstance(entries[-1], ReleaseEntry)
        if not clean:
            await asyncio.sleep(self._cfg.takeover_margin_ms / 1000)
        number = int(items[-1].key.rpartition("/")[2]) + 1 if items else 1
        self.epoch = Epoch(last + 1)
        self._journal = JournalWriter(
            self._store, self.partition, self.epoch, number, self._cfg.journal_flush_ms
        )
        await self._journal.append([EpochEntry(self.epoch, MemberId(self._cfg.member))])
        self._replay(entries)
        self._begin_dispatch()
        self.set_hosts(await self._store.hosts())
        while not self.dispatch.all_read():
            await asyncio.sleep(0.05)
        self._background.append(self._bridge.spawn(self.dispatch.renew_forever()))
        await self.delegation.take_over()
        await self.grants.begin(self.epoch)
        self._enqueue_accepted()
        self.state = OwnerState.ACTIVE
        self._background.append(self._bridge.spawn(self._pass_forever()))
        for part in (self.grants.run_forever, self.delegation.watch_forever):
            self._background.append(self._bridge.spawn(part()))
        self._background.append(self._bridge.spawn(self.hosting.report_forever()))
        _log.info("partition active", partition=self.partition, epoch=self.epoch)

    def set_hosts(self, hosts: list[WorkerInfo]) -> None:
        """Take in the platform's host list."""
        self.delegation.set_hosts(hosts)
        mine = [
            host
            for host in hosts
            if partition_of_worker(host.worker, self._cfg.partitions) == self.partition
        ]
        if self.dispatch is not None:
            self.dispatch.set_hosts(mine)

    async def submit(self, spec: RequestSpec) -> Record:
        """Begin a request or join its record; return when it is accepted or has ended.

        :raises LagoonshelfError: when the request was refused and has not run
        """
        self._check_active()
        result = self.book.submit(spec, self._clock.now_ms())
        if isinstance(result, Failure):
            raise LagoonshelfError(result.failure())
        record, is_new = result.unwrap()
        if is_new:
            await self._accept(record)
        if spec.kind is WorkKind.INTERACTIVE:
            await self._wait_ended(record, spec.timeout_ms)
        return record

    async def cancel(self, record: Record) -> None:
        """Cancel what has not ended yet."""
        self._check_active()
        if record.cancelled or record.ended:
            return
        if self._is_durable(record.spec):
            await self._append([CancelEntry(record.spec.team, record.spec.request_key)])
        record.cancelled = True
        for index, task_name in record.tasks.items():
            task = self.scheduler.tasks.get(task_name)
            if task is None:
                self.delegation.stop(task_name)
                continue
            if task.state is TaskState.QUEUED:
                self.scheduler.release(task_name)
                self._set_outcome(record, index, Outcome(ResultCode.CANCELLED))
            elif task.worker is not None:
                await self.dispatch.execute([Stop(task_name, task.worker, False)])

    async def release(self) -> None:
        """Hand the partition over: stop, write the release entry, delete the owner key."""
        self.state = OwnerState.RELEASING
        await self._append([ReleaseEntry(self.epoch)])
        self.close()
        key = f"owners/{self.partition}"
        item = await self._store.get(key)
        await self._store.delete(key, item.version)

    def close(self) -> None:
        """Stop acting for the partition; waiting callers are sent elsewhere."""
        self.state = OwnerState.LOST
        for task in self._background:
            task.cancel()
        if self.dispatch is not None:
            self.dispatch.close()
        for waiters in self._waiters.values():
            self._send_elsewhere(waiters)
        self._waiters.clear()

    def _send_elsewhere(self, waiters: list[asyncio.Future[None]]) -> None:
        for fut in waiters:
            if not fut.done():
                fut.set_exception(LagoonshelfError(_no_owner(self.partition)))

    def _check_active(self) -> None:
        if self.state is not OwnerState.ACTIVE or not self.may_act():
            raise LagoonshelfError(_no_owner(self.partition))

    async def _accept(self, record: Record) -> None:
        if self._is_durable(record.spec):
            try:
                await self._append([AcceptEntry(spec_to_dict(record.spec))])
            except LagoonshelfError:
                self.book.records.pop((record.spec.team, record.spec.request_key), None)
                raise
        self._create_tasks(record)
        self._kicked.set()

    def _create_tasks(self, record: Record) -> None:
        spec = record.spec
        queue = self._config.document.queues[spec.queue]
        for index in range(spec.tasks):
            if index in record.tasks or index in record.outcomes:
                continue
            self._sequence += 1
            name = task_id(self.partition, self.epoch, self._sequence)
            record.tasks[index] = name
            self.scheduler.enqueue(
                Task(
                    task=name,
                    team=spec.team,
                    queue=spec.queue,
                    request_key=spec.request_key,
                    kind=spec.kind,
                    work_class=WorkClass[queue.work_class.upper()],
                    repeatable=spec.repeatable,
                    size=spec.size,
                    run_ms=spec.run_ms,
                    index=index,
                    queued_ms=self._clock.now_ms(),
                    home=self.partition,
                    epoch=self.epoch,
                    payload=spec.payload,
                    gang_size=spec.tasks if spec.kind is WorkKind.GANG else 1,
                    deadline_wall_ms=spec.deadline_wall_ms,
                )
            )

    async def _wait_ended(self, record: Record, timeout_ms: int) -> None:
        if record.ended:
            return
        fut: asyncio.Future[None] = self._bridge.loop.create_future()
        key = (record.spec.team, record.spec.request_key)
        self._waiters.setdefault(key, []).append(fut)
        try:
            await asyncio.wait_for(fut, timeout_ms / 1000)
        except TimeoutError:
            raise LagoonshelfError(self._time_out(record)) from None

    def _time_out(self, record: Record) -> Fault:
        queued = [
            (index, name)
            for index, name in record.tasks.items()
            if name in self.scheduler.tasks
            and self.scheduler.tasks[name].state is TaskState.QUEUED
            and self.scheduler.tasks[name].attempt == 0
        ]
        if len(queued) == record.spec.tasks and self.may_act():
            for index, name in queued:
                self.scheduler.release(name)
                self._set_outcome(record, index, Outcome(ResultCode.TIMED_OUT_QUEUED))
            return Fault(ResultCode.TIMED_OUT_QUEUED, "no worker had room in time")
        return Fault(ResultCode.TIMED_OUT_RUNNING, "the work had been started")

    async def _pass_forever(self) -> None:
        while True:
            await self._kicked.wait()
            self._kicked.clear()
            if self.state is OwnerState.ACTIVE and self.may_act():
                self.grants.begin_pass()
                commands = self.scheduler.run_pass(self._clock.now_ms(), self.grants.may_start)
                await self.dispatch.execute(commands)
                self.delegation.offer()

    def place(self, task: Task) -> bool:
        """Start a task of another partition at once if a worker and the grant allow it."""
        self.grants.begin_pass()
        self.scheduler.enqueue(task)
        commands = self.scheduler.run_pass(
            self._clock.now_ms(), lambda other: other is task and self.grants.may_start(task)
        )
        placed = task.worker is not None
        if not placed:
            self.scheduler.release(task.task)
        self._bridge.spawn(self.dispatch.execute(commands))
        return placed

    def _begin_dispatch(self) -> None:
        hooks = DispatchHooks(
            self.may_act,
            self._append,
            self._on_started,
            self._on_ended,
            self._on_refused,
            self._on_lost,
            self._on_found,
            self.close,
            self._kicked.set,
        )
        self.dispatch = Dispatch(
            self._cfg,
            self._clock,
            self._bridge,
            self._workers,
            Authority(self.partition, self.epoch),
            self.scheduler,
            self._digest_of,
            hooks,
        )

    def _digest_of(self, task: Task) -> str:
        if task.home != self.partition:
            return self.hosting.digest_of(task)
        record = self.book.find(task.team, task.request_key)
        return record.digest if record else ""

    def _on_started(self, task: Task) -> None:
        record = self.book.find(task.team, task.request_key)
        if record is not None and record.first_start_ms == 0:
            record.first_start_ms = self._clock.now_ms()

    def _on_refused(self, task: Task) -> None:
        if task.home != self.partition:
            self.hosting.refused(task)
            self._kicked.set()
            return
        record = self.book.find(task.team, task.request_key)
        if record is not None and record.cancelled:
            self.scheduler.release(task.task)
            self._set_outcome(record, task.index, Outcome(ResultCode.CANCELLED))
            return
        self.scheduler.release(task.task)
        self._wait_again(task)

    def _wait_again(self, task: Task) -> None:
        """Queue a task once more.

        Workers do not give payloads back. A request known only from a worker is forgotten instead,
        and its callers' entry processes send it again with its payload.
        """
        record = self.book.find(task.team, task.request_key)
        if record is not None and record.spec.timeout_ms == CONTENT_UNKNOWN_MS:
            key = (task.team, task.request_key)
            del self.book.records[key]
            self._send_elsewhere(self._waiters.pop(key, []))
            return
        self.scheduler.enqueue(task)
        self._kicked.set()

    def _on_lost(self, task: Task) -> None:
        if task.home != self.partition:
            self.hosting.lost(task)
            return
        self.scheduler.release(task.task)
        if task.repeatable and self.book.find(task.team, task.request_key) is not None:
            self._wait_again(task)
        else:
            self._bridge.spawn(self._end(task, Outcome(ResultCode.OUTCOME_UNKNOWN)))

    def _on_ended(self, report: TaskReport) -> None:
        task = self.scheduler.release(TaskId(report.meta.task))
        if task is None:
            return
        self._kicked.set()
        if task.home != self.partition:
            self.hosting.ended(task, report)
            return
        record = self.book.find(task.team, task.request_key)
        if not (record and record.cancelled) and runs_again(task, report.state):
            self._wait_again(task)
            return
        outcome = Outcome(code_of_end(report.state), report.result)
        self._bridge.spawn(self._end(task, outcome))

    def _on_found(self, worker: WorkerId, report: TaskReport) -> None:
        if report.meta.home != self.partition:
            self.hosting.found(worker, report)
            return
        task = self._adopt(report.meta)
        if task is None:
            return
        self.scheduler.adopt(task, worker)
        if report.state != "running":
            self._on_ended(report)

    def _adopt(self, meta: TaskMeta) -> Task | None:
        """Return the task that a worker or another owner reports, none if it has an outcome."""
        record = self.book.find(meta.team, meta.request_key)
        task = task_from_meta(meta, self._clock.now_ms())
        if record is None:
            spec = RequestSpec(
                task.team,
                task.queue,
                task.request_key,
                task.kind,
                task.repeatable,
                Resources(meta.cpu_milli, meta.memory_mib, meta.accelerators, 1),
                task.run_ms,
                1,
                "",
                CONTENT_UNKNOWN_MS,
            )
            record = Record(spec, meta.digest, self._clock.now_ms())
            self.book.records[(task.team, task.request_key)] = record
        record.tasks[meta.index] = task.task
        task.payload = record.spec.payload
        return None if meta.index in record.outcomes else task

    async def _end(self, task: Task, outcome: Outcome) -> None:
        record = self.book.find(task.team, task.request_key)
        if record is None:
            return
        if self._is_durable(record.spec) or not task.repeatable:
            entry = OutcomeEntry(
                task.task,
                task.team,
                task.request_key,
                task.index,
                outcome.code.name,
                outcome.result,
                record.digest,
            )
            if task.repeatable:
                self._bridge.spawn(self._append([entry]))
            else:
                await self._append([entry])
        self._set_outcome(record, task.index, outcome)

    def _set_outcome(self, record: Record, index: int, outcome: Outcome) -> None:
        self.book.set_outcome(record, index, outcome, self._clock.now_ms())
        if not record.ended:
            return
        for fut in self._waiters.pop((record.spec.team, record.spec.request_key), []):
            if not fut.done():
                fut.set_result(None)

    async def _append(self, entries: list[Entry]) -> None:
        try:
            await self._journal.append(entries)
        except LagoonshelfError:
            if self._journal.lost:
                self.close()
            raise

    def _is_durable(self, spec: RequestSpec) -> bool:
        return spec.kind is not WorkKind.INTERACTIVE

    def _replay(self, entries: list[Entry]) -> None:
        now_ms = self._clock.now_ms()
        for entry in entries:
            if isinstance(entry, AcceptEntry):
                self.book.submit(spec_from_dict(entry.spec), now_ms)
            elif isinstance(entry, OutcomeEntry):
                record = self.book.find(entry.team, entry.request_key)
                if record is not None:
                    outcome = Outcome(ResultCode[entry.code], entry.result)
                    self.book.set_outcome(record, entry.index, outcome, now_ms)
            elif isinstance(entry, CancelEntry):
                record = self.book.find(entry.team, entry.request_key)
                if record is not None:
                    record.cancelled = True
            elif isinstance(entry, IntentEntry | VoidEntry):
                continue

    def _enqueue_accepted(self) -> None:
        for record in self.book.records.values():
            if self._is_durable(record.spec) and not record.ended and not record.cancelled:
                self._create_tasks(record)
        self._kicked.set()


def _no_owner(partition: PartitionId) -> Fault:
    return Fault(ResultCode.NO_OWNER, f"partition {partition} has no active owner here", 200)
