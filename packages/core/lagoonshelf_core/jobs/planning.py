"""Scheduling pass: decides which tasks start, and on which workers."""

from heapq import heapify, heappop, heapreplace

from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.jobs.advice_requests import request_advice
from lagoonshelf_core.jobs.capacity import count_fitting, free_capacity, reserved_cpu_milli
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import StartRun
from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.progress import StepRun, Task
from lagoonshelf_core.jobs.ranking import Band, rank
from lagoonshelf_core.jobs.scheduling_pass import MAX_RESERVATIONS, RESERVING_BANDS, SchedulingPass
from lagoonshelf_core.jobs.workers import Worker, allocation_of
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources


def plan(cell: Cell, now_ms: int, now_wall_ms: int, advice_budget_ms: float) -> None:
    """Run a scheduling pass; add commands to the cell for the tasks that start now.

    :param advice_budget_ms: time of the placement policy that advice requests may use
    """
    cell.open_due_occurrences(now_wall_ms)
    if not cell.open_steps:
        return
    usable: dict[str, dict[WorkerId, Worker]] = {}
    for worker in cell.workers.values():
        if worker.is_usable and not cell.health.is_quarantined(worker.id, now_ms):
            usable.setdefault(worker.info.pool, {})[worker.id] = worker
    state = SchedulingPass(now_ms, usable, advice_budget_ms=advice_budget_ms)
    ranked = []
    for step in cell.open_steps:
        queue = cell.queue_of(step.job)
        if queue is not None:
            ranked.append((rank(step, queue, now_ms), step.name, step, queue))
    ranked.sort(key=lambda row: row[:2])
    has_unread = any(worker.blocks_inherited for worker in cell.workers.values())
    for (band, _), _, step, queue in ranked:
        if step.job.is_inherited and has_unread:
            continue
        _plan_step(cell, state, step, queue, Band(band))


def summary(cell: Cell, now_ms: int) -> dict[str, object]:
    """Return statistics of the cell for the log."""
    bands: dict[str, int] = {}
    for step in cell.open_steps:
        queue = cell.queue_of(step.job)
        name = "no queue" if queue is None else Band(rank(step, queue, now_ms)[0]).name.lower()
        bands[name] = bands.get(name, 0) + 1
    usable = [worker for worker in cell.workers.values() if worker.is_usable]
    return {
        "open_steps": bands,
        "jobs": len(cell.live_jobs),
        "workers": len(cell.workers),
        "usable": len(usable),
        "quarantined": sum(cell.health.is_quarantined(w.id, now_ms) for w in usable),
        "blocking": sum(worker.blocks_inherited for worker in cell.workers.values()),
        "runs": sum(len(worker.runs) for worker in cell.workers.values()),
        "cpu_milli": sum(worker.info.capacity.cpu_milli for worker in usable),
        "used_cpu_milli": sum(worker.used.cpu_milli for worker in usable),
    }


def _plan_step(cell: Cell, state: SchedulingPass, step: StepRun, queue: Queue, band: Band) -> None:
    """Start the tasks of a step that can start, and request advice for it."""
    usable = state.usable.get(queue.pool)
    if not usable:
        return
    permits: dict[WorkerId, str] | None = None
    if queue.advice is not None:
        permits = cell.permits.valid(step.name, state.now_ms)
        request_advice(cell, state, step, queue, band)
        if not permits:
            return
        workers = [usable[name] for name in permits if name in usable]
    else:
        workers = list(usable.values())
    if step.spec.label:
        workers = [worker for worker in workers if step.spec.label in worker.info.labels]
    if step.spec.is_gang:
        placed = _place_gang(cell, state, step, workers, band)
    else:
        placed = _place_tasks(cell, state, step, workers, band)
    gang_attempt = max(task.attempt for task in step.tasks) + 1
    checkpoint = max(task.checkpoint for task in step.tasks)
    for task, worker in placed:
        permit = "" if permits is None else permits[worker.id]
        if step.spec.is_gang:
            _start(cell, state, task, worker, gang_attempt, checkpoint, permit)
        else:
            _start(cell, state, task, worker, task.attempt + 1, task.checkpoint, permit)
    if placed:
        _note_placement(cell, state, step, placed)
        cell.update_open_steps(step.job)


