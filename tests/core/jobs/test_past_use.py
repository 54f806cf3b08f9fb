"""Tests of past use in the order of waiting steps: a full cell with teams of unequal history."""

import unittest
from dataclasses import replace

from lagoonshelf_core.ids import QueueId, TeamId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.config import Team
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.past_use import MAX_PENALTY_MS, is_refunded
from lagoonshelf_core.jobs.planning import _rank_open_steps
from lagoonshelf_core.jobs.progress import RunEnd
from lagoonshelf_core.jobs.ranking import Band, hold_back
from tests.support.jobs import (
    BATCH,
    SMALL,
    URGENT,
    accept_job,
    add_worker,
    config,
    confirm_starts,
    make_job,
    make_step,
    plan_starts,
    worker_info,
)

HEAVY, LIGHT, NEW = TeamId("heavy"), TeamId("light"), TeamId("new")
HOUR_MS = 3_600_000
NOW_MS = 4 * HOUR_MS


class PastUseTest(unittest.TestCase):
    """Teams of equal weight on one worker of 64 cores."""

    def setUp(self) -> None:
        self.cell = self._cell(4.0)

    def _cell(self, half_life_h: float) -> Cell:
        teams = {name: Team(name, 10) for name in (HEAVY, LIGHT, NEW)}
        options = SchedulerOptions(usage_half_life_h=half_life_h)
        cell = Cell(replace(config(), teams=teams), options)
        add_worker(cell, worker_info(0))
        if cell.past_use is not None:
            cell.past_use.add_record({}, 0, 0)
        return cell

    def _add(
        self,
        team: TeamId,
        received_ms: int,
        count: int = 1,
        queue: QueueId = BATCH,
        **fields: object,
    ) -> None:
        spec = replace(make_job(make_step(count, **fields), queue=queue), team=team)
        accept_job(self.cell, spec, received_ms)

    def _run_services(self, counts: dict[TeamId, int], until_ms: int = NOW_MS) -> None:
        """Run services of four cores for some time."""
        for team, count in counts.items():
            self._add(team, 0, count, is_service=True)
        confirm_starts(self.cell, plan_starts(self.cell), 1)
        self.cell.past_use.charge(self.cell.workers, until_ms)

    def _order(self, now_ms: int = NOW_MS) -> list[TeamId]:
        return [step.job.spec.team for _, step, _ in _rank_open_steps(self.cell, now_ms)]

    def test_team_of_five_times_the_use_is_held_back_by_a_bounded_time(self) -> None:
        """Guards against hours of heavy use without effect, and against starving its team."""
        self._run_services({HEAVY: 10, LIGHT: 2})
        use = self.cell.past_use.use_core_ms(NOW_MS)
        self.assertAlmostEqual(use[HEAVY] / use[LIGHT], 5.0)
        self._add(HEAVY, 100_000)
        self._add(LIGHT, 110_000)
        self._add(LIGHT, 100_000 + MAX_PENALTY_MS)
        self.assertEqual(self._order(), [LIGHT, HEAVY, LIGHT])
        self.cell.past_use.is_known = False
        self.assertEqual(self._order(), [HEAVY, LIGHT, LIGHT])

    def test_newcomer_goes_first_and_a_lone_team_is_its_own_measure(self) -> None:
        """Guards against an entitlement by teams that wait for nothing."""
        self._run_services({HEAVY: 10, LIGHT: 2})
        standing = self.cell.past_use.standings([HEAVY], self.cell.cfg, NOW_MS)[HEAVY]
        self.assertEqual(standing.penalty_ms, 0)
        self._add(LIGHT, 100_000)
        self._add(NEW, 110_000)
        self.assertEqual(self._order(), [NEW, LIGHT])

    def test_use_is_forgotten_after_a_day(self) -> None:
        """Guards against holding back a team that returns for what it used the day before."""
        self._run_services({HEAVY: 1})
        past_use, later_ms = self.cell.past_use, NOW_MS + 24 * HOUR_MS
        past_use.add_record({HEAVY: 40 * HOUR_MS}, 0, NOW_MS)
        past_use.add_record({LIGHT: 40 * HOUR_MS}, 0, later_ms)
        self._add(LIGHT, 100_000)
        self._add(HEAVY, 110_000)
        self.assertEqual(self._order(later_ms), [HEAVY, LIGHT])

    def test_little_use_in_a_quiet_night_orders_nothing(self) -> None:
        """Guards against holding back the first team of the morning."""
        self._run_services({HEAVY: 4}, 60_000)
        self._add(HEAVY, 100_000)
        self._add(LIGHT, 110_000)
        self.assertEqual(self._order(), [HEAVY, LIGHT])

    def test_bands_and_the_jobs_of_a_team_keep_their_order(self) -> None:
        """Guards against past use above a class's guarantee."""
        self._run_services({HEAVY: 10, LIGHT: 2})
        for age_ms in (200, 201, 5_000, 9_000, 9_001, 50_000, 50_001):
            for team in (HEAVY, LIGHT):
                self._add(team, NOW_MS - age_ms)
                self._add(team, NOW_MS - age_ms, queue=URGENT)
        ranked = _rank_open_steps(self.cell, NOW_MS)
        self.cell.past_use = None
        bare = _rank_open_steps(self.cell, NOW_MS)
        self.assertNotEqual([row[1] for row in ranked], [row[1] for row in bare])
        self.assertEqual([row[0][0] for row in ranked], [row[0][0] for row in bare])
        for team in (HEAVY, LIGHT):
            steps = [[r[1] for r in rows if r[1].job.spec.team == team] for rows in (ranked, bare)]
            self.assertEqual(*steps)

    def test_nothing_changes_without_the_option_or_where_there_is_room(self) -> None:
        """Guards against work that is delayed by past use in a cell with room for all."""
        self.cell = self._cell(0.0)
        self.assertIsNone(self.cell.past_use)
        self._add(HEAVY, 100_000)
        self._add(LIGHT, 110_000)
        self.assertEqual(self._order(), [HEAVY, LIGHT])
        self.cell = self._cell(4.0)
        self._run_services({HEAVY: 10})
        add_worker(self.cell, worker_info(1))
        self._add(HEAVY, 100_000, 2)
        self._add(LIGHT, 110_000, 2)
        self.assertEqual(len(plan_starts(self.cell, NOW_MS)), 4)

    def test_a_step_on_time_is_held_back_by_part_of_its_slack(self) -> None:
        """Guards against an objective that is missed for past use."""
        self.assertEqual(hold_back((Band.ON_TIME, 100.0), MAX_PENALTY_MS), (Band.ON_TIME, 150.0))
        self.assertEqual(hold_back((Band.ON_TIME, 0.0), MAX_PENALTY_MS), (Band.ON_TIME, 0.0))
        self.assertEqual(hold_back((Band.SERVICE, 5), MAX_PENALTY_MS), (Band.SERVICE, 5))

    def test_the_cell_bears_what_it_lost_and_the_team_what_it_wasted(self) -> None:
        """Guards against free use by failing work, and charges for lost workers."""
        self._add(HEAVY, 0, 4)
        lost, failed, kept, halted = plan_starts(self.cell)
        confirm_starts(self.cell, [lost, failed, kept, halted], 1)
        kept.checkpoint = "half"
        past_use = self.cell.past_use
        past_use.charge(self.cell.workers, 1_001)
        self.assertAlmostEqual(past_use.use_core_ms(1_001)[HEAVY], 16_000, delta=2)
        for run, end in ((lost, RunEnd.LAPSED), (failed, RunEnd.FAILED), (kept, RunEnd.LAPSED)):
            self.cell.end_run(run, end, "", 2_001)
        self.assertAlmostEqual(past_use.use_core_ms(2_001)[HEAVY], 20_000, delta=2)
        self.assertTrue(is_refunded(halted, RunEnd.STOPPED))
        self.cell.cancel(halted.task.job.id, 0)
        self.assertFalse(is_refunded(halted, RunEnd.STOPPED))

    def test_memory_counts_as_the_cores_it_blocks(self) -> None:
        """Guards against use that is free because it takes another resource than CPU."""
        self._add(HEAVY, 0, size=replace(SMALL, memory_mib=65_536))
        confirm_starts(self.cell, plan_starts(self.cell), 1)
        self.cell.past_use.charge(self.cell.workers, 1_001)
        self.assertAlmostEqual(self.cell.past_use.use_core_ms(1_001)[HEAVY], 32_000, delta=2)

    def test_clock_jumps_age_a_record_by_one_half_life_at_most(self) -> None:
        """Guards against a history lost, or grown, by a wall clock that was set."""
        for age_ms, kept in ((400 * 24 * HOUR_MS, 0.5), (-HOUR_MS, 1.0)):
            past_use = self._cell(4.0).past_use
            past_use.add_record({HEAVY: 1e9}, age_ms, 0)
            self.assertAlmostEqual(past_use.use_core_ms(0)[HEAVY], kept * 1e9)


if __name__ == "__main__":
    unittest.main()
