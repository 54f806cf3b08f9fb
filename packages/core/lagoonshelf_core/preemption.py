"""Which running tasks yield, and in what order, when urgent work finds no room.

The order is: available room, the queue's reserve, throttling background work, checkpointing
repeatable work of a lower class, stopping the most recently started repeatable work of a lower
class. Work that may not be repeated and services at their minimum never yield.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from itertools import islice

from lagoonshelf_core.holding import Holding
from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.model import WorkClass, WorkKind
from lagoonshelf_core.pass_state import PassState
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources
from lagoonshelf_core.waiting import group_of

THROTTLED_PERCENT = 25  # processor share left to throttled work
MOST_SCANNED = 8_192  # running tasks examined for one decision; a full partition holds fewer
CHECKPOINT_KINDS = (WorkKind.BATCH, WorkKind.GANG)

MayYield = Callable[[Holding], bool]


class Step(IntEnum):
    """Ways to make room, mildest first; ``RECLAIM`` returns lent share by checkpoint."""

    THROTTLE = 0
    CHECKPOINT = 1
    STOP = 2
    RECLAIM = 3


@dataclass(frozen=True, slots=True)
class Choice:
    """A worker on which enough room can be made.

    :param victims: tasks that yield
    """

    step: Step
    worker: WorkerId
    victims: tuple[Holding, ...]


def throttled_size(size: Resources) -> Resources:
    """Return what a throttled task counts for; only processor time is given back."""
    cpu_milli = -(-size.cpu_milli * THROTTLED_PERCENT // 100)
    return Resources(cpu_milli, size.memory_mib, size.accelerators, size.slots)


def choose(
    state: PassState,
    size: Resources,
    may_use: Callable[[WorkerId], bool],
    work_class: WorkClass,
    step: Step,
) -> Choice | None:
    """Return how one step makes room for urgent work, or none.

    :param work_class: only work of a lower class yields
    """

    def may_yield(holding: Holding) -> bool:
        return holding.work_class.value > work_class.value and _allows(state, holding, step)

    return choose_by(state, size, may_use, may_yield, step)


def choose_by(
    state: PassState,
    size: Resources,
    may_use: Callable[[WorkerId], bool],
    may_yield: MayYield,
    step: Step,
) -> Choice | None:
    """Return the first worker on which the tasks that yield free enough room.

    :param may_yield: tells whether a running task yields by this step
    """
    room = state.room
    by_worker: dict[WorkerId, list[Holding]] = {}
    reachable: dict[WorkerId, Resources] = {}
    running = state.holdings.yielding(step is Step.THROTTLE)
    for holding in islice(running, MOST_SCANNED):
        worker = holding.worker
        if not may_yield(holding) or not room.is_ready(worker) or not may_use(worker):
            continue
        if size.fits_in(room.available(worker)):
            continue  # not short of room: a reserve or a limit keeps the task waiting
        victims = by_worker.setdefault(worker, [])
        if not victims:
            reachable[worker] = room.expected(worker)
        if _is_same_service(holding, victims):
            continue
        victims.append(holding)
        reachable[worker] += _gain([holding], step)
        if size.fits_in(reachable[worker]):
            least = _least(victims, size, room.expected(worker), step)
            return Choice(step, worker, _with_gangs(state, least))
    return None


def _allows(state: PassState, holding: Holding, step: Step) -> bool:
    if step is Step.THROTTLE:
        is_background = holding.work_class is WorkClass.BACKGROUND
        return is_background and holding.asked_percent == 100
    if not holding.task.repeatable:
        return False
    if step is Step.CHECKPOINT:
        return holding.task.kind in CHECKPOINT_KINDS and _gang_is_repeatable(state, holding)
    if holding.task.kind is WorkKind.SERVICE:
        return _is_above_minimum(state, holding)
    return _gang_is_repeatable(state, holding)


def may_checkpoint(state: PassState, holding: Holding) -> bool:
    """Tell whether a running task may be checkpointed to return lent share."""
    return _allows(state, holding, Step.CHECKPOINT)


def _is_same_service(holding: Holding, victims: list[Holding]) -> bool:
    """Tell whether a replica of the same service yields already; the minimum counts one."""
    group = group_of(holding.task)
    is_service = holding.task.kind is WorkKind.SERVICE
    return is_service and any(group_of(victim.task) == group for victim in victims)


def _is_above_minimum(state: PassState, holding: Holding) -> bool:
    group = group_of(holding.task)
    minimum = state.hooks.service_minimum(holding.task, state.replica_count(group))
    running = [other for other in state.replicas_held(group) if not other.requeue]
    return len(running) > minimum


def _gang_is_repeatable(state: PassState, holding: Holding) -> bool:
    return all(member.task.repeatable for member in _members(state, holding))


def _members(state: PassState, holding: Holding) -> list[Holding]:
    """Return the tasks that stop together: the whole gang, or the task alone."""
    if holding.task.kind is not WorkKind.GANG:
        return [holding]
    gang = state.gangs.get(group_of(holding.task))
    held = (state.holdings.get(task) for task in sorted(gang.held))
    return [member for member in held if member is not None]


def _with_gangs(state: PassState, victims: list[Holding]) -> tuple[Holding, ...]:
    found: dict[str, Holding] = {}
    for victim in victims:
        for member in _members(state, victim):
            found.setdefault(member.task.task, member)
    return tuple(found.values())


def _gain(victims: Iterable[Holding], step: Step) -> Resources:
    total = ZERO_RESOURCES
    for victim in victims:
        total += victim.size
        if step is Step.THROTTLE:
            total -= throttled_size(victim.full)
    return total


def _least(
    victims: list[Holding], size: Resources, available: Resources, step: Step
) -> list[Holding]:
    """Leave out tasks that need not yield, the earliest started first."""
    kept = list(victims)
    for victim in reversed(victims):
        others = [holding for holding in kept if holding is not victim]
        if size.fits_in(available + _gain(others, step)):
            kept = others
    return kept
