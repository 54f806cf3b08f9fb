"""Scheduling pass: decides which tasks start, and on which workers."""

from collections.abc import Iterable
from heapq import heapify, heappop, heapreplace

from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.jobs.advice_requests import request_advice
from lagoonshelf_core.jobs.capacity import free_capacity
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import StartRun
from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.gang_placement import hold_workers, place_gang
from lagoonshelf_core.jobs.isolation import place_suspects
from lagoonshelf_core.jobs.late_order import order_late_by_work
from lagoonshelf_core.jobs.progress import StepRun, Task
from lagoonshelf_core.jobs.ranking import Band, Rank, rank
from lagoonshelf_core.jobs.scheduling_pass import SchedulingPass
from lagoonshelf_core.jobs.workers import Worker, allocation_of
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources

# Log message of the tasks of a step that start in a pass.
TASKS_PLACED = "tasks placed"
# Advice requests in progress for steps of no use any more. Each goes through another member, and a
# cell has at least six, so that some are free for new urgent steps.
MAX_TOO_LATE_REQUESTS = 4


def plan(cell: Cell, now_ms: int, now_wall_ms: int, advice_budget_ms: float) -> bool:
    """Run a scheduling pass; add commands to the cell for the tasks that start now.

    Return whether another pass is needed for work that this one has left.

    :param advice_budget_ms: time of the placement policy that advice requests may use
    """
    has_more = cell.open_due_occurrences(now_wall_ms)
    if not cell.open_steps:
        return has_more
    state = SchedulingPass(now_ms, {}, advice_budget_ms=advice_budget_ms)
    if cell.options.forecasts_reserve:
        state.arrivals = cell.arrivals
    _add_usable_workers(cell, state)
    ranked = _rank_open_steps(cell, state)
    state.register_holds(step for _, step, _ in ranked)
    if cell.options.orders_late_by_work:
        state.later_holders.update(state.holders.values())
    has_unread = any(worker.blocks_inherited for worker in cell.workers.values())
    for (band, _), step, queue in ranked:
        state.later_holders.discard(step)
        if step.job.is_inherited and has_unread:
            continue
        if not state.may_start(step) or state.is_stuck(step):
            continue
        _plan_step(cell, state, step, queue, Band(band))
    return has_more or state.starts_left <= 0


def _add_usable_workers(cell: Cell, state: SchedulingPass) -> None:
    if not cell.may_use_registry(state.now_ms):
        return
    for worker in cell.workers.values():
        if not worker.is_usable or cell.health.is_quarantined(worker.id, state.now_ms):
            continue
        if cell.may_use_capacity(worker, state.now_ms):
            state.add_usable(worker)


def _rank_open_steps(cell: Cell, state: SchedulingPass) -> list[tuple[Rank, StepRun, Queue]]:
    """Return the steps with tasks that can start and their queues, in order of priority."""
    ranked = []
    for step in cell.open_steps.first():
        queue = cell.queue_of(step.job)
        if queue is not None:
            row = rank(step, queue, state.now_ms)
            if cell.options.orders_late_by_work:
                row = order_late_by_work(row, step, queue, state.capacity_milli(queue.pool))
            ranked.append((row, step, queue))
    ranked.sort(key=lambda row: (row[0], row[1].name))
    return ranked


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
        "on_probe": sum(cell.health.is_on_probe(w.id, now_ms) for w in usable),
        "outdated": sum(not cell.may_use_capacity(w, now_ms) for w in usable),
        "registry_age_ms": now_ms - cell.registry_ms,
        "blocking": sum(worker.blocks_inherited for worker in cell.workers.values()),
        "runs": sum(len(worker.runs) for worker in cell.workers.values()),
        "cpu_milli": sum(worker.info.capacity.cpu_milli for worker in usable),
        "used_cpu_milli": sum(worker.used.cpu_milli for worker in usable),
    }


def _plan_step(cell: Cell, state: SchedulingPass, step: StepRun, queue: Queue, band: Band) -> None:
    """Start the tasks of a step that can start, and request advice for it."""
    usable = state.usable.get(queue.pool)
    if not usable or _awaits_restart(step, state.now_ms):
        return
    spec = step.spec
    smallest_start = spec.size.scaled(spec.count) if spec.is_gang else spec.size
    if not cell.is_within_limit(step.job.spec.team, smallest_start):
        state.release(step)
        return
    permits: dict[WorkerId, str] | None = None
    may_run_on: Iterable[WorkerId] = usable
    if queue.advice is not None:
        permits = cell.permits.valid(step.name, state.now_ms)
        may_run_on = cell.permits.allowed(step.name)
        _request_advice_in_turn(cell, state, step, queue, band)
    workers = _find_workers(step, usable, usable if permits is None else permits)
    if spec.is_gang:
        placed = place_gang(cell, state, step, queue.pool, workers, band) if workers else []
        if not placed:
            hold_workers(state, step, queue.pool, _find_workers(step, usable, may_run_on), band)
    else:
        startable_milli = state.startable_milli(step, queue.pool, band)
        placed = _place_tasks(cell, state, step, workers, band, startable_milli)
    _start_all(cell, state, step, placed, permits)
    if step.has_suspects and not spec.is_gang:
        placed += _start_suspects(cell, state, step, queue, workers, permits, band)
    if placed:
        _note_placement(cell, state, step, placed)
        cell.update_open_step(step)
    elif queue.advice is None:
        state.note_stuck(step)


