"""Tests of real server processes with clients that submit jobs of legal size and never stop.

Each guards against a leader, or its successor, that runs out of memory for accepted work. The
clients and the bounds were fixed on the code before it had limits; the figures of that code are in
docs/design/accepted-work.md.
"""

import asyncio
import unittest
from collections.abc import Iterable
from time import time

from tests.platform.crowds import count_descriptors, is_runnable, read_memory_mb
from tests.platform.standin.clients import KeepAliveClient, request
from tests.platform.standin.cluster import Cluster, Process

MEMORY_MB = 100
MAX_FDS = 400
MAX_GROWTH_MB = 40.0
ANSWER_TIMEOUT_S = 30.0
TAKEOVER_TIMEOUT_S = 60.0
OTHER_TEAM_KEY = "key-2"
# No executor has this label, so that the jobs wait.
ABSENT_LABEL = "absent"
STEP = {"count": 1, "cpu": 1_000, "mem_mb": 100, "estimate_ms": 100}
JOB = {"spec": "100 1000", "phases": [STEP]}
# More steps than this and larger payloads are refused.
MAX_STEPS = 64
MAX_PAYLOAD_BYTES = 4_000
MAX_TASKS_PER_STEP = 5_000
QUIET_S = 1.0
MAX_QUIET_CHECKS = 30
SAMPLES = 20
MAX_BUSY_SAMPLES = 4


def _waiting_step(count: int = 1, **fields: object) -> dict:
    return {**STEP, "count": count, "constraints": ABSENT_LABEL, **fields}


WIDE_JOB = {"spec": "x", "phases": [_waiting_step(MAX_TASKS_PER_STEP)] * 4}
LONG_JOB = {"spec": "x" * (MAX_PAYLOAD_BYTES - 100), "phases": [_waiting_step()] * 60}
LARGE_JOB = {"spec": "x", "phases": [_waiting_step(image="x" * 3_800)] * MAX_STEPS}


def _scheduled_job() -> dict:
    """Return a job of which one occurrence is due in each millisecond."""
    times = {"repeats": 10_000, "start_at_ms": int(time() * 1000), "interval_ms": 1}
    return {"spec": "x", "phases": [_waiting_step()] * MAX_STEPS, **times}


