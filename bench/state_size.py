"""Measures the memory that a partition owner needs for each task, worker and team.

Usage: python -m bench state_size
"""

import tracemalloc
from collections.abc import Callable

from lagoonshelf_core.document import Document, QueueConfig, TeamConfig
from lagoonshelf_core.ids import (
    Epoch,
    FailureDomain,
    PartitionId,
    QueueId,
    RackId,
    RequestKey,
    TeamId,
    WorkerId,
    task_id,
)
from lagoonshelf_core.keys import new_key
from lagoonshelf_core.model import (
    RequestSpec,
    Task,
    WorkClass,
    WorkerInfo,
    WorkerState,
    WorkKind,
)
from lagoonshelf_core.records import RecordTable
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.scheduler import Scheduler

TASKS = 5000
WORKERS = 1200
TEAMS = 60
PAYLOAD_CHARS = 200


def run() -> list[str]:
    """Return one line for each kind of item."""
    return [
        f"{name:<28}{_bytes_per_item(build, count):>8.0f} bytes each ({count})"
        for name, build, count in (
            ("waiting task with record", _build_waiting_tasks, TASKS),
            ("worker in the scheduler", _build_workers, WORKERS),
            ("team with key and queue", sample_teams, TEAMS),
        )
    ]


def _bytes_per_item(build: Callable[[int], object], count: int) -> float:
    build(2)
    tracemalloc.start()
    built = build(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size / count


def _build_waiting_tasks(count: int) -> object:
    records, scheduler = RecordTable(), Scheduler()
    for number in range(count):
        spec = RequestSpec(
            TeamId(f"team-{number % TEAMS}"),
            QueueId("previews"),
            RequestKey(f"request-{number}"),
            WorkKind.INTERACTIVE,
            True,
            Resources(1000, 512, 0, 1),
            200,
            1,
            "x" * PAYLOAD_CHARS + str(number),
            30_000,
        )
        record, _ = records.submit(spec, 0).unwrap()
        record.tasks[0] = task_id(PartitionId(0), Epoch(1), number)
        scheduler.enqueue(_task(spec, number))
    return records, scheduler


def _task(spec: RequestSpec, number: int) -> Task:
    return Task(
        task=task_id(PartitionId(0), Epoch(1), number),
        team=spec.team,
        queue=spec.queue,
        request_key=spec.request_key,
        kind=spec.kind,
        work_class=WorkClass.URGENT,
        repeatable=True,
        size=spec.size,
        run_ms=spec.run_ms,
        index=0,
        queued_ms=0,
        home=PartitionId(0),
        epoch=Epoch(1),
        payload=spec.payload,
    )


def _build_workers(count: int) -> object:
    scheduler = Scheduler()
    for number in range(count):
        info = WorkerInfo(
            WorkerId(f"worker-{number}"),
            f"http://192.0.2.{number % 250}:7100",
            FailureDomain(f"fd{number % 6}"),
            RackId(f"rack-{number // 8}"),
            Resources(64_000, 131_072, 2, 8),
        )
        scheduler.set_worker(info, WorkerState.READY)
    return scheduler


def sample_teams(count: int) -> Document:
    """Return a configuration with ``count`` teams, each with a key and a queue."""
    limits = {"limit_tasks": 100, "limit_cpu_milli": 100_000}
    names = [TeamId(f"team-{number}") for number in range(count)]
    return Document(
        teams={name: TeamConfig(**limits) for name in names},
        keys={f"key-{name}": new_key(f"key-{name}", name)[1] for name in names},
        queues={f"queue-{name}": QueueConfig(team=name) for name in names},
    )
