"""The policy modules as the owner of a partition uses them."""

import asyncio
import time
import unittest

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.document import Document, QueueConfig, TeamConfig
from lagoonshelf_core.errors import LagoonshelfError, ResultCode
from lagoonshelf_core.ids import Revision
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.kicks import COLLECT_MS, Kicks

from tests.support.fakes import OneOwner, spec, until

TEAM = TeamConfig(limit_tasks=1000, limit_cpu_milli=1_000_000)
WHOLE_WORKER = Resources(8000, 512, 0, 1)


class PolicyTestCase(unittest.IsolatedAsyncioTestCase):
    """An owner whose configuration a test may change."""

    worker_names: tuple[str, ...] = ("w0",)

    async def asyncSetUp(self) -> None:
        self.cell = OneOwner(*self.worker_names)
        self.addCleanup(self.cell.close)
        self.configure(q=QueueConfig())
        self.owner = await self.cell.taken_over()

    def configure(self, **queues: QueueConfig) -> None:
        """Put the next revision in force."""
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


class ContractTest(PolicyTestCase):
    """What the scheduler expects of its runtime."""

    async def test_urgent_work_starts_within_a_second_on_a_full_worker(self) -> None:
        """Guards against a throttle whose confirmation the scheduler never hears of."""
        self.configure(
            q=QueueConfig(work_class="background"), urgent=QueueConfig(work_class="urgent")
        )
        slow = self.submit("slow", size=WHOLE_WORKER, timeout_ms=10_000, repeatable=False)
        task = await self.started()
        began = time.monotonic()
        urgent = self.submit("fast", queue="urgent", timeout_ms=10_000)
        other = await self.started(2)
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertEqual(self.cell.workers.workers["w0"].throttles[0][0], task)
        self.assertNotEqual(other, task)
        for name in (task, other):
            self.cell.workers.finish("w0", name)
        self.assertEqual([(await f).outcomes[0].code for f in (slow, urgent)], [ResultCode.OK] * 2)

    async def test_reserve_of_a_new_revision_holds(self) -> None:
        """Guards against a configuration that the scheduler does not see."""
        self.configure(q=QueueConfig(), urgent=QueueConfig(reserve_slots=3))
        jobs = [self.submit(f"k{n}", size=Resources(100, 10, 0, 1)) for n in range(8)]
        await self.started(5)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.cell.workers.starts()), 5)
        for job in jobs:
            job.cancel()


class KicksTest(unittest.IsolatedAsyncioTestCase):
    """When passes run."""

    async def test_pass_is_due_without_an_event(self) -> None:
        """Guards against claims and deadlines that wait for an unrelated event."""
        clock = Clock()
        kicks = Kicks(clock)
        due_ms = clock.now_ms() + 100
        async with asyncio.timeout(5):
            await kicks.wait(due_ms)
        self.assertGreaterEqual(clock.now_ms(), due_ms - 1)

    async def test_events_are_collected(self) -> None:
        """Guards against one pass per event under load."""
        clock = Clock()
        kicks = Kicks(clock)
        kicks.set()
        await kicks.wait(None)
        first_ms = clock.now_ms()
        kicks.set()
        await kicks.wait(None)
        self.assertGreaterEqual(clock.now_ms() - first_ms, COLLECT_MS - 1)
