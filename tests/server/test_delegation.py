"""Tests of delegation between a home owner and the owner that runs a task."""

import asyncio
import unittest
from types import SimpleNamespace

from lagoonshelf_core.clock import ManualClock
from lagoonshelf_core.errors import LagoonshelfError, ResultCode
from lagoonshelf_core.journal import IntentEntry, VoidEntry
from lagoonshelf_core.model import Task, TaskState, WorkClass, WorkerInfo, WorkerState, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.scheduler import Scheduler
from lagoonshelf_server.delegated_task import DelegationHooks, DelegationState
from lagoonshelf_server.delegation import Delegation
from lagoonshelf_server.hosting import Hosting, HostingHooks
from lagoonshelf_server.messages import (
    Ack,
    Delegate,
    DelegateDone,
    DelegateQuery,
    DelegateState,
    DelegateStates,
    Fence,
    FenceReply,
)
from lagoonshelf_server.partition_calls import FreeCapacity, PartitionCalls
from lagoonshelf_server.peers import PeerLostError
from lagoonshelf_server.task_meta import meta_from_task, task_from_meta
from lagoonshelf_server.worker_client import TaskReport

SIZE = Resources(100, 1, 0, 1)
WORKER = WorkerInfo("w001", "", "fd0", "r0", Resources(1000, 1000, 0, 2), boot_id="b1")
HOSTING_PARTITION = 2  # partition of w001 in a cell with 4 partitions


class RemoteOwner:
    """Fake of the owner that runs delegated tasks, and of the messages to it.

    :param fault: none, "lose" (message handled, reply lost) or "drop" (message never arrives)
    :param fences_to_ignore: number of fences that get no reply
    """

    def __init__(self, clock: ManualClock) -> None:
        self.epoch, self.fault, self.fences_to_ignore = 1, "", 0
        self.scheduler = Scheduler()
        self.scheduler.set_worker(WORKER, WorkerState.READY)
        self.placed = 0
        self.home: Delegation | None = None
        self.states: DelegateStates | None = None
        hooks = HostingHooks(lambda: 1, lambda: True, lambda: None, self.place, self.send_to_home)
        self.hosting = Hosting(HOSTING_PARTITION, clock, self.scheduler, hooks)

    def place(self, task: Task) -> bool:
        self.scheduler.enqueue(task)
        if not self.scheduler.run_pass(0, lambda _: True):
            self.scheduler.release(task.task)
            return False
        self.placed += 1
        return True

    async def send_to_home(self, _partition: int, _kind: str, body: DelegateDone) -> Ack:
        if self.fault == "drop":
            raise PeerLostError("dropped")
        await self.home.on_done(body)
        if self.fault == "lose":
            raise PeerLostError("lost")
        return Ack(ResultCode.DONE.number)

    async def call(self, _partition: int, _kind: str, body: object) -> object:
        if self.fault == "drop":
            raise PeerLostError("dropped")
        try:
            reply = self.hosting.start(body) if isinstance(body, Delegate) else self.states
        except LagoonshelfError as exc:
            reply = Ack(exc.fault.code.number)
        if self.fault == "lose":
            raise PeerLostError("lost")
        return reply

    async def fence(self, _member: str, fence: Fence) -> FenceReply | None:
        self.fences_to_ignore -= 1
        if self.fences_to_ignore >= 0:
            return None
        return FenceReply(True, self.hosting.states(fence.partition), (1, 2, 3))

    def owner_epoch(self, _partition: int) -> int:
        return self.epoch

    def free_capacities(self) -> list[FreeCapacity]:
        return [FreeCapacity(HOSTING_PARTITION, self.epoch, self.scheduler.free_resources())]

    def known_members(self) -> set[str]:
        return {"m1"}


