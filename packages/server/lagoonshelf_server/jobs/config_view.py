"""Configuration in force in this process; its version never decreases."""

import asyncio
from collections.abc import Awaitable, Callable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.config import CellConfig
from lagoonshelf_server.jobs import job_metrics
from lagoonshelf_server.jobs.ports import (
    ABSENT,
    HistoryLostError,
    Item,
    PlatformCodec,
    Store,
    StoreRevision,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import ConfigCopy

WATCH_MS = 2_000
# A watch may be broken without an error, so the key is also read when it is this old, or this old
# where the leader confirms it. A read that fails leaves time for another one.
READ_INTERVAL_MS = 900
CONFIRMED_READ_INTERVAL_MS = 1_400
# Longest time without any data of the response. A slow store takes several hundred milliseconds.
READ_TIMEOUT_MS = 1_000
RETRY_S = 0.1
# Shortest interval between questions to other members.
ASK_INTERVAL_MS = 250
# Withdrawn keys stop working within 6 s; the rest is for the request itself.
DEFAULT_MAX_AGE_MS = 5_000
# A configuration that has not been confirmed for more than one read and its retry is logged.
LATE_MS = 2_000
MAX_REPORTED_AGE_MS = 3_600_000

_log = logger("config")


class ConfigView:
    """Follows the configuration in the store, directly and through other members."""

    def __init__(
        self,
        store: Store,
        codec: PlatformCodec,
        clock: Clock,
        max_age_ms: int = DEFAULT_MAX_AGE_MS,
    ) -> None:
        """Set up without a configuration.

        :param max_age_ms: time after which a change of the configuration has to be in force
        """
        self._store = store
        self._codec = codec
        self._clock = clock
        self._max_age_ms = max_age_ms
        self._revision = ABSENT
        self._item: Item | None = None
        self._read_ms = 0
        self._member_confirmed_ms = 0
        self._is_behind = False
        self.current = CellConfig(0)
        self.confirmed_ms = 0
        self._member_asked_ms = 0
        self.fetch_copy: Callable[[StoreRevision], Awaitable[ConfigCopy | None]] = _no_copy
        self._is_late = False

    @property
    def is_known(self) -> bool:
        """Return whether any configuration has been read."""
        return self.current.version > 0

    def is_fresh(self) -> bool:
        """Return whether requests may be answered by the configuration.

        A process that was paused, is late or is cut off may not know that a key has been
        withdrawn or a queue has been added.
        """
        return self.is_known and self.age_ms() < self._max_age_ms

    def age_ms(self) -> int:
        """Return how long ago the store is known to have held the configuration."""
        return self._clock.now_ms() - self.confirmed_ms

    def confirm(self, version: int, age_ms: int, asked_ms: int) -> None:
        """Record which version a member read from the store some time ago.

        A process that alone cannot reach the store learns this way that its own is still current.

        :param age_ms: age of the version at the member when it answered
        :param asked_ms: when the member was asked; its answer may have waited here for any time
        """
        self._is_behind = version > self.current.version
        if version == self.current.version:
            self._confirm_by_member(asked_ms - age_ms)

    def copy(self, known_revision: int) -> ConfigCopy:
        """Return the configuration in force for a member that cannot read it itself.

        :param known_revision: revision of the member's copy, of which the document is left out
        """
        if self._item is None:
            return ConfigCopy(0, b"", 0)
        document = b"" if self._item.revision == known_revision else self._item.value
        return ConfigCopy(self._item.revision, document, min(self.age_ms(), MAX_REPORTED_AGE_MS))

    async def poll(self) -> None:
        """Read the configuration when nobody has confirmed it; run for the life of the process."""
        while True:
            wait_ms = self._read_due_ms() - self._clock.now_ms()
            if self.is_known and wait_ms > 0:
                await asyncio.sleep(wait_ms / 1000)
                continue
            await self._read()
            await asyncio.sleep(RETRY_S)

    async def watch(self) -> None:
        """Watch changes of the configuration; run for the life of the process."""
        revision = 0
        while True:
            sent_ms = self._clock.now_ms()
            try:
                if not revision:
                    items, revision = await self._store.read_all(self._codec.config_key)
                else:
                    changes, revision = await self._store.watch(
                        self._codec.config_key, revision, WATCH_MS
                    )
                    items = [change.item for change in changes if change.item is not None]
                for item in items:
                    if item.key == self._codec.config_key:
                        self._apply_item(item, "watch", sent_ms)
            except HistoryLostError:
                _log.info("history of the configuration lost", version=self.current.version)
                revision = 0
            except (StoreUnavailableError, StoreUncertainError) as exc:
                job_metrics.config_watch_failures.inc({})
                _log.debug("configuration not watched", reason=str(exc))
                await asyncio.sleep(RETRY_S)

    def _read_due_ms(self) -> int:
        """Return when to read again.

        Each read transfers the whole configuration, so the leader's confirmations replace reads.
        """
        own_due_ms = self._read_ms + min(READ_INTERVAL_MS, self._max_age_ms // 2)
        member_due_ms = self._member_confirmed_ms + min(
            CONFIRMED_READ_INTERVAL_MS, self._max_age_ms * 2 // 3
        )
        return max(own_due_ms, member_due_ms)

    async def _read(self) -> None:
        """Read the configuration, or ask another member for it if the store fails here."""
        sent_ms = self._clock.now_ms()
        try:
            item = await self._store.read(self._codec.config_key, timeout_ms=READ_TIMEOUT_MS)
        except (StoreUnavailableError, StoreUncertainError) as exc:
            self._log_late(str(exc))
            if self._is_behind or self.age_ms() > self._max_age_ms // 2:
                await self._ask_member()
            job_metrics.config_age_ms.set({}, self.age_ms())
            return
        if item is not None:
            self._apply_item(item, "read", sent_ms)
        # The response may have waited for any time, so the read is as old as its request.
        self._read_ms = sent_ms
        self._set_confirmed(sent_ms)

    async def _ask_member(self) -> None:
        """Take over or confirm the configuration of another member."""
        sent_ms = self._clock.now_ms()
        if sent_ms - self._member_asked_ms < ASK_INTERVAL_MS:
            return
        self._member_asked_ms = sent_ms
        copy = await self.fetch_copy(ABSENT if self._item is None else self._item.revision)
        if copy is None:
            return
        if copy.document:
            item = Item(self._codec.config_key, copy.document, StoreRevision(copy.revision))
            self._apply_item(item, "member", sent_ms)
        if self._item is not None and self._item.revision == copy.revision:
            self._confirm_by_member(sent_ms - copy.age_ms)

    def _confirm_by_member(self, at_ms: int) -> None:
        self._member_confirmed_ms = max(self._member_confirmed_ms, at_ms)
        self._set_confirmed(at_ms)

    def _set_confirmed(self, at_ms: int) -> None:
        """Record that the store held the configuration in force at a time."""
        age_ms = self.age_ms()
        self.confirmed_ms = max(self.confirmed_ms, at_ms)
        job_metrics.config_age_ms.set({}, self.age_ms())
        if self._is_late and self.age_ms() <= LATE_MS:
            self._is_late = False
            version = self.current.version
            _log.info("configuration confirmed again", version=version, age_ms=age_ms)

    def _log_late(self, reason: str) -> None:
        """Log once that the configuration has not been confirmed for a while."""
        if self.is_known and not self._is_late and self.age_ms() > LATE_MS:
            self._is_late = True
            version, age_ms = self.current.version, self.age_ms()
            _log.warning(
                "configuration not confirmed", version=version, age_ms=age_ms, reason=reason
            )

    def _apply_item(self, item: Item, source: str, sent_ms: int) -> None:
        if item.revision <= self._revision:
            return
        cfg = self._codec.decode_config(item.value)
        self._revision = item.revision
        if cfg is None:
            _log.error("configuration unreadable", revision=item.revision, source=source)
            return
        if cfg.version <= self.current.version:
            return
        _log.info(
            "configuration in force",
            version=cfg.version,
            before=self.current.version,
            queues=len(cfg.queues),
            teams=len(cfg.teams),
            source=source,
            took_ms=self._clock.now_ms() - sent_ms,
            unconfirmed_ms=self.age_ms() if self.is_known else None,
        )
        self.current, self._item = cfg, item
        job_metrics.config_version.set({}, cfg.version)


async def _no_copy(revision: StoreRevision) -> None:
    """Return no copy, as there is no other member."""
    del revision
