"""Selection of waiting tasks to offer to other partitions."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from heapq import nsmallest

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import PartitionId, TaskId
from lagoonshelf_core.model import Task, TaskState, WorkKind
from lagoonshelf_server.partition_calls import FreeCapacity

MAX_OFFERS = 64
BASE_RETRY_MS = 100
MAX_RETRY_DOUBLINGS = 4
GRANT_WAIT_MS = 500  # the partition's own grant usually arrives sooner
BLOCK_MS = 200  # a partition that lacked grant usually has it by then


class Offers:
    """Selects the tasks to offer, with a backoff per task and per partition after refusals."""

    def __init__(self, clock: Clock, lacks_grant: Callable[[Task], bool]) -> None:
        """Initialize without refusals.

        :param lacks_grant: whether a waiting task could not start for lack of its team's grant
        """
        self._clock = clock
        self._lacks_grant = lacks_grant
        self._not_before_ms: dict[TaskId, int] = {}
        self._blocked_until_ms: dict[PartitionId, int] = {}

    def choose(
        self,
        tasks: Iterable[Task],
        candidates: Iterable[FreeCapacity],
        pending: Iterable[tuple[PartitionId, Task]],
    ) -> list[tuple[Task, FreeCapacity]]:
        """Return the tasks to offer now, each with a partition that has enough free capacity.

        :param candidates: free capacity of the other partitions
        :param pending: offered tasks without a reply, whose resources may not be subtracted from
            the published free capacity yet
        """
        waiting = [task for task in tasks if self._may_offer(task)]
        if not waiting:
            return []
        now_ms = self._clock.now_ms()
        open_candidates = {
            candidate.partition: candidate
            for candidate in candidates
            if self._blocked_until_ms.get(candidate.partition, 0) <= now_ms
        }
        for partition, task in pending:
            _subtract(open_candidates, partition, task)
        chosen: list[tuple[Task, FreeCapacity]] = []
        order = nsmallest(MAX_OFFERS, waiting, key=lambda t: (t.work_class.value, t.queued_ms))
        for task in order:
            fitting = [
                candidate
                for candidate in open_candidates.values()
                if task.size.fits_in(candidate.free)
            ]
            if fitting:
                candidate = max(fitting, key=lambda candidate: candidate.free.slots)
                _subtract(open_candidates, candidate.partition, task)
                chosen.append((task, candidate))
        return chosen

    def record_refusal(self, task: Task, partition: PartitionId) -> None:
        """Record that a partition refused a task; the delay grows with each attempt."""
        now_ms = self._clock.now_ms()
        delay_ms = BASE_RETRY_MS << min(task.attempt, MAX_RETRY_DOUBLINGS)
        self._not_before_ms[task.task] = now_ms + delay_ms
        self._blocked_until_ms[partition] = now_ms + BLOCK_MS

    def keep_only(self, names: set[TaskId]) -> None:
        """Discard the state of all other tasks."""
        self._not_before_ms = {n: ms for n, ms in self._not_before_ms.items() if n in names}

    def _may_offer(self, task: Task) -> bool:
        if task.state is not TaskState.QUEUED or task.kind is WorkKind.GANG:
            return False
        now_ms = self._clock.now_ms()
        if self._lacks_grant(task) and task.task not in self._not_before_ms:
            self._not_before_ms[task.task] = now_ms + GRANT_WAIT_MS
        return now_ms >= self._not_before_ms.get(task.task, 0)


def _subtract(
    candidates: dict[PartitionId, FreeCapacity], partition: PartitionId, task: Task
) -> None:
    candidate = candidates.get(partition)
    if candidate is not None:
        candidates[partition] = replace(candidate, free=candidate.free - task.size)
