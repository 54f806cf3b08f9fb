"""Tests of the model of the workers' speeds and of what is decided by it.

The load is a pool of workers of unequal speed under jobs of short tasks whose estimates are off by
up to a fifth; workers report every second and at each end.
"""

import unittest
from dataclasses import replace
from random import Random

from lagoonshelf_core.jobs.advice_lanes import AdviceBudget
from lagoonshelf_core.jobs.advice_requests import MIN_WORKERS_PER_REQUEST
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import StartRun
from lagoonshelf_core.jobs.gang_placement import _expected_end_ms
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.planning import plan
from lagoonshelf_core.jobs.progress import Run, RunEnd, RunPhase
from lagoonshelf_core.jobs.slow_workers import MAX_SLOW_SHARE
from lagoonshelf_core.jobs.spec import JobSpec
from lagoonshelf_core.jobs.supervision import supervise
from lagoonshelf_core.jobs.worker_reports import EndedRow, RunningRow, apply_report
from lagoonshelf_core.jobs.worker_speeds import MAX_SPEED, MIN_SPEED
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    ADVICE_BUDGET_MS,
    ADVISED,
    BATCH,
    SMALL,
    URGENT,
    accept_job,
    add_worker,
    config,
    make_job,
    make_step,
    plan_advice_requests,
    worker_info,
)

STEP_MS = 100
REPORT_MS = 1_000
CAPACITY = Resources(16_000, 65_536, 0)
ON = SchedulerOptions(models_worker_speed=True)


class Pool:
    """Workers that work off their runs at given speeds; factors are run times in estimates."""

    def __init__(self, speeds: list[float], options: SchedulerOptions = ON) -> None:
        self.cell = Cell(config(), options)
        self.speeds = {
            add_worker(self.cell, worker_info(number, CAPACITY)).id: speed
            for number, speed in enumerate(speeds)
        }
        self.factors = {BATCH: 1.0, URGENT: 1.0}
        self.percent = lambda done: int(100 * done)
        self.now_ms = 1_000
        self.started: list[Run] = []
        self._rng = Random(7)
        self._done: dict[Run, float] = {}
        self._run_ms: dict[Run, float] = {}
        self._stopped: set[Run] = set()

    def advance(self, duration_ms: int, jobs: tuple = ()) -> None:
        """Let time pass; jobs are given by the interval of their arrivals and a builder."""
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
        plan(self.cell, self.now_ms, self.now_ms, AdviceBudget(ADVICE_BUDGET_MS))
        commands, self.cell.commands = self.cell.commands, []
        for command in commands:
            run, step = command.run, command.run.task.step
            if isinstance(command, StartRun):
                self.cell.start_confirmed(run, self.now_ms)
                factor = self._rng.uniform(0.8, 1.2) * self.factors[step.job.spec.queue]
                names = [name for w in self.cell.workers.values() for name, _ in w.runs]
                assert names.count(run.name) == 1, "a task in two places"
                self._run_ms[run] = max(step.spec.estimate_ms, 500) * factor
                self.started.append(run)
            else:
                tasks = step.running.values() if step.spec.is_gang else [run.task]
                self._stopped.update(task.run for task in tasks)

    def _work(self, worker: Worker, is_due: bool) -> None:
        rows, ended = [], []
        for run in worker.runs.values():
            step = run.task.step
            names = {task.run.worker for task in step.running.values() if step.spec.is_gang}
            speed = min(self.speeds[name] for name in names | {worker.id})
            done = self._done.get(run, 0.0) + STEP_MS * speed / self._run_ms[run]
            self._done[run] = done
            if run in self._stopped or done >= 1.0:
                end = RunEnd.STOPPED if run in self._stopped else RunEnd.DONE
                ended.append(EndedRow(1, run.name, run.attempt, end, ""))
            else:
                saved = f"{done:.1f}" if step.spec.saves_progress else ""
                rows.append(RunningRow(run.name, run.attempt, saved, self.percent(done), 0.0))
        if ended or is_due:
            apply_report(self.cell, worker, rows, ended, self.now_ms, self.now_ms)

    def noted(self, message: str) -> list[dict]:
        return [fields for name, fields in self.cell.notes if name == message]

    def start(self, spec: JobSpec, age_ms: int = 0) -> list[Run]:
        """Let a job arrive and return the runs that start at once."""
        accept_job(self.cell, spec, self.now_ms - age_ms)
        since = len(self.started)
        self.advance(STEP_MS)
        return [run for run in self.started[since:] if run.task.job.id == spec.id]


def _urgent() -> JobSpec:
    return make_job(make_step(3, estimate_ms=600), queue=URGENT)


def _batch(**fields: object) -> JobSpec:
    return make_job(make_step(6, estimate_ms=2_500, **fields))


