"""Random faults over real processes, by seed.

More seeds: python -m tests.processes.test_fault_schedule 20 21 22
"""

import sys

from lagoonshelf_standins.callers import Callers
from lagoonshelf_standins.checker import check_all
from lagoonshelf_standins.workers import DEFAULT_CAPACITY
from tests.support.base import CellTestCase
from tests.support.faults import make_schedule, run_under_faults

FAULT_COUNT = 4
TEAM_LIMIT = 40


class FaultScheduleTest(CellTestCase):
    """Invariants and completeness under a random schedule."""

    daemons = 4

    def document(self) -> dict:
        document = super().document()
        for team in document["teams"].values():
            team["limit_tasks"] = TEAM_LIMIT
        return document

    def test_seed_1(self) -> None:
        """Guards against losses and duplicates in the schedule of seed 1."""
        self.check_seed(1)

    def test_seed_2(self) -> None:
        """Guards against losses and duplicates in the schedule of seed 2."""
        self.check_seed(2)

    def test_seed_3(self) -> None:
        """Guards against losses and duplicates in the schedule of seed 3."""
        self.check_seed(3)

    def check_seed(self, seed: int) -> None:
        """Run one schedule and check what workers and callers saw."""
        workers = [f"w{number:03d}" for number in range(self.workers)]
        schedule = make_schedule(seed, FAULT_COUNT, sorted(self.cell.daemons), workers)
        callers = Callers(self.cell)
        shown = f"seed {seed}: " + "; ".join(f"{f.kind} {f.target}" for f in schedule)
        try:
            jobs = run_under_faults(self.cell, schedule, callers)
        except TimeoutError as exc:
            self.fail(f"{shown}\n{exc}")
        limits = {"fitting": TEAM_LIMIT, "slips": TEAM_LIMIT}
        violations = check_all(self.cell.history(), DEFAULT_CAPACITY, limits, callers.calls)
        self.assertEqual(violations, [], shown)
        lost = [key for key, answer in callers.finals.items() if not answer]
        self.assertEqual(lost, [], shown)
        repeatable = jobs["job-True"]["tasks"]
        self.assertEqual(repeatable["finished"], repeatable["total"], shown)
        once = jobs["job-False"]["tasks"]
        self.assertEqual(once["finished"] + once["failed"], once["total"], shown)


def main() -> int:
    """Run the seeds named as arguments; return the exit code."""
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
