"""Advice requests to the placement policy: for which steps, and listing which workers."""

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.capacity import count_fitting
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import RequestAdvice
from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.progress import StepRun
from lagoonshelf_core.jobs.ranking import Band, prefers_fast
from lagoonshelf_core.jobs.scheduling_pass import SchedulingPass
from lagoonshelf_core.jobs.workers import Worker, allocation_of

# The policy accepts at most this many workers in one request.
MAX_WORKERS_PER_REQUEST = 100
# Fewer workers would leave too little choice to pack tasks densely.
MIN_WORKERS_PER_REQUEST = 40
# A request lists enough workers for this many slots per waiting task, weighted by the share of
# workers that the policy has allowed recently.
SLOTS_PER_WAITING_TASK = 1.5
# Waiting steps whose permits are kept valid while they wait for capacity, at least this many and
# this share of the pool's workers. A late step is one of them only if it could start or waits for
# held workers; a pass checks at most MAX_LATE_CHECKS late steps, and checks one again after
# LATE_RECHECK_MS.
MAX_ADVISED_STEPS = 24
ADVISED_STEPS_PER_WORKER = 0.25
MAX_LATE_CHECKS = 8
LATE_RECHECK_MS = 500
# A fast worker with less than this share of its CPU free is listed after those of any speed.
MIN_FREE_SHARE = 0.125
# Late gangs without held workers that are advised at a time, so that workers can be held for them.
MAX_LATE_GANGS = 4


def request_advice(
    cell: Cell, state: SchedulingPass, step: StepRun, queue: Queue, band: Band
) -> None:
    """Request advice for a step if its permits need renewal and the step could use them."""
    timing, now_ms = queue.advice, state.now_ms
    if timing is None or state.advised_steps >= _max_advised_steps(state, queue):
        return
    max_cost_ms = timing.base_ms + timing.per_worker_ms * MAX_WORKERS_PER_REQUEST
    if not cell.permits.is_request_due(step.name, max_cost_ms, now_ms):
        is_in_use = cell.permits.is_in_use(step.name, now_ms)
        state.advised_steps += band < Band.LATE or is_in_use
        if band >= Band.LATE and is_in_use and step.spec.is_gang and step.hold is None:
            state.late_gangs += 1
        return
    if band >= Band.LATE:
        state.late_checks += 1
        if state.late_checks > MAX_LATE_CHECKS:
            return
    selected, can_start = _select_workers(cell, state, step, queue, band)
    if band >= Band.LATE and not can_start and not _may_hold_workers(state, step):
        cell.permits.defer_request(step.name, now_ms + LATE_RECHECK_MS)
        return
    state.advised_steps += 1
    cost_ms = timing.base_ms + timing.per_worker_ms * len(selected)
    if not selected or not cell.permits.is_request_due(step.name, cost_ms, now_ms):
        return
    if not state.advice_budget.allows(cost_ms) and state.advised_steps > 1:
        return
    state.advice_budget.take(cost_ms)
    cell.permits.request_sent(step.name)
    cell.commands.append(RequestAdvice(step, selected, cost_ms))


def least_cost_ms(queue: Queue) -> float:
    """Return the time that a request for a step of a queue takes at least."""
    timing = queue.advice
    if timing is None:
        return 0.0
    return timing.base_ms + timing.per_worker_ms * MIN_WORKERS_PER_REQUEST


def _max_advised_steps(state: SchedulingPass, queue: Queue) -> int:
    workers = len(state.usable[queue.pool])
    return max(MAX_ADVISED_STEPS, int(ADVISED_STEPS_PER_WORKER * workers))


def _may_hold_workers(state: SchedulingPass, step: StepRun) -> bool:
    """Return whether a gang holds workers, or is among the first late ones, which may."""
    if step.hold is not None:
        return True
    if not step.spec.is_gang:
        return False
    state.late_gangs += 1
    return state.late_gangs <= MAX_LATE_GANGS


def _select_workers(
    cell: Cell, state: SchedulingPass, step: StepRun, queue: Queue, band: Band
) -> tuple[tuple[WorkerId, ...], bool]:
    """Return the workers to list in a request: held ones, then those that suit the step best.

    The second value is whether the step could probably start on those the policy will allow.
    """
    by_preference = _by_preference(cell, state, step, queue)
    label, size = step.spec.label, allocation_of(step.spec.size, step.spec.is_filler)
    share = cell.permits.allowed_share(queue.id)
    waiting = len(step.waiting)
    max_per_worker = step.spec.max_per_worker or waiting
    expected_slots = 0.0
    selected: list[WorkerId] = []
    for worker in _held_first(state, step, queue, by_preference):
        if label and label not in worker.info.labels:
            continue
        probability = cell.permits.allow_probability(step.name, worker.info.id, share)
        if not probability:
            continue
        selected.append(worker.info.id)
        if state.is_held_from(worker, step, band):
            continue
        expected_slots += probability * min(
            max_per_worker, count_fitting(size, worker.info.capacity, worker.used)
        )
        if len(selected) >= MAX_WORKERS_PER_REQUEST:
            break
        if (
            len(selected) >= MIN_WORKERS_PER_REQUEST
            and expected_slots >= SLOTS_PER_WAITING_TASK * waiting
        ):
            break
    return tuple(selected), expected_slots >= (waiting if step.spec.is_gang else 1)


def _held_first(
    state: SchedulingPass, step: StepRun, queue: Queue, by_preference: list[Worker]
) -> list[Worker]:
    if step.hold is None:
        return by_preference
    usable, held = state.usable[queue.pool], step.hold.workers
    first = [usable[name] for name in sorted(held) if name in usable]
    return first + [worker for worker in by_preference if worker.id not in held]


def _by_preference(cell: Cell, state: SchedulingPass, step: StepRun, queue: Queue) -> list[Worker]:
    """Return the usable workers in the order in which advice is asked for them.

    Cold and slow ones are last. The others go by free CPU, and for a step that prefers fast
    workers by speed if they have room.
    """
    lists = state.by_free_cpu
    if cell.speeds is not None and prefers_fast(step, queue, state.now_ms):
        lists = state.by_speed
    workers = lists.get(queue.pool)
    if workers is not None:
        return workers
    usable = state.usable[queue.pool].values()
    is_by_speed = lists is state.by_speed and any(worker.speed_class for worker in usable)

    def key(worker: Worker) -> tuple:
        capacity_milli = worker.info.capacity.cpu_milli
        used_milli = worker.used.cpu_milli - capacity_milli
        speed_rank = ()
        if is_by_speed:
            speed_rank = (-used_milli < MIN_FREE_SHARE * capacity_milli, -worker.speed_class)
        return (worker.id in state.cold, worker.is_slow, *speed_rank, used_milli, worker.id)

    lists[queue.pool] = sorted(usable, key=key)
    return lists[queue.pool]
