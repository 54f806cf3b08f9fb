"""Tests of preemption for urgent work."""

import unittest
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from lagoonshelf_core.allocation import Allocations
from lagoonshelf_core.commands import Start, Stop, Throttle
from lagoonshelf_core.document import QueueConfig
from lagoonshelf_core.hooks import Hooks
from lagoonshelf_core.model import WorkClass, WorkKind
from lagoonshelf_core.preemption import THROTTLED_PERCENT
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.scheduler import Scheduler
from tests.support.scheduling import cell, enqueue, group, run, started, stopped, task

FOUR = Resources(4000, 4096, 0, 4)
WHOLE = Resources(4000, 1024, 0, 1)


def urgent(**fields: object):
    """Return an urgent interactive task."""
    return task(work_class=WorkClass.URGENT, kind=WorkKind.INTERACTIVE, **fields)


def full_cell(work: list, capacity: Resources = FOUR, **fields: object) -> Scheduler:
    """Return one worker that runs the given tasks, started in order 1 ms apart."""
    scheduler = cell(1, capacity, **fields)
    for now_ms, item in enumerate(work):
        scheduler.enqueue(item)
        run(scheduler, now_ms)
    assert all(item.worker for item in work)
    return scheduler


class OrderTest(unittest.TestCase):
    """Order of preemption steps and victims."""

    def test_free_capacity_prevents_preemption(self) -> None:
        """Guards against preemption despite free capacity."""
        scheduler = full_cell([task(work_class=WorkClass.BACKGROUND) for _ in range(3)])
        item = urgent()
        scheduler.enqueue(item)
        self.assertEqual(run(scheduler, 10), [Start(item.task, item.worker)])

    def test_reserve_stays_free_for_its_queue(self) -> None:
        """Guards against other queues using the reserve of the urgent queue."""
        scheduler = cell(1, FOUR)
        scheduler.set_policy({}, {"u": QueueConfig(work_class="urgent", reserve_slots=2)})
        enqueue(scheduler, [task() for _ in range(4)])
        self.assertEqual(len(started(run(scheduler))), 2)
        enqueue(scheduler, [urgent(queue="u"), urgent(queue="u")])
        self.assertEqual(len(started(run(scheduler, 1))), 2)

    def test_reserve_above_the_cell_does_not_stop_other_queues(self) -> None:
        """Guards against a reserve above the cell's slots that blocks all other queues."""
        scheduler = cell(1, FOUR)
        scheduler.set_policy({}, {"u": QueueConfig(work_class="urgent", reserve_slots=100)})
        enqueue(scheduler, [task() for _ in range(4)])
        self.assertEqual(len(started(run(scheduler))), 2)

    def test_throttled_capacity_is_used_only_after_confirmation(self) -> None:
        """Guards against overcommitment before the worker has applied a throttle."""
        low = task(work_class=WorkClass.BACKGROUND, size=WHOLE, repeatable=False)
        scheduler = full_cell([low])
        item = urgent()
        scheduler.enqueue(item)
        throttle = Throttle(low.task, low.worker, THROTTLED_PERCENT)
        self.assertEqual(run(scheduler, 10), [throttle])
        self.assertEqual(run(scheduler, 20), [])
        scheduler.confirm_throttle(low.task, THROTTLED_PERCENT)
        self.assertEqual(started(run(scheduler, 30)), [item.task])
        scheduler.release(item.task)
        self.assertEqual(run(scheduler, 40), [Throttle(low.task, low.worker, 100)])
        scheduler.confirm_throttle(low.task, THROTTLED_PERCENT)
        self.assertEqual(scheduler.free_resources().cpu_milli, 0)

    def test_checkpoint_then_stop_within_a_second(self) -> None:
        """Guards against urgent work that waits for a worker that ignores commands."""
        work = [task(work_class=WorkClass.BACKGROUND) for _ in range(4)]
        scheduler = full_cell(work)
        item = urgent()
        scheduler.enqueue(item)
        seen = [(now_ms, run(scheduler, now_ms)) for now_ms in range(100, 1100, 50)]
        seen = [(now_ms, commands) for now_ms, commands in seen if commands]
        latest, where = work[-1].task, work[-1].worker
        self.assertEqual(
            seen,
            [
                (100, [Stop(latest, where, True, True)]),
                (600, [Stop(latest, where, True, False)]),
            ],
        )
        self.assertEqual(scheduler.next_pass_ms(), 2050)
        scheduler.release(latest)
        self.assertEqual(started(run(scheduler, 1100)), [item.task])

    def test_unconfirmed_throttle_is_followed_by_a_checkpoint(self) -> None:
        """Guards against waiting for a throttle that the worker does not support."""
        low = task(work_class=WorkClass.BACKGROUND, size=WHOLE)
        scheduler = full_cell([low])
        scheduler.enqueue(urgent())
        run(scheduler, 100)
        self.assertEqual(scheduler.next_pass_ms(), 350)
        self.assertEqual(run(scheduler, 350), [Stop(low.task, low.worker, True, True)])

    def test_lowest_class_then_most_recent_start(self) -> None:
        """Guards against stopping tasks of a higher class or those that have run longest."""
        classes = [WorkClass.BACKGROUND, WorkClass.BACKGROUND, WorkClass.NORMAL, WorkClass.NORMAL]
        work = [task(work_class=c, kind=WorkKind.INTERACTIVE) for c in classes]
        scheduler = full_cell(work)
        enqueue(scheduler, [urgent() for _ in range(4)])
        expected = [work[1].task, work[0].task, work[3].task, work[2].task]
        self.assertEqual(stopped(run(scheduler, 10)), expected)

    def test_freed_capacity_goes_to_the_preempting_task(self) -> None:
        """Guards against lower-class tasks that take the freed capacity as victims end."""
        work = [task(work_class=WorkClass.BACKGROUND) for _ in range(4)]
        scheduler = full_cell(work)
        item = urgent(size=Resources(2000, 1024, 0, 2))
        enqueue(scheduler, [item, task(queued_ms=1)])
        victims = stopped(run(scheduler, 10))
        self.assertEqual(victims, [work[3].task, work[2].task])
        scheduler.release(victims[0])
        self.assertEqual(run(scheduler, 20), [])
        scheduler.release(victims[1])
        self.assertEqual(started(run(scheduler, 30)), [item.task])

    def test_cancelled_task_releases_its_reserved_capacity(self) -> None:
        """Guards against capacity that stays reserved for a cancelled task."""
        work = [task(work_class=WorkClass.BACKGROUND) for _ in range(4)]
        scheduler = full_cell(work)
        item = urgent()
        scheduler.enqueue(item)
        (victim,) = stopped(run(scheduler, 10))
        scheduler.release(item.task)
        scheduler.enqueue(scheduler.release(victim))
        self.assertEqual(started(run(scheduler, 20)), [victim])

    def test_failed_step_is_not_repeated_for_each_task(self) -> None:
        """Guards against a pass that reads all running tasks for each waiting one."""
        work = [task(work_class=WorkClass.BACKGROUND) for _ in range(4)]
        scheduler = full_cell(work)
        enqueue(scheduler, [urgent() for _ in range(50)])
        counted = patch.object(
            Allocations,
            "preemption_candidates",
            autospec=True,
            side_effect=Allocations.preemption_candidates,
        )
        with counted as read:
            self.assertEqual(len(stopped(run(scheduler, 10))), 4)
        # The throttle fails once, four checkpoints succeed, then each other step fails once.
        self.assertEqual(read.call_count, 7)


