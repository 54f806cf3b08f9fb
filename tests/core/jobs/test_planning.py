"""Tests of the pass that decides what starts, and where."""

import unittest
from random import Random

from lagoonshelf_core.jobs.progress import RunEnd
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources
from tests.support.jobs import (
    ADVISED,
    HOST,
    TEAM,
    URGENT,
    accept,
    cell,
    config,
    confirm,
    end,
    job,
    questions,
    starts,
    step,
)

HALF = Resources(32_000, 1_024)


class RoomTest(unittest.TestCase):
    """No worker is given more than it holds, no team more than its limit."""

    def test_random_loads_stay_within_capacity_and_limits(self) -> None:
        """Against sums over all runs that are counted anew after each pass."""
        for seed in range(25):
            rng = Random(seed)
            limit = Resources(rng.randrange(50_000, 250_000), 0)
            made = cell(5, config(limit))
            now_ms = 0
            for _ in range(12):
                now_ms += 500
                for _ in range(rng.randrange(4)):
                    accept(made, _random_job(rng), now_ms)
                confirm(made, starts(made, now_ms), now_ms)
                self._check(made, limit, seed)
                for run in _some_runs(made, rng):
                    end(made, run, rng.choice([RunEnd.DONE, RunEnd.FAILED, RunEnd.LAPSED]))

    def _check(self, made: object, limit: Resources, seed: int) -> None:
        total = ZERO_RESOURCES
        for worker in made.workers.values():
            used = ZERO_RESOURCES
            for run in worker.runs.values():
                used += run.size
            self.assertTrue(used.fits_in(HOST), f"seed {seed}: {worker.id} over its capacity")
            self.assertEqual(used, worker.used, f"seed {seed}")
            total += used
        self.assertLessEqual(total.cpu_milli, limit.cpu_milli, f"seed {seed}: over the limit")
        self.assertEqual(total, made.team_use.get(TEAM, ZERO_RESOURCES), f"seed {seed}")

    def test_a_task_as_large_as_a_worker_starts(self) -> None:
        """What is left free for urgent tasks does not keep it waiting for ever."""
        made = cell(1)
        accept(made, job(step(1, HOST)))
        self.assertEqual(len(starts(made)), 1)

    def test_memory_binds_too(self) -> None:
        """A worker with free processors and no memory gets nothing."""
        made = cell(1)
        accept(made, job(step(3, Resources(1_000, 60_000))))
        self.assertEqual(len(starts(made)), 2)

    def test_a_filler_holds_memory_but_no_processors(self) -> None:
        """Its processors are what others leave."""
        made = cell(1)
        accept(made, job(step(3, Resources(60_000, 1_024), is_filler=True)))
        accept(made, job(step(1, HALF)))
        self.assertEqual(len(starts(made)), 4)


class OrderTest(unittest.TestCase):
    """Who goes first when not all fits."""

    def test_urgent_work_goes_before_older_batch_work(self) -> None:
        """It is served with the room that batch work left."""
        made = cell(1)
        accept(made, job(step(9, Resources(20_000, 1_024))), 0)
        urgent = accept(made, job(step(1, Resources(20_000, 1_024)), queue=URGENT), 10)
        first = starts(made, 20)
        self.assertIs(first[0].task.job, urgent)

    def test_batch_work_leaves_room_for_urgent_work(self) -> None:
        """A burst of urgent jobs finds some processors free at once."""
        made = cell(1)
        accept(made, job(step(64, Resources(1_000, 1_024))), 0)
        batch = starts(made, 0)
        self.assertLess(len(batch), 64)
        accept(made, job(step(2, Resources(2_000, 1_024)), queue=URGENT), 10)
        self.assertEqual(len(starts(made, 10)), 2)

    def test_work_past_all_use_goes_last(self) -> None:
        """A job on time goes before one that is far too late."""
        made = cell(1)
        accept(made, job(step(1, HALF)), 0)
        fresh = accept(made, job(step(1, HALF)), 100_000)
        self.assertIs(starts(made, 100_000)[0].task.job, fresh)

    def test_a_flood_beyond_a_teams_rate_goes_after_the_others(self) -> None:
        """One team hands in many times its usual (hot tenant)."""
        cfg = config()
        calm, hot = "calm", TEAM
        teams = {hot: cfg.teams[hot].__class__(hot, 1), calm: cfg.teams[hot].__class__(calm, 1)}
        cfg = cfg.__class__(1, cfg.queues, teams)
        made = cell(1, cfg)
        for _ in range(33):
            accept(made, job(step(1, HALF)), 0)
        spec = job(step(1, HALF))
        calm_job = accept(made, spec.__class__(spec.id, calm, spec.queue, "", spec.steps), 5)
        accepted = [run.task.job for run in starts(made, 5)]
        excess = [other for other in made.jobs.values() if other.is_excess]
        self.assertEqual(len(excess), 8)
        self.assertFalse(calm_job.is_excess)
        self.assertNotIn(True, [other.is_excess for other in accepted])


