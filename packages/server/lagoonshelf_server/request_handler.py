"""Requests that reach a partition's owner: acceptance, joining, waiting and cancelling."""

import asyncio
from collections.abc import Callable

from returns.result import Failure

from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import PartitionId
from lagoonshelf_core.journal import AcceptEntry, CancelEntry
from lagoonshelf_core.model import RequestSpec, TaskState, WorkKind
from lagoonshelf_core.records import Record, RequestId, spec_to_dict
from lagoonshelf_server.partition_state import PartitionState
from lagoonshelf_server.recovery import Recovery
from lagoonshelf_server.task_events import TaskEvents


class RequestHandler:
    """The callers' side of one owned partition."""

    def __init__(
        self,
        partition: PartitionState,
        events: TaskEvents,
        recovery: Recovery,
        may_start: Callable[[], bool],
    ) -> None:
        """Set up.

        :param may_start: whether new work may be started now
        """
        self._partition = partition
        self._events = events
        self._recovery = recovery
        self._may_start = may_start
        self._accepting: dict[RequestId, asyncio.Task[None]] = {}

    async def submit(self, spec: RequestSpec, resent: bool = False) -> Record:
        """Begin a request or join its record; return when it is accepted or has ended.

        :param resent: whether an entry process may have sent it to an earlier owner
        :raises LagoonshelfError: when the request was refused, timed out, or the owner left
        """
        self._check_active()
        end_ms = self._partition.clock.now_ms() + spec.timeout_ms
        try:
            record = await self._admit(spec, end_ms, resent)
            if spec.kind is WorkKind.INTERACTIVE:
                await self._wait_until_ended(record, end_ms)
        except LagoonshelfError:
            self._check_may_answer()
            raise
        self._check_may_answer()
        self._events.release_results(record)
        return record

    async def cancel(self, record: Record) -> None:
        """Cancel what has not ended yet."""
        self._check_active()
        await self.wait_accepted(record.id)
        if record.cancelled or record.ended:
            return
        if record.durable:
            await self._partition.append(
                [CancelEntry(record.spec.team, record.spec.request_key)], True
            )
        record.cancelled = True
        for index, name in list(record.tasks.items()):
            task = self._partition.scheduler.tasks.get(name)
            if task is None:
                self._events.stop_delegated(name)
            elif task.state is TaskState.QUEUED:
                self._events.cancel_queued(record, index, name)
            elif task.state is TaskState.RUNNING:
                self._events.stop(task)
        self._recovery.resume_record(record)
        self._check_may_answer()

    async def _admit(self, spec: RequestSpec, end_ms: int, resent: bool) -> Record:
        if spec.repeatable and spec.kind is WorkKind.INTERACTIVE:
            await self._wait_until_known((spec.team, spec.request_key), end_ms)
            self._check_active()
        self._check_policy(spec, resent)
        result = self._partition.record_table.submit(spec, self._partition.clock.now_ms())
        if isinstance(result, Failure):
            raise LagoonshelfError(result.failure())
        record, is_new = result.unwrap()
        if is_new and record.durable:
            accepting = asyncio.ensure_future(self._accept(record))
            self._accepting[record.id] = accepting
            accepting.add_done_callback(_consume_exception)
        await self.wait_accepted(record.id)
        self._partition.create_tasks(record)
        self._partition.policy.admission.finish_acceptance(record.id)
        return record

    def _check_policy(self, spec: RequestSpec, resent: bool) -> None:
        """Refuse a new request that the policy does not let in; a known one joins its record.

        An earlier owner may have started a resent request whose starts are not journaled, so
        that refusing it as not run could be untrue.
        """
        if self._partition.record_table.find(spec.team, spec.request_key) is not None:
            return
        if resent and spec.repeatable and spec.kind is WorkKind.INTERACTIVE:
            return
        fault = self._partition.policy.check_admission(spec, self._partition.scheduler)
        if fault is not None:
            raise LagoonshelfError(fault)

    async def _wait_until_known(self, request: RequestId, end_ms: int) -> None:
        left_s = max(0, end_ms - self._partition.clock.now_ms()) / 1000
        try:
            async with asyncio.timeout(left_s):
                await self._recovery.wait_resolved(request)
        except TimeoutError:
            text = "a worker that may run the request was not read in time"
            raise LagoonshelfError(Fault(ResultCode.OUTCOME_UNKNOWN, text)) from None

    async def _accept(self, record: Record) -> None:
        """Make the acceptance durable, even when the caller leaves meanwhile."""
        try:
            await self._partition.append([AcceptEntry(spec_to_dict(record.spec))], True)
            self._partition.create_tasks(record)
        except LagoonshelfError:
            self._partition.record_table.drop(record)
            raise
        finally:
            del self._accepting[record.id]
            self._partition.policy.admission.finish_acceptance(record.id)

    async def wait_accepted(self, request: RequestId) -> None:
        """Wait until an acceptance in progress is known to be durable."""
        accepting = self._accepting.get(request)
        if accepting is not None:
            await asyncio.shield(accepting)

    async def _wait_until_ended(self, record: Record, end_ms: int) -> None:
        if record.ended:
            return
        left_s = (end_ms - self._partition.clock.now_ms()) / 1000
        try:
            if await self._partition.waiters.wait(record.id, left_s) or record.ended:
                return
        except asyncio.CancelledError:
            self._time_out(record)
            raise
        raise LagoonshelfError(self._time_out(record))

    def _time_out(self, record: Record) -> Fault:
        """Return what a caller gets whose time is up; the last one takes the queue entry along."""
        name = record.tasks.get(0)
        task = self._partition.scheduler.tasks.get(name) if name else None
        is_queued = task is not None and task.state is TaskState.QUEUED
        is_last = not self._partition.waiters.count(record.id)
        if is_queued and is_last and self._partition.may_act():
            self._partition.scheduler.release(task.task)
            self._partition.record_table.drop(record)
            if 0 not in record.maybe_started:
                return Fault(ResultCode.TIMED_OUT_QUEUED, "no worker had room in time")
        return Fault(ResultCode.TIMED_OUT_RUNNING, "the work may have been started")

    def _check_active(self) -> None:
        if not self._may_start():
            raise LagoonshelfError(no_owner_fault(self._partition.number))

    def _check_may_answer(self) -> None:
        if not self._partition.may_act():
            raise LagoonshelfError(self._partition.owner_left_fault())


def no_owner_fault(partition: PartitionId) -> Fault:
    """Return what a caller gets whose request was not let in."""
    return Fault(ResultCode.NO_OWNER, f"partition {partition} has no active owner here", 200)


def _consume_exception(task: asyncio.Task[None]) -> None:
    """Mark a failure as seen when no caller is left."""
    if not task.cancelled():
        task.exception()
