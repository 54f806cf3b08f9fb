"""Which running tasks yield, and in what order, when urgent work finds no room.

The order is: available room, the queue's reserve, throttling background work, checkpointing
repeatable work of a lower class, stopping the most recently started repeatable work of a lower
class. Work that may not be repeated and services at their minimum never yield.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from itertools import islice

from lagoonshelf_core.allocation import Allocation
from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.model import WorkClass, WorkKind
from lagoonshelf_core.pass_state import PassState
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources
from lagoonshelf_core.waiting_tasks import group_of

THROTTLED_PERCENT = 25  # processor share left to throttled work
MAX_SCANNED = 8_192  # running tasks examined for one decision; a full partition holds fewer
CHECKPOINT_KINDS = (WorkKind.BATCH, WorkKind.GANG)

MayPreempt = Callable[[Allocation], bool]


class PreemptionStep(IntEnum):
    """Ways to make room, mildest first; ``RECLAIM`` returns lent share by checkpoint."""

    THROTTLE = 0
    CHECKPOINT = 1
    STOP = 2
    RECLAIM = 3


@dataclass(frozen=True, slots=True)
class VictimSelection:
    """A worker on which enough room can be made.

    :param victims: tasks that yield
    """

    step: PreemptionStep
    worker: WorkerId
    victims: tuple[Allocation, ...]


def throttled_size(size: Resources) -> Resources:
    """Return what a throttled task counts for; only processor time is given back."""
    cpu_milli = -(-size.cpu_milli * THROTTLED_PERCENT // 100)
    return Resources(cpu_milli, size.memory_mib, size.accelerators, size.slots)


def select_victims(
    state: PassState,
    size: Resources,
    may_use: Callable[[WorkerId], bool],
    work_class: WorkClass,
    step: PreemptionStep,
) -> VictimSelection | None:
    """Return how one step makes room for urgent work, or none.

    :param work_class: only work of a lower class yields
    """

    def may_preempt(allocation: Allocation) -> bool:
        return allocation.work_class.value > work_class.value and _step_allows(
            state, allocation, step
        )

    return select_victims_by(state, size, may_use, may_preempt, step)


def select_victims_by(
    state: PassState,
    size: Resources,
    may_use: Callable[[WorkerId], bool],
    may_preempt: MayPreempt,
    step: PreemptionStep,
) -> VictimSelection | None:
    """Return the first worker on which the tasks that yield free enough room.

    :param may_yield: tells whether a running task yields by this step
    """
    resources = state.resources
    by_worker: dict[WorkerId, list[Allocation]] = {}
    obtainable: dict[WorkerId, Resources] = {}
    running = state.allocations.preemption_candidates(step is PreemptionStep.THROTTLE)
    for allocation in islice(running, MAX_SCANNED):
        worker = allocation.worker
        if not may_preempt(allocation) or not resources.is_ready(worker) or not may_use(worker):
            continue
        if size.fits_in(resources.available(worker)):
            continue  # not short of room: a reserve or a limit keeps the task waiting
        victims = by_worker.setdefault(worker, [])
        if not victims:
            obtainable[worker] = resources.future_available(worker)
        if _is_same_service(allocation, victims):
            continue
        victims.append(allocation)
        obtainable[worker] += _freed_by([allocation], step)
        if size.fits_in(obtainable[worker]):
            minimal = _minimal_victims(victims, size, resources.future_available(worker), step)
            return VictimSelection(step, worker, _with_gang_members(state, minimal))
    return None


def _step_allows(state: PassState, allocation: Allocation, step: PreemptionStep) -> bool:
    if step is PreemptionStep.THROTTLE:
        is_background = allocation.work_class is WorkClass.BACKGROUND
        return is_background and allocation.requested_percent == 100
    if not allocation.task.repeatable:
        return False
    if step is PreemptionStep.CHECKPOINT:
        return allocation.task.kind in CHECKPOINT_KINDS and _gang_is_repeatable(state, allocation)
    if allocation.task.kind is WorkKind.SERVICE:
        return _is_above_minimum(state, allocation)
    return _gang_is_repeatable(state, allocation)


def may_reclaim(state: PassState, allocation: Allocation) -> bool:
    """Tell whether a running task may be checkpointed to return lent share."""
    return _step_allows(state, allocation, PreemptionStep.CHECKPOINT)


def _is_same_service(allocation: Allocation, victims: list[Allocation]) -> bool:
    """Tell whether a replica of the same service yields already; the minimum counts one."""
    group = group_of(allocation.task)
    is_service = allocation.task.kind is WorkKind.SERVICE
    return is_service and any(group_of(victim.task) == group for victim in victims)


def _is_above_minimum(state: PassState, allocation: Allocation) -> bool:
    group = group_of(allocation.task)
    minimum = state.hooks.service_minimum(allocation.task, state.replica_count(group))
    running = [other for other in state.allocated_replicas(group) if not other.requeue]
    return len(running) > minimum


def _gang_is_repeatable(state: PassState, allocation: Allocation) -> bool:
    return all(member.task.repeatable for member in _stopped_together(state, allocation))


def _stopped_together(state: PassState, allocation: Allocation) -> list[Allocation]:
    """Return the tasks that stop together: the whole gang, or the task alone."""
    if allocation.task.kind is not WorkKind.GANG:
        return [allocation]
    gang = state.gangs.get(group_of(allocation.task))
    held = (state.allocations.get(task) for task in sorted(gang.allocated))
    return [member for member in held if member is not None]


def _with_gang_members(state: PassState, victims: list[Allocation]) -> tuple[Allocation, ...]:
    found: dict[str, Allocation] = {}
    for victim in victims:
        for member in _stopped_together(state, victim):
            found.setdefault(member.task.task, member)
    return tuple(found.values())


def _freed_by(victims: Iterable[Allocation], step: PreemptionStep) -> Resources:
    total = ZERO_RESOURCES
    for victim in victims:
        total += victim.size
        if step is PreemptionStep.THROTTLE:
            total -= throttled_size(victim.full_size)
    return total


def _minimal_victims(
    victims: list[Allocation], size: Resources, available: Resources, step: PreemptionStep
) -> list[Allocation]:
    """Leave out tasks that need not yield, the earliest started first."""
    kept = list(victims)
    for victim in reversed(victims):
        others = [allocation for allocation in kept if allocation is not victim]
        if size.fits_in(available + _freed_by(others, step)):
            kept = others
    return kept
