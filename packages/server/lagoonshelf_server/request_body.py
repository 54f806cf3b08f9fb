"""Validation of the JSON bodies that clients send."""

import json
import secrets
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError
from returns.result import Failure, Result, Success

from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.keys import ClientIdentity
from lagoonshelf_server.messages import Submit

MAX_BODY_BYTES = 1024 * 1024
MAX_BATCH = 256
MAX_PAYLOAD_CHARS = 256 * 1024
MAX_TIMEOUT_MS = 600_000
MAX_RUN_MS = 7 * 86_400_000
MAX_TASKS = 10_000
MAX_CPU_MILLI = 1_000_000
MAX_MEMORY_MIB = 16_777_216
MAX_ACCELERATORS = 64

Id = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class SizeBody(_Strict):
    """Resources of one task."""

    cpu_milli: Annotated[int, Field(ge=1, le=MAX_CPU_MILLI)]
    memory_mib: Annotated[int, Field(ge=1, le=MAX_MEMORY_MIB)]
    accelerators: Annotated[int, Field(ge=0, le=MAX_ACCELERATORS)] = 0


class RequestBody(_Strict):
    """One request."""

    queue: Id
    request_key: Id | None = None
    kind: Annotated[str, StringConstraints(pattern=r"^(interactive|batch|gang|service)$")] = (
        "interactive"
    )
    repeatable: bool
    size: SizeBody
    run_ms: Annotated[int, Field(ge=0, le=MAX_RUN_MS)] = 0
    tasks: Annotated[int, Field(ge=1, le=MAX_TASKS)] = 1
    payload: Annotated[str, StringConstraints(max_length=MAX_PAYLOAD_CHARS)] = ""
    timeout_ms: Annotated[int, Field(ge=1, le=MAX_TIMEOUT_MS)] = 30_000
    deadline_wall_ms: Annotated[int, Field(ge=0, le=2**53)] = 0


def decode_json(data: bytes) -> Result[object, Fault]:
    """Decode JSON; objects with duplicate members are refused."""
    try:
        return Success(json.loads(data.decode("utf-8"), object_pairs_hook=_unique_members))
    except (ValueError, RecursionError) as exc:
        return Failure(Fault(ResultCode.BAD_REQUEST, f"the body is not valid JSON: {exc}"))


def parse_request(raw: object, client: ClientIdentity) -> Result[Submit, Fault]:
    """Validate a request and add the team and key of its client.

    :param raw: decoded JSON
    """
    try:
        body = RequestBody.model_validate(raw)
    except ValidationError as exc:
        return Failure(Fault(ResultCode.BAD_REQUEST, describe_errors(exc)))
    if body.kind == "interactive" and body.tasks != 1:
        text = f"tasks: an interactive request has one task, not {body.tasks}"
        return Failure(Fault(ResultCode.BAD_REQUEST, text))
    return Success(
        Submit(
            team=client.team,
            key_id=client.key,
            queue=body.queue,
            request_key=body.request_key or secrets.token_hex(16),
            kind=body.kind,
            repeatable=body.repeatable,
            cpu_milli=body.size.cpu_milli,
            memory_mib=body.size.memory_mib,
            accelerators=body.size.accelerators,
            run_ms=body.run_ms,
            tasks=body.tasks,
            payload=body.payload,
            timeout_ms=body.timeout_ms,
            deadline_wall_ms=body.deadline_wall_ms,
        )
    )


def describe_errors(exc: ValidationError) -> str:
    """Return one line that names the invalid members (at most 5) and what is wrong."""
    parts = []
    for error in exc.errors(include_url=False)[:5]:
        place = ".".join(str(item) for item in error["loc"]) or "body"
        parts.append(f"{place}: {error['msg']}")
    return "; ".join(parts)


def _unique_members(pairs: list[tuple[str, object]]) -> dict:
    found: dict[str, object] = {}
    for name, value in pairs:
        if name in found:
            raise ValueError(f"member {name!r} is named twice")
        found[name] = value
    return found
