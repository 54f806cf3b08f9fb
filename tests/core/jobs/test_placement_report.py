"""Tests of the report where a job would start, on a cell with runs, a gang and lost workers."""

import pickle
import unittest
from dataclasses import replace

from lagoonshelf_core.jobs.config import Pool
from lagoonshelf_core.jobs.placement_report import report_placement
from lagoonshelf_core.resources import Resources
from tests.support import jobs
from tests.support.jobs import BATCH, SMALL, URGENT, config, make_job, make_step, plan_starts

WIDE = Resources(48_000, 4_096, 0)
NOW_MS = 10


class PlacementReportTest(unittest.TestCase):
    """Eight workers of 64 cores: one drains, one is evacuated, four are busy, one of them cold."""

    def setUp(self) -> None:
        self.cell = jobs.make_cell(8)
        jobs.add_worker(self.cell, jobs.worker_info(0, is_draining=True))
        self.cell.evacuations.domains.add("gone")
        jobs.add_worker(self.cell, jobs.worker_info(1, domain="gone"))
        jobs.accept_job(self.cell, make_job(make_step(4, WIDE, estimate_ms=9_000)))
        runs = plan_starts(self.cell)
        jobs.confirm_starts(self.cell, runs, 1)
        pool = Pool(jobs.POOL, cold_start_ms=60_000, cold_starts_per_s=1.0)
        self.cell.cfg = replace(config(), pools={jobs.POOL: pool})
        cold = self.cell.workers[runs[0].worker]
        cold.cold_end_ms = cold.cold_ms = 60_000
        gang = make_step(3, Resources(60_000, 4_096, 0), is_gang=True)
        self.gang = jobs.accept_job(self.cell, make_job(gang))
        plan_starts(self.cell)
        self.cell.on_end = self.cell.on_loss = self.cell.on_give_up = None

    def _report(self, *fields: object, **spec: object) -> dict:
        job = make_job(make_step(*fields, **spec))
        return report_placement(self.cell, job, NOW_MS)["steps"][0]

    def test_the_report_agrees_with_the_pass_and_changes_nothing(self) -> None:
        """Guards against a report by other rules than the decisions, and against side effects."""
        specs = [
            make_job(make_step(count, size, **fields), queue=queue)
            for count, size in ((45, SMALL), (2, WIDE))
            for fields in ({}, {"is_gang": True}, {"label": "a"}, {"max_per_worker": 1})
            for queue in (BATCH, URGENT)
        ]
        for spec in 2 * specs:
            before = pickle.dumps(self.cell)
            found = report_placement(self.cell, spec, NOW_MS)["steps"][0]
            self.assertEqual(pickle.dumps(self.cell), before)
            copy = pickle.loads(before)
            copy.accept(spec, NOW_MS)
            starts = [run for run in plan_starts(copy, NOW_MS) if run.task.job.id == spec.id]
            self.assertEqual(found["tasks_starting_now"], len(starts), spec)
            if spec is specs[-1]:
                # Without the gang that holds workers the reserve is the limit of some.
                self.cell.cancel(self.gang.id, NOW_MS)

    def test_workers_are_counted_by_reason(self) -> None:
        """Guards against a team that does not learn what its job waits for."""
        found = self._report(1, WIDE, label="a")
        self.assertGreater(found["expected_start_in_ms"], 0)
        self.assertEqual(sum(found["workers"].values()), 8)
        reasons = found["workers"].keys() | self._report(1, SMALL)["workers"].keys()
        expected = {"draining", "evacuation", "label", "room", "cold", "hold of a gang"}
        self.assertEqual(reasons, expected | {"can_start"})
        self.assertIsNone(self._report(1, Resources(65_000, 1, 0))["expected_start_in_ms"])
        self.cell.cfg = config(Resources(1_000, 0, 0))
        capped = self._report(2, is_gang=True)
        self.assertEqual(
            (capped["limits"], capped["tasks_starting_now"]), (["cap of the team"], 0)
        )
        unknown = report_placement(self.cell, replace(make_job(), queue="none"), NOW_MS)
        self.assertIn("no such queue", unknown["refused"])
