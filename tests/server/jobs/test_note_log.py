"""Tests of the lines of decisions under load."""

import unittest

from lagoonshelf_core.jobs.planning import TASKS_PLACED
from lagoonshelf_core.jobs.worker_reports import TASKS_DONE
from lagoonshelf_server.jobs.note_log import (
    LINES_PER_S,
    MAX_MERGED_LINES,
    MAX_TASKS_PER_LINE,
    NoteLog,
)


def _placed(request: object, worker: str, tasks: list) -> dict[str, object]:
    return {"request": request, "step": f"{request}.0.0", "workers": {worker: tasks}}


class NoteLogTest(unittest.TestCase):
    """A leader that has written all lines of placements of a second."""

    def setUp(self) -> None:
        """Use up the lines of the second from 1,000 ms on."""
        self.log = NoteLog()
        for number in range(LINES_PER_S):
            self.assertEqual(len(self.log.add(TASKS_PLACED, _placed(number, "w", []), 1_000)), 1)

    def test_lines_of_a_step_are_merged(self) -> None:
        """Guards against tasks without a line, and against a line for each pass or report."""
        for number in range(30):
            fields = _placed("a", f"w{number % 3}", [(number, 1)])
            self.assertEqual(self.log.add(TASKS_PLACED, fields, 1_100), [])
            done = {"request": "a", "step": "a.0.0", "worker": "w1", "tasks": [number]}
            self.assertEqual(self.log.add(TASKS_DONE, done, 1_100), [])
        placed, done = self.log.take_due(2_100)
        self.assertEqual(sum(map(len, placed[1]["workers"].values())), 30)
        self.assertEqual(sorted(done[1]["workers"]["w1"]), list(range(30)))
        self.assertEqual(placed[1]["notes"], 30)

    def test_requests_that_end_badly_go_first(self) -> None:
        """Guards against dropping the placements of a request that an operator asks for."""
        for number in range(LINES_PER_S + MAX_MERGED_LINES):
            self.log.add(TASKS_PLACED, _placed(f"r{number}", "w", [(0, 1)]), 1_100)
            if number == 0:
                (line,) = self.log.add("run ended", {"request": "r0"}, 1_100)
                self.assertEqual(line[0], "run ended")
        self.log.mark_bad("r777")
        lines = self.log.take_due(2_100)
        self.assertEqual([lines[0][1]["request"], lines[1][1]["request"]], ["r0", "r777"])
        self.assertEqual(lines[-1], ("placements left out", {"count": LINES_PER_S}))
        self.assertEqual(len(lines), LINES_PER_S + 1)
        self.assertEqual(self.log.take_due(2_200), [])
        rest = self.log.take_due(2_200, is_last=True)
        self.assertEqual(len(rest), MAX_MERGED_LINES - LINES_PER_S)

    def test_line_of_a_wide_job_is_bounded(self) -> None:
        """Guards against a line of megabytes."""
        tasks = [(index, 1) for index in range(MAX_TASKS_PER_LINE)]
        for _ in range(3):
            self.log.add(TASKS_PLACED, _placed("a", "w", tasks), 1_100)
        ((_, fields),) = self.log.take_due(2_100)
        self.assertEqual(len(fields["workers"]["w"]), MAX_TASKS_PER_LINE)
        self.assertEqual(fields["more"], 2 * MAX_TASKS_PER_LINE)
