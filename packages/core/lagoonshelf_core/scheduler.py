"""Scheduler of one partition: its tasks and workers, and the scheduling pass."""

from collections.abc import Callable, Iterable
from heapq import heapify, heappop, heappush

from lagoonshelf_core.commands import Command
from lagoonshelf_core.document import QueueConfig, TeamConfig
from lagoonshelf_core.gang_scheduler import GangScheduler
from lagoonshelf_core.hooks import Hooks, declared_class
from lagoonshelf_core.ids import FailureDomain, QueueId, TaskId, TeamId, WorkerId
from lagoonshelf_core.model import Task, TaskState, WorkClass, WorkerInfo, WorkerState, WorkKind
from lagoonshelf_core.pass_state import PassState
from lagoonshelf_core.pending_preemptions import PendingPreemptions
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.throttles import Throttles
from lagoonshelf_core.waiting_tasks import Bucket

MayStart = Callable[[Task], bool]
CLASS_UPDATE_INTERVAL_MS = 250  # interval at which effective classes are updated
MAX_PASS_INTERVAL_MS = 1_000  # longest interval between checks of deadlines, gangs and lent share
# Lent share is reclaimed after 10 s, so a check each second is enough.
RECLAIM_CHECK_INTERVAL_MS = 1_000
MAX_SIZES_CHECKED = 64  # checking more sizes costs more than a pass


