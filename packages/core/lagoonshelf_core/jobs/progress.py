"""How far a job is: its tasks, their runs, and the encoding of what must outlive the process."""

from dataclasses import dataclass, field
from enum import Enum

import orjson

from lagoonshelf_core.ids import TeamId, WorkerId
from lagoonshelf_core.jobs.spec import JobId, JobSpec, Occurrence, StepIndex, StepSpec
from lagoonshelf_core.resources import Resources

# Attempt numbers skipped by a successor, so that a start it has not seen never has a number that
# it uses again.
ATTEMPTS_SKIPPED = 16


class JobState(Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED})


class RunPhase(Enum):
    """Where a run is.

    ``STARTING``: the order was sent and not answered; it may be carried out at any time.
    """

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class RunEnd(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task on a worker; it holds room until its end is listed there.

    :param task: none for a run of a job that is not known here
    :param percent: progress
    :param percent_at_ms: when ``percent`` changed last
    :param load: tail in ms of a service's task, processor use of another one
    :param pace: share of full speed that the run was told to work at, in percent
    :param is_stray: the task has another run, or had one when this one was found
    :param is_suspected: known from a record only, not from its worker
    """

    name: str
    attempt: int
    worker: WorkerId
    size: Resources
    team: TeamId | None
    task: "Task | None"
    phase: RunPhase
    started_ms: int
    is_filler: bool = False
    is_service: bool = False
    confirmed_ms: int = 0
    checkpoint: str = ""
    progress_percent: int = 0
    progressed_ms: int = 0
    load: float = 0.0
    pace_percent: int = 100
    paced_at_ms: int = 0
    is_duplicate: bool = False
    is_unverified: bool = False


@dataclass(slots=True, eq=False)
class Task:
    """One task.

    :param attempt: number of the last start
    :param settled: attempts whose end has been counted; ends of one task come from several
        workers, in any order
    :param checkpoint: newest progress that a worker has reported
    :param strays: runs beside ``run`` that have not ended yet
    """

    step: "StepRun"
    index: int
    is_done: bool = False
    run: Run | None = None
    attempt: int = 0
    counted_attempts: set[int] = field(default_factory=set)
    failures: int = 0
    checkpoint: str = ""
    duplicate_runs: int = 0

    @property
    def name(self) -> str:
        """Return the name of the task, unique in the cell."""
        return f"{self.step.name}.{self.index}"

    @property
    def job(self) -> "Job":
        """Return the job of the task."""
        return self.step.job

    @property
    def is_waiting(self) -> bool:
        """Tell whether the task has neither ended well nor a run anywhere."""
        return not self.is_done and self.run is None and not self.duplicate_runs


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of one occurrence of a job.

    :param failed_attempts: attempts in which any of its tasks failed
    """

    job: "Job"
    occurrence: Occurrence
    index: StepIndex
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    failed_attempts: set[int] = field(default_factory=set)
    name: str = field(init=False)

    def __post_init__(self) -> None:
        """Make the name of the step, unique in the cell."""
        self.name = f"{self.job.id}.{self.occurrence}.{self.index}"

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks are done."""
        return all(task.is_done for task in self.tasks)

    @property
    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that could be started."""
        return [task for task in self.tasks if task.is_waiting]


@dataclass(slots=True, eq=False)
class Job:
    """A job in progress.

    :param received_ms: clock time at which this process learnt of the job
    :param is_inherited: accepted before this process became the holder
    :param is_excess: its team had handed in more than its rate allows
    :param attempt_floor: attempts of tasks that have no record begin above it
    :param longest_chain_ms: estimated run time of the longest chain of steps
    """

    spec: JobSpec
    received_ms: int
    state: JobState = JobState.QUEUED
    is_inherited: bool = False
    is_excess: bool = False
    ended_wall_ms: int = 0
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    has_started: bool = False
    attempt_floor: int = 0
    critical_path_ms: float = field(init=False)

    def __post_init__(self) -> None:
        """Reckon what planning asks for again and again."""
        self.critical_path_ms = critical_path_ms(self.spec)

    @property
    def id(self) -> JobId:
        """Return the job's id."""
        return self.spec.id

    @property
    def is_final(self) -> bool:
        """Tell whether the state no longer changes."""
        return self.state in FINAL_STATES

    def occurrence_steps(self, occurrence: Occurrence) -> list[StepRun]:
        """Return the steps of an occurrence, made when first asked for."""
        if (occurrence, 0) not in self.steps:
            for index, spec in enumerate(self.spec.steps):
                step = StepRun(self, occurrence, StepIndex(index), spec)
                step.tasks = [
                    Task(step, number, attempt=self.attempt_floor) for number in range(spec.count)
                ]
                self.steps[(occurrence, index)] = step
        return [self.steps[(occurrence, index)] for index in range(len(self.spec.steps))]

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task by its numbers, none when the job has no such task."""
        if not 0 <= occurrence < max(1, self.spec.occurrences):
            return None
        if not 0 <= step < len(self.spec.steps):
            return None
        tasks = self.occurrence_steps(Occurrence(occurrence))[step].tasks
        return tasks[index] if 0 <= index < len(tasks) else None

    def is_ready(self, step: StepRun) -> bool:
        """Tell whether all steps before a step are done."""
        return all(self.steps[(step.occurrence, before)].is_done for before in step.spec.after)

    def is_complete(self) -> bool:
        """Tell whether every task of every occurrence is done."""
        if any(step.is_service for step in self.spec.steps):
            return False
        if len(self.steps) < len(self.spec.steps) * max(1, self.spec.occurrences):
            return False
        return all(step_run.is_done for step_run in self.steps.values())


def critical_path_ms(spec: JobSpec) -> float:
    """Return the estimated run time of the longest chain of steps of a job."""
    ends_ms: list[float] = []
    for step in spec.steps:
        before = max((ends_ms[index] for index in step.after), default=0.0)
        ends_ms.append(before + step.estimate_ms)
    return max(ends_ms, default=0.0)


def encode_progress(job: Job) -> bytes:
    """Return the durable record of a job's progress.

    Only tasks that ended in some way are listed: [index, done, failures, attempts, checkpoint],
    and what runs: [index, attempt, worker].
    """
    steps = {}
    for (occurrence, index), step in job.steps.items():
        rows = [
            [
                task.index,
                int(task.is_done),
                task.failures,
                sorted(task.counted_attempts),
                task.checkpoint,
            ]
            for task in step.tasks
            if task.is_done or task.counted_attempts
        ]
        runs = [
            [task.index, task.run.attempt, task.run.worker]
            for task in step.tasks
            if task.run is not None and not job.is_final
        ]
        if rows or runs:
            steps[f"{occurrence}.{index}"] = [sorted(step.failed_attempts), rows, runs]
    record = {
        "state": job.state.value,
        "ended_ms": job.ended_wall_ms,
        "started": job.has_started,
        "steps": steps,
    }
    return orjson.dumps(record)


def decode_state(data: bytes) -> JobState:
    """Return only the state in a durable record of progress.

    :raises ValueError: when the record cannot be read
    """
    return JobState(orjson.loads(data)["state"])


@dataclass(frozen=True, slots=True)
class RecordedRun:
    """A run that a predecessor had started or was about to start."""

    name: str
    attempt: int
    worker: WorkerId


def restore_progress(job: Job, data: bytes) -> list[RecordedRun]:
    """Apply the durable record of a job's progress; return what ran.

    :raises ValueError: when the record cannot be read
    """
    raw = orjson.loads(data)
    job.state = JobState(raw["state"])
    job.ended_wall_ms = raw["ended_ms"]
    job.has_started = raw["started"]
    recorded = []
    for key, (failed_attempts, rows, runs) in raw["steps"].items():
        occurrence, index = (int(part) for part in key.split("."))
        step = job.occurrence_steps(Occurrence(occurrence))[index]
        step.failed_attempts = set(failed_attempts)
        for task_index, is_done, failures, counted_attempts, checkpoint in rows:
            task = step.tasks[task_index]
            task.is_done = bool(is_done)
            task.failures = failures
            task.counted_attempts = set(counted_attempts)
            task.attempt = max(counted_attempts, default=0) + job.attempt_floor
            task.checkpoint = checkpoint
        for task_index, attempt, worker in runs:
            recorded.append(RecordedRun(step.tasks[task_index].name, attempt, WorkerId(worker)))
    return recorded
