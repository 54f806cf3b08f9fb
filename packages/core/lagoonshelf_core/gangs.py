"""Gangs: waiting members, the plan of a reservation, and the one reservation of a partition."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from operator import itemgetter

from lagoonshelf_core.hooks import Hooks
from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.model import Task, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.room import Room
from lagoonshelf_core.waiting import GroupId

# A member that comes back after others have ended would wait for ever for the full number.
GATHER_MS = 5_000
RETRY_MS = 1_000  # time until a gang without a possible plan is tried again
# A task that has exceeded its estimate is expected to run for a quarter of its age again.
OVERRUN_DIVISOR = 4
TRY_MS = 100  # trying a gang costs as much as starting it, so a failure is not repeated at once
BACKFILL_KINDS = (WorkKind.INTERACTIVE, WorkKind.BATCH)


@dataclass(slots=True)
class Gang:
    """Members of one gang request.

    :param waiting: members that wait, with the room each needs
    :param held: members that hold room
    :param ended: members that have released their room
    :param retry_ms: no plan is tried before this time
    :param tried_ms: when the members were last found not to fit
    """

    order: tuple[int, int]
    size: int
    waiting: dict[TaskId, tuple[Task, Resources]] = field(default_factory=dict)
    held: set[TaskId] = field(default_factory=set)
    ended: set[TaskId] = field(default_factory=set)
    gathered_ms: int | None = None
    retry_ms: int = 0
    tried_ms: int | None = None

    def is_complete(self, now_ms: int) -> bool:
        """Tell whether all members are there, or no more are to be expected."""
        if len(self.waiting) + len(self.held) + len(self.ended) >= self.size:
            return True
        if self.gathered_ms is None:
            self.gathered_ms = now_ms
        return now_ms - self.gathered_ms >= GATHER_MS


@dataclass(slots=True)
class Reservation:
    """Room set aside for all members of one gang.

    :param spots: worker and room of each member, never changed
    :param due_ms: when the last member is expected to fit
    :param backfilled: tasks that use the room until then
    :param promised: reserved room per worker
    """

    group: GroupId
    spots: dict[TaskId, tuple[WorkerId, Resources]]
    due_ms: int
    backfilled: dict[TaskId, WorkerId] = field(default_factory=dict)
    promised: dict[WorkerId, Resources] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Add up the reserved room per worker, in order of workers."""
        for worker, size in sorted(self.spots.values(), key=itemgetter(0)):
            self.promised[worker] = self.promised.get(worker, Resources()) + size


class GangBook:
    """Gangs with waiting or running members, in order of arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self._gangs: dict[GroupId, Gang] = {}

    def wait(self, group: GroupId, order: tuple[int, int], task: Task, size: Resources) -> None:
        """Add a waiting member.

        :param order: arrival, used when the member is the first of its gang
        """
        gang = self._gangs.setdefault(group, Gang(order, task.gang_size))
        gang.waiting[task.task] = (task, size)
        gang.held.discard(task.task)
        gang.ended.discard(task.task)
        gang.gathered_ms = None

    def hold(self, group: GroupId, task: Task) -> None:
        """Note that a member holds room."""
        gang = self._gangs.setdefault(group, Gang((task.queued_ms, 0), task.gang_size))
        gang.waiting.pop(task.task, None)
        gang.ended.discard(task.task)
        gang.held.add(task.task)

    def forget(self, group: GroupId, task: TaskId) -> None:
        """Remove a member that was cancelled or has ended."""
        gang = self._gangs.get(group)
        if gang is None:
            return
        gang.waiting.pop(task, None)
        if task in gang.held:
            gang.held.discard(task)
            gang.ended.add(task)
        if not gang.waiting and not gang.held:
            del self._gangs[group]

    def get(self, group: GroupId) -> Gang | None:
        """Return a gang, or none."""
        return self._gangs.get(group)

    def oldest_first(self) -> Iterator[tuple[GroupId, Gang]]:
        """Yield the gangs that have waiting members, oldest first."""
        waiting = [(gang.order, group) for group, gang in self._gangs.items() if gang.waiting]
        for _, group in sorted(waiting):
            yield group, self._gangs[group]


@dataclass(frozen=True, slots=True)
class Ending:
    """Room that a running task is expected to free."""

    at_ms: int
    worker: WorkerId
    size: Resources


def expected_end_ms(started_ms: int, estimate_ms: int, now_ms: int) -> int:
    """Return when a running task is expected to end.

    :param estimate_ms: corrected run time
    """
    age_ms = max(now_ms - started_ms, 0)
    if age_ms < estimate_ms:
        return started_ms + estimate_ms
    return now_ms + age_ms // OVERRUN_DIVISOR + 1


def plan(
    group: GroupId,
    gang: Gang,
    room: Room,
    endings: Callable[[], list[Ending]],
    hooks: Hooks,
    now_ms: int,
) -> Reservation | None:
    """Choose a worker for each waiting member: free room first, then the earliest endings.

    :param endings: running tasks that end, earliest first
    :returns: none when the members do not fit even after all these tasks have ended
    """
    spare = {worker: account.available for worker, account in room.ready()}
    left = list(gang.waiting.values())
    spots: dict[TaskId, tuple[WorkerId, Resources]] = {}
    for worker in sorted(spare):
        _fill(worker, spare, left, spots, hooks)
        if not left:
            return Reservation(group, spots, now_ms)
    for ending in endings():
        if ending.worker not in spare:
            continue
        spare[ending.worker] += ending.size
        _fill(ending.worker, spare, left, spots, hooks)
        if not left:
            return Reservation(group, spots, ending.at_ms)
    return None


def _fill(
    worker: WorkerId,
    spare: dict[WorkerId, Resources],
    left: list[tuple[Task, Resources]],
    spots: dict[TaskId, tuple[WorkerId, Resources]],
    hooks: Hooks,
) -> None:
    while left:
        task, size = left[-1]
        if not size.fits_in(spare[worker]) or not hooks.may_use(worker, task):
            return
        left.pop()
        spare[worker] -= size
        spots[task.task] = (worker, size)


def backfill_worker(
    task: Task,
    size: Resources,
    reservation: Reservation | None,
    room: Room,
    hooks: Hooks,
    now_ms: int,
) -> WorkerId | None:
    """Return a worker whose reserved room the task may use, or none.

    Only tasks that may be stopped and end before the reservation is due.
    """
    if reservation is None or not task.repeatable or task.kind not in BACKFILL_KINDS:
        return None
    if now_ms + hooks.estimate_ms(task) > reservation.due_ms:
        return None
    for worker, promised in reservation.promised.items():
        if not room.is_ready(worker):
            continue
        fits = size.fits_in(room.available(worker) + promised)
        if fits and hooks.may_use(worker, task):
            return worker
    return None
