"""Starts of tasks that may be what crashes their workers.

Such a task starts on a worker whose other runs have settled, and the worker gets no other work
until its run has settled as well. If the worker crashes meanwhile, the task is the cause.
"""

from collections.abc import Iterator

from lagoonshelf_core.ids import TaskId
from lagoonshelf_core.jobs.capacity import free_capacity
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.progress import StepRun, Task
from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.scheduling_pass import SchedulingPass
from lagoonshelf_core.jobs.workers import Worker, allocation_of
from lagoonshelf_core.resources import ZERO_RESOURCES

# A worker that was lost in this time is used for a suspect only if there is no other one: its next
# crash would tell less.
RECENT_LOSS_MS = 30_000


def place_suspects(
    cell: Cell,
    state: SchedulingPass,
    step: StepRun,
    pool: str,
    workers: list[Worker],
    band: Band,
) -> Iterator[tuple[Task, Worker]]:
    """Yield the suspected tasks of a step that start now, each with a worker of its own.

    Each must be started before the next one is requested.
    """
    if not cell.is_recording:
        # A successor that does not know of the start could not count its crash.
        return
    lost_addresses = {
        loss.address for loss in cell.losses if state.now_ms - loss.lost_ms < RECENT_LOSS_MS
    }
    candidates = [worker for worker in workers if is_quiet(worker)]
    for task in [task for task in step.waiting_tasks if task.is_suspect]:
        fitting = [
            worker
            for worker in candidates
            if _fits(cell, state, step, worker, band) and is_quiet(worker)
        ]
        if not fitting or not _is_allowed(cell, state, step, pool, band):
            return
        failed_workers = cell.health.failed_workers(TaskId(step.job.id))
        # The least loaded worker, since a crash ends everything on it.
        worker = min(
            fitting,
            key=lambda worker: (
                worker.id in state.holders,
                worker.id in failed_workers,
                worker.info.address in lost_addresses,
                worker.used.cpu_milli,
                worker.id,
            ),
        )
        yield task, worker
        candidates.remove(worker)


def is_quiet(worker: Worker) -> bool:
    """Return whether all runs of a worker have settled."""
    return all(worker.has_settled(run) for run in worker.runs.values())


def _fits(cell: Cell, state: SchedulingPass, step: StepRun, worker: Worker, band: Band) -> bool:
    spec = step.spec
    size = allocation_of(spec.size, spec.is_filler)
    if not size.fits_in(free_capacity(worker, ZERO_RESOURCES)):
        return False
    if spec.max_per_worker:
        beside = sum(
            run.task is not None and run.task.step is step for run in worker.runs.values()
        )
        if beside >= spec.max_per_worker:
            return False
    return not state.is_held_from(worker, step, band) and cell.health.may_start(
        worker.id, True, state.now_ms
    )


def _is_allowed(cell: Cell, state: SchedulingPass, step: StepRun, pool: str, band: Band) -> bool:
    """Return whether limits and the reserve of the band allow another task of a step."""
    spec = step.spec
    size = allocation_of(spec.size, spec.is_filler)
    return size.cpu_milli <= state.startable_milli(step, pool, band) and cell.is_within_limit(
        step.job.spec.team, spec.size
    )
