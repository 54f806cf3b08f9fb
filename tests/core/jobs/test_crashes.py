"""Tests of losses of workers and the runs that may have caused them."""

import unittest

from lagoonshelf_core.jobs.crashes import end_runs_of_lost_worker, keep_runs_of_restarted_worker
from lagoonshelf_core.jobs.workers import WorkerLoss
from tests.support.jobs import (
    accept_job,
    confirm_starts,
    make_cell,
    make_job,
    make_step,
    plan_starts,
    worker_info,
)


class LossRecordTest(unittest.TestCase):
    """What is recorded of the loss of a worker."""

    def test_the_log_has_the_ages_of_the_runs(self) -> None:
        """Guards against a crash of which the log does not tell what had just been started."""
        cell = make_cell(1)
        accept_job(cell, make_job())
        (old,) = plan_starts(cell, 1_000)
        accept_job(cell, make_job())
        (new,) = plan_starts(cell, 3_000)
        worker = cell.workers[old.worker]
        worker.heard_ms = 3_020
        cell.notes.clear()
        end_runs_of_lost_worker(cell, worker, WorkerLoss.RESTARTED, 6_000)
        message, fields = cell.notes[0]
        self.assertEqual(message, "worker lost its runs")
        self.assertEqual(fields["youngest"], [[new.name, 1, 20], [old.name, 1, 2_020]])
        self.assertEqual((fields["how"], fields["silent_ms"]), ("restarted", 2_980))

    def test_a_restart_is_recorded_once(self) -> None:
        """Guards against counting a restart for the registry and again for the worker's answer."""
        cell = make_cell(1)
        losses = []
        cell.on_loss = losses.append
        accept_job(cell, make_job(make_step(2)))
        confirm_starts(cell, plan_starts(cell), 5)
        worker = cell.workers["w000"]
        keep_runs_of_restarted_worker(cell, worker, 10)
        cell.update_worker(worker_info(0, born_ms=2_000), 20)
        keep_runs_of_restarted_worker(cell, worker, 30)
        end_runs_of_lost_worker(cell, worker, WorkerLoss.LAPSED, 40)
        self.assertEqual(losses, [WorkerLoss.RESTARTED])
