"""Records of the requests of one partition."""

from dataclasses import asdict, dataclass, field

import orjson
from returns.result import Failure, Result, Success
from xxhash import xxh3_128_hexdigest

from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.ids import QueueId, RequestKey, TaskId, TeamId
from lagoonshelf_core.model import RequestSpec, WorkKind
from lagoonshelf_core.resources import Resources

RequestId = tuple[TeamId, RequestKey]


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result code and result of a task that has ended."""

    code: ResultCode
    result: str = ""


@dataclass(slots=True)
class Record:
    """A request and the state of its tasks, by task index.

    :param tasks: task id of each task
    :param outcomes: outcome of each task that has ended
    :param attempts: known number of starts of each task
    :param blocked: tasks of which it is unknown, after a takeover, whether the last start ran
    :param complete: false if the request is known only from a worker or an intent entry, which do
        not hold its payload
    :param recovered: whether an earlier owner accepted the request
    :param unacked: worker and task id of each result that no client has received yet, so that its
        worker must keep it
    :param maybe_started: tasks that may have been started at least once
    :param first_start_ms: time of the first start, 0 before it
    :param ended_ms: time of the last outcome, 0 before it
    """

    spec: RequestSpec
    digest: str
    created_ms: int
    tasks: dict[int, TaskId] = field(default_factory=dict)
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    attempts: dict[int, int] = field(default_factory=dict)
    blocked: set[int] = field(default_factory=set)
    cancelled: bool = False
    complete: bool = True
    recovered: bool = False
    unacked: dict[int, tuple[str | None, str]] = field(default_factory=dict)
    maybe_started: set[int] = field(default_factory=set)
    first_start_ms: int = 0
    ended_ms: int = 0

    @property
    def id(self) -> RequestId:
        """Return the key that identifies the request."""
        return (self.spec.team, self.spec.request_key)

    @property
    def durable(self) -> bool:
        """Return whether acceptance of the request is written to the journal."""
        return self.spec.kind is not WorkKind.INTERACTIVE

    @property
    def ended(self) -> bool:
        """Return whether every task has an outcome."""
        return len(self.outcomes) >= self.spec.tasks

    @property
    def failed(self) -> int:
        """Return the number of tasks whose outcome is not ``OK``."""
        return sum(outcome.code is not ResultCode.OK for outcome in self.outcomes.values())


class RecordTable:
    """All records of a partition, by team and request key."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.records: dict[RequestId, Record] = {}

    def find(self, team: TeamId, key: RequestKey) -> Record | None:
        """Return the record of a request, or ``None``."""
        return self.records.get((team, key))

    def submit(self, spec: RequestSpec, now_ms: int) -> Result[tuple[Record, bool], Fault]:
        """Return the existing record of a request, or create one.

        :returns: the record and whether it is new
        """
        digest = digest_spec(spec)
        existing = self.find(spec.team, spec.request_key)
        if existing is None:
            record = Record(spec, digest, now_ms)
            self.add(record)
            return Success((record, True))
        if existing.digest != digest:
            text = f"request key {spec.request_key!r} was used with other content"
            return Failure(Fault(ResultCode.KEY_REUSED, text))
        if not existing.complete:
            existing.spec = spec
            existing.complete = True
        return Success((existing, False))

    def add(self, record: Record) -> None:
        """Add a record."""
        self.records[record.id] = record

    def drop(self, record: Record) -> None:
        """Remove a record, unless another record has replaced it."""
        if self.records.get(record.id) is record:
            del self.records[record.id]

    def set_outcome(self, record: Record, index: int, outcome: Outcome, now_ms: int) -> bool:
        """Store the first outcome of a task; later ones are ignored.

        :returns: whether the outcome was stored
        """
        if index in record.outcomes:
            return False
        record.outcomes[index] = outcome
        if record.ended:
            record.ended_ms = now_ms
        return True

    def ended_before(self, before_ms: int) -> list[Record]:
        """Return the records that ended before a time."""
        return [
            record
            for record in self.records.values()
            if record.ended and record.ended_ms < before_ms
        ]


def digest_spec(spec: RequestSpec) -> str:
    """Return a hash of a request's fields other than its timeout."""
    fields = spec_to_dict(spec)
    del fields["timeout_ms"]
    return xxh3_128_hexdigest(orjson.dumps(fields, option=orjson.OPT_SORT_KEYS))


def spec_to_dict(spec: RequestSpec) -> dict:
    """Convert a request to a JSON object."""
    fields = asdict(spec)
    fields["kind"] = spec.kind.value
    return fields


def spec_from_dict(raw: dict) -> RequestSpec:
    """Create a request from a JSON object."""
    fields = dict(raw)
    return RequestSpec(
        team=TeamId(fields.pop("team")),
        queue=QueueId(fields.pop("queue")),
        request_key=RequestKey(fields.pop("request_key")),
        kind=WorkKind(fields.pop("kind")),
        size=Resources(**fields.pop("size")),
        **fields,
    )
