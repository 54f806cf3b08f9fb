"""Watch of the store's keys and polling of the platform's host list."""

import asyncio

from lagoonshelf_core.grants import GRANT_PREFIX
from lagoonshelf_core.ids import PartitionId, TeamId
from lagoonshelf_server.config_sync import PREFIX as CONFIG_PREFIX
from lagoonshelf_server.config_sync import ConfigSync
from lagoonshelf_server.members import MEMBER_PREFIX, OWNER_PREFIX, Members
from lagoonshelf_server.owner import Owner
from lagoonshelf_server.store import StoreClient, StoreError

WATCHED_PREFIXES = [MEMBER_PREFIX, OWNER_PREFIX, CONFIG_PREFIX, GRANT_PREFIX]
RETRY_S = 0.3


class StoreWatcher:
    """Applies changes in the store to the members, owners and configuration of this process."""

    def __init__(
        self,
        store: StoreClient,
        members: Members,
        config: ConfigSync,
        owners: dict[PartitionId, Owner],
    ) -> None:
        """Initialize.

        :param owners: partitions of this process
        """
        self._store = store
        self._members = members
        self._config = config
        self._owners = owners

    async def follow_forever(self) -> None:
        """Read all keys, then watch for changes; read again if changes were missed."""
        revision = -1
        while True:
            try:
                if revision < 0:
                    revision = await self._read_all()
                answer = await self._store.watch(WATCHED_PREFIXES, revision)
            except StoreError:
                await asyncio.sleep(RETRY_S)
                continue
            revision = -1 if answer.reset else answer.revision
            for event in answer.events:
                self._apply(event.key, event.value)

    async def follow_hosts(self, interval_s: float) -> None:
        """Read the host list at each interval and pass it to the owned partitions."""
        while True:
            await asyncio.sleep(interval_s)
            if not self._owners:
                continue
            try:
                hosts = await self._store.hosts()
            except StoreError:
                for owner in self._owners.values():
                    owner.record_hosts_request()
                continue
            for owner in list(self._owners.values()):
                owner.set_hosts(hosts)

    async def _read_all(self) -> int:
        members, revision = await self._store.list_keys(MEMBER_PREFIX)
        owner_keys, _ = await self._store.list_keys(OWNER_PREFIX)
        await self._config.refresh()
        self._members.replace_members(members)
        self._members.replace_owner_keys(owner_keys)
        return revision

    def _apply(self, key: str, value: str | None) -> None:
        if key.startswith(GRANT_PREFIX):
            for owner in self._owners.values():
                owner.grants.apply(TeamId(key.removeprefix(GRANT_PREFIX)), value)
        elif not key.startswith(CONFIG_PREFIX):
            self._members.apply(key, value)
        elif value is not None:
            self._config.apply(value)
