"""One process of the cell: job API, advice requests, and leader while it holds the lease."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from random import choice, shuffle

from returns.result import Failure

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.errors import CODES_BY_NUMBER, Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import MemberId, QueueId, WorkerId
from lagoonshelf_core.jobs.cold_starts import ColdStarts
from lagoonshelf_core.jobs.job_memory import MemoryReport
from lagoonshelf_core.jobs.outage_retry import retry_after_outage_s
from lagoonshelf_core.jobs.progress import JobState
from lagoonshelf_core.jobs.spec import JobId, JobSpec, decode_job
from lagoonshelf_server.jobs.config_view import ConfigView
from lagoonshelf_server.jobs.heartbeats import (
    SMALL_HOST_CLAIM_DELAY_MS,
    Heartbeats,
    NodeSettings,
)
from lagoonshelf_server.jobs.job_api import JobApi, LeaderClient, WriteOutcome
from lagoonshelf_server.jobs.keys import SECRET
from lagoonshelf_server.jobs.leader import Leader, Ports
from lagoonshelf_server.jobs.leader_lease import MAX_OUTAGE_MS, LeaderLease
from lagoonshelf_server.jobs.overload_gate import Forecasts
from lagoonshelf_server.jobs.ports import (
    ABSENT,
    AdvicePort,
    Committed,
    NoAnswerError,
    Put,
    StoreRevision,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.jobs.where import answer_where, check_may_answer, decode_question
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import (
    Ack,
    Advice,
    AdviceAsk,
    Body,
    ConfigCopy,
    ConfigCopyAsk,
    Hello,
    JobRecord,
    JobRef,
    JobStateReply,
    Permit,
    Relayed,
    WhereText,
)
from lagoonshelf_server.peers import (
    PeerLostError,
    PeerNet,
    PeerUnreachableError,
    hello_proof,
)

STATE_TIMEOUT_S = 0.4
CONFIG_COPY_TIMEOUT_S = 0.4
ANNOUNCE_TIMEOUT_S = 0.5
ANNOUNCE_ATTEMPTS = 4
# Pauses between the announcements of a cancellation grow up to this.
MAX_ANNOUNCE_PAUSE_S = 0.8
RELAY_TIMEOUT_S = 1.5
RELAY_WRITE_MS = 1_200
ADVICE_TIMEOUT_S = 2.8
MAX_RELAYS = 2
WHERE_TIMEOUT_S = 2.0
# Pause before each question where a job would start: it costs the leader about as much as a pass.
WHERE_PAUSE_S = 0.1
# Reported queue counts may be at most 2 s old.
PENDING_MAX_AGE_MS = 1_900
RETRY_S = 0.1
DEFAULT_RETRY_AFTER_S = 1
# Without confirmation of the configuration for this long, new clients are better served elsewhere.
# In a shorter outage of the store they are no better off, and a refusal tells them when to return.
READY_MAX_AGE_MS = 5_000
# Pause before a main loop that failed unexpectedly runs again.
LOOP_RESTART_S = 0.5

_log = logger("node")


class Node:
    """All components of one server process."""

    def __init__(
        self, cfg: NodeSettings, ports: Ports, advice: AdvicePort | None, clock: Clock
    ) -> None:
        """Set up without starting; ``start`` starts the loops."""
        self._cfg = cfg
        self._ports = ports
        self._advice = advice
        self._clock = clock
        self._net: PeerNet | None = None
        self._tasks: list[asyncio.Task] = []
        self._leader: Leader | None = None
        self._advice_lock = asyncio.Lock()
        self._where_lock = asyncio.Lock()
        self.is_draining = False
        self.config = ConfigView(ports.store, ports.codec, clock, cfg.config_max_age_ms)
        self.config.fetch_copy = self._fetch_config
        self.leader_lease = LeaderLease(ports.store, clock, cfg.member, cfg.address)
        if not cfg.suits_leader:
            self.leader_lease.claim_delay_ms = SMALL_HOST_CLAIM_DELAY_MS
        leader_client = LeaderClient(
            self._announce, self._announce_cancel, self._state, self._relay
        )
        self.job_api = JobApi(ports.store, clock, leader_client)
        self.heartbeats = Heartbeats(
            cfg, ports.store, clock, self.leader_lease, self.job_api, self.config
        )
        self.heartbeats.overload_gate.own_forecast = self._own_forecasts
        self.heartbeats.overload_gate.own_memory = self._own_memory
        self.job_api.find_refusal = self.heartbeats.overload_gate.find_refusal
        self.leader_lease.is_outage = self.heartbeats.is_store_troubled_for_all

    async def start(self) -> None:
        """Start all loops and return immediately."""
        for loop in (
            self.config.poll,
            self.config.watch,
            self.leader_lease.watch,
            self.leader_lease.poll,
            self.leader_lease.campaign,
            self.leader_lease.renew,
            self.heartbeats.lag.run,
            self._join,
            self._lead,
        ):
            self._tasks.append(asyncio.ensure_future(self._run_forever(loop)))

    def is_ready(self) -> bool:
        """Return whether new clients should be routed to this process."""
        is_usable = self.config.is_known and self.config.age_ms() < READY_MAX_AGE_MS
        return not self.is_draining and is_usable and self._net is not None

    def pending(self, queue: QueueId) -> int | None:
        """Return the number of jobs in a queue that have not started, ``None`` if outdated."""
        leader = self._leader
        if leader is not None and leader.may_answer():
            return leader.pending_by_queue().get(queue, 0)
        age_ms = self._clock.now_ms() - self.job_api.pending_at_ms
        if not self.job_api.pending_at_ms or age_ms > PENDING_MAX_AGE_MS:
            return None
        return self.job_api.pending.get(queue, 0)

    def _own_forecasts(self) -> Forecasts | None:
        leader = self._leader
        return None if leader is None else leader.forecasts()

    def _own_memory(self) -> MemoryReport | None:
        leader = self._leader
        return leader.memory_report() if leader is not None and leader.may_answer() else None

    def retry_after_s(self, spec: JobSpec) -> int:
        """Return when a job that could not be stored should be submitted again."""
        queue = self.config.current.queues.get(spec.queue)
        if queue is None or not self._cfg.options.spreads_outage_retries:
            return DEFAULT_RETRY_AFTER_S
        return retry_after_outage_s(spec, queue, self.job_api.outage_ms())

    async def drain(self) -> None:
        """Offer the leader lease and stop claiming it; clients are still served."""
        self.is_draining = self.heartbeats.is_draining = True
        self.leader_lease.is_candidate = False
        await self._prepare_hand_over()
        await self.leader_lease.offer()

    async def leave(self) -> None:
        """Release the leader lease if no other member has claimed it."""
        await self._prepare_hand_over()
        await self.leader_lease.release()

    async def _prepare_hand_over(self) -> None:
        if self._leader is not None:
            await self._leader.prepare_hand_over()

    # Loops

    async def _run_forever(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a main loop, and again after an unexpected error, which must not end the process."""
        while True:
            try:
                await loop()
            except Exception:
                _log.critical(
                    "main loop of the process failed", loop=loop.__qualname__, exc_info=True
                )
            await asyncio.sleep(LOOP_RESTART_S)

    async def _join(self) -> None:
        """Get the secret of the cell, open the peer port, and send heartbeats."""
        if self._net is None:
            secret = await self._read_secret()
            cfg = self._cfg
            proof = hello_proof(secret, cfg.member)
            hello = Hello(cfg.member, proof, cfg.address, cfg.failure_domain)
            net = PeerNet(hello, secret, self._handle, cfg.max_handshakes)
            await net.listen(cfg.host, cfg.peer_port)
            self._net = net
            _log.info("peer port open", address=cfg.address)
        await self.heartbeats.run(self._net, self._is_leading)

    def _is_leading(self) -> bool:
        leader = self._leader
        if leader is not None:
            leader.advice_router.record_heartbeat(self._cfg.member, self._request_advice)
        return leader is not None

    async def _read_secret(self) -> str:
        """Return the secret that all members share; the first member creates it."""
        while True:
            try:
                item = await self._ports.store.read(SECRET)
                if item is not None:
                    return item.value.decode()
                created = secrets.token_hex(16)
                result = await self._ports.store.commit(
                    {SECRET: ABSENT}, [Put(SECRET, created.encode())]
                )
                if isinstance(result, Committed):
                    return created
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.info("secret not read", reason=str(exc))
                await asyncio.sleep(RETRY_S)

    async def _lead(self) -> None:
        """Run a leader term whenever the lease is acquired."""
        while True:
            await self.leader_lease.acquired.wait()
            leader = Leader(
                self._ports, self.leader_lease, self.config, self._clock, self._cfg.options
            )
            leader.cell.max_capacity_age_ms = self._cfg.capacity_max_age_ms
            leader.cancel_ms = self._cfg.cancel_ms
            leader.evacuate_ms = self._cfg.evacuate_ms
            leader.cell.cold_starts = ColdStarts(self._cfg.cold_overage, self._cfg.cold_slack)
            leader.cell.max_registry_age_ms = self._cfg.registry_max_age_ms
            leader.is_store_troubled = self.heartbeats.is_store_troubled_for_all
            leader.host_memory_mb = self.heartbeats.smallest_memory_mb
            leader.is_store_down = self.heartbeats.is_store_down_for_all
            leader.advice_router.record_heartbeat(self._cfg.member, self._request_advice)
            self._leader = leader
            await leader.run()
            self._leader = None
            _log.info("term ended", seat=self.leader_lease.revision)

    # Calls to the leader

    async def _call_leader(self, kind: str, body: Body, timeout_s: float) -> Body:
        record = self.leader_lease.record
        if record is None or not record.address or self._net is None:
            raise ConnectionError("no leader is known")
        if record.member == self._cfg.member:
            raise ConnectionError("this process is not ready to lead the cell")
        return await self._net.call(record.address, kind, body, timeout_s)

    async def _fetch_config(self, revision: StoreRevision) -> ConfigCopy | None:
        """Return the configuration of the leader or, without an answer, of another member.

        :param revision: revision of the configuration that is known here
        """
        addresses = self.heartbeats.relay_addresses()
        if self._net is None or not addresses:
            return None
        for address in dict.fromkeys((addresses[0], choice(addresses))):
            try:
                body = ConfigCopyAsk(revision)
                reply = await self._net.call(address, "configCopyAsk", body, CONFIG_COPY_TIMEOUT_S)
            except PeerLostError as exc:
                _log.info("no copy of the configuration", member=address, reason=str(exc))
                continue
            if isinstance(reply, ConfigCopy) and reply.revision:
                return reply
        return None

    async def _announce(self, job: JobId, record: str, created: StoreRevision) -> None:
        body = JobRecord(job, record, created)
        for _ in range(ANNOUNCE_ATTEMPTS):
            leader = self._leader
            if leader is not None and leader.is_ready:
                _accept_record(leader, body)
                return
            try:
                reply = await self._call_leader("jobAccepted", body, ANNOUNCE_TIMEOUT_S)
                if isinstance(reply, Ack) and reply.code == ResultCode.DONE.number:
                    return
            except (ConnectionError, PeerLostError) as exc:
                _log.debug(
                    "accepted job not announced to the leader", request=job, reason=str(exc)
                )
            await asyncio.sleep(RETRY_S)
        _log.info("job not announced", request=job, attempts=ANNOUNCE_ATTEMPTS)

    async def _announce_cancel(self, job: JobId) -> None:
        """Announce a cancellation until a leader confirms it.

        A leader that works without the store learns of it in no other way.
        """
        deadline_ms, pause_s = self._clock.now_ms() + MAX_OUTAGE_MS, RETRY_S
        while self._clock.now_ms() < deadline_ms:
            leader = self._leader
            if leader is not None:
                leader.cancel(job)
                return
            try:
                reply = await self._call_leader("jobCancelled", JobRef(job), ANNOUNCE_TIMEOUT_S)
                if isinstance(reply, Ack) and reply.code == ResultCode.DONE.number:
                    return
            except (ConnectionError, PeerLostError) as exc:
                _log.debug(
                    "cancellation not announced to the leader", request=job, reason=str(exc)
                )
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_ANNOUNCE_PAUSE_S)
        _log.info("cancellation not announced", request=job, tried_ms=MAX_OUTAGE_MS)

    async def _state(self, job: JobId) -> JobState | None:
        leader = self._leader
        if leader is not None:
            return leader.state(job) if leader.may_answer() else None
        try:
            reply = await self._call_leader("jobStateAsk", JobRef(job), STATE_TIMEOUT_S)
        except PeerLostError as exc:
            raise ConnectionError(str(exc)) from exc
        if not isinstance(reply, JobStateReply) or not reply.state:
            return None
        return JobState(reply.state)

    async def _relay(self, job: JobId, record: str) -> WriteOutcome:
        """Request a write from the leader, or from another member if the leader cannot."""
        addresses = self.heartbeats.relay_addresses()
        if self._net is None or not addresses:
            raise ConnectionError("no other member is known")
        others = addresses[1:]
        shuffle(others)
        for address in [addresses[0], *others[:MAX_RELAYS]]:
            written = await self._relay_to(address, job, record)
            if written is not WriteOutcome.UNAVAILABLE:
                return written
        return WriteOutcome.UNAVAILABLE

    async def _relay_to(self, address: str, job: JobId, record: str) -> WriteOutcome:
        kind = "relayJob" if record else "relayCancel"
        body: Body = JobRecord(job, record) if record else JobRef(job)
        try:
            reply = await self._net.call(address, kind, body, RELAY_TIMEOUT_S)
        except PeerUnreachableError as exc:
            _log.info("write not relayed", request=job, member=address, reason=str(exc))
            return WriteOutcome.UNAVAILABLE
        except PeerLostError:
            return WriteOutcome.UNCERTAIN
        return (
            WriteOutcome(reply.outcome) if isinstance(reply, Relayed) else WriteOutcome.UNAVAILABLE
        )

    async def where(self, job: bytes) -> str:
        """Return where a described job would start, as the leader reports it.

        :raises LagoonshelfError: when the description is not valid, or no leader answers
        """
        spec = decode_question(job)
        async with self._where_lock:
            await asyncio.sleep(WHERE_PAUSE_S)
            leader = self._leader
            if leader is not None:
                return answer_where(leader, spec, self.config.age_ms(), self._clock.now_ms())
            try:
                body = WhereText(job.decode())
                reply = await self._call_leader("whereAsk", body, WHERE_TIMEOUT_S)
            except (ConnectionError, PeerLostError) as exc:
                fault = Fault(ResultCode.NO_OWNER, f"no leader can be reached: {exc}")
                raise LagoonshelfError(fault) from exc
        if isinstance(reply, Ack):
            code = CODES_BY_NUMBER.get(reply.code, ResultCode.INTERNAL)
            raise LagoonshelfError(Fault(code, reply.message))
        return reply.text

    # Advice

    async def _request_advice(
        self, step: str, workers: tuple[WorkerId, ...]
    ) -> dict[WorkerId, str]:
        if self._advice is None:
            raise NoAnswerError("no placement policy is set")
        async with self._advice_lock:
            return await self._advice.request_advice(step, workers)

    def _advice_via(self, address: str) -> object:
        async def request(step: str, workers: tuple[WorkerId, ...]) -> dict[WorkerId, str]:
            try:
                body = AdviceAsk(step, tuple(workers))
                reply = await self._net.call(address, "adviceAsk", body, ADVICE_TIMEOUT_S)
            except PeerLostError as exc:
                raise NoAnswerError(str(exc)) from exc
            if not isinstance(reply, Advice) or not reply.is_answered:
                raise NoAnswerError(f"{address}: no placement advice")
            return {WorkerId(row.worker): row.permit for row in reply.permits}

        return request

    # Messages from other members

    async def _handle(self, member: MemberId, kind: str, body: Body) -> tuple[str, Body]:
        if kind == "pulse":
            request_advice = self._advice_via(body.address)
            return "pulseReply", self.heartbeats.answer(member, body, self._leader, request_advice)
        if kind == "configCopyAsk":
            return "configCopy", self.config.copy(body.revision)
        if kind == "adviceAsk":
            return "advice", await self._on_advice(body)
        if kind in ("relayJob", "relayCancel"):
            return "relayed", await self._on_relay(body)
        leader = self._leader
        if leader is not None and kind == "jobCancelled":
            # Also in a takeover, which may have read the cancellations already.
            leader.cancel(JobId(body.job))
            return "ack", Ack(ResultCode.DONE.number, "")
        if leader is None or not leader.is_ready:
            raise LagoonshelfError(Fault(ResultCode.NO_OWNER, "this process holds no cell"))
        if kind in ("jobStateAsk", "whereAsk"):
            return self._answer_question(leader, kind, body)
        if kind == "jobAccepted":
            _accept_record(leader, body)
        else:
            raise LagoonshelfError(Fault(ResultCode.PROTOCOL, f"unexpected message {kind}"))
        return "ack", Ack(ResultCode.DONE.number, "")

    def _answer_question(
        self, leader: Leader, kind: str, body: JobRef | WhereText
    ) -> tuple[str, Body]:
        check_may_answer(leader)
        if kind == "whereAsk":
            spec, now_ms = decode_question(body.text), self._clock.now_ms()
            report = answer_where(leader, spec, self.config.age_ms(), now_ms)
            return "whereReply", WhereText(report)
        state = leader.state(JobId(body.job))
        return "jobState", JobStateReply(True, "" if state is None else state.value)

    async def _on_advice(self, body: AdviceAsk) -> Advice:
        try:
            permits = await self._request_advice(body.step, tuple(map(WorkerId, body.workers)))
        except NoAnswerError as exc:
            _log.info("no placement advice", step=body.step, reason=str(exc))
            return Advice(False)
        return Advice(True, tuple(Permit(name, text) for name, text in permits.items()))

    async def _on_relay(self, body: JobRecord | JobRef) -> Relayed:
        """Write for a member that cannot reach the store."""
        deadline_ms = self._clock.now_ms() + RELAY_WRITE_MS
        job = JobId(body.job)
        if self._ports.store.is_failing():
            # The sender may ask another member in the time that a probe would take.
            written = WriteOutcome.UNAVAILABLE
        elif isinstance(body, JobRecord):
            record = body.record.encode()
            written = await self.job_api.store_job(job, record, deadline_ms)
        else:
            written = await self.job_api.store_cancel(job, deadline_ms)
        _log.info("relayed", request=job, outcome=written.value)
        return Relayed(written.value)


def _accept_record(leader: Leader, body: JobRecord) -> None:
    """Pass a stored job on to the leader.

    :raises LagoonshelfError: if the record cannot be decoded
    """
    result = decode_job(body.record.encode())
    if isinstance(result, Failure):
        raise LagoonshelfError(result.failure())
    leader.accept(result.unwrap(), StoreRevision(body.created))
