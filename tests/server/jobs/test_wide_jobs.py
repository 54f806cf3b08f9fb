"""A leader with a job of thousands of tasks."""

import asyncio

from lagoonshelf_core.jobs.progress import JobState
from lagoonshelf_core.jobs.spec import JobSpec
from lagoonshelf_core.jobs.workers import WorkerInfo
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.jobs.dispatcher import CALLS_PER_WORKER
from lagoonshelf_server.jobs.leader_lease import LEASE_TTL_MS, RENEW_INTERVAL_MS
from lagoonshelf_server.jobs.ports import Listing, StartRequest, WorkerReply
from lagoonshelf_server.jobs.worker_session import PAUSE_PER_ROW_S, ROWS_WITHOUT_PAUSE
from tests.support.job_fakes import eventually
from tests.support.jobs import URGENT, make_job, make_step
from tests.support.terms import TermTestCase

TASKS = 4_000
TINY = Resources(10, 1, 0)
# A renewal that is late by more than this may come after the end of the leader lease.
MAX_HOLD_S = (LEASE_TTL_MS - RENEW_INTERVAL_MS) / 1000 / 2


class WideJobTest(TermTestCase):
    """Guards against a leader that is too late for its lease, or for other work."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # Debugging of the loop takes a multiple of the time of the work itself.
        asyncio.get_running_loop().set_debug(False)
        self.longest_hold_s = 0.0
        self.tasks.append(asyncio.ensure_future(self._watch_loop()))

    async def _watch_loop(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + 0.01
            await asyncio.sleep(0.01)
            self.longest_hold_s = max(self.longest_hold_s, loop.time() - due)

    async def _start_wide_job(self) -> JobSpec:
        spec = make_job(make_step(TASKS, TINY))
        self._store(spec)
        await eventually(lambda: self._starts_of(spec) == TASKS, timeout_s=30.0)
        return spec

    async def test_it_starts_while_the_loop_serves_other_work(self) -> None:
        leader = await self._term("m1")
        await self._start_wide_job()
        other = make_job(queue=URGENT)
        self._store(other)
        await eventually(lambda: self._starts_of(other) == 1)
        self.workers.end_all()
        await eventually(lambda: not leader.cell.live_jobs, timeout_s=30.0)
        self.assertLess(self.longest_hold_s, MAX_HOLD_S)
        self.assertTrue(leader.lease.is_held)

    async def test_a_successor_takes_it_over(self) -> None:
        first = await self._term("m1")
        spec = await self._start_wide_job()
        first.lease.step_down("killed")
        second = await self._term("m2")
        self.workers.end_all()
        await eventually(lambda: second.state(spec.id) is JobState.COMPLETE, timeout_s=30.0)
        self.assertEqual(self._starts_of(spec), TASKS)
        self.assertLess(self.longest_hold_s, MAX_HOLD_S)

    async def test_its_cancellation_stops_all_runs(self) -> None:
        leader = await self._term("m1")
        spec = await self._start_wide_job()
        leader.cancel(spec.id)
        await eventually(lambda: not any(e.running for e in self._entries()), timeout_s=30.0)
        self.assertLess(self.longest_hold_s, MAX_HOLD_S)

    async def test_a_worker_gets_a_limited_number_of_calls_at_a_time(self) -> None:
        """Guards against a connection for each of hundreds of calls to one worker."""
        await self._term("m1")
        original, calls, most = self.workers.start, dict.fromkeys(self.workers.workers, 0), 0

        async def start(info: WorkerInfo, request: StartRequest, timeout_ms: int) -> WorkerReply:
            nonlocal most
            calls[info.id] += 1
            most = max(most, calls[info.id])
            try:
                return await original(info, request, timeout_ms)
            finally:
                calls[info.id] -= 1

        self.workers.start = start
        spec = make_job(make_step(400, TINY))
        self._store(spec)
        await eventually(lambda: self._starts_of(spec) == 400, timeout_s=10.0)
        self.assertLessEqual(most, CALLS_PER_WORKER)

    async def test_a_worker_with_many_runs_is_not_listed_at_each_end(self) -> None:
        """Guards against a loop that is full of long lists, one for each of many ends."""
        await self._term("m1")
        await self._start_wide_job()
        original, lists = self.workers.list_runs, 0

        async def list_runs(info: WorkerInfo, *args: object) -> Listing:
            nonlocal lists
            lists += info.id == name
            return await original(info, *args)

        self.workers.list_runs = list_runs
        loop = asyncio.get_running_loop()
        name, entry = max(self.workers.workers.items(), key=lambda row: len(row[1].running))
        began = loop.time()
        while loop.time() < began + 1.0:
            self.workers.end(name, *next(iter(entry.running)))
            await asyncio.sleep(0.005)
        rows = len(entry.running)
        self.assertGreater(rows, ROWS_WITHOUT_PAUSE)
        self.assertLessEqual(lists, 1 + (loop.time() - began) / (rows * PAUSE_PER_ROW_S))
