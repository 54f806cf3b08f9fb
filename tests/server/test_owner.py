"""Tests of one active owner with a store and workers in memory."""

import asyncio
import unittest
from dataclasses import replace

from lagoonshelf_core.commands import GiveUp, Stop, Throttle, Warm
from lagoonshelf_core.errors import LagoonshelfError, ResultCode
from lagoonshelf_core.journal import ForgetEntry, VoidEntry, decode_segment
from lagoonshelf_core.model import WorkerState, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.owner import OwnerState
from tests.support.fakes import OwnerHarness, spec, until


class ActiveOwnerTest(unittest.IsolatedAsyncioTestCase):
    """Requests while workers, the store and the lease fail."""

    async def asyncSetUp(self) -> None:
        self.cell = OwnerHarness("w0")
        self.addCleanup(self.cell.close)
        self.owner = await self.cell.start_owner()
        self.worker = self.cell.workers.workers["w0"]

    def submit(self, key: str, **fields: object) -> asyncio.Future:
        return asyncio.ensure_future(self.owner.submit(spec(key, **fields)))

    async def code_of(self, fut: asyncio.Future) -> ResultCode:
        """Return the result code of a request."""
        try:
            return (await fut).outcomes[0].code
        except LagoonshelfError as exc:
            return exc.fault.code

    async def started(self, count: int = 1) -> str:
        """Wait for a number of starts and return the task of the last one."""
        await until(lambda: len(self.cell.workers.starts()) == count)
        task = self.cell.workers.starts()[-1][0]
        await until(lambda: self.owner.scheduler.tasks[task].state.value == "running")
        return task

    def entries(self, kind: type) -> list:
        texts = [i.value for k, i in sorted(self.cell.store.items.items()) if "journal" in k]
        return [e for t in texts for e in decode_segment(t).entries if isinstance(e, kind)]

    async def test_unconfirmed_start_before_a_worker_restart_has_unknown_outcome(self) -> None:
        """Guards against a second run when a worker restarts after its start answer was lost."""
        self.worker.mode = "lost"
        waiting = self.submit("once", repeatable=False, timeout_ms=5000)
        await until(lambda: self.worker.starts)
        self.worker.mode = "up"
        self.worker.boot_id, self.worker.runs = "boot-2", {}
        self.assertIs(await self.code_of(waiting), ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(len(self.worker.starts), 1)

    async def test_lost_start_answer_is_settled_by_the_inventory(self) -> None:
        """Guards against a second start of a running task whose start answer was lost."""
        self.worker.mode = "lost"
        waiting = self.submit("once", repeatable=False)
        await until(lambda: self.worker.starts)
        self.worker.mode = "up"
        self.cell.workers.finish("w0", await self.started())
        self.assertIs(await self.code_of(waiting), ResultCode.OK)
        self.assertEqual(len(self.worker.starts), 1)

    async def test_unreachable_worker_ends_tasks_after_their_leases(self) -> None:
        """Guards against clients that wait for a worker that never returns."""
        once = self.submit("once", repeatable=False, timeout_ms=5000)
        again = self.submit("again", timeout_ms=5000)
        await until(lambda: len(self.worker.starts) == 2)
        self.worker.mode = "down"
        self.assertIs(await self.code_of(once), ResultCode.OUTCOME_UNKNOWN)
        self.worker.runs = {}
        self.worker.mode = "up"
        await until(lambda: len(self.worker.starts) == 3)
        task, attempt = self.worker.starts[-1]
        self.assertEqual(attempt, 2)
        self.cell.workers.finish("w0", task)
        self.assertIs(await self.code_of(again), ResultCode.OK)

    async def test_returning_worker_keeps_a_run_that_was_not_replaced(self) -> None:
        """Guards against a second start of a requeued task whose first run continues."""
        again = self.submit("again", timeout_ms=5000)
        task = await self.started()
        self.worker.mode = "down"
        await until(lambda: self.owner.scheduler.queue_length() == 1)
        self.worker.mode = "up"
        await until(lambda: self.owner.scheduler.queue_length() == 0)
        self.cell.workers.finish("w0", task)
        self.assertIs(await self.code_of(again), ResultCode.OK)
        self.assertEqual(self.worker.starts, [(task, 1)])
        self.assertEqual(self.worker.stops, [])

    async def test_refused_start_is_voided_before_the_next(self) -> None:
        """Guards against an unknown outcome although the worker refused the start."""
        real = self.cell.workers.start
        answers = [["expired"]]

        async def start(*args):
            return answers.pop() if answers else await real(*args)

        self.cell.workers.start = start
        waiting = self.submit("once", repeatable=False)
        task = await self.started()
        self.assertEqual([(v.task, v.attempt) for v in self.entries(VoidEntry)], [(task, 1)])
        self.assertEqual(self.worker.starts, [(task, 2)])
        self.cell.workers.finish("w0", task)
        self.assertIs(await self.code_of(waiting), ResultCode.OK)

    async def test_each_waiter_has_its_own_timeout(self) -> None:
        """Guards against removing a queued request when the shorter of two timeouts expires."""
        self.owner.dispatch.fleet.links["w0"].set_leaving()
        long = self.submit("shared", timeout_ms=5000)
        short = self.submit("shared", timeout_ms=50)
        self.assertIs(await self.code_of(short), ResultCode.TIMED_OUT_RUNNING)
        self.owner.dispatch.fleet.links["w0"].set_state(WorkerState.UNREAD)
        self.cell.workers.finish("w0", await self.started())
        self.assertIs(await self.code_of(long), ResultCode.OK)

    async def test_retry_after_timing_out_in_the_queue_runs(self) -> None:
        """Guards against a key that stays blocked by a timeout although nothing ran."""
        self.owner.dispatch.fleet.links["w0"].set_leaving()
        first = self.submit("late", repeatable=False, timeout_ms=50)
        self.assertIs(await self.code_of(first), ResultCode.TIMED_OUT_QUEUED)
        self.assertEqual(self.owner.scheduler.queue_length(), 0)
        self.owner.dispatch.fleet.links["w0"].set_state(WorkerState.UNREAD)
        second = self.submit("late", repeatable=False)
        self.cell.workers.finish("w0", await self.started())
        self.assertIs(await self.code_of(second), ResultCode.OK)

    async def test_cancel_while_starting_stops_the_run(self) -> None:
        """Guards against a request that keeps running after it was cancelled during its start."""
        real = self.cell.workers.start
        gate = asyncio.Event()

        async def start(*args):
            await gate.wait()
            return await real(*args)

        self.cell.workers.start = start
        waiting = self.submit("stop")
        await until(lambda: any(t.state.value == "starting" for t in self.tasks()))
        await self.owner.cancel(self.owner.record_table.find("t", "stop"))
        gate.set()
        self.assertIs(await self.code_of(waiting), ResultCode.CANCELLED_RUNNING)
        self.assertEqual(len(self.worker.stops), 1)

    async def test_preempted_task_goes_back_to_the_queue(self) -> None:
        """Guards against preemption that ends a request as cancelled."""
        waiting = self.submit("yield")
        for count, checkpoint in ((1, False), (2, True)):
            task = await self.started(count)
            await self.owner.dispatch.execute([Stop(task, "w0", True, checkpoint)])
        task = await self.started(3)
        self.cell.workers.finish("w0", task)
        self.assertIs(await self.code_of(waiting), ResultCode.OK)

    async def test_throttle_and_warm_commands_are_executed(self) -> None:
        """Guards against commands of a scheduling pass that are dropped."""
        calls: list = []

        async def throttle(address, token, task, percent):
            calls.append((address, task, percent))

        async def warm(address, token, queue, slots):
            calls.append((address, queue, slots))

        self.cell.workers.throttle, self.cell.workers.warm = throttle, warm
        await self.owner.dispatch.execute([Throttle("0.1.1", "w0", 50), Warm("w0", "q", 3)])
        await until(lambda: len(calls) == 2)
        self.assertEqual(set(calls), {("w0", "0.1.1", 50), ("w0", "q", 3)})

    async def test_abandoned_task_returns_the_reason(self) -> None:
        """Guards against a client that waits for work that can never run."""
        self.owner.dispatch.fleet.links["w0"].set_leaving()
        waiting = self.submit("huge", size=Resources(8000, 1, 0, 1))
        await until(lambda: self.owner.scheduler.queue_length() == 1)
        (task,) = self.owner.scheduler.tasks
        await self.owner.dispatch.execute([GiveUp(task, "larger than every worker")])
        record = await waiting
        self.assertIs(record.outcomes[0].code, ResultCode.NEVER_FITS)
        self.assertEqual(record.outcomes[0].result, "larger than every worker")

    async def test_service_replica_is_restarted_until_cancelled(self) -> None:
        """Guards against services that are not restarted and replicas that survive a cancel."""
        await self.owner.submit(spec("web", kind=WorkKind.SERVICE, tasks=1))
        self.cell.workers.finish("w0", await self.started())
        await self.started(2)
        record = self.owner.record_table.find("t", "web")
        await self.owner.cancel(record)
        await until(lambda: record.ended)
        self.assertIs(record.outcomes[0].code, ResultCode.CANCELLED_RUNNING)
        self.assertEqual(len(self.worker.starts), 2)

    async def test_joined_acceptance_waits_for_the_journal(self) -> None:
        """Guards against confirming a joined request before its acceptance is durable."""
        self.cell.store.faults["cas"] = ["down"] * 3
        batch = spec("batch", kind=WorkKind.BATCH)
        first = asyncio.ensure_future(self.owner.submit(batch))
        second = asyncio.ensure_future(self.owner.submit(batch))
        await asyncio.sleep(0.1)
        self.assertFalse(first.done() or second.done())
        self.assertEqual(self.worker.starts, [])
        await asyncio.gather(first, second)
        await self.started()

    async def test_failed_task_ends_after_three_attempts(self) -> None:
        """Guards against a failing task that is retried without end, or not at all."""
        waiting = self.submit("bad")
        for count in (1, 2, 3):
            self.cell.workers.finish("w0", await self.started(count), "failed", "no disk")
        record = await waiting
        self.assertIs(record.outcomes[0].code, ResultCode.TASK_FAILED)
        self.assertEqual([attempt for _, attempt in self.worker.starts], [1, 2, 3])

    async def test_intent_that_the_store_refuses_is_not_run(self) -> None:
        """Guards against a start without a journaled intent, and against a later wrong refusal."""
        self.owner._journal._is_store_down = True
        waiting = self.submit("once", repeatable=False)
        self.assertIs(await self.code_of(waiting), ResultCode.STORE_UNAVAILABLE)
        self.assertEqual(self.worker.starts, [])
        self.owner._journal._is_store_down = False
        waiting = self.submit("once", repeatable=False)
        self.cell.workers.finish("w0", await self.started())
        self.assertIs(await self.code_of(waiting), ResultCode.OK)

    async def test_callers_waiting_for_an_unread_worker_are_refused_on_close(self) -> None:
        """Guards against a request that waits until its timeout although its owner has closed."""
        await self.cell.crash(self.owner)
        self.worker.mode = "down"
        self.cell.members.lease = "lease-2"
        owner = await self.cell.start_owner()
        waiting = asyncio.ensure_future(owner.submit(spec("held", timeout_ms=60_000)))
        await asyncio.sleep(0.02)
        owner.close()
        async with asyncio.timeout(5):
            self.assertIs(await self.code_of(waiting), ResultCode.OWNER_LEFT)

    async def test_no_answer_or_start_after_the_lease_deadline(self) -> None:
        """Guards against an answer or a start by an owner whose lease may have expired."""
        waiting = self.submit("late")
        task = await self.started()
        self.cell.members.alive = False
        self.cell.workers.finish("w0", task)
        self.assertIs(await self.code_of(waiting), ResultCode.OWNER_LEFT)
        self.assertIs(await self.code_of(self.submit("next")), ResultCode.NO_OWNER)
        self.assertEqual(len(self.worker.starts), 1)

    async def test_release_refuses_waiting_callers_and_deletes_the_owner_key(self) -> None:
        """Guards against requests that are lost or started again when an owner is released."""
        self.cell.store._write("owners/0", '{"lease": "lease-1"}', 0)
        waiting = self.submit("moved")
        task = await self.started()
        await self.owner.release()
        self.assertIs(await self.code_of(waiting), ResultCode.OWNER_LEFT)
        self.assertNotIn("owners/0", self.cell.store.items)
        successor = await self.cell.start_owner()
        again = asyncio.ensure_future(successor.submit(spec("moved")))
        self.cell.workers.finish("w0", task)
        self.assertIs(await self.code_of(again), ResultCode.OK)
        self.assertEqual(len(self.worker.starts), 1)

    async def test_host_list_is_read_before_placing_after_a_pause(self) -> None:
        """Guards against work placed on a worker that began to leave while the process paused."""
        self.cell.store.host_list = [
            replace(info, leaving=True) for info in self.cell.store.host_list
        ]
        self.owner._hosts_requested_ms -= 60_000
        waiting = self.submit("late", timeout_ms=200)
        self.assertIs(await self.code_of(waiting), ResultCode.TIMED_OUT_QUEUED)
        self.assertEqual(self.worker.starts, [])

    async def test_worker_missing_from_the_host_list_is_removed(self) -> None:
        """Guards against reading the reports of workers that have left the host list."""
        self.owner.set_hosts([])
        self.assertIs(self.owner.dispatch.fleet.links["w0"].state, WorkerState.LEAVING)
        await until(lambda: not self.owner.dispatch.fleet.links)

    async def test_answered_result_is_acknowledged_and_old_records_are_removed(self) -> None:
        """Guards against results and records that are never removed."""
        waiting = self.submit("once", repeatable=False)
        task = await self.started()
        self.cell.workers.finish("w0", task)
        await waiting
        await until(lambda: self.worker.acks == [task])
        record = self.owner.record_table.find("t", "once")
        record.ended_ms -= self.cell.cfg.retain_ms + 1
        await until(lambda: not self.owner.record_table.records)
        self.assertEqual([e.request_key for e in self.entries(ForgetEntry)], ["once"])

    async def test_owner_closes_when_a_scheduling_pass_fails(self) -> None:
        """Guards against an owner that keeps a partition although its scheduling passes fail."""
        self.owner.scheduler.run_pass = lambda *args: 1 // 0
        self.assertIs(await self.code_of(self.submit("late")), ResultCode.OWNER_LEFT)
        self.assertIs(self.owner.state, OwnerState.LOST)

    async def test_loops_end_when_closed_during_a_wake_up(self) -> None:
        """Guards against loops that lose their cancellation if an event wakes them meanwhile."""
        for steps in range(5):
            await self.cell.crash(self.owner)
            self.cell.members.lease = f"lease-{steps + 2}"
            self.owner = await self.cell.start_owner()
            await asyncio.sleep(0.01)
            self.owner.grants._wake.set()
            self.owner.hosting._wake.set()
            for _ in range(steps):
                await asyncio.sleep(0)
            self.owner.close()
            _, left = await asyncio.wait(self.owner._background, timeout=2)
            self.assertEqual(left, set(), steps)

    async def test_stale_epoch_closes_the_owner(self) -> None:
        """Guards against an owner that continues after a worker has seen its successor."""
        self.worker.epoch = 9
        waiting = self.submit("late")
        self.assertIs(await self.code_of(waiting), ResultCode.OWNER_LEFT)
        self.assertIs(self.owner.state, OwnerState.LOST)

    def tasks(self) -> list:
        return list(self.owner.scheduler.tasks.values())
