"""Tests of the scheduling pass: which tasks start, and on which workers."""

import unittest
from random import Random

from lagoonshelf_core.jobs.progress import RunEnd
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources
from tests.support.jobs import (
    ADVISED,
    HOST,
    TEAM,
    URGENT,
    accept_job,
    config,
    confirm_starts,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_advice_requests,
    plan_starts,
)

HALF = Resources(32_000, 1_024)


class CapacityTest(unittest.TestCase):
    """No worker is allocated more than its capacity, no team more than its limit."""

    def test_random_loads_stay_within_capacity_and_limits(self) -> None:
        """Allocations must equal the sums over all runs, recomputed after each pass."""
        for seed in range(25):
            rng = Random(seed)
            limit = Resources(rng.randrange(50_000, 250_000), 0)
            cell = make_cell(5, config(limit))
            now_ms = 0
            for _ in range(12):
                now_ms += 500
                for _ in range(rng.randrange(4)):
                    accept_job(cell, _random_job(rng), now_ms)
                confirm_starts(cell, plan_starts(cell, now_ms), now_ms)
                self._check(cell, limit, seed)
                for run in _some_runs(cell, rng):
                    end_run(cell, run, rng.choice([RunEnd.DONE, RunEnd.FAILED, RunEnd.LAPSED]))

    def _check(self, cell: object, limit: Resources, seed: int) -> None:
        total = ZERO_RESOURCES
        for worker in cell.workers.values():
            used = ZERO_RESOURCES
            for run in worker.runs.values():
                used += run.size
            self.assertTrue(used.fits_in(HOST), f"seed {seed}: {worker.id} over its capacity")
            self.assertEqual(used, worker.used, f"seed {seed}")
            total += used
        self.assertLessEqual(total.cpu_milli, limit.cpu_milli, f"seed {seed}: over the limit")
        self.assertEqual(total, cell.team_allocations.get(TEAM, ZERO_RESOURCES), f"seed {seed}")

    def test_a_task_as_large_as_a_worker_starts(self) -> None:
        """The reserve for urgent tasks must not keep a large task from ever starting."""
        cell = make_cell(1)
        accept_job(cell, make_job(make_step(1, HOST)))
        self.assertEqual(len(plan_starts(cell)), 1)

    def test_memory_limits_placement(self) -> None:
        """A worker with free processors but no free memory must not get tasks."""
        cell = make_cell(1)
        accept_job(cell, make_job(make_step(3, Resources(1_000, 60_000))))
        self.assertEqual(len(plan_starts(cell)), 2)

    def test_a_filler_is_allocated_memory_but_no_cpu(self) -> None:
        """A best-effort filler uses only CPU that others leave idle."""
        cell = make_cell(1)
        accept_job(cell, make_job(make_step(3, Resources(60_000, 1_024), is_filler=True)))
        accept_job(cell, make_job(make_step(1, HALF)))
        self.assertEqual(len(plan_starts(cell)), 4)


