"""State of a partition that is shared by the steps of a scheduling pass."""

from collections.abc import Callable

from lagoonshelf_core.allocation import Allocation, Allocations
from lagoonshelf_core.commands import Command, Start, Stop
from lagoonshelf_core.fairness import Fairness
from lagoonshelf_core.gangs import GangTable
from lagoonshelf_core.hooks import Hooks
from lagoonshelf_core.ids import FailureDomain, RackId, TaskId, WorkerId
from lagoonshelf_core.model import Task, TaskState, WorkClass, WorkKind
from lagoonshelf_core.placement import max_replicas_per_domain
from lagoonshelf_core.reserves import Reserves
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.waiting_tasks import GroupId, WaitingTasks, group_of
from lagoonshelf_core.worker_resources import PartitionResources

MayStart = Callable[[Task], bool]


class PassState:
    """Waiting and allocated tasks, worker resources, and the commands of the current pass."""

    def __init__(self, hooks: Hooks) -> None:
        """Initialize without entries."""
        self.hooks = hooks
        self.resources = PartitionResources()
        self.fairness = Fairness()
        self.allocations = Allocations(self.resources, self.fairness)
        self.waiting = WaitingTasks()
        self.gangs = GangTable()
        self.reserves = Reserves()
        self.now_ms = 0
        self.commands: list[Command] = []
        self.may_start: MayStart = lambda task: True
        self._replicas: dict[GroupId, dict[TaskId, int]] = {}

    def begin_pass(self, now_ms: int, may_start: MayStart) -> None:
        """Begin a pass."""
        self.now_ms = now_ms
        self.may_start = may_start
        self.commands = []
        self.fairness.update_averages(now_ms)

    def add_waiting(self, task: Task) -> None:
        """Add a waiting task."""
        size = _elementwise_max(self.hooks.reserved_size(task), task.size)
        self.waiting.add(task, size)
        group = group_of(task)
        if group is None:
            return
        if task.kind is WorkKind.GANG:
            order = self.waiting.bucket_of(task.task).head_order()
            self.gangs.add_waiting(group, order, task, size)
        else:
            self._replicas.setdefault(group, {})[task.task] = task.index

    def allocate(
        self, task: Task, worker: WorkerId, size: Resources, work_class: WorkClass
    ) -> None:
        """Allocate resources of a worker to a task, which no longer waits."""
        self.waiting.remove(task.task)
        self.allocations.add(task, worker, size, work_class, task.started_ms)
        self.reserves.add_used(task.queue, size.slots)
        group = group_of(task)
        if task.kind is WorkKind.GANG:
            self.gangs.mark_allocated(group, task)
        elif group is not None:
            self._replicas.setdefault(group, {})[task.task] = task.index

    def remove(self, task: Task) -> Allocation | None:
        """Remove a task and release its allocation, which is returned."""
        self.waiting.remove(task.task)
        allocation = self.allocations.remove(task.task)
        if allocation is not None:
            self.reserves.add_used(task.queue, -allocation.size.slots)
        group = group_of(task)
        if task.kind is WorkKind.GANG:
            self.gangs.remove(group, task.task)
        elif group in self._replicas:
            self._replicas[group].pop(task.task, None)
            if not self._replicas[group]:
                del self._replicas[group]
        return allocation

    def start(self, task: Task, worker: WorkerId) -> None:
        """Start a waiting task."""
        bucket = self.waiting.bucket_of(task.task)
        task.state = TaskState.STARTING
        task.started_ms = self.now_ms
        task.attempt += 1
        self.allocate(task, worker, bucket.key.size, bucket.work_class)
        self.commands.append(Start(task.task, worker))

    def undo_start(self, task: Task) -> None:
        """Undo the latest start of this pass."""
        self.commands.pop()
        self.remove(task)
        task.state = TaskState.QUEUED
        task.worker = None
        task.attempt -= 1
        self.add_waiting(task)

    def stop(self, allocation: Allocation, checkpoint: bool) -> None:
        """Stop a running task to requeue it; it keeps its allocation until it ends."""
        allocation.requeue = True
        self.allocations.set_releasing(allocation, allocation.size)
        task = allocation.task
        task.state = TaskState.STOPPING
        self.commands.append(Stop(task.task, allocation.worker, True, checkpoint))

    def find_worker(self, task: Task, size: Resources) -> WorkerId | None:
        """Return a worker with free capacity for a task, or none."""
        capacity = self.resources.capacity.slots
        if not self.reserves.allows(task.queue, size.slots, self.resources.free_slots, capacity):
            return None
        may_use = self.hooks.may_use

        def accept(worker: WorkerId) -> bool:
            return may_use(worker, task)

        if task.kind is WorkKind.SERVICE:
            return self._find_replica_worker(task, size, accept)
        return self.resources.placement.best_fit(size, accept)

    def allocated_replicas(self, group: GroupId) -> list[Allocation]:
        """Return the allocations of a service's replicas."""
        allocations = (self.allocations.get(task) for task in self._replicas.get(group, ()))
        return [allocation for allocation in allocations if allocation is not None]

    def replica_count(self, group: GroupId) -> int:
        """Return the number of replicas that a service should have."""
        return max(self._replicas.get(group, {}).values(), default=-1) + 1

    def _find_replica_worker(
        self, task: Task, size: Resources, accept: Callable[[WorkerId], bool]
    ) -> WorkerId | None:
        group = (task.team, task.request_key)
        in_domain: dict[FailureDomain, int] = {}
        in_rack: dict[RackId, int] = {}
        for allocation in self.allocated_replicas(group):
            info = self.resources.get(allocation.worker).info
            if info is not None:
                in_domain[info.failure_domain] = in_domain.get(info.failure_domain, 0) + 1
                in_rack[info.rack] = in_rack.get(info.rack, 0) + 1
        max_per_domain = max_replicas_per_domain(
            self.replica_count(group), self.resources.domain_count()
        )
        return self.resources.placement.best_spread(
            size,
            accept,
            max_per_domain,
            in_domain,
            in_rack,
            lambda w: self.resources.get(w).info.rack,
        )


def _elementwise_max(one: Resources, other: Resources) -> Resources:
    return Resources(
        max(one.cpu_milli, other.cpu_milli),
        max(one.memory_mib, other.memory_mib),
        max(one.accelerators, other.accelerators),
        max(one.slots, other.slots),
    )
