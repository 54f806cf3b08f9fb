"""Tests of past use in the order of waiting steps: a full cell with teams of unequal history."""

import unittest
from dataclasses import replace

from lagoonshelf_core.ids import TeamId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.config import Team
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.past_use import MAX_PENALTY_MS
from lagoonshelf_core.jobs.planning import _rank_open_steps
from lagoonshelf_core.jobs.progress import RunEnd
from lagoonshelf_core.jobs.ranking import Band, hold_back
from lagoonshelf_core.jobs.scheduling_pass import SchedulingPass
from tests.support import jobs
from tests.support.jobs import SMALL, URGENT, make_job, make_step, plan_starts

HEAVY, LIGHT, NEW = TeamId("heavy"), TeamId("light"), TeamId("new")
DAY_MS = 86_400_000
NOW_MS = DAY_MS // 6


class PastUseTest(unittest.TestCase):
    """Teams of equal weight on one worker of 64 cores."""

    def setUp(self) -> None:
        self._create_cell(4.0)
        self.past_use.add_record({}, 0, 0)

    def _create_cell(self, half_life_h: float) -> None:
        teams = {name: Team(name, 10) for name in (HEAVY, LIGHT, NEW)}
        options = SchedulerOptions(usage_half_life_h=half_life_h)
        self.cell = Cell(replace(jobs.config(), teams=teams), options)
        jobs.add_worker(self.cell, jobs.worker_info(0))
        self.past_use = self.cell.past_use

    def _add(self, team: TeamId, received_ms: int, *step: object, **fields: object) -> None:
        # An objective of 43 s, above the bound on penalties.
        spec = make_job(make_step(*step, **{"estimate_ms": 10_000, **fields}))
        jobs.accept_job(self.cell, replace(spec, team=team), received_ms)

    def _start(self, now_ms: int) -> list:
        jobs.confirm_starts(self.cell, runs := plan_starts(self.cell, now_ms), now_ms)
        return runs

    def _run_services(self, heavy: int, light: int, until_ms: int = NOW_MS) -> None:
        self._add(HEAVY, 0, heavy, is_service=True)
        self._add(LIGHT, 0, light, is_service=True)
        self._start(1)
        self.past_use.charge(self.cell.workers, until_ms)

    def _rank(self, now_ms: int = NOW_MS) -> list:
        return _rank_open_steps(self.cell, SchedulingPass(now_ms, {}))

    def _order(self, now_ms: int = NOW_MS) -> list[TeamId]:
        return [step.job.spec.team for _, step, _ in self._rank(now_ms)]

    def test_five_times_the_use_is_held_back_by_a_bounded_time_and_behind_newcomers(self) -> None:
        """Guards against hours of heavy use without effect, and against starving its team."""
        self._run_services(10, 2)
        use = self.past_use.use_core_ms(NOW_MS)
        self.assertAlmostEqual(use[HEAVY] / use[LIGHT], 5.0)
        alone = self.past_use.standings([HEAVY], self.cell.cfg, NOW_MS)
        self.assertEqual(alone[HEAVY].penalty_ms, 0)
        for team, after_ms in ((HEAVY, 0), (LIGHT, 10_000), (LIGHT, MAX_PENALTY_MS)):
            self._add(team, 100_000 + after_ms)
        self.assertEqual(self._order(), [LIGHT, HEAVY, LIGHT])
        self._add(NEW, 111_000)
        self.assertEqual(self._order()[-2:], [HEAVY, LIGHT])
        self.past_use.is_known = False
        self.assertEqual(self._order(), [HEAVY, LIGHT, NEW, LIGHT])

    def test_late_work_is_held_back_while_it_is_of_use(self) -> None:
        """Guards against a penalty that outlasts the use of short jobs.

        On a played day it took a fifth of what the worst-served teams got.
        """
        self._run_services(10, 2)
        for team, after_ms in ((HEAVY, 0), (LIGHT, 5_000), (LIGHT, 8_000)):
            self._add(team, 100_000 + after_ms, estimate_ms=1_000)
        self.assertEqual(self._order(), [LIGHT, HEAVY, LIGHT])

    def test_a_day_away_and_a_quiet_night_count_for_little(self) -> None:
        """Guards against holding back who returns, or who comes first in the morning."""
        self._run_services(4, 1, 60_000)
        self._add(HEAVY, 100_000)
        self._add(LIGHT, 110_000)
        self.assertEqual(self._order(), [HEAVY, LIGHT])
        self.past_use.add_record({LIGHT: DAY_MS}, 0, NOW_MS)
        self.past_use.add_record({HEAVY: DAY_MS}, 0, NOW_MS + DAY_MS)
        self.assertEqual(self._order(NOW_MS + DAY_MS), [LIGHT, HEAVY])

    def test_bands_and_the_jobs_of_a_team_keep_their_order(self) -> None:
        """Guards against past use above a class's guarantee or objective."""
        self._run_services(10, 2)
        for age_ms in (200, 201, 5_000, 9_000, 9_001, 50_000, 50_001):
            for team in (HEAVY, LIGHT):
                self._add(team, NOW_MS - age_ms)
                urgent = replace(make_job(queue=URGENT), team=team)
                jobs.accept_job(self.cell, urgent, NOW_MS - age_ms)
        ranked, self.cell.past_use = self._rank(), None
        bare = self._rank()
        self.assertNotEqual([row[1] for row in ranked], [row[1] for row in bare])
        self.assertEqual([row[0][0] for row in ranked], [row[0][0] for row in bare])
        for team in (HEAVY, LIGHT):
            steps = [[r[1] for r in rows if r[1].job.spec.team == team] for rows in (ranked, bare)]
            self.assertEqual(*steps)
        self.assertEqual(hold_back((Band.ON_TIME, 100.0), MAX_PENALTY_MS), (Band.ON_TIME, 150.0))

    def test_nothing_changes_without_the_option_or_where_there_is_room(self) -> None:
        """Guards against work that is delayed by past use in a cell with room for all."""
        self._run_services(10, 1)
        jobs.add_worker(self.cell, jobs.worker_info(1))
        self._add(HEAVY, 100_000, 2)
        self._add(LIGHT, 110_000, 2)
        self.assertEqual(len(plan_starts(self.cell, NOW_MS)), 4)
        self._create_cell(0.0)
        self.assertIsNone(self.past_use)

    def test_the_cell_bears_what_it_lost_and_the_team_what_it_wasted(self) -> None:
        """Guards against free use by failing, cancelled or memory-bound work."""
        # A third of the memory: as much as 21.3 of the 64 cores, though a task has four.
        self._add(HEAVY, 0, 3, replace(SMALL, memory_mib=131_072 // 3))
        lost, failed, kept = self._start(1)
        kept.checkpoint = "half"
        self.past_use.charge(self.cell.workers, 1_001)
        charged = [self.past_use.use_core_ms(1_001)[HEAVY]]
        for run, end in ((lost, RunEnd.LAPSED), (failed, RunEnd.FAILED), (kept, RunEnd.LAPSED)):
            self.cell.end_run(run, end, "", 2_001)
        charged.append(self.past_use.use_core_ms(2_001)[HEAVY])
        (again, *_) = self._start(3_000)
        self.cell.cancel(again.task.job.id, 0)
        self.cell.end_run(again, RunEnd.STOPPED, "", 4_000)
        charged.append(self.past_use.use_core_ms(4_000)[HEAVY])
        for found, expected in zip(charged, (64_000, 85_333, 106_666), strict=True):
            self.assertAlmostEqual(found, expected, delta=30)
