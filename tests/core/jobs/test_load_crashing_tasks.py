"""Load test: tasks that crash the workers that start them, in a cell that is nearly full.

On andinas-ajuste (day deadly-wide) up to 13 such tasks came within 15 s. Each crash ends the 7 to
13 other runs of a worker, so that what becomes of those counts beside the number of crashes.
"""

import unittest
from dataclasses import replace
from random import Random

from bench.cell_simulation import (
    CellSimulation,
    JobKind,
    generate_arrivals,
    make_config,
    make_worker_infos,
)
from lagoonshelf_core.ids import QueueId, TeamId, WorkerId
from lagoonshelf_core.jobs.config import Queue, Team
from lagoonshelf_core.jobs.crashes import end_runs_of_lost_worker
from lagoonshelf_core.jobs.progress import JobState, Run, RunEnd
from lagoonshelf_core.jobs.workers import Worker, WorkerLoss
from lagoonshelf_core.resources import Resources

WORKERS = 24
CAPACITY = Resources(64_000, 131_072)
RENDER, MATCH, HOLD = QueueId("render"), QueueId("match"), QueueId("hold")
QUEUES = [
    Queue(RENDER, "h", "/r/", "pool", 2, 3, 3.0, 1_000),
    Queue(MATCH, "h", "/m/", "pool", 1, 3, 3.0, 3_000),
    Queue(HOLD, "h", "/h/", "pool", 0, 3, 1.5, 250),
]
TEAMS = [Team(TeamId(f"t{number}"), 1_000) for number in range(4)]
# The mix of andinas-ajuste, at the share of the processors that is used there on a heavy day.
KINDS = [
    JobKind(RENDER, 0.9, 1, 8, 4_000, Resources(18_000, 18_000)),
    JobKind(MATCH, 5.0, 1, 10, 2_200, Resources(3_900, 6_000)),
    JobKind(HOLD, 15.4, 1, 2, 1_000, Resources(5_600, 8_000)),
]
LOAD_MS = 20_000
END_MS = 90_000
CRASH_DELAY_MS = 10
DOWN_MS = 3_300
CULPRIT_SHARE = 0.03
# The users' bounds: a task may be given up after two workers have crashed under it, and must not
# be started three times more after three have.
GIVEN_UP_AFTER = 2
MAX_CRASHES = 5


class CrashingSimulation(CellSimulation):
    """A simulation in which the first task of some jobs crashes its workers."""

    def __init__(self, culprits: set[str]) -> None:
        """Set up.

        :param culprits: ids of these jobs
        """
        super().__init__(
            make_config(QUEUES, TEAMS), make_worker_infos(WORKERS, CAPACITY), allowed_share=1.0
        )
        self._culprits = culprits
        self._incarnation = 1
        self.crashes: dict[str, int] = {}

    def _confirm_start(self, run: Run, now_ms: int) -> None:
        if not self._is_up(run):
            return
        super()._confirm_start(run, now_ms)
        if run.task.job.id in self._culprits and run.task.index == 0:
            self._schedule(now_ms + CRASH_DELAY_MS, lambda at_ms: self._crash(run, at_ms))

    def _end_run(self, run: Run, end: RunEnd, now_ms: int) -> None:
        if self._is_up(run):
            super()._end_run(run, end, now_ms)

    def _is_up(self, run: Run) -> bool:
        worker = self.cell.workers.get(run.worker)
        return worker is not None and worker.is_read

    def _crash(self, run: Run, now_ms: int) -> None:
        if not self._is_up(run):
            return
        worker = self.cell.workers[run.worker]
        worker.is_read = False
        worker.silent_since_ms = now_ms
        self.crashes[run.name] = self.crashes.get(run.name, 0) + 1
        self._schedule(now_ms + DOWN_MS, lambda at_ms: self._replace(worker, at_ms))

    def _replace(self, worker: Worker, now_ms: int) -> None:
        end_runs_of_lost_worker(self.cell, worker, WorkerLoss.RESTARTED, now_ms)
        self.cell.remove_worker(worker)
        self._incarnation += 1
        name = WorkerId(f"{worker.id.partition('+')[0]}+{self._incarnation}")
        info = replace(worker.info, id=name, born_ms=self._incarnation)
        successor = self.cell.update_worker(info, now_ms)
        successor.is_read = successor.is_recorded = True
        successor.record_answer(now_ms)
        self._request_pass(now_ms)


def _simulate(seed: int) -> tuple[CrashingSimulation, set[str]]:
    load = generate_arrivals(KINDS, [team.id for team in TEAMS], LOAD_MS, seed)
    rng = Random(seed)
    culprits = {arrival.spec.id for arrival in load if rng.random() < CULPRIT_SHARE}
    simulation = CrashingSimulation(culprits)
    simulation.run(load, END_MS)
    return simulation, culprits


class CrashingTasksTest(unittest.TestCase):
    """A heavy day of a small site on which some tasks crash their workers."""

    def setUp(self) -> None:
        """Play two days."""
        self.days = [_simulate(seed) for seed in (1, 2)]

    def test_each_task_at_fault_is_given_up_and_no_other(self) -> None:
        """Guards against tasks that crash workers for ever, and against jobs failed for others."""
        for simulation, culprits in self.days:
            states = {job.id: job.state for job in simulation.cell.jobs.values()}
            failed = {name for name, state in states.items() if state is JobState.FAILED}
            self.assertEqual(failed, culprits)
            others = {state for name, state in states.items() if name not in culprits}
            self.assertEqual(others, {JobState.COMPLETE})
            self.assertLessEqual(max(simulation.crashes.values()), MAX_CRASHES)

    def test_most_are_found_with_the_second_crash(self) -> None:
        """Guards against crashes that could be avoided, as each ends the work of others."""
        for simulation, culprits in self.days:
            crashes = sum(simulation.crashes.values())
            self.assertLessEqual(crashes, 1.25 * GIVEN_UP_AFTER * len(culprits))
