"""Questions to the placement policy: about which steps, and naming which workers."""

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import AskAdvice
from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.passes import MAX_RESERVATIONS, RESERVING_BANDS, Pass
from lagoonshelf_core.jobs.progress import StepRun
from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.room import times_in
from lagoonshelf_core.jobs.workers import Worker, room_of

# The policy takes at most so many workers in one question.
MAX_NAMED = 100
# Fewest workers named, so that tasks can be packed well.
MIN_NAMED = 40
# A question names workers for so many times the tasks that wait, by what the policy has allowed.
NAMED_FACTOR = 1.5
# Waiting steps whose permits are kept valid while they wait for room. Late steps are among them
# only when there is room for them; so many are looked at in a pass, and again after a while.
MAX_ADVISED_STEPS = 24
MAX_LOOKS = 8
LOOK_AGAIN_MS = 500


def ask_advice(cell: Cell, state: Pass, step: StepRun, queue: Queue, band: Band) -> None:
    """Ask the placement policy about a step if its answer could be of use."""
    terms, now_ms = queue.advice, state.now_ms
    if terms is None or state.advised >= MAX_ADVISED_STEPS:
        return
    most_ms = terms.base_ms + terms.per_worker_ms * MAX_NAMED
    if not cell.permits.is_due(step.name, most_ms, now_ms):
        state.advised += band < Band.LATE or cell.permits.is_in_use(step.name, now_ms)
        return
    if band >= Band.LATE:
        state.looks += 1
        if state.looks > MAX_LOOKS:
            return
    named, has_room = _to_name(cell, state, step, queue)
    if band >= Band.LATE and not has_room and not _may_wait_for_room(state, step, band):
        cell.permits.look_again(step.name, now_ms + LOOK_AGAIN_MS)
        return
    state.advised += 1
    cost_ms = terms.base_ms + terms.per_worker_ms * len(named)
    if not named or not cell.permits.is_due(step.name, cost_ms, now_ms):
        return
    if state.advice_budget_ms < cost_ms and state.advised > 1:
        return
    state.advice_budget_ms -= cost_ms
    cell.permits.asking(step.name)
    cell.commands.append(AskAdvice(step, named, cost_ms))


def _may_wait_for_room(state: Pass, step: StepRun, band: Band) -> bool:
    """Tell whether a step is among the first late gangs for which room is kept free."""
    if not step.spec.is_gang or band not in RESERVING_BANDS:
        return False
    state.late_gangs += 1
    return state.late_gangs <= MAX_RESERVATIONS


def _to_name(
    cell: Cell, state: Pass, step: StepRun, queue: Queue
) -> tuple[tuple[WorkerId, ...], bool]:
    """Return the workers to ask about, those with most free processors first.

    Also tells whether the step could probably start on those that the policy will allow.
    """
    by_room = state.by_room.get(queue.pool)
    if by_room is None:
        by_room = sorted(state.usable[queue.pool].values(), key=_room_key)
        state.by_room[queue.pool] = by_room
    label, size = step.spec.label, room_of(step.spec.size, step.spec.is_filler)
    share = cell.permits.allowed_share(queue.id)
    waiting = len(step.waiting_tasks)
    most = step.spec.max_per_worker or waiting
    found = 0.0
    named: list[WorkerId] = []
    for worker in by_room:
        if label and label not in worker.info.labels:
            continue
        chance = cell.permits.chance(step.name, worker.info.id, share)
        if not chance:
            continue
        named.append(worker.info.id)
        found += chance * min(most, times_in(size, worker.info.capacity, worker.used, 0))
        if len(named) >= MAX_NAMED:
            break
        if len(named) >= MIN_NAMED and found >= NAMED_FACTOR * waiting:
            break
    return tuple(named), found >= (waiting if step.spec.is_gang else 1)


def _room_key(worker: Worker) -> tuple[int, WorkerId]:
    return (worker.used.cpu_milli - worker.info.capacity.cpu_milli, worker.info.id)
