"""Heartbeats between members: who leads, who reaches the store, and how large each host is."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from random import choice, sample

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import FailureDomain, MemberId, QueueId, WorkerId
from lagoonshelf_core.jobs.cold_starts import DEFAULT_OVERAGE, DEFAULT_SLACK
from lagoonshelf_core.jobs.job_memory import DEFAULT_MEMORY_MB, MemoryReport
from lagoonshelf_core.jobs.options import DEFAULT_OPTIONS, SchedulerOptions
from lagoonshelf_server.connection_budget import MAX_HANDSHAKES
from lagoonshelf_server.jobs.config_view import (
    DEFAULT_MAX_AGE_MS,
    MAX_REPORTED_AGE_MS,
    ConfigView,
)
from lagoonshelf_server.jobs.job_api import JobApi
from lagoonshelf_server.jobs.lag import LoopLag
from lagoonshelf_server.jobs.leader import DEFAULT_CANCEL_MS, Leader
from lagoonshelf_server.jobs.leader_lease import LeaderLease, LeaderRecord, LeaderStatus
from lagoonshelf_server.jobs.overload_gate import OverloadGate
from lagoonshelf_server.jobs.ports import Store, StoreRevision
from lagoonshelf_server.messages import PeerState, Pulse, PulseReply, QueueCount
from lagoonshelf_server.peers import PeerLostError, PeerNet, PeerUnreachableError

HEARTBEAT_INTERVAL_S = 0.25
# A leader of more members than this asks for heartbeats in proportionally longer intervals, as
# each costs it processor time. Reports of members stay valid for 1 s.
MEMBERS_AT_FULL_RATE = 32
MAX_HEARTBEAT_INTERVAL_MS = 600
# Members that a reply names as relays. With all members in each reply, the cost of the heartbeats
# would grow with the square of their number.
MAX_RELAYS_IN_REPLY = 4
HEARTBEAT_TIMEOUT_S = 0.5
# Three intervals of the workers' reports, after which a silent worker leaves the registry.
DEFAULT_CAPACITY_MAX_AGE_MS = 4_500
DEFAULT_REGISTRY_MAX_AGE_MS = 2_000
# Consecutive refused connections after which the leader's process is considered dead.
DEAD_AFTER_REFUSALS = 2
NO_REPLY_RETRY_S = 0.05
# If another member got its last answer from the store this much later than the leader, only the
# leader is cut off from the store; in a store outage no member gets later answers.
ISOLATION_MS = 500
# A member can relay writes if its last heartbeat and store answer are newer than this.
RELAY_MAX_AGE_MS = 900
# Without an answer from the store for this long, other members are asked for the leader.
STORE_SILENT_MS = 700
# The store counts as troubled for this long after a call failed or was slow.
STORE_TROUBLE_MS = 1_000
# Reports of members about the store are ignored when older than this.
MEMBER_TIMEOUT_MS = 1_000
# A member that was not heard for this long is taken to have left.
MAX_UNHEARD_MS = 10_000
# The leader of 176 workers uses about one core. A host with less delays its claim, and offers the
# lease to a host that has at least this much and LARGER_HOST_FACTOR times its own cores.
LEADER_CORES_MILLI = 1_000
SMALL_HOST_CLAIM_DELAY_MS = 600
LARGER_HOST_FACTOR = 1.5
OFFER_INTERVAL_MS = 5_000
# A process whose event loop lags this much is on a slow host and should not lead the cell.
MAX_LEADER_LAG_MS = 120.0

AdviceCall = Callable[[str, tuple[WorkerId, ...]], Awaitable[dict[WorkerId, str]]]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Identity and address of this process.

    :param cores_milli: cores of this host, in thousandths
    :param config_max_age_ms: time after which a change of the configuration has to be in force
    :param capacity_max_age_ms: age from which a worker is not filled by the capacity it reported
    :param cancel_ms: time after which nothing of a cancelled job is started
    :param registry_max_age_ms: time after which a worker that reported that it is draining gets
        nothing more to start
    :param evacuate_ms: time after which nothing is started in an evacuated failure domain, None
        if the platform has no evacuations
    :param cold_overage: starts on cold workers per start that their pool's rate allows
    :param cold_slack: starts on cold workers beyond that
    :param options: optional parts of the scheduler
    :param link_mbps: speed of this host's link, 0 if unknown
    :param max_handshakes: connections of members that may be open before their handshake
    :param memory_mb: memory of this host
    """

    member: MemberId
    failure_domain: FailureDomain
    host: str
    peer_port: int
    cores_milli: int = LEADER_CORES_MILLI
    config_max_age_ms: int = DEFAULT_MAX_AGE_MS
    capacity_max_age_ms: int = DEFAULT_CAPACITY_MAX_AGE_MS
    cancel_ms: int = DEFAULT_CANCEL_MS
    registry_max_age_ms: int = DEFAULT_REGISTRY_MAX_AGE_MS
    options: SchedulerOptions = DEFAULT_OPTIONS
    link_mbps: float = 0.0
    evacuate_ms: int | None = None
    cold_overage: float = DEFAULT_OVERAGE
    cold_slack: float = DEFAULT_SLACK
    max_handshakes: int = MAX_HANDSHAKES
    memory_mb: float = DEFAULT_MEMORY_MB

    @property
    def address(self) -> str:
        """Return the address at which other members reach this process."""
        return f"{self.host}:{self.peer_port}"

    @property
    def has_leader_link(self) -> bool:
        """Return whether the link of this host is fast enough to lead the cell."""
        return not self.link_mbps or self.link_mbps >= self.options.leader_link_mbps

    @property
    def suits_leader(self) -> bool:
        """Return whether this host has the cores and the link of a leader."""
        return self.cores_milli >= LEADER_CORES_MILLI and self.has_leader_link


