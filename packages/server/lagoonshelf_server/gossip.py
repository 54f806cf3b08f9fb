"""Pings between members, and the handling of the status they carry."""

import asyncio
from collections.abc import Callable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import MemberId, PartitionId
from lagoonshelf_core.membership import PeerReport, record_ping, record_pong
from lagoonshelf_core.ownership import give_promise
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.config_sync import ConfigSync
from lagoonshelf_server.logs import logger
from lagoonshelf_server.members import Members
from lagoonshelf_server.messages import ConfigAsk, ConfigReply, Owned, Status
from lagoonshelf_server.owner import Owner, OwnerState
from lagoonshelf_server.peers import PeerLostError, PeerNet
from lagoonshelf_server.settings import Settings

PING_TIMEOUT_S = 1.0
_log = logger("gossip")


class Gossip:
    """Sends and answers pings, and applies the status in pings and pongs."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        bridge: Bridge,
        members: Members,
        config: ConfigSync,
        net: PeerNet,
        owners: dict[PartitionId, Owner],
        drop: Callable[[PartitionId], None],
    ) -> None:
        """Initialize.

        :param owners: partitions of this process
        :param drop: stops acting as owner of a partition
        """
        self._cfg = cfg
        self._clock = clock
        self._bridge = bridge
        self._members = members
        self._config = config
        self._net = net
        self._owners = owners
        self._drop = drop
        self._configured_peers = [text.strip() for text in cfg.peers.split(",") if text.strip()]

    async def ping_forever(self) -> None:
        """Ping all members at the configured interval."""
        while True:
            for member in list(self._members.others.values()):
                self._bridge.spawn(self._ping(member.address, member.member))
            if not self._members.view.loaded:
                for address in self._configured_peers:
                    self._bridge.spawn(self._ping(address, None))
            await asyncio.sleep(self._cfg.ping_ms / 1000)

    def on_ping(self, name: MemberId, status: Status) -> Status:
        """Handle a ping and return the pong, with a promise if the store is unreachable."""
        member = self._members.others.get(name)
        if member is not None:
            member.status = status
        now_ms = self._clock.now_ms()
        record_ping(self._members.view, name, _peer_report(status), now_ms)
        self._members.extend_deadline()
        reached = self._members.reaches_store()
        lease_state, lease_timing = self._members.lease_state, self._members.lease_timing
        return self.status(give_promise(lease_state, lease_timing, reached, now_ms))

    def status(self, promise_ms: int = 0) -> Status:
        """Return the status of this process.

        :param promise_ms: duration of the promise, which only a pong may carry
        """
        return Status(
            self._cfg.member,
            self._config.revision,
            self._members.reaches_store(),
            promise_ms,
            self._members.draining,
            tuple(_owned_status(partition, owner) for partition, owner in self._owners.items()),
            fresh_ms=self._config.remaining_fresh_ms(),
        )

    async def _ping(self, address: str, name: MemberId | None) -> None:
        """Ping an address.

        :param name: member expected at the address, none for an address from the settings
        """
        sent_ms = self._clock.now_ms()
        try:
            status = await self._net.call(address, "ping", self.status(), PING_TIMEOUT_S)
        except PeerLostError:
            return
        if not isinstance(status, Status) or name not in (None, status.member):
            return
        if name is None:
            self._members.add_configured_peer(address, status)
        self._record_pong(MemberId(status.member), status, sent_ms)
        if status.revision > self._config.revision and not self._members.reaches_store():
            await self._fetch_config(address)

    def _record_pong(self, name: MemberId, status: Status, sent_ms: int) -> None:
        member = self._members.others.get(name)
        if member is not None:
            member.last_contact_ms, member.status = sent_ms, status
        record_pong(self._members.view, name, _peer_report(status), sent_ms, self._config.revision)
        self._drop_superseded(status)
        self._members.extend_deadline()

    def _drop_superseded(self, status: Status) -> None:
        """Drop partitions that a member has taken over.

        A member in recovery may not know its epoch yet. Such a report counts only while this
        process has no lease, since a valid lease proves that this process still owns the
        partition.
        """
        for theirs in status.owned:
            mine = self._owners.get(PartitionId(theirs.partition))
            if mine is None:
                continue
            is_claim = theirs.epoch == 0 and not self._members.holds_lease()
            if is_claim or theirs.epoch > mine.epoch > 0:
                _log.warning("partition taken over by another member", partition=theirs.partition)
                self._drop(mine.partition_id)

    async def _fetch_config(self, address: str) -> None:
        request = ConfigAsk(self._config.revision)
        try:
            reply = await self._net.call(address, "configAsk", request, PING_TIMEOUT_S)
        except PeerLostError:
            return
        for change in reply.changes if isinstance(reply, ConfigReply) else ():
            self._config.apply(change)


def _peer_report(status: Status) -> PeerReport:
    return PeerReport(
        status.store_reached,
        status.revision,
        status.promise_ms,
        status.fresh_ms,
        status.draining,
    )


def _owned_status(partition: PartitionId, owner: Owner) -> Owned:
    free = owner.scheduler.free_resources()
    return Owned(
        partition,
        owner.epoch,
        owner.state is OwnerState.ACTIVE,
        free.cpu_milli,
        free.memory_mib,
        free.accelerators,
        free.slots,
        owner.scheduler.queue_length(),
    )
