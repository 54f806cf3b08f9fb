"""Puts the parts of the daemon together and runs its loops."""

import asyncio

import orjson
from lagoonshelf_core.clock import Clock
from lagoonshelf_core.errors import CODES_BY_NUMBER, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import MemberId, PartitionId
from lagoonshelf_core.keys import Caller, authenticate
from returns.result import Failure

from lagoonshelf_server import metrics
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.config_sync import ConfigSync
from lagoonshelf_server.drain import Drain
from lagoonshelf_server.entry import Services
from lagoonshelf_server.logs import logger
from lagoonshelf_server.members import Members
from lagoonshelf_server.messages import (
    Ack,
    Answer,
    Body,
    ConfigAsk,
    ConfigReply,
    Hello,
    Owned,
    RequestRef,
    Status,
    Submit,
)
from lagoonshelf_server.owner import Owner, OwnerState
from lagoonshelf_server.peers import PeerLostError, PeerNet, hello_proof
from lagoonshelf_server.requests import Requests
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.store import StoreClient, StoreError, writer_token
from lagoonshelf_server.workers import WorkerClient

IO_THREADS = 128
RETRY_S = 0.3
CLAIM_INTERVAL_S = 0.2
UNPREFERRED_CLAIM_MS = 1000
WATCHED = ["members/", "owners/", "config/"]
_log = logger("application")