def _note_placement(
    cell: Cell, state: SchedulingPass, step: StepRun, placed: list[tuple[Task, Worker]]
) -> None:
    """Add one log entry for all tasks of a step that start in a pass."""
    tasks: dict[str, list[tuple[int, int]]] = {}
    for task, worker in placed:
        tasks.setdefault(worker.id, []).append((task.index, task.attempt))
    fields = {
        "request": step.job.id,
        "step": step.name,
        "queue": step.job.spec.queue,
        "waited_ms": state.now_ms - step.job.received_ms,
        "workers": tasks,
    }
    cell.notes.append(("tasks placed", fields))


def _place_tasks(
    cell: Cell, state: SchedulingPass, step: StepRun, workers: list[Worker], band: Band
) -> list[tuple[Task, Worker]]:
    """Choose workers for the waiting tasks of a step whose tasks are independent."""
    spec = step.spec
    size = allocation_of(spec.size, spec.is_filler)
    failed_workers = cell.health.failed_workers(TaskId(step.job.id))
    on_worker = _count_by_worker(step)
    planned: dict[WorkerId, Resources] = {}

    def evaluate(worker: Worker) -> tuple | None:
        """Return the score of a worker for the next task, ``None`` if none fits on it."""
        if spec.max_per_worker and on_worker.get(worker.id, 0) >= spec.max_per_worker:
            return None
        free = free_capacity(worker, planned.get(worker.id, ZERO_RESOURCES), band, size)
        if not size.fits_in(free):
            return None
        return _score(step, worker, free, worker.id in failed_workers)

    # A placement changes the score of its worker only, so the others are evaluated once.
    evaluated = ((evaluate(worker), worker) for worker in workers)
    candidates = [
        (score, worker)
        for score, worker in evaluated
        if score is not None
        and not _is_reserved(state, worker, band)
        and cell.health.may_start(worker.id, True, state.now_ms)
    ]
    heapify(candidates)
    placed: list[tuple[Task, Worker]] = []
    planned_total = ZERO_RESOURCES
    for task in step.waiting_tasks:
        if not candidates or not cell.is_within_limit(
            step.job.spec.team, planned_total + spec.size
        ):
            break
        _, best = candidates[0]
        placed.append((task, best))
        planned_total += spec.size
        planned[best.id] = planned.get(best.id, ZERO_RESOURCES) + size
        on_worker[best.id] = on_worker.get(best.id, 0) + 1
        score = evaluate(best)
        if score is None:
            heappop(candidates)
        else:
            heapreplace(candidates, (score, best))
    return placed


def _count_by_worker(step: StepRun) -> dict[WorkerId, int]:
    counts: dict[WorkerId, int] = {}
    for task in step.tasks:
        if task.run is not None:
            counts[task.run.worker] = counts.get(task.run.worker, 0) + 1
    return counts


def _score(step: StepRun, worker: Worker, free: Resources, has_failed: bool) -> tuple:
    """Return the score of a worker for a task of a step; the lowest is best."""
    spec = step.spec
    is_other_rack = bool(spec.rack) and worker.info.rack != spec.rack
    if spec.is_service:
        return (
            has_failed,
            is_other_rack,
            worker.fillers + worker.services,
            -free.cpu_milli,
            worker.id,
        )
    if spec.is_filler:
        return (has_failed, worker.services, worker.fillers, -free.cpu_milli, worker.id)
    return (has_failed, is_other_rack, free.cpu_milli, worker.id)


def _place_gang(
    cell: Cell, state: SchedulingPass, step: StepRun, workers: list[Worker], band: Band
) -> list[tuple[Task, Worker]]:
    """Choose workers for all tasks of a gang, or for none of them."""
    spec = step.spec
    if not all(task.is_waiting for task in step.tasks):
        return []
    if not cell.is_within_limit(step.job.spec.team, spec.size.scaled(spec.count)):
        return []
    reserve_band = _reserve_band(step, workers, band)
    placed = _fit_gang(cell, state, step, workers, band, reserve_band)
    if placed:
        return placed
    if band in RESERVING_BANDS and state.reservations < MAX_RESERVATIONS:
        _reserve_workers(state, step, workers, band, reserve_band)
    return []


