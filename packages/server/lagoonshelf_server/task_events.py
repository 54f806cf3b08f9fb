"""Handling of task events (started, refused, ended, lost) and of task outcomes."""

import asyncio
from collections.abc import Callable

from lagoonshelf_core.commands import Stop
from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import TaskId
from lagoonshelf_core.journal import OutcomeEntry, VoidEntry
from lagoonshelf_core.model import Task, TaskState, WorkKind
from lagoonshelf_core.records import Outcome, Record
from lagoonshelf_server import metrics
from lagoonshelf_server.dispatch import Dispatch
from lagoonshelf_server.hosting import Hosting
from lagoonshelf_server.logs import logger
from lagoonshelf_server.partition_state import PartitionState
from lagoonshelf_server.task_ends import result_code_of, should_restart
from lagoonshelf_server.worker_client import TaskReport

# Without a delay, a replica that ends at once is restarted as fast as the worker answers.
REPLICA_RESTART_DELAY_MS = 500
STORE_RETRY_DELAY_MS = 1000
_log = logger("tasks")


class TaskEvents:
    """Applies task events to the records, the journal and the queue."""

    def __init__(self, partition: PartitionState) -> None:
        """Initialize before the workers are known."""
        self.dispatch: Dispatch | None = None
        self.hosting: Hosting | None = None
        self.stop_delegated: Callable[[TaskId], None] = lambda task: None
        self._partition = partition

    def on_started(self, task: Task) -> None:
        """Record a confirmed start; stop the task if it was cancelled in the meantime."""
        record = self._partition.find_record(task)
        if record is None:
            return
        metrics.starts.inc({"queue": task.queue})
        record.maybe_started.add(task.index)
        record.attempts[task.index] = task.attempt
        if record.first_start_ms == 0:
            record.first_start_ms = self._partition.clock.now_ms()
            waited_ms = max(0, record.first_start_ms - record.created_ms)
            metrics.waited_ms.add({"queue": task.queue}, waited_ms)
        if record.cancelled:
            self.stop(task)

    def on_start_refused(self, task: Task) -> None:
        """Requeue a task whose start certainly did not happen."""
        if task.state is not TaskState.STARTING:
            return
        if self._is_foreign(task):
            self.hosting.record_refusal(task)
            self._partition.request_pass()
        elif task.repeatable:
            self._requeue_now(task)
        else:
            self._partition.settling.add(task.task)
            self._partition.spawn(self._void_intent(task))

    def on_intent_failed(self, task: Task) -> None:
        """Handle a task whose intent could not be journaled; no start was sent."""
        if self._is_foreign(task):
            self.hosting.record_refusal(task)
            return
        record = self._partition.find_record(task)
        self._partition.scheduler.release(task.task)
        if record is None:
            return
        task.attempt -= 1
        if record.durable or task.index in record.maybe_started:
            self._requeue_later(task, STORE_RETRY_DELAY_MS)
            return
        self._partition.record_table.drop(record)
        text = "the start could not be journaled"
        self._partition.waiters.fail(record.id, Fault(ResultCode.STORE_UNAVAILABLE, text, 1000))

    def on_lost(self, task: Task) -> None:
        """Handle a task that may have run and can no longer run."""
        self._partition.scheduler.release(task.task)
        self.dispatch.remove_task(task.task)
        if self._is_foreign(task):
            self.hosting.record_loss(task)
            return
        record = self._partition.find_record(task)
        if record is None:
            return
        record.maybe_started.add(task.index)
        if task.repeatable and not record.cancelled:
            self._requeue_now(task)
        else:
            self.settle(record, task.index, task.task, Outcome(ResultCode.OUTCOME_UNKNOWN))

    def on_ended(self, report: TaskReport) -> None:
        """Handle the reported end of a task."""
        task = self._partition.scheduler.tasks.get(TaskId(report.meta.task))
        if task is None:
            return
        worker = task.worker
        at_fault = self._partition.policy.record_end(task, report)
        preempted = self._partition.scheduler.should_requeue(task.task)
        self._partition.scheduler.release(task.task)
        self._partition.request_pass()
        stop = self.dispatch.pending_stops.get(task.task)
        self.dispatch.remove_task(task.task)
        if self._is_foreign(task):
            self.hosting.record_end(task, report)
            self.ack(worker, task.task)
            return
        record = self._partition.find_record(task)
        if record is None:
            return
        record.maybe_started.add(task.index)
        record.attempts[task.index] = max(task.attempt, report.meta.attempt)
        requeue = preempted or stop is None or stop.requeue
        again = should_restart(task, report.state, requeue) and not self._is_failure_final(
            task, at_fault
        )
        if not record.cancelled and again:
            task.failures += report.state == "failed"
            self.requeue(task)
            return
        outcome = Outcome(result_code_of(report.state), report.result)
        self.settle(record, task.index, task.task, outcome, worker)

    def on_abandoned(self, task: Task, reason: str) -> None:
        """End a queued task that cannot run."""
        record = self._partition.find_record(task)
        self._partition.scheduler.release(task.task)
        if record is not None:
            code = (
                ResultCode.TASK_FAILED
                if task.index in record.maybe_started
                else ResultCode.NEVER_FITS
            )
            self.settle(record, task.index, task.task, Outcome(code, reason))

    def stop(self, task: Task) -> None:
        """Stop a running task whose result is not needed."""
        if task.worker is None:
            return
        task.state = TaskState.STOPPING
        self._partition.spawn(self.dispatch.execute([Stop(task.task, task.worker, False)]))

    def settle(
        self, record: Record, index: int, task: TaskId, outcome: Outcome, worker: str | None = None
    ) -> None:
        """Store the outcome of a task; journal it first if the request is not repeatable.

        :param worker: worker that keeps the result until it is acknowledged
        """
        entry = _outcome_entry(record, index, task, outcome)
        if not record.spec.repeatable:
            self._partition.settling.add(task)
            self._partition.spawn(self._settle_durably(record, index, entry, outcome, worker))
            return
        self._set_outcome(record, index, outcome)
        if record.durable:
            self._partition.spawn(self._journal_outcome(entry, worker))
        else:
            record.unacked[index] = (worker, task)

    def cancel_queued(self, record: Record, index: int, task: TaskId) -> None:
        """Cancel a task that is queued or not active."""
        self._partition.scheduler.release(task)
        if index in record.maybe_started:
            code = ResultCode.CANCELLED_RUNNING
        elif record.recovered and record.spec.repeatable:
            # An earlier owner may have started it; starts of repeatable work are not journaled.
            code = ResultCode.OUTCOME_UNKNOWN
        else:
            code = ResultCode.CANCELLED
        self.settle(record, index, task, Outcome(code))

    def release_results(self, record: Record) -> None:
        """Acknowledge the results of a record to the workers that keep them."""
        for index, (worker, task) in list(record.unacked.items()):
            self.ack(worker, task)
            del record.unacked[index]

    def requeue(self, task: Task) -> None:
        """Queue a task for another start."""
        if task.kind is WorkKind.SERVICE:
            self._requeue_later(task, REPLICA_RESTART_DELAY_MS)
        else:
            self._requeue_now(task)

    async def settle_delegated(self, task: Task, outcome: Outcome) -> None:
        """Store the outcome of a task that another owner ran; return once it is durable.

        :raises LagoonshelfError: when the outcome could not be stored
        """
        record = self._partition.find_record(task)
        if record is None:
            return
        if record.durable or not record.spec.repeatable:
            await self._partition.append(
                [_outcome_entry(record, task.index, task.task, outcome)], False
            )
        self._set_outcome(record, task.index, outcome)

    def _is_failure_final(self, task: Task, at_fault: bool) -> bool:
        """Return whether a task at fault is abandoned; a service is restarted until cancelled."""
        return at_fault and task.kind is not WorkKind.SERVICE

    def _is_foreign(self, task: Task) -> bool:
        return task.home != self._partition.number

    def _requeue_later(self, task: Task, delay_ms: int) -> None:
        self._partition.settling.add(task.task)
        self._partition.spawn(self._wait_and_requeue(task, delay_ms))

    async def _wait_and_requeue(self, task: Task, delay_ms: int) -> None:
        await asyncio.sleep(delay_ms / 1000)
        self._requeue_now(task)

    async def _void_intent(self, task: Task) -> None:
        """Journal that a start did not happen, so that a successor may run the request."""
        entry = VoidEntry(task.task, task.attempt, task.team, task.request_key, task.index)
        try:
            await self._partition.append([entry], False)
        except LagoonshelfError as exc:
            _log.info("void entry not journaled", task=task.task, reason=exc.fault.message)
            return
        self._requeue_now(task)

    def _requeue_now(self, task: Task) -> None:
        self._partition.settling.discard(task.task)
        self._partition.scheduler.release(task.task)
        self._partition.request_pass()
        record = self._partition.find_record(task)
        if record is None or task.index in record.outcomes:
            return
        record.attempts[task.index] = task.attempt
        # A task found on a worker has no payload; a client may have sent it since.
        task.payload = record.spec.payload
        if record.cancelled:
            self.cancel_queued(record, task.index, task.task)
        elif not record.durable and not self._partition.waiters.count(record.id):
            # No client waits for the record; a retry creates a new one.
            self._partition.record_table.drop(record)
        elif not self._partition.awaits_inventories or task.epoch == self._partition.epoch:
            self._partition.scheduler.enqueue(task)

    async def _settle_durably(
        self, record: Record, index: int, entry: OutcomeEntry, outcome: Outcome, worker: str | None
    ) -> None:
        try:
            await self._partition.append([entry], False)
        except LagoonshelfError as exc:
            _log.info("outcome not journaled", task=entry.task, reason=exc.fault.message)
            return
        self._partition.settling.discard(entry.task)
        self._set_outcome(record, index, outcome)
        self.ack(worker, entry.task)

    async def _journal_outcome(self, entry: OutcomeEntry, worker: str | None) -> None:
        try:
            await self._partition.append([entry], False)
        except LagoonshelfError as exc:
            _log.info("outcome not journaled", task=entry.task, reason=exc.fault.message)
            return
        self.ack(worker, entry.task)

    def ack(self, worker: str | None, task: str) -> None:
        """Acknowledge a result, which the worker drops after its own retention time."""
        link = self.dispatch.fleet.links.get(worker) if worker else None
        if link is not None:
            link.pending_acks.append(task)

    def _set_outcome(self, record: Record, index: int, outcome: Outcome) -> None:
        self._partition.record_table.set_outcome(
            record, index, outcome, self._partition.clock.now_ms()
        )
        if record.ended:
            self._partition.waiters.wake(record.id)


def _outcome_entry(record: Record, index: int, task: TaskId, outcome: Outcome) -> OutcomeEntry:
    return OutcomeEntry(
        task,
        record.spec.team,
        record.spec.request_key,
        index,
        outcome.code.name,
        outcome.result,
        record.digest,
    )
