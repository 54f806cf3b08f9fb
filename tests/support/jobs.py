"""Builders for tests of multi-step jobs."""

from itertools import count

from lagoonshelf_core.ids import FailureDomain, QueueId, RackId, TeamId, WorkerId
from lagoonshelf_core.jobs.advice_lanes import AdviceBudget
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import RequestAdvice, StartRun, StopRun
from lagoonshelf_core.jobs.config import AdviceTiming, CellConfig, Pool, PoolId, Queue, Team
from lagoonshelf_core.jobs.job_records import RecordedRun
from lagoonshelf_core.jobs.planning import plan
from lagoonshelf_core.jobs.progress import Job, Run, RunEnd
from lagoonshelf_core.jobs.spec import JobId, JobSpec, StepSpec
from lagoonshelf_core.jobs.worker_reports import (
    EndedRow,
    RunningRow,
    add_unverified_runs,
    apply_report,
)
from lagoonshelf_core.jobs.workers import Worker, WorkerInfo
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources

POOL = PoolId("pool")
TEAM = TeamId("fitting")
BATCH = QueueId("batch")
URGENT = QueueId("urgent")
ADVISED = QueueId("advised")
HOST = Resources(64_000, 131_072, 0)
SMALL = Resources(4_000, 4_096, 0)
ADVICE_BUDGET_MS = 10_000.0
_ids = count(1)


def config(limit: Resources = ZERO_RESOURCES, **fields: object) -> CellConfig:
    """Return a configuration with one team and three queues."""
    queues = {
        BATCH: Queue(BATCH, "h", "/batch/", POOL, 2, 3, 4.0, 3_000),
        URGENT: Queue(URGENT, "h", "/urgent/", POOL, 0, 3, 1.5, 250),
        ADVISED: Queue(ADVISED, "h", "/adv/", POOL, 1, 3, 2.2, 1_000, AdviceTiming(50, 1, 2_000)),
    }
    teams = {TEAM: Team(TEAM, 1_000, limit)}
    return CellConfig(1, queues, teams, {"key": TEAM}, {POOL: Pool(POOL)}, **fields)


def make_step(task_count: int = 1, size: Resources = SMALL, **fields: object) -> StepSpec:
    """Return a step of short tasks."""
    return StepSpec(task_count, size, fields.pop("estimate_ms", 1_000), **fields)


def make_job(*steps: StepSpec, queue: QueueId = BATCH, **fields: object) -> JobSpec:
    """Return a job with a unique id."""
    job_id = JobId(f"{next(_ids):016x}")
    return JobSpec(job_id, TEAM, queue, "payload", steps or (make_step(),), **fields)


def worker_info(number: int, capacity: Resources = HOST, **fields: object) -> WorkerInfo:
    """Return the registry entry of a worker; eight workers share a rack."""
    values = {
        "id": WorkerId(f"w{number:03}"),
        "address": f"127.0.0.1:{10_000 + number}",
        "pool": POOL,
        "domain": FailureDomain(f"d{number % 3}"),
        "rack": RackId(f"r{number // 8}"),
        "labels": frozenset({"a" if number % 2 else "b"}),
        "capacity": capacity,
        "born_ms": 1_000,
    }
    return WorkerInfo(**{**values, **fields})


def make_cell(workers: int = 4, cfg: CellConfig | None = None, **fields: object) -> Cell:
    """Return a cell whose workers have been read."""
    cell = Cell(cfg or config())
    for number in range(workers):
        add_worker(cell, worker_info(number, **fields))
    return cell


def add_worker(cell: Cell, info: WorkerInfo, now_ms: int = 0) -> Worker:
    """Add a worker that has been read."""
    worker = cell.update_worker(info, now_ms)
    worker.is_read = worker.is_recorded = True
    return worker


def plan_starts(cell: Cell, now_ms: int = 0) -> list[Run]:
    """Run a scheduling pass and return the runs that it starts."""
    plan(cell, now_ms, now_ms, AdviceBudget(ADVICE_BUDGET_MS))
    commands, cell.commands = cell.commands, []
    return [command.run for command in commands if isinstance(command, StartRun)]


def take_stops(cell: Cell) -> list[Run]:
    """Return the runs to be stopped and clear all commands."""
    commands, cell.commands = cell.commands, []
    return [command.run for command in commands if isinstance(command, StopRun)]


def plan_advice_requests(cell: Cell, now_ms: int = 0) -> list[RequestAdvice]:
    """Run a scheduling pass and return its advice requests."""
    plan(cell, now_ms, now_ms, AdviceBudget(ADVICE_BUDGET_MS))
    commands, cell.commands = cell.commands, []
    return [command for command in commands if isinstance(command, RequestAdvice)]


def confirm_starts(cell: Cell, runs: list[Run], now_ms: int = 0) -> None:
    """Confirm the starts of runs."""
    for run in runs:
        cell.start_confirmed(run, now_ms)


def end_run(cell: Cell, run: Run, end: RunEnd = RunEnd.DONE, checkpoint: str = "") -> None:
    """Let the worker of a run report its end."""
    report_end(cell, run.worker, run.name, run.attempt, end, checkpoint)


def report_end(
    cell: Cell,
    worker: WorkerId,
    name: str,
    attempt: int,
    end: RunEnd = RunEnd.DONE,
    checkpoint: str = "",
) -> None:
    """Let a worker report one end beside the runs that continue."""
    entry = cell.workers[worker]
    others = [
        running_row(run)
        for run in entry.runs.values()
        if (run.name, run.attempt) != (name, attempt)
    ]
    apply_report(cell, entry, others, [EndedRow(1, name, attempt, end, checkpoint)], 10, 20)


def add_unverified_run(cell: Cell, worker: Worker, name: str, attempt: int, now_ms: int) -> None:
    """Add one recorded run that may be in progress on a worker."""
    add_unverified_runs(cell, [(worker, RecordedRun(name, attempt, worker.id))], now_ms)


def running_row(run: Run) -> RunningRow:
    """Return the row of a run in its worker's report."""
    return RunningRow(run.name, run.attempt, run.checkpoint, run.progress_percent, run.load)


def accept_job(cell: Cell, spec: JobSpec, now_ms: int = 0, **fields: object) -> Job:
    """Add a job to a cell."""
    return cell.accept(spec, now_ms, **fields)