class NotPreemptibleTest(unittest.TestCase):
    """Tasks that must not be preempted."""

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(WorkClass),
                st.sampled_from([WorkKind.INTERACTIVE, WorkKind.BATCH, WorkKind.SERVICE]),
                st.booleans(),
            ),
            min_size=4,
            max_size=4,
        ),
        st.integers(1, 5),
    )
    def test_victims_are_repeatable_and_of_a_lower_class(self, kinds, wanted) -> None:
        """Guards against a second run of a non-repeatable task, and preemption within a class."""
        work = [task(work_class=c, kind=k, repeatable=r) for c, k, r in kinds]
        scheduler = full_cell(work)
        enqueue(scheduler, [urgent() for _ in range(wanted)])
        commands = run(scheduler, 10) + run(scheduler, 300) + run(scheduler, 900)
        preemptible = {
            t.task
            for t in work
            if t.repeatable
            and t.work_class is not WorkClass.URGENT
            and t.kind is not WorkKind.SERVICE
        }
        victims = set(stopped(commands))
        self.assertLessEqual(victims, preemptible)
        self.assertEqual(len(victims), min(wanted, len(preemptible)))

    def test_service_keeps_its_minimum(self) -> None:
        """Guards against preempting a service below its minimum number of replicas."""
        replicas = group(4, WorkKind.SERVICE, work_class=WorkClass.BACKGROUND)
        scheduler = cell(1, FOUR, hooks=Hooks(service_minimum=lambda task, replicas: 3))
        enqueue(scheduler, replicas)
        run(scheduler)
        enqueue(scheduler, [urgent() for _ in range(3)])
        self.assertEqual(len(stopped(run(scheduler, 10) + run(scheduler, 300))), 1)

    def test_gang_with_a_member_that_may_not_be_repeated(self) -> None:
        """Guards against stopping only the repeatable members of a gang."""
        members = group(4, WorkKind.GANG, work_class=WorkClass.BACKGROUND)
        members[0].repeatable = False
        scheduler = cell(1, FOUR)
        enqueue(scheduler, members)
        run(scheduler)
        scheduler.enqueue(urgent())
        self.assertEqual(stopped(run(scheduler, 10)), [])

    def test_gang_is_preempted_as_a_whole(self) -> None:
        """Guards against a gang that keeps running without one of its members."""
        members = group(4, WorkKind.GANG, work_class=WorkClass.BACKGROUND)
        scheduler = cell(1, FOUR)
        enqueue(scheduler, members)
        run(scheduler)
        scheduler.enqueue(urgent())
        self.assertEqual(set(stopped(run(scheduler, 10))), {m.task for m in members})

    def test_team_at_its_limit_preempts_nothing(self) -> None:
        """Guards against preemption for a task that may not start."""
        scheduler = full_cell([task(work_class=WorkClass.BACKGROUND) for _ in range(4)])
        scheduler.enqueue(urgent(team="b"))
        self.assertEqual(run(scheduler, 10, lambda t: t.team != "b"), [])
