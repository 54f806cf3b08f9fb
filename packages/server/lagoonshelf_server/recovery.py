"""Recovery after a takeover: records from the journal, tasks from worker inventories."""

import asyncio

from lagoonshelf_core.errors import ResultCode
from lagoonshelf_core.ids import QueueId, RequestKey, TaskId, TeamId, WorkerId
from lagoonshelf_core.journal import IntentEntry, VoidEntry
from lagoonshelf_core.model import RequestSpec, Task, TaskState, WorkKind
from lagoonshelf_core.records import Outcome, Record, RequestId, digest_spec, spec_from_dict
from lagoonshelf_core.replay import JournaledRequest, JournalState
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.dispatch import Dispatch
from lagoonshelf_server.fleet import max_lease_ms
from lagoonshelf_server.hosting import Hosting
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import TaskMeta
from lagoonshelf_server.partition_state import PartitionState
from lagoonshelf_server.task_events import TaskEvents
from lagoonshelf_server.task_meta import spec_from_meta, task_from_meta
from lagoonshelf_server.worker_client import Inventory, TaskReport

POLL_INTERVAL_S = 0.05
_log = logger("recovery")


class Recovery:
    """Settles the predecessor's tasks within one task lease plus margin of the takeover."""

    def __init__(self, partition: PartitionState, events: TaskEvents) -> None:
        """Initialize before the journal is read."""
        self.dispatch: Dispatch | None = None
        self.hosting: Hosting | None = None
        self._partition = partition
        self._events = events
        self._intents: dict[tuple[RequestId, int], IntentEntry] = {}
        self._leases_end_ms = 0
        self._changed = asyncio.Event()

    def restore(self, state: JournalState) -> None:
        """Rebuild the records from the journal; call this once the epoch is durable."""
        self._leases_end_ms = self._partition.clock.now_ms() + max_lease_ms(self._partition.cfg)
        for (team, key), request in state.requests.items():
            if request.is_needed:
                self._restore_request((TeamId(team), RequestKey(key)), request)

    async def wait_inventories(self) -> None:
        """Wait until each worker was read or failed to answer, at most until all leases end."""
        while not self.dispatch.fleet.all_attempted() and not self._leases_ended():
            await asyncio.sleep(POLL_INTERVAL_S)

    async def finish(self) -> None:
        """Wait until no task of an earlier epoch can run undetected, then queue the rest."""
        while not self.dispatch.fleet.all_read() and not self._leases_ended():
            await asyncio.sleep(POLL_INTERVAL_S)
        self._partition.awaits_inventories = False
        for record in list(self._partition.record_table.records.values()):
            self.resume_record(record)
        self._notify()
        _log.info("recovery finished", partition=self._partition.number)
        while self._intents and not self._leases_ended():
            await asyncio.sleep(POLL_INTERVAL_S)
        for key, intent in list(self._intents.items()):
            # The worker is not in the host list or belongs to another partition.
            self._settle_unknown(key, intent)

    def close(self) -> None:
        """Release the requests that wait for a worker to be read."""
        self._partition.awaits_inventories = False
        self._notify()

    def resume_record(self, record: Record) -> None:
        """Queue the tasks that a restored record still needs; cancel them if it is cancelled."""
        if not record.cancelled:
            if record.durable or self._partition.waiters.count(record.id):
                self._partition.create_tasks(record)
            return
        for index in range(record.spec.tasks):
            name = record.tasks.get(index)
            settled = index in record.outcomes or index in record.blocked
            if (
                not settled
                and not self._partition.is_active(name)
                and not self._partition.awaits_inventories
            ):
                self._events.cancel_queued(record, index, name or TaskId(""))

    async def wait_resolved(self, request: RequestId) -> None:
        """Wait until a repeatable request has a record or cannot run undetected any more."""
        while (
            self._partition.awaits_inventories
            and self._partition.record_table.find(*request) is None
        ):
            self._changed.clear()
            await self._changed.wait()

    def on_found(self, worker: WorkerId, report: TaskReport) -> None:
        """Handle a task that is on a worker although the scheduler has not placed it there."""
        meta = report.meta
        if meta.home != self._partition.number:
            self.hosting.adopt_reported(worker, report)
            return
        task = task_from_meta(meta, self._partition.clock.now_ms())
        if task.task in self._partition.settling:
            return
        record = self._partition.record_table.find(
            task.team, task.request_key
        ) or self._restore_from_meta(meta)
        known = self._partition.scheduler.tasks.get(task.task)
        if self._is_superseded(record, task, report, known):
            if report.state == "running":
                self._stop_superseded(worker, task, known)
            else:
                self._events.ack(worker, task.task)
            return
        self._withdraw_previous(record, task, known)
        self._adopt(record, worker, task, report)

    def adopt_delegated(self, meta: TaskMeta) -> Task | None:
        """Adopt a task that another owner runs or ran; return ``None`` if it is superseded."""
        task = task_from_meta(meta, self._partition.clock.now_ms())
        record = self._partition.record_table.find(
            task.team, task.request_key
        ) or self._restore_from_meta(meta)
        settled = task.index in record.outcomes or task.task in self._partition.settling
        older = task.attempt < record.attempts.get(task.index, 0)
        current = record.tasks.get(task.index) or task.task
        if (
            meta.digest != record.digest
            or settled
            or older
            or _task_order(current) > _task_order(task.task)
        ):
            return None
        self._make_current(record, task)
        self._notify()
        return task

    def on_inventory(self, worker: WorkerId, inventory: Inventory) -> None:
        """Settle the intents for a worker whose inventory was processed."""
        for key, intent in list(self._intents.items()):
            if intent.worker != worker or intent.partition != self._partition.number:
                continue
            if intent.boot_id == inventory.boot_id:
                del self._intents[key]
                self._partition.spawn(self._void_intent(key, intent))
            else:
                self._settle_unknown(key, intent)
        self._notify()

    def on_worker_lost(self, worker: WorkerId) -> None:
        """Settle the intents for a worker whose task leases have ended."""
        for key, intent in list(self._intents.items()):
            if intent.worker == worker and intent.partition == self._partition.number:
                self._settle_unknown(key, intent)
        self._notify()

    def _restore_request(self, request: RequestId, journaled: JournaledRequest) -> None:
        record = self._make_record(request, journaled)
        for index, void in journaled.voids.items():
            record.tasks[index] = TaskId(void.task)
            record.attempts[index] = void.attempt
        for index, intent in journaled.intents.items():
            record.tasks[index] = TaskId(intent.task)
            record.attempts[index] = intent.attempt
            record.blocked.add(index)
            self._intents[(record.id, index)] = intent
        now_ms = self._partition.clock.now_ms()
        for index, entry in journaled.outcomes.items():
            record.tasks[index] = TaskId(entry.task)
            outcome = Outcome(ResultCode[entry.code], entry.result)
            self._partition.record_table.set_outcome(record, index, outcome, now_ms)
        record.maybe_started |= set(journaled.outcomes)
        record.cancelled = journaled.cancel is not None
        self._partition.record_table.add(record)

    def _make_record(self, request: RequestId, journaled: JournaledRequest) -> Record:
        now_ms = self._partition.clock.now_ms()
        if journaled.accept is not None:
            spec = spec_from_dict(journaled.accept.spec)
            return Record(spec, digest_spec(spec), now_ms, recovered=True)
        entry = next(iter([*journaled.intents.values(), *journaled.outcomes.values()]))
        return Record(
            _placeholder_spec(request), entry.digest, now_ms, complete=False, recovered=True
        )

    def _restore_from_meta(self, meta: TaskMeta) -> Record:
        spec = spec_from_meta(meta)
        record = Record(
            spec, meta.digest, self._partition.clock.now_ms(), complete=False, recovered=True
        )
        self._partition.record_table.add(record)
        return record

    def _is_superseded(
        self, record: Record, task: Task, report: TaskReport, known: Task | None
    ) -> bool:
        """Return whether a found task is not the newest attempt of its index."""
        if report.meta.digest != record.digest or task.index in record.outcomes:
            return True
        if task.attempt < record.attempts.get(task.index, 0):
            return True
        if known is not None:
            # The same attempt was queued again after its worker was lost. A result or a run
            # that still goes on replaces the queued task.
            return known.state is not TaskState.QUEUED or report.state not in (
                "running",
                "finished",
            )
        current = record.tasks.get(task.index)
        if current is None or current == task.task:
            return False
        other = self._partition.scheduler.tasks.get(current)
        if other is None:
            return _task_order(current) > _task_order(task.task)
        if other.state is TaskState.QUEUED and other.attempt == 0:
            return report.state not in ("running", "finished")
        return _task_order(current) > _task_order(task.task)

    def _withdraw_previous(self, record: Record, task: Task, known: Task | None) -> None:
        """Stop an older task of the same index, or remove it from the queue."""
        current = record.tasks.get(task.index)
        other = known or (self._partition.scheduler.tasks.get(current) if current else None)
        if other is None:
            return
        if other.state is TaskState.QUEUED:
            self._partition.scheduler.release(other.task)
        else:
            self._events.stop(other)

    def _make_current(self, record: Record, task: Task) -> None:
        """Make a found task the current one of its index."""
        index = task.index
        record.tasks[index] = task.task
        record.attempts[index] = task.attempt
        record.maybe_started.add(index)
        record.first_start_ms = record.first_start_ms or self._partition.clock.now_ms()
        record.blocked.discard(index)
        self._intents.pop((record.id, index), None)
        task.payload = record.spec.payload
        task.deadline_wall_ms = record.spec.deadline_wall_ms
        task.gang_size = record.spec.tasks if task.kind is WorkKind.GANG else 1

    def _adopt(self, record: Record, worker: WorkerId, task: Task, report: TaskReport) -> None:
        self._make_current(record, task)
        self._partition.scheduler.adopt(task, worker)
        if report.state != "running":
            self._events.on_ended(report)
        elif record.cancelled:
            self._events.stop(task)
        self._notify()

    def _stop_superseded(self, worker: WorkerId, task: Task, known: Task | None) -> None:
        """Stop a run for which another attempt was started.

        The run of a request that is not repeatable goes on; its outcome is already settled.
        """
        if known is None:
            # Its resources stay allocated until the worker reports the end.
            self._partition.scheduler.adopt(task, worker)
        if task.repeatable:
            _log.warning("superseded attempt stopped", task=task.task, worker=worker)
            self._partition.spawn(self.dispatch.stop_superseded(worker, task.task))

    def _settle_unknown(self, key: tuple[RequestId, int], intent: IntentEntry) -> None:
        """Settle a task as unknown that may have run and that its worker cannot report."""
        self._intents.pop(key, None)
        record = self._partition.record_table.find(*key[0])
        if record is None:
            return
        record.blocked.discard(intent.index)
        record.maybe_started.add(intent.index)
        outcome = Outcome(ResultCode.OUTCOME_UNKNOWN)
        self._events.settle(record, intent.index, TaskId(intent.task), outcome)

    async def _void_intent(self, key: tuple[RequestId, int], intent: IntentEntry) -> None:
        """Journal that a start did not happen and let the request run."""
        entry = VoidEntry(
            intent.task, intent.attempt, intent.team, intent.request_key, intent.index
        )
        await self._partition.append([entry], False)
        record = self._partition.record_table.find(*key[0])
        if record is None:
            return
        record.blocked.discard(intent.index)
        if record.complete:
            self.resume_record(record)
        elif not record.outcomes:
            # Only a retry brings the payload; it creates a new record.
            self._partition.record_table.drop(record)

    def _leases_ended(self) -> bool:
        """Return whether all task leases granted by the predecessor have ended."""
        return self._partition.clock.now_ms() >= self._leases_end_ms

    def _notify(self) -> None:
        self._changed.set()


def _task_order(task: TaskId) -> tuple[int, int]:
    """Return the epoch and the sequence of a task id, by which tasks are ordered."""
    _, epoch, sequence = task.split(".")
    return int(epoch), int(sequence)


def _placeholder_spec(request: RequestId) -> RequestSpec:
    """Return a placeholder spec for an interactive request of which only the key is known."""
    team, key = request
    return RequestSpec(
        team=team,
        queue=QueueId(""),
        request_key=key,
        kind=WorkKind.INTERACTIVE,
        repeatable=False,
        size=Resources(),
        run_ms=0,
        tasks=1,
        payload="",
        timeout_ms=0,
    )
