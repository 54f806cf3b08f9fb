"""Tests of the commands of a leader to its workers."""

import unittest

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import MemberId
from lagoonshelf_core.jobs.commands import PaceRun
from lagoonshelf_core.jobs.supervision import supervise
from lagoonshelf_core.jobs.worker_reports import RunningRow, apply_report
from lagoonshelf_server.jobs.dispatcher import Dispatcher
from lagoonshelf_server.jobs.leader_lease import LeaderLease
from tests.support.job_fakes import FakeStore, FakeWorkers
from tests.support.jobs import accept_job, confirm_starts, make_cell, make_job, make_step
from tests.support.jobs import plan_starts as plan


class PaceCommandTest(unittest.IsolatedAsyncioTestCase):
    """A filler on a worker that leaves orders unanswered."""

    async def asyncSetUp(self) -> None:
        clock = Clock()
        self.cell, self.workers = make_cell(1), FakeWorkers(clock)
        self.worker = self.cell.workers["w000"]
        self.workers.add(self.worker.info).is_silent = True
        lease = LeaderLease(FakeStore(), clock, MemberId("m1"), "a:1")
        lease.is_held = True
        args = (self.cell, self.workers, lease, clock, {}, lambda: None)
        self.dispatcher = Dispatcher(*args)

    async def test_a_pace_that_was_not_answered_is_commanded_again(self) -> None:
        """Guards against a filler that stays slow as the order that raised its pace was lost."""
        accept_job(self.cell, make_job(make_step(is_filler=True, estimate_ms=60_000)))
        (run,) = plan(self.cell)
        confirm_starts(self.cell, [run])
        row = RunningRow(run.name, run.attempt, "", 50, 0.0)
        apply_report(self.cell, self.worker, [row], [], 1_000, 1_000)
        run.pace_percent = 100
        await self.dispatcher.pace(PaceRun(run, 100))
        supervise(self.cell, 2_000)
        commands = [c for c in self.cell.commands if isinstance(c, PaceRun)]
        self.assertEqual([c.percent for c in commands], [100])