class DelegationTest(unittest.IsolatedAsyncioTestCase):
    """Lost replies, refusals, successors and fences."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock(1000)
        self.remote = RemoteOwner(self.clock)
        self.journal: list = []
        self.outcomes: dict[str, ResultCode] = {}
        self.spawned: list[asyncio.Task] = []
        self.scheduler = Scheduler()
        self.home = self.make_home()

    def make_home(self) -> Delegation:
        self.scheduler = Scheduler()
        hooks = DelegationHooks(
            epoch=lambda: 5,
            is_lost=lambda: False,
            may_act=lambda: True,
            is_active=lambda: True,
            journal=self.append,
            on_started=lambda task: None,
            on_intent_failed=self.scheduler.enqueue,
            requeue=self.scheduler.enqueue,
            store_outcome=self.end,
            adopt=lambda meta: task_from_meta(meta, 0),
            lacks_grant=lambda task: False,
            digest_of=lambda task: "digest",
            spawn=lambda coro: self.spawned.append(asyncio.ensure_future(coro)),
        )
        home = Delegation(0, 4, "m1", self.clock, self.scheduler, self.remote, hooks)
        home.set_hosts([WORKER])
        self.remote.home = home
        return home

    async def append(self, entries: list) -> None:
        self.journal += entries

    async def end(self, task: Task, outcome: object) -> None:
        self.outcomes[task.task] = outcome.code

    def add_task(self, name: str = "0.5.1", repeatable: bool = False) -> Task:
        task = Task(
            name, "fitting", "q", name, WorkKind.INTERACTIVE, WorkClass.URGENT, repeatable,
            SIZE, 0, 0, 0, 0, 5, "payload",
        )  # fmt: skip
        self.scheduler.enqueue(task)
        return task

    async def finish_spawned(self) -> None:
        while self.spawned:
            await self.spawned.pop()

    async def offer(self, task: Task) -> None:
        self.home.offer_waiting_tasks()
        await self.finish_spawned()

    async def follow_all(self) -> None:
        for delegated in list(self.home.delegated.values()):
            await self.home._follow(delegated)

    def finish_remotely(self, task: Task) -> None:
        remote_task = self.remote.scheduler.release(task.task)
        meta = meta_from_task(remote_task, "digest")
        self.remote.hosting.record_end(remote_task, TaskReport(meta, "finished", "result"))

    async def report(self) -> None:
        loop = asyncio.ensure_future(self.remote.hosting.report_forever())
        await asyncio.sleep(0.01)
        loop.cancel()

    async def test_lost_reply_is_retried_and_starts_the_task_once(self) -> None:
        """Guards against a second start when the reply to a start request is lost."""
        task = self.add_task()
        self.remote.fault = "lose"
        await self.offer(task)
        await self.follow_all()
        self.assertIs(self.home.delegated[task.task].state, DelegationState.REQUESTED)
        self.remote.fault = ""
        await self.follow_all()
        self.assertIs(self.home.delegated[task.task].state, DelegationState.RUNNING)
        self.assertEqual(self.remote.placed, 1)
        self.assertEqual([type(entry) for entry in self.journal], [IntentEntry])
        self.assertEqual(self.journal[0].partition, HOSTING_PARTITION)

    async def test_end_is_reported_until_the_home_owner_acknowledges_it(self) -> None:
        """Guards against losing a result, or storing it twice, when messages are lost."""
        task = self.add_task()
        await self.offer(task)
        self.finish_remotely(task)
        for fault in ("drop", "lose", "", ""):
            self.remote.fault = fault
            await self.report()
        self.assertEqual(self.outcomes, {task.task: ResultCode.OK})
        self.assertEqual(self.home.delegated, {})

    async def test_refused_task_is_requeued_and_its_intent_voided(self) -> None:
        """Guards against losing a task that the other owner refused for lack of capacity."""
        busy = [self.add_task(f"0.5.{number}") for number in (7, 8, 9)]
        capacities = [FreeCapacity(HOSTING_PARTITION, 1, SIZE.scaled(9))]
        self.remote.free_capacities = lambda: capacities
        await self.offer(busy[0])
        waiting = [task for task in busy if task.state is TaskState.QUEUED]
        self.assertEqual(len(waiting), 1)
        self.assertEqual(self.remote.placed, 2)
        self.assertEqual([e.task for e in self.journal if isinstance(e, VoidEntry)],
                         [waiting[0].task])  # fmt: skip

    async def test_late_duplicate_of_a_refused_attempt_is_refused(self) -> None:
        """Guards against a start by a duplicate that arrives after the task was requeued."""
        for number in (7, 8, 9):
            self.add_task(f"0.5.{number}")
        self.remote.free_capacities = lambda: [FreeCapacity(HOSTING_PARTITION, 1, SIZE.scaled(9))]
        self.home.offer_waiting_tasks()
        copies = [delegated.task for delegated in self.home.delegated.values()]
        metas = [meta_from_task(task, "digest") for task in copies]
        await self.finish_spawned()
        for name in list(self.remote.scheduler.tasks):
            self.remote.scheduler.release(name)
        replies = [
            self.remote.hosting.start(Delegate(HOSTING_PARTITION, 5, m, "", 1)) for m in metas
        ]
        self.assertEqual(sum(not reply.accepted for reply in replies), 1)

    async def test_request_with_another_epoch_is_not_a_refusal(self) -> None:
        """Guards against a second run of a task that an earlier owner has started.

        An owner with another epoch rejects the request, which must not count as a refusal.
        """
        task = self.add_task()
        self.remote.fault = "lose"
        await self.offer(task)
        self.remote.fault = ""
        self.home.delegated[task.task].epoch = 0
        self.remote.epoch = 0
        await self.follow_all()
        self.assertIs(self.home.delegated[task.task].state, DelegationState.REQUESTED)

    async def query_successor(self, repeatable: bool, states: DelegateStates) -> Task:
        task = self.add_task(repeatable=repeatable)
        await self.offer(task)
        self.remote.epoch, self.remote.states = 2, states
        await self.follow_all()
        return task

    async def test_incomplete_reply_of_successor_starts_no_other_attempt(self) -> None:
        """Guards against a second run while the successor has not read all its workers."""
        task = await self.query_successor(True, DelegateStates(False))
        self.assertIn(task.task, self.home.delegated)

    async def test_repeatable_task_unknown_to_successor_is_requeued(self) -> None:
        """Guards against a repeatable task that waits forever after the owner running it died."""
        task = await self.query_successor(True, DelegateStates(True, (), ("w001=b2",)))
        self.assertIs(task.state, TaskState.QUEUED)

    async def test_task_unknown_to_unchanged_workers_is_requeued(self) -> None:
        """Guards against abandoning a non-repeatable task that certainly never started."""
        task = await self.query_successor(False, DelegateStates(True, (), ("w001=b1",)))
        self.assertIs(task.state, TaskState.QUEUED)
        self.assertIsInstance(self.journal[-1], VoidEntry)

    async def test_task_that_a_restarted_worker_may_have_run(self) -> None:
        """Guards against a second run of a non-repeatable task after its worker restarted."""
        task = await self.query_successor(False, DelegateStates(True, (), ("w001=b2",)))
        self.assertEqual(self.outcomes, {task.task: ResultCode.OUTCOME_UNKNOWN})

    async def test_task_adopted_by_successor_keeps_running(self) -> None:
        """Guards against losing a task that the successor has adopted."""
        meta = meta_from_task(self.add_task("0.5.3"), "digest")
        self.scheduler.release("0.5.3")
        task = self.add_task()
        meta = meta_from_task(task, "digest")
        meta = type(meta)(**{**{f: getattr(meta, f) for f in meta.__slots__}, "attempt": 1})
        await self.offer(task)
        self.remote.epoch = 2
        self.remote.states = DelegateStates(True, (DelegateState(meta, "running"),))
        await self.follow_all()
        delegated = self.home.delegated[task.task]
        self.assertEqual((delegated.state, delegated.epoch), (DelegationState.RUNNING, 2))

    async def test_intent_left_by_an_earlier_owner(self) -> None:
        """Guards against a second run, or none, of a task whose intent was left in the journal."""
        await self.offer(self.add_task())
        intent, home = self.journal[0], self.make_home()
        found = []
        for complete, boot in ((False, "b1"), (True, "b2"), (True, "b1")):
            self.remote.states = DelegateStates(complete, (), (f"w001={boot}",))
            found.append(await home.never_started(intent))
        self.assertEqual(found, [None, False, True])

    async def test_takeover_adopts_running_and_ended_tasks(self) -> None:
        """Guards against a new home owner that runs delegated tasks again."""
        running, ended = self.add_task("0.5.1"), self.add_task("0.5.2")
        await self.offer(running)
        self.finish_remotely(ended)
        self.outcomes.clear()
        self.remote.fences_to_ignore = 2
        home = self.make_home()
        await home.take_over()
        self.assertEqual(list(home.delegated), [running.task])
        self.assertEqual(self.outcomes, {ended.task: ResultCode.OK})

    async def test_fence_refuses_older_home_owners(self) -> None:
        """Guards against a start on request of a home owner that has been replaced."""
        owner = SimpleNamespace(hosting=self.remote.hosting, epoch=1)
        members = SimpleNamespace(me="m1", others={})
        calls = PartitionCalls(members, None, {HOSTING_PARTITION: owner})
        await calls.fence("m1", Fence(0, 6, "m1"))
        meta = meta_from_task(self.add_task(), "digest")
        reply = await calls.call(
            HOSTING_PARTITION, "delegate", Delegate(HOSTING_PARTITION, 5, meta, "", 1)
        )
        self.assertEqual(reply.code, ResultCode.STALE_EPOCH.number)
        self.assertEqual(self.remote.placed, 0)
        states = await calls.call(
            HOSTING_PARTITION, "delegateQuery", DelegateQuery(HOSTING_PARTITION, 0, 5)
        )
        self.assertFalse(states.complete)