class Application:
    """One daemon process."""

    def __init__(self, cfg: Settings, loop: asyncio.AbstractEventLoop) -> None:
        """Build the parts; nothing runs yet."""
        self.cfg = cfg
        self.clock = Clock()
        self.bridge = Bridge(loop, IO_THREADS)
        self.store = StoreClient(cfg.store_url, self.bridge, self.clock.now_ms, cfg.member)
        self.workers = WorkerClient(self.bridge)
        self.config = ConfigSync(self.store)
        self.members = Members(cfg, self.store, self.clock)
        hello = Hello(
            cfg.member,
            hello_proof(cfg.cluster_secret, cfg.member),
            f"{cfg.host}:{cfg.peer_port}",
            cfg.failure_domain,
        )
        self.net = PeerNet(hello, cfg.cluster_secret, self._on_message)
        self.owners: dict[PartitionId, Owner] = {}
        self.requests = Requests(cfg, self.clock, self.members, self.net, self._active_owner)
        self.stopped = asyncio.Event()
        self._free_since_ms: dict[PartitionId, int] = {}
        self._keeping_lease: asyncio.Task | None = None
        self._drain = Drain(
            cfg,
            self.store,
            self.members,
            self.owners,
            self.requests,
            self._stop_lease,
            self.stopped,
        )

    async def start(self) -> None:
        """Begin to listen to peers and run the loops."""
        await self.net.listen(self.cfg.host, self.cfg.peer_port)
        self._keeping_lease = self.bridge.spawn(self.members.keep_lease())
        self.bridge.spawn(self._watch_forever())
        self.bridge.spawn(self._ping_forever())
        self.bridge.spawn(self._claim_forever())
        self.bridge.spawn(self._hosts_forever())

    async def drain(self) -> None:
        """Finish what callers wait for, hand all partitions over, and let the process end."""
        await self._drain.run()

    def _stop_lease(self) -> None:
        if self._keeping_lease is not None:
            self._keeping_lease.cancel()

    def services(self) -> Services:
        """Return what the HTTP entry may call."""
        return Services(
            self._authenticate,
            self._submit,
            self.requests.cancel,
            self.requests.lookup,
            self._get_config,
            self._put_config,
            self._dump,
            self._metrics,
            self._begin_drain,
            lambda: not self.members.draining and self.config.revision > 0,
        )

    async def _authenticate(self, key: str | None) -> Caller:
        result = authenticate(self.config.document, key)
        if isinstance(result, Failure):
            raise LagoonshelfError(result.failure())
        return result.unwrap()

    async def _submit(self, submits: list[Submit]) -> list[Answer]:
        answers = await asyncio.gather(*(self.requests.submit(submit) for submit in submits))
        for answer in answers:
            metrics.answers.inc({"code": CODES_BY_NUMBER[answer.code].name})
        return answers

    async def _get_config(self) -> dict:
        return {"revision": self.config.revision, "document": self.config.raw}

    async def _put_config(self, base: int, raw: object) -> int:
        result = await self.config.propose(base, raw)
        if isinstance(result, Failure):
            raise LagoonshelfError(result.failure())
        return result.unwrap()

    async def _dump(self) -> dict:
        return {
            "member": self.cfg.member,
            "revision": self.config.revision,
            "lease": self.members.lease,
            "members": sorted(self.members.others),
            "partitions": {
                str(partition): {
                    "epoch": owner.epoch,
                    "state": owner.state.value,
                    "records": len(owner.book.records),
                    "queued": owner.scheduler.queue_length(),
                    "tasks": len(owner.scheduler.tasks),
                }
                for partition, owner in self.owners.items()
            },
        }

    async def _metrics(self) -> tuple[bytes, str]:
        metrics.revision.set({}, self.config.revision)
        return metrics.page()

    async def _begin_drain(self) -> None:
        self.bridge.spawn(self.drain())

    def _active_owner(self, partition: PartitionId) -> Owner | None:
        owner = self.owners.get(partition)
        return owner if owner and owner.state is OwnerState.ACTIVE else None

    async def _on_message(self, member: MemberId, kind: str, body: Body) -> tuple[str, Body]:
        if kind == "ping":
            self._hear(member, body)
            return "pong", self._status()
        if isinstance(body, Submit | RequestRef):
            return "answer", await self.requests.handle(kind, body)
        if isinstance(body, ConfigAsk):
            return "configReply", self._changes_after(body.revision)
        return "ack", Ack(ResultCode.PROTOCOL.number, f"unexpected message {kind}")

    def _changes_after(self, revision: int) -> ConfigReply:
        numbers = sorted(number for number in self.config.changes if number > revision)
        changes = tuple(self.config.changes[number] for number in numbers)
        return ConfigReply(self.config.revision, changes)

    def _status(self) -> Status:
        owned = tuple(
            Owned(
                partition,
                owner.epoch,
                owner.state is OwnerState.ACTIVE,
                owner.scheduler.free().cpu_milli,
                owner.scheduler.free().memory_mib,
                owner.scheduler.free().accelerators,
                owner.scheduler.free().slots,
                owner.scheduler.queue_length(),
            )
            for partition, owner in self.owners.items()
        )
        reached = self.clock.now_ms() - self.store.last_heard_ms < 1500
        return Status(
            self.cfg.member, self.config.revision, reached, 0, self.members.draining, owned
        )

    def _hear(self, name: MemberId, status: Status) -> None:
        member = self.members.others.get(name)
        if member is not None:
            member.status = status

    async def _ping_forever(self) -> None:
        while True:
            for member in list(self.members.others.values()):
                self.bridge.spawn(self._ping(member.member, member.address))
            await asyncio.sleep(self.cfg.ping_ms / 1000)

    async def _ping(self, name: MemberId, address: str) -> None:
        sent_ms = self.clock.now_ms()
        try:
            status = await self.net.call(address, "ping", self._status(), 1.0)
        except PeerLostError:
            return
        member = self.members.others.get(name)
        if member is not None and isinstance(status, Status):
            member.heard_ms, member.status = sent_ms, status
            if status.revision > self.config.revision:
                await self._fetch_config(address)

    async def _fetch_config(self, address: str) -> None:
        reply = await self.net.call(address, "configAsk", ConfigAsk(self.config.revision), 1.0)
        for change in reply.changes if isinstance(reply, ConfigReply) else ():
            self.config.apply(change)

    async def _watch_forever(self) -> None:
        revision = -1
        while True:
            try:
                if revision < 0:
                    revision = await self._read_all()
                answer = await self.store.watch(WATCHED, revision)
            except StoreError:
                await asyncio.sleep(RETRY_S)
                continue
            revision = -1 if answer.reset else answer.revision
            for event in answer.events:
                self._apply(event.key, event.value)

    async def _read_all(self) -> int:
        revision = None
        for prefix in WATCHED:
            items, seen = await self.store.list_keys(prefix)
            revision = seen if revision is None else min(revision, seen)
            for item in items:
                self._apply(item.key, item.value)
        return revision or 0

    def _apply(self, key: str, value: str | None) -> None:
        if key.startswith("config/"):
            if value is not None:
                self.config.apply(value)
        else:
            self.members.apply(key, value)

    async def _hosts_forever(self) -> None:
        while True:
            try:
                hosts = await self.store.hosts()
                for owner in self.owners.values():
                    owner.set_hosts(hosts)
            except StoreError:
                for owner in self.owners.values():
                    owner.hosts_tried()
            await asyncio.sleep(self.cfg.hosts_ms / 1000)

    async def _claim_forever(self) -> None:
        while True:
            await asyncio.sleep(CLAIM_INTERVAL_S)
            self._drop_lost()
            if self.members.may_act() and self._drain.may_claim():
                await self._claim_free()

    def _drop_lost(self) -> None:
        for partition, owner in list(self.owners.items()):
            lost = owner.state is OwnerState.LOST
            if lost or (self.members.may_act() and not owner.may_act()):
                _log.warning("partition lost", partition=partition)
                owner.close()
                del self.owners[partition]

    async def _claim_free(self) -> None:
        everywhere = dict.fromkeys(map(PartitionId, range(self.cfg.partitions)), self.members.me)
        preferred = self.members.preferred() or everywhere
        now_ms = self.clock.now_ms()
        for partition, member in preferred.items():
            if partition in self.members.owner_keys or partition in self.owners:
                self._free_since_ms.pop(partition, None)
                continue
            since = self._free_since_ms.setdefault(partition, now_ms)
            if member == self.members.me or now_ms - since > UNPREFERRED_CLAIM_MS:
                await self._claim(partition)

    async def _claim(self, partition: PartitionId) -> None:
        key = f"owners/{partition}"
        lease = self.members.lease
        body = {"member": self.members.me, "token": writer_token()}
        value = orjson.dumps(body).decode()
        if not await self._create_key(key, value, lease) or lease != self.members.lease:
            return
        owner = Owner(
            self.cfg,
            partition,
            self.clock,
            self.bridge,
            self.store,
            self.workers,
            self.members,
            self.config,
            value,
        )
        self.owners[partition] = owner
        self.bridge.spawn(owner.take_over())

    async def _create_key(self, key: str, value: str, lease: str | None) -> bool:
        """Create an owner key; after a lost answer the token tells whether it is ours."""
        try:
            return await self.store.cas(key, value, 0, lease)
        except StoreError:
            pass
        while lease == self.members.lease:
            await asyncio.sleep(CLAIM_INTERVAL_S)
            try:
                return (await self.store.get(key)).value == value
            except StoreError:
                continue
        return False
