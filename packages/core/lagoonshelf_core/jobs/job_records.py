"""Durable records of the progress and the end of a job."""

from dataclasses import dataclass

import orjson

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.progress import CrashHistory, Job, JobState, StepRun
from lagoonshelf_core.jobs.spec import Occurrence


def encode_progress(job: Job) -> bytes:
    """Return the durable record of a job's progress.

    Each step has a row for each task with a counted end, [index, done, failures, counted attempts,
    checkpoint], and one for each current run, [index, attempt, worker]. Tasks that ran on lost
    workers have a row in "crashes", [index, crashes, early crashes, losses].
    """
    steps, crashes = {}, {}
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
        histories = [
            [task.index, history.crashes, history.early_crashes, history.losses]
            for task in step.tasks
            if (history := task.crash_history) is not None and not task.is_done
        ]
        if histories:
            crashes[f"{occurrence}.{index}"] = histories
    record: dict[str, object] = {
        "state": job.state.value,
        "ended_ms": job.ended_wall_ms,
        "started": job.has_started,
        "steps": steps,
    }
    if crashes:
        record["crashes"] = crashes
    if job.failure:
        record["failure"] = job.failure
    return orjson.dumps(record)


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
    recorded = []
    for key, histories in raw.get("crashes", {}).items():
        step = _find_step(job, key)
        for task_index, *counts in histories:
            task = step.tasks[task_index]
            task.crash_history = CrashHistory(*counts)
            step.has_suspects = step.has_suspects or task.is_suspect
    for key, (failed_attempts, rows, runs) in raw["steps"].items():
        step = _find_step(job, key)
        step.failed_attempts = set(failed_attempts)
        for task_index, is_done, failures, counted_attempts, checkpoint in rows:
            task = step.tasks[task_index]
            # Earlier versions recorded a service's task as done when its run had ended so.
            task.is_done = bool(is_done) and not step.spec.is_service
            task.failures = failures
            task.counted_attempts = set(counted_attempts)
            task.attempt = max(counted_attempts, default=0) + job.attempt_floor
            task.checkpoint = checkpoint
        for task_index, attempt, worker in runs:
            recorded.append(RecordedRun(step.tasks[task_index].name, attempt, WorkerId(worker)))
    return recorded


def _find_step(job: Job, key: str) -> StepRun:
    """Return the step with a key in a durable record, "occurrence.index"."""
    occurrence, index = (int(part) for part in key.split("."))
    return job.occurrence_steps(Occurrence(occurrence))[index]