class PriorityTest(unittest.TestCase):
    """Order of steps when not all of them fit."""

    def test_urgent_work_goes_before_older_batch_work(self) -> None:
        """An urgent job must start first, also if a batch job was submitted before it."""
        cell = make_cell(1)
        accept_job(cell, make_job(make_step(9, Resources(20_000, 1_024))), 0)
        urgent = accept_job(
            cell, make_job(make_step(1, Resources(20_000, 1_024)), queue=URGENT), 10
        )
        first = plan_starts(cell, 20)
        self.assertIs(first[0].task.job, urgent)

    def test_batch_work_leaves_capacity_for_urgent_work(self) -> None:
        """A burst of urgent jobs must find free processors on a worker filled by batch jobs."""
        cell = make_cell(1)
        accept_job(cell, make_job(make_step(64, Resources(1_000, 1_024))), 0)
        batch_runs = plan_starts(cell, 0)
        self.assertLess(len(batch_runs), 64)
        accept_job(cell, make_job(make_step(2, Resources(2_000, 1_024)), queue=URGENT), 10)
        self.assertEqual(len(plan_starts(cell, 10)), 2)

    def test_a_job_far_too_late_goes_last(self) -> None:
        """A job that is on time must start before one that is far too late."""
        cell = make_cell(1)
        accept_job(cell, make_job(make_step(1, HALF)), 0)
        on_time_job = accept_job(cell, make_job(make_step(1, HALF)), 100_000)
        self.assertIs(plan_starts(cell, 100_000)[0].task.job, on_time_job)

    def test_jobs_beyond_a_teams_rate_go_after_the_others(self) -> None:
        """A team that submits far more than its rate must not delay others (hot tenant)."""
        cfg = config()
        normal, hot = "calm", TEAM
        teams = {
            hot: cfg.teams[hot].__class__(hot, 1),
            normal: cfg.teams[hot].__class__(normal, 1),
        }
        cfg = cfg.__class__(1, cfg.queues, teams)
        cell = make_cell(1, cfg)
        for _ in range(33):
            accept_job(cell, make_job(make_step(1, HALF)), 0)
        spec = make_job(make_step(1, HALF))
        normal_job = accept_job(
            cell, spec.__class__(spec.id, normal, spec.queue, "", spec.steps), 5
        )
        accepted = [run.task.job for run in plan_starts(cell, 5)]
        excess_jobs = [other for other in cell.jobs.values() if other.is_excess]
        self.assertEqual(len(excess_jobs), 8)
        self.assertFalse(normal_job.is_excess)
        self.assertNotIn(True, [other.is_excess for other in accepted])


class OverloadTest(unittest.TestCase):
    """One team overloads the cell while others submit urgent jobs (trouble-3, both sites)."""

    def test_excess_jobs_leave_capacity_for_urgent_work_of_others(self) -> None:
        """Excess jobs must not fill capacity that urgent jobs leave while they wait for advice."""
        cell = make_cell(1)
        excess_job = accept_job(cell, make_job(make_step(200, Resources(1_000, 100))), 0)
        excess_job.is_excess = True
        self.assertLess(len(plan_starts(cell, 0)), 50)
        accept_job(cell, make_job(make_step(4, Resources(4_000, 100)), queue=URGENT), 10)
        self.assertEqual(len(plan_starts(cell, 10)), 4)

    def test_excess_jobs_run_where_capacity_is_free(self) -> None:
        """The reserve must not keep an excess task that needs most of a worker from starting."""
        cell = make_cell(1)
        excess_job = accept_job(cell, make_job(make_step(1, Resources(60_000, 100))), 0)
        excess_job.is_excess = True
        self.assertEqual(len(plan_starts(cell, 0)), 1)


class GangPlacementTest(unittest.TestCase):
    """Gangs start all their members or none."""

    def test_no_gang_member_starts_before_all_fit(self) -> None:
        """Only two of three members fit on the worker, so none may start."""
        cell = make_cell(1)
        accept_job(cell, make_job(make_step(3, Resources(25_000, 1_024), is_gang=True)))
        self.assertEqual(plan_starts(cell), [])

    def test_smaller_work_does_not_starve_a_gang(self) -> None:
        """Workers must be reserved for a gang, or a steady flow of small jobs takes each slot."""
        cell = make_cell(2)
        accept_job(cell, make_job(make_step(2, Resources(25_000, 1_024))), 0)
        running = plan_starts(cell, 0)
        confirm_starts(cell, running)
        gang = accept_job(cell, make_job(make_step(4, Resources(25_000, 1_024), is_gang=True)), 10)
        for now_ms in range(20, 500, 20):
            accept_job(cell, make_job(make_step(1, Resources(25_000, 1_024))), now_ms)
            started = plan_starts(cell, now_ms)
            confirm_starts(cell, started)
            if running:
                end_run(cell, running.pop())
            if any(run.task.job is gang for run in started):
                return
        self.fail("the gang did not start")

    def test_a_gang_prefers_one_rack(self) -> None:
        """All members are placed in one rack if it has enough capacity."""
        cell = make_cell(16)
        accept_job(cell, make_job(make_step(8, HALF, is_gang=True, same_rack=True)))
        racks = {cell.workers[run.worker].info.rack for run in plan_starts(cell)}
        self.assertEqual(len(racks), 1)