class OverloadTest(unittest.TestCase):
    """A hot team floods a full cell while others hand in urgent work (trouble-3, both sites)."""

    def test_a_flood_leaves_room_for_urgent_work_of_others(self) -> None:
        """Room that better work has left for lack of advice is not filled to the brim."""
        made = cell(1)
        flood = accept(made, job(step(200, Resources(1_000, 100))), 0)
        flood.is_excess = True
        self.assertLess(len(starts(made, 0)), 50)
        accept(made, job(step(4, Resources(4_000, 100)), queue=URGENT), 10)
        self.assertEqual(len(starts(made, 10)), 4)

    def test_a_flood_still_runs_where_there_is_room(self) -> None:
        """Also a task that needs most of a worker."""
        made = cell(1)
        flood = accept(made, job(step(1, Resources(60_000, 100))), 0)
        flood.is_excess = True
        self.assertEqual(len(starts(made, 0)), 1)


class GangPlacementTest(unittest.TestCase):
    """Gangs start whole or not at all."""

    def test_no_member_starts_before_all_fit(self) -> None:
        """Three halves do not fit on one worker."""
        made = cell(1)
        accept(made, job(step(3, Resources(25_000, 1_024), is_gang=True)))
        self.assertEqual(starts(made), [])

    def test_smaller_work_does_not_starve_a_gang(self) -> None:
        """Batch work that keeps coming is held back from workers where the gang will fit."""
        made = cell(2)
        accept(made, job(step(2, Resources(25_000, 1_024))), 0)
        running = starts(made, 0)
        confirm(made, running)
        gang = accept(made, job(step(4, Resources(25_000, 1_024), is_gang=True)), 10)
        for now_ms in range(20, 500, 20):
            accept(made, job(step(1, Resources(25_000, 1_024))), now_ms)
            started = starts(made, now_ms)
            confirm(made, started)
            if running:
                end(made, running.pop())
            if any(run.task.job is gang for run in started):
                return
        self.fail("the gang did not start")

    def test_a_gang_prefers_one_rack(self) -> None:
        """Where one rack holds all of it."""
        made = cell(16)
        accept(made, job(step(8, HALF, is_gang=True, same_rack=True)))
        racks = {made.workers[run.worker].info.rack for run in starts(made)}
        self.assertEqual(len(racks), 1)


class ConstraintTest(unittest.TestCase):
    """Labels, racks and bounds per worker."""

    def test_labels_bind(self) -> None:
        """Only workers with the label are used."""
        made = cell(4)
        accept(made, job(step(8, label="a")))
        labels = {frozenset(made.workers[run.worker].info.labels) for run in starts(made)}
        self.assertEqual(labels, {frozenset({"a"})})

    def test_the_bound_per_worker_holds_over_passes(self) -> None:
        """Also while earlier tasks run."""
        made = cell(2)
        accept(made, job(step(5, max_per_worker=2)))
        confirm(made, starts(made))
        self.assertEqual(starts(made, 10), [])
        for worker in made.workers.values():
            self.assertEqual(len(worker.runs), 2)

    def test_steps_wait_for_the_steps_before(self) -> None:
        """All tasks of these must be done."""
        made = cell(1)
        accept(made, job(step(2), step(1, after=(0,))))
        first = starts(made)
        self.assertEqual(len(first), 2)
        confirm(made, first)
        end(made, first[0])
        self.assertEqual(starts(made, 10), [])
        end(made, first[1])
        self.assertEqual(len(starts(made, 20)), 1)

    def test_occurrences_wait_for_their_time(self) -> None:
        """Each one starts when it is due, also while an earlier one runs."""
        made = cell(1)
        accept(made, job(occurrences=2, first_due_ms=1_000, interval_ms=500))
        self.assertEqual(starts(made, 999), [])
        self.assertEqual(len(starts(made, 1_000)), 1)
        self.assertEqual(len(starts(made, 1_500)), 1)
        self.assertEqual(starts(made, 9_000), [])

    def test_draining_workers_get_nothing(self) -> None:
        """From the moment the registry says so."""
        made = cell(1)
        info = made.workers["w000"].info
        made.see_worker(
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
        accept(made, job())
        self.assertEqual(starts(made, 10), [])


class AdviceTest(unittest.TestCase):
    """Queues with a placement policy."""

    def test_only_permitted_workers_are_used_and_only_while_permits_last(self) -> None:
        """The question is asked once while it is open."""
        made = cell(4)
        accept(made, job(queue=ADVISED))
        (question,) = questions(made)
        self.assertEqual(questions(made), [])
        made.permits.answered(question.step.name, ADVISED, question.workers, {"w002": "t"}, 2_000)
        (run,) = starts(made, 1_900) or [None]
        self.assertIsNone(run, "permits end before the order would arrive")
        made.permits.answered(question.step.name, ADVISED, question.workers, {"w002": "t"}, 4_000)
        (run,) = starts(made, 2_000)
        self.assertEqual(run.worker, "w002")

    def test_a_question_names_only_workers_that_may_be_allowed(self) -> None:
        """What the policy allows for a step does not change."""
        made = cell(4)
        accept(made, job(queue=ADVISED))
        (question,) = questions(made)
        made.permits.answered(question.step.name, ADVISED, question.workers, {"w002": "t"}, 10)
        (again,) = questions(made, 100)
        self.assertEqual(again.workers, ("w002",))


def _random_job(rng: Random) -> object:
    size = Resources(rng.randrange(500, 20_000), rng.randrange(100, 30_000))
    return job(step(rng.randrange(1, 7), size, is_gang=rng.random() < 0.3))


def _some_runs(made: object, rng: Random) -> list:
    runs = [run for worker in made.workers.values() for run in worker.runs.values()]
    return [run for run in runs if rng.random() < 0.4]
