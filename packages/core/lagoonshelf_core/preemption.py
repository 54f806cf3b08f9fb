"""Selection of the running tasks to preempt when urgent work does not fit.

The order is: free capacity, the queue's reserve, throttling background work, checkpointing
repeatable work of a lower class, stopping the most recently started repeatable work of a lower
class. Non-repeatable tasks and services at their minimum are never preempted.
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

THROTTLED_PERCENT = 25  # processor share of a throttled task
MAX_SCANNED = 8_192  # running tasks examined per decision; a full partition has fewer
CHECKPOINT_KINDS = (WorkKind.BATCH, WorkKind.GANG)

MayPreempt = Callable[[Allocation], bool]


class PreemptionStep(IntEnum):
    """Preemption steps, least disruptive first.

    ``RECLAIM`` checkpoints work of teams above their share to reclaim lent share.
    """

    THROTTLE = 0
    CHECKPOINT = 1
    STOP = 2
    RECLAIM = 3


@dataclass(frozen=True, slots=True)
class VictimSelection:
    """A worker on which preemption frees enough capacity.

    :param victims: tasks to preempt
    """

    step: PreemptionStep
    worker: WorkerId
    victims: tuple[Allocation, ...]


def throttled_size(size: Resources) -> Resources:
    """Return the allocation of a throttled task; throttling frees only processor time."""
    cpu_milli = -(-size.cpu_milli * THROTTLED_PERCENT // 100)
    return Resources(cpu_milli, size.memory_mib, size.accelerators, size.slots)


def select_victims(
    state: PassState,
    size: Resources,
    may_use: Callable[[WorkerId], bool],
    work_class: WorkClass,
    step: PreemptionStep,
) -> VictimSelection | None:
    """Return the victims of one step for a task of a class, or none.

    :param work_class: only tasks of a lower class are preempted
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
    """Return the first worker on which preemption frees enough capacity, with its victims.

    :param may_preempt: returns whether a running task may be preempted by this step
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
            continue  # enough free capacity: a reserve or a limit blocks the task
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
    """Return whether a running task may be checkpointed to reclaim lent share."""
    return _step_allows(state, allocation, PreemptionStep.CHECKPOINT)


def _is_same_service(allocation: Allocation, victims: list[Allocation]) -> bool:
    """Return whether a replica of the same service is a victim already.

    The check of a service's minimum allows for one preempted replica only.
    """
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
    """Return the tasks that are stopped together: the whole gang, or the task alone."""
    if allocation.task.kind is not WorkKind.GANG:
        return [allocation]
    gang = state.gangs.get(group_of(allocation.task))
    members = (state.allocations.get(task) for task in sorted(gang.allocated))
    return [member for member in members if member is not None]


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
    """Return the victims that are needed; tasks that started earliest are spared first."""
    kept = list(victims)
    for victim in reversed(victims):
        others = [allocation for allocation in kept if allocation is not victim]
        if size.fits_in(available + _freed_by(others, step)):
            kept = others
    return kept
