"""Claims of free partitions in the store, and release of misplaced ones."""

import asyncio
from collections.abc import Callable

import orjson

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.errors import LagoonshelfError
from lagoonshelf_core.ids import MemberId, PartitionId
from lagoonshelf_core.membership import NEVER
from lagoonshelf_core.ownership import may_take_over, should_claim
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.logs import logger
from lagoonshelf_server.members import OWNER_PREFIX, Members
from lagoonshelf_server.owner import Owner, OwnerState
from lagoonshelf_server.store import StoreClient, StoreError, writer_token

CLAIM_INTERVAL_S = 0.2
# Longer than a few missed pings, so that a short disturbance moves no partition.
REBALANCE_MS = 2000
RELEASE_INTERVAL_MS = 400
_log = logger("claims")


class PartitionClaims:
    """The partitions of this process, from claim to loss."""

    def __init__(
        self,
        clock: Clock,
        bridge: Bridge,
        store: StoreClient,
        members: Members,
        owners: dict[PartitionId, Owner],
        make_owner: Callable[[PartitionId], Owner],
        may_claim: Callable[[], bool],
    ) -> None:
        """Initialize without claimed partitions.

        :param owners: partitions of this process, updated by this class
        :param make_owner: creates the owner of a claimed partition
        :param may_claim: whether free partitions may be claimed; false while a drain releases
            them
        """
        self._clock = clock
        self._bridge = bridge
        self._store = store
        self._members = members
        self._owners = owners
        self._make_owner = make_owner
        self._may_claim = may_claim
        self._takeovers: dict[PartitionId, asyncio.Task] = {}
        self._free_since_ms: dict[PartitionId, int] = {}
        self._reclaimable_until_ms: dict[PartitionId, int] = {}
        self._misplaced_since_ms = NEVER

    async def claim_forever(self) -> None:
        """Drop lost partitions and claim free ones until cancelled."""
        while True:
            await asyncio.sleep(CLAIM_INTERVAL_S)
            self._drop_lost()
            if self._members.lease and self._members.holds_lease() and self._may_claim():
                await asyncio.gather(*(self._claim(partition) for partition in self._claimable()))
                await self._release_misplaced()

    def drop(self, partition: PartitionId) -> None:
        """Stop acting as owner of a partition immediately."""
        owner = self._owners.pop(partition, None)
        takeover = self._takeovers.pop(partition, None)
        if takeover is not None:
            takeover.cancel()
        if owner is not None:
            owner.close()
            _log.warning("partition lost", partition=partition)

    def _drop_lost(self) -> None:
        for partition, owner in list(self._owners.items()):
            if owner.state is OwnerState.LOST:
                self.drop(partition)
            elif self._members.may_act() and not owner.may_act():
                self._reclaimable_until_ms[partition] = self._members.lease_state.reclaim_until_ms
                self.drop(partition)

    async def _release_misplaced(self) -> None:
        """Release one partition to its preferred owner if it has been misplaced for a while."""
        partition = self._find_misplaced()
        now_ms = self._clock.now_ms()
        if partition is None:
            self._misplaced_since_ms = NEVER
        elif self._misplaced_since_ms == NEVER:
            self._misplaced_since_ms = now_ms
        elif now_ms - self._misplaced_since_ms >= REBALANCE_MS:
            self._misplaced_since_ms = now_ms - REBALANCE_MS + RELEASE_INTERVAL_MS
            await self._release(partition)

    def _find_misplaced(self) -> PartitionId | None:
        """Return an active partition whose preferred owner is another, responding member."""
        preferred = self._members.preferred_owners()
        for partition, owner in self._owners.items():
            wanted = preferred.get(partition, self._members.me)
            active = owner.state is OwnerState.ACTIVE
            if active and wanted != self._members.me and self._members.is_responding(wanted):
                return partition
        return None

    async def _release(self, partition: PartitionId) -> None:
        owner = self._owners[partition]
        _log.info("releasing partition to its preferred owner", partition=partition)
        try:
            await owner.release()
        except LagoonshelfError as exc:
            _log.warning("partition not released", partition=partition, reason=exc.fault.message)
            self.drop(partition)
        self._owners.pop(partition, None)

    def _claimable(self) -> list[PartitionId]:
        """Return the partitions to claim now, including those whose claim got no answer."""
        now_ms = self._clock.now_ms()
        me = self._members.me
        claimable = []
        for partition, preferred in self._preferred().items():
            key_owner = self._members.owner_keys.get(partition)
            if partition in self._owners or key_owner not in (None, me):
                self._free_since_ms.pop(partition, None)
                continue
            since_ms = self._free_since_ms.setdefault(partition, now_ms)
            wanted = key_owner == me or should_claim(since_ms, preferred == me, now_ms)
            if self._may_reclaim(partition) or (wanted and self._may_take_over()):
                claimable.append(partition)
        return claimable

    def _preferred(self) -> dict[PartitionId, MemberId]:
        """Return the preferred owner of each partition; this process if all members drain."""
        partitions = map(PartitionId, range(self._members.cfg.partitions))
        return self._members.preferred_owners() or dict.fromkeys(partitions, self._members.me)

    def _may_take_over(self) -> bool:
        return may_take_over(self._members.lease_state, self._clock.now_ms())

    def _may_reclaim(self, partition: PartitionId) -> bool:
        """Return whether this process owned the partition until just now.

        Its promises concern only partitions of other owners; no other member can have owned
        this one in the meantime.
        """
        return self._clock.now_ms() < self._reclaimable_until_ms.get(partition, NEVER)

    async def _claim(self, partition: PartitionId) -> None:
        lease = self._members.lease
        try:
            held = await self._create_key(partition, lease)
        except StoreError as exc:
            _log.warning("partition claim not confirmed", partition=partition, reason=str(exc))
            return
        allowed = self._may_reclaim(partition) or self._may_take_over()
        if not held or not allowed or lease != self._members.lease:
            return
        self._reclaimable_until_ms.pop(partition, None)
        owner = self._make_owner(partition)
        self._owners[partition] = owner
        self._takeovers[partition] = self._bridge.spawn(self._take_over(partition, owner))

    async def _create_key(self, partition: PartitionId, lease: str) -> bool:
        """Create the owner key; return whether the key belongs to the lease.

        An earlier claim may have taken effect although its answer was lost.
        """
        key = f"{OWNER_PREFIX}{partition}"
        body = {"member": self._members.me, "lease": lease, "token": writer_token()}
        if await self._store.cas_confirmed(key, orjson.dumps(body).decode(), 0, lease):
            return True
        item = await self._store.get(key)
        return item.value is not None and orjson.loads(item.value).get("lease") == lease

    async def _take_over(self, partition: PartitionId, owner: Owner) -> None:
        """Run the takeover of an owner; after a failure the partition is claimed again."""
        try:
            await owner.take_over()
        except Exception as exc:
            _log.warning("takeover failed", partition=partition, reason=repr(exc))
            owner.close()
        finally:
            if self._owners.get(partition) is owner:
                self._takeovers.pop(partition, None)