class AcceptedWorkTest(unittest.IsolatedAsyncioTestCase):
    """Crowds of one client account, and an ordinary request of another one."""

    async def _start(self, processes: int) -> None:
        self.cluster = Cluster(processes=processes, executors=1, seed=1)
        self.cluster.host_limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        self.cluster.more_tenants = {"t2": OTHER_TEAM_KEY}
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.before_mb = {
            process.name: read_memory_mb(process.pid, "VmRSS")
            for process in self.cluster.processes
        }
        self.statuses: list[int] = []

    async def _submit(self, clients: int, jobs: int, body: dict) -> None:
        """Submit jobs, those of a client one after the other, to all processes in turn."""
        addresses = [process.address for process in self.cluster.processes]
        await asyncio.gather(
            *(
                self._submit_one_by_one(addresses[number % len(addresses)], number, jobs, body)
                for number in range(clients)
            )
        )

    async def _submit_one_by_one(self, address: str, client: int, jobs: int, body: dict) -> None:
        conn = KeepAliveClient(address)
        for number in range(jobs):
            path = f"/batch/{client:08x}{number:08x}"
            status, _ = await conn.request("POST", path, body, ANSWER_TIMEOUT_S)
            self.statuses.append(status)
        conn.close()

    async def _settle(self, processes: Iterable[Process]) -> None:
        """Wait until no process works on more than its heartbeats."""
        for _ in range(MAX_QUIET_CHECKS):
            busy = 0
            for _ in range(SAMPLES):
                await asyncio.sleep(QUIET_S / SAMPLES)
                busy += any(is_runnable(process.pid) for process in processes)
            if busy <= MAX_BUSY_SAMPLES:
                return

    async def _wait_for_successor(self, leader: Process) -> Process:
        """Return the process that leads after another one, once it has read all jobs."""
        async with asyncio.timeout(TAKEOVER_TIMEOUT_S):
            while not self._is_led_by_another(leader):
                await asyncio.sleep(QUIET_S / SAMPLES)
            while not self._has_taken_over(successor := await self._find_leader()):
                await asyncio.sleep(QUIET_S / SAMPLES)
        return successor

    def _has_taken_over(self, process: Process) -> bool:
        return any(
            f'"member":"{process.name}"' in line and '"holder ready"' in line
            for line in self.cluster.logs().splitlines()
        )

    async def _wait_for_pending(self, process: Process, count: int) -> None:
        """Wait until a process counts as many pending jobs; counts may be 2 s old."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while True:
                status, fields = await request(process.address, "GET", "/batch/")
                if status == 200 and fields["pending"] >= count:
                    return
                await asyncio.sleep(QUIET_S / SAMPLES)

    async def _find_leader(self) -> Process:
        async with asyncio.timeout(TAKEOVER_TIMEOUT_S):
            while not self._is_led():
                await asyncio.sleep(QUIET_S / SAMPLES)
        followers = self.cluster.followers()
        return next(process for process in self.cluster.processes if process not in followers)

    def _is_led(self) -> bool:
        return "cell/holder" in self.cluster.store.entries

    def _is_led_by_another(self, former: Process) -> bool:
        return self._is_led() and former in self.cluster.followers()

    async def _check(self, processes: list[Process]) -> None:
        """Check processes after the requests of the crowd have been answered."""
        await self._settle(processes)
        self.assertTrue(all(process.is_running for process in processes), self.statuses)
        growth_mb = [
            read_memory_mb(process.pid, "VmHWM") - self.before_mb[process.name]
            for process in processes
        ]
        descriptors = [count_descriptors(process.pid) for process in processes]
        status, _ = await request(
            processes[0].address,
            "POST",
            "/batch/00000000000000aa",
            JOB,
            ANSWER_TIMEOUT_S,
            key=OTHER_TEAM_KEY,
        )
        accepted = self.statuses.count(200)
        growth = ", ".join(f"{megabytes:.1f}" for megabytes in growth_mb)
        found = f"{growth} MB more, {descriptors} descriptors, status {status}"
        found += f", {accepted} of {len(self.statuses)} accepted"
        self.assertLess(max(growth_mb), MAX_GROWTH_MB, found)
        self.assertLess(max(descriptors), MAX_FDS, found)
        self.assertEqual(status, 200, found)

    async def test_jobs_of_many_tasks(self) -> None:
        """A task that waits costs no more than the description of its step."""
        await self._start(processes=1)
        await self._submit(4, 5, WIDE_JOB)
        await self._check(self.cluster.processes)

    async def test_jobs_of_many_steps(self) -> None:
        """The steps of all jobs are bounded together."""
        await self._start(processes=1)
        await self._submit(10, 40, LONG_JOB)
        await self._check(self.cluster.processes)

    async def test_jobs_of_large_bodies(self) -> None:
        """The descriptions of all jobs are bounded together."""
        await self._start(processes=1)
        await self._submit(4, 60, LARGE_JOB)
        await self._check(self.cluster.processes)

    async def test_occurrences_that_wait(self) -> None:
        """The due occurrences of all scheduled jobs are bounded together."""
        await self._start(processes=1)
        await self._submit(4, 1, _scheduled_job())
        await self._check(self.cluster.processes)

    async def test_successor_of_a_leader_with_much_work(self) -> None:
        """What was accepted fits the next leader as well."""
        await self._start(processes=3)
        await self._submit(6, 5, WIDE_JOB)
        leader = await self._find_leader()
        followers = [process for process in self.cluster.processes if process is not leader]
        await leader.kill()
        successor = await self._wait_for_successor(leader)
        await self._check(followers)
        await self._wait_for_pending(successor, self.statuses.count(200))
