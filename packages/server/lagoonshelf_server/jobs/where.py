"""Answers to the question where a job would start, as the leader would decide now."""

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import QueueId, RackId, TeamId
from lagoonshelf_core.jobs.memory_admission import find_memory_refusal
from lagoonshelf_core.jobs.overload_admission import find_refusal
from lagoonshelf_core.jobs.placement_report import report_placement
from lagoonshelf_core.jobs.spec import MAX_STEPS, MAX_TASKS_PER_STEP, JobId, JobSpec, StepSpec
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.jobs.leader import Leader

# Longest time and largest amounts that are taken as meant.
MAX_AMOUNT = 10**12
MAX_NAME_CHARS = 256


class _StepBody(BaseModel):
    """Description of a step; the names are those of ``StepSpec`` and ``Resources``."""

    model_config = ConfigDict(extra="forbid", strict=True)

    count: int = Field(1, ge=1, le=MAX_TASKS_PER_STEP)
    cpu_milli: int = Field(1_000, ge=0, le=MAX_AMOUNT)
    memory_mib: int = Field(0, ge=0, le=MAX_AMOUNT)
    accelerators: int = Field(0, ge=0, le=MAX_AMOUNT)
    estimate_ms: int = Field(0, ge=0, le=MAX_AMOUNT)
    after: list[int] = Field(default_factory=list, max_length=MAX_STEPS)
    is_gang: bool = False
    same_rack: bool = False
    label: str = Field("", max_length=MAX_NAME_CHARS)
    rack: str = Field("", max_length=MAX_NAME_CHARS)
    max_per_worker: int = Field(0, ge=0, le=MAX_AMOUNT)
    is_service: bool = False
    is_filler: bool = False

    def spec(self) -> StepSpec:
        """Return the step."""
        fields = self.model_dump(exclude={"cpu_milli", "memory_mib", "accelerators"})
        fields.update(after=tuple(self.after), rack=RackId(self.rack))
        size = Resources(self.cpu_milli, self.memory_mib, self.accelerators)
        return StepSpec(size=size, **fields)


class _JobBody(BaseModel):
    """Description of a job."""

    model_config = ConfigDict(extra="forbid", strict=True)

    queue: str = Field(max_length=MAX_NAME_CHARS)
    team: str = Field(max_length=MAX_NAME_CHARS)
    steps: list[_StepBody] = Field(min_length=1, max_length=MAX_STEPS)


def decode_question(text: str | bytes) -> JobSpec:
    """Return the described job, which has an id that no stored job has.

    :raises LagoonshelfError: when the description is not valid
    """
    try:
        body = _JobBody.model_validate(orjson.loads(text))
    except ValidationError as exc:
        error = exc.errors()[0]
        reason = f"{'.'.join(map(str, error['loc']))}: {error['msg']}"
        raise LagoonshelfError(Fault(ResultCode.BAD_REQUEST, reason)) from exc
    except ValueError as exc:
        raise LagoonshelfError(Fault(ResultCode.BAD_REQUEST, f"not valid JSON: {exc}")) from exc
    steps = tuple(step.spec() for step in body.steps)
    return JobSpec(JobId("where"), TeamId(body.team), QueueId(body.queue), "", steps)


def answer_where(leader: Leader, spec: JobSpec, config_age_ms: int, now_ms: int) -> str:
    """Return the report on a described job, with the age of what it goes by.

    :raises LagoonshelfError: when the leader lease may be lost
    """
    check_may_answer(leader)
    cell = leader.cell
    report = report_placement(cell, spec, now_ms)
    report["refused"] = report["refused"] or _find_refusal(leader, spec)
    report["ages_ms"] = {
        "configuration": config_age_ms,
        "registry": now_ms - cell.registry_ms,
        "submissions": leader.submission_fields()["submissions_age_ms"],
    }
    return orjson.dumps({"code": ResultCode.DONE.number, **report}).decode()


def check_may_answer(leader: Leader) -> None:
    """Raise an error if another process may lead by now.

    :raises LagoonshelfError: when the leader lease may be lost
    """
    if not leader.may_answer():
        raise LagoonshelfError(Fault(ResultCode.NO_OWNER, "the leader lease may be lost"))


def _find_refusal(leader: Leader, spec: JobSpec) -> str | None:
    """Return why admission would refuse a job, ``None`` if it would not."""
    memory_refusal = find_memory_refusal(spec, leader.memory_report(), {}, 0)
    if memory_refusal is not None:
        text = memory_refusal.message
        return f"{text}; submit it again in about {memory_refusal.retry_after_s} s"
    cell, found = leader.cell, leader.forecasts()
    queue = cell.cfg.queues.get(spec.queue)
    if found is None or queue is None:
        return None
    forecast = next((row for row in found[0] if row.pool == queue.pool), None)
    if forecast is None:
        return None
    by_work = cell.options.orders_late_by_work
    refusal = find_refusal(spec, queue, forecast, found[1], orders_late_by_work=by_work)
    if refusal is None:
        return None
    text = f"it cannot end within {refusal.limit_ms} ms, in which it is of use"
    return f"{text}; submit it again in about {refusal.retry_after_s} s"
