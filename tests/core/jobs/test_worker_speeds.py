"""Tests of the model of the workers' speeds and of what is decided by it.

The load is a pool of workers of unequal speed under jobs of short tasks whose estimates are off by
up to a fifth; workers report every second and at each end.
"""

import unittest
from collections import Counter
from random import Random

from lagoonshelf_core.ids import RackId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import StartRun, StopRun
from lagoonshelf_core.jobs.gang_placement import _expected_end_ms
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.planning import plan
from lagoonshelf_core.jobs.progress import Run, RunEnd
from lagoonshelf_core.jobs.slow_workers import MAX_SLOW_SHARE
from lagoonshelf_core.jobs.supervision import supervise
from lagoonshelf_core.jobs.worker_reports import EndedRow, RunningRow, apply_report
from lagoonshelf_core.jobs.worker_speeds import MAX_SPEED, MIN_SPEED
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    ADVICE_BUDGET_MS,
    BATCH,
    SMALL,
    URGENT,
    accept_job,
    add_worker,
    config,
    make_job,
    make_step,
    worker_info,
)

STEP_MS = 100
REPORT_MS = 1_000
CAPACITY = Resources(16_000, 65_536, 0)
ON = SchedulerOptions(models_worker_speed=True)


class Pool:
    """Workers that work off their runs at given speeds.

    :param factors: run times of the queues' tasks in estimates
    """

    def __init__(self, speeds: list[float], options: SchedulerOptions = ON) -> None:
        self.cell = Cell(config(), options)
        self.speeds = {
            add_worker(self.cell, worker_info(number, CAPACITY)).id: speed
            for number, speed in enumerate(speeds)
        }
        self.factors = {BATCH: 1.0, URGENT: 1.0}
        self.now_ms = 1_000
        self.started: list[Run] = []
        self.notes: list[tuple[str, dict]] = []
        self._rng = Random(7)
        self._done: dict[Run, float] = {}
        self.run_ms: dict[Run, float] = {}
        self._stopped: set[Run] = set()

    def advance(self, duration_ms: int, jobs: tuple = ()) -> None:
        """Let time pass.

        :param jobs: interval and builder of the jobs that arrive
        """
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            for interval_ms, build in jobs:
                if self.now_ms % interval_ms == 0:
                    accept_job(self.cell, build(), self.now_ms)
            for number, worker in enumerate(list(self.cell.workers.values())):
                self._work(worker, (self.now_ms + number * STEP_MS) % REPORT_MS == 0)
            supervise(self.cell, self.now_ms)
            self._plan()

    def _plan(self) -> None:
        plan(self.cell, self.now_ms, self.now_ms, ADVICE_BUDGET_MS)
        commands, self.cell.commands = self.cell.commands, []
        for command in commands:
            if isinstance(command, StartRun):
                run = command.run
                self.cell.start_confirmed(run, self.now_ms)
                spec, queue = run.task.step.spec, run.task.job.spec.queue
                # An estimate of 0 is of a task of half a second.
                real_ms = (spec.estimate_ms or 500) * self._rng.uniform(0.8, 1.2)
                self.run_ms[run] = real_ms * self.factors[queue]
                self.started.append(run)
            elif isinstance(command, StopRun):
                self._stopped.add(command.run)
        notes, self.cell.notes = self.cell.notes, []
        self.notes += notes

    def _work(self, worker: Worker, is_due: bool) -> None:
        rows, ended = [], []
        for run in worker.runs.values():
            done = self._done.get(run, 0.0) + STEP_MS * self.speeds[worker.id] / self.run_ms[run]
            self._done[run] = done
            if run in self._stopped:
                ended.append(EndedRow(1, run.name, run.attempt, RunEnd.STOPPED, ""))
            elif done >= 1.0:
                ended.append(EndedRow(1, run.name, run.attempt, RunEnd.DONE, ""))
            else:
                rows.append(RunningRow(run.name, run.attempt, "", int(100 * done), 0.0))
        if ended or is_due:
            apply_report(self.cell, worker, rows, ended, self.now_ms, self.now_ms)

    def noted(self, message: str) -> list[dict]:
        """Return the log entries with a message."""
        return [fields for name, fields in self.notes if name == message]

    def started_on(self, queue: str, since: int = 0) -> Counter:
        """Return the number of started tasks of a queue by worker."""
        runs = self.started[since:]
        return Counter(run.worker for run in runs if run.task.job.spec.queue == queue)


