"""Entries of a partition's journal and their encoding.

A journal is a sequence of segments, each stored under a key that is created only if absent. A
writer that finds its next segment number taken knows that it has lost the partition.
"""

from dataclasses import asdict, dataclass

import orjson

from lagoonshelf_core.ids import Epoch, MemberId, PartitionId

MAX_SEGMENT_BYTES = 512 * 1024
MAX_ENTRY_BYTES = MAX_SEGMENT_BYTES - 4096
# A part is JSON text that is encoded in JSON once more. Each of its characters then takes at most
# 4 bytes, or 2 if it is escaped, so a part takes at most 384 KiB and fits in a segment.
MAX_PART_CHARS = 96 * 1024


@dataclass(frozen=True, slots=True)
class EpochEntry:
    """Start of a new owner's epoch."""

    epoch: Epoch
    member: MemberId


@dataclass(frozen=True, slots=True)
class ReleaseEntry:
    """End of an epoch: its owner has released the partition and writes no more entries."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class AcceptEntry:
    """Durable acceptance of a job, with everything needed to run it.

    :param spec: fields of the request, see ``records.spec_to_dict``
    """

    spec: dict


@dataclass(frozen=True, slots=True)
class IntentEntry:
    """Intent to start a task that must not run twice.

    :param boot_id: boot id of the worker when the intent was written
    :param partition: partition of the worker
    :param digest: hash of the request's content
    :param index: index of the task within its request
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
    """Proof that a start whose intent was written did not happen.

    :param index: index of the task within its request
    """

    task: str
    attempt: int
    team: str
    request_key: str
    index: int = 0


@dataclass(frozen=True, slots=True)
class OutcomeEntry:
    """Outcome of one task.

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
    """Cancellation of an accepted job by a client."""

    team: str
    request_key: str


@dataclass(frozen=True, slots=True)
class ForgetEntry:
    """Removal of a request's record after its retention time."""

    team: str
    request_key: str


@dataclass(frozen=True, slots=True)
class PartEntry:
    """One part of an entry that is too large for a segment.

    :param name: name shared by the parts of one entry
    :param text: this part of the entry's JSON text
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
    """Entries stored under one key of the journal.

    :param token: random writer token; after a lost answer it shows whether the write succeeded
    """

    epoch: Epoch
    token: str
    entries: list[Entry]


def segment_key(partition: PartitionId, number: int) -> str:
    """Return the store key of a segment; keys sort by segment number."""
    return f"{journal_prefix(partition)}{number:012d}"


def journal_prefix(partition: PartitionId) -> str:
    """Return the common prefix of a partition's segment keys."""
    return f"journal/{partition}/"


def encode_entry(entry: Entry) -> dict:
    """Encode an entry as a JSON object."""
    return {"type": _TYPE_NAMES[type(entry)], **asdict(entry)}


def decode_entry(raw: dict) -> Entry:
    """Decode an entry from a JSON object.

    :raises KeyError: if the entry type is unknown
    """
    fields = dict(raw)
    return _ENTRY_TYPES[fields.pop("type")](**fields)


def entry_size(entry: Entry) -> int:
    """Return the number of bytes that an entry adds to a segment."""
    return len(orjson.dumps(encode_entry(entry))) + 1


def split_entry(entry: Entry, name: str) -> list[Entry]:
    """Return the entry, split into parts if it is too large for one segment.

    :param name: unique name for the parts
    """
    data = orjson.dumps(encode_entry(entry))
    if len(data) <= MAX_ENTRY_BYTES:
        return [entry]
    whole = data.decode()
    texts = [whole[at : at + MAX_PART_CHARS] for at in range(0, len(whole), MAX_PART_CHARS)]
    return [PartEntry(name, index, len(texts), text) for index, text in enumerate(texts)]


def join_parts(parts: list[PartEntry]) -> Entry:
    """Decode an entry from its parts, given in order."""
    return decode_entry(orjson.loads("".join(part.text for part in parts)))


def encode_segment(segment: Segment) -> str:
    """Encode a segment as JSON text."""
    entries = [encode_entry(entry) for entry in segment.entries]
    body = {"epoch": segment.epoch, "token": segment.token, "entries": entries}
    return orjson.dumps(body).decode()


def decode_segment(text: str) -> Segment:
    """Decode a segment from JSON text."""
    body = orjson.loads(text)
    entries = [decode_entry(raw) for raw in body["entries"]]
    return Segment(Epoch(body["epoch"]), body["token"], entries)
