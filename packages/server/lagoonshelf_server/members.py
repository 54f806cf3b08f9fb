"""Membership: the lease and registration of this process, and the other members."""

import asyncio
from dataclasses import dataclass, field

import orjson

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import Epoch, MemberId, PartitionId
from lagoonshelf_core.membership import NEVER, Membership, Peer, set_members
from lagoonshelf_core.ownership import (
    LeaseState,
    LeaseTiming,
    defer_takeover,
    extend_by_promises,
    holds_lease,
    may_act,
    record_lease_loss,
    record_renewal,
)
from lagoonshelf_core.routing import preferred_owners
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import Status
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.store import Item, StoreClient, StoreError

MEMBER_PREFIX = "members/"
OWNER_PREFIX = "owners/"
STORE_REACHED_WITHIN_MS = 1500
RESPONSIVE_WITHIN_MS = 1500
RENEW_RETRY_S = 0.3
_log = logger("members")


@dataclass(slots=True)
class Member:
    """Another process.

    :param address: ``host:port`` for peer messages
    :param last_contact_ms: send time of the last ping that was answered, -1 if none was
    :param status: content of the last ping or pong
    """

    member: MemberId
    address: str
    failure_domain: str
    last_contact_ms: int = -1
    status: Status | None = None


@dataclass(frozen=True, slots=True)
class OwnerInfo:
    """Owner of a partition as reported in a ping or pong."""

    member: MemberId
    epoch: Epoch
    active: bool


