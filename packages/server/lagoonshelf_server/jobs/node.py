"""One process of the cell: entry for callers, advisor, and holder when it has the seat."""

import asyncio
import secrets
from dataclasses import dataclass, replace
from random import choice, shuffle

from returns.result import Failure

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import FailureDomain, MemberId, QueueId, WorkerId
from lagoonshelf_core.jobs.progress import JobState
from lagoonshelf_core.jobs.spec import JobId, JobSpec, decode_job
from lagoonshelf_server.jobs.config_view import ConfigView
from lagoonshelf_server.jobs.front import Front, HolderLink, Written
from lagoonshelf_server.jobs.holder import Holder, Ports
from lagoonshelf_server.jobs.keys import SECRET
from lagoonshelf_server.jobs.lag import LoopLag
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
from lagoonshelf_server.jobs.seat import HolderView, Seat, SeatView
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import (
    Ack,
    Advice,
    AdviceAsk,
    Body,
    Hello,
    JobRecord,
    JobRef,
    JobStateReply,
    PeerState,
    Permit,
    Pulse,
    PulseReply,
    QueueCount,
    Relayed,
)
from lagoonshelf_server.peers import (
    PeerLostError,
    PeerNet,
    PeerUnreachableError,
    hello_proof,
)

PULSE_S = 0.25
PULSE_TIMEOUT_S = 0.5
# Refused connections in a row after which the holder's process is taken as dead.
DEAD_AFTER = 2
DEAD_RETRY_S = 0.05
STATE_TIMEOUT_S = 0.4
ANNOUNCE_TIMEOUT_S = 0.5
ANNOUNCE_TRIES = 4
RELAY_TIMEOUT_S = 1.5
RELAY_WRITE_MS = 1_200
ADVICE_TIMEOUT_S = 2.8
# Another member that heard the store so much later than the holder shows that the holder is cut
# off from it alone; in an outage nobody hears it later.
CUT_OFF_MS = 500
# A member that heard the store so lately is asked to write for this process.
RELAY_AGE_MS = 900
# Without an answer of the store for so long, other members are asked who holds the seat.
STORE_SILENT_MS = 700
# A store that failed or was slow so lately counts as troubled.
TROUBLE_MS = 1_000
MEMBER_HEARD_MS = 1_000
# Runs that were started without a record have been recorded or have lapsed after so long.
UNRECORDED_MS = 8_000
MAX_AGE_MS = 3_600_000
MAX_RELAYS = 2
# Counts of a queue may be 2 s old.
PENDING_MAX_AGE_MS = 1_900
RETRY_S = 0.1
# A host with fewer processors leaves the seat to others for a while, and offers it to a host with
# so many times its own. The holder of 176 workers takes about one core.
HOLDER_CORES_MILLI = 1_000
WEAK_CLAIM_DELAY_MS = 600
STRONGER = 1.5
OFFER_EACH_MS = 5_000
# A loop that runs so late is on a slow host, which should not hold the cell.
MAX_HOLDER_LAG_MS = 120.0

