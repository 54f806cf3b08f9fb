"""Delegation: running tasks of this partition on workers of other partitions."""

import asyncio
from collections.abc import Coroutine

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import Epoch, MemberId, PartitionId, TaskId
from lagoonshelf_core.journal import IntentEntry, VoidEntry
from lagoonshelf_core.model import Task, TaskState, WorkerInfo
from lagoonshelf_core.records import Outcome
from lagoonshelf_core.routing import partition_of_worker
from lagoonshelf_core.scheduler import Scheduler
from lagoonshelf_server.delegated_task import (
    STOP_INTERVAL_MS,
    DelegatedTask,
    DelegationHooks,
    DelegationState,
    intent_of,
)
from lagoonshelf_server.hosting import boot_text, boots_digest
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import (
    Delegate,
    DelegateDone,
    DelegateQuery,
    DelegateReply,
    DelegateState,
    DelegateStates,
    DelegateStop,
    Fence,
    TaskMeta,
)
from lagoonshelf_server.offers import Offers
from lagoonshelf_server.partition_calls import FreeCapacity, PartitionCalls
from lagoonshelf_server.peers import PeerLostError
from lagoonshelf_server.task_ends import result_code_of, should_restart
from lagoonshelf_server.task_meta import meta_from_task

FOLLOW_UP_INTERVAL_S = 0.1
# Each scheduling pass offers the tasks it cannot place, so idle partitions may poll rarely.
IDLE_INTERVAL_S = 0.5
FENCE_INTERVAL_S = 0.05
_log = logger("delegation")