def _reserve_band(step: StepRun, workers: list[Worker], band: Band) -> Band:
    """Return the band whose reserve a gang leaves free.

    A gang that would not fit on empty workers beside the reserve of its own band could never run,
    so it leaves the reserve of a higher band.
    """
    size = allocation_of(step.spec.size, step.spec.is_filler)
    max_per_worker = step.spec.max_per_worker or step.spec.count
    for candidate in (band, Band.ON_TIME):
        fitting = sum(
            min(
                max_per_worker,
                count_fitting(
                    size,
                    worker.info.capacity,
                    ZERO_RESOURCES,
                    reserved_cpu_milli(worker, candidate, size),
                ),
            )
            for worker in workers
        )
        if fitting >= step.spec.count:
            return candidate
    return Band.URGENT


def _is_reserved(state: SchedulingPass, worker: Worker, band: Band) -> bool:
    """Return whether a worker is reserved for a gang of the same band or a higher one."""
    reserving_band = state.reserved_bands.get(worker.id)
    return reserving_band is not None and band > Band.URGENT and band >= reserving_band


def _fit_gang(
    cell: Cell,
    state: SchedulingPass,
    step: StepRun,
    workers: list[Worker],
    band: Band,
    reserve_band: Band,
) -> list[tuple[Task, Worker]]:
    """Return a worker for each gang member, or nothing when not all members fit.

    The order of preference is: workers that have not failed the job, workers in the rack of the
    data, workers that fit most members, and the fullest among equal ones.
    """
    spec = step.spec
    size = allocation_of(spec.size, spec.is_filler)
    failed_workers = cell.health.failed_workers(TaskId(step.job.id))
    slots: list[tuple[tuple, Worker, int]] = []
    for worker in workers:
        if _is_reserved(state, worker, band):
            continue
        capacity, used = worker.info.capacity, worker.used
        count = count_fitting(size, capacity, used, reserved_cpu_milli(worker, reserve_band, size))
        if not count or not cell.health.may_start(worker.id, True, state.now_ms):
            continue
        if spec.max_per_worker:
            count = min(count, spec.max_per_worker)
        is_other_rack = bool(spec.rack) and worker.info.rack != spec.rack
        free_milli = capacity.cpu_milli - used.cpu_milli
        key = (worker.id in failed_workers, is_other_rack, -count, free_milli, worker.id)
        slots.append((key, worker, count))
    slots.sort(key=lambda row: row[0])
    if spec.same_rack:
        slots = _prefer_one_rack(slots, spec.count)
    placed: list[tuple[Task, Worker]] = []
    waiting = list(step.tasks)
    for _, worker, count in slots:
        for _ in range(min(count, len(waiting))):
            placed.append((waiting.pop(), worker))
        if not waiting:
            return placed
    return []


def _prefer_one_rack(
    slots: list[tuple[tuple, Worker, int]], needed: int
) -> list[tuple[tuple, Worker, int]]:
    """Return the slots of one rack that the whole gang fits in, or all slots if there is none."""
    by_rack: dict[str, int] = {}
    for _, worker, count in slots:
        by_rack[worker.info.rack] = by_rack.get(worker.info.rack, 0) + count
    fitting = sorted(rack for rack, count in by_rack.items() if count >= needed)
    if not fitting:
        return slots
    return [row for row in slots if row[1].info.rack == fitting[0]]


def _reserve_workers(
    state: SchedulingPass, step: StepRun, workers: list[Worker], band: Band, reserve_band: Band
) -> None:
    """Reserve for a gang the workers where it will fit first; urgent tasks may still use them."""
    size = allocation_of(step.spec.size, step.spec.is_filler)
    needed = step.spec.count
    chosen: list[WorkerId] = []
    for worker in sorted(workers, key=lambda w: (w.used.cpu_milli, w.id)):
        if worker.id in state.reserved_bands:
            continue
        reserved_milli = reserved_cpu_milli(worker, reserve_band, size)
        count = count_fitting(
            size, worker.info.capacity, _service_allocation(worker), reserved_milli
        )
        if count <= 0:
            continue
        chosen.append(worker.id)
        needed -= count
        if needed <= 0:
            state.reservations += 1
            state.reserved_bands.update(dict.fromkeys(chosen, band))
            return


def _service_allocation(worker: Worker) -> Resources:
    allocated = ZERO_RESOURCES
    for run in worker.runs.values():
        if run.is_service:
            allocated += run.size
    return allocated


def _start(
    cell: Cell,
    state: SchedulingPass,
    task: Task,
    worker: Worker,
    attempt: int,
    checkpoint: str,
    permit: str,
) -> None:
    run = cell.begin_run(task, worker, attempt, state.now_ms)
    cell.commands.append(StartRun(run, task.job.spec.payload, checkpoint, permit))
