"""Tests of workers whose capacity shrinks and grows while they run tasks."""

import unittest
from dataclasses import replace

from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.progress import RunEnd
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources
from tests.support.jobs import (
    HOST,
    SMALL,
    URGENT,
    accept_job,
    confirm_starts,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_starts,
)

HALF = Resources(HOST.cpu_milli // 2, HOST.memory_mib // 2)


def set_capacity(cell: Cell, name: str, capacity: Resources, now_ms: int = 0) -> None:
    """Let a worker report another capacity."""
    cell.update_worker(replace(cell.workers[name].info, capacity=capacity), now_ms)


class ShrunkWorkerTest(unittest.TestCase):
    """Starts after a worker has reported a smaller capacity than before."""

    def test_nothing_starts_on_it_beyond_its_capacity(self) -> None:
        """Guards against overfilling a worker that has shrunk, also while runs are stopped."""
        cell = make_cell(1)
        accept_job(cell, make_job(make_step(12)))
        runs = plan_starts(cell)
        confirm_starts(cell, runs)
        set_capacity(cell, "w000", HALF)
        accept_job(cell, make_job(make_step(), queue=URGENT))
        self.assertEqual(plan_starts(cell), [])
        cell.stop_run(runs[0], "test")
        for run in runs[1:4]:
            end_run(cell, run)
        self.assertEqual(plan_starts(cell), [], "9 of 8 are left, one of them is being stopped")
        end_run(cell, runs[0], RunEnd.STOPPED)
        end_run(cell, runs[4])
        self.assertEqual(len(plan_starts(cell)), 1)

    def test_it_is_used_again_when_it_has_grown(self) -> None:
        """Guards against a worker that stays empty after its capacity was zero for a while."""
        cell = make_cell(1)
        set_capacity(cell, "w000", ZERO_RESOURCES)
        accept_job(cell, make_job(make_step(16), queue=URGENT))
        self.assertEqual(plan_starts(cell), [])
        set_capacity(cell, "w000", HALF)
        self.assertEqual(len(plan_starts(cell)), 8)
        set_capacity(cell, "w000", HOST)
        self.assertEqual(len(plan_starts(cell)), 8)

    def test_other_workers_are_still_used(self) -> None:
        """Guards against free processors that are not used, as shrunk workers are over theirs.

        Their excess was taken for load of the whole pool.
        """
        cell = make_cell(4)
        for _ in range(3):
            accept_job(cell, make_job(make_step(16)))
        confirm_starts(cell, plan_starts(cell))
        busy = [worker for worker in cell.workers.values() if worker.used != ZERO_RESOURCES]
        self.assertEqual(len(busy), 3)
        for worker in busy:
            set_capacity(cell, worker.id, ZERO_RESOURCES)
        accept_job(cell, make_job(make_step(4), queue=URGENT))
        self.assertEqual(len(plan_starts(cell)), 4)
        gang = accept_job(cell, make_job(make_step(4, SMALL, is_gang=True)))
        self.assertEqual([run.task.job for run in plan_starts(cell)], [gang] * 4)


class HeldWorkerTest(unittest.TestCase):
    """Gangs that hold a worker which shrinks."""

    def test_a_gang_holds_other_workers_instead(self) -> None:
        """Guards against a gang that waits for a worker on which it no longer fits."""
        cell = make_cell(4)
        accept_job(cell, make_job(*(make_step(15, estimate_ms=6_000) for _ in range(4))))
        confirm_starts(cell, plan_starts(cell))
        gang = accept_job(cell, make_job(make_step(12, is_gang=True)))
        self.assertEqual(plan_starts(cell), [])
        (held,) = gang.steps[(0, 0)].hold.workers
        set_capacity(cell, held, SMALL)
        other = next(worker for worker in cell.workers.values() if worker.id != held)
        runs = list(other.runs.values())
        for run in runs[:8]:
            end_run(cell, run)
        accept_job(cell, make_job(make_step(8)))
        self.assertEqual(plan_starts(cell, 300), [], "left to the gang")
        for run in runs[8:]:
            end_run(cell, run)
        self.assertEqual({run.task.job for run in plan_starts(cell, 400)}, {gang})