class Heartbeats:
    """Sends and answers heartbeats, and derives the state of leader, members and store."""

    def __init__(
        self,
        cfg: NodeSettings,
        store: Store,
        clock: Clock,
        leader_lease: LeaderLease,
        job_api: JobApi,
        config: ConfigView,
    ) -> None:
        """Set up without known members."""
        self._cfg = cfg
        self._store = store
        self._clock = clock
        self._leader_lease = leader_lease
        self._job_api = job_api
        self._config = config
        self.overload_gate = OverloadGate(cfg.options, store, clock, lambda: config.current)
        self._refusals = 0
        self._members: dict[MemberId, tuple[PeerState, int]] = {}
        self._troubled: dict[MemberId, tuple[bool, int]] = {}
        self._memory_mb: dict[MemberId, int] = {}
        self._relays: tuple[PeerState, ...] = ()
        self._queries_others = False
        self._interval_s = HEARTBEAT_INTERVAL_S
        self._offered_ms = 0
        self._tasks: set[asyncio.Task] = set()
        self.lag = LoopLag(clock)
        self.is_draining = False

    async def run(self, net: PeerNet, is_leading: Callable[[], bool]) -> None:
        """Send heartbeats until cancelled.

        :param is_leading: returns whether this process runs a leader term
        """
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            is_able = self.lag.mean_ms < MAX_LEADER_LAG_MS
            self._leader_lease.is_candidate = is_able and not self.is_draining
            pause_s = HEARTBEAT_INTERVAL_S if is_leading() else await self.send(net)
            await asyncio.sleep(max(0.0, pause_s - (loop.time() - started)))

    def relay_addresses(self) -> list[str]:
        """Return the addresses of members that may write for this one, the leader first.

        A former leader knows them from the heartbeats that they sent to it.
        """
        record = self._leader_lease.record
        addresses = [] if record is None or not record.address else [record.address]
        known = (*self._relays, *self._fresh_members())
        addresses += dict.fromkeys(
            state.address for state in known if state.address not in addresses
        )
        return [address for address in addresses if address != self._cfg.address]

    async def send(self, net: PeerNet) -> float:
        """Send a heartbeat to the leader; return the pause until the next one in seconds."""
        record = self._leader_lease.record
        address = self._heartbeat_address()
        if address is None:
            return HEARTBEAT_INTERVAL_S
        is_to_leader = record is not None and address == record.address
        heartbeat = Pulse(
            self._cfg.member,
            self._cfg.address,
            self._leader_lease.revision,
            self._store_silence_ms(),
            self._is_store_troubled(),
            self._cfg.cores_milli,
            self._cfg.suits_leader,
            int(self._cfg.memory_mb),
        )
        sent_ms = self._clock.now_ms()
        try:
            reply = await net.call(address, "pulse", heartbeat, HEARTBEAT_TIMEOUT_S)
        except PeerLostError as exc:
            self._queries_others = True
            if not is_to_leader:
                return NO_REPLY_RETRY_S
            is_refused = isinstance(exc, PeerUnreachableError) and "Refused" in str(exc)
            return self._record_no_reply(record.revision, is_refused=is_refused)
        if isinstance(reply, PulseReply):
            self.on_reply(reply, sent_ms, is_to_leader=is_to_leader)
        return self._interval_s

    def _heartbeat_address(self) -> str | None:
        """Return the address for the next heartbeat: the leader, or others if it is silent."""
        record = self._leader_lease.record
        known = [state.address for state in self._relays]
        known += [state.address for state, _ in self._members.values()]
        others = [address for address in known if address != self._cfg.address]
        is_own = record is not None and record.member == self._cfg.member
        if record is not None and record.address and not is_own and not self._queries_others:
            return record.address
        self._queries_others = False
        if others and self._store_silence_ms() > STORE_SILENT_MS:
            return choice(others)
        return None if record is None or not record.address or is_own else record.address

    def on_reply(self, reply: PulseReply, sent_ms: int, *, is_to_leader: bool) -> None:
        """Apply a reply to a heartbeat.

        :param sent_ms: when the heartbeat was sent
        :param is_to_leader: the heartbeat was sent to the leader that is known here
        """
        if is_to_leader:
            self._refusals = 0
        if reply.is_holder and reply.seat >= self._leader_lease.revision:
            is_cut_off = reply.store_age_ms > self._store_silence_ms() + ISOLATION_MS
            self._leader_lease.record_status(
                LeaderStatus.SILENT if is_cut_off else LeaderStatus.ANSWERS, reply.seat
            )
            self._relays = reply.members
            if reply.config_version:
                self._config.confirm(reply.config_version, reply.config_age_ms, sent_ms)
            self._interval_s = reply.interval_ms / 1000 or HEARTBEAT_INTERVAL_S
            if reply.is_ready:
                self._job_api.pending = {QueueId(row.queue): row.count for row in reply.pending}
                self._job_api.pending_at_ms = sent_ms
                computed_ms = sent_ms - reply.forecast_age_ms
                self.overload_gate.record(reply.forecasts, computed_ms)
                memory = MemoryReport(reply.held_bytes, reply.max_bytes, reply.teams)
                self.overload_gate.record_memory(memory, sent_ms)
        elif is_to_leader:
            # A process that restarted at the leader's address does not hold the lease.
            self._leader_lease.record_status(LeaderStatus.DEAD, self._leader_lease.revision)
            self._queries_others = True
        if reply.holder:
            revision = StoreRevision(reply.seat)
            self._leader_lease.observe_record(
                LeaderRecord(revision, MemberId(reply.holder), reply.holder_address)
            )

    def _record_no_reply(self, revision: int, *, is_refused: bool) -> float:
        self._refusals = self._refusals + 1 if is_refused else 0
        is_dead = self._refusals >= DEAD_AFTER_REFUSALS
        status = LeaderStatus.DEAD if is_dead else LeaderStatus.SILENT
        self._leader_lease.record_status(status, revision)
        return NO_REPLY_RETRY_S

    def _fresh_members(self) -> tuple[PeerState, ...]:
        """Return the members that recently reported that they reach the store."""
        now_ms = self._clock.now_ms()
        return tuple(
            state
            for state, heartbeat_ms in self._members.values()
            if now_ms - heartbeat_ms < RELAY_MAX_AGE_MS and state.store_age_ms < RELAY_MAX_AGE_MS
        )

    def _is_store_troubled(self) -> bool:
        return self._clock.now_ms() - self._store.trouble_ms() < STORE_TROUBLE_MS

    def is_store_troubled_for_all(self) -> bool:
        """Return whether the store is troubled (failing or slow) for all members.

        This is false if no other member sent a heartbeat recently although some are known, or
        if the term is too new for others to have sent a heartbeat: a network partition would
        look the same.
        """
        limit_ms = self._clock.now_ms() - MEMBER_TIMEOUT_MS
        recent_reports = [
            troubled for troubled, at_ms in self._troubled.values() if at_ms > limit_ms
        ]
        is_new = self._leader_lease.acquired_ms > limit_ms
        is_unverifiable = not recent_reports and (is_new or bool(self._troubled))
        return self._is_store_troubled() and all(recent_reports) and not is_unverifiable

    def is_store_down_for_all(self) -> bool:
        """Return whether the store has answered no member for a while, so that none can write.

        A slow store, or one that loses some answers, is troubled but not down. A member that is
        not heard any more may still reach the store if it did when it was heard last.
        """
        if self._store_silence_ms() <= STORE_SILENT_MS or not self.is_store_troubled_for_all():
            return False
        limit_ms = self._clock.now_ms() - MAX_UNHEARD_MS
        return all(
            state.store_age_ms > STORE_SILENT_MS
            for state, heartbeat_ms in self._members.values()
            if heartbeat_ms > limit_ms
        )

    def _store_silence_ms(self) -> int:
        """Return the time since the store's last answer to this process."""
        age_ms = self._clock.now_ms() - self._store.last_answer_ms()
        return min(age_ms, MAX_REPORTED_AGE_MS)

    def answer(
        self, member: MemberId, body: Pulse, leader: Leader | None, request_advice: AdviceCall
    ) -> PulseReply:
        """Answer a heartbeat.

        :param leader: leader term of this process, ``None`` if it does not lead the cell
        :param request_advice: requests advice from the placement policy through the sender
        """
        self._leader_lease.observe_revision(body.seat)
        if leader is not None and self._store_silence_ms() > body.store_age_ms + ISOLATION_MS:
            self._leader_lease.step_down(f"cut off from the store, which {member} reaches")
        record = self._leader_lease.record
        if not self._leader_lease.is_held or leader is None:
            is_other = record is not None and record.member != self._cfg.member
            known = (record.member, record.address) if is_other else ("", "")
            revision = self._leader_lease.revision if is_other else 0
            return PulseReply(False, revision, self._store_silence_ms(), (), (), *known)
        leader.advice_router.record_heartbeat(member, request_advice)
        now_ms = self._clock.now_ms()
        self._members[member] = (PeerState(body.address, body.store_age_ms), now_ms)
        self._troubled[member] = (body.is_store_troubled, now_ms)
        if body.memory_mb:
            self._memory_mb[member] = body.memory_mb
        counts = leader.pending_by_queue() if leader.may_answer() else {}
        rows = tuple(QueueCount(queue, count) for queue, count in counts.items())
        fresh = self._fresh_members()
        members = tuple(sample(fresh, min(MAX_RELAYS_IN_REPLY, len(fresh))))
        self._offer_to_better_host(body)
        current = leader.forecasts() if leader.may_answer() else None
        forecasts, forecast_age_ms = current or ((), 0)
        memory = leader.memory_report() if leader.may_answer() else MemoryReport()
        reply = PulseReply(
            True, self._leader_lease.revision, self._store_silence_ms(), rows, members
        )
        return replace(
            reply,
            is_ready=leader.may_answer(),
            interval_ms=self._reply_interval_ms(),
            config_version=self._config.current.version,
            config_age_ms=min(now_ms - self._config.confirmed_ms, MAX_REPORTED_AGE_MS),
            forecasts=forecasts,
            forecast_age_ms=forecast_age_ms,
            held_bytes=memory.held_bytes,
            max_bytes=memory.max_bytes,
            teams=memory.teams,
        )

    def smallest_memory_mb(self) -> float:
        """Return the memory of the smallest host among those that are heard, with this one."""
        limit_ms = self._clock.now_ms() - MAX_UNHEARD_MS
        heard = (
            self._memory_mb[member]
            for member, (_, heartbeat_ms) in self._members.items()
            if heartbeat_ms > limit_ms and member in self._memory_mb
        )
        return min((self._cfg.memory_mb, *heard))

    def _reply_interval_ms(self) -> int:
        """Return the heartbeat interval that the members should use."""
        factor = max(1.0, len(self._members) / MEMBERS_AT_FULL_RATE)
        return min(int(HEARTBEAT_INTERVAL_S * 1000 * factor), MAX_HEARTBEAT_INTERVAL_MS)

    def _offer_to_better_host(self, body: Pulse) -> None:
        """Offer the leader lease if this host has too few cores or too slow a link for it.

        The sender's host has to be clearly better, so that the lease is not passed around.
        """
        now_ms = self._clock.now_ms()
        own = self._cfg.cores_milli
        is_larger = body.cores_milli >= max(LEADER_CORES_MILLI, LARGER_HOST_FACTOR * own)
        has_more_cores = own < LEADER_CORES_MILLI and is_larger
        has_faster_link = not self._cfg.has_leader_link and body.suits_leader
        if body.is_store_troubled or not (has_more_cores or has_faster_link):
            return
        if now_ms - self._offered_ms > OFFER_INTERVAL_MS:
            self._offered_ms = now_ms
            task = asyncio.ensure_future(self._leader_lease.offer())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
