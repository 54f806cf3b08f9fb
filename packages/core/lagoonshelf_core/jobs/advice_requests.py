"""Advice requests to the placement policy: for which steps, and listing which workers."""

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.capacity import count_fitting
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import RequestAdvice
from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.progress import StepRun
from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.scheduling_pass import MAX_RESERVATIONS, RESERVING_BANDS, SchedulingPass
from lagoonshelf_core.jobs.workers import Worker, allocation_of

# The policy accepts at most this many workers in one request.
MAX_WORKERS_PER_REQUEST = 100
# Fewer workers would leave too little choice to pack tasks densely.
MIN_WORKERS_PER_REQUEST = 40
# A request lists enough workers for this many slots per waiting task, weighted by the share of
# workers that the policy has allowed recently.
SLOTS_PER_WAITING_TASK = 1.5
# Waiting steps whose permits are kept valid while they wait for capacity. A late step is one of
# them only if it could start; a pass checks at most MAX_LATE_CHECKS late steps, and checks one
# again after LATE_RECHECK_MS.
MAX_ADVISED_STEPS = 24
MAX_LATE_CHECKS = 8
LATE_RECHECK_MS = 500


def request_advice(
    cell: Cell, state: SchedulingPass, step: StepRun, queue: Queue, band: Band
) -> None:
    """Request advice for a step if its permits need renewal and the step could use them."""
    timing, now_ms = queue.advice, state.now_ms
    if timing is None or state.advised_steps >= MAX_ADVISED_STEPS:
        return
    max_cost_ms = timing.base_ms + timing.per_worker_ms * MAX_WORKERS_PER_REQUEST
    if not cell.permits.is_request_due(step.name, max_cost_ms, now_ms):
        state.advised_steps += band < Band.LATE or cell.permits.is_in_use(step.name, now_ms)
        return
    if band >= Band.LATE:
        state.late_checks += 1
        if state.late_checks > MAX_LATE_CHECKS:
            return
    selected, can_start = _select_workers(cell, state, step, queue)
    if band >= Band.LATE and not can_start and not _may_reserve_capacity(state, step, band):
        cell.permits.defer_request(step.name, now_ms + LATE_RECHECK_MS)
        return
    state.advised_steps += 1
    cost_ms = timing.base_ms + timing.per_worker_ms * len(selected)
    if not selected or not cell.permits.is_request_due(step.name, cost_ms, now_ms):
        return
    if state.advice_budget_ms < cost_ms and state.advised_steps > 1:
        return
    state.advice_budget_ms -= cost_ms
    cell.permits.request_sent(step.name)
    cell.commands.append(RequestAdvice(step, selected, cost_ms))


def _may_reserve_capacity(state: SchedulingPass, step: StepRun, band: Band) -> bool:
    """Return whether a step is among the first late gangs, which may reserve workers."""
    if not step.spec.is_gang or band not in RESERVING_BANDS:
        return False
    state.late_gangs += 1
    return state.late_gangs <= MAX_RESERVATIONS


def _select_workers(
    cell: Cell, state: SchedulingPass, step: StepRun, queue: Queue
) -> tuple[tuple[WorkerId, ...], bool]:
    """Return the workers to list in a request, those with the most free CPU first.

    The second value is whether the step could probably start on those the policy will allow.
    """
    by_free_cpu = state.by_free_cpu.get(queue.pool)
    if by_free_cpu is None:
        by_free_cpu = sorted(state.usable[queue.pool].values(), key=_free_cpu_key)
        state.by_free_cpu[queue.pool] = by_free_cpu
    label, size = step.spec.label, allocation_of(step.spec.size, step.spec.is_filler)
    share = cell.permits.allowed_share(queue.id)
    waiting = len(step.waiting_tasks)
    max_per_worker = step.spec.max_per_worker or waiting
    expected_slots = 0.0
    selected: list[WorkerId] = []
    for worker in by_free_cpu:
        if label and label not in worker.info.labels:
            continue
        probability = cell.permits.allow_probability(step.name, worker.info.id, share)
        if not probability:
            continue
        selected.append(worker.info.id)
        expected_slots += probability * min(
            max_per_worker, count_fitting(size, worker.info.capacity, worker.used, 0)
        )
        if len(selected) >= MAX_WORKERS_PER_REQUEST:
            break
        if (
            len(selected) >= MIN_WORKERS_PER_REQUEST
            and expected_slots >= SLOTS_PER_WAITING_TASK * waiting
        ):
            break
    return tuple(selected), expected_slots >= (waiting if step.spec.is_gang else 1)


def _free_cpu_key(worker: Worker) -> tuple[int, WorkerId]:
    return (worker.used.cpu_milli - worker.info.capacity.cpu_milli, worker.info.id)
