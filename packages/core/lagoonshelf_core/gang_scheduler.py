"""Steps of a scheduling pass that start gangs and maintain the partition's reservation."""

from lagoonshelf_core.gangs import (
    PLAN_RETRY_MS,
    START_RETRY_MS,
    ExpectedEnd,
    Gang,
    Reservation,
    expected_end_ms,
    find_backfill_worker,
    plan_reservation,
)
from lagoonshelf_core.ids import QueueId, TaskId, WorkerId
from lagoonshelf_core.model import Task, TaskState, WorkKind
from lagoonshelf_core.pass_state import PassState
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.waiting_tasks import GroupId

# Planning reads all running tasks, so it is limited when many gangs have no feasible plan.
MAX_PLANS_PER_PASS = 4
PLAN_INTERVAL_MS = 100

MAX_REMEMBERED_FAILURES = 1_000  # gang shapes found not to fit

GangShape = tuple[Resources, QueueId, bool]


class GangScheduler:
    """Starts all members of a gang together or none.

    The oldest gang that does not fit gets the only reservation of the partition.
    """

    def __init__(self, state: PassState) -> None:
        """Initialize without a reservation."""
        self.reservation: Reservation | None = None
        self._state = state
        self._failed: dict[GangShape, tuple[int, int]] = {}
        self._next_plan_ms: int | None = None
        self._cached_expected_ends: list[ExpectedEnd] | None = None

    def advance(self) -> None:
        """Start the gang with the reservation, or plan again when its plan is obsolete."""
        reservation = self.reservation
        if reservation is None:
            return
        gang = self._state.gangs.get(reservation.group)
        if gang is None or not gang.waiting:
            self._clear_reservation()
            return
        resources = self._state.resources
        is_unchanged = gang.waiting.keys() == reservation.assignments.keys()
        if not is_unchanged or not all(
            resources.is_ready(worker) for worker in reservation.reserved
        ):
            self._plan_again(reservation, gang)
        elif all(resources.reservations_fit(worker) for worker in reservation.reserved):
            self._start_reserved(reservation, gang)
        elif (
            not self._stop_backfill(reservation)
            and self._state.now_ms > reservation.expected_start_ms
        ):
            self._plan_again(reservation, gang)

    def try_start(self, group: GroupId) -> bool:
        """Start a gang in free capacity, or none of its members.

        :returns: whether all waiting members were started
        """
        state = self._state
        gang = state.gangs.get(group)
        if gang is None or not gang.is_complete(state.now_ms):
            return False
        if self.reservation is not None and self.reservation.group == group:
            return False
        if (
            gang.start_failed_ms is not None
            and state.now_ms - gang.start_failed_ms < START_RETRY_MS
        ):
            return False
        if self._has_failed(gang):
            return False
        started: list[Task] = []
        for task, size in list(gang.waiting.values()):
            worker = state.find_worker(task, size)
            if worker is None or not state.may_start(task):
                self._undo_starts(started)
                gang.start_failed_ms = state.now_ms
                if worker is None:
                    self._remember_failure(gang)
                return False
            state.start(task, worker)
            started.append(task)
        return True

    def reserve(self) -> None:
        """Reserve capacity for the oldest gang with a feasible plan, if nothing is reserved."""
        next_ms = self._next_plan_ms
        if self.reservation is not None or (next_ms and self._state.now_ms < next_ms):
            return
        planned = 0
        self._cached_expected_ends = None
        for group, gang in self._state.gangs.oldest_first():
            now_ms = self._state.now_ms
            if gang.next_plan_ms > now_ms or not gang.is_complete(now_ms):
                continue
            planned += 1
            if self._try_reserve(group, gang):
                if self.reservation.expected_start_ms <= now_ms:
                    self._start_reserved(self.reservation, gang)
                return
            if planned == MAX_PLANS_PER_PASS:
                self._next_plan_ms = now_ms + PLAN_INTERVAL_MS
                return

    def find_backfill_worker(self, task: Task, size: Resources) -> WorkerId | None:
        """Return a worker whose reserved capacity the task may use until the gang starts."""
        state = self._state
        reservation = self.reservation
        return find_backfill_worker(
            task, size, reservation, state.resources, state.hooks, state.now_ms
        )

    def record_backfill(self, task: TaskId, worker: WorkerId) -> None:
        """Record a task that was started in reserved capacity."""
        self.reservation.backfilled[task] = worker

    def _has_failed(self, gang: Gang) -> bool:
        """Return whether a gang of this shape and at most this size failed since capacity grew."""
        growth_count, members = self._failed.get(_shape_of(gang), (-1, 0))
        is_current = growth_count == self._state.resources.placement.growth_count
        return is_current and len(gang.waiting) >= members

    def _remember_failure(self, gang: Gang) -> None:
        if len(self._failed) >= MAX_REMEMBERED_FAILURES:
            self._failed.clear()
        growth_count = self._state.resources.placement.growth_count
        self._failed[_shape_of(gang)] = (growth_count, len(gang.waiting))

    def _try_reserve(self, group: GroupId, gang: Gang) -> bool:
        state = self._state
        first = next(iter(gang.waiting.values()))[0]
        if state.may_start(first):
            found = plan_reservation(
                group, gang, state.resources, self._expected_ends, state.hooks, state.now_ms
            )
            if found is not None:
                self._set_reservation(found)
                return True
        gang.next_plan_ms = state.now_ms + PLAN_RETRY_MS
        return False

    def _plan_again(self, reservation: Reservation, gang: Gang) -> None:
        self._clear_reservation()
        self._cached_expected_ends = None
        if self._try_reserve(reservation.group, gang):
            self.reservation.backfilled.update(reservation.backfilled)

    def _start_reserved(self, reservation: Reservation, gang: Gang) -> None:
        """Start all members, or drop the reservation so that it does not block other tasks."""
        state = self._state
        self._clear_reservation()
        first = next(iter(gang.waiting.values()))[0]
        slots = sum(size.slots for _, size in reservation.assignments.values())
        free = state.resources.free_slots
        is_allowed = state.reserves.allows(
            first.queue, slots, free, state.resources.capacity.slots
        )
        started: list[Task] = []
        for task, _ in list(gang.waiting.values()):
            if not is_allowed or not state.may_start(task):
                self._undo_starts(started)
                gang.next_plan_ms = state.now_ms + PLAN_RETRY_MS
                return
            state.start(task, reservation.assignments[task.task][0])
            started.append(task)

    def _stop_backfill(self, reservation: Reservation) -> bool:
        """Stop backfilled tasks if the gang could start without them.

        :returns: whether it could
        """
        state = self._state
        reservation.backfilled = {
            t: w for t, w in reservation.backfilled.items() if state.allocations.get(t)
        }
        blocking: list[TaskId] = []
        for worker in reservation.reserved:
            if state.resources.reservations_fit(worker):
                continue
            tasks = [task for task, where in reservation.backfilled.items() if where == worker]
            free = state.resources.available(worker)
            for task in tasks:
                free += state.allocations.get(task).size
            if not Resources().fits_in(free):
                return False
            blocking += tasks
        for task in blocking:
            allocation = state.allocations.get(task)
            if allocation.task.state is TaskState.RUNNING:
                state.stop(allocation, True)
        return True

    def _set_reservation(self, reservation: Reservation) -> None:
        self.reservation = reservation
        for worker, size in reservation.reserved.items():
            self._state.resources.reserve(worker, size)

    def _clear_reservation(self) -> None:
        for worker, size in self.reservation.reserved.items():
            self._state.resources.unreserve(worker, size)
        self.reservation = None

    def _undo_starts(self, started: list[Task]) -> None:
        for task in reversed(started):
            self._state.undo_start(task)

    def _expected_ends(self) -> list[ExpectedEnd]:
        """Return when running tasks are expected to end, cached for several plans."""
        if self._cached_expected_ends is None:
            self._cached_expected_ends = self._compute_expected_ends()
        return self._cached_expected_ends

    def _compute_expected_ends(self) -> list[ExpectedEnd]:
        """Return when running tasks are expected to end; services end only when stopped."""
        state = self._state
        found = []
        for allocation in state.allocations.all():
            task = allocation.task
            if task.kind is WorkKind.SERVICE and task.state is not TaskState.STOPPING:
                continue
            estimate_ms = state.hooks.estimate_ms(task)
            at_ms = expected_end_ms(task.started_ms, estimate_ms, state.now_ms)
            found.append(ExpectedEnd(at_ms, allocation.worker, allocation.size))
        return sorted(found, key=lambda expected_end: (expected_end.at_ms, expected_end.worker))


def _shape_of(gang: Gang) -> GangShape:
    task, size = next(iter(gang.waiting.values()))
    return (size, task.queue, task.repeatable)
