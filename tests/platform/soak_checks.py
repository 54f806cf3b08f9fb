"""Checks of the soak test on the responses to clients and the runs on executors."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import pairwise

from tests.platform.standin.clients import NO_RESPONSE, ClientJob
from tests.platform.standin.cluster import ConfigChange
from tests.platform.standin.executors import RunRecord

STORED = 200
REFUSED = (429, 503)
UNCERTAIN = (NO_RESPONSE, 502, 504)
UNKNOWN_QUEUE = 404
STATE_ORDER = {"queued": 0, "running": 1, "complete": 2, "failed": 2, "cancelled": 2}
FINAL = ("complete", "failed", "cancelled")
# The users' bounds: a task may be given up after two executors have crashed under it, and must not
# be started three times more after three have.
MIN_CRASHES = 2
MAX_CRASHES = 5


@dataclass(frozen=True, slots=True)
class QueueAnswer:
    """Answer to a request for the count of a queue."""

    process: str
    queue: str
    status: int
    sent_s: float
    answered_s: float


def outdated_answers(
    answers: Iterable[QueueAnswer], changes: list[ConfigChange], apply_s: float
) -> list[str]:
    """Return the answers that only a version allows which must not be in force any more.

    :param changes: all versions, in order
    :param apply_s: time after which a version has to be in force
    """
    violations = []
    for answer in answers:
        due = [c for c in changes if c.acknowledged_s < answer.sent_s - apply_s][-1:]
        later = [
            change
            for change in changes
            if answer.sent_s - apply_s <= change.acknowledged_s <= answer.answered_s
        ]
        is_known = {answer.queue in change.queues for change in (*due, *later)}
        claimed = {STORED: True, UNKNOWN_QUEUE: False}.get(answer.status)
        if due and claimed is not None and claimed not in is_known:
            violations.append(
                f"old configuration: {answer.process} answered {answer.status} for "
                f"{answer.queue}, whose last change was acknowledged "
                f"{answer.sent_s - due[0].acknowledged_s:.2f} s before"
            )
    return violations


def overlapping_runs(history: Iterable[RunRecord], end_s: float) -> list[str]:
    """Return a violation for each pair of runs of one task that overlap in time."""
    by_task: dict[str, list[RunRecord]] = {}
    for record in history:
        by_task.setdefault(record.task, []).append(record)
    violations = []
    for task, task_runs in by_task.items():
        task_runs.sort(key=lambda record: record.started_s)
        for first, second in pairwise(task_runs):
            if (first.ended_s or end_s) > second.started_s:
                violations.append(
                    f"overlapping: {task} attempt {first.attempt} on {first.executor} "
                    f"and attempt {second.attempt} on {second.executor}"
                )
    return violations


def reused_attempts(history: Iterable[RunRecord]) -> list[str]:
    """Return the tasks that were started more than once under one attempt."""
    counts = Counter((record.task, record.attempt) for record in history)
    return [
        f"attempt {attempt} used {count} times: {task}"
        for (task, attempt), count in counts.items()
        if count > 1
    ]


def repeated_completions(history: Iterable[RunRecord]) -> list[str]:
    """Return the tasks that completed more than once, apart from ends that were lost."""
    counts: dict[str, int] = {}
    for record in history:
        if record.end == "done" and not record.is_end_lost:
            counts[record.task] = counts.get(record.task, 0) + 1
    return [f"completed {count} times: {task}" for task, count in counts.items() if count > 1]


def overcommitted(
    history: Iterable[RunRecord],
    capacity_cpu: int,
    cap_cpu: int,
    end_s: float,
    capacity_changes: Mapping[str, list[tuple[float, int]]] | None = None,
    apply_s: float = 0.0,
) -> list[str]:
    """Return the executors, and the tenant, whose running tasks exceeded their CPU limit.

    :param cap_cpu: CPU limit of the tenant, 0 for none
    :param capacity_changes: changes of the capacity of executors
    :param apply_s: time after which a smaller capacity counts
    """
    changes_of = capacity_changes or {}
    changes: dict[str, list[tuple[float, int]]] = {}
    for record in history:
        for name in (record.executor, "tenant"):
            rows = changes.setdefault(name, [])
            rows.append((record.started_s, record.cpu))
            rows.append((record.ended_s or end_s, -record.cpu))
    violations = []
    for name, rows in changes.items():
        used = 0
        for at_s, change in sorted(rows):
            used += change
            if name == "tenant":
                limit = cap_cpu or used
            else:
                history_of = changes_of.get(name.partition("+")[0], ())
                limit = _capacity_at(capacity_cpu, history_of, at_s - apply_s, at_s)
            if change > 0 and used > limit:
                violations.append(f"over capacity: {name} ran {used} of {limit}")
                break
    return violations


def _capacity_at(
    first_cpu: int, changes: Iterable[tuple[float, int]], from_s: float, until_s: float
) -> int:
    """Return the greatest capacity of an executor in a time span."""
    before = [cpu for at_s, cpu in changes if at_s <= from_s][-1:] or [first_cpu]
    return max(before + [cpu for at_s, cpu in changes if from_s < at_s <= until_s])


@dataclass(frozen=True, slots=True)
class StartAfterCancel:
    """A start of a job whose cancellation had been acknowledged.

    :param status: status with which the DELETE was answered
    :param after_s: time between that answer and the sending of the start
    :param calm_s: time for which neither the leader that sent it nor the store had been disturbed
    """

    run: RunRecord
    status: int
    after_s: float
    calm_s: float

    def __str__(self) -> str:
        """Return a line for the log."""
        return (
            f"{self.run.task} attempt {self.run.attempt} by leader {self.run.fencing_token} "
            f"{self.after_s:.2f} s after a DELETE was answered {self.status}, "
            f"{self.calm_s:.2f} s after the last disturbance"
        )


def starts_after_cancel(
    jobs: Iterable[ClientJob],
    history: Iterable[RunRecord],
    disturbances: Mapping[int, list[float]],
) -> list[StartAfterCancel]:
    """Return the starts of jobs whose cancellation had been acknowledged, however soon.

    A start that a fault held up counts from when it was sent.

    :param disturbances: by fencing token, in order, when its leader or the store was disturbed
    """
    cancelled = {job.id: job for job in jobs if job.cancel_status}
    starts = []
    for record in history:
        job = cancelled.get(record.task.partition(".")[0])
        sent_s = record.started_s - record.late_s
        if job is None or sent_s <= job.cancel_acknowledged_s:
            continue
        before = [at_s for at_s in disturbances.get(record.fencing_token, ()) if at_s <= sent_s]
        calm_s = sent_s - before[-1] if before else sent_s
        after_s = sent_s - job.cancel_acknowledged_s
        starts.append(StartAfterCancel(record, job.cancel_status, after_s, calm_s))
    return starts


def late_starts(starts: Iterable[StartAfterCancel], cancel_s: float, touch_s: float) -> list[str]:
    """Return the jobs that were started too late after their cancellation, by leaders in touch.

    :param touch_s: time without disturbance after which a leader is in touch
    """
    late: dict[str, list[StartAfterCancel]] = {}
    for start in starts:
        if start.after_s > cancel_s and start.calm_s >= touch_s:
            late.setdefault(start.run.task.partition(".")[0], []).append(start)
    return [
        f"started after its cancellation: {len(rows)} tasks, first {rows[0]}"
        for rows in late.values()
    ]


def needless_crashes(crashed_by: Iterable[tuple[str, int]]) -> list[str]:
    """Return the tasks that were started too often after they had crashed executors."""
    counts = Counter(task for task, _ in crashed_by)
    return [
        f"crashed {count} executors: {task}"
        for task, count in counts.items()
        if count > MAX_CRASHES
    ]


def unfounded_failures(
    jobs: Iterable[ClientJob], history: Iterable[RunRecord], attempts: int
) -> list[str]:
    """Return the jobs that failed although no task had failed or crashed often enough.

    :param attempts: failed runs of one task after which its job fails
    """
    failed, crashed = Counter(), Counter()
    for record in history:
        failed[record.task] += record.end == "failed"
        crashed[record.task] += record.end == "crashed"
    causes = {task.partition(".")[0] for task, count in failed.items() if count >= attempts}
    causes |= {task.partition(".")[0] for task, count in crashed.items() if count >= MIN_CRASHES}
    return [
        f"failed without a cause: {job.id}"
        for job in jobs
        if "failed" in job.states and job.id not in causes
    ]


def incorrect_responses(jobs: Iterable[ClientJob], history: Iterable[RunRecord]) -> list[str]:
    """Return the jobs whose clients received an incorrect response."""
    runs: dict[str, list[RunRecord]] = {}
    for record in history:
        runs.setdefault(record.task.partition(".")[0], []).append(record)
    violations = []
    for job in jobs:
        job_runs = runs.get(job.id, [])
        if _is_refused(job) and job_runs:
            violations.append(f"refused but executed: {job.id} {job.statuses}")
        if job.accepted_s and (not job.states or job.states[-1] not in FINAL):
            violations.append(f"lost: {job.id} is {job.states[-1:] or 'unknown'}")
        done = {record.task for record in job_runs if record.end == "done"}
        if "complete" in job.states and len(done) < job.tasks:
            violations.append(
                f"complete with unfinished tasks: {job.id}, {len(done)} of {job.tasks}"
            )
        if "cancelled" in job.states and not job.cancelled_s:
            violations.append(f"cancelled without a request: {job.id}")
        violations += [
            f"state went backwards: {job.id} from {before} to {after}"
            for before, after in pairwise(job.states)
            if before != after and STATE_ORDER[after] <= STATE_ORDER[before]
        ]
    return violations


def _is_refused(job: ClientJob) -> bool:
    """Return whether every attempt was refused, so that none of them can have been stored."""
    return bool(job.statuses) and all(status in REFUSED for status in job.statuses)