LOAD = ((300, _urgent), (500, _batch))


class UnequalPoolTest(unittest.TestCase):
    """A quarter of 20 workers at 0.55, the others at 1.2, half loaded."""

    def setUp(self) -> None:
        self.pool = Pool([0.55] * 5 + [1.2] * 15)
        self.pool.factors[URGENT] = 1.8

    def test_urgent_work_goes_to_faster_workers_within_seconds(self) -> None:
        """Guards against slow workers that make a fixed share of the urgent jobs late."""
        self.pool.advance(10_000, LOAD)
        mean = (5 * 0.55 + 15 * 1.2) / 20
        for name, speed in self.pool.speeds.items():
            known = self.pool.cell.speeds.get(self.pool.cell.workers[name])
            self.assertAlmostEqual(known.speed, speed / mean, delta=0.2, msg=name)
        since = len(self.pool.started)
        self.pool.advance(5_000, LOAD)
        runs = [run for run in self.pool.started[since:] if run.task.job.spec.queue == URGENT]
        self.assertEqual({self.pool.speeds[run.worker] for run in runs}, {1.2})

    def test_a_gang_gets_workers_of_one_speed(self) -> None:
        """Guards against gangs of fast workers that wait for a slow member."""
        self.pool.advance(12_000, LOAD)
        self.pool.advance(6_000)
        gang = self.pool.start(_batch(is_gang=True, max_per_worker=1))
        self.assertEqual({self.pool.speeds[run.worker] for run in gang}, {1.2})

    def test_fast_workers_are_for_urgent_work_and_long_chains(self) -> None:
        """Guards against fast workers that are full of work which is in no hurry.

        The batch objective is 13 s; of the last job's, 9 s have passed.
        """
        cases = ((_urgent(), 0, "w001"), (_batch(), 0, "w000"), (_batch(), 9_000, "w001"))
        for spec, age_ms, name in cases:
            pool = Pool([1.0] * 2)
            pool.now_ms += age_ms
            pool.cell.workers["w001"].speed_class = 1
            self.assertEqual(pool.start(spec, age_ms)[0].worker, name)

    def test_advice_for_urgent_work_is_asked_for_fast_workers(self) -> None:
        """Guards against urgent work without permits for the fast workers, which are busier."""
        cfg = config()
        cfg.queues[ADVISED] = replace(cfg.queues[ADVISED], priority=0)
        cell = Cell(cfg, ON)
        for number in range(MIN_WORKERS_PER_REQUEST + 10):
            add_worker(cell, worker_info(number)).speed_class = number % 2
            if number % 2:
                cell.workers[f"w{number:03}"].used = SMALL
        accept_job(cell, make_job(queue=ADVISED))
        (request,) = plan_advice_requests(cell)
        self.assertEqual({cell.workers[w].speed_class for w in request.workers[:25]}, {1})


class EqualPoolTest(unittest.TestCase):
    """Eight workers of the same speed."""

    def test_the_choice_of_workers_is_as_without_the_model(self) -> None:
        """Guards against a model that reads kinds of task, or the noise of estimates, as speed."""
        starts = []
        for options in (ON, SchedulerOptions()):
            pool = Pool([0.9] * 8, options)
            pool.factors[BATCH] = 0.4
            pool.advance(20_000, LOAD)
            starts.append([(run.worker, run.started_ms) for run in pool.started])
            self.assertEqual(pool.noted("worker slow"), [])
        self.assertEqual(starts[0], starts[1])

    def test_draining_follows_the_model(self) -> None:
        """Guards against work that is withdrawn though it would end before its worker leaves.

        Runs last 0.4 of their estimate of 2.5 s, and the worker stays for 2 s.
        """
        pool = Pool([0.9] * 8)
        pool.factors[BATCH] = 0.4
        pool.advance(8_000, LOAD)
        for remaining_ms, is_moved in ((2_000, False), (800, True)):
            pool.advance(3_000)
            (run, *_) = pool.start(_batch(saves_progress=True))
            worker = pool.cell.workers[run.worker]
            worker.info = replace(worker.info, is_draining=True)
            worker.drain_end_ms = pool.now_ms + remaining_ms
            supervise(pool.cell, pool.now_ms + STEP_MS)
            end_ms = _expected_end_ms(run, pool.now_ms)
            self.assertAlmostEqual(end_ms, pool.now_ms + 0.4 * 2_500 / 0.9, delta=250)
            self.assertEqual(run.phase is RunPhase.STOPPING, is_moved)
            worker.info = replace(worker.info, is_draining=False)

    def test_a_takeover_starts_neutral(self) -> None:
        """Guards against adopted runs, of unknown age, that make their workers look slow."""
        pool = Pool([1.0])
        pool.advance(6_000, LOAD)
        running = [run for run in pool.started if run.task.run is run]
        rows = [RunningRow(run.name, run.attempt, "", 90, 0.0) for run in running]
        ended = [EndedRow(1, row.name, row.attempt, RunEnd.DONE, "") for row in rows]
        pool.cell = Cell(config(), ON)
        worker = add_worker(pool.cell, worker_info(0, CAPACITY))
        for run in running:
            pool.cell.restore(run.task.job.spec, None, pool.now_ms)
        apply_report(pool.cell, worker, rows, [], pool.now_ms, pool.now_ms)
        apply_report(pool.cell, worker, [], ended, pool.now_ms, pool.now_ms + 50)
        supervise(pool.cell, pool.now_ms + 1_100)
        self.assertAlmostEqual(pool.cell.speeds.get(worker).speed, 1.0)


