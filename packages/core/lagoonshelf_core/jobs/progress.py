"""Progress of a job: its tasks and their runs."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from lagoonshelf_core.ids import TeamId, WorkerId
from lagoonshelf_core.jobs.index_ranges import IndexRanges
from lagoonshelf_core.jobs.spec import JobId, JobSpec, Occurrence, StepIndex, StepSpec
from lagoonshelf_core.resources import Resources

if TYPE_CHECKING:
    from lagoonshelf_core.jobs.worker_speeds import RunTrack

# Attempt numbers of a task for each revision of the store, see ``attempt_floor``.
ATTEMPTS_PER_REVISION = 1_000
# Attempt numbers that are skipped when a worker knows of a later start than this leader.
ATTEMPTS_SKIPPED = 16
# A run counts as settled once its worker has been heard this long after its start: starting it
# did not crash the worker.
SETTLE_MS = 500
# A task of a service reports this progress once it serves, after a short startup.
FULL_PERCENT = 100
# An earlier leader may have set any pace. From one that is not full a command follows, either way.
UNKNOWN_PACE_PERCENT = 80


def attempt_floor(token: int) -> int:
    """Return the number above which a leader numbers its starts of inherited jobs.

    No two leaders give a task the same number, though a leader may not have recorded its starts:
    the token is a revision of the store, each leader has a higher one, and the record of a start
    takes a revision. Without records a leader starts a task a few hundred times at most before
    its term ends with the outage.

    :param token: fencing token of the leader's term
    """
    return token * ATTEMPTS_PER_REVISION


class JobState(Enum):
    """State of a job as shown to clients."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED})


class RunPhase(Enum):
    """Phase of a run.

    ``STARTING``: the start command has no response yet; the worker may execute it at any time.
    """

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class RunEnd(Enum):
    """How a run ended, as reported by its worker.

    ``LAPSED`` means that its lease expired or that its worker lost it. ``BROKEN`` and ``ALONE``
    are for members of gangs: another member had ended, or the others were not running.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task on a worker; its resources stay allocated until its end is reported.

    :param task: None for a run of a task that is not known here
    :param confirmed_ms: when the worker confirmed the start, 0 before
    :param progressed_ms: when ``progress_percent`` last changed
    :param load: tail latency in ms of a service's task, CPU use of any other task
    :param pace_percent: share of full speed that was last requested for the run
    :param is_duplicate: the task has another run, or had one when this run was found
    :param is_unverified: known only from a record, not reported by the worker
    :param is_loss_recorded: the loss of its worker has been recorded
    :param has_started: the worker has confirmed the start or has reported the run
    :param has_served: a run of a service that has been at work
    :param track: its progress in the model of speeds, None when it is not followed
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
    is_loss_recorded: bool = False
    has_started: bool = False
    has_served: bool = False
    track: "RunTrack | None" = None


@dataclass(slots=True)
class CrashHistory:
    """Workers that were lost while they ran a task.

    :param crashes: workers that certainly crashed while they ran it
    :param early_crashes: those that crashed before its run had settled, which may be due to it
    :param losses: workers that may not have crashed, or may not have begun to run it
    """

    crashes: int = 0
    early_crashes: int = 0
    losses: int = 0


@dataclass(slots=True, eq=False)
class Task:
    """A task of a step.

    ``is_done``, ``run`` and all else that its step counts are changed by its methods only.

    :param run: current run of the task
    :param attempt: number of the last start
    :param checkpoint: latest checkpoint that a worker has reported
    :param duplicate_runs: number of runs beside ``run`` that have not ended yet
    :param crash_history: workers that were lost while they ran the task, None for none
    :param restart_ms: time before which a task of a service is not started again
    """

    step: "StepRun"
    index: int
    is_done: bool = False
    run: Run | None = None
    attempt: int = 0
    failures: int = 0
    checkpoint: str = ""
    duplicate_runs: int = 0
    crash_history: CrashHistory | None = None
    restart_ms: int = 0
    _counted_attempts: set[int] | None = None

    @property
    def counted_attempts(self) -> set[int]:
        """Return the attempts whose end has been counted.

        The ends of one task arrive from several workers in any order. Most tasks wait or run for
        the first time, so that the set, larger than all else of a task, is created on first use.
        """
        if self._counted_attempts is None:
            self._counted_attempts = set()
        return self._counted_attempts

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
        """Return whether the task is not done and has no run on any worker."""
        return not self.is_done and self.run is None and not self.duplicate_runs

    def assign(self, run: Run | None) -> None:
        """Set the current run, ``None`` for no run."""
        self.job.run_count += (run is not None) - (self.run is not None)
        self.run = run
        if run is None:
            self.step.running.pop(self.index, None)
        else:
            self.step.running[self.index] = self
        self._update_waiting()

    def add_duplicate(self) -> None:
        """Count a run beside the current one."""
        self.job.run_count += 1
        self.duplicate_runs += 1
        self._update_waiting()

    def remove_duplicate(self) -> None:
        """Count the end of a run beside the current one."""
        self.job.run_count -= 1
        self.duplicate_runs -= 1
        self._update_waiting()

    def mark_done(self) -> None:
        """Record that the task is done."""
        if self.is_done:
            return
        step, counts = self.step, self.job.failure_counts
        self.is_done = True
        self.checkpoint = ""
        step.done.add(self.index)
        step.eventful.pop(self.index, None)
        if not step.spec.is_gang:
            counts.replace(self.failures, 0)
        elif step.is_done:
            counts.replace(len(step.failed_attempts), 0)
        self._update_waiting()

    def count_attempt(self, attempt: int) -> None:
        """Record that the end of an attempt has been counted."""
        if self.step.spec.is_service:
            # It may end any number of times, and nothing depends on the number of its ends.
            self._counted_attempts = {attempt}
        else:
            self.counted_attempts.add(attempt)
        self.attempt = max(self.attempt, attempt)
        self.step.eventful[self.index] = self

    def count_failure(self, attempt: int) -> None:
        """Record that an attempt has failed."""
        step, counts = self.step, self.job.failure_counts
        self.failures += 1
        if step.spec.is_gang:
            known = len(step.failed_attempts)
            step.failed_attempts.add(attempt)
            counts.replace(known, len(step.failed_attempts))
        else:
            step.failed_attempts.add(attempt)
            if not step.spec.is_service:
                counts.replace(self.failures - 1, self.failures)

    def set_crash_history(self, history: CrashHistory | None) -> None:
        """Set the workers that were lost while they ran the task."""
        self.crash_history = history
        self.step.eventful[self.index] = self
        self.step.has_suspects = self.step.has_suspects or self.is_suspect

    def _update_waiting(self) -> None:
        if self.is_waiting:
            self.step.waiting[self.index] = self
        else:
            self.step.waiting.pop(self.index, None)

    @property
    def is_suspect(self) -> bool:
        """Return whether the task may be what crashes its workers."""
        return self.crash_history is not None and self.crash_history.early_crashes > 0


class FailureCounts:
    """Numbers of failures of a job's tasks and gangs that are not done."""

    def __init__(self) -> None:
        """Create without failures."""
        self._counts: Counter[int] = Counter()

    def replace(self, old: int, new: int) -> None:
        """Count a task or gang with a new number of failures, 0 for one that is done."""
        if old == new:
            return
        if new:
            self._counts[new] += 1
        if old:
            self._counts[old] -= 1
            if not self._counts[old]:
                del self._counts[old]

    def reaches(self, max_failures: int) -> bool:
        """Return whether a task or gang has failed at least this often."""
        return any(count >= max_failures for count in self._counts)


