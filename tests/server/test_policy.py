"""Tests of the policy modules as the owner of a partition uses them."""

import asyncio
import time
import unittest
from dataclasses import replace

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.commands import Start
from lagoonshelf_core.document import Document, QueueConfig, TeamConfig
from lagoonshelf_core.errors import LagoonshelfError, ResultCode
from lagoonshelf_core.health import PROBES_TO_CLEAR
from lagoonshelf_core.ids import Revision
from lagoonshelf_core.model import TaskState, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_server import metrics
from lagoonshelf_server.pass_trigger import MIN_PASS_INTERVAL_MS, PassTrigger
from lagoonshelf_server.worker_health import SERVICE_SETTLE_MS
from tests.support.fakes import OwnerHarness, spec, until

TEAM = TeamConfig(limit_tasks=1000, limit_cpu_milli=1_000_000)
WHOLE_WORKER = Resources(8000, 512, 0, 1)


class PolicyTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with one owner and a configuration that the test may change."""

    worker_names: tuple[str, ...] = ("w0",)

    async def asyncSetUp(self) -> None:
        self.cell = OwnerHarness(*self.worker_names)
        self.addCleanup(self.cell.close)
        self.configure(q=QueueConfig())
        self.owner = await self.cell.start_owner()

    def configure(self, **queues: QueueConfig) -> None:
        """Apply a new revision of the configuration."""
        self.cell.config.revision = Revision(self.cell.config.revision + 1)
        self.cell.config.document = Document(queues=queues, teams={"t": TEAM, "u": TEAM})

    def submit(self, key: str, **fields: object) -> asyncio.Future:
        return asyncio.ensure_future(self.owner.submit(spec(key, **fields)))

    async def fault_of(self, fut: asyncio.Future):
        """Return the fault of a refused request."""
        with self.assertRaises(LagoonshelfError) as caught:
            await fut
        return caught.exception.fault

    async def started(self, count: int = 1) -> str:
        """Wait for a number of starts and return the task of the last one."""
        await until(lambda: len(self.cell.workers.starts()) >= count)
        task = self.cell.workers.starts()[-1][0]
        await until(lambda: self.owner.scheduler.tasks[task].state.value == "running")
        return task


class SchedulerContractTest(PolicyTestCase):
    """What the scheduler expects of its runtime."""

    async def test_urgent_work_starts_within_a_second_on_a_full_worker(self) -> None:
        """Guards against a throttle whose confirmation does not reach the scheduler."""
        self.configure(
            q=QueueConfig(work_class="background"), urgent=QueueConfig(work_class="urgent")
        )
        slow = self.submit("slow", size=WHOLE_WORKER, timeout_ms=10_000, repeatable=False)
        task = await self.started()
        start_s = time.monotonic()
        urgent = self.submit("fast", queue="urgent", timeout_ms=10_000)
        other = await self.started(2)
        self.assertLess(time.monotonic() - start_s, 1.0)
        self.assertEqual(self.cell.workers.workers["w0"].throttles[0][0], task)
        self.assertNotEqual(other, task)
        for name in (task, other):
            self.cell.workers.finish("w0", name)
        self.assertEqual([(await f).outcomes[0].code for f in (slow, urgent)], [ResultCode.OK] * 2)

    async def test_slot_reserve_of_a_new_revision_takes_effect(self) -> None:
        """Guards against a new configuration that does not reach the scheduler."""
        self.configure(q=QueueConfig(), urgent=QueueConfig(reserve_slots=3))
        jobs = [self.submit(f"k{n}", size=Resources(100, 10, 0, 1)) for n in range(8)]
        await self.started(5)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.cell.workers.starts()), 5)
        for job in jobs:
            job.cancel()


class PassTriggerTest(unittest.IsolatedAsyncioTestCase):
    """Times at which scheduling passes run."""

    async def test_due_pass_runs_without_an_event(self) -> None:
        """Guards against preemptions and deadlines that wait for an unrelated event."""
        clock = Clock()
        trigger = PassTrigger(clock)
        due_ms = clock.now_ms() + 100
        async with asyncio.timeout(5):
            await trigger.wait(due_ms)
        self.assertGreaterEqual(clock.now_ms(), due_ms - 1)

    async def test_events_are_coalesced(self) -> None:
        """Guards against one scheduling pass for each event under load."""
        clock = Clock()
        trigger = PassTrigger(clock)
        trigger.request()
        await trigger.wait(None)
        first_ms = clock.now_ms()
        trigger.request()
        await trigger.wait(None)
        self.assertGreaterEqual(clock.now_ms() - first_ms, MIN_PASS_INTERVAL_MS - 1)


class AdmissionTest(PolicyTestCase):
    """Refused requests, which leave no record and no task."""

    async def full(self) -> list[asyncio.Future]:
        """Fill the worker, then the queue."""
        self.configure(q=QueueConfig(max_queued=2))
        fields = {"size": WHOLE_WORKER, "repeatable": False, "timeout_ms": 20_000}
        jobs = [self.submit("k0", **fields)]
        await self.started()
        jobs += [self.submit(f"k{n}", **fields) for n in (1, 2)]
        await until(lambda: self.owner.scheduler.queue_length() == 2)
        return jobs

    async def test_work_larger_than_each_worker_is_refused_with_the_reason(self) -> None:
        """Guards against a client that waits for work that can never run."""
        fault = await self.fault_of(self.submit("huge", size=Resources(9000, 1, 0, 1)))
        self.assertIs(fault.code, ResultCode.NEVER_FITS)
        self.assertIn("the largest worker has 8000", fault.message)
        self.assertFalse(self.owner.record_table.records)
        self.assertFalse(self.owner.scheduler.tasks)

    async def test_gang_larger_than_the_partition_is_refused(self) -> None:
        """Guards against a gang that keeps its reservation without end."""
        fault = await self.fault_of(
            self.submit("gang", kind=WorkKind.GANG, tasks=2, size=WHOLE_WORKER)
        )
        self.assertIs(fault.code, ResultCode.NEVER_FITS)
        self.assertFalse(self.owner.record_table.records)

    async def test_full_queue_refuses_with_a_retry_delay_and_leaves_no_record(self) -> None:
        """Guards against unbounded queues, and against a key that stays blocked by a refusal."""
        jobs = await self.full()
        fault = await self.fault_of(self.submit("late"))
        self.assertIs(fault.code, ResultCode.QUEUE_FULL)
        self.assertGreater(fault.retry_after_ms, 0)
        self.assertIsNone(self.owner.record_table.find("t", "late"))
        other = self.submit("other", team="u", size=WHOLE_WORKER, timeout_ms=20_000)
        await until(lambda: self.owner.record_table.find("u", "other") is not None)
        joined = self.submit("k1", size=WHOLE_WORKER, repeatable=False, timeout_ms=20_000)
        for count in range(1, 5):
            self.cell.workers.finish("w0", await self.started(count))
        for job in (*jobs, other, joined):
            self.assertIs((await job).outcomes[0].code, ResultCode.OK)

    async def test_cancelled_task_no_longer_counts_against_the_queue_limit(self) -> None:
        """Guards against queue limits that count tasks cancelled before their start."""
        jobs = await self.full()
        await self.owner.cancel(self.owner.record_table.find("t", "k1"))
        await jobs[1]
        batch = await self.owner.submit(spec("batch", kind=WorkKind.BATCH, size=WHOLE_WORKER))
        self.assertFalse(batch.ended)
        for job in jobs:
            job.cancel()

    async def test_retries_of_a_refused_key_use_up_the_budget(self) -> None:
        """Guards against retries that multiply the load of a full partition."""
        jobs = await self.full()
        codes = [(await self.fault_of(self.submit("late"))).code for _ in range(5)]
        self.assertEqual(codes[:4], [ResultCode.QUEUE_FULL] * 4)
        self.assertIs(codes[4], ResultCode.RETRY_BUDGET)
        for job in jobs:
            job.cancel()

    async def test_resent_request_is_not_refused_as_not_run(self) -> None:
        """Guards against refusing a request as not run that an earlier owner may have started."""
        jobs = await self.full()
        again = asyncio.ensure_future(self.owner.submit(spec("again"), resent=True))
        await until(lambda: self.owner.record_table.find("t", "again") is not None)
        for job in (*jobs, again):
            job.cancel()


class FailingWorkerTest(PolicyTestCase):
    """Workers that fail each task, and tasks that fail on each worker."""

    worker_names = ("w0", "w1", "w2", "w3")

    async def run_until_done(self, failing: set[str], jobs: set[asyncio.Future]) -> None:
        """Fail the tasks on failing workers and finish the others until all jobs have ended."""
        while not all(fut.done() for fut in jobs):
            for name, worker in self.cell.workers.workers.items():
                for task, report in list(worker.runs.items()):
                    if report.state == "running":
                        state = "failed" if name in failing else "finished"
                        self.cell.workers.finish(name, task, state)
            await asyncio.sleep(0.005)

    async def test_worker_that_fails_every_task_gets_little_work(self) -> None:
        """Guards against a worker that fails tasks fast and therefore gets most of the work."""
        jobs = {self.submit(f"k{n}", timeout_ms=20_000) for n in range(60)}
        await self.run_until_done({"w0"}, jobs)
        for job in jobs:
            self.assertIs((await job).outcomes[0].code, ResultCode.OK)
        self.assertLess(len(self.cell.workers.workers["w0"].starts), 15)
        health = self.owner._partition.policy.health.health
        self.assertTrue(health.is_quarantined("w0", Clock().now_ms()))

    async def test_task_ends_as_failed_after_three_different_workers(self) -> None:
        """Guards against a task that is retried without end, or ended by one failing worker."""
        job = self.submit("bad", timeout_ms=20_000)
        await self.run_until_done(set(self.worker_names), {job})
        self.assertIs((await job).outcomes[0].code, ResultCode.TASK_FAILED)
        used = [name for name, worker in self.cell.workers.workers.items() if worker.starts]
        self.assertEqual(len(used), 3)

    async def test_probe_after_the_quarantine_is_one_repeatable_task(self) -> None:
        """Guards against work that is not repeatable on a worker that may still fail it."""
        health = self.owner._partition.policy.health
        for number in range(5):
            health.record_end("w0", f"0.1.{900 + number}", "failed")
        entry = health.health._workers["w0"]
        once = spec("once", repeatable=False)
        self.assertFalse(health.may_use("w0", self.task(once)))
        entry.quarantined_until_ms = Clock().now_ms() - 1
        self.assertFalse(health.may_use("w0", self.task(once)))
        self.assertTrue(health.may_use("w0", self.task(spec("first"))))
        self.assertFalse(health.may_use("w0", self.task(spec("second"))))
        health.end_pass([])
        self.assertTrue(health.may_use("w0", self.task(spec("third"))))

    async def test_a_replica_of_a_service_ends_a_quarantine(self) -> None:
        """Guards against a worker that is never used again as its probe does not end."""
        health = self.owner._partition.policy.health
        for number in range(5):
            health.record_end("w0", f"0.1.{900 + number}", "failed")
        health.health._workers["w0"].quarantined_until_ms = Clock().now_ms() - 1
        probes = [
            self.task(spec(f"service{number}", kind=WorkKind.SERVICE))
            for number in range(PROBES_TO_CLEAR)
        ]
        for task in probes:
            self.assertTrue(health.may_use("w0", task))
            task.worker, task.state = "w0", TaskState.RUNNING
            task.started_ms = Clock().now_ms() - SERVICE_SETTLE_MS
            health.end_pass([Start(task.task, "w0")])
            self.assertFalse(health.may_use("w0", self.task(spec(f"after-{task.task}"))))
            health._last_sweep_ms = 0
            health.begin_pass({task.task: task for task in probes})
        self.assertTrue(health.may_use("w0", self.task(spec("last"))))

    def task(self, request) -> object:
        """Return a task of a request that is not queued."""
        record = self.owner.record_table.submit(request, 0).unwrap()[0]
        return self.owner._partition._make_task(record, 0)


class CorrectionTest(PolicyTestCase):
    """Sizes and run times corrected by reports."""

    async def report_past_runs(self, peak: dict[str, int]) -> None:
        """Run tasks of a queue that report a peak and a run time."""
        for number in range(1, 7):
            job = self.submit(f"past{number}")
            task = await self.started(number)
            run = self.cell.workers.workers["w0"].runs[task]
            ended = replace(run, state="finished", result="done", ran_ms=700, peak=peak)
            self.cell.workers.workers["w0"].runs[task] = ended
            self.cell.workers.workers["w0"].reports.append(ended)
            await job

    async def test_reported_peak_limits_what_runs_together(self) -> None:
        """Guards against a worker that gets more tasks than fit by their reported peak."""
        await self.report_past_runs({"cpu_milli": 3600, "memory_mib": 100})
        jobs = [self.submit(f"next{n}") for n in range(4)]
        await self.started(8)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.cell.workers.starts()), 6 + 2)
        task = self.owner.scheduler.tasks[self.cell.workers.starts()[-1][0]]
        self.assertEqual(task.reserved.memory_mib, task.size.memory_mib)
        self.assertEqual(self.owner._partition.policy.corrections.run_ms(task), 700)
        for job in jobs:
            job.cancel()

    async def test_exaggerated_peak_does_not_keep_work_from_starting(self) -> None:
        """Guards against a task that fits but never starts after a wrong report."""
        await self.report_past_runs({"cpu_milli": 10**6})
        job = self.submit("next")
        self.cell.workers.finish("w0", await self.started(7))
        self.assertIs((await job).outcomes[0].code, ResultCode.OK)


class DeadlineTest(PolicyTestCase):
    """Work whose class is raised close to its deadline."""

    async def full(self) -> str:
        """Fill the worker with normal work that cannot be stopped; return the task."""
        fields = {"size": WHOLE_WORKER, "repeatable": False, "timeout_ms": 20_000}
        self.running = self.submit("first", **fields)
        return await self.started()

    async def next_of(self, task: str, *keys: str) -> str:
        """End a task and return which of the waiting requests starts next."""
        await until(lambda: self.owner.scheduler.queue_length() == len(keys))
        self.owner._partition.policy.deadlines._planned_ms = None
        await asyncio.sleep(0.3)  # effective classes are read again after 250 ms
        self.cell.workers.finish("w0", task)
        name = await self.started(2)
        return self.owner.scheduler.tasks[name].request_key

    async def test_task_close_to_its_deadline_goes_first(self) -> None:
        """Guards against work close to its deadline that waits behind work of a higher class."""
        self.configure(q=QueueConfig(), late=QueueConfig(work_class="background"))
        task = await self.full()
        fields = {"size": WHOLE_WORKER, "timeout_ms": 20_000}
        due_ms = Clock().wall_ms() + 60_000
        jobs = [
            self.submit("normal", **fields),
            self.submit("due", queue="late", deadline_wall_ms=due_ms, **fields),
        ]
        self.assertEqual(await self.next_of(task, "normal", "due"), "due")
        for job in jobs:
            job.cancel()

    async def test_missed_deadline_is_logged_once(self) -> None:
        """Guards against missed deadlines without a warning, and against repeated warnings."""
        before = metrics.deadline_warnings.values.get({"queue": "q"}, 0)
        await self.full()
        due_ms = Clock().wall_ms() + 60_000
        job = self.submit("due", run_ms=600_000, deadline_wall_ms=due_ms, timeout_ms=20_000)
        planner = self.owner._partition.policy.deadlines
        await until(lambda: self.owner.scheduler.queue_length() == 1)
        for _ in range(3):
            planner._planned_ms = None
            planner.begin_pass(self.owner.scheduler.tasks.values(), lambda: 0)
        self.assertEqual(metrics.deadline_warnings.values.get({"queue": "q"}) - before, 1)
        job.cancel()


class WarmSlotsTest(PolicyTestCase):
    """Slots that are warmed up in advance."""

    worker_names = ("w0", "w1")

    def warmed(self) -> list[list[tuple[str, int]]]:
        return [worker.warmed for worker in self.cell.workers.workers.values()]

    async def test_floor_is_warmed_without_an_arrival(self) -> None:
        """Guards against capacity that is warmed up only after the peak has begun."""
        self.configure(q=QueueConfig(warm_floor=3, cold_start_ms=60_000))
        await until(lambda: all(self.warmed()), 10.0)
        self.assertEqual(self.warmed(), [[("q", 2)], [("q", 1)]])

    async def test_worker_is_adjusted_once_in_ten_seconds(self) -> None:
        """Guards against a worker that is kept busy by an oscillating target."""
        slots = self.owner._partition.policy.warm_slots
        self.configure(q=QueueConfig(warm_floor=2), r=QueueConfig(warm_floor=2))
        slots._observed_ms = None
        commands = slots.end_pass([])
        self.assertEqual([(c.worker, c.queue) for c in commands], [("w0", "q"), ("w1", "q")])
        slots._observed_ms = None
        self.assertEqual(slots.end_pass([]), [])
        slots._adjusted_ms = {name: ms - 10_000 for name, ms in slots._adjusted_ms.items()}
        slots._observed_ms = None
        self.assertEqual([c.queue for c in slots.end_pass([])], ["r", "r"])


class MetricsTest(PolicyTestCase):
    """Counters of the owner."""

    async def test_starts_and_waiting_time_are_counted_without_keys(self) -> None:
        """Guards against empty metrics, and against request keys on the metrics page."""
        self.configure(counted=QueueConfig())
        job = self.submit("secret-key", queue="counted")
        task = await self.started()
        self.assertEqual(self.owner.running_count(), 1)
        self.cell.workers.finish("w0", task)
        await job
        page = metrics.render_page()[0].decode()
        self.assertIn('lagoonshelf_starts_total{queue="counted"} 1', page)
        self.assertIn('lagoonshelf_waited_ms_total{queue="counted"}', page)
        self.assertNotIn("secret-key", page)
