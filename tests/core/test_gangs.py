"""Tests of gang scheduling, reservations and backfill."""

import unittest
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from lagoonshelf_core.commands import Stop
from lagoonshelf_core.model import WorkerState, WorkKind
from lagoonshelf_core.pass_state import PassState
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.scheduler import Scheduler
from tests.support.scheduling import (
    SLOT,
    cell,
    enqueue,
    group,
    run,
    started,
    stopped,
    task,
    worker,
)

find_worker = PassState.find_worker
FOUR = Resources(4000, 4096, 0, 4)


def gang(size: int, **fields: object) -> list:
    """Return the members of a gang."""
    return group(size, WorkKind.GANG, **fields)


def names(tasks: list) -> set[str]:
    """Return the names of tasks."""
    return {item.task for item in tasks}


def end(scheduler: Scheduler, tasks: list) -> None:
    """Report that tasks have ended."""
    for item in tasks:
        scheduler.release(item.task)


class GangTest(unittest.TestCase):
    """All-or-nothing start of gangs."""

    @given(st.lists(st.integers(1, 9), min_size=1, max_size=6), st.integers(0, 8))
    def test_all_or_nothing(self, sizes, busy) -> None:
        """Guards against a deadlock between two partially started gangs."""
        scheduler = cell(2, FOUR)
        enqueue(scheduler, [task(run_ms=500) for _ in range(busy)])
        run(scheduler)
        gangs = [gang(size, queued_ms=number) for number, size in enumerate(sizes)]
        for members in gangs:
            enqueue(scheduler, members)
        now_ms = 0
        for now_ms in range(1000, 40_000, 1000):
            started_now = set(started(run(scheduler, now_ms)))
            for members in gangs:
                self.assertIn(len(started_now & names(members)), (0, len(members)))
            end(scheduler, [t for t in list(scheduler.tasks.values()) if t.worker])
        left = [members for members in gangs if members[0].task in scheduler.tasks]
        self.assertEqual(left, [members for members in gangs if len(members) > 8])

    def test_no_member_starts_before_all_have_arrived(self) -> None:
        """Guards against starting a gang whose members are still being enqueued."""
        scheduler = cell(2, FOUR)
        members = gang(4)
        enqueue(scheduler, members[:3])
        self.assertEqual(run(scheduler), [])
        scheduler.enqueue(members[3])
        self.assertEqual(set(started(run(scheduler, 100))), names(members))

    def test_is_not_starved_by_small_tasks(self) -> None:
        """Guards against a stream of small tasks that takes each slot as it becomes free."""
        scheduler = cell(1, FOUR)
        running = [task() for _ in range(4)]
        enqueue(scheduler, running)
        run(scheduler)
        members = gang(4, queued_ms=1)
        enqueue(scheduler, members)
        for now_ms in (100, 200, 300, 400):
            scheduler.enqueue(task(queued_ms=now_ms, run_ms=5000))
            self.assertEqual(run(scheduler, now_ms), [])
            end(scheduler, [running.pop()])
        self.assertEqual(set(started(run(scheduler, 500))), names(members))

    def test_gang_that_never_fits_blocks_no_other_task(self) -> None:
        """Guards against a reservation for a gang that is larger than the cell."""
        scheduler = cell(1, FOUR)
        enqueue(scheduler, gang(5))
        small, fitting = task(queued_ms=1), gang(3, queued_ms=2)
        enqueue(scheduler, [small, *fitting])
        started_now = started(run(scheduler))
        self.assertEqual(set(started_now), names([small, *fitting]))

    def test_limit_reached_halfway_starts_nothing(self) -> None:
        """Guards against a gang that is partially started because of its team's upper limit."""
        scheduler = cell(1, FOUR)
        enqueue(scheduler, gang(4))

        def under_limit(item) -> bool:
            return scheduler.team_allocated(item.team)[0] < 3

        for now_ms in (0, 200, 2000, 9000):
            self.assertEqual(run(scheduler, now_ms, under_limit), [])
            self.assertEqual(scheduler.team_allocated("a")[0], 0)
        other = task(team="b", queued_ms=9000)
        scheduler.enqueue(other)
        self.assertEqual(started(run(scheduler, 9001, under_limit)), [other.task])

    def test_equal_gangs_are_not_each_tried(self) -> None:
        """Guards against a pass that starts and undoes each of hundreds of gangs."""
        scheduler = cell(1, FOUR)
        scheduler.adopt(task(), worker(0, FOUR).worker)
        for number in range(20):
            enqueue(scheduler, gang(4 + number % 3, queued_ms=number))
        tried = patch.object(PassState, "find_worker", autospec=True, side_effect=find_worker)
        with tried as find:
            self.assertEqual(run(scheduler), [])
        self.assertEqual(find.call_count, 4)

    def test_plans_again_when_a_reserved_worker_leaves(self) -> None:
        """Guards against a reservation on a worker that has left."""
        scheduler = cell(2, FOUR)
        running = [task(run_ms=1000) for _ in range(4)] + [task(run_ms=9000) for _ in range(4)]
        enqueue(scheduler, running)
        run(scheduler)
        members = gang(3, queued_ms=1)
        enqueue(scheduler, members)
        run(scheduler, 10)
        scheduler.set_worker(worker(0, FOUR), WorkerState.LEAVING)
        run(scheduler, 20)
        end(scheduler, [t for t in running if t.worker == worker(1, FOUR).worker])
        self.assertEqual(set(started(run(scheduler, 30))), names(members))

    def test_returning_member_does_not_wait_for_ended_ones(self) -> None:
        """Guards against a requeued member that waits forever for members that have ended."""
        scheduler = cell(1, FOUR)
        members = gang(3)
        enqueue(scheduler, members)
        run(scheduler)
        end(scheduler, members)
        scheduler.enqueue(members[0])
        started_now = [now for now in range(100, 9000, 100) if started(run(scheduler, now))]
        self.assertEqual(len(started_now), 1)


