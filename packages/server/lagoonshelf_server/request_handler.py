"""Handling of requests by the owner of their partition: submission, waiting, cancellation."""

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
    """Handler of the requests of one owned partition."""

    def __init__(
        self,
        partition: PartitionState,
        events: TaskEvents,
        recovery: Recovery,
        may_start: Callable[[], bool],
    ) -> None:
        """Create the handler.

        :param may_start: returns whether new work may be started now
        """
        self._partition = partition
        self._events = events
        self._recovery = recovery
        self._may_start = may_start
        self._accepting: dict[RequestId, asyncio.Task[None]] = {}

    async def submit(self, spec: RequestSpec, resent: bool = False) -> Record:
        """Submit a request or join its existing record.

        Return when an interactive request has ended, or when any other one is accepted.

        :param resent: whether an API process may have sent it to an earlier owner
        :raises LagoonshelfError: if the request is refused or times out, or the owner leaves
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
        """Cancel the tasks of a request that have not ended yet."""
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
        """Refuse a new request that the admission policy rejects.

        A request that already has a record is not checked again. Neither is a resent
        repeatable interactive request: an earlier owner may have started it, and such starts
        are not journaled, so a refusal as "not run" could be false.
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
        """Journal the acceptance, even if the client disconnects meanwhile."""
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
        """Wait until an acceptance in progress is durable."""
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
        """Return the fault for a client whose timeout expired.

        The last waiting client also removes a task that is still queued.
        """
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
    """Return the fault for a request to a partition without an active owner here."""
    return Fault(ResultCode.NO_OWNER, f"partition {partition} has no active owner here", 200)


def _consume_exception(task: asyncio.Task[None]) -> None:
    """Retrieve the exception of a task that no client awaits, so asyncio does not log it."""
    if not task.cancelled():
        task.exception()