class ConstraintTest(unittest.TestCase):
    """Labels, limits per worker, order of steps, occurrences and draining workers."""

    def test_only_workers_with_the_label_are_used(self) -> None:
        """Tasks must not start on workers without the label."""
        cell = make_cell(4)
        accept_job(cell, make_job(make_step(8, label="a")))
        labels = {frozenset(cell.workers[run.worker].info.labels) for run in plan_starts(cell)}
        self.assertEqual(labels, {frozenset({"a"})})

    def test_max_per_worker_holds_over_several_passes(self) -> None:
        """The limit must include tasks started in earlier passes."""
        cell = make_cell(2)
        accept_job(cell, make_job(make_step(5, max_per_worker=2)))
        confirm_starts(cell, plan_starts(cell))
        self.assertEqual(plan_starts(cell, 10), [])
        for worker in cell.workers.values():
            self.assertEqual(len(worker.runs), 2)

    def test_steps_wait_for_the_steps_before(self) -> None:
        """A step must not start before all tasks of the steps it depends on are done."""
        cell = make_cell(1)
        accept_job(cell, make_job(make_step(2), make_step(1, after=(0,))))
        first = plan_starts(cell)
        self.assertEqual(len(first), 2)
        confirm_starts(cell, first)
        end_run(cell, first[0])
        self.assertEqual(plan_starts(cell, 10), [])
        end_run(cell, first[1])
        self.assertEqual(len(plan_starts(cell, 20)), 1)

    def test_occurrences_wait_for_their_time(self) -> None:
        """An occurrence starts when it is due, also while an earlier one is running."""
        cell = make_cell(1)
        accept_job(cell, make_job(occurrences=2, first_due_ms=1_000, interval_ms=500))
        self.assertEqual(plan_starts(cell, 999), [])
        self.assertEqual(len(plan_starts(cell, 1_000)), 1)
        self.assertEqual(len(plan_starts(cell, 1_500)), 1)
        self.assertEqual(plan_starts(cell, 9_000), [])

    def test_draining_workers_get_no_tasks(self) -> None:
        """No task may start on a worker once the registry shows that it is draining."""
        cell = make_cell(1)
        info = cell.workers["w000"].info
        cell.update_worker(
            info.__class__(
                info.id,
                info.address,
                info.pool,
                info.domain,
                info.rack,
                info.labels,
                info.capacity,
                info.born_ms,
                True,
            ),
            5,
        )
        accept_job(cell, make_job())
        self.assertEqual(plan_starts(cell, 10), [])


class AdviceTest(unittest.TestCase):
    """Queues with a placement policy."""

    def test_only_permitted_workers_are_used_and_only_while_permits_last(self) -> None:
        """Only one request is sent at a time; permits about to expire must not be used."""
        cell = make_cell(4)
        accept_job(cell, make_job(queue=ADVISED))
        (request,) = plan_advice_requests(cell)
        self.assertEqual(plan_advice_requests(cell), [])
        cell.permits.response_received(
            request.step.name, ADVISED, request.workers, {"w002": "t"}, 0, 2_000
        )
        (run,) = plan_starts(cell, 1_900) or [None]
        self.assertIsNone(run, "permits expire before the start command would arrive")
        cell.permits.response_received(
            request.step.name, ADVISED, request.workers, {"w002": "t"}, 2_000, 2_000
        )
        (run,) = plan_starts(cell, 2_000)
        self.assertEqual(run.worker, "w002")

    def test_a_request_lists_only_workers_that_may_be_allowed(self) -> None:
        """The policy's decision for a step does not change, so denied workers are left out."""
        cell = make_cell(4)
        accept_job(cell, make_job(queue=ADVISED))
        (request,) = plan_advice_requests(cell)
        cell.permits.response_received(
            request.step.name, ADVISED, request.workers, {"w002": "t"}, 0, 10
        )
        (again,) = plan_advice_requests(cell, 100)
        self.assertEqual(again.workers, ("w002",))


def _random_job(rng: Random) -> object:
    size = Resources(rng.randrange(500, 20_000), rng.randrange(100, 30_000))
    return make_job(make_step(rng.randrange(1, 7), size, is_gang=rng.random() < 0.3))


def _some_runs(cell: object, rng: Random) -> list:
    runs = [run for worker in cell.workers.values() for run in worker.runs.values()]
    return [run for run in runs if rng.random() < 0.4]
