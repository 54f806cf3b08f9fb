"""Configuration in force in this process; its version never decreases."""

import asyncio

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.config import CellConfig
from lagoonshelf_server.jobs import job_metrics
from lagoonshelf_server.jobs.ports import (
    HistoryLostError,
    Item,
    PlatformCodec,
    Store,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.logs import logger

WATCH_MS = 2_000
# A watch may be broken without an error, so the key is also read periodically.
READ_INTERVAL_S = 0.9
RETRY_S = 0.1
# Withdrawn keys stop working within seconds, so no work is accepted by an older configuration.
MAX_AGE_MS = 5_000

_log = logger("config")


class ConfigView:
    """Watches the configuration in the store."""

    def __init__(self, store: Store, codec: PlatformCodec, clock: Clock) -> None:
        """Set up without a configuration."""
        self._store = store
        self._codec = codec
        self._clock = clock
        self._revision = 0
        self.current = CellConfig(0)
        self.read_ms = 0

    @property
    def is_known(self) -> bool:
        """Return whether any configuration has been read."""
        return self.current.version > 0

    def is_fresh(self) -> bool:
        """Return whether the configuration was read recently enough to check keys by it.

        A process that was paused or is cut off may not know that a key has been withdrawn.
        """
        return self.is_known and self._clock.now_ms() - self.read_ms < MAX_AGE_MS

    def confirm(self, version: int, age_ms: int) -> None:
        """Record that a member read the configuration from the store some time ago.

        A process that alone cannot reach the store learns this way that its own is still current.
        """
        if version == self.current.version:
            self.read_ms = max(self.read_ms, self._clock.now_ms() - age_ms)

    async def poll(self) -> None:
        """Read the configuration periodically; run for the life of the process."""
        while True:
            try:
                item = await self._store.read(self._codec.config_key)
                if item is not None:
                    self._apply_item(item)
                self.read_ms = self._clock.now_ms()
                job_metrics.config_age_ms.set({}, 0)
                await asyncio.sleep(READ_INTERVAL_S if self.is_known else RETRY_S)
            except (StoreUnavailableError, StoreUncertainError) as exc:
                job_metrics.config_age_ms.set({}, self._clock.now_ms() - self.read_ms)
                _log.debug("configuration not read", reason=str(exc))
                await asyncio.sleep(RETRY_S)

    async def watch(self) -> None:
        """Watch changes of the configuration; run for the life of the process."""
        revision = 0
        while True:
            try:
                if not revision:
                    _, revision = await self._store.read_all(self._codec.config_key)
                changes, revision = await self._store.watch(
                    self._codec.config_key, revision, WATCH_MS
                )
                for change in changes:
                    if change.item is not None and change.key == self._codec.config_key:
                        self._apply_item(change.item)
            except HistoryLostError:
                revision = 0
            except (StoreUnavailableError, StoreUncertainError):
                await asyncio.sleep(RETRY_S)

    def _apply_item(self, item: Item) -> None:
        if item.revision <= self._revision:
            return
        cfg = self._codec.decode_config(item.value)
        if cfg is None:
            _log.error("configuration unreadable", revision=item.revision)
            return
        self._revision = item.revision
        if cfg.version <= self.current.version:
            return
        _log.info(
            "configuration in force",
            version=cfg.version,
            before=self.current.version,
            queues=len(cfg.queues),
            teams=len(cfg.teams),
        )
        self.current = cfg
        job_metrics.config_version.set({}, cfg.version)
