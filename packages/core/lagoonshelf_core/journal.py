"""Entries of a partition's journal and their encoding.

A journal is a sequence of store keys, each created only if absent, so that a writer whose
segment number is taken knows that it has lost the partition.
"""

from dataclasses import asdict, dataclass

import orjson

from lagoonshelf_core.ids import Epoch, MemberId, PartitionId

MAX_SEGMENT_BYTES = 512 * 1024
MAX_ENTRY_BYTES = MAX_SEGMENT_BYTES - 4096
# A character takes at most 4 bytes, or 2 when the escapes of the inner JSON are escaped again.
MAX_PART_CHARS = 96 * 1024


@dataclass(frozen=True, slots=True)
class EpochEntry:
    """A new owner begins."""

    epoch: Epoch
    member: MemberId


@dataclass(frozen=True, slots=True)
class ReleaseEntry:
    """The owner of an epoch has stopped for good."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class AcceptEntry:
    """Durable acceptance of a job, with all that is needed to run it.

    :param spec: fields of the request, see ``records.spec_to_dict``
    """

    spec: dict


@dataclass(frozen=True, slots=True)
class IntentEntry:
    """A task that may not be repeated is about to be started.

    :param boot_id: boot id of the worker when the intent was written
    :param partition: partition of the worker
    :param digest: hash of the request's content
    :param index: position among the tasks of the request
    """

    task: str
    attempt: int
    worker: str
    boot_id: str
    partition: int
    team: str
    request_key: str
    digest: str
    index: int = 0


@dataclass(frozen=True, slots=True)
class VoidEntry:
    """A start whose intent was written is proved not to have happened.

    :param index: position among the tasks of the request
    """

    task: str
    attempt: int
    team: str
    request_key: str
    index: int = 0


@dataclass(frozen=True, slots=True)
class OutcomeEntry:
    """The outcome of one task.

    :param code: name of the result code
    """

    task: str
    team: str
    request_key: str
    index: int
    code: str
    result: str
    digest: str


@dataclass(frozen=True, slots=True)
class CancelEntry:
    """A caller cancelled an accepted job."""

    team: str
    request_key: str


@dataclass(frozen=True, slots=True)
class ForgetEntry:
    """The record of a request has passed its retention time."""

    team: str
    request_key: str


@dataclass(frozen=True, slots=True)
class PartEntry:
    """A piece of an entry that is too large for one segment.

    :param name: common to the pieces of one entry
    :param text: piece of the entry's JSON text
    """

    name: str
    index: int
    total: int
    text: str


Entry = (
    EpochEntry
    | ReleaseEntry
    | AcceptEntry
    | IntentEntry
    | VoidEntry
    | OutcomeEntry
    | CancelEntry
    | ForgetEntry
    | PartEntry
)

_ENTRY_TYPES = {
    "epoch": EpochEntry,
    "release": ReleaseEntry,
    "accept": AcceptEntry,
    "intent": IntentEntry,
    "void": VoidEntry,
    "outcome": OutcomeEntry,
    "cancel": CancelEntry,
    "forget": ForgetEntry,
    "part": PartEntry,
}
_TYPE_NAMES = {kind: name for name, kind in _ENTRY_TYPES.items()}


@dataclass(frozen=True, slots=True)
class Segment:
    """One store value of the journal.

    :param token: random writer token that settles a lost answer
    """

    epoch: Epoch
    token: str
    entries: list[Entry]


def segment_key(partition: PartitionId, number: int) -> str:
    """Return the store key of a segment; keys sort in segment order."""
    return f"{journal_prefix(partition)}{number:012d}"


def journal_prefix(partition: PartitionId) -> str:
    """Return the common prefix of a partition's segment keys."""
    return f"journal/{partition}/"


def encode_entry(entry: Entry) -> dict:
    """Return an entry as a JSON object."""
    return {"type": _TYPE_NAMES[type(entry)], **asdict(entry)}


def decode_entry(raw: dict) -> Entry:
    """Return the entry of a JSON object.

    :raises KeyError: when the type is unknown
    """
    fields = dict(raw)
    return _ENTRY_TYPES[fields.pop("type")](**fields)


def entry_size(entry: Entry) -> int:
    """Return the number of bytes that an entry adds to a segment."""
    return len(orjson.dumps(encode_entry(entry))) + 1


def split_entry(entry: Entry, name: str) -> list[Entry]:
    """Return the entry, or its pieces when it is too large for one segment.

    :param name: unique name of the pieces
    """
    text = orjson.dumps(encode_entry(entry))
    if len(text) <= MAX_ENTRY_BYTES:
        return [entry]
    whole = text.decode()
    pieces = [whole[at : at + MAX_PART_CHARS] for at in range(0, len(whole), MAX_PART_CHARS)]
    return [PartEntry(name, number, len(pieces), piece) for number, piece in enumerate(pieces)]


def join_parts(parts: list[PartEntry]) -> Entry:
    """Return the entry whose pieces are given in order."""
    return decode_entry(orjson.loads("".join(part.text for part in parts)))


def encode_segment(segment: Segment) -> str:
    """Return a segment as JSON text."""
    entries = [encode_entry(entry) for entry in segment.entries]
    body = {"epoch": segment.epoch, "token": segment.token, "entries": entries}
    return orjson.dumps(body).decode()


def decode_segment(text: str) -> Segment:
    """Return the segment of a JSON text."""
    body = orjson.loads(text)
    entries = [decode_entry(raw) for raw in body["entries"]]
    return Segment(Epoch(body["epoch"]), body["token"], entries)
