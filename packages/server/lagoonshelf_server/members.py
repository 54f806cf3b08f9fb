"""Registration of this process, its lease, and what is known of other members."""

import asyncio
from dataclasses import dataclass, field

import orjson
from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import Epoch, MemberId, PartitionId
from lagoonshelf_core.routing import preferred_owners

from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import Status
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.store import StoreClient, StoreError

MEMBER_PREFIX = "members/"
OWNER_PREFIX = "owners/"
_log = logger("members")


@dataclass(slots=True)
class Member:
    """Another process.

    :param address: ``host:port`` for peer messages
    :param heard_ms: send time of the last ping that was answered, -1 before
    :param status: content of the last pong
    """

    member: MemberId
    address: str
    failure_domain: str
    heard_ms: int = -1
    status: Status | None = None


@dataclass(frozen=True, slots=True)
class OwnerInfo:
    """Who owns a partition, as the store or a pong says."""

    member: MemberId
    epoch: Epoch
    active: bool


@dataclass(slots=True)
class Members:
    """The lease of this process and the view of the cell."""

    cfg: Settings
    store: StoreClient
    clock: Clock
    lease: str | None = None
    deadline_ms: int = -1
    draining: bool = False
    others: dict[MemberId, Member] = field(default_factory=dict)
    owner_keys: dict[PartitionId, MemberId] = field(default_factory=dict)

    @property
    def me(self) -> MemberId:
        """Return this process's name."""
        return MemberId(self.cfg.member)

    async def keep_lease(self) -> None:
        """Acquire and renew the process lease for ever."""
        while True:
            try:
                await self._renew_or_register()
            except StoreError as exc:
                _log.warning("lease not renewed", reason=str(exc))
            await asyncio.sleep(self.cfg.lease_renew_ms / 1000)

    def may_act(self) -> bool:
        """Tell whether what this process owns is still its own."""
        return self.clock.now_ms() < self.deadline_ms

    def preferred(self) -> dict[PartitionId, MemberId]:
        """Return who should own each partition."""
        names = {m.member for m in self.others.values() if not (m.status and m.status.draining)}
        if not self.draining:
            names.add(self.me)
        return preferred_owners(names, self.cfg.partitions)

    def apply(self, key: str, value: str | None) -> None:
        """Take in a change of a ``members/`` or ``owners/`` key."""
        if key.startswith(MEMBER_PREFIX):
            self._apply_member(MemberId(key.removeprefix(MEMBER_PREFIX)), value)
        elif key.startswith(OWNER_PREFIX):
            partition = PartitionId(int(key.removeprefix(OWNER_PREFIX)))
            if value is None:
                self.owner_keys.pop(partition, None)
            else:
                self.owner_keys[partition] = MemberId(orjson.loads(value)["member"])

    def owner_of(self, partition: PartitionId) -> OwnerInfo | None:
        """Return the newest active owner that a member has announced."""
        best: OwnerInfo | None = None
        for other in self.others.values():
            for owned in other.status.owned if other.status else ():
                if owned.partition == partition and (best is None or owned.epoch > best.epoch):
                    best = OwnerInfo(other.member, Epoch(owned.epoch), owned.active)
        return best

    async def _renew_or_register(self) -> None:
        sent_ms = self.clock.now_ms()
        if self.lease is not None and await self.store.renew_lease(self.lease):
            self._extend(sent_ms)
            return
        self.lease = None
        sent_ms = self.clock.now_ms()
        lease = await self.store.grant_lease(self.cfg.lease_ttl_ms)
        record = {
            "address": f"{self.cfg.host}:{self.cfg.peer_port}",
            "failure_domain": self.cfg.failure_domain,
            "lease": lease,
        }
        key = MEMBER_PREFIX + self.me
        old = await self.store.get(key)
        if await self.store.cas(key, orjson.dumps(record).decode(), old.version, lease):
            self.lease = lease
            self._extend(sent_ms)
            _log.info("registered", lease=lease)

    def _extend(self, sent_ms: int) -> None:
        self.deadline_ms = sent_ms + self.cfg.lease_ttl_ms - self.cfg.lease_margin_ms

    def _apply_member(self, name: MemberId, value: str | None) -> None:
        if name == self.me:
            return
        if value is None:
            self.others.pop(name, None)
            return
        raw = orjson.loads(value)
        known = self.others.get(name)
        if known is None or known.address != raw["address"]:
            self.others[name] = Member(name, raw["address"], raw["failure_domain"])
