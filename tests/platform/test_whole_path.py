"""End-to-end tests of real server processes on the stand-in platform."""

import asyncio
import signal
import unittest

from tests.platform.standin.clients import ClientJob, poll_state, request, submit
from tests.platform.standin.cluster import GRACE_S, Cluster
from tests.platform.standin.http import ProxyMode

END_TIMEOUT_S = 15.0


def new_job(number: int, queue: str = "batch", tasks: int = 2, run_ms: int = 200) -> ClientJob:
    """Return a job with one step that has not been submitted."""
    step = {"count": tasks, "cpu": 1_000, "mem_mb": 100, "estimate_ms": run_ms}
    return ClientJob(f"{number:016x}", queue, tasks, {"spec": f"{run_ms} 1000", "phases": [step]})


class EndToEndTest(unittest.IsolatedAsyncioTestCase):
    """A cluster of three processes and four executors."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster(processes=3, executors=4, seed=1)
        self.addAsyncCleanup(self.cluster.close)
        for executor in self.cluster.executors:
            executor.failure_rate = 0.0
        await self.cluster.start()

    async def _submit(self, job: ClientJob, process: int = 0) -> None:
        status = await submit(self.cluster.processes[process].address, job, 1.0)
        self.assertEqual(status, 200)

    async def _wait_for_completion(self, job: ClientJob) -> None:
        address = self._running_process().address
        async with asyncio.timeout(END_TIMEOUT_S):
            while await poll_state(address, job) != "complete":
                await asyncio.sleep(0.05)

    def _running_process(self) -> object:
        return next(process for process in self.cluster.processes if process.is_running)

    def _runs(self, job: ClientJob) -> list:
        return [record for record in self.cluster.history if record.task.startswith(job.id)]

    async def test_a_job_of_each_queue_runs_once(self) -> None:
        """Jobs submitted twice through different processes run once, also with advice requests."""
        jobs = [
            new_job(number, queue) for number, queue in enumerate(("urgent", "batch", "advised"))
        ]
        for process, job in enumerate(jobs):
            await self._submit(job, process)
            await self._submit(job, (process + 1) % 3)
        for job in jobs:
            await self._wait_for_completion(job)
            self.assertEqual([record.end for record in self._runs(job)], ["done", "done"])

    async def test_a_job_survives_a_restart_of_all_processes(self) -> None:
        """All processes are killed and restarted while the job runs."""
        job = new_job(1, run_ms=2_500)
        await self._submit(job)
        async with asyncio.timeout(END_TIMEOUT_S):
            while len(self._runs(job)) < 2:
                await asyncio.sleep(0.02)
        for process in self.cluster.processes:
            await process.kill()
        for process in self.cluster.processes:
            await process.start()
        await self._wait_for_completion(job)
        self.assertEqual([record.end for record in self._runs(job)], ["done", "done"])

    async def test_a_takeover_ends_on_a_slow_link(self) -> None:
        """A state of several pages is read although a page takes longer than an ordinary call.

        No process finished its takeover after a power loss (large andinas, trouble-1).
        """
        for process in self.cluster.processes:
            await process.kill()
        step = {"count": 1, "size": [1_000, 100, 0], "estimate_ms": 100}
        for number in range(400):
            job_id = f"{number:016x}"
            fields = {"id": job_id, "team": "t1", "queue": "gone", "payload": "x" * 3_500}
            fields |= {"steps": [step], "accepted_ms": 0}
            self.cluster.store.put(f"in/job/{job_id}", fields)
        for process in self.cluster.processes:
            process.store_proxy.bytes_per_s = 400_000
            await process.start()
        job = new_job(1_000)
        async with asyncio.timeout(END_TIMEOUT_S):
            while await submit(self.cluster.processes[0].address, job, 1.0) != 200:
                await asyncio.sleep(0.1)
        await self._wait_for_completion(job)
        self.assertEqual([record.end for record in self._runs(job)], ["done", "done"])

    async def test_a_cancelled_job_ends(self) -> None:
        """Cancellation stops the runs of the job, and no further run starts."""
        job = new_job(2, run_ms=60_000)
        await self._submit(job)
        async with asyncio.timeout(END_TIMEOUT_S):
            while len(self._runs(job)) < 2:
                await asyncio.sleep(0.02)
        address = self.cluster.processes[1].address
        status, _ = await request(address, "DELETE", f"/batch/{job.id}")
        self.assertEqual(status, 200)
        async with asyncio.timeout(4.0):
            while not all(record.ended_s for record in self._runs(job)):
                await asyncio.sleep(0.02)
        self.assertEqual(await poll_state(address, job), "cancelled")

    async def test_a_stopping_process_answers_its_requests(self) -> None:
        """A process that receives SIGTERM still accepts jobs and exits in its grace period."""
        process = self.cluster.processes[0]
        jobs = [new_job(number) for number in range(10, 16)]
        process.signal(signal.SIGTERM)
        statuses = await asyncio.gather(*(submit(process.address, job, 1.0) for job in jobs))
        self.assertEqual(statuses, [200] * len(jobs))
        self.assertTrue(await process.wait_stopped(GRACE_S + 0.5))
        for job in jobs:
            await self._wait_for_completion(job)

    async def test_a_process_without_the_store_forwards_jobs(self) -> None:
        """Another process writes the job to the store instead."""
        process = self.cluster.processes[2]
        process.store_proxy.mode = ProxyMode.RESET
        process.store_proxy.reset_connections()
        await asyncio.sleep(1.0)
        job = new_job(30)
        await self._submit(job, 2)
        await self._wait_for_completion(job)

    async def test_a_leader_without_the_store_forwards_jobs(self) -> None:
        """Guards against refusals for as long as the other processes do not use the store.

        Their store answers were too old for them to count as relays.
        """
        await asyncio.sleep(1.0)
        followers = self.cluster.followers()
        leader = next(p for p in self.cluster.processes if p not in followers)
        leader.store_proxy.mode = ProxyMode.RESET
        leader.store_proxy.reset_connections()
        await asyncio.sleep(0.1)
        for number in range(40, 50):
            status = await submit(leader.address, new_job(number), 1.0)
            self.assertEqual(status, 200)

    async def test_invalid_requests_get_specific_errors(self) -> None:
        """Unknown queues, jobs and methods and invalid ids and bodies get a specific status."""
        address = self.cluster.processes[0].address
        for method, path, body, status in (
            ("POST", "/nowhere/0000000000000001", {}, 404),
            ("POST", "/batch/not-an-id", {}, 404),
            ("POST", "/batch/0000000000000001", {"spec": 5, "phases": []}, 400),
            ("POST", "/batch/0000000000000001", {"spec": "", "phases": []}, 400),
            ("GET", "/batch/00000000000000ff", None, 410),
            ("PUT", "/batch/0000000000000001", None, 405),
        ):
            found, fields = await request(address, method, path, body)
            self.assertEqual(found, status, path)
            self.assertIn("error", fields)
