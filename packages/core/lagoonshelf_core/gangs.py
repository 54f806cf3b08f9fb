"""Gang scheduling: waiting members, reservation planning and backfill."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from operator import itemgetter

from lagoonshelf_core.hooks import Hooks
from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.model import Task, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.waiting_tasks import GroupId
from lagoonshelf_core.worker_resources import PartitionResources

# Time after which an incomplete gang may start: a member that is requeued after others have
# ended would otherwise wait forever for the full number.
MEMBER_WAIT_MS = 5_000
PLAN_RETRY_MS = 1_000  # delay before a gang without a feasible plan is planned again
# A task that has exceeded its estimate is expected to run for another quarter of its age.
OVERRUN_DIVISOR = 4
START_RETRY_MS = 100  # delay after a failed start, which costs as much as a successful one
BACKFILL_KINDS = (WorkKind.INTERACTIVE, WorkKind.BATCH)


@dataclass(slots=True)
class Gang:
    """Members of one gang request.

    :param order: arrival time and sequence number
    :param waiting: waiting members and the size of each
    :param allocated: members with an allocation
    :param ended: members that have released their allocation
    :param incomplete_since_ms: when the gang was first found incomplete
    :param next_plan_ms: no reservation is planned before this time
    :param start_failed_ms: when the members were last found not to fit
    """

    order: tuple[int, int]
    size: int
    waiting: dict[TaskId, tuple[Task, Resources]] = field(default_factory=dict)
    allocated: set[TaskId] = field(default_factory=set)
    ended: set[TaskId] = field(default_factory=set)
    incomplete_since_ms: int | None = None
    next_plan_ms: int = 0
    start_failed_ms: int | None = None

    def is_complete(self, now_ms: int) -> bool:
        """Return whether all members have arrived, or ``MEMBER_WAIT_MS`` has passed."""
        if len(self.waiting) + len(self.allocated) + len(self.ended) >= self.size:
            return True
        if self.incomplete_since_ms is None:
            self.incomplete_since_ms = now_ms
        return now_ms - self.incomplete_since_ms >= MEMBER_WAIT_MS


@dataclass(slots=True)
class Reservation:
    """Capacity reserved for all members of one gang.

    :param assignments: worker and size of each member, never changed
    :param expected_start_ms: when the last member is expected to fit
    :param backfilled: tasks that use the reserved capacity until then
    :param reserved: reserved capacity per worker
    """

    group: GroupId
    assignments: dict[TaskId, tuple[WorkerId, Resources]]
    expected_start_ms: int
    backfilled: dict[TaskId, WorkerId] = field(default_factory=dict)
    reserved: dict[WorkerId, Resources] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Sum up the reserved capacity per worker, in order of workers."""
        for worker, size in sorted(self.assignments.values(), key=itemgetter(0)):
            self.reserved[worker] = self.reserved.get(worker, Resources()) + size


class GangTable:
    """Gangs with waiting or allocated members."""

    def __init__(self) -> None:
        """Initialize without entries."""
        self._gangs: dict[GroupId, Gang] = {}

    def add_waiting(
        self, group: GroupId, order: tuple[int, int], task: Task, size: Resources
    ) -> None:
        """Add a waiting member.

        :param order: arrival time and sequence number, used for the first member of a gang
        """
        gang = self._gangs.setdefault(group, Gang(order, task.gang_size))
        gang.waiting[task.task] = (task, size)
        gang.allocated.discard(task.task)
        gang.ended.discard(task.task)
        gang.incomplete_since_ms = None

    def mark_allocated(self, group: GroupId, task: Task) -> None:
        """Record that a member has an allocation."""
        gang = self._gangs.setdefault(group, Gang((task.queued_ms, 0), task.gang_size))
        gang.waiting.pop(task.task, None)
        gang.ended.discard(task.task)
        gang.allocated.add(task.task)

    def remove(self, group: GroupId, task: TaskId) -> None:
        """Remove a member that was cancelled or has ended."""
        gang = self._gangs.get(group)
        if gang is None:
            return
        gang.waiting.pop(task, None)
        if task in gang.allocated:
            gang.allocated.discard(task)
            gang.ended.add(task)
        if not gang.waiting and not gang.allocated:
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
class ExpectedEnd:
    """Capacity that a running task is expected to free."""

    at_ms: int
    worker: WorkerId
    size: Resources


def expected_end_ms(started_ms: int, estimate_ms: int, now_ms: int) -> int:
    """Return when a running task is expected to end.

    :param estimate_ms: corrected run time of the task
    """
    age_ms = max(now_ms - started_ms, 0)
    if age_ms < estimate_ms:
        return started_ms + estimate_ms
    return now_ms + age_ms // OVERRUN_DIVISOR + 1


def plan_reservation(
    group: GroupId,
    gang: Gang,
    resources: PartitionResources,
    expected_ends: Callable[[], list[ExpectedEnd]],
    hooks: Hooks,
    now_ms: int,
) -> Reservation | None:
    """Assign a worker to each waiting member: free capacity first, then the earliest ends.

    :param expected_ends: expected ends of running tasks, earliest first
    :returns: none when the members do not fit even after all these tasks have ended
    """
    free = {
        worker: worker_resources.available
        for worker, worker_resources in resources.ready_workers()
    }
    unassigned = list(gang.waiting.values())
    assignments: dict[TaskId, tuple[WorkerId, Resources]] = {}
    for worker in sorted(free):
        _assign_members(worker, free, unassigned, assignments, hooks)
        if not unassigned:
            return Reservation(group, assignments, now_ms)
    for expected_end in expected_ends():
        if expected_end.worker not in free:
            continue
        free[expected_end.worker] += expected_end.size
        _assign_members(expected_end.worker, free, unassigned, assignments, hooks)
        if not unassigned:
            return Reservation(group, assignments, expected_end.at_ms)
    return None


def _assign_members(
    worker: WorkerId,
    free: dict[WorkerId, Resources],
    unassigned: list[tuple[Task, Resources]],
    assignments: dict[TaskId, tuple[WorkerId, Resources]],
    hooks: Hooks,
) -> None:
    while unassigned:
        task, size = unassigned[-1]
        if not size.fits_in(free[worker]) or not hooks.may_use(worker, task):
            return
        unassigned.pop()
        free[worker] -= size
        assignments[task.task] = (worker, size)


def find_backfill_worker(
    task: Task,
    size: Resources,
    reservation: Reservation | None,
    resources: PartitionResources,
    hooks: Hooks,
    now_ms: int,
) -> WorkerId | None:
    """Return a worker whose reserved capacity the task may use, or none.

    Only a task that may be stopped and is expected to end before the gang starts is backfilled.
    """
    if reservation is None or not task.repeatable or task.kind not in BACKFILL_KINDS:
        return None
    if now_ms + hooks.estimate_ms(task) > reservation.expected_start_ms:
        return None
    for worker, reserved in reservation.reserved.items():
        if not resources.is_ready(worker):
            continue
        fits = size.fits_in(resources.available(worker) + reserved)
        if fits and hooks.may_use(worker, task):
            return worker
    return None
