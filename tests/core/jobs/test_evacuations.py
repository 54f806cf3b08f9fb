"""Tests of decisions about evacuated failure domains and of what follows an evacuation."""

import unittest
from dataclasses import replace

from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.config import Pool
from lagoonshelf_core.jobs.evacuations import Evacuations
from lagoonshelf_core.jobs.progress import Run
from lagoonshelf_core.jobs.spec import StepSpec
from lagoonshelf_core.jobs.supervision import supervise
from lagoonshelf_core.jobs.worker_reports import RunningRow, apply_report
from tests.support.jobs import (
    HOST,
    POOL,
    SMALL,
    accept_job,
    add_worker,
    config,
    confirm_starts,
    end_run,
    make_cell,
    make_job,
    make_step,
    plan_starts,
    take_stops,
    worker_info,
)

MAX_AGE_MS = 4_400
PER_HOST = HOST.cpu_milli // SMALL.cpu_milli


class KnowledgeTest(unittest.TestCase):
    """Answers of readings and watches that overtake each other."""

    def setUp(self) -> None:
        self.known = Evacuations()
        self.known.max_age_ms = MAX_AGE_MS

    def test_a_reading_that_was_overtaken_restores_no_domain(self) -> None:
        """Guards against an old answer that hides a request, and against its age."""
        self.known.replace((), 10, 100)
        self.assertTrue(self.known.change("d1", 12, is_evacuated=True))
        self.known.confirm(12, 200)
        self.known.replace((), 11, 5_000)
        self.assertEqual(self.known.domains, {"d1"})
        self.assertFalse(self.known.is_current(5_000, is_store_down=False))

    def test_a_change_that_a_reading_includes_is_not_applied_again(self) -> None:
        """Guards against a late watch that undoes what a reading has shown since."""
        self.known.replace(["d1"], 15, 100)
        self.assertFalse(self.known.change("d1", 12, is_evacuated=False))
        self.assertEqual(self.known.domains, {"d1"})

    def test_what_was_never_read_is_never_current(self) -> None:
        """Guards against starts in an outage that began before the first reading."""
        self.assertFalse(self.known.is_current(0, is_store_down=True))


class PlacementTest(unittest.TestCase):
    """Six workers, two in each of the domains d0, d1 and d2."""

    def setUp(self) -> None:
        self.cell = make_cell(6)
        self.cell.evacuations.max_age_ms = MAX_AGE_MS
        self.cell.evacuations.replace(["d1"], 1, 0)

    def _domains(self, runs: list[Run]) -> set[str]:
        return {self.cell.workers[run.worker].info.domain for run in runs}

    def test_nothing_is_placed_in_an_evacuated_domain(self) -> None:
        """Guards against tasks and gangs that wait for starts which are all withdrawn."""
        accept_job(self.cell, make_job(make_step(PER_HOST, is_gang=True)))
        accept_job(self.cell, make_job(make_step(6 * PER_HOST)))
        runs = plan_starts(self.cell)
        self.assertEqual(self._domains(runs), {"d0", "d2"})

    def test_a_gang_that_fits_only_with_the_domain_waits_whole(self) -> None:
        """Guards against a part of a gang that starts and holds capacity for nothing."""
        accept_job(self.cell, make_job(make_step(5 * PER_HOST, is_gang=True)))
        self.assertEqual(plan_starts(self.cell), [])

    def test_nothing_is_placed_by_old_knowledge(self) -> None:
        """Guards against starts after a request that is not known here yet."""
        accept_job(self.cell, make_job())
        self.assertEqual(plan_starts(self.cell, MAX_AGE_MS + 1), [])
        self.cell.is_store_down = True
        self.assertEqual(len(plan_starts(self.cell, MAX_AGE_MS + 1)), 1)