class SlowWorkerTest(unittest.TestCase):
    """Workers of a loaded pool that become seven times slower."""

    def test_it_is_found_within_two_seconds_and_its_runs_are_moved(self) -> None:
        """Guards against runs that stay on a worker which has become slow, and follow it there.

        Only runs that may be repeated are moved; ``Pool`` checks that each has ended before.
        """
        pool = Pool([1.0] * 20)
        load = ((500, lambda: _batch(saves_progress=True)), (500, _batch))
        pool.advance(8_000, load)
        pool.speeds["w003"] = 1 / 7
        # One interval of reports, since a report that spans the change shows half of it.
        pool.advance(2_000 + STEP_MS, load)
        (marked,) = pool.noted("worker slow")
        self.assertEqual(marked["worker"], "w003")
        since = len(pool.started)
        pool.advance(2_000, load)
        self.assertNotIn("w003", {run.worker for run in pool.started[since:]})
        moved = [pool.cell.find_task(fields["task"]) for fields in pool.noted("run moved")]
        self.assertEqual({task.step.spec.saves_progress for task in moved}, {True})
        pool.speeds["w003"] = 1.0
        pool.advance(6_000, load)
        self.assertEqual(len(pool.noted("worker no longer slow")), 1)
        self.assertFalse(pool.cell.workers["w003"].is_slow)

    def test_a_gang_moves_as_a_whole(self) -> None:
        """Guards against gangs that stay on a slow worker, and marks for their other workers."""
        pool = Pool([1.0] * 16)
        pool.advance(6_000, LOAD)
        pool.advance(4_000)
        gang = {"is_gang": True, "max_per_worker": 1, "saves_progress": True}
        step = pool.start(make_job(make_step(4, estimate_ms=9_000, **gang)))[0].task.step
        slow = step.tasks[0].run.worker
        pool.speeds[slow] = 1 / 7
        pool.advance(4_000, LOAD)
        self.assertEqual({fields["worker"] for fields in pool.noted("worker slow")}, {slow})
        self.assertEqual({task.run.attempt for task in step.tasks}, {2})
        self.assertNotIn(slow, {task.run.worker for task in step.tasks})

    def test_few_are_marked_and_none_when_all_are_slow(self) -> None:
        """Guards against a pool without workers when many of them, or all, become slow."""
        for slow, most in ((6, MAX_SLOW_SHARE * 20), (20, 0)):
            pool = Pool([1.0] * 20)
            pool.advance(8_000, LOAD)
            for name in list(pool.speeds)[:slow]:
                pool.speeds[name] = 1 / 7
            marked = 0
            for _ in range(40):
                pool.advance(STEP_MS, LOAD)
                marked = max(marked, sum(w.is_slow for w in pool.cell.workers.values()))
            self.assertEqual(marked, most)

    def test_a_marked_worker_is_used_when_the_others_are_full(self) -> None:
        """Guards against work that waits beside free processors."""
        pool = Pool([1.0] * 4)
        pool.cell.workers["w000"].is_slow = True
        runs = pool.start(make_job(make_step(14)))
        self.assertEqual([run.worker for run in runs].count("w000"), 2)


class InvalidProgressTest(unittest.TestCase):
    """Progress and estimates that make no sense."""

    def test_speeds_stay_within_their_bounds(self) -> None:
        """Guards against a division by an estimate of 0, or a speed that grows without bound."""
        pool, rng = Pool([1.0] * 4), Random(3)
        pool.percent = lambda done: rng.randrange(-5, 130)
        for estimate_ms in (0, 1, 10**11):
            pool.start(make_job(make_step(4, estimate_ms=estimate_ms)))
        for _ in range(300):
            pool.advance(STEP_MS, LOAD)
            for worker in pool.cell.workers.values():
                known = pool.cell.speeds.get(worker)
                self.assertTrue(MIN_SPEED <= known.speed <= MAX_SPEED)
                for run in worker.runs.values():
                    self.assertGreaterEqual(_expected_end_ms(run, pool.now_ms), pool.now_ms)
