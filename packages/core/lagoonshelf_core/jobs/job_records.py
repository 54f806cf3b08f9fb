"""Durable records of the progress and the end of a job."""

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.index_ranges import IndexRanges
from lagoonshelf_core.jobs.progress import CrashHistory, Job, JobState, StepRun
from lagoonshelf_core.jobs.spec import Occurrence


def encode_progress(job: Job) -> bytes:
    """Return the durable record of a job's progress.

    Each step has a row of its failed attempts, a row for each task with a counted end that is not
    done, [index, 0, failures, counted attempts, checkpoint], one for the current runs of a worker
    with the same attempt, [worker, attempt, indices], and the ranges of the tasks that are done.
    Tasks that ran on lost workers have a row in "crashes", [index, crashes, early crashes,
    losses]. "done" has the ranges of the occurrences that are done.
    """
    steps, crashes = {}, {}
    for (occurrence, index), step in job.steps.items():
        rows = [
            [task.index, 0, task.failures, sorted(task.counted_attempts), task.checkpoint]
            for task in step.eventful.values()
            if task.counted_attempts
        ]
        runs = [] if job.is_final else _encode_runs(step)
        if rows or runs or step.done:
            failed_attempts = sorted(step.failed_attempts)
            steps[f"{occurrence}.{index}"] = [failed_attempts, rows, runs, step.done.rows()]
        histories = [
            [task.index, history.crashes, history.early_crashes, history.losses]
            for task in step.eventful.values()
            if (history := task.crash_history) is not None
        ]
        if histories:
            crashes[f"{occurrence}.{index}"] = histories
    record: dict[str, object] = {
        "state": job.state.value,
        "ended_ms": job.ended_wall_ms,
        "started": job.has_started,
        "steps": steps,
    }
    if job.spec.occurrences:
        record["done"] = job.done_occurrences.rows()
    if crashes:
        record["crashes"] = crashes
    if job.failure:
        record["failure"] = job.failure
    return orjson.dumps(record)


def _encode_runs(step: StepRun) -> list[list[object]]:
    indices: dict[tuple[WorkerId, int], list[int]] = {}
    for task in step.running.values():
        indices.setdefault((task.run.worker, task.run.attempt), []).append(task.index)
    return [[worker, attempt, group] for (worker, attempt), group in indices.items()]


def encode_end(job: Job) -> bytes:
    """Return the durable record of an ended job, which replaces all its other records."""
    record: dict[str, object] = {"state": job.state.value, "ended_ms": job.ended_wall_ms}
    if job.failure:
        record["failure"] = job.failure
    return orjson.dumps(record)


def decode_end_ms(data: bytes) -> int:
    """Return the end of a job in its durable record, Unix milliseconds.

    :raises ValueError: when the record cannot be read
    """
    return int(orjson.loads(data)["ended_ms"])


def decode_state(data: bytes) -> JobState:
    """Return the job state in a durable record of progress or of an ended job.

    :raises ValueError: when the record cannot be read
    """
    return JobState(orjson.loads(data)["state"])


@dataclass(frozen=True, slots=True)
class RecordedRun:
    """A run that a previous leader had started or was about to start."""

    name: str
    attempt: int
    worker: WorkerId


def restore_progress(job: Job, data: bytes) -> list[RecordedRun]:
    """Apply the durable record of a job's progress and return the recorded runs.

    :raises ValueError: when the record cannot be read
    """
    raw = orjson.loads(data)
    job.state = JobState(raw["state"])
    job.ended_wall_ms = raw["ended_ms"]
    job.has_started = raw["started"]
    job.failure = raw.get("failure", "")
    job.done_occurrences = IndexRanges(raw.get("done", ()))
    recorded = []
    for key, row in raw["steps"].items():
        step = _find_step(job, key)
        recorded += _restore_step(step, *row)
    for key, histories in raw.get("crashes", {}).items():
        step = _find_step(job, key)
        for task_index, *counts in histories:
            step.tasks[task_index].set_crash_history(CrashHistory(*counts))
    for occurrence in {step.occurrence for step in job.steps.values() if step.is_done}:
        job.close_occurrence(occurrence)
    return recorded


def _restore_step(
    step: StepRun,
    failed_attempts: list[int],
    rows: list,
    runs: list,
    done: Iterable[tuple[int, int]] = (),
) -> list[RecordedRun]:
    """Apply the row of a step and return its recorded runs.

    :param done: ranges of the done tasks; earlier versions had rows for these tasks instead
    """
    spec, counts = step.spec, step.job.failure_counts
    for task_index, is_done, failures, counted_attempts, checkpoint in rows:
        task = step.tasks[task_index]
        for attempt in counted_attempts:
            task.count_attempt(attempt)
        task.checkpoint = checkpoint
        task.failures = failures
        if not spec.is_gang and not spec.is_service:
            counts.replace(0, failures)
        # Earlier versions recorded a service's task as done when its run had ended so.
        if is_done and not spec.is_service:
            task.mark_done()
    step.failed_attempts = set(failed_attempts)
    if spec.is_gang and not step.is_done:
        counts.replace(0, len(failed_attempts))
    for first, last in done:
        for task in step.tasks[first : last + 1]:
            task.mark_done()
    # Earlier versions had a row for each run, [index, attempt, worker].
    groups = [
        ([row[0]], row[1], row[2]) if isinstance(row[0], int) else (row[2], row[1], row[0])
        for row in runs
    ]
    return [
        RecordedRun(step.tasks[task_index].name, attempt, WorkerId(worker))
        for indices, attempt, worker in groups
        for task_index in indices
    ]


def _find_step(job: Job, key: str) -> StepRun:
    """Return the step with a key in a durable record, "occurrence.index"."""
    occurrence, index = (int(part) for part in key.split("."))
    return job.occurrence_steps(Occurrence(occurrence))[index]