def _request_advice_in_turn(
    cell: Cell, state: SchedulingPass, step: StepRun, queue: Queue, band: Band
) -> None:
    """Request advice for a step, within the slots of its band.

    Requests for steps of no use any more would keep those of new urgent steps waiting.
    """
    if band is not Band.TOO_LATE or not cell.options.orders_late_by_work:
        request_advice(cell, state, step, queue, band)
    elif state.too_late_requests < MAX_TOO_LATE_REQUESTS:
        request_advice(cell, state, step, queue, band)
        state.too_late_requests += cell.permits.is_requested(step.name)


def _start_all(
    cell: Cell,
    state: SchedulingPass,
    step: StepRun,
    placed: list[tuple[Task, Worker]],
    permits: dict[WorkerId, str] | None,
) -> None:
    """Start tasks of a step; the members of a gang have the same attempt and checkpoint."""
    if step.spec.is_gang and placed:
        gang_attempt = max(task.attempt for task in step.tasks) + 1
        gang_checkpoint = max(task.checkpoint for task in step.tasks)
    for task, worker in placed:
        permit = "" if permits is None else permits[worker.id]
        if step.spec.is_gang:
            _start(cell, state, task, worker, gang_attempt, gang_checkpoint, permit)
        else:
            _start(cell, state, task, worker, task.attempt + 1, task.checkpoint, permit)


def _awaits_restart(step: StepRun, now_ms: int) -> bool:
    """Return whether a service's tasks have ended shortly after their start just now."""
    if not step.spec.is_service:
        return False
    delayed = (task.restart_ms > now_ms for task in step.waiting.values())
    return any(delayed) if step.spec.is_gang else all(delayed)


def _start_suspects(
    cell: Cell,
    state: SchedulingPass,
    step: StepRun,
    queue: Queue,
    workers: list[Worker],
    permits: dict[WorkerId, str] | None,
    band: Band,
) -> list[tuple[Task, Worker]]:
    """Start the suspected tasks of a step that can start, each isolated from other starts."""
    started = []
    for task, worker in place_suspects(cell, state, step, queue.pool, workers, band):
        permit = "" if permits is None else permits[worker.id]
        _start(cell, state, task, worker, task.attempt + 1, task.checkpoint, permit)
        state.close(worker)
        started.append((task, worker))
    return started


def _find_workers(
    step: StepRun, usable: dict[WorkerId, Worker], names: Iterable[WorkerId]
) -> list[Worker]:
    """Return those of some workers that are usable and have the label of a step."""
    label = step.spec.label
    return [
        usable[name]
        for name in names
        if name in usable and (not label or label in usable[name].info.labels)
    ]


def _note_placement(
    cell: Cell, state: SchedulingPass, step: StepRun, placed: list[tuple[Task, Worker]]
) -> None:
    """Add one log entry for all tasks of a step that start in a pass."""
    tasks: dict[str, list[tuple[int, int]]] = {}
    for task, worker in placed:
        tasks.setdefault(worker.id, []).append((task.index, task.attempt))
    fields: dict[str, object] = {
        "request": step.job.id,
        "step": step.name,
        "queue": step.job.spec.queue,
        "waited_ms": state.now_ms - step.job.received_ms,
        "workers": tasks,
    }
    if step.has_suspects:
        fields["isolated"] = [task.index for task, _ in placed if task.is_suspect]
    cell.notes.append((TASKS_PLACED, fields))


def _place_tasks(
    cell: Cell,
    state: SchedulingPass,
    step: StepRun,
    workers: list[Worker],
    band: Band,
    startable_milli: int,
) -> list[tuple[Task, Worker]]:
    """Choose workers for the waiting tasks of a step whose tasks are independent.

    :param startable_milli: CPU that the tasks may take, in thousandths
    """
    spec = step.spec
    size = allocation_of(spec.size, spec.is_filler)
    if size.cpu_milli > startable_milli:
        return []
    failed_workers = cell.health.failed_workers(TaskId(step.job.id))
    on_worker = _count_by_worker(step) if spec.max_per_worker else {}
    planned: dict[WorkerId, Resources] = {}

    def evaluate(worker: Worker) -> tuple | None:
        """Return the score of a worker for the next task, ``None`` if none fits on it."""
        if spec.max_per_worker and on_worker.get(worker.id, 0) >= spec.max_per_worker:
            return None
        free = free_capacity(worker, planned.get(worker.id, ZERO_RESOURCES))
        if not size.fits_in(free):
            return None
        score = _score(step, worker, free, worker.id in failed_workers)
        return (worker.id in state.holders, *score)

    # A placement changes the score of its worker only, so the others are evaluated once.
    evaluated = ((evaluate(worker), worker) for worker in workers)
    candidates = [
        (score, worker)
        for score, worker in evaluated
        if score is not None
        and not state.is_held_from(worker, step, band)
        and cell.health.may_start(worker.id, True, state.now_ms)
    ]
    heapify(candidates)
    placed: list[tuple[Task, Worker]] = []
    max_starts = max(1, state.starts_left)
    planned_total = ZERO_RESOURCES
    for task in step.waiting.values():
        if task.is_suspect or task.restart_ms > state.now_ms:
            continue
        startable_milli -= size.cpu_milli
        if not candidates or startable_milli < 0 or len(placed) >= max_starts:
            break
        if not cell.is_within_limit(step.job.spec.team, planned_total + spec.size):
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
    for task in step.running.values():
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
    state.count_start(task.job)
    state.pools[worker.info.pool].used_milli += allocation_of(run.size, run.is_filler).cpu_milli
    expires_ms = cell.permits.expires_ms(task.step.name) if permit else 0
    cell.commands.append(StartRun(run, task.job.spec.payload, checkpoint, permit, expires_ms))
