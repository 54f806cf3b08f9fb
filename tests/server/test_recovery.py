"""Tests of the takeover of one partition with a store and workers in memory."""

import asyncio
import unittest
from dataclasses import replace

from lagoonshelf_core.errors import LagoonshelfError, ResultCode
from lagoonshelf_core.journal import (
    EpochEntry,
    IntentEntry,
    OutcomeEntry,
    Segment,
    VoidEntry,
    decode_segment,
    encode_segment,
)
from lagoonshelf_core.model import TaskState, WorkKind
from lagoonshelf_core.records import digest_spec
from lagoonshelf_server.messages import TaskMeta
from tests.support.fakes import OwnerHarness, spec, until


def meta_of(req, task: str, attempt: int = 1, index: int = 0, home: int = 0) -> TaskMeta:
    """Return the metadata that a worker keeps of a request's task."""
    size = req.size
    return TaskMeta(
        task,
        attempt,
        home,
        1,
        req.team,
        req.queue,
        req.request_key,
        req.kind.value,
        1,
        req.repeatable,
        size.cpu_milli,
        size.memory_mib,
        0,
        req.run_ms,
        index,
        digest_spec(req),
    )


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    """A successor of an owner that died after an intent or a start."""

    async def asyncSetUp(self) -> None:
        self.cell = OwnerHarness("w0", "w1")
        self.addCleanup(self.cell.close)
        self.once_spec = spec("once", repeatable=False)

    def write_journal(self, *entries) -> None:
        """Write the predecessor's journal."""
        text = encode_segment(Segment(1, "token", [EpochEntry(1, "m0"), *entries]))
        self.cell.store._write("journal/0/000000000001", text, 0)

    def intent(self, attempt: int = 1, boot: str = "boot-1", worker: str = "w0") -> IntentEntry:
        digest = digest_spec(self.once_spec)
        return IntentEntry("0.1.1", attempt, worker, boot, 0, "t", "once", digest)

    def entries(self, kind: type) -> list:
        texts = [i.value for k, i in sorted(self.cell.store.items.items()) if "journal" in k]
        return [e for t in texts for e in decode_segment(t).entries if isinstance(e, kind)]

    async def test_running_intent_is_adopted(self) -> None:
        """Guards against a second run of a request that a worker still runs after a takeover."""
        self.write_journal(self.intent())
        self.cell.workers.add_run("w0", meta_of(self.once_spec, "0.1.1"))
        owner = await self.cell.start_owner()
        waiting = asyncio.ensure_future(owner.submit(self.once_spec))
        await asyncio.sleep(0.05)
        self.cell.workers.finish("w0", "0.1.1", result="mine")
        record = await waiting
        self.assertEqual(record.outcomes[0].result, "mine")
        self.assertEqual(self.cell.workers.starts(), [])

    async def test_finished_intent_gives_the_kept_result(self) -> None:
        """Guards against a lost result of a request that ended between two owners."""
        self.write_journal(self.intent())
        self.cell.workers.add_run("w0", meta_of(self.once_spec, "0.1.1"), "finished", "kept")
        owner = await self.cell.start_owner()
        record = await owner.submit(self.once_spec)
        self.assertEqual(record.outcomes[0].result, "kept")
        self.assertEqual(self.cell.workers.starts(), [])
        self.assertEqual(len(self.entries(OutcomeEntry)), 1)

    async def test_intent_unknown_to_the_same_boot_runs_with_a_higher_attempt(self) -> None:
        """Guards against a request that stays refused although it never started."""
        self.write_journal(self.intent(attempt=3))
        owner = await self.cell.start_owner()
        waiting = asyncio.ensure_future(owner.submit(self.once_spec))
        await until(self.cell.workers.starts)
        voids = self.entries(VoidEntry)
        self.assertEqual([(v.task, v.attempt) for v in voids], [("0.1.1", 3)])
        ((task, attempt),) = self.cell.workers.starts()
        self.assertFalse(task == "0.1.1" and attempt <= 3, (task, attempt))
        worker = next(name for name, w in self.cell.workers.workers.items() if w.starts)
        self.cell.workers.finish(worker, task)
        self.assertEqual((await waiting).outcomes[0].code, ResultCode.OK)

    async def test_intent_on_a_restarted_worker_has_unknown_outcome(self) -> None:
        """Guards against a second run after a worker lost the first one by a restart."""
        self.write_journal(self.intent(boot="boot-0"))
        owner = await self.cell.start_owner()
        record = await owner.submit(self.once_spec)
        self.assertEqual(record.outcomes[0].code, ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(self.cell.workers.starts(), [])

    async def test_intent_on_an_unreachable_worker_has_unknown_outcome(self) -> None:
        """Guards against a takeover that never ends, and against a second run."""
        self.write_journal(self.intent())
        self.cell.workers.workers["w0"].mode = "down"
        async with asyncio.timeout(5):
            owner = await self.cell.start_owner()
        record = await owner.submit(spec("once", repeatable=False, timeout_ms=3000))
        self.assertEqual(record.outcomes[0].code, ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(self.cell.workers.starts(), [])

    async def test_intent_on_an_unlisted_worker_has_unknown_outcome(self) -> None:
        """Guards against a second run of a request whose worker left the host list."""
        self.write_journal(self.intent(worker="w9"))
        owner = await self.cell.start_owner()
        record = await owner.submit(spec("once", repeatable=False, timeout_ms=3000))
        self.assertEqual(record.outcomes[0].code, ResultCode.OUTCOME_UNKNOWN)

    async def test_unknown_repeatable_key_waits_while_a_worker_is_unread(self) -> None:
        """Guards against two runs of a request that an unread worker still runs."""
        again = spec("again", timeout_ms=4000)
        self.write_journal()
        self.cell.workers.add_run("w0", meta_of(again, "0.1.1"))
        self.cell.workers.workers["w0"].mode = "down"
        async with asyncio.timeout(5):
            owner = await self.cell.start_owner()
        waiting = asyncio.ensure_future(owner.submit(again))
        await asyncio.sleep(0.05)
        self.assertEqual(self.cell.workers.starts(), [])
        self.cell.workers.workers["w0"].mode = "up"
        await until(lambda: "0.1.1" in owner.scheduler.tasks)
        self.cell.workers.finish("w0", "0.1.1", result="first run")
        self.assertEqual((await waiting).outcomes[0].result, "first run")
        self.assertEqual(self.cell.workers.starts(), [])

    async def test_returning_worker_stops_a_superseded_run(self) -> None:
        """Guards against a run that continues beside the one that replaced it."""
        again = spec("again", timeout_ms=4000)
        self.write_journal()
        self.cell.workers.add_run("w0", meta_of(again, "0.1.1"))
        self.cell.workers.workers["w0"].mode = "down"
        owner = await self.cell.start_owner()
        waiting = asyncio.ensure_future(owner.submit(again))
        await until(lambda: self.cell.workers.workers["w1"].starts)
        self.cell.workers.workers["w0"].mode = "up"
        await until(lambda: self.cell.workers.workers["w0"].stops)
        ((task, _),) = self.cell.workers.workers["w1"].starts
        self.cell.workers.finish("w1", task, result="second")
        self.assertEqual((await waiting).outcomes[0].result, "second")

    async def test_retry_joins_a_run_found_in_an_inventory_by_digest(self) -> None:
        """Guards against refusing a retry of an adopted run, and against joining other content."""
        again = spec("again")
        self.cell.workers.add_run("w0", meta_of(again, "0.1.1"))
        owner = await self.cell.start_owner()
        waiting = asyncio.ensure_future(owner.submit(again))
        await asyncio.sleep(0.01)
        with self.assertRaises(LagoonshelfError) as caught:
            await owner.submit(spec("again", payload="other"))
        self.assertIs(caught.exception.fault.code, ResultCode.KEY_REUSED)
        self.assertEqual(owner.record_table.find("t", "again").spec.payload, again.payload)
        self.cell.workers.finish("w0", "0.1.1", result="joined")
        self.assertEqual((await waiting).outcomes[0].result, "joined")

    async def test_joined_run_is_repeated_with_the_payload_of_the_retry(self) -> None:
        """Guards against a second attempt of an adopted task without its payload."""
        again = spec("again")
        self.cell.workers.add_run("w0", meta_of(again, "0.1.1"))
        owner = await self.cell.start_owner()
        waiting = asyncio.ensure_future(owner.submit(again))
        await asyncio.sleep(0.01)
        self.cell.workers.finish("w0", "0.1.1", "failed")
        await until(self.cell.workers.starts)
        worker = next(w for w in self.cell.workers.workers.values() if w.starts)
        self.assertEqual(worker.payloads, [again.payload])
        self.assertEqual(worker.starts, [("0.1.1", 2)])
        waiting.cancel()

    async def test_release_during_the_takeover_starts_no_epoch(self) -> None:
        """Guards against an epoch entry that follows the deletion of the owner key."""
        owner = self.cell.new_owner()
        self.cell.store._write("owners/0", '{"lease": "lease-1"}', 0)
        takeover = asyncio.ensure_future(owner.take_over())
        await asyncio.sleep(0)
        await owner.release()
        await takeover
        self.assertEqual(self.entries(EpochEntry), [])
        self.assertNotIn("owners/0", self.cell.store.items)

    async def test_tasks_of_other_partitions_keep_allocation_and_lease(self) -> None:
        """Guards against overcommitted workers and delegated tasks whose leases lapse."""
        self.cell.workers.add_run("w0", meta_of(spec("far"), "3.1.1", home=3))
        owner = await self.cell.start_owner()
        self.assertIn("3.1.1", owner.scheduler.tasks)
        self.assertEqual(owner.scheduler.free_resources().cpu_milli, 2 * 8000 - 1000)
        await until(lambda: "3.1.1" in self.cell.workers.workers["w0"].renewed)

    async def test_batch_survives_an_owner_crash_with_payload_and_no_second_start(self) -> None:
        """Guards against accepted work that is lost, run twice or run without its payload."""
        first = await self.cell.start_owner()
        batch = spec("batch", kind=WorkKind.BATCH, tasks=12)
        await first.submit(batch)
        await until(lambda: len(self.cell.workers.starts()) == 12)
        await self.cell.crash(first)
        second = await self.cell.start_owner()
        await until(lambda: len(second.scheduler.tasks) == 12)
        states = {task.state for task in second.scheduler.tasks.values()}
        self.assertEqual(states, {TaskState.RUNNING})
        self.assertEqual(second.record_table.find("t", "batch").spec, batch)
        self.assertEqual(len(self.cell.workers.starts()), 12)
        for name, worker in self.cell.workers.workers.items():
            for task in list(worker.runs):
                self.cell.workers.finish(name, task)
        await until(lambda: second.record_table.find("t", "batch").ended)
        self.assertEqual(second.record_table.find("t", "batch").failed, 0)

    async def test_worker_without_fencing_is_read_after_the_start_timeout(self) -> None:
        """Guards against a late start of the predecessor that is not in an early inventory."""
        self.write_journal(self.intent())
        infos = self.cell.store.host_list
        self.cell.store.host_list = [replace(info, fencing=False) for info in infos]
        takeover = asyncio.ensure_future(self.cell.start_owner())
        await asyncio.sleep(self.cell.cfg.start_timeout_ms / 2000)
        self.cell.workers.add_run("w0", meta_of(self.once_spec, "0.1.1"))
        owner = await takeover
        self.assertIn("0.1.1", owner.scheduler.tasks)
        self.assertEqual(self.entries(VoidEntry), [])

    async def test_cancelled_job_is_not_started_by_the_successor(self) -> None:
        """Guards against work that runs after its cancellation was journaled."""
        first = await self.cell.start_owner()
        self.cell.store.host_list = []
        batch = spec("batch", kind=WorkKind.BATCH, tasks=20)
        await first.submit(batch)
        await first.cancel(first.record_table.find("t", "batch"))
        await self.cell.crash(first)
        started = len(self.cell.workers.starts())
        self.cell.store.host_list = self.cell.workers.infos()
        second = await self.cell.start_owner()
        await until(lambda: second.record_table.find("t", "batch").ended)
        self.assertEqual(len(self.cell.workers.starts()), started)

    async def test_service_is_restarted_after_a_takeover(self) -> None:
        """Guards against missing or duplicate replicas when the owner crashes at a restart."""
        first = await self.cell.start_owner()
        web = spec("web", kind=WorkKind.SERVICE, tasks=1, repeatable=False)
        await first.submit(web)
        await until(self.cell.workers.starts)
        ((task, _),) = self.cell.workers.starts()
        worker = next(name for name, w in self.cell.workers.workers.items() if w.starts)
        self.cell.workers.finish(worker, task)
        await until(lambda: task not in first.scheduler.tasks)
        await self.cell.crash(first)
        second = await self.cell.start_owner()
        await until(lambda: len(self.cell.workers.starts()) == 2)
        self.assertEqual(self.cell.workers.starts()[-1], (task, 2))
        self.assertFalse(second.record_table.find("t", "web").ended)
