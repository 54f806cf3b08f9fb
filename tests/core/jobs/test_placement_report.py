"""Tests of the report where a job would start, on a cell with runs, a gang and lost workers."""

import pickle
import unittest
from dataclasses import replace

from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.placement_report import report_placement
from lagoonshelf_core.jobs.spec import JobSpec
from lagoonshelf_core.resources import Resources
from tests.support import jobs
from tests.support.jobs import BATCH, SMALL, URGENT, config, make_job, make_step, plan_starts

WIDE = Resources(48_000, 4_096, 0)
NOW_MS = 10


class PlacementReportTest(unittest.TestCase):
    """Eight workers of 64 cores, of which some can take nothing."""

    def setUp(self) -> None:
        self.cell = jobs.make_cell(8)
        info = jobs.worker_info
        jobs.add_worker(self.cell, replace(info(0), is_draining=True))
        jobs.add_worker(self.cell, info(1, domain="gone"))
        self.cell.evacuations.domains.add("gone")
        for _ in range(2):
            jobs.accept_job(self.cell, make_job(make_step(2, WIDE, estimate_ms=9_000)))
        jobs.confirm_starts(self.cell, plan_starts(self.cell), 1)
        gang = make_step(3, Resources(60_000, 4_096, 0), is_gang=True)
        self.gang = jobs.accept_job(self.cell, make_job(gang))
        plan_starts(self.cell)

    def _report(self, spec: JobSpec) -> dict:
        return report_placement(self.cell, spec, NOW_MS)["steps"][0]

    def test_the_report_agrees_with_the_pass_and_changes_nothing(self) -> None:
        """Guards against a report by other rules than the decisions, and against side effects."""
        specs = [
            make_job(make_step(count, size, **fields), queue=queue)
            for count, size in ((45, SMALL), (3, WIDE))
            for fields in ({}, {"is_gang": True}, {"label": "a"}, {"max_per_worker": 1})
            for queue in (BATCH, URGENT)
        ]
        for spec in 2 * specs:
            before = _snapshot(self.cell)
            found = self._report(spec)
            self.assertEqual(_snapshot(self.cell), before)
            copy = pickle.loads(before)
            copy.accept(spec, NOW_MS)
            starts = [run for run in plan_starts(copy, NOW_MS) if run.task.job.id == spec.id]
            self.assertEqual(found["tasks_starting_now"], len(starts), spec)
            self.assertGreaterEqual(found["workers"]["can_start"], bool(starts))
            if spec is specs[-1]:
                # Without the gang that holds workers the reserve is the limit of some.
                self.cell.cancel(self.gang.id, NOW_MS)

    def test_workers_are_counted_by_reason(self) -> None:
        """Guards against a team that does not learn what its job waits for."""
        found = self._report(make_job(make_step(1, WIDE, label="a")))
        workers = found["workers"]
        self.assertEqual(sum(workers.values()), 8)
        self.assertEqual((workers["draining"], workers["evacuation"]), (1, 1))
        self.assertIn("label", workers)
        self.assertIn("room", workers)
        self.assertGreater(found["expected_start_in_ms"], 0)
        small = self._report(make_job(make_step(1, SMALL, estimate_ms=60_000)))
        self.assertIn("hold of a gang", small["workers"])
        never = self._report(make_job(make_step(1, Resources(65_000, 1, 0))))
        self.assertIsNone(never["expected_start_in_ms"])
        self.cell.cfg = config(Resources(1_000, 0, 0))
        capped = self._report(make_job(make_step(2, is_gang=True)))
        self.assertEqual(
            (capped["limits"], capped["tasks_starting_now"]), (["cap of the team"], 0)
        )
        unknown = report_placement(self.cell, replace(make_job(), queue="none"), NOW_MS)
        self.assertIn("no such queue", unknown["refused"])


def _snapshot(cell: Cell) -> bytes:
    cell.on_end = cell.on_loss = cell.on_give_up = None
    return pickle.dumps(cell)


if __name__ == "__main__":
    unittest.main()
