"""Tasks that hold room, and the order in which they yield to other work."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count

from sortedcontainers import SortedDict

from lagoonshelf_core.fairness import Fairness
from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.model import Task, TaskState, WorkClass
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources
from lagoonshelf_core.room import Room


@dataclass(slots=True)
class Holding:
    """A task on a worker.

    :param size: room that counts now, less than ``full`` while throttled
    :param full: room that counts without throttling
    :param work_class: effective class when the task was started
    :param percent: processor limit that the worker has confirmed
    :param asked_percent: processor limit last asked for, at ``asked_ms``
    :param coming: part of ``size`` that the task was asked to free
    :param requeue: whether the scheduler stopped the task so that it waits again
    """

    task: Task
    worker: WorkerId
    size: Resources
    full: Resources
    work_class: WorkClass
    order: tuple[int, int, int]
    percent: int = 100
    asked_percent: int = 100
    asked_ms: int = 0
    coming: Resources = ZERO_RESOURCES
    requeue: bool = False


class Holdings:
    """All tasks that hold room; keeps the workers' and the teams' accounts in step."""

    def __init__(self, room: Room, fairness: Fairness) -> None:
        """Start empty."""
        self._room = room
        self._fairness = fairness
        self._by_task: dict[TaskId, Holding] = {}
        self._background: SortedDict = SortedDict()
        self._repeatable: SortedDict = SortedDict()
        self._numbers = count()

    def add(
        self, task: Task, worker: WorkerId, size: Resources, work_class: WorkClass, now_ms: int
    ) -> None:
        """Count a task on a worker.

        :param now_ms: start time
        """
        order = (-work_class.value, -now_ms, -next(self._numbers))
        holding = Holding(task, worker, size, size, work_class, order)
        self._by_task[task.task] = holding
        if work_class is WorkClass.BACKGROUND:
            self._background[order] = holding
        if task.repeatable:
            self._repeatable[order] = holding
        self._room.hold(worker, task.task, size)
        self._fairness.change(task.team, size, 1)
        task.worker = worker
        task.reserved = size

    def remove(self, task: TaskId) -> Holding | None:
        """End counting a task.

        :returns: what it held, or none
        """
        holding = self._by_task.pop(task, None)
        if holding is None:
            return None
        self._background.pop(holding.order, None)
        self._repeatable.pop(holding.order, None)
        self.ask(holding, ZERO_RESOURCES)
        self._room.free(holding.worker, task, holding.size)
        self._fairness.change(holding.task.team, _negative(holding.size), -1)
        return holding

    def resize(self, holding: Holding, size: Resources) -> None:
        """Change what a task counts for."""
        self._room.resize(holding.worker, holding.size, size)
        self._fairness.change(holding.task.team, size - holding.size, 0)
        holding.size = size
        holding.task.reserved = size

    def ask(self, holding: Holding, coming: Resources) -> None:
        """Note what a task was asked to free, in place of what was noted before."""
        if holding.coming != coming:
            self._room.expect(holding.worker, coming - holding.coming)
            holding.coming = coming

    def get(self, task: TaskId) -> Holding | None:
        """Return what a task holds, or none."""
        return self._by_task.get(task)

    def all(self) -> Iterator[Holding]:
        """Yield all tasks that hold room."""
        yield from self._by_task.values()

    def yielding(self, by_throttle: bool) -> Iterator[Holding]:
        """Yield running tasks that may yield: lowest class, then latest start first.

        :param by_throttle: the background tasks instead of the repeatable ones
        """
        source = self._background if by_throttle else self._repeatable
        for holding in source.values():
            if holding.task.state is TaskState.RUNNING:
                yield holding


def _negative(size: Resources) -> Resources:
    return size.scaled(-1)
