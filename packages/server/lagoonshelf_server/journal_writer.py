"""Group commit of a partition's journal entries to the store."""

import asyncio
from dataclasses import dataclass

from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import Epoch, PartitionId
from lagoonshelf_core.journal import Entry, Segment, decode_segment, encode_segment, segment_key

from lagoonshelf_server.store import StoreClient, StoreError, writer_token

MAX_ENTRIES = 1000
SETTLE_INTERVAL_S = 0.2


@dataclass(slots=True)
class _Pending:
    entries: list[Entry]
    fut: asyncio.Future[None]


class JournalLostError(Exception):
    """Another writer has taken the next segment number."""


class JournalWriter:
    """Appends entries in order; one segment is being written at a time."""

    def __init__(
        self, store: StoreClient, partition: PartitionId, epoch: Epoch, number: int, flush_ms: int
    ) -> None:
        """Begin after the last segment that was read.

        :param number: number of the next segment
        :param flush_ms: how long entries are collected
        """
        self.number = number
        self.lost = False
        self._store = store
        self._partition = partition
        self._epoch = epoch
        self._flush_ms = flush_ms
        self._pending: list[_Pending] = []
        self._flushing: asyncio.Task | None = None

    async def append(self, entries: list[Entry]) -> None:
        """Write entries and return once they are durable.

        :raises LagoonshelfError: when the store is away (nothing written) or the journal is lost
        """
        if self.lost:
            raise _lost()
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(entries, fut))
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.ensure_future(self._flush())
        await asyncio.shield(fut)

    async def _flush(self) -> None:
        await asyncio.sleep(self._flush_ms / 1000)
        while self._pending:
            batch = self._take_batch()
            try:
                await self._write([entry for item in batch for entry in item.entries])
            except (JournalLostError, StoreError) as exc:
                self._fail(batch, exc)
            else:
                for item in batch:
                    _settle(item.fut, None)

    def _take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        while self._pending and size < MAX_ENTRIES:
            item = self._pending.pop(0)
            size += len(item.entries)
            batch.append(item)
        return batch

    async def _write(self, entries: list[Entry]) -> None:
        token = writer_token()
        key = segment_key(self._partition, self.number)
        text = encode_segment(Segment(self._epoch, token, entries))
        try:
            written = await self._store.cas(key, text, 0)
        except StoreError:
            written = await self._settle_lost_answer(key, text, token)
        if not written and not await self._is_mine(key, token):
            self.lost = True
            raise JournalLostError(key)
        self.number += 1

    async def _settle_lost_answer(self, key: str, text: str, token: str) -> bool:
        """Repeat the write until its outcome is known.

        The key is created only if absent, so a repeated write cannot take effect twice.
        """
        while True:
            await asyncio.sleep(SETTLE_INTERVAL_S)
            try:
                if await self._is_mine(key, token):
                    return True
                return await self._store.cas(key, text, 0)
            except StoreError:
                continue

    async def _is_mine(self, key: str, token: str) -> bool:
        item = await self._store.get(key)
        return item.value is not None and decode_segment(item.value).token == token

    def _fail(self, batch: list[_Pending], exc: Exception) -> None:
        fault = _lost() if isinstance(exc, JournalLostError) else _away()
        for item in batch:
            _settle(item.fut, fault)


def _settle(fut: asyncio.Future[None], exc: Exception | None) -> None:
    if fut.done():
        return
    if exc is None:
        fut.set_result(None)
    else:
        fut.set_exception(exc)


def _lost() -> LagoonshelfError:
    return LagoonshelfError(Fault(ResultCode.NO_OWNER, "the partition has another owner"))


def _away() -> LagoonshelfError:
    return LagoonshelfError(Fault(ResultCode.STORE_UNAVAILABLE, "the store cannot be reached"))
