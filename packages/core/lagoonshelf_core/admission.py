"""Admission control of a partition: feasibility, queue limits and retry budgets."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields

from returns.result import Failure, Result, Success

from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.ids import PartitionId, QueueId, TeamId
from lagoonshelf_core.model import RequestSpec, WorkKind
from lagoonshelf_core.resources import Resources

DRAIN_WINDOW_MS = 10_000
RETRY_WINDOW_MS = 10_000
RETRY_BUCKET_MS = 1_000
RETRY_PERCENT = 20
# Lower limit of a retry budget: 20% of four first attempts is less than one retry.
MIN_RETRIES = 3
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
# Retry delay for a queue without departures: the minimum would poll a stuck queue too often.
IDLE_RETRY_AFTER_MS = 5_000

ACCEPT: Result[None, Fault] = Success(None)
RESOURCE_NAMES = tuple(field.name for field in fields(Resources))


class CellCapacity:
    """Capacities of the cell's workers, counted per partition."""

    def __init__(self, workers: Iterable[tuple[PartitionId, Resources]]) -> None:
        """Count the workers of each partition by capacity.

        :param workers: partition and capacity of each worker in the host list, including workers
            that are temporarily unavailable, since work may wait for them
        """
        self._partitions: dict[PartitionId, Counter[Resources]] = {}
        for partition, capacity in workers:
            self._partitions.setdefault(partition, Counter())[capacity] += 1
        self._capacities = set().union(*self._partitions.values())
        self._largest = {
            name: max((getattr(cap, name) for cap in self._capacities), default=0)
            for name in RESOURCE_NAMES
        }

    def check(self, spec: RequestSpec) -> Result[None, Fault]:
        """Refuse a request that cannot fit even in an idle cell.

        Accept each request while no workers are known, because a refusal could be wrong.
        """
        if not self._capacities:
            return ACCEPT
        reason = self._task_refusal(spec.size)
        if reason is None and spec.kind is WorkKind.GANG:
            reason = self._gang_refusal(spec.size, spec.tasks)
        return ACCEPT if reason is None else Failure(Fault(ResultCode.NEVER_FITS, reason))

    def _task_refusal(self, size: Resources) -> str | None:
        if any(size.fits_in(capacity) for capacity in self._capacities):
            return None
        for name, largest in self._largest.items():
            amount = getattr(size, name)
            if amount > largest:
                return _too_large(name, amount, largest)
        amounts = ", ".join(f"{name} {getattr(size, name)}" for name in RESOURCE_NAMES)
        return f"no worker has all of {amounts} together"

    def _gang_refusal(self, size: Resources, tasks: int) -> str | None:
        max_tasks = max(_gang_capacity(size, counts) for counts in self._partitions.values())
        if tasks <= max_tasks:
            return None
        return (
            f"gang has {tasks} tasks; the largest partition holds {max_tasks} tasks of this size"
        )


def _too_large(name: str, amount: int, largest: int) -> str:
    if largest == 0:
        return f"task needs {name} {amount}; no worker has any"
    return f"task needs {name} {amount}; the largest worker has {largest}"


def _gang_capacity(size: Resources, counts: Mapping[Resources, int]) -> float:
    return sum(_tasks_per_worker(size, cap) * count for cap, count in counts.items())


def _tasks_per_worker(size: Resources, capacity: Resources) -> float:
    limits = [
        getattr(capacity, name) // getattr(size, name)
        for name in RESOURCE_NAMES
        if getattr(size, name)
    ]
    return min(limits, default=math.inf)


@dataclass(slots=True)
class _TeamQueue:
    """Number of waiting tasks of one team in one queue, and their departure rate.

    :param departures: exponentially decayed count of departures, as of ``decayed_ms``
    """

    waiting: int = 0
    departures: float = 0.0
    decayed_ms: int = 0

    def decay(self, now_ms: int) -> None:
        """Apply exponential decay to the departure count up to a time."""
        elapsed_ms = max(0, now_ms - self.decayed_ms)
        self.departures *= math.exp(-elapsed_ms / DRAIN_WINDOW_MS)
        self.decayed_ms = now_ms