class MoveTest(unittest.TestCase):
    """Runs on the only worker of a domain that is evacuated while they work."""

    def _cell(self, outside: int, step: StepSpec) -> tuple[Cell, list[Run]]:
        """Return a cell whose runs are all in d0, with more workers outside that are empty."""
        cell = make_cell(1)
        accept_job(cell, make_job(step))
        runs = plan_starts(cell)
        confirm_starts(cell, runs)
        for number in range(1, outside + 1):
            add_worker(cell, worker_info(number, domain="d1"))
        cell.evacuations.max_age_ms = MAX_AGE_MS
        cell.evacuations.replace(["d0"], 1, 0)
        return cell, runs

    def _report(self, cell: Cell, percent: int, now_ms: int) -> None:
        worker = cell.workers["w000"]
        rows = [RunningRow(r.name, r.attempt, "", percent, 0.0) for r in worker.runs.values()]
        apply_report(cell, worker, rows, [], now_ms, now_ms)
        supervise(cell, now_ms)

    def test_services_are_moved_within_their_limit(self) -> None:
        """Guards against an evacuation that takes a whole service down."""
        step = make_step(4, is_service=True, max_unavailable=2)
        cell, _ = self._cell(2, step)
        self._report(cell, 100, 1_000)
        moved = take_stops(cell)
        self.assertEqual(len(moved), 2)
        self._report(cell, 100, 2_000)
        self.assertEqual(take_stops(cell), [])
        for run in moved:
            end_run(cell, run)
        started = plan_starts(cell, 2_100)
        self.assertEqual({run.worker for run in started}, {"w001", "w002"})

    def test_services_stay_where_there_is_no_room_elsewhere(self) -> None:
        """Guards against stopping what cannot start again."""
        cell, _ = self._cell(0, make_step(4, is_service=True))
        self._report(cell, 100, 1_000)
        self.assertEqual(take_stops(cell), [])

    def test_a_run_with_checkpoints_is_moved_if_it_is_slow(self) -> None:
        """Guards against runs left for long on slow workers, and against moves without a gain."""
        for percent, count in ((10, 1), (60, 0)):
            step = make_step(saves_progress=True, estimate_ms=20_000)
            cell, _ = self._cell(1, step)
            self._report(cell, percent, 20_000)
            self.assertEqual(len(take_stops(cell)), count, percent)

    def test_other_runs_end_by_themselves(self) -> None:
        """Guards against work that is thrown away although its worker goes on."""
        for fields in ({}, {"is_gang": True, "saves_progress": True}):
            cell, _ = self._cell(2, make_step(2, estimate_ms=20_000, **fields))
            self._report(cell, 10, 20_000)
            self.assertEqual(take_stops(cell), [], fields)


class ColdTest(unittest.TestCase):
    """A warm worker, and two that are cold for ten seconds after an evacuation."""

    def setUp(self) -> None:
        cfg = config()
        pool = Pool(POOL, cold_start_ms=10_000, cold_starts_per_s=2.0)
        self.cell = make_cell(1, replace(cfg, pools={POOL: pool}))
        self.cell.evacuations.max_age_ms = MAX_AGE_MS
        self.cell.evacuations.replace((), 1, 0)
        for number in (1, 2):
            add_worker(self.cell, worker_info(number, cold_left_ms=10_000))

    def _count_cold(self, runs: list[Run]) -> int:
        return sum(run.worker != "w000" for run in runs)

    def test_cold_workers_are_the_last_choice(self) -> None:
        """Guards against best fit or free room that makes cold workers the first choice."""
        accept_job(self.cell, make_job(make_step(PER_HOST // 2)))
        accept_job(self.cell, make_job(make_step(2, is_service=True)))
        self.assertEqual(self._count_cold(plan_starts(self.cell)), 0)

    def test_cold_workers_fill_slowly_until_they_are_warm(self) -> None:
        """Guards against a burst onto workers that have just come back."""
        accept_job(self.cell, make_job(make_step(3 * PER_HOST)))
        counts = []
        for now_ms in (0, 100, 900, 4_100, 4_200, 10_000):
            self.cell.evacuations.confirm(1, now_ms)
            counts.append(self._count_cold(plan_starts(self.cell, now_ms)))
        # Half of the slack at once. After 0.9 s each worker has a start, and a share for no more.
        self.assertEqual(counts[:5], [2, 0, 0, 2, 0])
        self.assertGreater(counts[5], PER_HOST)

    def test_a_large_task_does_not_wait_for_warm_workers(self) -> None:
        """Guards against work that no cold worker takes as its share is too small."""
        accept_job(self.cell, make_job(make_step(2, HOST)))
        self.assertEqual(len(plan_starts(self.cell)), 2)