class BackfillTest(unittest.TestCase):
    """Use of reserved capacity until the gang starts."""

    def setUp(self) -> None:
        """Reserve the whole worker for a gang expected to start at 10 s; two slots are idle."""
        self.scheduler = cell(1, FOUR)
        self.blocking = [task(run_ms=10_000) for _ in range(2)]
        enqueue(self.scheduler, self.blocking)
        run(self.scheduler)
        self.members = gang(4, queued_ms=1)
        enqueue(self.scheduler, self.members)
        run(self.scheduler, 10)

    def test_only_short_stoppable_tasks(self) -> None:
        """Guards against backfill that delays the gang."""
        too_long = task(run_ms=10_000)
        not_repeatable = task(run_ms=100, repeatable=False)
        replica = group(1, WorkKind.SERVICE, run_ms=100)
        short = task(run_ms=5000)
        enqueue(self.scheduler, [too_long, not_repeatable, *replica, short])
        self.assertEqual(started(run(self.scheduler, 20)), [short.task])

    def test_is_stopped_when_it_keeps_the_gang_from_starting(self) -> None:
        """Guards against a gang delayed by a backfilled task with an underestimated run time."""
        short = task(run_ms=5000)
        self.scheduler.enqueue(short)
        run(self.scheduler, 20)
        end(self.scheduler, self.blocking)
        (stop,) = run(self.scheduler, 9000)
        self.assertEqual((type(stop), stop.task, stop.requeue), (Stop, short.task, True))
        self.assertEqual(run(self.scheduler, 9100), [])
        self.scheduler.release(short.task)
        self.assertEqual(set(started(run(self.scheduler, 9200))), names(self.members))

    def test_overdue_reservation_still_ends_in_a_start(self) -> None:
        """Guards against a gang that never starts when running tasks exceed their estimate."""
        short = task(run_ms=5000)
        self.scheduler.enqueue(short)
        run(self.scheduler, 20)
        self.assertEqual(stopped(run(self.scheduler, 11_000)), [])
        self.scheduler.enqueue(task(run_ms=60_000, queued_ms=11_000))
        self.assertEqual(run(self.scheduler, 11_500), [])
        end(self.scheduler, [*self.blocking, short])
        self.assertEqual(set(started(run(self.scheduler, 12_000))), names(self.members))

    def test_cancelled_gang_releases_its_reservation(self) -> None:
        """Guards against a reservation that outlives its gang."""
        end(self.scheduler, self.members)
        late = task(run_ms=60_000, queued_ms=20)
        self.scheduler.enqueue(late)
        self.assertEqual(started(run(self.scheduler, 30)), [late.task])
        self.assertEqual(self.scheduler.free_resources(), SLOT)
