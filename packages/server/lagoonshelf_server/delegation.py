"""Tasks of this partition that run in other partitions."""

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
from lagoonshelf_server.partition_calls import PartitionCalls, Room
from lagoonshelf_server.peers import PeerLostError
from lagoonshelf_server.task_ends import code_of_end, runs_again
from lagoonshelf_server.task_meta import task_meta

WATCH_INTERVAL_S = 0.1
# A pass offers what it cannot place, so an idle partition need not look often.
IDLE_INTERVAL_S = 0.5
FENCE_INTERVAL_S = 0.05
_log = logger("delegation")


class Delegation:
    """The tasks that one owned partition has given to other partitions."""

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
        """Begin without tasks.

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
        self._tried: dict[TaskId, int] = {}
        self._offers = Offers(clock, hooks.lacks_grant)

    def set_hosts(self, hosts: list[WorkerInfo]) -> None:
        """Take in the host list of the whole cell."""
        boots: dict[PartitionId, set[str]] = {}
        for host in hosts:
            partition = partition_of_worker(host.worker, self._partitions)
            boots.setdefault(partition, set()).add(boot_text(host.worker, host.boot_id))
        self._boots = {partition: frozenset(texts) for partition, texts in boots.items()}

    def offer(self) -> None:
        """Give waiting tasks that did not start in the last pass to partitions with room."""
        if not self._hooks.is_active():
            return
        rooms = [room for room in self._calls.rooms() if room.partition != self._partition]
        asked = [
            (away.partition, away.task)
            for away in self.delegated.values()
            if away.state is DelegationState.REQUESTED
        ]
        for task, room in self._offers.choose(self._scheduler.tasks.values(), rooms, asked):
            self._give(task, room)

    def stop(self, name: TaskId) -> None:
        """End a delegated task, wherever it runs."""
        away = self.delegated.get(name)
        if away is not None:
            away.stopping = True

    async def on_done(self, body: DelegateDone) -> None:
        """Take in the end of a delegated task.

        :raises LagoonshelfError: when it must be reported again
        """
        if not self._hooks.is_active():
            raise _not_now(f"partition {self._partition} is not active")
        await self._take_end(body.meta, body.state, body.result)

    async def take_over(self) -> None:
        """Fence earlier owners at all members and adopt the tasks that other partitions run."""
        others = {PartitionId(p) for p in range(self._partitions)} - {self._partition}
        answered: set[PartitionId] = set()
        fenced: set[MemberId] = set()
        fence = Fence(self._partition, self._hooks.epoch(), self._member)
        while not (others <= answered and self._calls.live_members() <= fenced):
            if self._hooks.lost():
                raise _not_now(f"partition {self._partition} was lost during takeover")
            members = sorted(self._calls.live_members())
            replies = await asyncio.gather(*(self._calls.fence(m, fence) for m in members))
            for member, reply in zip(members, replies, strict=True):
                if reply is not None and reply.accepted and await self._adopt(reply.tasks):
                    fenced.add(member)
                    answered |= {PartitionId(p) for p in reply.partitions}
            await asyncio.sleep(FENCE_INTERVAL_S)

    async def never_started(self, intent: IntentEntry) -> bool | None:
        """Tell after the takeover whether a delegated task of the journal certainly never ran.

        :param intent: names a partition and no worker; its boot id stands for all workers there
        :returns: none while the partition's owner cannot say
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

    async def watch_forever(self) -> None:
        """Repeat questions without an answer, follow owner changes, and offer again."""
        while True:
            busy = self.delegated or self._scheduler.queue_length()
            await asyncio.sleep(WATCH_INTERVAL_S if busy else IDLE_INTERVAL_S)
            if not self._hooks.is_active():
                continue
            for away in list(self.delegated.values()):
                if not away.busy and away.state is not DelegationState.ENDING:
                    self._hooks.spawn(self._follow(away))
            self._forget_ended()
            self.offer()

    def _give(self, task: Task, room: Room) -> None:
        self._scheduler.release(task.task)
        attempt = max(task.attempt, self._tried.get(task.task, 0)) + 1
        self._tried[task.task] = attempt
        task.attempt, task.state = attempt, TaskState.STARTING
        boots = self._boots.get(room.partition, frozenset())
        away = DelegatedTask(task, room.partition, room.epoch, boots, busy=True)
        self.delegated[task.task] = away
        self._hooks.spawn(self._send(away))

    async def _send(self, away: DelegatedTask) -> None:
        if not away.task.repeatable:
            digest = self._hooks.digest_of(away.task)
            try:
                await self._hooks.journal([intent_of(away, digest)])
            except LagoonshelfError as exc:
                _log.warning("delegation not sent", reason=exc.fault.message)
                self.delegated.pop(away.task.task, None)
                if self._hooks.may_act():
                    self._hooks.not_journaled(away.task)
                return
        await self._busy(away, self._ask(away))

    async def _follow(self, away: DelegatedTask) -> None:
        epoch = self._calls.owner_epoch(away.partition)
        if epoch is not None and epoch > away.epoch:
            await self._busy(away, self._query(away, epoch))
        elif away.state is DelegationState.REQUESTED:
            await self._busy(away, self._ask(away))
        elif away.stopping:
            await self._busy(away, self._send_stop(away))

    async def _busy(self, away: DelegatedTask, step: Coroutine) -> None:
        away.busy = True
        try:
            await step
        except PeerLostError:
            pass  # followed up after the next interval
        except LagoonshelfError as exc:
            _log.info("end of a delegated task not stored", task=away.task.task, reason=str(exc))
        finally:
            away.busy = False

    async def _ask(self, away: DelegatedTask) -> None:
        """Send the task; the same attempt gets the same answer however often it is sent."""
        if not self._hooks.may_act():
            return
        meta = task_meta(away.task, self._hooks.digest_of(away.task))
        home_epoch, payload = self._hooks.epoch(), away.task.payload
        body = Delegate(away.partition, home_epoch, meta, payload, away.epoch)
        reply = await self._calls.call(away.partition, "delegate", body)
        if not self._is_current(away) or not isinstance(reply, DelegateReply):
            return
        if reply.accepted:
            away.state, away.task.state = DelegationState.RUNNING, TaskState.RUNNING
            self._hooks.started(away.task)
        else:
            await self._void(away)

    async def _query(self, away: DelegatedTask, epoch: Epoch) -> None:
        """Ask the successor of the owner that the task was given to."""
        body = DelegateQuery(away.partition, self._partition, self._hooks.epoch())
        reply = await self._calls.call(away.partition, "delegateQuery", body)
        if not isinstance(reply, DelegateStates) or not self._is_current(away):
            return
        for found in reply.tasks:
            same = found.meta.task == away.task.task and found.meta.attempt == away.task.attempt
            if same and found.state == "running":
                away.state, away.epoch = DelegationState.RUNNING, epoch
                self._hooks.started(away.task)
                return
            if same:
                await self._finish(away, found.state, found.result)
                return
        if reply.complete:
            await self._settle_missing(away, frozenset(reply.boots))

    async def _settle_missing(self, away: DelegatedTask, boots: frozenset[str]) -> None:
        """Decide on a task that no worker of its partition knows.

        A worker that has restarted or gone since may have run it.
        """
        if away.task.repeatable:
            self._return(away)
        elif boots == away.boots:
            await self._void(away)
        else:
            await self._finish(away, "lost", "")

    async def _send_stop(self, away: DelegatedTask) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - away.stop_sent_ms < STOP_INTERVAL_MS or not self._hooks.may_act():
            return
        away.stop_sent_ms = now_ms
        name, attempt = away.task.task, away.task.attempt
        body = DelegateStop(away.partition, self._partition, self._hooks.epoch(), name, attempt)
        await self._calls.call(away.partition, "delegateStop", body)

    async def _take_end(self, meta: TaskMeta, state: str, result: str) -> None:
        away = self.delegated.get(TaskId(meta.task))
        if away is None:
            await self._take_unknown_end(meta, state, result)
        elif away.state is DelegationState.ENDING:
            raise _not_now("the outcome is being stored")
        elif away.task.attempt == meta.attempt:
            await self._finish(away, state, result)

    async def _take_unknown_end(self, meta: TaskMeta, state: str, result: str) -> None:
        """Take in the end of a task that this owner learns of only now."""
        if state == "refused" or meta.task in self._scheduler.tasks:
            return
        task = self._hooks.adopt(meta)
        if task is None:
            return
        nowhere = (self._partition, Epoch(0), frozenset())
        away = self.delegated[task.task] = DelegatedTask(task, *nowhere, DelegationState.RUNNING)
        try:
            await self._finish(away, state, result)
        except LagoonshelfError:
            self.delegated.pop(task.task, None)
            raise

    async def _finish(self, away: DelegatedTask, state: str, result: str) -> None:
        if state == "refused":
            await self._void(away)
        elif not away.stopping and runs_again(away.task, state):
            away.task.failures += state == "failed"
            self._return(away)
        else:
            away.state = DelegationState.ENDING
            try:
                await self._hooks.store_outcome(away.task, Outcome(code_of_end(state), result))
            except LagoonshelfError:
                away.state = DelegationState.RUNNING
                raise
            self.delegated.pop(away.task.task, None)

    async def _void(self, away: DelegatedTask) -> None:
        """Put back a task that was certainly not started."""
        away.state = DelegationState.ENDING
        if not away.task.repeatable:
            task = away.task
            entry = VoidEntry(task.task, task.attempt, task.team, task.request_key, task.index)
            try:
                await self._hooks.journal([entry])
            except LagoonshelfError:
                _log.info("refusal not written", task=task.task)
        self._return(away)

    def _return(self, away: DelegatedTask) -> None:
        if self.delegated.pop(away.task.task, None) is not None:
            self._offers.record_refusal(away.task, away.partition)
            self._hooks.requeue(away.task)

    def _forget_ended(self) -> None:
        names = self._scheduler.tasks.keys() | self.delegated.keys()
        self._tried = {name: tried for name, tried in self._tried.items() if name in names}
        self._offers.keep_only(names)

    def _is_current(self, away: DelegatedTask) -> bool:
        return (
            self.delegated.get(away.task.task) is away and away.state is not DelegationState.ENDING
        )

    async def _adopt(self, states: tuple[DelegateState, ...]) -> bool:
        """Take in what a member runs; return false when an outcome could not be stored."""
        for found in states:
            name, attempt = TaskId(found.meta.task), found.meta.attempt
            local = self._scheduler.tasks.get(name)
            if name in self.delegated or (local is not None and local.attempt >= attempt):
                continue
            if found.state == "running":
                self._adopt_running(found, local)
                continue
            try:
                await self._take_end(found.meta, found.state, found.result)
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


def _not_now(text: str) -> LagoonshelfError:
    return LagoonshelfError(Fault(ResultCode.NO_OWNER, text))
