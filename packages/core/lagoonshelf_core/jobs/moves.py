"""Moves of runs out of evacuated failure domains.

The workers of an evacuated domain go on working, so most runs end there. A run is moved only where
others lose nothing by it and there is room for it outside.
"""

from lagoonshelf_core.jobs.capacity import count_fitting
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.evacuations import Evacuations
from lagoonshelf_core.jobs.progress import FULL_PERCENT, Run, RunPhase, StepRun, Task
from lagoonshelf_core.jobs.workers import Worker, allocation_of
from lagoonshelf_core.resources import Resources

# Moves at once. Each counts as room taken until its task runs again, and a domain may have
# hundreds of services.
MAX_MOVES = 8
# A move whose task does not run again within this time no longer keeps others waiting.
MOVE_TIMEOUT_MS = 10_000
# The speed of a run is known from this progress on, and from the other on most of its time is
# behind it.
MIN_MOVE_PERCENT = 10
MAX_MOVE_PERCENT = 50
# A run that saves its progress is moved if it would end this much later than elsewhere. The factor
# covers estimates that are off, the time the work since its last checkpoint.
MOVE_GAIN_FACTOR = 2.0
MIN_MOVE_GAIN_MS = 10_000


def move_if_evacuated(cell: Cell, worker: Worker, run: Run, now_ms: int) -> bool:
    """Stop a run in an evacuated domain if it is better run elsewhere; return whether it is.

    Gangs end where they are: a move stops all members, also those outside the domain.
    """
    known = cell.evacuations
    if worker.info.domain not in known.domains:
        return False
    if known.checked_ms != now_ms:
        _begin_pass(known, now_ms)
    step = run.task.step
    if step.spec.is_gang or step.name in known.refused or len(known.moving) >= MAX_MOVES:
        return False
    if not step.spec.is_service and not _ends_earlier_elsewhere(run):
        return False
    if not _may_stop_service(run) or not _has_room(cell, worker, step, now_ms):
        # The checks read all tasks of the step, and all workers.
        known.refused.add(step.name)
        return False
    known.moving[run.name] = (run, now_ms)
    cell.note("run moved out of an evacuated domain", run, domain=worker.info.domain)
    cell.stop_run(run, "its failure domain is evacuated")
    return True


def _begin_pass(known: Evacuations, now_ms: int) -> None:
    """Forget moves that have ended, and the steps that the previous pass has refused."""
    known.checked_ms = now_ms
    known.refused.clear()
    for name, (run, since_ms) in list(known.moving.items()):
        if _is_moved(run) or now_ms - since_ms > MOVE_TIMEOUT_MS:
            del known.moving[name]


def count_unavailable(run: Run) -> int:
    """Return how many other tasks of a service's step do not serve."""
    return sum(
        task.run is None
        or task.run.phase is not RunPhase.RUNNING
        or task.run.progress_percent < FULL_PERCENT
        for task in run.task.step.tasks
        if task.run is not run
    )


def _may_stop_service(run: Run) -> bool:
    """Return whether a run may be moved as far as it is one of a service.

    A step without a limit of unavailable tasks is moved one by one: the whole domain goes at once,
    and often all of its tasks are there.
    """
    spec = run.task.step.spec
    return not spec.is_service or count_unavailable(run) < max(1, spec.max_unavailable)


def _ends_earlier_elsewhere(run: Run) -> bool:
    """Return whether a run that saves its progress would end much later than elsewhere."""
    spec, percent = run.task.step.spec, run.progress_percent
    if not spec.saves_progress or spec.is_filler:
        return False
    if not MIN_MOVE_PERCENT <= percent < MAX_MOVE_PERCENT:
        return False
    left_percent = FULL_PERCENT - percent
    here_ms = (run.progressed_ms - run.started_ms) * left_percent / percent
    elsewhere_ms = spec.estimate_ms * left_percent / FULL_PERCENT
    return here_ms > MOVE_GAIN_FACTOR * elsewhere_ms + MIN_MOVE_GAIN_MS


def _is_moved(run: Run) -> bool:
    """Return whether the task of a moved run runs again, or needs not."""
    task = run.task
    if task.is_done or task.job.is_final:
        return True
    return task.run not in (None, run) and task.run.phase is RunPhase.RUNNING


def _has_room(cell: Cell, worker: Worker, step: StepRun, now_ms: int) -> bool:
    """Return whether a task of a step fits outside the evacuated domains beside other moves."""
    moving = [run.task for run, _ in cell.evacuations.moving.values()]
    size = allocation_of(step.spec.size, step.spec.is_filler)
    for task in moving:
        size = _largest(size, task)
    missing = len(moving) + 1
    for target in cell.workers.values():
        if target.info.pool != worker.info.pool or target.is_cold(now_ms):
            continue
        if not cell.is_available(target, now_ms):
            continue
        if step.spec.label and step.spec.label not in target.info.labels:
            continue
        missing -= count_room(step, target, size)
        if missing <= 0:
            return True
    return False


def _largest(size: Resources, task: Task) -> Resources:
    other = allocation_of(task.step.spec.size, task.step.spec.is_filler)
    return Resources(
        max(size.cpu_milli, other.cpu_milli),
        max(size.memory_mib, other.memory_mib),
        max(size.accelerators, other.accelerators),
    )


def count_room(step: StepRun, target: Worker, size: Resources) -> int:
    """Return how many tasks of a step fit on a worker, each taken to be of a size."""
    count = count_fitting(size, target.info.capacity, target.used)
    limit = step.spec.max_per_worker
    if not limit:
        return count
    there = sum(task.run.worker == target.id for task in step.running.values())
    return max(0, min(count, limit - there))
