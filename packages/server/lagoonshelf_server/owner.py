"""Lifecycle of one owned partition: takeover, requests and release."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from enum import Enum
from typing import TypeVar

import orjson

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.errors import LagoonshelfError
from lagoonshelf_core.ids import Epoch, MemberId, PartitionId
from lagoonshelf_core.journal import Entry, EpochEntry, ReleaseEntry
from lagoonshelf_core.model import RequestSpec, Task, TaskState, WorkerInfo
from lagoonshelf_core.records import Record, RecordTable
from lagoonshelf_core.routing import partition_of_worker
from lagoonshelf_core.scheduler import Scheduler
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.config_sync import ConfigSync
from lagoonshelf_server.dispatch import Dispatch
from lagoonshelf_server.journal_writer import JournalWriter
from lagoonshelf_server.logs import logger
from lagoonshelf_server.maintenance import Maintenance
from lagoonshelf_server.members import Members
from lagoonshelf_server.owner_parts import (
    OwnerHooks,
    make_delegation,
    make_grants,
    make_hosting,
)
from lagoonshelf_server.partition_calls import PartitionCalls
from lagoonshelf_server.partition_state import PartitionState
from lagoonshelf_server.pass_trigger import PassTrigger
from lagoonshelf_server.recovery import Recovery
from lagoonshelf_server.request_handler import RequestHandler, no_owner_fault
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.snapshots import JournalContents, read_journal
from lagoonshelf_server.starter import DispatchHooks
from lagoonshelf_server.store import StoreClient, StoreError
from lagoonshelf_server.task_events import TaskEvents
from lagoonshelf_server.worker_client import FencingToken, WorkerClient

STORE_RETRY_S = 0.2
# A process that has not requested the host list for this long was paused.
MAX_HOSTS_REQUEST_AGE_MS = 3000
# The store answers lease renewals, watches and host list reads about once a second, so a
# longer silence means that it cannot be reached.
MAX_STORE_SILENCE_MS = 2500
T = TypeVar("T")
_log = logger("owner")


class OwnerState(Enum):
    """States of an owned partition."""

    RECOVERING = "recovering"
    ACTIVE = "active"
    RELEASING = "releasing"
    LOST = "lost"


class Owner:
    """Owner of one partition in this process."""

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
        """Initialize before the takeover; the owner key is attached to the member's lease."""
        self.partition_id = partition
        self.state = OwnerState.RECOVERING
        self.dispatch: Dispatch | None = None
        self._cfg = cfg
        self._clock = clock
        self._bridge = bridge
        self._store = store
        self._workers = workers
        self._members = members
        self._lease = members.lease
        self._journal: JournalWriter | None = None
        self._first_segment = 1
        self._hosts_requested_ms = 0
        self._pass_trigger = PassTrigger(clock)
        self._background: list[asyncio.Task] = []
        self._partition = PartitionState(
            partition,
            cfg,
            clock,
            config,
            self._append,
            bridge.spawn,
            self.may_act,
            self._pass_trigger.request,
        )
        self._events = TaskEvents(self._partition)
        self._recovery = Recovery(self._partition, self._events)
        self._request_handler = RequestHandler(
            self._partition, self._events, self._recovery, self.may_start
        )
        owner_hooks = OwnerHooks(
            journal=lambda entries: self._append(entries, True),
            on_started=self._events.on_started,
            on_intent_failed=self._events.on_intent_failed,
            requeue=self._events.requeue,
            store_outcome=self._events.settle_delegated,
            adopt=self._recovery.adopt_delegated,
            digest_of=self._digest_of,
            request_pass=self._pass_trigger.request,
            is_lost=lambda: self.state is OwnerState.LOST,
        )
        self.grants = make_grants(self, owner_hooks, cfg, clock, bridge, store, config, calls)
        self.hosting = make_hosting(self, clock, calls)
        self.delegation = make_delegation(self, owner_hooks, cfg, clock, bridge, calls)
        self._partition.delegated = self.delegation.delegated
        self._events.hosting = self._recovery.hosting = self.hosting
        self._events.stop_delegated = self.delegation.stop

    @property
    def epoch(self) -> Epoch:
        """Return the epoch of this ownership, 0 before the takeover."""
        return self._partition.epoch

    @property
    def scheduler(self) -> Scheduler:
        """Return the scheduler, which holds the queue and the workers of the partition."""
        return self._partition.scheduler

    def running_count(self) -> int:
        """Return the number of tasks that run on the partition's workers."""
        return sum(task.state is TaskState.RUNNING for task in self.scheduler.tasks.values())

    @property
    def record_table(self) -> RecordTable:
        """Return the request records of the partition."""
        return self._partition.record_table

    def may_act(self) -> bool:
        """Return whether a command or an answer may be sent now."""
        return (
            self.state is not OwnerState.LOST
            and self._lease == self._members.lease
            and self._members.may_act()
        )

    def may_start(self) -> bool:
        """Return whether new work may be started now."""
        return self.state is OwnerState.ACTIVE and self.may_act()

    async def take_over(self) -> None:
        """Start a new epoch, recover the predecessor's state and become active."""
        try:
            await self._start_epoch()
            self._start_dispatch()
            self.set_hosts(await self._retry(self._store.hosts))
            await self._recovery.wait_inventories()
            await self.delegation.take_over()
            await self.grants.load(self.epoch)
        except LagoonshelfError as exc:
            _log.warning("takeover aborted", partition=self.partition_id, reason=exc.fault.message)
            self.close()
            return
        if self.state is not OwnerState.RECOVERING:
            return
        self.state = OwnerState.ACTIVE
        for record in list(self.record_table.records.values()):
            self._recovery.resume_record(record)
        maintenance = Maintenance(
            self._partition, self._events, self._store, self._journal, self._first_segment
        )
        for loop in (
            self._recovery.finish(),
            self._run_passes(),
            maintenance.run(self.may_start),
            self.grants.run_forever(),
            self.delegation.follow_up_forever(),
            self.hosting.report_forever(),
        ):
            self._background.append(self._bridge.spawn(self._close_on_error(loop)))
        self._pass_trigger.request()
        _log.info("partition active", partition=self.partition_id, epoch=self.epoch)

    def set_hosts(self, hosts: list[WorkerInfo]) -> None:
        """Apply the platform's host list."""
        self.record_hosts_request()
        self.delegation.set_hosts(hosts)
        self._partition.policy.admission.set_hosts(hosts, self._cfg.partitions)
        local_hosts = [
            host
            for host in hosts
            if partition_of_worker(host.worker, self._cfg.partitions) == self.partition_id
        ]
        if self.dispatch is not None:
            self.dispatch.fleet.set_hosts(local_hosts)

    def record_hosts_request(self) -> None:
        """Record that the host list was requested, whether or not the store answered."""
        self._hosts_requested_ms = self._clock.now_ms()

    async def submit(self, spec: RequestSpec, resent: bool = False) -> Record:
        """Submit a request or join its record; return when it is accepted or has ended.

        :param resent: whether the API process may have sent the request to an earlier owner
        :raises LagoonshelfError: when the request was refused or timed out, or the owner closed
        """
        return await self._request_handler.submit(spec, resent)

    async def cancel(self, record: Record) -> None:
        """Cancel the tasks of a record that have not ended."""
        await self._request_handler.cancel(record)

    async def wait_accepted(self, record: Record) -> None:
        """Wait until the acceptance of a record is durable or refused, so that it may be shown."""
        await self._request_handler.wait_accepted(record.id)

    async def release(self) -> None:
        """Release the partition: stop, write the release entry and delete the owner key."""
        self.state = OwnerState.RELEASING
        try:
            if self.dispatch is not None:
                await self.dispatch.quiesce()
            if self._journal is not None:
                await self._journal.close(ReleaseEntry(self.epoch))
        finally:
            self._stop()
        await self._delete_key()

    def close(self) -> None:
        """Stop acting for the partition; refuse waiting requests with ``OWNER_LEFT``."""
        if self.state is not OwnerState.LOST:
            self._stop()
            # No other process can claim the partition while this process keeps its key.
            self._bridge.spawn(self._delete_key())

    def _stop(self) -> None:
        self.state = OwnerState.LOST
        for task in self._background:
            task.cancel()
        if self.dispatch is not None:
            self.dispatch.fleet.close()
        if self._journal is not None:
            self._journal.stop()
        self._recovery.close()
        self._partition.waiters.fail_all(self._partition.owner_left_fault())

    async def _close_on_error(self, loop: Coroutine[object, object, None]) -> None:
        """Run a loop; if it fails, close the owner, so that a takeover restores the partition."""
        try:
            await loop
        except Exception as exc:
            _log.error(
                "background loop failed; closing the owner",
                partition=self.partition_id,
                error=repr(exc),
                exc_info=True,
            )
            self.close()

    async def _run_passes(self) -> None:
        while True:
            await self._pass_trigger.wait(self._partition.next_pass_ms())
            await self._refresh_stale_hosts()
            if self.may_start():
                self.grants.begin_pass()
                commands = self._partition.run_pass(self.grants.may_start)
                await self.dispatch.execute(commands)
                self.delegation.offer_waiting_tasks()

    def place(self, task: Task) -> bool:
        """Start a task of another partition now if a worker and the grant allow it.

        :returns: whether the task was placed
        """
        self.grants.begin_pass()
        self.scheduler.enqueue(task)
        commands = self._partition.run_pass(
            lambda other: other is task and self.grants.may_start(task)
        )
        placed = task.worker is not None
        if not placed:
            self.scheduler.release(task.task)
        self._bridge.spawn(self.dispatch.execute(commands))
        return placed

    async def _refresh_stale_hosts(self) -> None:
        """Read the host list before a pass if this process was paused.

        Workers may have begun to leave during the pause.
        """
        if self._clock.now_ms() - self._hosts_requested_ms <= MAX_HOSTS_REQUEST_AGE_MS:
            return
        try:
            self.set_hosts(await self._store.hosts())
        except StoreError:
            self.record_hosts_request()

    async def _start_epoch(self) -> None:
        """Append the epoch entry after the predecessor's entries and restore the records."""
        contents = await self._read_journal()
        if not contents.state.is_released:
            await asyncio.sleep(self._cfg.takeover_margin_ms / 1000)
            contents = await self._read_journal()
        if self.state is not OwnerState.RECOVERING:
            raise LagoonshelfError(no_owner_fault(self.partition_id))
        self._partition.epoch = Epoch(contents.state.epoch + 1)
        self._first_segment = contents.first_segment
        self._journal = JournalWriter(
            self._store,
            self.partition_id,
            self.epoch,
            contents.state,
            contents.next_segment,
            self._cfg.journal_flush_ms,
            self._is_store_reachable,
        )
        entry = EpochEntry(self.epoch, MemberId(self._cfg.member))
        await self._journal.append([entry], False)
        self._recovery.restore(contents.state)

    async def _read_journal(self) -> JournalContents:
        return await self._retry(lambda: read_journal(self._store, self.partition_id))

    def _start_dispatch(self) -> None:
        hooks = DispatchHooks(
            may_act=self.may_act,
            may_start=self.may_start,
            journal=self._append,
            on_started=self._events.on_started,
            on_ended=self._events.on_ended,
            on_start_refused=self._events.on_start_refused,
            on_intent_failed=self._events.on_intent_failed,
            on_lost=self._events.on_lost,
            on_found=self._recovery.on_found,
            on_inventory=self._recovery.on_inventory,
            on_worker_lost=self._recovery.on_worker_lost,
            on_abandoned=self._events.on_abandoned,
            on_stale_epoch=self.close,
            request_pass=self._pass_trigger.request,
        )
        self.dispatch = Dispatch(
            self._cfg,
            self._clock,
            self._bridge,
            self._workers,
            FencingToken(self.partition_id, self.epoch),
            self.scheduler,
            self._digest_of,
            hooks,
        )
        self._events.dispatch = self._recovery.dispatch = self.dispatch
        self._partition.policy.ready_workers = self.dispatch.fleet.ready
        # Renews the leases of tasks found on workers while other workers are still being read.
        self._background.append(self._bridge.spawn(self.dispatch.renew_forever()))

    def _digest_of(self, task: Task) -> str:
        if task.home != self.partition_id:
            return self.hosting.digest_of(task)
        record = self.record_table.find(task.team, task.request_key)
        return record.digest if record else ""

    async def _append(self, entries: list[Entry], fail_fast: bool = True) -> None:
        try:
            await self._journal.append(entries, fail_fast)
        except LagoonshelfError:
            if self._journal.lost:
                self.close()
            raise

    def _is_store_reachable(self) -> bool:
        return self._clock.now_ms() - self._store.last_contact_ms < MAX_STORE_SILENCE_MS

    async def _delete_key(self) -> None:
        """Delete the owner key if it still belongs to this ownership."""
        try:
            item = await self._retry(lambda: self._store.get(f"owners/{self.partition_id}"))
            is_own = (
                item.value is not None and orjson.loads(item.value).get("lease") == self._lease
            )
            if is_own and self._lease == self._members.lease:
                await self._retry(lambda: self._store.delete(item.key, item.version))
        except LagoonshelfError:
            _log.info(
                "owner key not deleted; it expires with the lease", partition=self.partition_id
            )

    async def _retry(self, call: Callable[[], Awaitable[T]]) -> T:
        """Repeat a store call until it succeeds or the member's lease has changed."""
        while True:
            try:
                return await call()
            except StoreError as exc:
                _log.info(
                    "store call failed; retrying", partition=self.partition_id, reason=str(exc)
                )
            if self._lease != self._members.lease:
                raise LagoonshelfError(no_owner_fault(self.partition_id))
            await asyncio.sleep(STORE_RETRY_S)
