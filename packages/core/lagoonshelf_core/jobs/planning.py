"""Scheduling pass: decides which tasks start, and on which workers."""

from collections.abc import Iterable
from copy import deepcopy
from dataclasses import dataclass
from heapq import heapify, heappop, heapreplace
from itertools import chain

from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.jobs.advice_lanes import AdviceBudget
from lagoonshelf_core.jobs.advice_requests import least_cost_ms, request_advice
from lagoonshelf_core.jobs.capacity import free_capacity
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.cold import add_cold_workers
from lagoonshelf_core.jobs.commands import StartRun
from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.gang_placement import hold_workers, place_gang
from lagoonshelf_core.jobs.isolation import place_suspects
from lagoonshelf_core.jobs.late_order import order_late_by_work
from lagoonshelf_core.jobs.occurrences import open_due_occurrences
from lagoonshelf_core.jobs.past_use import order_by_past_use
from lagoonshelf_core.jobs.progress import GangHold, StepRun, Task
from lagoonshelf_core.jobs.ranking import Band, Rank, prefers_fast, rank
from lagoonshelf_core.jobs.scheduling_pass import SchedulingPass
from lagoonshelf_core.jobs.workers import Worker, allocation_of
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources

# Log message of the tasks of a step that start in a pass.
TASKS_PLACED = "tasks placed"
# Share of the placement policy's time that requests for steps of no use any more leave to the
# others. With four such steps advised at a time, accepted jobs were still waiting when a day with
# most of the cell free had ended.
USEFUL_ADVICE_SHARE = 0.5


def plan(cell: Cell, now_ms: int, now_wall_ms: int, advice_budget: AdviceBudget) -> bool:
    """Run a scheduling pass; add commands to the cell for the tasks that start now.

    Return whether another pass is needed for work that this one has left.

    :param advice_budget: time of the placement policy that advice requests may use
    """
    has_more = open_due_occurrences(cell, now_wall_ms)
    if not cell.open_steps or cell.has_too_many_runs():
        return has_more
    state = SchedulingPass(now_ms, {}, advice_budget=advice_budget)
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
        if (step.job.is_inherited and has_unread) or cell.may_have_other_leader(step.job):
            continue
        if not state.may_start(step) or state.is_stuck(step):
            continue
        _plan_step(cell, state, step, queue, Band(band))
    return has_more or state.starts_left <= 0


@dataclass(frozen=True, slots=True)
class Preview:
    """What a pass would decide about a step that is not in the cell.

    :param state: state of the pass when it comes to the step
    :param ahead: steps that go before it
    :param labelled: usable workers of the pool that have its label
    :param placed: tasks that would start now, with their workers
    :param hold: workers that would be held for it, if it is a gang that has to wait
    """

    state: SchedulingPass
    band: Band
    ahead: list[tuple[StepRun, Queue]]
    labelled: list[Worker]
    placed: list[tuple[Task, Worker]]
    hold: GangHold | None


def preview_step(cell: Cell, step: StepRun, queue: Queue, now_ms: int) -> Preview:
    """Return what a pass would decide about a step, and change nothing.

    Steps that go before it and wait have not found room in the passes before, so that what is
    free is free for this one. Permits of the placement policy are taken as given.
    """
    state, cold_starts = SchedulingPass(now_ms, {}), cell.cold_starts
    cell.cold_starts = deepcopy(cold_starts)
    _add_usable_workers(cell, state)
    cell.cold_starts = cold_starts
    ranked = _rank_open_steps(cell, state, (step,))
    state.register_holds(other for _, other, _ in ranked)
    position = next(number for number, row in enumerate(ranked) if row[1] is step)
    if cell.options.orders_late_by_work:
        later = {other for _, other, _ in ranked[position:]}
        state.later_holders.update(later.intersection(state.holders.values()))
    band, ahead = Band(ranked[position][0][0]), [row[1:] for row in ranked[:position]]
    usable = state.usable.get(queue.pool, {})
    workers = _find_workers(step, usable, usable)
    placed: list[tuple[Task, Worker]] = []
    if workers and cell.is_within_limit(step.job.spec.team, step.spec.smallest_start):
        placed = _place_step(cell, state, step, queue, workers, workers, band)
    return Preview(state, band, ahead, workers, placed, step.hold)


def _add_usable_workers(cell: Cell, state: SchedulingPass) -> None:
    if not cell.may_use_registry(state.now_ms):
        return
    if not cell.evacuations.is_current(state.now_ms, is_store_down=cell.is_store_down):
        return
    for worker in cell.workers.values():
        if not cell.is_available(worker, state.now_ms):
            continue
        if cell.may_use_capacity(worker, state.now_ms):
            state.add_usable(worker)
    add_cold_workers(cell, state)


def _rank_open_steps(
    cell: Cell, state: SchedulingPass, others: Iterable[StepRun] = ()
) -> list[tuple[Rank, StepRun, Queue]]:
    """Return the steps with tasks that can start and their queues, in order of priority.

    :param others: steps of which to tell the order although they are not in the cell
    """
    ranked = []
    for step in chain(cell.open_steps.first(), others):
        queue = cell.queue_of(step.job)
        if queue is not None:
            row = _rank(cell, step, queue, state.now_ms)
            if cell.options.orders_late_by_work:
                row = order_late_by_work(row, step, queue, state.capacity_milli(queue.pool))
            ranked.append((row, step, queue))
    if cell.past_use is not None:
        ranked = order_by_past_use(cell.past_use, cell.cfg, ranked, state.now_ms)
    ranked.sort(key=lambda row: (row[0], row[1].name))
    return ranked


