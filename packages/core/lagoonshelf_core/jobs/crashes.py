"""Losses of workers, and the runs that may have caused them."""

from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.workers import Worker, WorkerLoss, alive_ms

# Runs named in the log entry about the loss of a worker, those that started last.
MAX_LOGGED_RUNS = 20

_REASONS = {
    WorkerLoss.RESTARTED: "another incarnation is in its place",
    WorkerLoss.LAPSED: "lease lapsed",
}


def end_runs_of_lost_worker(cell: Cell, worker: Worker, loss: WorkerLoss, now_ms: int) -> None:
    """End the runs of a worker that has certainly lost them."""
    _record_loss(cell, worker, loss, now_ms)
    cell.end_worker_runs(worker, now_ms, _REASONS[loss])


def keep_runs_of_restarted_worker(cell: Cell, worker: Worker, now_ms: int) -> None:
    """Keep the runs of a worker that restarted under its id until a report shows which it has."""
    _record_loss(cell, worker, WorkerLoss.RESTARTED, now_ms)
    cell.mark_runs_unverified(worker, now_ms)


def _record_loss(cell: Cell, worker: Worker, loss: WorkerLoss, now_ms: int) -> None:
    runs = [run for run in worker.runs.values() if not run.is_loss_recorded]
    if not runs:
        return
    cell.on_loss(loss)
    runs.sort(key=lambda run: -run.started_ms)
    fields = {
        "worker": worker.id,
        "address": worker.info.address,
        "how": loss.value,
        "silent_ms": now_ms - worker.heard_ms,
        "runs": len(runs),
        "youngest": [
            [run.name, run.attempt, alive_ms(worker, run)] for run in runs[:MAX_LOGGED_RUNS]
        ],
    }
    for run in runs:
        run.is_loss_recorded = True
    cell.notes.append(("worker lost its runs", fields))
