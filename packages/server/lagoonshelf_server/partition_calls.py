"""Messages between partition owners, in this process or another one."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import Epoch, MemberId, PartitionId
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.members import Members
from lagoonshelf_server.messages import (
    Ack,
    Body,
    Delegate,
    DelegateDone,
    DelegateQuery,
    DelegateState,
    DelegateStates,
    DelegateStop,
    Fence,
    FenceReply,
    GrantAsk,
    Owned,
)
from lagoonshelf_server.peers import PeerLostError, PeerNet

if TYPE_CHECKING:
    from lagoonshelf_server.owner import Owner

CALL_TIMEOUT_S = 2.0
MAX_STATUS_AGE_MS = 1500  # three ping intervals


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """Free capacity of an active partition."""

    partition: PartitionId
    epoch: Epoch
    free: Resources


class PartitionCalls:
    """Sends messages to partition owners and handles those for owners in this process.

    It also keeps the newest known epoch of each home partition, to refuse older home owners.
    """

    def __init__(self, members: Members, net: PeerNet, owners: dict[PartitionId, Owner]) -> None:
        """Initialize the message handlers.

        :param owners: partitions owned in this process
        """
        self._members = members
        self._net = net
        self._owners = owners
        self._home_epochs: dict[PartitionId, Epoch] = {}
        self._handlers: dict[type, Callable[[Body], Awaitable[tuple[str, Body]]]] = {
            Delegate: self._on_delegate,
            DelegateDone: self._on_done,
            DelegateQuery: self._on_query,
            DelegateStop: self._on_stop,
            Fence: self._on_fence,
            GrantAsk: self._on_grant_ask,
        }

    def handles(self, body: Body) -> bool:
        """Return whether a message is one between owners."""
        return type(body) in self._handlers

    async def handle(self, body: Body) -> tuple[str, Body]:
        """Answer a message for a partition owned in this process.

        :raises LagoonshelfError: when it is not owned here
        """
        return await self._handlers[type(body)](body)

    async def call(self, partition: PartitionId, kind: str, body: Body) -> Body:
        """Send a message to the owner of a partition and return the reply.

        :raises PeerLostError: when no owner is known or no reply came
        """
        if partition in self._owners:
            try:
                return (await self.handle(body))[1]
            except LagoonshelfError as exc:
                return Ack(exc.fault.code.number, exc.fault.message)
        info = self._members.owner_of(partition)
        other = self._members.others.get(info.member) if info else None
        if other is None:
            raise PeerLostError(f"partition {partition} has no known owner")
        return await self._net.call(other.address, kind, body, CALL_TIMEOUT_S)

    async def fence(self, member: MemberId, fence: Fence) -> FenceReply | None:
        """Announce a new owner to a member; return ``None`` if it did not reply."""
        if member == self._members.me:
            return (await self._on_fence(fence))[1]
        other = self._members.others.get(member)
        if other is None:
            return None
        try:
            reply = await self._net.call(other.address, "fence", fence, CALL_TIMEOUT_S)
        except PeerLostError:
            return None
        return reply if isinstance(reply, FenceReply) else None

    def known_members(self) -> set[MemberId]:
        """Return all known members, including this process."""
        return {self._members.me, *self._members.others}

    def owner_epoch(self, partition: PartitionId) -> Epoch | None:
        """Return the newest known epoch of a partition."""
        if partition in self._owners:
            return self._owners[partition].epoch
        info = self._members.owner_of(partition)
        return info.epoch if info else None

    def free_capacities(self) -> list[FreeCapacity]:
        """Return the free capacity of all active partitions."""
        capacities: dict[PartitionId, FreeCapacity] = {}
        for owned in self._reported_partitions():
            free = Resources(
                owned.free_cpu_milli,
                owned.free_memory_mib,
                owned.free_accelerators,
                owned.free_slots,
            )
            previous = capacities.get(owned.partition)
            if owned.active and (previous is None or previous.epoch < owned.epoch):
                capacities[owned.partition] = FreeCapacity(
                    owned.partition, Epoch(owned.epoch), free
                )
        for partition, owner in self._owners.items():
            capacities.pop(partition, None)
            if owner.may_start():
                capacities[partition] = FreeCapacity(
                    partition, owner.epoch, owner.scheduler.free_resources()
                )
        return list(capacities.values())

    def _reported_partitions(self) -> list[Owned]:
        """Return the partitions of members that replied recently and are not draining."""
        after_ms = self._members.clock.now_ms() - MAX_STATUS_AGE_MS
        return [
            owned
            for other in self._members.others.values()
            if other.status and not other.status.draining and other.last_contact_ms >= after_ms
            for owned in other.status.owned
        ]

    def accept_home_epoch(self, home: PartitionId, epoch: Epoch) -> bool:
        """Record the epoch of a home owner; return false if a newer one is known."""
        if epoch < self._home_epochs.get(home, 0):
            return False
        self._home_epochs[home] = epoch
        return True

    def _require_owner(self, partition: int) -> Owner:
        owner = self._owners.get(PartitionId(partition))
        if owner is None:
            text = f"partition {partition} is not owned here"
            raise LagoonshelfError(Fault(ResultCode.NO_OWNER, text))
        return owner

    async def _on_delegate(self, body: Delegate) -> tuple[str, Body]:
        owner = self._require_owner(body.partition)
        if not self.accept_home_epoch(PartitionId(body.meta.home), Epoch(body.home_epoch)):
            return "ack", Ack(ResultCode.STALE_EPOCH.number, "a newer home owner is known")
        return "delegateReply", owner.hosting.start(body)

    async def _on_done(self, body: DelegateDone) -> tuple[str, Body]:
        await self._require_owner(body.partition).delegation.on_done(body)
        return "ack", Ack(ResultCode.DONE.number)

    async def _on_query(self, body: DelegateQuery) -> tuple[str, Body]:
        owner = self._require_owner(body.partition)
        home = PartitionId(body.home)
        if not self.accept_home_epoch(home, Epoch(body.home_epoch)):
            return "delegateStates", DelegateStates(False)
        states = owner.hosting.states(home)
        boots = owner.hosting.boots()
        return "delegateStates", DelegateStates(owner.hosting.is_complete(), states, boots)

    async def _on_stop(self, body: DelegateStop) -> tuple[str, Body]:
        owner = self._require_owner(body.partition)
        if self.accept_home_epoch(PartitionId(body.home), Epoch(body.home_epoch)):
            await owner.hosting.stop(body)
        return "ack", Ack(ResultCode.DONE.number)

    async def _on_fence(self, body: Fence) -> tuple[str, FenceReply]:
        home = PartitionId(body.partition)
        if not self.accept_home_epoch(home, Epoch(body.epoch)):
            return "fenceReply", FenceReply(False)
        states: list[DelegateState] = []
        complete: list[int] = []
        for partition, owner in self._owners.items():
            if partition != home and owner.hosting.is_complete():
                complete.append(partition)
                states += owner.hosting.states(home)
        return "fenceReply", FenceReply(True, tuple(states), tuple(complete))

    async def _on_grant_ask(self, body: GrantAsk) -> tuple[str, Body]:
        self._require_owner(body.partition).grants.on_grant_request(body)
        return "ack", Ack(ResultCode.DONE.number)
