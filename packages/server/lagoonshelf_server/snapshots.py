"""Reads a partition's journal and replaces its old segments by a snapshot.

A snapshot is a list of entries in parts ``snapshot/<p>/<n>/<token>/<part>``, where ``n`` is the
first segment that it does not cover and ``token`` is unique to its writer. The key
``snapshot/<p>/current`` names the current snapshot. The parts are written first, then ``current``
is switched, then the covered segments and the old parts are deleted, so that a reader finds the
complete journal after a crash at any step.
"""

import asyncio
from dataclasses import dataclass

import orjson

from lagoonshelf_core.ids import Epoch, PartitionId
from lagoonshelf_core.journal import (
    MAX_ENTRY_BYTES,
    Entry,
    Segment,
    decode_segment,
    encode_segment,
    entry_size,
    journal_prefix,
    segment_key,
    split_entry,
)
from lagoonshelf_core.replay import JournalState
from lagoonshelf_server.logs import logger
from lagoonshelf_server.store import Item, StoreClient, StoreError, writer_token

MAX_SEGMENTS = 64
# Segments hold up to 512 KiB each, so a page stays below the few megabytes allowed per call.
SEGMENTS_PER_PAGE = 8
REREAD_DELAY_S = 0.1
_log = logger("snapshots")


class SnapshotError(Exception):
    """The snapshot was abandoned; the journal is still complete."""


@dataclass(frozen=True, slots=True)
class JournalContents:
    """Contents of a complete journal.

    :param first_segment: number of the oldest segment
    :param next_segment: number of the next segment
    """

    state: JournalState
    first_segment: int
    next_segment: int


async def read_journal(store: StoreClient, partition: PartitionId) -> JournalContents:
    """Read the current snapshot and the segments after it.

    :raises StoreError: when the store cannot be reached
    """
    while True:
        found = await _read_once(store, partition)
        if found is not None:
            return found
        # Segments were deleted between the two reads, since another process wrote a snapshot.
        await asyncio.sleep(REREAD_DELAY_S)


async def write_snapshot(
    store: StoreClient,
    partition: PartitionId,
    epoch: Epoch,
    entries: list[Entry],
    number: int,
) -> None:
    """Write a snapshot, make it the current one and delete what it covers.

    :param entries: state of the journal before segment ``number``
    :raises StoreError: when the store cannot be reached; the journal is complete then
    :raises SnapshotError: when another process has written a snapshot
    """
    current = await store.get(_current_key(partition))
    covered = orjson.loads(current.value)["number"] if current.value is not None else 0
    if covered > number:
        raise SnapshotError(f"partition {partition} has a newer snapshot")
    if covered < number:
        await _replace(store, partition, epoch, entries, number, current)
    await delete_covered(store, partition)
    _log.info("snapshot switched", partition=partition, number=number)


async def _replace(
    store: StoreClient,
    partition: PartitionId,
    epoch: Epoch,
    entries: list[Entry],
    number: int,
    current: Item,
) -> None:
    """Write the parts of a snapshot, then make it the current one."""
    token = writer_token()
    parts = _encode_parts(entries, epoch, token)
    for index, text in enumerate(parts):
        await _write_part(store, _part_key(partition, number, token, index), text)
    body = {"number": number, "parts": len(parts), "token": token}
    text = orjson.dumps(body).decode()
    if not await store.cas(_current_key(partition), text, current.version):
        raise SnapshotError(f"another process wrote a snapshot of partition {partition}")


async def delete_covered(store: StoreClient, partition: PartitionId) -> int:
    """Delete segments and parts that the current snapshot covers, oldest first.

    The last covered segment is kept, so that a paused predecessor still finds the number taken.

    :returns: number of the oldest segment
    """
    current = await store.get(_current_key(partition))
    if current.value is None:
        return 1
    body = orjson.loads(current.value)
    keep = segment_key(partition, body["number"] - 1)
    segments, _ = await store.list_keys(journal_prefix(partition), page=SEGMENTS_PER_PAGE)
    parts, _ = await store.list_keys(_parts_prefix(partition), page=SEGMENTS_PER_PAGE)
    live = _part_prefix(partition, body["number"], body["token"])
    later = f"snapshot/{partition}/{body['number'] + 1:012d}"
    old = [item for item in segments if item.key < keep]
    # Later parts belong to a successor that has not switched ``current`` yet.
    old += [item for item in parts if item.key < later and not item.key.startswith(live)]
    for item in old:
        await store.delete(item.key, item.version)
    return body["number"] - 1


async def _read_once(store: StoreClient, partition: PartitionId) -> JournalContents | None:
    current = await store.get(_current_key(partition))
    state = JournalState()
    number = 1
    if current.value is not None:
        body = orjson.loads(current.value)
        number = body["number"]
        for index in range(body["parts"]):
            key = _part_key(partition, number, body["token"], index)
            part = await store.get(key)
            if part.value is None:
                return None
            _apply(state, part.value)
    segments, _ = await store.list_keys(journal_prefix(partition), page=SEGMENTS_PER_PAGE)
    first = _segment_number(segments[0]) if segments else number
    for item in segments:
        if _segment_number(item) < number:
            continue
        if _segment_number(item) != number:
            return None
        _apply(state, item.value or "")
        number += 1
    return JournalContents(state, first, number)


def _apply(state: JournalState, text: str) -> None:
    for entry in decode_segment(text).entries:
        state.apply(entry)


def _encode_parts(entries: list[Entry], epoch: Epoch, token: str) -> list[str]:
    """Return the texts of the parts, each of at most 512 KiB."""
    parts: list[list[Entry]] = [[]]
    size = 0
    pieces = [piece for entry in entries for piece in split_entry(entry, writer_token())]
    for piece in pieces:
        added = entry_size(piece)
        if parts[-1] and size + added > MAX_ENTRY_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(piece)
        size += added
    return [encode_segment(Segment(epoch, token, part)) for part in parts]


async def _write_part(store: StoreClient, key: str, text: str) -> None:
    """Write a part under a unique key, so that it can be read back if the answer is lost."""
    try:
        if await store.cas(key, text, 0):
            return
    except StoreError:
        pass
    item = await store.get(key)
    if item.value != text:
        raise StoreError(f"{key}: not written")


def _segment_number(item: Item) -> int:
    return int(item.key.rpartition("/")[2])


def _current_key(partition: PartitionId) -> str:
    return f"snapshot/{partition}/current"


def _parts_prefix(partition: PartitionId) -> str:
    return f"snapshot/{partition}/0"


def _part_prefix(partition: PartitionId, number: int, token: str) -> str:
    return f"snapshot/{partition}/{number:012d}/{token}/"


def _part_key(partition: PartitionId, number: int, token: str, index: int) -> str:
    return f"{_part_prefix(partition, number, token)}{index:04d}"
