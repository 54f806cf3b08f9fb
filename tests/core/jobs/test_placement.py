"""Differential test of the placement of independent tasks against a naive version."""

import unittest
from random import Random

from lagoonshelf_core.jobs.capacity import free_capacity
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.planning import _place_tasks, _score
from lagoonshelf_core.jobs.progress import StepRun
from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.scheduling_pass import SchedulingPass
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources
from tests.support.jobs import (
    accept_job,
    confirm_starts,
    make_cell,
    make_job,
    make_step,
    plan_starts,
)

WORKERS = 12


def _place_naively(cell: Cell, step: StepRun) -> list[tuple[int, str]]:
    """Evaluate each worker again for each task."""
    spec, placed = step.spec, []
    planned: dict[str, Resources] = {}
    counts: dict[str, int] = {}
    for task in step.waiting.values():
        scores = []
        for worker in cell.workers.values():
            if spec.max_per_worker and counts.get(worker.id, 0) >= spec.max_per_worker:
                continue
            free = free_capacity(worker, planned.get(worker.id, ZERO_RESOURCES))
            if spec.size.fits_in(free):
                scores.append((_score(step, worker, free, False), worker.id))
        if not scores:
            break
        best = min(scores)[1]
        placed.append((task.index, best))
        planned[best] = planned.get(best, ZERO_RESOURCES) + spec.size
        counts[best] = counts.get(best, 0) + 1
    return placed


class PlacementTest(unittest.TestCase):
    """Random steps on randomly loaded workers."""

    def test_each_task_gets_the_worker_that_is_best_for_it(self) -> None:
        """Guards against scores that are not renewed after a placement on their worker."""
        for seed in range(60):
            rng = Random(seed)
            cell = make_cell(WORKERS)
            for _ in range(6):
                size = Resources(rng.randrange(4_000, 30_000), rng.randrange(1_000, 40_000))
                accept_job(cell, make_job(make_step(rng.randrange(1, 9), size)))
            confirm_starts(cell, plan_starts(cell))
            size = Resources(rng.randrange(2_000, 20_000), rng.randrange(1_000, 20_000))
            spec = make_step(rng.randrange(1, 60), size, max_per_worker=rng.choice((0, 0, 1, 2)))
            step = next(iter(accept_job(cell, make_job(spec)).steps.values()))
            usable = {worker.info.pool: cell.workers for worker in cell.workers.values()}
            state = SchedulingPass(0, usable)
            workers = list(cell.workers.values())
            placed = _place_tasks(cell, state, step, workers, Band.ON_TIME, 10**9)
            found = [(task.index, worker.id) for task, worker in placed]
            self.assertEqual(found, _place_naively(cell, step), seed)