_log = logger("node")


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Who this process is and where others reach it.

    :param cores_milli: processors of this host, in thousandths
    """

    member: MemberId
    failure_domain: FailureDomain
    host: str
    peer_port: int
    cores_milli: int = HOLDER_CORES_MILLI

    @property
    def address(self) -> str:
        """Return the address for other members."""
        return f"{self.host}:{self.peer_port}"


class Node:
    """All parts of one process."""

    def __init__(
        self, cfg: NodeSettings, ports: Ports, advice: AdvicePort | None, clock: Clock
    ) -> None:
        """Set up; ``start`` begins to work."""
        self._cfg = cfg
        self._ports = ports
        self._advice = advice
        self._clock = clock
        self._net: PeerNet | None = None
        self._tasks: list[asyncio.Task] = []
        self._holder: Holder | None = None
        self._dead_pulses = 0
        self._started_ms = clock.now_ms()
        self._members: dict[MemberId, tuple[PeerState, int]] = {}
        self._troubled: dict[MemberId, tuple[bool, int]] = {}
        self._relays: tuple[PeerState, ...] = ()
        self._asks_others = False
        self._advice_lock = asyncio.Lock()
        self.is_draining = False
        self.lag = LoopLag()
        self.config = ConfigView(ports.store, ports.views, clock)
        self.seat = Seat(ports.store, clock, cfg.member, cfg.address)
        if cfg.cores_milli < HOLDER_CORES_MILLI:
            self.seat.claim_delay_ms = WEAK_CLAIM_DELAY_MS
        self._offered_ms = 0
        self.seat.is_outage = self._is_store_troubled_for_all
        link = HolderLink(self._announce, self._announce_cancel, self._state, self._relay)
        self.front = Front(ports.store, clock, link)

    async def start(self) -> None:
        """Start all loops; returns at once."""
        for coro in (
            self.config.poll(),
            self.config.watch(),
            self.seat.follow(),
            self.seat.contend(),
            self.seat.renew(),
            self.lag.run(),
            self._join(),
            self._hold(),
        ):
            self._tasks.append(asyncio.ensure_future(self._forever(coro)))

    def is_ready(self) -> bool:
        """Tell whether new callers should be sent here."""
        return not self.is_draining and self.config.is_known and self._net is not None

    def pending(self, queue: QueueId) -> int | None:
        """Return the number of jobs of a queue that have not started, none when too old."""
        holder = self._holder
        if holder is not None and holder.is_ready:
            return holder.cell.pending().get(queue, 0)
        age_ms = self._clock.now_ms() - self.front.pending_at_ms
        if not self.front.pending_at_ms or age_ms > PENDING_MAX_AGE_MS:
            return None
        return self.front.pending.get(queue, 0)

    async def drain(self) -> None:
        """Offer the seat and stop taking it; callers are still served."""
        self.is_draining = True
        self.seat.is_willing = False
        await self.seat.offer()

    async def leave(self) -> None:
        """Give the seat back if nobody has taken it."""
        await self.seat.release()

    # Loops

    async def _forever(self, coro: object) -> None:
        try:
            await coro
        except asyncio.CancelledError:
            raise
        except Exception:
            _log.critical("a loop of the process failed", exc_info=True)
            raise SystemExit(1) from None

    async def _join(self) -> None:
        """Find the cell's secret, open the peer port, and send signs of life."""
        secret = await self._read_secret()
        cfg = self._cfg
        proof = hello_proof(secret, cfg.member)
        hello = Hello(cfg.member, proof, cfg.address, cfg.failure_domain)
        net = PeerNet(hello, secret, self._handle)
        await net.listen(cfg.host, cfg.peer_port)
        self._net = net
        _log.info("peer port open", address=cfg.address)
        while True:
            started = asyncio.get_running_loop().time()
            pause_s = await self._pulse()
            passed_s = asyncio.get_running_loop().time() - started
            await asyncio.sleep(max(0.0, pause_s - passed_s))

    async def _read_secret(self) -> str:
        """Return the secret that all members share, made by the first one."""
        while True:
            try:
                item = await self._ports.store.read(SECRET)
                if item is not None:
                    return item.value.decode()
                made = secrets.token_hex(16)
                result = await self._ports.store.commit(
                    {SECRET: ABSENT}, [Put(SECRET, made.encode())]
                )
                if isinstance(result, Committed):
                    return made
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.info("secret not read", reason=str(exc))
                await asyncio.sleep(RETRY_S)

    async def _hold(self) -> None:
        """Run a term whenever the seat is taken."""
        while True:
            await self.seat.taken.wait()
            is_clear = self._is_clear()
            holder = Holder(self._ports, self.seat, self.config, self._clock, is_clear=is_clear)
            holder.is_store_troubled = self._is_store_troubled_for_all
            holder.advisors.heard(self._cfg.member, self._ask_here)
            self._holder = holder
            await holder.run()
            self._holder = None
            _log.info("term ended", seat=self.seat.revision)

    def _is_clear(self) -> bool:
        """Tell whether a predecessor has recorded all it started.

        It goes on without records only while no member has the store working as usual.
        """
        now_ms = self._clock.now_ms()
        since_ms = max(self._started_ms, self._ports.store.trouble_ms())
        return now_ms - since_ms > UNRECORDED_MS

    async def _pulse(self) -> float:
        """Send a sign of life to the holder; return the pause until the next one."""
        view = self.seat.view
        self.seat.is_willing = not self.is_draining and self.lag.mean_ms < MAX_HOLDER_LAG_MS
        holder = self._holder
        if holder is not None:
            holder.advisors.heard(self._cfg.member, self._ask_here)
            return PULSE_S
        address = self._pulse_address()
        if address is None:
            return PULSE_S
        is_to_holder = view is not None and address == view.address
        pulse = Pulse(
            self._cfg.member,
            self._cfg.address,
            self.seat.revision,
            self._store_age_ms(),
            self._is_store_troubled(),
            self._cfg.cores_milli,
        )
        try:
            reply = await self._net.call(address, "pulse", pulse, PULSE_TIMEOUT_S)
        except PeerLostError as exc:
            self._asks_others = True
            if not is_to_holder:
                return DEAD_RETRY_S
            is_refused = isinstance(exc, PeerUnreachableError) and "Refused" in str(exc)
            return self._not_answered(view.revision, is_refused=is_refused)
        if isinstance(reply, PulseReply):
            self._on_pulse_reply(reply, is_to_holder=is_to_holder)
        return PULSE_S

    def _pulse_address(self) -> str | None:
        """Return whom to send a sign of life: the holder, or others while it does not answer."""
        view = self.seat.view
        known = [state.address for state in self._relays]
        known += [state.address for state, _ in self._members.values()]
        others = [address for address in known if address != self._cfg.address]
        is_own = view is not None and view.member == self._cfg.member
        if view is not None and view.address and not is_own and not self._asks_others:
            return view.address
        self._asks_others = False
        if others and self._store_age_ms() > STORE_SILENT_MS:
            return choice(others)
        return None if view is None or not view.address or is_own else view.address

    def _on_pulse_reply(self, reply: PulseReply, *, is_to_holder: bool) -> None:
        if is_to_holder:
            self._dead_pulses = 0
        if reply.is_holder and reply.seat >= self.seat.revision:
            is_cut_off = reply.store_age_ms > self._store_age_ms() + CUT_OFF_MS
            self.seat.heard(HolderView.SILENT if is_cut_off else HolderView.ANSWERS, reply.seat)
            self._relays = reply.members
            if reply.is_ready:
                self.front.pending = {QueueId(row.queue): row.count for row in reply.pending}
                self.front.pending_at_ms = self._clock.now_ms()
        elif is_to_holder:
            # A process that started again at the holder's address does not hold the seat.
            self.seat.heard(HolderView.DEAD, self.seat.revision)
            self._asks_others = True
        if reply.holder:
            seat = StoreRevision(reply.seat)
            self.seat.told(SeatView(seat, MemberId(reply.holder), reply.holder_address))

    def _not_answered(self, seat: int, *, is_refused: bool) -> float:
        self._dead_pulses = self._dead_pulses + 1 if is_refused else 0
        is_dead = self._dead_pulses >= DEAD_AFTER
        view = HolderView.DEAD if is_dead else HolderView.SILENT
        self.seat.heard(view, seat)
        return DEAD_RETRY_S

    def _is_store_troubled(self) -> bool:
        return self._clock.now_ms() - self._ports.store.trouble_ms() < TROUBLE_MS

    def _is_store_troubled_for_all(self) -> bool:
        """Tell whether no member has the store working as usual.

        A process that hears no other member, though it knows some, cannot tell.
        """
        limit_ms = self._clock.now_ms() - MEMBER_HEARD_MS
        heard = [troubled for troubled, at_ms in self._troubled.values() if at_ms > limit_ms]
        is_alone = bool(self._troubled) and not heard
        return self._is_store_troubled() and all(heard) and not is_alone

    def _store_age_ms(self) -> int:
        """Return the time since the store last answered this process."""
        age_ms = self._clock.now_ms() - self._ports.store.last_answer_ms()
        return min(age_ms, MAX_AGE_MS)

    # Calls to the holder

    async def _call_holder(self, kind: str, body: Body, timeout_s: float) -> Body:
        view = self.seat.view
        if view is None or not view.address or self._net is None:
            raise ConnectionError("no holder is known")
        if view.member == self._cfg.member:
            raise ConnectionError("this process is not ready to hold the cell")
        return await self._net.call(view.address, kind, body, timeout_s)

    async def _announce(self, spec: JobSpec, record: str) -> None:
        for _ in range(ANNOUNCE_TRIES):
            holder = self._holder
            if holder is not None and holder.is_ready:
                holder.accept(spec)
                return
            try:
                body = JobRecord(spec.id, record)
                reply = await self._call_holder("jobAccepted", body, ANNOUNCE_TIMEOUT_S)
                if isinstance(reply, Ack) and reply.code == ResultCode.DONE.number:
                    return
            except (ConnectionError, PeerLostError) as exc:
                _log.debug("job not announced", request=spec.id, reason=str(exc))
            await asyncio.sleep(RETRY_S)

    async def _announce_cancel(self, job: JobId) -> None:
        for _ in range(ANNOUNCE_TRIES):
            holder = self._holder
            if holder is not None and holder.is_ready:
                holder.cancel(job)
                return
            try:
                reply = await self._call_holder("jobCancelled", JobRef(job), ANNOUNCE_TIMEOUT_S)
                if isinstance(reply, Ack) and reply.code == ResultCode.DONE.number:
                    return
            except (ConnectionError, PeerLostError) as exc:
                _log.debug("cancel not announced", request=job, reason=str(exc))
            await asyncio.sleep(RETRY_S)

    async def _state(self, job: JobId) -> JobState | None:
        holder = self._holder
        if holder is not None:
            return holder.state(job) if holder.is_ready else None
        try:
            reply = await self._call_holder("jobStateAsk", JobRef(job), STATE_TIMEOUT_S)
        except PeerLostError as exc:
            raise ConnectionError(str(exc)) from exc
        if not isinstance(reply, JobStateReply) or not reply.state:
            return None
        return JobState(reply.state)

    async def _relay(self, job: JobId, record: str) -> Written:
        """Have the holder write, or another member when the holder cannot."""
        view = self.seat.view
        addresses = [] if view is None or not view.address else [view.address]
        addresses += [state.address for state in self._relays if state.address not in addresses]
        addresses = [address for address in addresses if address != self._cfg.address]
        if self._net is None or not addresses:
            raise ConnectionError("no other member is known")
        others = addresses[1:]
        shuffle(others)
        for address in [addresses[0], *others[:MAX_RELAYS]]:
            written = await self._relay_to(address, job, record)
            if written is not Written.UNAVAILABLE:
                return written
        return Written.UNAVAILABLE

    async def _relay_to(self, address: str, job: JobId, record: str) -> Written:
        kind = "relayJob" if record else "relayCancel"
        body: Body = JobRecord(job, record) if record else JobRef(job)
        try:
            reply = await self._net.call(address, kind, body, RELAY_TIMEOUT_S)
        except PeerUnreachableError as exc:
            _log.info("not relayed", request=job, member=address, reason=str(exc))
            return Written.UNAVAILABLE
        except PeerLostError:
            return Written.UNCERTAIN
        return Written(reply.outcome) if isinstance(reply, Relayed) else Written.UNAVAILABLE

    # Advice

    async def _ask_here(self, step: str, workers: tuple[WorkerId, ...]) -> dict[WorkerId, str]:
        if self._advice is None:
            raise NoAnswerError("no placement policy is set")
        async with self._advice_lock:
            return await self._advice.ask(step, workers)

    def _ask_at(self, address: str) -> object:
        async def ask(step: str, workers: tuple[WorkerId, ...]) -> dict[WorkerId, str]:
            try:
                body = AdviceAsk(step, tuple(workers))
                reply = await self._net.call(address, "adviceAsk", body, ADVICE_TIMEOUT_S)
            except PeerLostError as exc:
                raise NoAnswerError(str(exc)) from exc
            if not isinstance(reply, Advice) or not reply.is_answered:
                raise NoAnswerError(f"{address}: no advice")
            return {WorkerId(row.worker): row.permit for row in reply.permits}

        return ask

    # Messages of other members

    async def _handle(self, member: MemberId, kind: str, body: Body) -> tuple[str, Body]:
        if kind == "pulse":
            return "pulseReply", self._on_pulse(member, body)
        if kind == "adviceAsk":
            return "advice", await self._on_advice(body)
        if kind in ("relayJob", "relayCancel"):
            return "relayed", await self._on_relay(body)
        holder = self._holder
        if holder is None or not holder.is_ready:
            raise LagoonshelfError(Fault(ResultCode.NO_OWNER, "this process holds no cell"))
        if kind == "jobStateAsk":
            state = holder.state(JobId(body.job))
            return "jobState", JobStateReply(True, "" if state is None else state.value)
        if kind == "jobAccepted":
            result = decode_job(body.record.encode())
            if isinstance(result, Failure):
                raise LagoonshelfError(result.failure())
            holder.accept(result.unwrap())
        elif kind == "jobCancelled":
            holder.cancel(JobId(body.job))
        else:
            raise LagoonshelfError(Fault(ResultCode.PROTOCOL, f"unexpected message {kind}"))
        return "ack", Ack(ResultCode.DONE.number, "")

    def _on_pulse(self, member: MemberId, body: Pulse) -> PulseReply:
        self.seat.contradicted(body.seat)
        holder = self._holder
        if holder is not None and self._store_age_ms() > body.store_age_ms + CUT_OFF_MS:
            self.seat.step_down(f"cut off from the store, which {member} reaches")
        view = self.seat.view
        if not self.seat.is_held or holder is None:
            is_other = view is not None and view.member != self._cfg.member
            known = (view.member, view.address) if is_other else ("", "")
            seat = self.seat.revision if is_other else 0
            return PulseReply(False, seat, self._store_age_ms(), (), (), *known)
        holder.advisors.heard(member, self._ask_at(body.address))
        now_ms = self._clock.now_ms()
        self._members[member] = (PeerState(body.address, body.store_age_ms), now_ms)
        self._troubled[member] = (body.is_store_troubled, now_ms)
        counts = holder.cell.pending() if holder.is_ready else {}
        rows = tuple(QueueCount(queue, count) for queue, count in counts.items())
        members = tuple(
            state
            for state, heard_ms in self._members.values()
            if now_ms - heard_ms < RELAY_AGE_MS and state.store_age_ms < RELAY_AGE_MS
        )
        self._offer_to_stronger(body)
        reply = PulseReply(True, self.seat.revision, self._store_age_ms(), rows, members)
        return replace(reply, is_ready=holder.is_ready)

    def _offer_to_stronger(self, body: Pulse) -> None:
        """Offer the seat when this host is weak and the sender's is not."""
        now_ms = self._clock.now_ms()
        own = self._cfg.cores_milli
        is_stronger = body.cores_milli >= max(HOLDER_CORES_MILLI, STRONGER * own)
        if own >= HOLDER_CORES_MILLI or not is_stronger or body.is_store_troubled:
            return
        if now_ms - self._offered_ms > OFFER_EACH_MS:
            self._offered_ms = now_ms
            self._tasks.append(asyncio.ensure_future(self._forever(self.seat.offer())))

    async def _on_advice(self, body: AdviceAsk) -> Advice:
        try:
            permits = await self._ask_here(body.step, tuple(map(WorkerId, body.workers)))
        except NoAnswerError as exc:
            _log.info("no advice", step=body.step, reason=str(exc))
            return Advice(False)
        return Advice(True, tuple(Permit(name, text) for name, text in permits.items()))

    async def _on_relay(self, body: JobRecord | JobRef) -> Relayed:
        """Write for a member that does not reach the store; it tells the holder itself."""
        deadline_ms = self._clock.now_ms() + RELAY_WRITE_MS
        job = JobId(body.job)
        if isinstance(body, JobRecord):
            record = body.record.encode()
            written = await self.front.writer.write_job(job, record, deadline_ms)
        else:
            written = await self.front.writer.write_cancel(job, deadline_ms)
        _log.info("relayed", request=job, outcome=written.value)
        return Relayed(written.value)
