"""Builders for tests of jobs of steps."""

from itertools import count

from lagoonshelf_core.ids import FailureDomain, QueueId, RackId, TeamId, WorkerId
from lagoonshelf_core.jobs.cell import Cell, EndedRow, RunningRow
from lagoonshelf_core.jobs.commands import AskAdvice, StartRun, StopRun
from lagoonshelf_core.jobs.config import AdviceTerms, CellConfig, Pool, PoolId, Queue, Team
from lagoonshelf_core.jobs.planning import plan
from lagoonshelf_core.jobs.progress import Job, Run, RunEnd
from lagoonshelf_core.jobs.spec import JobId, JobSpec, StepSpec
from lagoonshelf_core.jobs.workers import Worker, WorkerInfo
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources

POOL = PoolId("pool")
TEAM = TeamId("fitting")
BATCH = QueueId("batch")
URGENT = QueueId("urgent")
ADVISED = QueueId("advised")
HOST = Resources(64_000, 131_072, 0)
SMALL = Resources(4_000, 4_096, 0)
PLENTY_MS = 10_000.0
_ids = count(1)


def config(limit: Resources = ZERO_RESOURCES, **fields: object) -> CellConfig:
    """Return a configuration with one team and three queues."""
    queues = {
        BATCH: Queue(BATCH, "h", "/batch/", POOL, 2, 3, 4.0, 3_000),
        URGENT: Queue(URGENT, "h", "/urgent/", POOL, 0, 3, 1.5, 250),
        ADVISED: Queue(ADVISED, "h", "/adv/", POOL, 1, 3, 2.2, 1_000, AdviceTerms(50, 1, 2_000)),
    }
    teams = {TEAM: Team(TEAM, 1_000, limit)}
    return CellConfig(1, queues, teams, {"key": TEAM}, {POOL: Pool(POOL)}, **fields)


def step(count_: int = 1, size: Resources = SMALL, **fields: object) -> StepSpec:
    """Return a step of short tasks."""
    return StepSpec(count_, size, fields.pop("estimate_ms", 1_000), **fields)


def job(*steps: StepSpec, queue: QueueId = BATCH, **fields: object) -> JobSpec:
    """Return a job with an id of its own."""
    job_id = JobId(f"{next(_ids):016x}")
    return JobSpec(job_id, TEAM, queue, "payload", steps or (step(),), **fields)


def worker_info(number: int, capacity: Resources = HOST, **fields: object) -> WorkerInfo:
    """Return what a worker says of itself; eight workers share a rack."""
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


def cell(workers: int = 4, cfg: CellConfig | None = None, **fields: object) -> Cell:
    """Return a cell whose workers have been read."""
    made = Cell(cfg or config())
    for number in range(workers):
        add_worker(made, worker_info(number, **fields))
    return made


def add_worker(made: Cell, info: WorkerInfo, now_ms: int = 0) -> Worker:
    """Add a worker that has been read."""
    worker = made.see_worker(info, now_ms)
    worker.is_read = worker.is_recorded = True
    return worker


def starts(made: Cell, now_ms: int = 0) -> list[Run]:
    """Run a pass and return the runs it starts."""
    plan(made, now_ms, now_ms, PLENTY_MS)
    commands, made.commands = made.commands, []
    return [command.run for command in commands if isinstance(command, StartRun)]


def stops(made: Cell) -> list[Run]:
    """Return and forget the stops that were ordered."""
    commands, made.commands = made.commands, []
    return [command.run for command in commands if isinstance(command, StopRun)]


def questions(made: Cell, now_ms: int = 0) -> list[AskAdvice]:
    """Run a pass and return what it asks the placement policy."""
    plan(made, now_ms, now_ms, PLENTY_MS)
    commands, made.commands = made.commands, []
    return [command for command in commands if isinstance(command, AskAdvice)]


def confirm(made: Cell, runs: list[Run], now_ms: int = 0) -> None:
    """Confirm starts."""
    for run in runs:
        made.start_confirmed(run, now_ms)


def end(made: Cell, run: Run, how: RunEnd = RunEnd.DONE, checkpoint: str = "") -> None:
    """Let the worker of a run list its end."""
    report_end(made, run.worker, run.name, run.attempt, how, checkpoint)


def report_end(
    made: Cell,
    worker: WorkerId,
    name: str,
    attempt: int,
    how: RunEnd = RunEnd.DONE,
    checkpoint: str = "",
) -> None:
    """Let a worker list one end beside what it runs."""
    entry = made.workers[worker]
    others = [
        row(run) for run in entry.runs.values() if (run.name, run.attempt) != (name, attempt)
    ]
    made.report(entry, others, [EndedRow(1, name, attempt, how, checkpoint)], 10, 20)


def row(run: Run) -> RunningRow:
    """Return the row of a run in its worker's list."""
    return RunningRow(run.name, run.attempt, run.checkpoint, run.percent, run.load)


def accept(made: Cell, spec: JobSpec, now_ms: int = 0, **fields: object) -> Job:
    """Take a job in."""
    return made.accept(spec, now_ms, **fields)
