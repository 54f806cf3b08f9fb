"""Waiting tasks of a partition, grouped into buckets of equal tasks."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import NamedTuple

from sortedcontainers import SortedList

from lagoonshelf_core.ids import QueueId, RequestKey, TaskId, TeamId
from lagoonshelf_core.model import Task, WorkClass, WorkKind
from lagoonshelf_core.resources import Resources

# Buckets of one class and team considered in a pass. Half are the oldest; the other half rotates
# from pass to pass, so that many distinct sizes neither cost O(queue) per pass nor starve.
OLDEST_CANDIDATES = 32
ROTATING_CANDIDATES = 32
DEADLINE_BUCKET_MS = 60_000  # tasks with deadlines in the same minute share a bucket

GroupId = tuple[TeamId, RequestKey]
Order = tuple[int, int]


class BucketKey(NamedTuple):
    """Properties shared by the tasks of a bucket.

    :param run_ms_bits: bit length of the declared run time
    :param group: the request, for gangs and services only
    """

    team: TeamId
    queue: QueueId
    work_class: WorkClass
    kind: WorkKind
    repeatable: bool
    size: Resources
    run_ms_bits: int
    deadline_minute: int
    group: GroupId | None


def group_of(task: Task) -> GroupId | None:
    """Return the request of a gang member or replica, or none for independent tasks."""
    if task.kind in (WorkKind.GANG, WorkKind.SERVICE):
        return (task.team, task.request_key)
    return None


@dataclass(slots=True, eq=False)
class Bucket:
    """Equal waiting tasks, oldest first.

    :param work_class: effective class
    :param order: position of the oldest task when the bucket was last sorted
    """

    key: BucketKey
    work_class: WorkClass
    number: int
    order: Order = (0, 0)
    tasks: OrderedDict[TaskId, tuple[Order, Task]] = field(default_factory=OrderedDict)

    def head(self) -> Task:
        """Return the oldest task."""
        return next(iter(self.tasks.values()))[1]

    def head_order(self) -> Order:
        """Return the queue position of the oldest task."""
        return next(iter(self.tasks.values()))[0]


class TeamBuckets:
    """Buckets of one class and team, sorted by the age of their oldest task."""

    def __init__(self) -> None:
        """Initialize without entries."""
        self._sorted: SortedList = SortedList()
        self._by_number: dict[int, Bucket] = {}
        self._stale: dict[int, Bucket] = {}
        self._rotation_offset = 0
        self._candidates: list[Bucket] | None = None

    def __len__(self) -> int:
        return len(self._by_number)

    def add(self, bucket: Bucket) -> None:
        """Add a non-empty bucket."""
        self._candidates = None
        self._by_number[bucket.number] = bucket
        bucket.order = bucket.head_order()
        self._sorted.add((bucket.order, bucket.number))

    def discard(self, bucket: Bucket) -> None:
        """Remove a bucket."""
        if self._by_number.pop(bucket.number, None) is not None:
            self._sorted.discard((bucket.order, bucket.number))
            self._stale.pop(bucket.number, None)
            self._candidates = None

    def mark_stale(self, bucket: Bucket) -> None:
        """Record that a bucket's oldest task may have changed."""
        self._candidates = None
        self._stale[bucket.number] = bucket

    def candidates(self) -> list[Bucket]:
        """Return the buckets to consider in this pass, oldest first."""
        if self._candidates is not None:
            return self._candidates
        self._sort_stale()
        selected = list(self._sorted.islice(0, OLDEST_CANDIDATES))
        rest = len(self._sorted) - OLDEST_CANDIDATES
        if rest > 0:
            start = OLDEST_CANDIDATES + (
                self._rotation_offset if self._rotation_offset < rest else 0
            )
            selected += self._sorted.islice(start, start + ROTATING_CANDIDATES)
            self._rotation_offset = start - OLDEST_CANDIDATES + ROTATING_CANDIDATES
        found = [self._by_number[number] for _, number in selected]
        self._candidates = found if rest <= 0 else None
        return found

    def _sort_stale(self) -> None:
        for bucket in self._stale.values():
            self._sorted.discard((bucket.order, bucket.number))
            bucket.order = bucket.head_order()
            self._sorted.add((bucket.order, bucket.number))
        self._stale.clear()


