"""The configuration document: teams, keys, queues and evacuations."""

import re
from dataclasses import dataclass
from typing import Annotated

import orjson
from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    SerializerFunctionWrapHandler,
    StringConstraints,
    ValidationError,
    model_serializer,
)
from returns.result import Failure, Result, Success
from xxhash import xxh3_128_hexdigest

from lagoonshelf_core.errors import Fault, ResultCode

Id = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
TIME_OF_DAY = re.compile(r"^([01][0-9]|2[0-3]):[0-5][0-9]$")
MAX_LIMIT = 1_000_000_000
MAX_QUEUED = 100_000
MAX_TIME_MS = 2**53 - 1
MAX_SHOWN_ERRORS = 5


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class TeamConfig(_StrictModel):
    """A team's share and upper limits.

    :param share: weight of the team when the cell is full
    :param limit_tasks: maximum number of running tasks in the cell
    :param limit_cpu_milli: maximum processor usage in the cell, in thousandths of a core
    """

    share: Annotated[int, Field(ge=1, le=1_000_000)] = 1
    limit_tasks: Annotated[int, Field(ge=0, le=MAX_LIMIT)]
    limit_cpu_milli: Annotated[int, Field(ge=0, le=MAX_LIMIT)]


class KeyConfig(_StrictModel):
    """A team's API key, stored as a salted hash.

    :param salt: hexadecimal salt
    :param digest: hexadecimal hash of the salt and the secret
    """

    team: Id
    salt: Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{32}$")]
    digest: Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]


class QueueConfig(_StrictModel):
    """Settings of a queue.

    :param work_class: urgent, normal or background
    :param team: the only team that may use the queue; ``None`` when open to all
    :param max_queued: maximum number of waiting tasks of one team in one partition
    :param reserve_slots: slots kept free for the queue in each partition
    :param finish_by: time of day (UTC, HH:MM) by which accepted work should be finished
    :param warm_floor: minimum number of warm slots in each partition
    :param cold_start_ms: time that a target needs before its first task of this queue
    """

    work_class: Annotated[str, StringConstraints(pattern="^(urgent|normal|background)$")] = (
        "normal"
    )
    team: Id | None = None
    max_queued: Annotated[int, Field(ge=1, le=MAX_QUEUED)] = 1000
    reserve_slots: Annotated[int, Field(ge=0, le=10_000)] = 0
    finish_by: Annotated[str, StringConstraints(pattern=TIME_OF_DAY.pattern)] | None = None
    warm_floor: Annotated[int, Field(ge=0, le=10_000)] = 0
    cold_start_ms: Annotated[int, Field(ge=0, le=86_400_000)] = 0


class EvacuationConfig(_StrictModel):
    """A failure domain that gets no new tasks.

    :param requested_by: who requested it
    :param requested_ms: when, Unix milliseconds
    """

    requested_by: Annotated[str, StringConstraints(pattern=r"^[^\x00-\x1f\x7f]{1,128}$")]
    requested_ms: Annotated[int, Field(ge=0, le=MAX_TIME_MS)]


class Document(_StrictModel):
    """The configuration of the cell, each section keyed by id."""

    teams: dict[Id, TeamConfig] = Field(default_factory=dict)
    keys: dict[Id, KeyConfig] = Field(default_factory=dict)
    queues: dict[Id, QueueConfig] = Field(default_factory=dict)
    evacuations: dict[Id, EvacuationConfig] = Field(default_factory=dict)

    @model_serializer(mode="wrap")
    def _omit_no_evacuations(self, serialize: SerializerFunctionWrapHandler) -> dict:
        """Leave out an empty section, which earlier versions do not know and refuse."""
        raw = serialize(self)
        if not raw["evacuations"]:
            del raw["evacuations"]
        return raw


@dataclass(frozen=True, slots=True)
class FieldError:
    """Validation error of one field of a document.

    :param path: keys from the top of the document down to the field
    """

    path: tuple[str, ...]
    text: str


def parse_document(raw: object) -> Result[Document, Fault]:
    """Validate a configuration document.

    :param raw: decoded JSON
    """
    document, errors = check_document(raw)
    if document is None:
        return Failure(Fault(ResultCode.CONFIG_INVALID, _describe(errors)))
    return Success(document)


def check_document(raw: object) -> tuple[Document | None, list[FieldError]]:
    """Validate a document and return it with its errors; it is ``None`` if there are any.

    :param raw: decoded JSON
    """
    try:
        document = Document.model_validate(raw)
    except ValidationError as exc:
        found = exc.errors(include_url=False)
        return None, [FieldError(tuple(str(i) for i in e["loc"]), e["msg"]) for e in found]
    errors = _unknown_teams(document)
    return (None if errors else document), errors


def _unknown_teams(document: Document) -> list[FieldError]:
    named = [(("keys", name, "team"), entry.team) for name, entry in document.keys.items()]
    named += [(("queues", name, "team"), queue.team) for name, queue in document.queues.items()]
    return [
        FieldError(path, f"team {team!r} does not exist")
        for path, team in named
        if team is not None and team not in document.teams
    ]


def digest_document(document: Document) -> str:
    """Return a hash of the document that is independent of key order."""
    data = orjson.dumps(document.model_dump(), option=orjson.OPT_SORT_KEYS)
    return xxh3_128_hexdigest(data)


def create_merge_patch(old: object, new: object) -> object:
    """Return the JSON merge patch (RFC 7386) that changes one JSON object into another.

    :param old: decoded JSON object
    :param new: decoded JSON object
    """
    if not isinstance(old, dict) or not isinstance(new, dict):
        return new
    patch: dict[str, object] = dict.fromkeys(old.keys() - new.keys())
    for name, value in new.items():
        if name not in old:
            patch[name] = value
        elif old[name] != value:
            patch[name] = create_merge_patch(old[name], value)
    return patch


def apply_merge_patch(old: object, patch: object) -> object:
    """Apply a JSON merge patch (RFC 7386).

    :param old: decoded JSON
    :param patch: decoded JSON patch; null removes a key
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(old) if isinstance(old, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = apply_merge_patch(merged.get(name), value)
    return merged


def _describe(errors: list[FieldError]) -> str:
    shown = errors[:MAX_SHOWN_ERRORS]
    return "; ".join(f"{'.'.join(error.path) or 'document'}: {error.text}" for error in shown)
