"""Load pattern: gangs that ask the placement policy, in a cell that is mostly full.

Few of the workers that the policy allows have room for more than one member, so that a gang needs
the answer for many workers at once. Seen on the grown andinas site: its gangs waited for a second
and third question while a third of all processors was idle.
"""

import unittest
from unittest.mock import patch

from bench.cell_cost import HOLD, MATCH, RENDER, grown_cell, mix, teams
from bench.cell_load import Outcome, arrivals
from lagoonshelf_core.jobs import advice_requests as policy_questions
from lagoonshelf_core.resources import Resources
from tests.support.jobs import (
    ADVISED,
    accept,
    cell,
    confirm,
    end,
    job,
    questions,
    starts,
    step,
)

WORKERS = 176
TEAMS = teams()
LOAD_MS = 12_000
END_MS = 45_000
# Workers that a question named at most before it was sized by what a step needs.
EARLIER_MAX_NAMED = 40


def _play(factor: float) -> Outcome:
    load = arrivals(mix(factor), [team.id for team in TEAMS], LOAD_MS, 5)
    return grown_cell(TEAMS, WORKERS, 0.45).play(load, END_MS)


class AdvisedGangsTest(unittest.TestCase):
    """The grown mix at one and a half of its rate, about the processors that there are."""

    def test_gangs_end_in_time_and_nobody_else_pays(self) -> None:
        """Compared with questions of the earlier size on the same load."""
        with patch.object(policy_questions, "MAX_NAMED", EARLIER_MAX_NAMED):
            earlier = _play(1.5)
        now = _play(1.5)
        self.assertGreaterEqual(now.in_time[RENDER], 0.9 * now.arrived[RENDER])
        self.assertGreater(now.in_time[RENDER], earlier.in_time[RENDER])
        for queue in (MATCH, HOLD):
            self.assertGreaterEqual(now.in_time[queue], 0.98 * earlier.in_time[queue])
        self.assertEqual(len(now.end_ms), sum(now.arrived.values()))


class LateGangsTest(unittest.TestCase):
    """Many late gangs that have no room anywhere."""

    def test_they_do_not_keep_others_from_being_asked_about(self) -> None:
        """A job long past its objective would run on idle workers (LOST, grown andinas)."""
        made = cell(4)
        for _ in range(2 * policy_questions.MAX_ADVISED_STEPS):
            accept(made, job(step(9, Resources(60_000, 1, 0), is_gang=True), queue=ADVISED))
        late_ms = 6_000
        for question in questions(made):
            permits = dict.fromkeys(question.workers, "permit")
            made.permits.response_received(
                question.step.name, ADVISED, question.workers, permits, 2_000
            )
        small = accept(made, job(queue=ADVISED))
        small.received_ms = -100_000
        asked = set()
        for now_ms in range(late_ms, late_ms + 1_000, 10):
            asked.update(question.step.job.id for question in questions(made, now_ms))
        self.assertIn(small.id, asked)

    def test_work_on_time_is_asked_about_first(self) -> None:
        """Looks at late steps are few in a pass."""
        made = cell(4)
        for _ in range(2 * policy_questions.MAX_ADVISED_STEPS):
            accept(made, job(queue=ADVISED)).received_ms = -4_000
        fresh = accept(made, job(queue=ADVISED))
        asked = [question.step.job.id for question in questions(made)]
        self.assertEqual(asked[0], fresh.id)
        self.assertLessEqual(len(asked), 1 + policy_questions.MAX_LATE_CHECKS)

    def test_room_is_kept_free_for_the_first_of_them(self) -> None:
        """Single tasks of its band would take each free place (LOST, grown andinas)."""
        made = cell(4)
        size = Resources(30_000, 1, 0)
        earlier = accept(made, job(step(4, size)))
        running = starts(made)
        confirm(made, running)
        gang = accept(made, job(step(8, size, is_gang=True)))
        others = [accept(made, job(step(4, size))) for _ in range(9)]
        for number, late in enumerate((gang, *others)):
            late.received_ms = number - 100_000
        for run in running:
            self.assertEqual(starts(made, 100), [], "room for one at a time")
            end(made, run)
        self.assertTrue(earlier.is_final)
        begun = starts(made, 200)
        self.assertEqual({run.task.job for run in begun}, {gang})
        self.assertEqual(len(begun), 8, "it leaves no reserve, as it could not run beside one")
