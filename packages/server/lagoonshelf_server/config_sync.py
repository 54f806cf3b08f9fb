"""Configuration of this process: reads and applies new revisions, and proposes changes."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from returns.result import Failure, Result, Success

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.document import Document, parse_document
from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.ids import Revision
from lagoonshelf_core.membership import Membership, fresh_until, record_store_read
from lagoonshelf_core.revisions import (
    SNAPSHOT_EVERY,
    Configuration,
    SkipReason,
    apply_change,
    encode_change,
    encode_snapshot,
    first_kept_revision,
)
from lagoonshelf_server.logs import logger
from lagoonshelf_server.store import StoreClient, StoreError, writer_token

PREFIX = "config/"
SNAPSHOT_HINT_KEY = "confighint"  # outside PREFIX, so it is neither listed nor watched
KEPT_CHANGES = 256
WRITE_TIMEOUT_MS = 4000
WRITE_RETRY_INTERVAL_S = 0.2
POLL_INTERVAL_S = 1.0
_log = logger("config")


def revision_key(revision: int) -> str:
    """Return the store key of a revision; the keys sort in revision order."""
    return f"{PREFIX}{revision:012d}"


class ConfigSync:
    """The configuration in force and its most recent changes."""

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        membership: Membership,
        fresh_ms: int,
        spawn: Callable[[object], object],
    ) -> None:
        """Start with an empty document at revision 0.

        :param fresh_ms: how long a configuration counts as fresh after it was confirmed
        :param spawn: runs a coroutine in the background
        """
        self.current = Configuration()
        self.changes: dict[int, str] = {}
        self._store = store
        self._clock = clock
        self._membership = membership
        self._fresh_ms = fresh_ms
        self._spawn = spawn

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self.current.revision

    @property
    def document(self) -> Document:
        """Return the document in force."""
        return self.current.document

    @property
    def raw(self) -> dict:
        """Return the document in force as JSON."""
        return self.current.raw

    def remaining_fresh_ms(self) -> int:
        """Return how long the configuration still counts as fresh, or 0 if it is stale."""
        now_ms = self._clock.now_ms()
        return max(
            0, fresh_until(self._membership, self.revision, now_ms, self._fresh_ms) - now_ms
        )

    async def poll_forever(self) -> None:
        """Confirm the configuration with the store once per poll interval."""
        while True:
            started_ms = self._clock.now_ms()
            with suppress(StoreError):
                await self.refresh()
            spent_s = (self._clock.now_ms() - started_ms) / 1000
            await asyncio.sleep(max(0.0, POLL_INTERVAL_S - spent_s))

    async def refresh(self) -> None:
        """Read and apply the changes after the current revision.

        If all of them are applied, the configuration counts as fresh from the time at which
        the read was sent.

        :raises StoreError: if the store cannot be reached
        """
        sent_ms = self._clock.now_ms()
        if self.revision == 0:
            is_current = await self._load_from_snapshot()
        else:
            items, _ = await self._store.list_keys(PREFIX, revision_key(self.revision))
            is_current = (
                all(self.apply(item.value or "") for item in items)
                or await self._load_from_snapshot()
            )
        if is_current:
            record_store_read(self._membership, sent_ms, self._fresh_ms)

    def apply(self, text: str) -> bool:
        """Apply the stored value of a revision if it is the next one or a later snapshot.

        :returns: whether the configuration now includes the revision
        """
        result = apply_change(self.current, text)
        if isinstance(result, Failure):
            if result.failure() is SkipReason.BROKEN:
                _log.error("configuration change refused", after=self.revision)
            return result.failure() is SkipReason.OLD
        self._set_current(result.unwrap())
        self.changes[self.revision] = text
        while len(self.changes) > KEPT_CHANGES:
            del self.changes[min(self.changes)]
        return True

    def changes_after(self, revision: int) -> tuple[str, ...]:
        """Return the changes after a revision, or a snapshot if some are no longer kept."""
        if revision >= self.revision:
            return ()
        revisions = range(revision + 1, self.revision + 1)
        if all(number in self.changes for number in revisions):
            return tuple(self.changes[number] for number in revisions)
        return (encode_snapshot(self.current),)

    async def propose(self, base: int, raw: object) -> Result[Revision, Fault]:
        """Validate a document and store it as the next revision.

        :param base: revision that the document is based on
        """
        parsed = parse_document(raw)
        if isinstance(parsed, Failure):
            return parsed
        try:
            await self.refresh()
        except StoreError:
            return Failure(Fault(ResultCode.STORE_UNAVAILABLE, "the store cannot be reached"))
        if base != self.revision:
            return Failure(_conflict(base, self.revision))
        text = encode_change(self.current, parsed.unwrap(), writer_token())
        written = await self._write(revision_key(base + 1), text)
        if isinstance(written, Failure):
            return written
        if not written.unwrap():
            return Failure(_conflict(base, await self._current_revision(base + 1)))
        self.apply(text)
        if (base + 1) % SNAPSHOT_EVERY == 0:
            self._spawn(self._delete_old_revisions(base + 1))
        return Success(Revision(base + 1))

    async def _load_from_snapshot(self) -> bool:
        """Read the latest snapshot and all later revisions; return whether all were applied.

        The configuration in force is only replaced by the same or a higher revision.
        """
        hint = await self._store.get(SNAPSHOT_HINT_KEY)
        first = int(hint.value) if hint.value else 0
        items, _ = await self._store.list_keys(PREFIX, revision_key(first - 1) if first else "")
        found = Configuration()
        for item in items:
            result = apply_change(found, item.value or "")
            if isinstance(result, Success):
                found = result.unwrap()
        if found.revision >= self.revision and found.revision > 0:
            self._set_current(found)
        last = int(items[-1].key.removeprefix(PREFIX)) if items else 0
        return self.revision >= last

    def _set_current(self, found: Configuration) -> None:
        if found.revision != self.revision:
            _log.info("configuration applied", revision=found.revision)
            _log_evacuations(self.document, found.document)
        self.current = found

    async def _current_revision(self, min_revision: int) -> int:
        with suppress(StoreError):
            await self.refresh()
        return max(min_revision, self.revision)

    async def _write(self, key: str, text: str) -> Result[bool, Fault]:
        """Create a revision key; return whether this process created it.

        If the answer to the write is lost, the key is read until its value is known and
        written again while it is absent; the token in the value shows whose write took
        effect. A write only creates an absent key, so it cannot take effect twice.
        """
        end_ms = self._clock.now_ms() + WRITE_TIMEOUT_MS
        while self._clock.now_ms() < end_ms:
            with suppress(StoreError):
                if await self._store.cas(key, text, 0):
                    return Success(True)
            with suppress(StoreError):
                item = await self._store.get(key)
                if item.value is not None:
                    return Success(item.value == text)
            await asyncio.sleep(WRITE_RETRY_INTERVAL_S)
        message = "the outcome is not known; read the configuration before retrying"
        return Failure(Fault(ResultCode.WRITE_UNKNOWN, message))

    async def _delete_old_revisions(self, snapshot: int) -> None:
        """Update the snapshot hint for starting processes and delete obsolete revisions."""
        try:
            hint = await self._store.get(SNAPSHOT_HINT_KEY)
            if int(hint.value or 0) < snapshot:
                await self._store.cas(SNAPSHOT_HINT_KEY, str(snapshot), hint.version)
            items, _ = await self._store.list_keys(PREFIX)
            for item in items:
                if item.key < revision_key(first_kept_revision(snapshot)):
                    await self._store.delete(item.key, item.version)
        except StoreError as exc:
            _log.warning("old revisions not deleted", reason=str(exc))


def _log_evacuations(old: Document, new: Document) -> None:
    """Log who requested the evacuations that a revision adds, and those that it removes."""
    for domain, evacuation in new.evacuations.items():
        if old.evacuations.get(domain) != evacuation:
            _log.info("domain evacuated", domain=domain, **evacuation.model_dump())
    for domain in old.evacuations.keys() - new.evacuations.keys():
        _log.info("domain restored", domain=domain)


def _conflict(base: int, current: int) -> Fault:
    text = f"the document was based on revision {base}, the current one is {current}"
    return Fault(ResultCode.CONFIG_CONFLICT, text)
