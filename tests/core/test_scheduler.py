"""Tests of scheduling passes: invariants, recovery and cost."""

import gc
import sys
import unittest
from collections import Counter
from collections.abc import Callable
from random import Random
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from lagoonshelf_core.commands import Start, Stop, Throttle
from lagoonshelf_core.document import QueueConfig
from lagoonshelf_core.hooks import Hooks
from lagoonshelf_core.model import Task, WorkClass, WorkerState, WorkKind
from lagoonshelf_core.pass_state import PassState
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.scheduler import Scheduler
from tests.support.scheduling import SLOT, cell, enqueue, group, run, started, task, worker

CAPACITY = Resources(8000, 13_000, 2, 6)  # a gang of five of any size fits
WORKERS = 4
SIZES = (SLOT, Resources(4000, 1024, 0, 1), Resources(500, 6000, 0, 2), Resources(100, 64, 1, 1))
TEAM_LIMIT = 9
MAX_ROUNDS = 400  # passes in which all enqueued tasks must have run


class SimulatedWorkers:
    """Simulated workers that record independently which task runs where."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.scheduler = cell(WORKERS, CAPACITY)
        self.scheduler.set_policy({}, {"u": QueueConfig(reserve_slots=3)})
        self.running: dict[str, tuple[str, Resources]] = {}
        self.stopping: dict[str, bool] = {}
        self.now_ms = 0

    def arrive(self) -> None:
        """Enqueue a random request."""
        pick = self.random.choice
        kind = pick(list(WorkKind))
        members = pick((2, 3, 5)) if kind in (WorkKind.GANG, WorkKind.SERVICE) else 1
        enqueue(
            self.scheduler,
            group(
                members,
                kind,
                team=pick("abc"),
                queue=pick("qu"),
                work_class=pick(list(WorkClass)),
                repeatable=pick((True, True, False)),
                size=pick(SIZES),
                run_ms=pick((0, 200, 5000)),
                queued_ms=self.now_ms,
            ),
        )

    def end(self, name: str) -> None:
        """Report the end of a task; a preempted one is requeued."""
        should_requeue = self.scheduler.should_requeue(name)
        ended = self.scheduler.release(name)
        self.running.pop(name)
        if should_requeue:
            self.scheduler.enqueue(ended)

    def end_some(self, part: float) -> None:
        """Report the end of a random part of the running tasks."""
        for name in sorted(self.running):
            if self.random.random() < part:
                self.end(name)

    def step(self) -> list:
        """Run a pass and execute its commands."""
        self.now_ms += self.random.choice((1, 50, 400))
        allocated = self.scheduler.team_allocated
        commands = run(self.scheduler, self.now_ms, lambda t: allocated(t.team)[0] < TEAM_LIMIT)
        for command in commands:
            item = self.scheduler.tasks[command.task]
            if isinstance(command, Start):
                assert command.task not in self.running
                self.running[command.task] = (command.worker, item.size)
            elif isinstance(command, Throttle):
                self.throttle(command, item)
        return commands

    def throttle(self, command: Throttle, item: Task) -> None:
        """Execute a throttle command, or lose it at random."""
        if command.percent == 100 or self.random.random() < 0.7:
            cpu = -(-item.size.cpu_milli * command.percent // 100)
            size = Resources(cpu, item.size.memory_mib, item.size.accelerators, item.size.slots)
            self.running[command.task] = (command.worker, size)
            self.scheduler.confirm_throttle(command.task, command.percent)

    def load(self) -> dict[str, Resources]:
        """Return the resources in use on each worker."""
        total: dict[str, Resources] = {}
        for where, size in self.running.values():
            total[where] = total.get(where, Resources()) + size
        return total


class InvariantTest(unittest.TestCase):
    """Invariants over random sequences of events."""

    @given(st.integers(0, 10_000))
    def test_capacity_limits_and_progress(self, seed) -> None:
        """Guards against overcommitment, exceeded limits, forbidden stops and stuck tasks."""
        workers = SimulatedWorkers(seed)
        for _ in range(60):
            for _ in range(workers.random.randrange(4)):
                workers.arrive()
            workers.end_some(0.15)
            self.check(workers, workers.step())
        rounds = 0
        while workers.scheduler.tasks and rounds < MAX_ROUNDS:
            rounds += 1
            workers.end_some(1.0)
            self.check(workers, workers.step())
        self.assertEqual(workers.scheduler.tasks, {})
        self.assertEqual(workers.scheduler.free_resources(), CAPACITY.scaled(WORKERS))

    def check(self, workers: SimulatedWorkers, commands: list) -> None:
        """Compare the simulated workers with capacities and limits."""
        for load in workers.load().values():
            self.assertTrue(load.fits_in(CAPACITY), load)
        teams = Counter(workers.scheduler.tasks[name].team for name in workers.running)
        self.assertLessEqual(max(teams.values(), default=0), TEAM_LIMIT)
        for command in commands:
            if isinstance(command, Stop):
                self.assertTrue(workers.scheduler.tasks[command.task].repeatable)

    @given(st.integers(0, 10_000))
    def test_nothing_that_fits_is_left_waiting(self, seed) -> None:
        """Guards against a waiting task although it fits in free capacity."""
        random = Random(seed)
        scheduler = cell(WORKERS, CAPACITY)
        tasks = [task(size=random.choice(SIZES), team=random.choice("abc")) for _ in range(40)]
        enqueue(scheduler, tasks)
        run(scheduler)
        free = {worker(n, SLOT).worker: CAPACITY for n in range(WORKERS)}
        for item in tasks:
            if item.worker:
                free[item.worker] -= item.size
        waiting = [item for item in tasks if not item.worker]
        self.assertFalse([t for t in waiting if any(t.size.fits_in(r) for r in free.values())])


class RecoveryTest(unittest.TestCase):
    """Adopted tasks and changes in the host list."""

    def test_adopted_task_counts_before_its_worker_is_known(self) -> None:
        """Guards against overcommitment after a takeover."""
        scheduler = Scheduler()
        adopted = task()
        scheduler.adopt(adopted, worker(0, SLOT).worker)
        scheduler.set_worker(worker(0, SLOT), WorkerState.READY)
        waiting = task()
        scheduler.enqueue(waiting)
        self.assertEqual(run(scheduler), [])
        scheduler.release(adopted.task)
        self.assertEqual(started(run(scheduler)), [waiting.task])

    def test_adopted_twice_counts_once(self) -> None:
        """Guards against a leaked allocation when an inventory is read again."""
        scheduler = cell(1, SLOT)
        adopted = task()
        scheduler.adopt(adopted, worker(0, SLOT).worker)
        scheduler.adopt(adopted, worker(0, SLOT).worker)
        scheduler.release(adopted.task)
        self.assertEqual(scheduler.free_resources(), SLOT)

    def test_only_ready_workers_get_tasks(self) -> None:
        """Guards against placement on a worker that is unread, leaving or gone."""
        for state in set(WorkerState) - {WorkerState.READY}:
            scheduler = Scheduler()
            scheduler.set_worker(worker(0, SLOT), state)
            scheduler.enqueue(task())
            self.assertEqual(run(scheduler), [])
            self.assertEqual(scheduler.free_resources(), Resources())

    def test_removed_worker_returns_with_its_tasks_counted(self) -> None:
        """Guards against a returning worker counted as empty while its tasks still run."""
        scheduler = cell(1, SLOT)
        item = task()
        scheduler.enqueue(item)
        run(scheduler)
        scheduler.remove_worker(item.worker)
        scheduler.set_worker(worker(0, SLOT), WorkerState.READY)
        self.assertEqual(scheduler.free_resources(), Resources())
        scheduler.release(item.task)
        self.assertEqual(scheduler.free_resources(), SLOT)

    def test_host_list_read_again_does_not_change_shares(self) -> None:
        """Guards against capacity that is added at each reading of the host list."""
        scheduler = cell(1, SLOT)
        scheduler.set_worker(worker(0, SLOT), WorkerState.READY)
        scheduler.enqueue(task())
        run(scheduler)
        run(scheduler, 10_000_000)
        self.assertAlmostEqual(scheduler.team_shares()["a"], 1.0)

    def test_refused_start_waits_again_in_front(self) -> None:
        """Guards against a refused start that leaks its allocation or loses its queue position."""
        scheduler = cell(1, SLOT)
        first, second = task(), task(queued_ms=5)
        enqueue(scheduler, [first, second])
        run(scheduler)
        scheduler.enqueue(first)
        self.assertEqual(started(run(scheduler, 10)), [first.task])
        self.assertEqual(first.attempt, 2)


class HooksTest(unittest.TestCase):
    """Hooks of the scheduling pass."""

    def test_unusable_worker_is_avoided(self) -> None:
        """Guards against placement on a quarantined worker."""
        barred = worker(0, SLOT).worker
        scheduler = cell(2, SLOT, hooks=Hooks(may_use=lambda w, _: w != barred))
        items = [task(), task()]
        enqueue(scheduler, items)
        self.assertEqual(len(started(run(scheduler))), 1)
        self.assertNotIn(barred, [item.worker for item in items])

    def test_raised_class_goes_first(self) -> None:
        """Guards against a task with a deadline that keeps the class of its queue."""
        late = task(work_class=WorkClass.BACKGROUND, queue="d", queued_ms=9)

        def effective_class(item: Task, now_ms: int) -> WorkClass:
            return WorkClass.URGENT if item.queue == "d" and now_ms > 500 else item.work_class

        scheduler = cell(1, SLOT, hooks=Hooks(effective_class=effective_class))
        enqueue(scheduler, [task(kind=WorkKind.INTERACTIVE), late, task()])
        (first,) = started(run(scheduler, 100))
        scheduler.release(first)
        self.assertEqual(started(run(scheduler, 600)), [late.task])


class CostTest(unittest.TestCase):
    """Cost of operations, measured in calls."""

    def test_full_cell_is_searched_once_per_kind_of_task(self) -> None:
        """Guards against a pass that tries each of thousands of waiting tasks."""
        scheduler = cell(1, SLOT)
        enqueue(scheduler, [task(team=f"t{n % 5}", queued_ms=n) for n in range(5000)])
        with patch.object(PassState, "find_worker", return_value=None) as find:
            run(scheduler)
            self.assertEqual(find.call_count, 5)
            find.reset_mock()
            scheduler.adopt(task(), worker(0, SLOT).worker)
            run(scheduler, 1)
            self.assertEqual(find.call_count, 0)

    def test_unusual_sizes_neither_cost_nor_starve(self) -> None:
        """Guards against a pass over thousands of sizes, and starvation of one that fits."""
        scheduler = cell(1, SLOT)
        sizes = [Resources(2000 + n, 1024, 0, 1) for n in range(2000)]
        enqueue(scheduler, [task(size=size) for size in sizes])
        small = task(queued_ms=1)
        scheduler.enqueue(small)
        started_at = [now for now in range(100) if started(run(scheduler, now))]
        self.assertEqual(len(started_at), 1)

    def test_cancellation_does_not_read_the_queue(self) -> None:
        """Guards against a cost of cancellations that is quadratic in their number."""
        calls = []
        for length in (1000, 10_000):
            scheduler = cell(1, SLOT)
            tasks = [task(queued_ms=n) for n in range(length)]
            enqueue(scheduler, tasks)
            calls.append(count_calls(lambda w=tasks[:900], s=scheduler: cancel(s, w)))
            self.assertEqual(scheduler.queue_length(), length - 900)
            self.assertEqual(started(run(scheduler)), [tasks[900].task])
        self.assertEqual(calls[0], calls[1])


def cancel(scheduler: Scheduler, tasks: list[Task]) -> None:
    """Cancel waiting tasks."""
    for item in tasks:
        scheduler.release(item.task)


def count_calls(work: Callable[[], None]) -> int:
    """Return the number of function calls made by a function.

    Without garbage collection: libraries register callbacks for it, which would be counted.
    """
    calls = 0

    def note(frame: object, event: str, arg: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    gc.disable()
    sys.setprofile(note)
    try:
        work()
    finally:
        sys.setprofile(None)
        gc.enable()
    return calls