class WaitingTasks:
    """All waiting tasks; the cost of adding or removing one does not depend on their number."""

    def __init__(self) -> None:
        """Initialize without entries."""
        self._buckets: dict[BucketKey, Bucket] = {}
        self._bucket_by_task: dict[TaskId, Bucket] = {}
        self._team_buckets: dict[WorkClass, dict[TeamId, TeamBuckets]] = {c: {} for c in WorkClass}
        self._sizes: dict[WorkClass, dict[Resources, int]] = {c: {} for c in WorkClass}
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._bucket_by_task)

    def __contains__(self, task: TaskId) -> bool:
        return task in self._bucket_by_task

    def add(self, task: Task, size: Resources) -> None:
        """Add a task; one that was started before goes to the front of its bucket.

        :param size: resources to allocate
        """
        key = _key_of(task, size)
        bucket = self._buckets.get(key)
        is_new = bucket is None
        if is_new:
            bucket = Bucket(key, task.work_class, next(self._numbers))
            self._buckets[key] = bucket
        bucket.tasks[task.task] = ((task.queued_ms, next(self._numbers)), task)
        self._bucket_by_task[task.task] = bucket
        if task.attempt > 0:
            bucket.tasks.move_to_end(task.task, last=False)
        if is_new:
            self._add_to_team(bucket)
        elif task.attempt > 0:
            self._team_buckets_of(bucket).mark_stale(bucket)

    def remove(self, task: TaskId) -> None:
        """Remove a task, if present."""
        bucket = self._bucket_by_task.pop(task, None)
        if bucket is None:
            return
        del bucket.tasks[task]
        if bucket.tasks:
            self._team_buckets_of(bucket).mark_stale(bucket)
            return
        del self._buckets[bucket.key]
        self._remove_from_team(bucket)

    def sizes(self, work_class: WorkClass) -> Iterable[Resources]:
        """Return the distinct sizes of a class's waiting tasks."""
        return self._sizes[work_class]

    def team_buckets(self, work_class: WorkClass) -> dict[TeamId, TeamBuckets]:
        """Return the non-empty buckets of a class by team."""
        return self._team_buckets[work_class]

    def teams(self) -> set[TeamId]:
        """Return the teams with waiting tasks."""
        return {team for by_team in self._team_buckets.values() for team in by_team}

    def buckets(self) -> Iterator[Bucket]:
        """Yield all buckets."""
        yield from list(self._buckets.values())

    def set_class(self, bucket: Bucket, work_class: WorkClass) -> None:
        """Change a bucket's effective class."""
        if bucket.work_class is work_class:
            return
        self._remove_from_team(bucket)
        bucket.work_class = work_class
        self._add_to_team(bucket)

    def bucket_of(self, task: TaskId) -> Bucket:
        """Return the bucket of a waiting task."""
        return self._bucket_by_task[task]

    def _team_buckets_of(self, bucket: Bucket) -> TeamBuckets:
        by_team = self._team_buckets[bucket.work_class]
        team_buckets = by_team.get(bucket.key.team)
        if team_buckets is None:
            team_buckets = by_team[bucket.key.team] = TeamBuckets()
        return team_buckets

    def _add_to_team(self, bucket: Bucket) -> None:
        self._team_buckets_of(bucket).add(bucket)
        sizes = self._sizes[bucket.work_class]
        sizes[bucket.key.size] = sizes.get(bucket.key.size, 0) + 1

    def _remove_from_team(self, bucket: Bucket) -> None:
        sizes = self._sizes[bucket.work_class]
        sizes[bucket.key.size] -= 1
        if sizes[bucket.key.size] == 0:
            del sizes[bucket.key.size]
        team_buckets = self._team_buckets_of(bucket)
        team_buckets.discard(bucket)
        if not team_buckets:
            del self._team_buckets[bucket.work_class][bucket.key.team]


def _key_of(task: Task, size: Resources) -> BucketKey:
    return BucketKey(
        task.team,
        task.queue,
        task.work_class,
        task.kind,
        task.repeatable,
        size,
        task.run_ms.bit_length(),
        task.deadline_wall_ms // DEADLINE_BUCKET_MS,
        group_of(task),
    )
