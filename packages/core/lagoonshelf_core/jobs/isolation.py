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

    If one has to wait for a worker without recent starts, a worker is kept from steps of lower
    priority.

    :param workers: workers that the step may start on
    """
    if not cell.is_recording:
        # A successor that does not know of the start could not count its crash.
        return
    suspects = [task for task in step.waiting.values() if task.is_suspect]
    fitting = [worker for worker in workers if _fits(cell, state, step, worker, band)]
    best = _best_workers(cell, state, step, fitting, len(suspects))
    for task, worker in zip(suspects, best, strict=False):
        if not _is_allowed(cell, state, step, pool, band):
            return
        if is_quiet(worker):
            yield task, worker
        elif pool not in state.quieted_pools:
            # In a full cell no worker would ever be without a recent start otherwise. Successive
            # passes choose the same worker, the one without a start for the longest time.
            state.quieted_pools.add(pool)
            state.close(worker)


def is_quiet(worker: Worker) -> bool:
    """Return whether all runs of a worker have settled."""
    return all(worker.has_settled(run) for run in worker.runs.values())


def _best_workers(
    cell: Cell, state: SchedulingPass, step: StepRun, workers: list[Worker], count: int
) -> list[Worker]:
    """Return the workers that suit suspects best: quiet, or soon so, and with little to lose."""
    if count <= 0:
        return []
    lost_addresses = {
        loss.address for loss in cell.losses if state.now_ms - loss.lost_ms < RECENT_LOSS_MS
    }
    failed_workers = cell.health.failed_workers(TaskId(step.job.id))

    def key(worker: Worker) -> tuple:
        quiet = is_quiet(worker)
        last_start_ms = max((run.started_ms for run in worker.runs.values()), default=0)
        return (
            not quiet,
            worker.is_slow,
            0 if quiet else last_start_ms,
            worker.id in state.holders,
            worker.id in failed_workers,
            worker.info.address in lost_addresses,
            worker.used.cpu_milli,
            worker.id,
        )

    return sorted(workers, key=key)[:count]


def _fits(cell: Cell, state: SchedulingPass, step: StepRun, worker: Worker, band: Band) -> bool:
    spec = step.spec
    size = allocation_of(spec.size, spec.is_filler)
    if not size.fits_in(free_capacity(worker, ZERO_RESOURCES)):
        return False
    if spec.label and spec.label not in worker.info.labels:
        return False
    if spec.max_per_worker:
        runs = worker.runs.values()
        if (
            sum(run.task is not None and run.task.step is step for run in runs)
            >= spec.max_per_worker
        ):
            return False
    return not state.is_held_from(worker, step, band) and cell.health.may_start(
        worker.id, True, state.now_ms
    )


def _is_allowed(cell: Cell, state: SchedulingPass, step: StepRun, pool: str, band: Band) -> bool:
    """Return whether limits and the reserve of the band allow another task of a step."""
    spec = step.spec
    size = allocation_of(spec.size, spec.is_filler)
    startable_milli = state.startable_milli(step, pool, band)
    return size.cpu_milli <= startable_milli and cell.is_within_limit(
        step.job.spec.team, spec.size
    )
