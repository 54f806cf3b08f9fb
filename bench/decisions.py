"""Measures the cost of scheduling passes against a first-in-first-out, first-fit baseline.

Each value is the median of repeated measurements. The ratio is the baseline divided by the value
in the same run, above 1 when the scheduler is faster.
"""

from collections.abc import Callable
from itertools import count
from random import Random

from bench.comparison import MICROSECONDS, Comparison, compare, compare_growth, measure_seconds
from bench.first_fit import FirstFitScheduler
from lagoonshelf_core.ids import Epoch, FailureDomain, PartitionId, RackId, TaskId, WorkerId
from lagoonshelf_core.model import Task, WorkClass, WorkerInfo, WorkerState, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.scheduler import Scheduler

SEED = 1
CAPACITY = Resources(64_000, 131_072, 0, 8)
SIZES = tuple(Resources(cpu, mem, 0, 1) for cpu in (1000, 4000, 8000) for mem in (1024, 8192))
DOMAINS = 6
RACK_SIZE = 8
SLOTS = 8
WORKER_COUNTS = (25, 150, 1200)
QUEUE_LENGTHS = (100, 1000, 10_000)
TEAM_COUNTS = (2, 10, 60)
BURST_TASKS = 64  # tasks that end and start between two passes
BURSTS = 8
PASSES = 5
CANCELLATIONS = 10_000

MakeScheduler = Callable[[], Scheduler | FirstFitScheduler]


class LoadedCell:
    """A fully allocated cell and a source of tasks, the same for scheduler and baseline."""

    def __init__(self, make: MakeScheduler, workers: int, teams: int) -> None:
        """Add the workers and start a task on each slot."""
        self.scheduler = make()
        self.running: list[TaskId] = []
        self._random = Random(SEED)
        self._sequence = count()
        self._teams = teams
        for number in range(workers):
            self.scheduler.set_worker(_new_worker(number), WorkerState.READY)
        self.enqueue(workers * SLOTS)
        self.run_pass()

    def enqueue(self, tasks: int) -> list[TaskId]:
        """Enqueue new tasks and return their ids."""
        added = [self._new_task() for _ in range(tasks)]
        for task in added:
            self.scheduler.enqueue(task)
        return [task.task for task in added]

    def run_pass(self) -> None:
        """Run one scheduling pass."""
        commands = self.scheduler.run_pass(next(self._sequence), lambda task: True)
        self.running += [command.task for command in commands]

    def finish(self, tasks: int) -> None:
        """Release running tasks that are chosen at random."""
        for _ in range(tasks):
            index = self._random.randrange(len(self.running))
            self.running[index], self.running[-1] = self.running[-1], self.running[index]
            self.scheduler.release(self.running.pop())

    def _new_task(self) -> Task:
        number = next(self._sequence)
        return Task(
            TaskId(f"t{number}"),
            f"team{number % self._teams}",
            "queue",
            f"key{number}",
            WorkKind.BATCH,
            WorkClass.NORMAL,
            True,
            self._random.choice(SIZES),
            1000,
            0,
            number,
            PartitionId(0),
            Epoch(1),
        )


def _new_worker(number: int) -> WorkerInfo:
    domain = number % DOMAINS
    rack = number // DOMAINS // RACK_SIZE
    return WorkerInfo(
        WorkerId(f"w{number:04}"),
        "",
        FailureDomain(f"d{domain}"),
        RackId(f"d{domain}r{rack}"),
        CAPACITY,
    )


def _burst_seconds(make: MakeScheduler, workers: int) -> float:
    """Return the seconds per decision when bursts of tasks end and start in a full cell."""
    cell = LoadedCell(make, workers, 20)

    def work() -> None:
        for _ in range(BURSTS):
            cell.finish(BURST_TASKS)
            cell.enqueue(BURST_TASKS)
            cell.run_pass()

    before = len(cell.running)
    spent = measure_seconds(work)
    assert len(cell.running) == before
    return spent / (BURSTS * BURST_TASKS)


def _pass_seconds(make: MakeScheduler, waiting: int, teams: int) -> float:
    """Return the seconds per pass when one task ends between passes while many wait."""
    cell = LoadedCell(make, 150, teams)
    cell.enqueue(waiting)

    def work() -> None:
        for _ in range(PASSES):
            cell.finish(1)
            cell.run_pass()

    return measure_seconds(work) / PASSES


def _cancellation_seconds(make: MakeScheduler) -> float:
    """Return the seconds per task when all waiting tasks but one are cancelled in random order."""
    cell = LoadedCell(make, 25, 20)
    task_ids = cell.enqueue(CANCELLATIONS + 1)
    Random(SEED).shuffle(task_ids)

    def work() -> None:
        for task_id in task_ids[:CANCELLATIONS]:
            cell.scheduler.release(task_id)
        cell.run_pass()

    return measure_seconds(work) / CANCELLATIONS


def _compare_schedulers(name: str, measure: Callable[..., float], *args: int) -> Comparison:
    return compare(
        name,
        "us",
        MICROSECONDS,
        lambda: measure(Scheduler, *args),
        lambda: measure(FirstFitScheduler, *args),
    )


def _as_rate(result: Comparison) -> Comparison:
    name = result.name.replace("decision", "placements")
    new, old = MICROSECONDS / result.value, MICROSECONDS / result.baseline
    return Comparison(name, "1/s", new, old, result.ratio)


def run() -> list[Comparison]:
    """Run all measurements, which takes about a minute."""
    by_workers = [
        _compare_schedulers(f"decision, {n} workers", _burst_seconds, n) for n in WORKER_COUNTS
    ]
    by_queue = [
        _compare_schedulers(f"pass, {n} waiting, 20 teams", _pass_seconds, n, 20)
        for n in QUEUE_LENGTHS
    ]
    by_team = [
        _compare_schedulers(f"pass, 1000 waiting, {n} teams", _pass_seconds, 1000, n)
        for n in TEAM_COUNTS
    ]
    return [
        *by_workers,
        *(_as_rate(result) for result in by_workers),
        compare_growth("decision, growth 25 to 1200 workers", by_workers[0], by_workers[-1]),
        *by_queue,
        compare_growth("pass, growth 100 to 10000 waiting", by_queue[0], by_queue[-1]),
        *by_team,
        compare_growth("pass, growth 2 to 60 teams", by_team[0], by_team[-1]),
        _compare_schedulers(f"cancellation of {CANCELLATIONS} tasks", _cancellation_seconds),
    ]