def _urgent() -> object:
    return make_job(make_step(3, estimate_ms=600), queue=URGENT)


def _batch(**fields: object) -> object:
    return make_job(make_step(6, estimate_ms=2_500, **fields))


LOAD = ((300, _urgent), (500, _batch))


class UnequalPoolTest(unittest.TestCase):
    """A quarter of 20 workers at 0.55, the others at 1.2, half loaded."""

    def setUp(self) -> None:
        self.pool = Pool([0.55] * 5 + [1.2] * 15)
        # The estimates of one kind are far off, and it runs mostly on the faster workers.
        self.pool.factors[URGENT] = 1.8

    def test_urgent_work_goes_to_faster_workers_within_seconds(self) -> None:
        """Guards against slow workers that make a fixed share of the urgent jobs late."""
        self.pool.advance(8_000, LOAD)
        mean = (5 * 0.55 + 15 * 1.2) / 20
        for name, speed in self.pool.speeds.items():
            known = self.pool.cell.speeds.get(self.pool.cell.workers[name])
            self.assertAlmostEqual(known.speed, speed / mean, delta=0.2, msg=name)
        since = len(self.pool.started)
        self.pool.advance(5_000, LOAD)
        urgent = self.pool.started_on(URGENT, since)
        slow = sum(urgent[name] for name, speed in self.pool.speeds.items() if speed < 1)
        self.assertGreater(urgent.total(), 30)
        self.assertEqual(slow, 0)

    def test_a_gang_gets_workers_of_one_speed(self) -> None:
        """Guards against gangs of fast workers that wait for a slow member."""
        self.pool.advance(8_000, LOAD)
        self.pool.advance(6_000)
        accept_job(self.pool.cell, _batch(is_gang=True, max_per_worker=1), self.pool.now_ms)
        since = len(self.pool.started)
        self.pool.advance(STEP_MS)
        speeds = {self.pool.speeds[run.worker] for run in self.pool.started[since:]}
        self.assertEqual(speeds, {1.2})

    def test_expected_ends_follow_the_model(self) -> None:
        """Guards against holds, and moves from draining workers, by estimates that never hold."""
        self.pool.advance(8_000, LOAD)
        self.pool.advance(1_000)
        for worker in self.pool.cell.workers.values():
            for run in worker.runs.values():
                end_ms = run.started_ms + self.pool.run_ms[run] / self.pool.speeds[worker.id]
                expected_ms = _expected_end_ms(run, self.pool.now_ms)
                self.assertLess(abs(expected_ms - end_ms), 900, worker.id)


class EqualPoolTest(unittest.TestCase):
    """Eight workers of the same speed."""

    def test_the_choice_of_workers_is_as_without_the_model(self) -> None:
        """Guards against a model that reads the noise of estimates as speed.

        The kinds differ in what their estimates are worth, and none of it is a worker's.
        """
        starts = []
        for options in (ON, SchedulerOptions()):
            pool = Pool([0.9] * 8, options)
            pool.factors[BATCH] = 0.4
            pool.advance(20_000, LOAD)
            starts.append([(run.worker, run.started_ms) for run in pool.started])
            self.assertEqual(pool.noted("worker slow"), [])
        self.assertEqual(starts[0], starts[1])

    def test_a_takeover_starts_neutral(self) -> None:
        """Guards against adopted runs, of unknown age, that make their workers look slow."""
        pool = Pool([1.0] * 4)
        pool.advance(1_500, LOAD)
        cell = Cell(config(), ON)
        for worker in pool.cell.workers.values():
            add_worker(cell, worker.info)
        for job in pool.cell.live_jobs.values():
            cell.restore(job.spec, None, pool.now_ms)
        for worker in pool.cell.workers.values():
            rows = [RunningRow(r.name, r.attempt, "", 90, 0.0) for r in worker.runs.values()]
            ended = [EndedRow(1, row.name, row.attempt, RunEnd.DONE, "") for row in rows]
            adopted = cell.workers[worker.id]
            apply_report(cell, adopted, rows, [], pool.now_ms, pool.now_ms)
            apply_report(cell, adopted, [], ended, pool.now_ms + 50, pool.now_ms + 50)
            supervise(cell, pool.now_ms + 1_100)
            self.assertEqual((adopted.speed_class, adopted.is_slow), (0, False))
            self.assertAlmostEqual(cell.speeds.get(adopted).speed, 1.0)


