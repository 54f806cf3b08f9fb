"""Group commit of a partition's journal entries to the store."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import Epoch, PartitionId
from lagoonshelf_core.journal import (
    MAX_ENTRY_BYTES,
    Entry,
    Segment,
    decode_segment,
    encode_segment,
    entry_size,
    segment_key,
    split_entry,
)
from lagoonshelf_core.replay import JournalState
from lagoonshelf_server.logs import logger
from lagoonshelf_server.store import StoreClient, StoreError, writer_token

MAX_ENTRIES = 1000
RETRY_INTERVAL_S = 0.2
_log = logger("journal")


@dataclass(slots=True)
class _PendingEntry:
    """An entry that waits to be written in a segment.

    :param fut: resolved when the last entry of an append is durable
    :param fail_fast: whether to refuse the append if the store fails before any of it was sent
    """

    entry: Entry
    size: int
    fut: asyncio.Future[None]
    last: bool
    fail_fast: bool


class JournalLostError(Exception):
    """Another writer has taken the next segment number."""


class JournalWriter:
    """Appends entries in order and writes one segment at a time.

    A segment is created only if absent, so repeating a write whose answer was lost is safe. A
    write is repeated until its outcome is known: an entry that was sent is never reported as not
    written unless another writer has the segment number.
    """

    def __init__(
        self,
        store: StoreClient,
        partition: PartitionId,
        epoch: Epoch,
        state: JournalState,
        number: int,
        flush_ms: int,
        reachable: Callable[[], bool] = lambda: True,
    ) -> None:
        """Initialize after the last segment that was read.

        :param state: state of the journal so far; updated with each written segment
        :param number: number of the next segment
        :param flush_ms: time for which entries are collected before they are written
        :param reachable: return whether the store answered recently
        """
        self.next_segment = number
        self.state = state
        self.lost = False
        self._store = store
        self._partition = partition
        self._epoch = epoch
        self._flush_ms = flush_ms
        self._reachable = reachable
        self._is_store_down = False
        self._closed = False
        self._pending: deque[_PendingEntry] = deque()
        self._flush_task: asyncio.Task | None = None
        self._last_sent_fut: asyncio.Future[None] | None = None

    async def append(self, entries: list[Entry], fail_fast: bool = True) -> None:
        """Write entries and return once they are durable.

        :param fail_fast: refuse at once while the store is down, instead of waiting for it
        :raises LagoonshelfError: when the store is down (nothing was sent) or the journal is lost
        """
        if self.lost or self._closed:
            raise _journal_lost_error()
        if fail_fast and (self._is_store_down or not self._reachable()):
            raise _store_unavailable_error()
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        pieces = [piece for entry in entries for piece in split_entry(entry, writer_token())]
        for number, piece in enumerate(pieces):
            last = number == len(pieces) - 1
            self._pending.append(_PendingEntry(piece, entry_size(piece), fut, last, fail_fast))
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.ensure_future(self._flush())
        await asyncio.shield(fut)

    async def close(self, entry: Entry) -> None:
        """Write the last entry; later ones are refused.

        :raises LagoonshelfError: when the journal is lost
        """
        writing = asyncio.ensure_future(self.append([entry], fail_fast=False))
        await asyncio.sleep(0)
        self._closed = True
        await writing

    def stop(self) -> None:
        """Stop writing; a segment that was already sent may still take effect."""
        self.lost = True
        if self._flush_task is not None:
            self._flush_task.cancel()
        self._fail_all()

    async def _flush(self) -> None:
        await asyncio.sleep(self._flush_ms / 1000)
        while self._pending:
            batch = self._take_batch()
            self._last_sent_fut = batch[-1].fut
            try:
                await self._write([item.entry for item in batch])
            except (JournalLostError, asyncio.CancelledError):
                self.lost = True
                for item in batch:
                    _resolve(item.fut, _journal_lost_error())
                self._fail_all()
                return
            for item in batch:
                self.state.apply(item.entry)
                if item.last:
                    _resolve(item.fut, None)

    def _take_batch(self) -> list[_PendingEntry]:
        batch: list[_PendingEntry] = []
        size = 0
        while self._pending and len(batch) < MAX_ENTRIES:
            if batch and size + self._pending[0].size > MAX_ENTRY_BYTES:
                break
            item = self._pending.popleft()
            size += item.size
            batch.append(item)
        return batch

    async def _write(self, entries: list[Entry]) -> None:
        token = writer_token()
        key = segment_key(self._partition, self.next_segment)
        text = encode_segment(Segment(self._epoch, token, entries))
        while not await self._try_write(key, text, token):
            await asyncio.sleep(RETRY_INTERVAL_S)
        self._is_store_down = False
        self.next_segment += 1

    async def _try_write(self, key: str, text: str, token: str) -> bool:
        """Write a segment once and return whether it is known to be written.

        :raises JournalLostError: when another writer has the key
        """
        refused = False
        try:
            if await self._store.cas(key, text, 0):
                return True
            refused = True
        except StoreError as exc:
            self._on_store_error(str(exc))
        # The answer may have been lost although the write took effect.
        try:
            item = await self._store.get(key)
        except StoreError as exc:
            self._on_store_error(str(exc))
            return False
        if item.value is None and not refused:
            return False
        # A key that existed and is now missing was compacted by a later owner.
        if item.value is not None and decode_segment(item.value).token == token:
            return True
        raise JournalLostError(key)

    def _on_store_error(self, reason: str) -> None:
        """Refuse the pending fail-fast appends of which nothing was sent yet."""
        if not self._is_store_down:
            _log.warning("segment not confirmed", partition=self._partition, reason=reason)
        self._is_store_down = True
        kept: deque[_PendingEntry] = deque()
        for item in self._pending:
            # The segment being written may hold the first pieces of this append.
            if not item.fail_fast or item.fut is self._last_sent_fut:
                kept.append(item)
            else:
                _resolve(item.fut, _store_unavailable_error())
        self._pending = kept

    def _fail_all(self) -> None:
        for item in self._pending:
            _resolve(item.fut, _journal_lost_error())
        self._pending.clear()


def _resolve(fut: asyncio.Future[None], exc: Exception | None) -> None:
    if fut.done():
        return
    if exc is None:
        fut.set_result(None)
    else:
        fut.set_exception(exc)


def _journal_lost_error() -> LagoonshelfError:
    return LagoonshelfError(Fault(ResultCode.OWNER_LEFT, "the partition has another owner"))


def _store_unavailable_error() -> LagoonshelfError:
    return LagoonshelfError(
        Fault(ResultCode.STORE_UNAVAILABLE, "the store cannot be reached", 1000)
    )
