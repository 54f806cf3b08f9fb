"""Builders for scheduler tests, and Hypothesis settings."""

from itertools import count

from hypothesis import settings

from lagoonshelf_core.commands import Start, Stop
from lagoonshelf_core.ids import Epoch, FailureDomain, PartitionId, RackId, WorkerId
from lagoonshelf_core.model import (
    Task,
    TaskState,
    WorkClass,
    WorkerInfo,
    WorkerState,
    WorkKind,
)
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.scheduler import Scheduler

settings.register_profile(
    "lagoonshelf", derandomize=True, max_examples=80, deadline=None, database=None
)
settings.load_profile("lagoonshelf")

SLOT = Resources(1000, 1024, 0, 1)
_numbers = count(1)


def worker(number: int, capacity: Resources, domains: int = 3, rack_size: int = 2) -> WorkerInfo:
    """Return a worker; consecutive numbers are in different failure domains."""
    domain = number % domains
    return WorkerInfo(
        WorkerId(f"w{number:04}"),
        "",
        FailureDomain(f"d{domain}"),
        RackId(f"d{domain}r{number // domains // rack_size}"),
        capacity,
    )


def cell(workers: int, capacity: Resources, **fields: object) -> Scheduler:
    """Return a scheduler with ready workers."""
    scheduler = Scheduler(**fields)
    for number in range(workers):
        scheduler.set_worker(worker(number, capacity), WorkerState.READY)
    return scheduler


def task(**fields: object) -> Task:
    """Return a repeatable batch task of one slot with a unique name."""
    number = next(_numbers)
    values = {
        "task": f"x{number}",
        "team": "a",
        "queue": "q",
        "request_key": f"k{number}",
        "kind": WorkKind.BATCH,
        "work_class": WorkClass.NORMAL,
        "repeatable": True,
        "size": SLOT,
        "run_ms": 1000,
        "index": 0,
        "queued_ms": 0,
        "home": PartitionId(0),
        "epoch": Epoch(1),
    }
    return Task(**{**values, **fields})


def group(members: int, kind: WorkKind, **fields: object) -> list[Task]:
    """Return the members of a gang or the replicas of a service."""
    key = f"g{next(_numbers)}"
    gang_size = members if kind is WorkKind.GANG else 1
    return [
        task(request_key=key, kind=kind, gang_size=gang_size, index=index, **fields)
        for index in range(members)
    ]


def enqueue(scheduler: Scheduler, tasks: list[Task]) -> None:
    """Add waiting tasks."""
    for item in tasks:
        scheduler.enqueue(item)


def run(scheduler: Scheduler, now_ms: int = 0, may_start: object = None) -> list:
    """Run a pass, confirm its starts and return its commands."""
    commands = scheduler.run_pass(now_ms, may_start or (lambda _: True))
    for command in commands:
        if isinstance(command, Start):
            scheduler.tasks[command.task].state = TaskState.RUNNING
    return commands


def started(commands: list) -> list[str]:
    """Return the tasks that a pass started, in order."""
    return [command.task for command in commands if isinstance(command, Start)]


def stopped(commands: list) -> list[str]:
    """Return the tasks that a pass stopped, in order."""
    return [command.task for command in commands if isinstance(command, Stop)]
