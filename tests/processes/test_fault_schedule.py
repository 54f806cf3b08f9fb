"""Tests of separate processes under random fault schedules.

To run other seeds: ``python -m tests.processes.test_fault_schedule 20 21 22``
"""

import sys

from lagoonshelf_standins.checker import check_all
from lagoonshelf_standins.clients import Clients
from lagoonshelf_standins.workers import DEFAULT_CAPACITY
from tests.support.base import CellTestCase
from tests.support.faults import make_schedule, run_under_faults

FAULT_COUNT = 4
TEAM_LIMIT = 40


class FaultScheduleTest(CellTestCase):
    """Four daemons under a random fault schedule."""

    daemons = 4

    def document(self) -> dict:
        document = super().document()
        for team in document["teams"].values():
            team["limit_tasks"] = TEAM_LIMIT
        return document

    def test_seed_1(self) -> None:
        """Guards against lost and duplicate runs under the fault schedule of seed 1."""
        self.check_seed(1)

    def test_seed_2(self) -> None:
        """Guards against lost and duplicate runs under the fault schedule of seed 2."""
        self.check_seed(2)

    def test_seed_3(self) -> None:
        """Guards against lost and duplicate runs under the fault schedule of seed 3."""
        self.check_seed(3)

    def check_seed(self, seed: int) -> None:
        """Run work under the schedule of a seed and check worker events and client answers."""
        workers = [f"w{number:03d}" for number in range(self.workers)]
        schedule = make_schedule(seed, FAULT_COUNT, sorted(self.cell.daemons), workers)
        clients = Clients(self.cell)
        label = f"seed {seed}: " + "; ".join(f"{f.kind} {f.target}" for f in schedule)
        try:
            jobs = run_under_faults(self.cell, schedule, clients)
        except TimeoutError as exc:
            self.fail(f"{label}\n{exc}")
        limits = {"fitting": TEAM_LIMIT, "slips": TEAM_LIMIT}
        violations = check_all(self.cell.history(), DEFAULT_CAPACITY, limits, clients.calls)
        self.assertEqual(violations, [], label)
        lost = [key for key, answer in clients.final_answers.items() if not answer]
        self.assertEqual(lost, [], label)
        repeatable_tasks = jobs["job-True"]["tasks"]
        self.assertEqual(repeatable_tasks["finished"], repeatable_tasks["total"], label)
        non_repeatable_tasks = jobs["job-False"]["tasks"]
        self.assertEqual(
            non_repeatable_tasks["finished"] + non_repeatable_tasks["failed"],
            non_repeatable_tasks["total"],
            label,
        )


def main() -> int:
    """Run the seeds given as arguments and return the exit code."""
    failed = 0
    for seed in sys.argv[1:]:
        case = FaultScheduleTest("check_seed")
        try:
            case.setUp()
            case.check_seed(int(seed))
            print(f"seed {seed}: passed")
        except AssertionError as exc:
            failed += 1
            print(f"seed {seed}: failed: {exc}")
        finally:
            case.doCleanups()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