class SlowWorkerTest(unittest.TestCase):
    """Workers of a loaded pool that become seven times slower."""

    def test_it_is_found_within_two_seconds_and_its_runs_are_moved(self) -> None:
        """Guards against runs that stay on a worker which has become slow, and follow it there.

        Only runs that may be repeated are moved, and each starts again after its end.
        """
        pool = Pool([1.0] * 20)
        load = ((500, lambda: _batch(saves_progress=True)), (900, _batch))
        pool.advance(8_000, load)
        pool.speeds["w003"] = 1 / 7
        # One interval of reports, since a report that spans the change shows half of it.
        pool.advance(2_000 + STEP_MS, load)
        (marked,) = pool.noted("worker slow")
        self.assertEqual(marked["worker"], "w003")
        since = len(pool.started)
        pool.advance(2_000, load)
        self.assertNotIn("w003", pool.started_on(BATCH, since))
        moved = pool.noted("run moved")
        self.assertTrue(moved)
        for fields in moved:
            task = pool.cell.find_task(fields["task"])
            self.assertTrue(task.step.spec.saves_progress)
            self.assertFalse(task.duplicate_runs)
        pool.speeds["w003"] = 1.0
        pool.advance(6_000, load)
        self.assertEqual(len(pool.noted("worker no longer slow")), 1)
        self.assertFalse(pool.cell.workers["w003"].is_slow)

    def test_few_are_marked_and_a_slow_pool_has_none(self) -> None:
        """Guards against a pool without workers when half of it, or all of it, becomes slow."""
        for slow in (10, 20):
            pool = Pool([1.0] * 20)
            pool.advance(8_000, LOAD)
            for name in list(pool.speeds)[:slow]:
                pool.speeds[name] = 1 / 7
            for _ in range(40):
                pool.advance(STEP_MS, LOAD)
                marked = sum(worker.is_slow for worker in pool.cell.workers.values())
                self.assertLessEqual(marked, MAX_SLOW_SHARE * 20)

    def test_a_marked_worker_is_used_when_the_others_are_full(self) -> None:
        """Guards against work that waits beside free processors."""
        pool = Pool([1.0] * 4)
        pool.cell.workers["w000"].is_slow = True
        accept_job(pool.cell, make_job(make_step(14, SMALL)), pool.now_ms)
        pool.advance(STEP_MS)
        self.assertEqual(pool.started_on(BATCH)["w000"], 2)


class InvalidProgressTest(unittest.TestCase):
    """Progress and estimates that make no sense."""

    def test_speeds_stay_within_their_bounds(self) -> None:
        """Guards against a division by an estimate of 0, or a speed that grows without bound."""
        pool = Pool([1.0] * 4)
        for estimate_ms in (0, 1, 10**11):
            spec = make_job(make_step(40, SMALL, estimate_ms=estimate_ms, rack=RackId("")))
            accept_job(pool.cell, spec, pool.now_ms)
            pool._plan()
        rng = Random(3)
        for _ in range(300):
            pool.now_ms += 500
            for worker in pool.cell.workers.values():
                rows = [
                    RunningRow(run.name, run.attempt, "", rng.randrange(-5, 130), 0.0)
                    for run in worker.runs.values()
                ]
                apply_report(pool.cell, worker, rows, [], pool.now_ms, pool.now_ms)
                for run in worker.runs.values():
                    self.assertGreaterEqual(_expected_end_ms(run, pool.now_ms), pool.now_ms)
                known = pool.cell.speeds.get(worker)
                self.assertTrue(MIN_SPEED <= known.speed <= MAX_SPEED)
            supervise(pool.cell, pool.now_ms)