class Delegation:
    """The tasks that one owned partition has delegated to other partitions."""

    def __init__(
        self,
        partition: PartitionId,
        partitions: int,
        member: MemberId,
        clock: Clock,
        scheduler: Scheduler,
        calls: PartitionCalls,
        hooks: DelegationHooks,
    ) -> None:
        """Initialize without delegated tasks.

        :param partitions: number of partitions of the cell
        """
        self.delegated: dict[TaskId, DelegatedTask] = {}
        self._partition = partition
        self._partitions = partitions
        self._member = member
        self._clock = clock
        self._scheduler = scheduler
        self._calls = calls
        self._hooks = hooks
        self._boots: dict[PartitionId, frozenset[str]] = {}
        self._last_attempts: dict[TaskId, int] = {}
        self._offers = Offers(clock, hooks.lacks_grant)

    def set_hosts(self, hosts: list[WorkerInfo]) -> None:
        """Update the boot ids of all workers from the host list of the whole cell."""
        boots: dict[PartitionId, set[str]] = {}
        for host in hosts:
            partition = partition_of_worker(host.worker, self._partitions)
            boots.setdefault(partition, set()).add(boot_text(host.worker, host.boot_id))
        self._boots = {partition: frozenset(texts) for partition, texts in boots.items()}

    def offer_waiting_tasks(self) -> None:
        """Delegate tasks that the last scheduling pass left waiting to other partitions."""
        if not self._hooks.is_active():
            return
        candidates = [c for c in self._calls.free_capacities() if c.partition != self._partition]
        pending = [
            (delegated.partition, delegated.task)
            for delegated in self.delegated.values()
            if delegated.state is DelegationState.REQUESTED
        ]
        for task, candidate in self._offers.choose(
            self._scheduler.tasks.values(), candidates, pending
        ):
            self._delegate(task, candidate)

    def stop(self, name: TaskId) -> None:
        """Request the stop of a delegated task."""
        delegated = self.delegated.get(name)
        if delegated is not None:
            delegated.stopping = True

    async def on_done(self, body: DelegateDone) -> None:
        """Handle the reported end of a delegated task.

        :raises LagoonshelfError: when the sender must report the end again
        """
        if not self._hooks.is_active():
            raise _no_owner_error(f"partition {self._partition} is not active")
        await self._handle_end(body.meta, body.state, body.result)

    async def take_over(self) -> None:
        """Fence earlier owners at all members and adopt the tasks that other partitions run."""
        others = {PartitionId(p) for p in range(self._partitions)} - {self._partition}
        answered: set[PartitionId] = set()
        fenced: set[MemberId] = set()
        fence = Fence(self._partition, self._hooks.epoch(), self._member)
        while not (others <= answered and self._calls.known_members() <= fenced):
            if self._hooks.is_lost():
                raise _no_owner_error(f"partition {self._partition} was lost during takeover")
            members = sorted(self._calls.known_members())
            replies = await asyncio.gather(*(self._calls.fence(m, fence) for m in members))
            for member, reply in zip(members, replies, strict=True):
                if reply is not None and reply.accepted and await self._adopt(reply.tasks):
                    fenced.add(member)
                    answered |= {PartitionId(p) for p in reply.partitions}
            await asyncio.sleep(FENCE_INTERVAL_S)

    async def never_started(self, intent: IntentEntry) -> bool | None:
        """Return whether a journaled delegated task certainly never ran; valid after takeover.

        :param intent: intent with a partition and no worker; its boot id is a digest over all
            workers of that partition
        :returns: none while the owner of that partition does not know
        """
        if intent.task in self.delegated:
            return False
        query = DelegateQuery(intent.partition, self._partition, self._hooks.epoch())
        try:
            reply = await self._calls.call(intent.partition, "delegateQuery", query)
        except PeerLostError:
            return None
        if not isinstance(reply, DelegateStates) or not reply.complete:
            return None
        known = any(found.meta.task == intent.task for found in reply.tasks)
        return not known and boots_digest(reply.boots) == intent.boot_id

    async def follow_up_forever(self) -> None:
        """Resend unanswered requests, follow owner changes, and offer waiting tasks again."""
        while True:
            busy = self.delegated or self._scheduler.queue_length()
            await asyncio.sleep(FOLLOW_UP_INTERVAL_S if busy else IDLE_INTERVAL_S)
            if not self._hooks.is_active():
                continue
            for delegated in list(self.delegated.values()):
                if not delegated.busy and delegated.state is not DelegationState.ENDING:
                    self._hooks.spawn(self._follow(delegated))
            self._forget_ended()
            self.offer_waiting_tasks()

    def _delegate(self, task: Task, candidate: FreeCapacity) -> None:
        self._scheduler.release(task.task)
        attempt = max(task.attempt, self._last_attempts.get(task.task, 0)) + 1
        self._last_attempts[task.task] = attempt
        task.attempt, task.state = attempt, TaskState.STARTING
        boots = self._boots.get(candidate.partition, frozenset())
        delegated = DelegatedTask(task, candidate.partition, candidate.epoch, boots, busy=True)
        self.delegated[task.task] = delegated
        self._hooks.spawn(self._journal_and_request(delegated))

    async def _journal_and_request(self, delegated: DelegatedTask) -> None:
        if not delegated.task.repeatable:
            digest = self._hooks.digest_of(delegated.task)
            try:
                await self._hooks.journal([intent_of(delegated, digest)])
            except LagoonshelfError as exc:
                _log.warning("intent to delegate a task not journaled", reason=exc.fault.message)
                self.delegated.pop(delegated.task.task, None)
                if self._hooks.may_act():
                    self._hooks.on_intent_failed(delegated.task)
                return
        await self._run_step(delegated, self._request_start(delegated))

    async def _follow(self, delegated: DelegatedTask) -> None:
        epoch = self._calls.owner_epoch(delegated.partition)
        if epoch is not None and epoch > delegated.epoch:
            await self._run_step(delegated, self._query_successor(delegated, epoch))
        elif delegated.state is DelegationState.REQUESTED:
            await self._run_step(delegated, self._request_start(delegated))
        elif delegated.stopping:
            await self._run_step(delegated, self._send_stop(delegated))

    async def _run_step(self, delegated: DelegatedTask, step: Coroutine) -> None:
        delegated.busy = True
        try:
            await step
        except PeerLostError:
            pass  # retried after the next interval
        except LagoonshelfError as exc:
            _log.info(
                "end of a delegated task not stored", task=delegated.task.task, reason=str(exc)
            )
        finally:
            delegated.busy = False

    async def _request_start(self, delegated: DelegatedTask) -> None:
        """Request the start of the task; repeating the request of an attempt is idempotent."""
        if not self._hooks.may_act():
            return
        meta = meta_from_task(delegated.task, self._hooks.digest_of(delegated.task))
        home_epoch, payload = self._hooks.epoch(), delegated.task.payload
        body = Delegate(delegated.partition, home_epoch, meta, payload, delegated.epoch)
        reply = await self._calls.call(delegated.partition, "delegate", body)
        if not self._is_current(delegated) or not isinstance(reply, DelegateReply):
            return
        if reply.accepted:
            delegated.state, delegated.task.state = DelegationState.RUNNING, TaskState.RUNNING
            self._hooks.on_started(delegated.task)
        else:
            await self._void(delegated)

    async def _query_successor(self, delegated: DelegatedTask, epoch: Epoch) -> None:
        """Query the successor of the owner that the task was delegated to."""
        body = DelegateQuery(delegated.partition, self._partition, self._hooks.epoch())
        reply = await self._calls.call(delegated.partition, "delegateQuery", body)
        if not isinstance(reply, DelegateStates) or not self._is_current(delegated):
            return
        for found in reply.tasks:
            same = (
                found.meta.task == delegated.task.task
                and found.meta.attempt == delegated.task.attempt
            )
            if same and found.state == "running":
                delegated.state, delegated.epoch = DelegationState.RUNNING, epoch
                self._hooks.on_started(delegated.task)
                return
            if same:
                await self._finish(delegated, found.state, found.result)
                return
        if reply.complete:
            await self._resolve_missing(delegated, frozenset(reply.boots))

    async def _resolve_missing(self, delegated: DelegatedTask, boots: frozenset[str]) -> None:
        """Resolve a task that no worker of its partition knows.

        A worker that has restarted or disappeared since may have run the task.
        """
        if delegated.task.repeatable:
            self._requeue(delegated)
        elif boots == delegated.boots:
            await self._void(delegated)
        else:
            await self._finish(delegated, "lost", "")

    async def _send_stop(self, delegated: DelegatedTask) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - delegated.stop_sent_ms < STOP_INTERVAL_MS or not self._hooks.may_act():
            return
        delegated.stop_sent_ms = now_ms
        name, attempt = delegated.task.task, delegated.task.attempt
        body = DelegateStop(
            delegated.partition, self._partition, self._hooks.epoch(), name, attempt
        )
        await self._calls.call(delegated.partition, "delegateStop", body)

    async def _handle_end(self, meta: TaskMeta, state: str, result: str) -> None:
        delegated = self.delegated.get(TaskId(meta.task))
        if delegated is None:
            await self._handle_unknown_end(meta, state, result)
        elif delegated.state is DelegationState.ENDING:
            raise _no_owner_error("the outcome is being stored")
        elif delegated.task.attempt == meta.attempt:
            await self._finish(delegated, state, result)

    async def _handle_unknown_end(self, meta: TaskMeta, state: str, result: str) -> None:
        """Handle the end of a task that this owner has no record of."""
        if state == "refused" or meta.task in self._scheduler.tasks:
            return
        task = self._hooks.adopt(meta)
        if task is None:
            return
        no_location = (self._partition, Epoch(0), frozenset())
        delegated = self.delegated[task.task] = DelegatedTask(
            task, *no_location, DelegationState.RUNNING
        )
        try:
            await self._finish(delegated, state, result)
        except LagoonshelfError:
            self.delegated.pop(task.task, None)
            raise

    async def _finish(self, delegated: DelegatedTask, state: str, result: str) -> None:
        if state == "refused":
            await self._void(delegated)
        elif not delegated.stopping and should_restart(delegated.task, state):
            delegated.task.failures += state == "failed"
            self._requeue(delegated)
        else:
            delegated.state = DelegationState.ENDING
            try:
                await self._hooks.store_outcome(
                    delegated.task, Outcome(result_code_of(state), result)
                )
            except LagoonshelfError:
                delegated.state = DelegationState.RUNNING
                raise
            self.delegated.pop(delegated.task.task, None)

    async def _void(self, delegated: DelegatedTask) -> None:
        """Requeue a task that certainly did not start, and void its intent."""
        delegated.state = DelegationState.ENDING
        if not delegated.task.repeatable:
            task = delegated.task
            entry = VoidEntry(task.task, task.attempt, task.team, task.request_key, task.index)
            try:
                await self._hooks.journal([entry])
            except LagoonshelfError:
                _log.info("void entry not journaled", task=task.task)
        self._requeue(delegated)

    def _requeue(self, delegated: DelegatedTask) -> None:
        if self.delegated.pop(delegated.task.task, None) is not None:
            self._offers.record_refusal(delegated.task, delegated.partition)
            self._hooks.requeue(delegated.task)

    def _forget_ended(self) -> None:
        names = self._scheduler.tasks.keys() | self.delegated.keys()
        self._last_attempts = {
            name: attempt for name, attempt in self._last_attempts.items() if name in names
        }
        self._offers.keep_only(names)

    def _is_current(self, delegated: DelegatedTask) -> bool:
        return (
            self.delegated.get(delegated.task.task) is delegated
            and delegated.state is not DelegationState.ENDING
        )

    async def _adopt(self, states: tuple[DelegateState, ...]) -> bool:
        """Adopt the tasks that a member reports; return false if storing an outcome failed."""
        for found in states:
            name, attempt = TaskId(found.meta.task), found.meta.attempt
            local = self._scheduler.tasks.get(name)
            if name in self.delegated or (local is not None and local.attempt >= attempt):
                continue
            if found.state == "running":
                self._adopt_running(found, local)
                continue
            try:
                await self._handle_end(found.meta, found.state, found.result)
            except LagoonshelfError:
                return False
        return True

    def _adopt_running(self, found: DelegateState, local: Task | None) -> None:
        task = self._hooks.adopt(found.meta)
        if task is None:
            return
        if local is not None:
            self._scheduler.release(local.task)
        partition, epoch = PartitionId(found.partition), Epoch(found.epoch)
        boots = self._boots.get(partition, frozenset())
        self.delegated[task.task] = DelegatedTask(
            task, partition, epoch, boots, DelegationState.RUNNING
        )


def _no_owner_error(text: str) -> LagoonshelfError:
    return LagoonshelfError(Fault(ResultCode.NO_OWNER, text))
