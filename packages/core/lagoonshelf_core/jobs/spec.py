"""Jobs as clients submit them, and their encoding as durable records."""

from dataclasses import dataclass
from typing import NewType

import orjson
from returns.result import Failure, Result, Success

from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.ids import QueueId, RackId, TeamId
from lagoonshelf_core.resources import Resources

JobId = NewType("JobId", str)
StepIndex = NewType("StepIndex", int)
Occurrence = NewType("Occurrence", int)

MAX_STEPS = 64
MAX_TASKS_PER_STEP = 5_000
# Tasks of one occurrence of a job. The record of a job with more of them may exceed the largest
# value that the platform's store accepts, 1 MiB, if all have been stopped and run again.
MAX_TASKS_PER_JOB = 20_000
MAX_OCCURRENCES = 10_000


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step: identical tasks that start when the steps they depend on are done.

    :param size: resources that each task needs
    :param estimate_ms: the client's rough estimate of the run time of one task
    :param after: indices of the steps that must be done first
    :param is_gang: the tasks only work while all of them run
    :param same_rack: the tasks are slower when spread over several racks
    :param label: label that the worker must have, empty for any worker
    :param rack: rack of the input data, empty for none
    :param max_per_worker: maximum number of tasks of one occurrence on one worker, 0 for no limit
    :param saves_progress: the tasks write checkpoints
    :param allows_copies: concurrent runs of one task do no harm; not used by the scheduler
    :param is_service: the tasks run until the job is cancelled
    :param image: tasks of the same image behave alike; not used by the scheduler
    :param target_tail_ms: target of a service's tail latency, 0 for none
    :param is_filler: the tasks are best-effort fillers: they use only CPU that others leave idle
    :param max_unavailable: tasks of a service that may be stopped at once, 0 for no limit
    """

    count: int
    size: Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    is_gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: RackId = RackId("")
    max_per_worker: int = 0
    saves_progress: bool = False
    allows_copies: bool = False
    is_service: bool = False
    image: str = ""
    target_tail_ms: int = 0
    is_filler: bool = False
    max_unavailable: int = 0

    @property
    def smallest_start(self) -> Resources:
        """Return what its smallest part that can start needs: one task, or the whole gang."""
        return self.size.scaled(self.count) if self.is_gang else self.size


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its client submitted it.

    :param payload: passed to each task unchanged
    :param occurrences: number of times that the steps run; 0 to run them once, immediately
    :param first_due_ms: wall time of the first occurrence
    :param accepted_ms: wall time of acceptance
    """

    id: JobId
    team: TeamId
    queue: QueueId
    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int = 0


def validate_job(job: JobSpec) -> Fault | None:
    """Return why a job is invalid, or None when it is valid."""
    if not 1 <= len(job.steps) <= MAX_STEPS:
        return Fault(ResultCode.BAD_REQUEST, f"a job has 1 to {MAX_STEPS} steps")
    if not 0 <= job.occurrences <= MAX_OCCURRENCES:
        return Fault(ResultCode.BAD_REQUEST, f"at most {MAX_OCCURRENCES} occurrences")
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS_PER_JOB:
        text = f"a job has at most {MAX_TASKS_PER_JOB} tasks, not {tasks}"
        return Fault(ResultCode.BAD_REQUEST, text)
    for index, step in enumerate(job.steps):
        if not 1 <= step.count <= MAX_TASKS_PER_STEP:
            text = f"step {index}: 1 to {MAX_TASKS_PER_STEP} tasks, not {step.count}"
            return Fault(ResultCode.BAD_REQUEST, text)
        if any(not 0 <= before < index for before in step.after):
            return Fault(ResultCode.BAD_REQUEST, f"step {index}: comes after a later step")
        size = step.size
        if min(size.cpu_milli, size.memory_mib, size.accelerators, step.estimate_ms) < 0:
            return Fault(ResultCode.BAD_REQUEST, f"step {index}: a negative amount")
    return None


_STEP_FLAGS = (
    "is_gang",
    "same_rack",
    "saves_progress",
    "allows_copies",
    "is_service",
    "is_filler",
)
_STEP_TEXTS = ("label", "rack", "image")
_STEP_COUNTS = ("max_per_worker", "target_tail_ms", "max_unavailable")


def encode_job(job: JobSpec) -> bytes:
    """Return the durable record of a job."""
    record = {
        "id": job.id,
        "team": job.team,
        "queue": job.queue,
        "payload": job.payload,
        "steps": [_encode_step(step) for step in job.steps],
        "accepted_ms": job.accepted_ms,
    }
    if job.occurrences:
        record["times"] = [job.occurrences, job.first_due_ms, job.interval_ms]
    return orjson.dumps(record)


def decode_job(data: bytes) -> Result[JobSpec, Fault]:
    """Decode the durable record of a job."""
    try:
        raw = orjson.loads(data)
        occurrences, first_due_ms, interval_ms = raw.get("times", (0, 0, 0))
        job = JobSpec(
            JobId(raw["id"]),
            TeamId(raw["team"]),
            QueueId(raw["queue"]),
            raw["payload"],
            tuple(_decode_step(fields) for fields in raw["steps"]),
            occurrences,
            first_due_ms,
            interval_ms,
            raw["accepted_ms"],
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as exc:
        return Failure(
            Fault(ResultCode.INTERNAL, f"cannot decode job record: {type(exc).__name__}: {exc}")
        )
    return Success(job)


def _encode_step(step: StepSpec) -> dict[str, object]:
    size = step.size
    fields: dict[str, object] = {
        "count": step.count,
        "size": [size.cpu_milli, size.memory_mib, size.accelerators],
        "estimate_ms": step.estimate_ms,
    }
    if step.after:
        fields["after"] = list(step.after)
    for name in _STEP_FLAGS + _STEP_TEXTS + _STEP_COUNTS:
        value = getattr(step, name)
        if value:
            fields[name] = value
    return fields


def _decode_step(fields: dict) -> StepSpec:
    named = {
        name: fields[name] for name in _STEP_FLAGS + _STEP_TEXTS + _STEP_COUNTS if name in fields
    }
    return StepSpec(
        fields["count"],
        Resources(*fields["size"]),
        fields["estimate_ms"],
        tuple(fields.get("after", ())),
        **named,
    )
