"""Admission control of one owned partition, applied before a request record is created."""

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable

from returns.result import Failure

from lagoonshelf_core.admission import RETRY_WINDOW_MS, Admission, CellCapacity
from lagoonshelf_core.document import QueueConfig
from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.ids import PartitionId, QueueId, TeamId
from lagoonshelf_core.model import RequestSpec, Task, TaskState, WorkerInfo
from lagoonshelf_core.records import RequestId
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.routing import partition_of_worker

# A recount reads all tasks; without this limit each of many refusals would cause one.
RECOUNTED_TASKS_PER_MS = 100
MAX_REFUSED_KEYS = 10_000
TeamQueue = tuple[TeamId, QueueId]


class PartitionAdmission:
    """Queue limits, feasibility check and retry budget of one partition.

    Tasks that leave a queue are not subtracted one by one. Instead the waiting tasks are
    recounted before a refusal, so that a task removed on any path cannot occupy a queue place.
    """

    def __init__(self) -> None:
        """Start without known workers; until they are set, no request is refused as infeasible."""
        self._admission = Admission(CellCapacity([]))
        self._capacities: list[tuple[PartitionId, Resources]] = []
        self._accepting: dict[RequestId, RequestSpec] = {}
        self._refused_ms: OrderedDict[RequestId, int] = OrderedDict()
        self._team_queues: set[TeamQueue] = set()
        self._recounted_ms: int | None = None

    def set_hosts(self, hosts: Iterable[WorkerInfo], partitions: int) -> None:
        """Set the workers of the whole cell.

        :param partitions: number of partitions of the cell
        """
        capacities = [(partition_of_worker(h.worker, partitions), h.capacity) for h in hosts]
        if capacities != self._capacities:
            self._capacities = capacities
            self._admission.capacity = CellCapacity(capacities)

    def check(
        self, spec: RequestSpec, queue: QueueConfig, tasks: Collection[Task], now_ms: int
    ) -> Fault | None:
        """Count a new request as waiting, or return the reason for refusing it.

        :param tasks: all tasks known to the scheduler
        """
        self._admission.forget_idle(now_ms)
        team_queue = (spec.team, spec.queue)
        if self._admission.queue_limits.waiting(*team_queue) + spec.tasks > queue.max_queued:
            self._recount(tasks, now_ms)
        self._team_queues.add(team_queue)
        request = (spec.team, spec.request_key)
        result = self._admission.admit(
            spec, queue.max_queued, now_ms, self._was_refused(request, now_ms)
        )
        if isinstance(result, Failure):
            self._record_refusal(request, result.failure(), now_ms)
            return result.failure()
        self._refused_ms.pop(request, None)
        self._accepting[request] = spec
        return None

    def finish_acceptance(self, request: RequestId) -> None:
        """Record that the tasks of an admitted request are queued, or that it was dropped."""
        self._accepting.pop(request, None)

    def _was_refused(self, request: RequestId, now_ms: int) -> bool:
        refused_ms = self._refused_ms.get(request)
        return refused_ms is not None and now_ms - refused_ms <= RETRY_WINDOW_MS

    def _record_refusal(self, request: RequestId, fault: Fault, now_ms: int) -> None:
        if fault.code is ResultCode.NEVER_FITS:
            return
        self._refused_ms[request] = now_ms
        self._refused_ms.move_to_end(request)
        if len(self._refused_ms) > MAX_REFUSED_KEYS:
            self._refused_ms.popitem(last=False)

    def _recount(self, tasks: Collection[Task], now_ms: int) -> None:
        """Correct the counts of waiting tasks from the actual task states."""
        min_interval_ms = len(tasks) // RECOUNTED_TASKS_PER_MS
        if self._recounted_ms is not None and now_ms - self._recounted_ms < min_interval_ms:
            return
        self._recounted_ms = now_ms
        counts: Counter[TeamQueue] = Counter(
            (task.team, task.queue) for task in tasks if task.state is TaskState.QUEUED
        )
        for spec in self._accepting.values():
            counts[(spec.team, spec.queue)] += spec.tasks
        for team_queue in self._team_queues | counts.keys():
            self._correct_count(team_queue, counts[team_queue], now_ms)
        self._team_queues = set(counts)

    def _correct_count(self, team_queue: TeamQueue, count: int, now_ms: int) -> None:
        limits = self._admission.queue_limits
        excess = limits.waiting(*team_queue) - count
        if excess > 0:
            limits.remove(*team_queue, excess, now_ms)
        for _ in range(-excess):
            limits.requeue(*team_queue, now_ms)