def _rank(cell: Cell, step: StepRun, queue: Queue, now_ms: int) -> Rank:
    if cell.speeds is None:
        return rank(step, queue, now_ms)
    return rank(step, queue, now_ms, cell.speeds.pool_rate(queue.pool))


def summary(cell: Cell, now_ms: int) -> dict[str, object]:
    """Return statistics of the cell for the log."""
    bands: dict[str, int] = {}
    for step in cell.open_steps:
        queue = cell.queue_of(step.job)
        name = "no queue"
        if queue is not None:
            name = Band(_rank(cell, step, queue, now_ms)[0]).name.lower()
        bands[name] = bands.get(name, 0) + 1
    usable = [worker for worker in cell.workers.values() if worker.is_usable]
    return {
        "open_steps": bands,
        "jobs": len(cell.live_jobs),
        "workers": len(cell.workers),
        "usable": len(usable),
        "quarantined": sum(cell.health.is_quarantined(w.id, now_ms) for w in usable),
        "on_probe": sum(cell.health.is_on_probe(w.id, now_ms) for w in usable),
        "slow": sum(w.is_slow for w in usable),
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
    if not cell.is_within_limit(step.job.spec.team, step.spec.smallest_start):
        state.release(step)
        return
    permits: dict[WorkerId, str] | None = None
    may_run_on: Iterable[WorkerId] = usable
    if queue.advice is not None:
        permits = cell.permits.valid(step.name, state.now_ms)
        may_run_on = cell.permits.allowed(step.name)
        _request_advice_in_turn(cell, state, step, queue, band)
    workers = _find_workers(step, usable, usable if permits is None else permits)
    holdable = _find_workers(step, usable, may_run_on) if step.spec.is_gang else []
    placed = _place_step(cell, state, step, queue, workers, holdable, band)
    _start_all(cell, state, step, placed, permits)
    if step.has_suspects and not step.spec.is_gang:
        placed += _start_suspects(cell, state, step, queue, workers, permits, band)
    if placed:
        _note_placement(cell, state, step, placed)
        cell.update_open_step(step)
    elif queue.advice is None:
        state.note_stuck(step)


def _place_step(
    cell: Cell,
    state: SchedulingPass,
    step: StepRun,
    queue: Queue,
    workers: list[Worker],
    holdable: list[Worker],
    band: Band,
) -> list[tuple[Task, Worker]]:
    """Choose workers for the tasks of a step, and hold some for a gang that has to wait.

    :param workers: workers that its tasks may start on now
    :param holdable: workers that may be held for a gang
    """
    is_fast = cell.speeds is not None and prefers_fast(step, queue, state.now_ms)
    if not step.spec.is_gang:
        startable_milli = state.startable_milli(step, queue.pool, band)
        args = (cell, state, step, workers, band, startable_milli)
        return _place_tasks(*args, prefers_fast=is_fast)
    placed = []
    if workers:
        args = (cell, state, step, queue.pool, workers, band)
        placed = place_gang(*args, prefers_fast=is_fast)
    if not placed:
        hold_workers(state, step, queue.pool, holdable, band)
    return placed


def _request_advice_in_turn(
    cell: Cell, state: SchedulingPass, step: StepRun, queue: Queue, band: Band
) -> None:
    """Request advice for a step, within the share of its band.

    Long requests for steps of no use any more would keep those of new steps waiting.
    """
    if band is Band.TOO_LATE and cell.options.orders_late_by_work:
        budget = state.advice_budget
        usable_ms = budget.total_ms - USEFUL_ADVICE_SHARE * budget.full_ms
        if usable_ms < least_cost_ms(queue):
            return
    request_advice(cell, state, step, queue, band)


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
    workers = [worker for worker in workers if worker.id not in state.cold] or workers
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
    *,
    prefers_fast: bool = False,
) -> list[tuple[Task, Worker]]:
    """Choose workers for the waiting tasks of a step whose tasks are independent.

    :param startable_milli: CPU that the tasks may take, in thousandths
    :param prefers_fast: faster workers are better for them than those of usual speed
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
        if not size.fits_in(free) or not state.cold_room(worker, size, planned.get(worker.id)):
            return None
        score = _score(step, worker, free, worker.id in failed_workers, prefers_fast)
        is_held = worker.id in state.holders
        return (worker.id in state.cold, worker.is_slow, is_held, *score)

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
        _, best = candidates[0]
        is_within_limit = cell.is_within_limit(step.job.spec.team, planned_total + spec.size)
        # Cold workers are the last candidates, so that those behind them are cold as well.
        if not is_within_limit or not state.take_cold(best):
            break
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


def _score(
    step: StepRun, worker: Worker, free: Resources, has_failed: bool, prefers_fast: bool = False
) -> tuple:
    """Return the score of a worker for a task of a step; the lowest is best.

    Within a speed class the fullest worker is best. Tasks that need no fast worker only leave
    those free that are faster than the mean of the pool.
    """
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
    speed_class = worker.speed_class
    speed_rank = -speed_class if prefers_fast else max(0, speed_class)
    return (has_failed, is_other_rack, speed_rank, free.cpu_milli, worker.id)


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
    if worker.id in state.cold:
        cell.cold_starts.count(worker.info.pool)
    state.pools[worker.info.pool].used_milli += allocation_of(run.size, run.is_filler).cpu_milli
    expires_ms = cell.permits.expires_ms(task.step.name) if permit else 0
    cell.commands.append(StartRun(run, task.job.spec.payload, checkpoint, permit, expires_ms))
