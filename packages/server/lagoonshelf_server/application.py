"""Composition of the daemon process: wiring of its components and background loops."""

import asyncio
from contextlib import suppress

from returns.result import Failure, Result, Success

from lagoonshelf_core.authorization import authorize_key, authorize_work
from lagoonshelf_core.clock import Clock
from lagoonshelf_core.errors import CODES_BY_NUMBER, Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import KeyId, MemberId, PartitionId, QueueId, TeamId
from lagoonshelf_core.keys import ClientIdentity, authenticate
from lagoonshelf_core.model import WorkKind
from lagoonshelf_server import metrics
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.config_sync import ConfigSync
from lagoonshelf_server.drain import Drain
from lagoonshelf_server.gossip import Gossip
from lagoonshelf_server.http_api import ApiBackend
from lagoonshelf_server.members import Members
from lagoonshelf_server.messages import (
    Ack,
    Answer,
    Body,
    ConfigAsk,
    ConfigReply,
    Hello,
    RequestRef,
    Status,
    Submit,
)
from lagoonshelf_server.owner import Owner, OwnerState
from lagoonshelf_server.partition_calls import PartitionCalls
from lagoonshelf_server.partition_claims import PartitionClaims
from lagoonshelf_server.partition_count import check_partition_count
from lagoonshelf_server.peers import PeerNet, hello_proof
from lagoonshelf_server.request_router import RequestRouter, answer_of_fault
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.store import StoreClient, StoreError
from lagoonshelf_server.store_watcher import StoreWatcher
from lagoonshelf_server.worker_client import WorkerClient

IO_THREADS = 128
STALE_RETRY_MS = 1000
STORE_RETRY_MS = 2000
STORE_UNREACHABLE_MS = 3000  # answers of a slow store may be more than 1500 ms apart