@dataclass(slots=True)
class Members:
    """The lease of this process and its view of the cell.

    :param lease: id of the process lease, none without one
    :param others: all other members by name
    :param owner_keys: owner of each partition according to the store
    :param view: members known when the store was last reached
    :param lease_state: deadlines until which this process may act
    """

    cfg: Settings
    store: StoreClient
    clock: Clock
    lease: str | None = None
    draining: bool = False
    others: dict[MemberId, Member] = field(default_factory=dict)
    owner_keys: dict[PartitionId, MemberId] = field(default_factory=dict)
    view: Membership = field(default_factory=Membership)
    lease_state: LeaseState = field(default_factory=LeaseState)
    _last_removal_ms: int = NEVER
    _not_renewed_since_ms: int = NEVER
    _renewals: set[asyncio.Task] = field(default_factory=set)
    # Overlapping renewals that find the lease expired must not register several leases.
    _registration_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def me(self) -> MemberId:
        """Return the member name of this process."""
        return MemberId(self.cfg.member)

    @property
    def lease_timing(self) -> LeaseTiming:
        """Return the durations of leases and promises."""
        return LeaseTiming(self.cfg.lease_ttl_ms, self.cfg.lease_margin_ms, self.cfg.promise_ms)

    async def keep_lease(self) -> None:
        """Acquire and renew the process lease until cancelled.

        While the store is slow, renewals overlap, so that each is answered before the previous
        one expires.
        """
        interval_s = self.cfg.lease_renew_ms / 1000
        while True:
            started_ms = self.clock.now_ms()
            task = asyncio.ensure_future(self._renew_or_register())
            self._renewals.add(task)
            task.add_done_callback(self._renewals.discard)
            await asyncio.wait({task}, timeout=None if self.lease is None else interval_s / 2)
            if task.done() and task.result():
                spent_s = (self.clock.now_ms() - started_ms) / 1000
                await asyncio.sleep(max(0.0, interval_s - spent_s))
            elif task.done():
                await asyncio.sleep(RENEW_RETRY_S)

    def may_act(self) -> bool:
        """Return whether this process may still act for the partitions it owns."""
        return may_act(self.lease_state, self.clock.now_ms())

    def holds_lease(self) -> bool:
        """Return whether the lease alone, without promises, allows this process to act."""
        return holds_lease(self.lease_state, self.clock.now_ms())

    def reaches_store(self) -> bool:
        """Return whether this process reached the store recently."""
        return self.store.reached(STORE_REACHED_WITHIN_MS)

    def is_responding(self, name: MemberId) -> bool:
        """Return whether a member answered a ping recently."""
        member = self.others.get(name)
        return (
            member is not None
            and self.clock.now_ms() - member.last_contact_ms < RESPONSIVE_WITHIN_MS
        )

    def extend_deadline(self) -> None:
        """Extend the deadline according to the promises of all known members."""
        extend_by_promises(self.lease_state, self.lease_timing, self.view, self.clock.now_ms())

    def preferred_owners(self) -> dict[PartitionId, MemberId]:
        """Return the preferred owner of each partition."""
        names = {m.member for m in self.others.values() if not (m.status and m.status.draining)}
        if not self.draining:
            names.add(self.me)
        return preferred_owners(names, self.cfg.partitions)

    def replace_members(self, items: list[Item]) -> None:
        """Replace the member list by all ``members/`` keys."""
        listed = {MemberId(item.key.removeprefix(MEMBER_PREFIX)) for item in items}
        for name in self.others.keys() - listed:
            self._apply_member(name, None)
        for item in items:
            self.apply(item.key, item.value)
        if not self.view.loaded:
            set_members(self.view, set(self.others))

    def replace_owner_keys(self, items: list[Item]) -> None:
        """Replace the partition owners by all ``owners/`` keys."""
        self.owner_keys.clear()
        for item in items:
            self.apply(item.key, item.value)

    def apply(self, key: str, value: str | None) -> None:
        """Apply a change of a ``members/`` or ``owners/`` key; skip a malformed one."""
        try:
            if key.startswith(MEMBER_PREFIX):
                self._apply_member(MemberId(key.removeprefix(MEMBER_PREFIX)), value)
            elif key.startswith(OWNER_PREFIX):
                self._apply_owner(PartitionId(int(key.removeprefix(OWNER_PREFIX))), value)
        except (ValueError, KeyError, TypeError) as exc:
            _log.error("malformed store key skipped", key=key, reason=repr(exc))

    def add_configured_peer(self, address: str, status: Status) -> None:
        """Add a member from the settings while the store's list has never been read."""
        name = MemberId(status.member)
        if not self.view.loaded and name != self.me:
            known = self.others.setdefault(name, Member(name, address, ""))
            known.address, known.status = address, status

    def owner_of(self, partition: PartitionId) -> OwnerInfo | None:
        """Return the owner with the highest epoch that a member has reported."""
        best: OwnerInfo | None = None
        for other in self.others.values():
            for owned in other.status.owned if other.status else ():
                if owned.partition == partition and (best is None or owned.epoch > best.epoch):
                    best = OwnerInfo(other.member, Epoch(owned.epoch), owned.active)
        return best

    async def _renew_or_register(self) -> bool:
        """Renew the lease or register; return whether the store answered."""
        started_ms = self.clock.now_ms()
        try:
            if self.lease is not None:
                await self._renew(self.lease)
            async with self._registration_lock:
                if self.lease is None:
                    await self._register()
        except StoreError as exc:
            if self._not_renewed_since_ms == NEVER:
                self._not_renewed_since_ms = started_ms
                _log.warning("process lease not renewed", reason=str(exc))
            return False
        self._not_renewed_since_ms = NEVER
        return True

    async def _renew(self, lease: str) -> None:
        sent_ms = self.clock.now_ms()
        held = await self.store.renew_lease(lease)
        if lease != self.lease:
            return
        if held:
            self._record_renewal(sent_ms)
            return
        record_lease_loss(self.lease_state, self.lease_timing)
        defer_takeover(self.lease_state, self.lease_timing, self.clock.now_ms())
        self.lease = None
        _log.warning("lease lapsed", lease=lease)

    async def _register(self) -> None:
        """Acquire a lease and write the member key.

        The lease is renewed while the key is written: with a slow store it would otherwise
        expire before the first regular renewal.
        """
        started_ms = self.clock.now_ms()
        key = MEMBER_PREFIX + self.me
        old = await self.store.get(key)
        lease = await self.store.grant_lease(self.cfg.lease_ttl_ms)
        record = {
            "address": f"{self.cfg.host}:{self.cfg.peer_port}",
            "failure_domain": self.cfg.failure_domain,
            "lease": lease,
        }
        text = orjson.dumps(record).decode()
        sent_ms = self.clock.now_ms()
        written, held = await asyncio.gather(
            self.store.cas_confirmed(key, text, old.version, lease), self.store.renew_lease(lease)
        )
        if not written or not held:
            return
        not_renewed_ms = (
            started_ms - self._not_renewed_since_ms if self._not_renewed_since_ms != NEVER else 0
        )
        if not_renewed_ms > self.cfg.lease_ttl_ms:
            defer_takeover(self.lease_state, self.lease_timing, self.clock.now_ms())
        self.lease = lease
        self._record_renewal(sent_ms)
        _log.info("registered", lease=lease)

    def _record_renewal(self, sent_ms: int) -> None:
        """Record that the lease was held at a time, and drop members without a key.

        Members whose keys disappeared after that time still count: the keys may have expired in
        the same outage as this process's lease.
        """
        record_renewal(self.lease_state, self.lease_timing, sent_ms)
        if self.view.loaded and sent_ms > self._last_removal_ms:
            set_members(self.view, set(self.others))

    def _apply_owner(self, partition: PartitionId, value: str | None) -> None:
        if value is None:
            self.owner_keys.pop(partition, None)
        else:
            self.owner_keys[partition] = MemberId(orjson.loads(value)["member"])

    def _apply_member(self, name: MemberId, value: str | None) -> None:
        if name == self.me:
            return
        if value is None:
            self.others.pop(name, None)
            self._last_removal_ms = self.clock.now_ms()
            return
        raw = orjson.loads(value)
        known = self.others.get(name)
        if known is None or known.address != raw["address"]:
            self.others[name] = Member(name, raw["address"], raw["failure_domain"])
            if known is not None:
                self.view.peers.pop(name, None)
        self.view.peers.setdefault(name, Peer())
