"""Records of the requests that one partition decides on."""

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
    """How one task ended."""

    code: ResultCode
    result: str = ""


@dataclass(slots=True)
class Record:
    """One request and what became of it.

    :param tasks: task id of each index
    :param outcomes: outcome of each index that has ended
    :param attempts: number of starts of each index, as far as known
    :param blocked: indexes whose last start is not settled after a takeover
    :param complete: false while the request was only read from a worker or an intent, so that
        its payload is not known
    :param recovered: whether an earlier owner accepted the request
    :param kept: worker and task id of results that no caller has been handed yet
    :param begun: indexes of which a start may have taken effect
    :param first_start_ms: time of the first start, 0 before
    :param ended_ms: time of the last outcome, 0 before
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
        """Return what identifies the request."""
        return (self.spec.team, self.spec.request_key)

    @property
    def durable(self) -> bool:
        """Tell whether the request is in the journal from its acceptance on."""
        return self.spec.kind is not WorkKind.INTERACTIVE

    @property
    def ended(self) -> bool:
        """Tell whether each task has an outcome."""
        return len(self.outcomes) >= self.spec.tasks

    @property
    def failed(self) -> int:
        """Return the number of tasks that did not end well."""
        return sum(outcome.code is not ResultCode.OK for outcome in self.outcomes.values())


class RecordTable:
    """All records of a partition, by team and request key."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: dict[RequestId, Record] = {}

    def find(self, team: TeamId, key: RequestKey) -> Record | None:
        """Return the record of a request, or none."""
        return self.records.get((team, key))

    def submit(self, spec: RequestSpec, now_ms: int) -> Result[tuple[Record, bool], Fault]:
        """Join the record of a request or begin one.

        :returns: the record and whether it is new
        """
        digest = digest_spec(spec)
        known = self.find(spec.team, spec.request_key)
        if known is None:
            record = Record(spec, digest, now_ms)
            self.add(record)
            return Success((record, True))
        if known.digest != digest:
            text = f"request key {spec.request_key!r} was used with other content"
            return Failure(Fault(ResultCode.KEY_REUSED, text))
        if not known.complete:
            known.spec = spec
            known.complete = True
        return Success((known, False))

    def add(self, record: Record) -> None:
        """Take in a record."""
        self.records[record.id] = record

    def drop(self, record: Record) -> None:
        """Forget a record, unless another one has taken its place."""
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
    """Return a hash of a request's content, without its timeout."""
    fields = spec_to_dict(spec)
    del fields["timeout_ms"]
    return xxh3_128_hexdigest(orjson.dumps(fields, option=orjson.OPT_SORT_KEYS))


def spec_to_dict(spec: RequestSpec) -> dict:
    """Return a request as a JSON object."""
    fields = asdict(spec)
    fields["kind"] = spec.kind.value
    return fields


def spec_from_dict(raw: dict) -> RequestSpec:
    """Return the request of a JSON object."""
    fields = dict(raw)
    return RequestSpec(
        team=TeamId(fields.pop("team")),
        queue=QueueId(fields.pop("queue")),
        request_key=RequestKey(fields.pop("request_key")),
        kind=WorkKind(fields.pop("kind")),
        size=Resources(**fields.pop("size")),
        **fields,
    )