class Application:
    """One daemon process."""

    def __init__(self, cfg: Settings, loop: asyncio.AbstractEventLoop) -> None:
        """Create the components without starting them."""
        self.cfg = cfg
        self.clock = Clock()
        self.bridge = Bridge(loop, IO_THREADS)
        self.store = StoreClient(cfg.store_url, self.bridge, self.clock.now_ms, cfg.member)
        self.workers = WorkerClient(self.bridge)
        self.members = Members(cfg, self.store, self.clock)
        self.config = ConfigSync(
            self.store, self.clock, self.members.view, cfg.fresh_ms, self.bridge.spawn
        )
        hello = Hello(
            cfg.member,
            hello_proof(cfg.cluster_secret, cfg.member),
            f"{cfg.host}:{cfg.peer_port}",
            cfg.failure_domain,
        )
        self.net = PeerNet(hello, cfg.cluster_secret, self._on_message)
        self.owners: dict[PartitionId, Owner] = {}
        self.calls = PartitionCalls(self.members, self.net, self.owners)
        self.request_router = RequestRouter(
            cfg, self.clock, self.members, self.net, self._active_owner, self._authorize
        )
        self.claims = PartitionClaims(
            self.clock,
            self.bridge,
            self.store,
            self.members,
            self.owners,
            self._create_owner,
            lambda: self._drain.may_claim(),
        )
        self.gossip = Gossip(
            cfg,
            self.clock,
            self.bridge,
            self.members,
            self.config,
            self.net,
            self.owners,
            self.claims.drop,
        )
        self.watch = StoreWatcher(self.store, self.members, self.config, self.owners)
        self.stopped = asyncio.Event()
        self.fault: Fault | None = None
        self._lease_task: asyncio.Task | None = None
        self._drain = Drain(
            cfg,
            self.store,
            self.members,
            self.owners,
            self.request_router,
            self._stop_lease,
            self.stopped,
        )

    async def start(self) -> None:
        """Listen for peers and start the background loops."""
        await self.net.listen(self.cfg.host, self.cfg.peer_port)
        self.bridge.spawn(self.watch.follow_forever())
        self.bridge.spawn(self.watch.follow_hosts(self.cfg.hosts_ms / 1000))
        self.bridge.spawn(self.config.poll_forever())
        self.bridge.spawn(self.gossip.ping_forever())
        self.bridge.spawn(self._join_cell())

    async def drain(self) -> None:
        """Finish pending requests, release all partitions, and let the process exit."""
        await self._drain.run()

    def _stop_lease(self) -> None:
        if self._lease_task is not None:
            self._lease_task.cancel()

    def backend(self) -> ApiBackend:
        """Return the operations that the HTTP API may call."""
        return ApiBackend(
            self._authenticate,
            self._submit,
            self.request_router.cancel,
            self.request_router.lookup,
            self._get_config,
            self._put_config,
            self._dump_state,
            self._render_metrics,
            self._begin_drain,
            self._healthy,
        )

    async def _join_cell(self) -> None:
        """Register and claim partitions once the configured partition count has been verified."""
        checked = await check_partition_count(self.store, self.cfg.partitions)
        if isinstance(checked, Failure):
            self.fault = checked.failure()
            self.stopped.set()
            return
        self._lease_task = self.bridge.spawn(self.members.keep_lease())
        self.bridge.spawn(self.claims.claim_forever())

    def _healthy(self) -> bool:
        fresh = self.config.remaining_fresh_ms() > 0
        return fresh and self.config.revision > 0 and not self.members.draining

    def _check_fresh(self) -> None:
        if self.config.remaining_fresh_ms() == 0:
            text = f"configuration revision {self.config.revision} may be out of date"
            raise LagoonshelfError(Fault(ResultCode.CONFIG_STALE, text, STALE_RETRY_MS))

    async def _authenticate(self, key: str | None) -> ClientIdentity:
        self._check_fresh()
        result = authenticate(self.config.document, key)
        if isinstance(result, Failure):
            raise LagoonshelfError(result.failure())
        return result.unwrap()

    async def _authorize(self, body: Submit | RequestRef) -> None:
        """Authorize a request as its owner, without relying on the check by another member.

        The API process may know a key or queue that this process does not know yet, so the
        configuration is read again before the request is refused.

        :raises LagoonshelfError: if the request is not allowed
        """
        self._check_fresh()
        self._check_store(body)
        if isinstance(self._check_permission(body), Success):
            return
        with suppress(StoreError):
            await self.config.refresh()
        result = self._check_permission(body)
        if isinstance(result, Failure):
            raise LagoonshelfError(result.failure())

    def _check_store(self, body: Submit | RequestRef) -> None:
        """Refuse a request that needs the journal while the store cannot be reached."""
        if not isinstance(body, Submit) or self.store.reached(STORE_UNREACHABLE_MS):
            return
        if body.kind != WorkKind.INTERACTIVE.value or not body.repeatable:
            text = "the work needs the store, which cannot be reached"
            raise LagoonshelfError(Fault(ResultCode.STORE_UNAVAILABLE, text, STORE_RETRY_MS))

    def _check_permission(self, body: Submit | RequestRef) -> Result[None, Fault]:
        document, team, key = self.config.document, TeamId(body.team), KeyId(body.key_id)
        if isinstance(body, Submit):
            return authorize_work(document, team, key, QueueId(body.queue))
        return authorize_key(document, team, key)

    async def _authorize_and_submit(self, submit: Submit) -> Answer:
        result = self._check_permission(submit)
        if isinstance(result, Failure):
            return answer_of_fault(result.failure())
        return await self.request_router.submit(submit)

    async def _submit(self, submits: list[Submit]) -> list[Answer]:
        answers = await asyncio.gather(*(self._authorize_and_submit(submit) for submit in submits))
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

    async def _dump_state(self) -> dict:
        return {
            "member": self.cfg.member,
            "revision": self.config.revision,
            "fresh_ms": self.config.remaining_fresh_ms(),
            "store_reached": self.members.reaches_store(),
            "may_act": self.members.may_act(),
            "lease": self.members.lease,
            "members": sorted(self.members.others),
            "partitions": {
                str(partition): {
                    "epoch": owner.epoch,
                    "state": owner.state.value,
                    "records": len(owner.record_table.records),
                    "queued": owner.scheduler.queue_length(),
                    "tasks": len(owner.scheduler.tasks),
                }
                for partition, owner in self.owners.items()
            },
        }

    async def _render_metrics(self) -> tuple[bytes, str]:
        metrics.revision.set({}, self.config.revision)
        for number in range(self.cfg.partitions):
            owner = self.owners.get(PartitionId(number))
            labels = {"partition": str(number)}
            metrics.queued.set(labels, owner.scheduler.queue_length() if owner else 0)
            metrics.running.set(labels, owner.running_count() if owner else 0)
        return metrics.render_page()

    async def _begin_drain(self) -> None:
        self.bridge.spawn(self.drain())

    def _active_owner(self, partition: PartitionId) -> Owner | None:
        owner = self.owners.get(partition)
        return owner if owner and owner.state is OwnerState.ACTIVE else None

    def _create_owner(self, partition: PartitionId) -> Owner:
        return Owner(
            self.cfg,
            partition,
            self.clock,
            self.bridge,
            self.store,
            self.workers,
            self.members,
            self.config,
            self.calls,
        )

    async def _on_message(self, member: MemberId, kind: str, body: Body) -> tuple[str, Body]:
        if kind == "ping" and isinstance(body, Status):
            return "pong", self.gossip.on_ping(member, body)
        if isinstance(body, Submit | RequestRef):
            return "answer", await self.request_router.handle(kind, body)
        if self.calls.handles(body):
            return await self.calls.handle(body)
        if isinstance(body, ConfigAsk):
            return "configReply", ConfigReply(
                self.config.revision, self.config.changes_after(body.revision)
            )
        return "ack", Ack(ResultCode.PROTOCOL.number, f"unexpected message {kind}")
