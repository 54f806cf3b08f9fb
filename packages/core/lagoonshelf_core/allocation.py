"""Resources allocated to tasks, and the order in which tasks are preempted."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count

from sortedcontainers import SortedDict

from lagoonshelf_core.fairness import Fairness
from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.model import Task, TaskState, WorkClass
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources
from lagoonshelf_core.worker_resources import PartitionResources


@dataclass(slots=True)
class Allocation:
    """Resources of a worker allocated to a task.

    :param size: current size, less than ``full_size`` while throttled
    :param full_size: size without throttling
    :param work_class: effective class when the task was started
    :param percent: processor limit that the worker has confirmed
    :param requested_percent: processor limit last requested, at ``requested_ms``
    :param releasing: part of ``size`` that the task is about to free
    :param requeue: whether the scheduler stopped the task to requeue it
    """

    task: Task
    worker: WorkerId
    size: Resources
    full_size: Resources
    work_class: WorkClass
    order: tuple[int, int, int]
    percent: int = 100
    requested_percent: int = 100
    requested_ms: int = 0
    releasing: Resources = ZERO_RESOURCES
    requeue: bool = False


class Allocations:
    """All allocations of a partition; keeps worker resources and team usage up to date."""

    def __init__(self, resources: PartitionResources, fairness: Fairness) -> None:
        """Initialize without entries."""
        self._resources = resources
        self._fairness = fairness
        self._by_task: dict[TaskId, Allocation] = {}
        self._background: SortedDict = SortedDict()
        self._repeatable: SortedDict = SortedDict()
        self._numbers = count()

    def add(
        self, task: Task, worker: WorkerId, size: Resources, work_class: WorkClass, now_ms: int
    ) -> None:
        """Add an allocation.

        :param now_ms: start time
        """
        order = (-work_class.value, -now_ms, -next(self._numbers))
        allocation = Allocation(task, worker, size, size, work_class, order)
        self._by_task[task.task] = allocation
        if work_class is WorkClass.BACKGROUND:
            self._background[order] = allocation
        if task.repeatable:
            self._repeatable[order] = allocation
        self._resources.allocate(worker, task.task, size)
        self._fairness.add_usage(task.team, size, 1)
        task.worker = worker
        task.reserved = size

    def remove(self, task: TaskId) -> Allocation | None:
        """Remove the allocation of a task.

        :returns: the allocation, or none
        """
        allocation = self._by_task.pop(task, None)
        if allocation is None:
            return None
        self._background.pop(allocation.order, None)
        self._repeatable.pop(allocation.order, None)
        self.set_releasing(allocation, ZERO_RESOURCES)
        self._resources.release(allocation.worker, task, allocation.size)
        self._fairness.add_usage(allocation.task.team, _negative(allocation.size), -1)
        return allocation

    def resize(self, allocation: Allocation, size: Resources) -> None:
        """Change the size of an allocation."""
        self._resources.resize(allocation.worker, allocation.size, size)
        self._fairness.add_usage(allocation.task.team, size - allocation.size, 0)
        allocation.size = size
        allocation.task.reserved = size

    def set_releasing(self, allocation: Allocation, releasing: Resources) -> None:
        """Set the resources that a task is about to free, replacing the previous amount."""
        if allocation.releasing != releasing:
            self._resources.add_releasing(allocation.worker, releasing - allocation.releasing)
            allocation.releasing = releasing

    def get(self, task: TaskId) -> Allocation | None:
        """Return the allocation of a task, or none."""
        return self._by_task.get(task)

    def all(self) -> Iterator[Allocation]:
        """Yield all allocations."""
        yield from self._by_task.values()

    def preemption_candidates(self, by_throttle: bool) -> Iterator[Allocation]:
        """Yield running tasks that may be preempted: lowest class, then latest start first.

        :param by_throttle: whether to yield the background tasks instead of the repeatable ones
        """
        source = self._background if by_throttle else self._repeatable
        for allocation in source.values():
            if allocation.task.state is TaskState.RUNNING:
                yield allocation


def _negative(size: Resources) -> Resources:
    return size.scaled(-1)