class Scheduler:
    """Places the waiting tasks of a partition on its workers."""

    def __init__(self, hooks: Hooks | None = None) -> None:
        """Initialize without workers and tasks.

        :param hooks: decisions made by other modules, defaults when none
        """
        self.tasks: dict[TaskId, Task] = {}
        self._state = PassState(hooks or Hooks())
        self._gangs = GangScheduler(self._state)
        self._throttles = Throttles(self._state)
        self._preemptions = PendingPreemptions(self._state, self._throttles)
        self._classes_updated_ms: int | None = None
        self._reclaim_checked_ms: int | None = None

    def set_policy(
        self,
        teams: dict[TeamId, TeamConfig],
        queues: dict[QueueId, QueueConfig],
        evacuated: Iterable[FailureDomain] = (),
    ) -> None:
        """Apply the configured shares, reserves and evacuations.

        :param teams: teams of the configuration document
        :param queues: queues of the configuration document
        :param evacuated: failure domains that get no new tasks
        """
        self._state.fairness.set_shares({name: team.share for name, team in teams.items()})
        reserves = {name: queue.reserve_slots for name, queue in queues.items()}
        self._state.reserves.set_reserves(reserves)
        self._state.resources.set_evacuated(evacuated)

    def set_worker(self, info: WorkerInfo, state: WorkerState) -> None:
        """Add or update a worker.

        :param info: the worker's entry in the host list
        :param state: only ready workers get new tasks
        """
        self._state.resources.set_worker(info, state)

    def remove_worker(self, worker: WorkerId) -> None:
        """Remove a worker."""
        self._state.resources.remove_worker(worker)

    def enqueue(self, task: Task) -> None:
        """Add a waiting task, or requeue a task that was stopped or whose start was refused."""
        if task.task in self.tasks:
            self.release(task.task)
        task.state = TaskState.QUEUED
        task.worker = None
        self.tasks[task.task] = task
        self._state.add_waiting(task)

    def adopt(self, task: Task, worker: WorkerId) -> None:
        """Add a task that is already running on a worker."""
        if task.task in self.tasks:
            self.release(task.task)
        self.tasks[task.task] = task
        task.state = TaskState.RUNNING
        self._state.allocate(task, worker, task.size, task.work_class)

    def release(self, task_id: TaskId) -> Task | None:
        """Remove a task and release its allocation.

        :returns: the task, or none when it is unknown
        """
        task = self.tasks.pop(task_id, None)
        if task is None:
            return None
        self._preemptions.cancel(task_id)
        self._state.remove(task)
        return task

    def confirm_throttle(self, task_id: TaskId, percent: int) -> None:
        """Record that a worker applied a throttle command; the freed capacity is usable now."""
        self._throttles.confirm(task_id, percent)

    def should_requeue(self, task_id: TaskId) -> bool:
        """Return whether the scheduler stopped a task to requeue it."""
        allocation = self._state.allocations.get(task_id)
        return allocation is not None and allocation.requeue

    def run_pass(self, now_ms: int, may_start: MayStart) -> list[Command]:
        """Run a scheduling pass: select tasks to start and to preempt, and allocate resources.

        :param now_ms: current time
        :param may_start: returns whether the team's upper limit allows a task;
            ``team_allocated`` includes the earlier starts of the pass
        """
        state = self._state
        state.begin_pass(now_ms, may_start)
        self._update_classes()
        self._preemptions.advance()
        self._gangs.advance()
        for work_class in WorkClass:
            self._start_class(work_class)
            if work_class is WorkClass.URGENT:
                self._preemptions.preempt_for_urgent(self._remaining_buckets(work_class))
        self._reclaim_lent_share()
        self._gangs.reserve()
        self._throttles.lift()
        state.fairness.update_averages(now_ms)
        return state.commands

    def next_pass_ms(self) -> int | None:
        """Return when a pass is due even without changes, or none."""
        times = [self._preemptions.next_due_ms()]
        if self.queue_length() or len(self._throttles):
            times.append(self._state.now_ms + MAX_PASS_INTERVAL_MS)
        if self._gangs.reservation is not None:
            times.append(self._gangs.reservation.expected_start_ms + 1)
        return min((time for time in times if time is not None), default=None)

    def queue_length(self) -> int:
        """Return the number of waiting tasks."""
        return len(self._state.waiting)

    def free_resources(self) -> Resources:
        """Return the capacity of ready workers that is neither allocated nor reserved."""
        cpu_milli = memory_mib = accelerators = slots = 0
        for _, worker_resources in self._state.resources.ready_workers():
            free = worker_resources.available
            cpu_milli += max(free.cpu_milli, 0)
            memory_mib += max(free.memory_mib, 0)
            accelerators += max(free.accelerators, 0)
            slots += max(free.slots, 0)
        return Resources(cpu_milli, memory_mib, accelerators, slots)

    def team_allocated(self, team: TeamId) -> tuple[int, Resources]:
        """Return the number and the total size of a team's allocated tasks."""
        return self._state.fairness.allocated(team)

    def team_shares(self) -> dict[TeamId, float]:
        """Return the dominant share over the window of each team with tasks."""
        fairness = self._state.fairness
        teams = self._state.waiting.teams() | set(fairness.active_teams())
        capacity = self._state.resources.capacity
        return {team: fairness.window_share(team, capacity) for team in sorted(teams)}

    def _update_classes(self) -> None:
        state = self._state
        if state.hooks.effective_class is declared_class:
            return
        if (
            self._classes_updated_ms is not None
            and state.now_ms - self._classes_updated_ms < CLASS_UPDATE_INTERVAL_MS
        ):
            return
        self._classes_updated_ms = state.now_ms
        for bucket in state.waiting.buckets():
            work_class = state.hooks.effective_class(bucket.head(), state.now_ms)
            state.waiting.set_class(bucket, work_class)

    def _start_class(self, work_class: WorkClass) -> None:
        """Start the tasks of a class that fit, the team furthest below its share first."""
        if not self._can_place_any(work_class):
            return
        teams = []
        is_full_for = self._is_full_for()
        for team, team_buckets in self._state.waiting.team_buckets(work_class).items():
            candidates = team_buckets.candidates()
            heap = [(b.order, b.number, b) for b in candidates if not is_full_for(b.key.size)]
            if heap:
                teams.append((self._score(team), heap[0][:2], team, heap))
        heapify(teams)
        while teams:
            _, _, team, heap = heappop(teams)
            if self._start_next(heap, is_full_for) and heap:
                heappush(teams, (self._score(team), heap[0][:2], team, heap))

    def _start_next(self, heap: list, is_full_for: Callable[[Resources], bool]) -> bool:
        """Start the team's oldest task that fits, and return whether one was started."""
        while heap:
            _, _, bucket = heappop(heap)
            if not bucket.tasks or is_full_for(bucket.key.size) or not self._start_head(bucket):
                continue
            if bucket.tasks:
                heappush(heap, (bucket.head_order(), bucket.number, bucket))
            return True
        return False

    def _can_place_any(self, work_class: WorkClass) -> bool:
        """Return whether a waiting task of a class may fit, to skip the class otherwise.

        Sizes that do not fit are cached by the placement index.
        """
        if self._gangs.reservation is not None:
            return True
        sizes = self._state.waiting.sizes(work_class)
        if len(sizes) > MAX_SIZES_CHECKED:
            return True
        found = [self._state.resources.placement.can_place(size) for size in sizes]
        return any(found)

    def _is_full_for(self) -> Callable[[Resources], bool]:
        """Return a test for sizes known not to fit.

        It never succeeds during a reservation, because backfill may use reserved capacity.
        """
        if self._gangs.reservation is not None:
            return lambda size: False
        return self._state.resources.placement.is_known_full_for

    def _remaining_buckets(self, work_class: WorkClass) -> list[Bucket]:
        """Return the buckets that still have tasks, oldest first."""
        by_team = self._state.waiting.team_buckets(work_class).values()
        remaining = [bucket for team_buckets in by_team for bucket in team_buckets.candidates()]
        return sorted(remaining, key=lambda bucket: bucket.order)

    def _reclaim_lent_share(self) -> None:
        now_ms = self._state.now_ms
        checked_ms = self._reclaim_checked_ms
        if checked_ms is not None and now_ms - checked_ms < RECLAIM_CHECK_INTERVAL_MS:
            return
        self._reclaim_checked_ms = now_ms
        for work_class in (WorkClass.NORMAL, WorkClass.BACKGROUND):
            self._preemptions.reclaim_lent_share(self._remaining_buckets(work_class))

    def _start_head(self, bucket: Bucket) -> bool:
        state = self._state
        if bucket.key.kind is WorkKind.GANG:
            return self._gangs.try_start(bucket.key.group)
        task = bucket.head()
        size = bucket.key.size
        worker = state.find_worker(task, size)
        backfill = None if worker else self._gangs.find_backfill_worker(task, size)
        chosen = worker or backfill
        if chosen is None or not state.may_start(task):
            return False
        self._preemptions.cancel(task.task)
        state.start(task, chosen)
        if backfill is not None:
            self._gangs.record_backfill(task.task, backfill)
        return True

    def _score(self, team: TeamId) -> float:
        return self._state.fairness.score(team, self._state.resources.capacity)
