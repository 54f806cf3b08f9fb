"""Workers that list only some of their ended runs at a time."""

import asyncio

from lagoonshelf_core.jobs.progress import JobState
from lagoonshelf_core.jobs.spec import JobSpec
from lagoonshelf_core.resources import Resources
from tests.support.job_fakes import eventually
from tests.support.jobs import make_job, make_step
from tests.support.terms import TermTestCase

TASKS = 60
TINY = Resources(10, 1, 0)


class CutListTest(TermTestCase):
    """Guards against tasks that are done and run again because their ends were not listed yet."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.workers.max_listed_ends = 5

    async def _started_job(self) -> JobSpec:
        spec = make_job(make_step(TASKS, TINY))
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == TASKS)
        return spec

    async def _assert_all_ran_once(self, spec: JobSpec, leader: object) -> None:
        await eventually(lambda: leader.state(spec.id) is JobState.COMPLETE, timeout_s=10.0)
        self.assertEqual(len(self.workers.started), TASKS)

    async def test_in_an_outage_of_the_store(self) -> None:
        """The ends cannot be recorded, so they are not acknowledged and more gather."""
        leader = await self._term("m1")
        leader.is_store_troubled = leader.is_store_down = lambda: True
        spec = await self._started_job()
        self.store.is_down = True
        self.workers.end_all()
        await asyncio.sleep(0.5)
        self.assertEqual(len(self.workers.started), TASKS)
        self.store.is_down = False
        await self._assert_all_ran_once(spec, leader)

    async def test_at_a_change_of_the_leader(self) -> None:
        """The first list of the successor is cut."""
        first = await self._term("m1")
        spec = await self._started_job()
        first.lease.step_down("killed")
        self.workers.end_all()
        await self._assert_all_ran_once(spec, await self._term("m2"))

    async def test_at_a_change_of_the_leader_after_starts_without_a_record(self) -> None:
        """The successor learns of the runs by the lists only."""
        first = await self._term("m1")
        first.is_store_troubled = first.is_store_down = lambda: True
        spec = make_job(make_step(TASKS, TINY))
        self._store(spec)
        await eventually(lambda: spec.id in first.cell.jobs)
        self._fail_progress_writes()
        await eventually(lambda: len(self.workers.started) == TASKS)
        first.lease.step_down("killed")
        self.workers.end_all()
        second = await self._term("m2")
        await asyncio.sleep(0.3)
        self.assertEqual(len(self.workers.started), TASKS)
        self._restore_progress_writes()
        await self._assert_all_ran_once(spec, second)