@dataclass(frozen=True, slots=True)
class GangHold:
    """Workers that are held for a waiting gang.

    :param capacity: capacity of the workers together when they were chosen
    :param band: priority band of the gang when the workers were chosen
    :param expected_ms: when the gang is expected to fit on them
    """

    workers: frozenset[WorkerId]
    capacity: Resources
    band: int
    expected_ms: int


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of one occurrence of a job.

    The tasks by their state let an event of one task cost the same however many the step has.

    :param has_tasks: it has its tasks; a step of an occurrence that is done needs none
    :param waiting: tasks that are neither done nor running, by index
    :param running: tasks with a current run, by index
    :param eventful: tasks that are not done and of which more is recorded than their current run
    :param done: indices of the tasks that are done
    :param failed_attempts: attempts in which at least one task failed
    :param has_suspects: some of its tasks may be what crashes their workers
    :param hold: workers that are held for the step, a gang that waits for capacity
    :param next_hold_ms: when workers may be chosen again after there were none
    """

    job: "Job"
    occurrence: Occurrence
    index: StepIndex
    spec: StepSpec
    has_tasks: bool = True
    tasks: list[Task] = field(init=False)
    waiting: dict[int, Task] = field(init=False)
    running: dict[int, Task] = field(default_factory=dict)
    eventful: dict[int, Task] = field(default_factory=dict)
    done: IndexRanges = field(default_factory=IndexRanges)
    failed_attempts: set[int] = field(default_factory=set)
    has_suspects: bool = False
    hold: GangHold | None = None
    next_hold_ms: int = 0
    name: str = field(init=False)

    def __post_init__(self) -> None:
        """Build the name of the step, unique in the cell, and its tasks."""
        self.name = f"{self.job.id}.{self.occurrence}.{self.index}"
        count = self.spec.count if self.has_tasks else 0
        self.tasks = [Task(self, index, attempt=self.job.attempt_floor) for index in range(count)]
        self.waiting = dict(enumerate(self.tasks))

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return len(self.done) == self.spec.count

    @property
    def is_all_waiting(self) -> bool:
        """Return whether all tasks are neither done nor running."""
        return len(self.waiting) == len(self.tasks)

    @property
    def is_all_running(self) -> bool:
        """Return whether all tasks have a run that is at work."""
        return len(self.running) == len(self.tasks) and all(
            task.run.phase is RunPhase.RUNNING for task in self.running.values()
        )

    @property
    def remaining_ms(self) -> float:
        """Return the estimated time from its start to the end of its dependent steps."""
        return self.job.remaining_ms[self.index]


@dataclass(slots=True, eq=False)
class Job:
    """A job in progress.

    :param received_ms: clock time at which this process received the job
    :param is_inherited: accepted before this process became the leader
    :param is_excess: submitted beyond the rate of its team
    :param steps: steps by occurrence and index; none of occurrences that are done
    :param done_occurrences: occurrences of which all steps are done
    :param run_count: runs of its tasks that have not ended, also of those that are done
    :param attempt_floor: first attempts of tasks are numbered above it
    :param next_occurrence: number of the occurrence that this leader looks at next
    :param failure: why the job failed, for its operator
    :param critical_path_ms: estimated run time of the longest chain of dependent steps
    :param remaining_ms: estimated time from the start of each step to the end of those after it
    """

    spec: JobSpec
    received_ms: int
    state: JobState = JobState.QUEUED
    is_inherited: bool = False
    is_excess: bool = False
    ended_wall_ms: int = 0
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    done_occurrences: IndexRanges = field(default_factory=IndexRanges)
    failure_counts: FailureCounts = field(default_factory=FailureCounts)
    run_count: int = 0
    has_started: bool = False
    attempt_floor: int = 0
    next_occurrence: int = 0
    failure: str = ""
    critical_path_ms: float = field(init=False)
    remaining_ms: list[float] = field(init=False)

    def __post_init__(self) -> None:
        """Compute the estimates once, because each scheduling pass needs them."""
        self.critical_path_ms = critical_path_ms(self.spec)
        self.remaining_ms = [
            remaining_ms(self.spec, StepIndex(index)) for index in range(len(self.spec.steps))
        ]

    @property
    def id(self) -> JobId:
        """Return the job's id."""
        return self.spec.id

    @property
    def is_final(self) -> bool:
        """Return whether the state is final."""
        return self.state in FINAL_STATES

    @property
    def has_runs(self) -> bool:
        """Return whether any of its tasks has a run that has not ended."""
        return self.run_count > 0

    def occurrence_steps(self, occurrence: Occurrence) -> list[StepRun]:
        """Return the steps of an occurrence that is not done, and create them on first use."""
        if (occurrence, 0) not in self.steps:
            for index, spec in enumerate(self.spec.steps):
                step = StepRun(self, occurrence, StepIndex(index), spec)
                self.steps[(occurrence, index)] = step
        return [self.steps[(occurrence, index)] for index in range(len(self.spec.steps))]

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task by its indices, or None when the job has no such task."""
        if not 0 <= occurrence < max(1, self.spec.occurrences):
            return None
        if not 0 <= step < len(self.spec.steps):
            return None
        spec = self.spec.steps[step]
        if not 0 <= index < spec.count:
            return None
        is_dropped = self.is_final or occurrence in self.done_occurrences
        if is_dropped and (occurrence, 0) not in self.steps:
            done = StepRun(self, Occurrence(occurrence), StepIndex(step), spec, has_tasks=False)
            return Task(done, index, is_done=True)
        return self.occurrence_steps(Occurrence(occurrence))[step].tasks[index]

    def is_ready(self, step: StepRun) -> bool:
        """Return whether all steps that a step depends on are done."""
        return all(self.steps[(step.occurrence, before)].is_done for before in step.spec.after)

    def close_occurrence(self, occurrence: Occurrence) -> list[StepRun]:
        """Record an occurrence as done if all its steps are; return its steps in that case.

        Those of a scheduled job are dropped, which may have thousands of occurrences.
        """
        steps = self.occurrence_steps(occurrence)
        if not all(step.is_done for step in steps):
            return []
        self.done_occurrences.add(occurrence)
        if self.spec.occurrences:
            for step in steps:
                del self.steps[(occurrence, step.index)]
        return steps

    def is_complete(self) -> bool:
        """Return whether every task of every occurrence is done; never for a job with services."""
        return len(self.done_occurrences) == max(1, self.spec.occurrences)


def critical_path_ms(spec: JobSpec) -> float:
    """Return the estimated run time of the longest chain of dependent steps of a job."""
    ends_ms: list[float] = []
    for step in spec.steps:
        before = max((ends_ms[index] for index in step.after), default=0.0)
        ends_ms.append(before + step.estimate_ms)
    return max(ends_ms, default=0.0)


def remaining_ms(spec: JobSpec, first: StepIndex) -> float:
    """Return the estimated time from the start of a step to the end of its dependent steps."""
    end_ms_by_step = {first: float(spec.steps[first].estimate_ms)}
    for index in range(first + 1, len(spec.steps)):
        step = spec.steps[index]
        before = [end_ms_by_step[number] for number in step.after if number in end_ms_by_step]
        if before:
            end_ms_by_step[index] = max(before) + step.estimate_ms
    return max(end_ms_by_step.values())
