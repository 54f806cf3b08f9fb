"""Cost of the scheduling pass, against first in, first out with first fit.

Each figure is the median of repeated measurements; the ratio says how many times the baseline's
time it is in the same run, above 1 when the pass is faster.
"""

from collections.abc import Callable
from itertools import count
from random import Random

from bench.baseline import FirstFit
from bench.rows import MICROSECONDS, Row, compare, growth, seconds
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
WORKERS = (25, 150, 1200)
QUEUES = (100, 1000, 10_000)
TEAMS = (2, 10, 60)
BURST = 64  # tasks that end and start between two passes
BURSTS = 8
KICKS = 5
WAVE = 10_000

Make = Callable[[], Scheduler | FirstFit]


class Load:
    """A full cell and a source of tasks, the same for both variants."""

    def __init__(self, make: Make, workers: int, teams: int) -> None:
        """Fill all slots."""
        self.scheduler = make()
        self.running: list[TaskId] = []
        self._random = Random(SEED)
        self._numbers = count()
        self._teams = teams
        for number in range(workers):
            self.scheduler.set_worker(_worker(number), WorkerState.READY)
        self.add(workers * SLOTS)
        self.kick()

    def add(self, tasks: int) -> list[TaskId]:
        """Enqueue tasks; return their names."""
        added = [self._task() for _ in range(tasks)]
        for task in added:
            self.scheduler.enqueue(task)
        return [task.task for task in added]

    def kick(self) -> None:
        """Run one pass."""
        commands = self.scheduler.run_pass(next(self._numbers), lambda task: True)
        self.running += [command.task for command in commands]

    def end(self, tasks: int) -> None:
        """Report the end of random running tasks."""
        for _ in range(tasks):
            place = self._random.randrange(len(self.running))
            self.running[place], self.running[-1] = self.running[-1], self.running[place]
            self.scheduler.release(self.running.pop())

    def _task(self) -> Task:
        number = next(self._numbers)
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


def _worker(number: int) -> WorkerInfo:
    domain = number % DOMAINS
    rack = number // DOMAINS // RACK_SIZE
    return WorkerInfo(
        WorkerId(f"w{number:04}"),
        "",
        FailureDomain(f"d{domain}"),
        RackId(f"d{domain}r{rack}"),
        CAPACITY,
    )


def _bursts(make: Make, workers: int) -> float:
    """Return the seconds per decision when bursts of tasks end and start in a full cell."""
    load = Load(make, workers, 20)

    def work() -> None:
        for _ in range(BURSTS):
            load.end(BURST)
            load.add(BURST)
            load.kick()

    before = len(load.running)
    spent = seconds(work)
    assert len(load.running) == before
    return spent / (BURSTS * BURST)


def _kicks(make: Make, queue: int, teams: int) -> float:
    """Return the seconds per pass when one task ends and thousands wait."""
    load = Load(make, 150, teams)
    load.add(queue)

    def work() -> None:
        for _ in range(KICKS):
            load.end(1)
            load.kick()

    return seconds(work) / KICKS


def _wave(make: Make) -> float:
    """Return the seconds per task when all waiting tasks but one are cancelled at random."""
    load = Load(make, 25, 20)
    names = load.add(WAVE + 1)
    Random(SEED).shuffle(names)

    def work() -> None:
        for name in names[:WAVE]:
            load.scheduler.release(name)
        load.kick()

    return seconds(work) / WAVE


def _measure(name: str, measure: Callable[..., float], *args: int) -> Row:
    return compare(
        name,
        "us",
        MICROSECONDS,
        lambda: measure(Scheduler, *args),
        lambda: measure(FirstFit, *args),
    )


def _rate(row: Row) -> Row:
    name = row.name.replace("decision", "placements")
    new, old = MICROSECONDS / row.value, MICROSECONDS / row.baseline
    return Row(name, "1/s", new, old, row.ratio)


def run() -> list[Row]:
    """Measure everything; takes about a minute."""
    by_workers = [_measure(f"decision, {n} workers", _bursts, n) for n in WORKERS]
    by_queue = [_measure(f"pass, {n} waiting, 20 teams", _kicks, n, 20) for n in QUEUES]
    by_team = [_measure(f"pass, 1000 waiting, {n} teams", _kicks, 1000, n) for n in TEAMS]
    return [
        *by_workers,
        *(_rate(row) for row in by_workers),
        growth("decision, growth 25 to 1200 workers", by_workers[0], by_workers[-1]),
        *by_queue,
        growth("pass, growth 100 to 10000 waiting", by_queue[0], by_queue[-1]),
        *by_team,
        growth("pass, growth 2 to 60 teams", by_team[0], by_team[-1]),
        _measure(f"cancellation, wave of {WAVE}", _wave),
    ]