class QueueLimits:
    """Limits on the waiting tasks of one partition.

    Tasks are counted per team and queue, so a team with a full queue does not limit another team.
    """

    def __init__(self) -> None:
        """Initialize without waiting tasks."""
        self._team_queues: dict[tuple[TeamId, QueueId], _TeamQueue] = {}

    def admit(
        self, team: TeamId, queue: QueueId, tasks: int, limit: int, now_ms: int
    ) -> Result[None, Fault]:
        """Count tasks as waiting, or refuse them with a retry delay.

        :param limit: maximum number of waiting tasks of the team in the queue
        """
        if tasks > limit:
            text = f"job has {tasks} tasks; queue {queue!r} holds at most {limit} of one team"
            return Failure(Fault(ResultCode.NEVER_FITS, text))
        team_queue = self._team_queues.setdefault((team, queue), _TeamQueue(decayed_ms=now_ms))
        excess = team_queue.waiting + tasks - limit
        if excess > 0:
            text = f"team {team!r} has {team_queue.waiting} of {limit} waiting tasks in {queue!r}"
            retry_after_ms = _retry_after_ms(team_queue, excess, now_ms)
            return Failure(Fault(ResultCode.QUEUE_FULL, text, retry_after_ms))
        team_queue.waiting += tasks
        return ACCEPT

    def requeue(self, team: TeamId, queue: QueueId, now_ms: int) -> None:
        """Count an accepted task as waiting again, even above the limit."""
        self._team_queues.setdefault((team, queue), _TeamQueue(decayed_ms=now_ms)).waiting += 1

    def remove(self, team: TeamId, queue: QueueId, tasks: int, now_ms: int) -> None:
        """Remove tasks that were started, cancelled or abandoned from the count."""
        team_queue = self._team_queues.get((team, queue))
        if team_queue is None:
            return
        team_queue.decay(now_ms)
        team_queue.waiting = max(0, team_queue.waiting - tasks)
        team_queue.departures += tasks

    def waiting(self, team: TeamId, queue: QueueId) -> int:
        """Return the number of waiting tasks of a team in a queue."""
        team_queue = self._team_queues.get((team, queue))
        return 0 if team_queue is None else team_queue.waiting

    def forget_idle(self, now_ms: int) -> None:
        """Remove counts without waiting tasks and recent departures."""
        for key, team_queue in list(self._team_queues.items()):
            if team_queue.waiting == 0 and now_ms - team_queue.decayed_ms > DRAIN_WINDOW_MS:
                del self._team_queues[key]


def _retry_after_ms(team_queue: _TeamQueue, excess: int, now_ms: int) -> int:
    """Return the time in which the excess drains at the recent departure rate."""
    team_queue.decay(now_ms)
    if team_queue.departures < 1:
        return IDLE_RETRY_AFTER_MS
    retry_after_ms = math.ceil(excess * DRAIN_WINDOW_MS / team_queue.departures)
    return min(max(retry_after_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)


class RetryBudget:
    """Limit on the retries of each team, relative to its first attempts in a sliding window."""

    def __init__(self) -> None:
        """Initialize without attempts."""
        self._counts: dict[TeamId, dict[int, list[int]]] = {}

    def count_first_attempt(self, team: TeamId, now_ms: int) -> None:
        """Count a first attempt."""
        self._bucket(team, now_ms)[0] += 1

    def try_retry(self, team: TeamId, now_ms: int) -> Result[None, Fault]:
        """Count a retry, or refuse it when the team's budget is exhausted."""
        bucket = self._bucket(team, now_ms)
        counts = self._counts[team].values()
        first_attempts = sum(count[0] for count in counts)
        retries = sum(count[1] for count in counts)
        budget = max(MIN_RETRIES, first_attempts * RETRY_PERCENT // 100)
        if retries >= budget:
            text = f"team {team!r} used {retries} of {budget} retries in {RETRY_WINDOW_MS} ms"
            return Failure(
                Fault(ResultCode.RETRY_BUDGET, text, self._retry_after_ms(team, now_ms))
            )
        bucket[1] += 1
        return ACCEPT

    def forget_idle(self, now_ms: int) -> None:
        """Remove teams without attempts in the window."""
        for team in list(self._counts):
            self._expire(team, now_ms)
            if not self._counts[team]:
                del self._counts[team]

    def _retry_after_ms(self, team: TeamId, now_ms: int) -> int:
        """Return the time until the oldest bucket with a retry leaves the window."""
        oldest = min(start for start, count in self._counts[team].items() if count[1])
        return max(MIN_RETRY_AFTER_MS, oldest + RETRY_WINDOW_MS + RETRY_BUCKET_MS - now_ms)

    def _bucket(self, team: TeamId, now_ms: int) -> list[int]:
        self._counts.setdefault(team, {})
        self._expire(team, now_ms)
        start_ms = now_ms - now_ms % RETRY_BUCKET_MS
        return self._counts[team].setdefault(start_ms, [0, 0])

    def _expire(self, team: TeamId, now_ms: int) -> None:
        buckets = self._counts[team]
        limit_ms = now_ms - RETRY_WINDOW_MS - RETRY_BUCKET_MS
        for start_ms in [start_ms for start_ms in buckets if start_ms <= limit_ms]:
            del buckets[start_ms]


class Admission:
    """Admission checks of one partition; permanent refusals are checked first."""

    def __init__(self, capacity: CellCapacity) -> None:
        """Initialize without waiting tasks.

        :param capacity: replaced by the owner when the host list changes
        """
        self.capacity = capacity
        self.queue_limits = QueueLimits()
        self.retries = RetryBudget()

    def admit(
        self, spec: RequestSpec, limit: int, now_ms: int, is_retry: bool = False
    ) -> Result[None, Fault]:
        """Accept a request and count its tasks as waiting, or return the reason of the refusal.

        :param limit: ``max_queued`` of the request's queue
        :param is_retry: whether the client sent the request before and was refused
        """
        feasible = self.capacity.check(spec)
        if not isinstance(feasible, Success):
            return feasible
        if is_retry:
            allowed = self.retries.try_retry(spec.team, now_ms)
            if not isinstance(allowed, Success):
                return allowed
        else:
            self.retries.count_first_attempt(spec.team, now_ms)
        return self.queue_limits.admit(spec.team, spec.queue, spec.tasks, limit, now_ms)

    def forget_idle(self, now_ms: int) -> None:
        """Remove the state of teams without recent traffic."""
        self.queue_limits.forget_idle(now_ms)
        self.retries.forget_idle(now_ms)
