"""End-to-end tests of tasks that crash the executors that start them."""

import asyncio
import unittest

from tests.platform.standin.clients import ClientJob, poll_state, submit
from tests.platform.standin.cluster import Cluster
from tests.platform.standin.executors import CRASHES
from tests.platform.test_whole_path import new_job

# The users' bounds: a task may be given up after two executors have crashed under it, and must not
# be started three times more after three have.
GIVEN_UP_AFTER = 2
MAX_CRASHES = 5
END_TIMEOUT_S = 25.0


def new_crashing_job(number: int, tasks: int = 2) -> ClientJob:
    """Return a job whose first task crashes its executor."""
    job = new_job(number, tasks=tasks)
    job.body["spec"] += f" {CRASHES}"
    return job


class CrashTest(unittest.IsolatedAsyncioTestCase):
    """A cluster of three processes and six executors."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster(processes=3, executors=6, seed=1)
        self.addAsyncCleanup(self.cluster.close)
        for executor in self.cluster.executors:
            executor.failure_rate = 0.0
        await self.cluster.start()

    async def _submit(self, job: ClientJob) -> None:
        status = await submit(self.cluster.processes[0].address, job, 1.0)
        self.assertEqual(status, 200)

    async def _wait_for_state(self, job: ClientJob, *states: str) -> None:
        async with asyncio.timeout(END_TIMEOUT_S):
            while await poll_state(self._address(), job) not in states:
                await asyncio.sleep(0.05)

    def _address(self) -> str:
        return next(process for process in self.cluster.processes if process.is_running).address

    def _crashes_by(self, job: ClientJob) -> int:
        return sum(task.startswith(job.id) for task, _ in self.cluster.crashed_by)

    async def test_a_task_that_crashes_its_executors_is_given_up(self) -> None:
        """Guards against a task that crashes one executor after the other, without an end."""
        crashing = new_crashing_job(1)
        others = [new_job(number, tasks=6, run_ms=1_500) for number in range(2, 6)]
        for job in (*others, crashing):
            await self._submit(job)
        await self._wait_for_state(crashing, "failed")
        for job in others:
            await self._wait_for_state(job, "complete", "failed")
            self.assertEqual(job.states[-1], "complete")
        self.assertEqual(self._crashes_by(crashing), GIVEN_UP_AFTER)

    async def test_crashes_are_counted_across_takeovers(self) -> None:
        """Guards against a count that starts anew with each leader."""
        crashing = new_crashing_job(1)
        await self._submit(crashing)
        for crashes in (1, 2):
            async with asyncio.timeout(END_TIMEOUT_S):
                while self._crashes_by(crashing) < crashes:
                    await asyncio.sleep(0.005)
            leader = self.cluster.store.read("cell/holder")["member"]
            process = next(p for p in self.cluster.processes if p.name == leader)
            await process.kill()
            await process.start()
        await self._wait_for_state(crashing, "failed")
        self.assertLessEqual(self._crashes_by(crashing), MAX_CRASHES)
