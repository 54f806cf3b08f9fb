"""Leader lease: a leased store key that names the process which issues all commands."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import orjson

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import MemberId
from lagoonshelf_server.jobs import job_metrics
from lagoonshelf_server.jobs.keys import LEADER_KEY, TERM_KEY
from lagoonshelf_server.jobs.ports import (
    ABSENT,
    Committed,
    Conflict,
    HistoryLostError,
    Item,
    Put,
    Store,
    StoreLease,
    StoreRevision,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.logs import logger

# A leader that stops renewing is replaced when its lease expires; the store's minimum TTL is 1 s.
LEASE_TTL_MS = 1_200
RENEW_INTERVAL_MS = 300
CLAIM_INTERVAL_S = 0.05
WATCH_MS = 5_000
RETRY_S = 0.1
# A watch may be broken without an error, so followers also read the key periodically. The answers
# show as well that this process reaches the store, see MAX_STORE_AGE_MS.
READ_INTERVAL_S = 0.8
READ_TIMEOUT_MS = 1_000
# A leader that still answers heartbeats gets this long to rewrite its lapsed key.
INCUMBENT_GRACE_MS = 1_000
# A process does not claim the lease if the store's last answer to it is older than this.
MAX_STORE_AGE_MS = 900
# A leader that cannot reach the store keeps working this long, which covers an ordinary outage.
MAX_OUTAGE_MS = 6_500

# After a term that ended before its takeover was complete, a process leaves the next claims to
# others for this long, and for twice as long after each further one.
FAILED_TAKEOVER_DELAY_MS = 600
MAX_TAKEOVER_DELAY_MS = 5_000

# Value of the key after a leader has released the lease.
NO_MEMBER = MemberId("")

_log = logger("seat")


class LeaderStatus(Enum):
    """State of the leader as seen through heartbeats."""

    UNKNOWN = "unknown"
    ANSWERS = "answers"
    SILENT = "silent"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The leader as recorded in the store."""

    revision: StoreRevision
    member: MemberId
    address: str
    is_offered: bool = False


class LeaderLease:
    """Watches the leader lease, claims it when it is free, and renews it while held.

    ``token`` is the revision of the key as this process last wrote it, and so the fencing token of
    its terms. Writes and calls carry it, and not ``revision``: that is its successor's as soon as
    a deposed leader knows of the successor.
    """

    def __init__(self, store: Store, clock: Clock, member: MemberId, address: str) -> None:
        """Set up as a follower.

        :param address: address at which other members reach this process
        """
        self._store = store
        self._clock = clock
        self.member = member
        self._address = address
        self._lease: StoreLease | None = None
        self._term = ABSENT
        self.token = ABSENT
        self._absent_since_ms: int | None = None
        self.record: LeaderRecord | None = None
        self.is_loaded = False
        self.is_held = False
        self.is_candidate = True
        self.leader_status = LeaderStatus.UNKNOWN
        self.renewed_ms = 0
        self.acquired_ms = 0
        self.claim_delay_ms = 0
        self._failed_takeovers = 0
        self.predecessor_is_dead = False
        # Whether this process has known of a leader before its present term.
        self.has_predecessor = False
        self.is_outage: Callable[[], bool] = lambda: False
        self.acquired = asyncio.Event()
        self.lost = asyncio.Event()

    @property
    def revision(self) -> StoreRevision:
        """Return the last known revision of the lease key, whoever wrote it."""
        return self.record.revision if self.record is not None else ABSENT

    @property
    def held_until_ms(self) -> int:
        """Return the clock time until which the lease has certainly not lapsed."""
        return self.renewed_ms + LEASE_TTL_MS

    def may_dispatch(self) -> bool:
        """Return whether this process may issue commands that start work.

        After its lease has expired it continues only in a store outage that other members see
        too, since nobody can acquire the lease then.
        """
        now_ms = self._clock.now_ms()
        if not self.is_held or now_ms - self.renewed_ms >= MAX_OUTAGE_MS:
            return False
        return now_ms < self.held_until_ms or self.is_outage()

    def may_renew_runs(self) -> bool:
        """Return whether this process may renew the leases of runs.

        A successor relies on it that a process which it cannot reach stops, see ``Fleet.restore``.
        """
        age_ms = self._clock.now_ms() - self.renewed_ms
        return self.is_held and (age_ms < MAX_OUTAGE_MS or self.is_outage())

    async def watch(self) -> None:
        """Keep the lease record up to date; run for the life of the process."""
        while True:
            try:
                revision = await self._refresh()
                while True:
                    changes, revision = await self._store.watch(LEADER_KEY, revision, WATCH_MS)
                    for change in changes:
                        if change.key == LEADER_KEY:
                            self._apply_item(change.item)
            except (StoreUnavailableError, StoreUncertainError, HistoryLostError) as exc:
                _log.debug("leader lease not read", reason=str(exc))
                await asyncio.sleep(RETRY_S)

    async def poll(self) -> None:
        """Read the lease periodically while it is not held; run for the life of the process."""
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            if self.is_held:
                continue
            before = self.record
            try:
                item = await self._store.read(LEADER_KEY, timeout_ms=READ_TIMEOUT_MS)
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.debug("leader lease not read", reason=str(exc))
                continue
            # The watch may have reported a newer lease while a read without result was under way.
            if item is not None or self.record is before:
                self._apply_item(item)

    async def campaign(self) -> None:
        """Claim the lease whenever it is free; run for the life of the process."""
        claimable_since_ms: int | None = None
        while True:
            await asyncio.sleep(CLAIM_INTERVAL_S)
            if self.is_held or not self.is_candidate or not self.is_loaded:
                continue
            if not self._reaches_store() or not self._is_claimable():
                claimable_since_ms = None
                continue
            now_ms = self._clock.now_ms()
            claimable_since_ms = now_ms if claimable_since_ms is None else claimable_since_ms
            if now_ms - claimable_since_ms >= self._total_claim_delay_ms():
                await self._try_claim()

    def record_takeover(self) -> None:
        """Record that this process has taken over the cell."""
        self._failed_takeovers = 0

    def record_failed_takeover(self) -> None:
        """Record a term that ended before the cell was taken over."""
        self._failed_takeovers += 1
        _log.warning(
            "takeover not completed",
            seat=self.revision,
            times=self._failed_takeovers,
            next_claim_after_ms=self._total_claim_delay_ms(),
        )

    def _total_claim_delay_ms(self) -> int:
        """Return how long the lease must be claimable before this process claims it."""
        if not self._failed_takeovers:
            return self.claim_delay_ms
        delay_ms = FAILED_TAKEOVER_DELAY_MS * 2 ** (self._failed_takeovers - 1)
        return self.claim_delay_ms + min(delay_ms, MAX_TAKEOVER_DELAY_MS)

    async def renew(self) -> None:
        """Renew the lease while it is held; run for the life of the process."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL_MS / 1000)
            if not self.is_held:
                continue
            sent_ms = self._clock.now_ms()
            try:
                if await self._store.keep_lease(self._lease):
                    self.renewed_ms = max(self.renewed_ms, sent_ms)
                elif self.is_held:
                    await self._rewrite()
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.info(
                    "leader lease not renewed", reason=str(exc), age_ms=sent_ms - self.renewed_ms
                )

    async def offer(self) -> None:
        """Offer the lease to other members; keep leading until one of them has claimed it."""
        if not self.is_held:
            return
        value = _encode(self.member, self._address, is_offered=True)
        try:
            result = await self._store.commit(
                {LEADER_KEY: self.revision}, [Put(LEADER_KEY, value, self._lease)]
            )
        except (StoreUnavailableError, StoreUncertainError) as exc:
            _log.warning("leader lease not offered", reason=str(exc))
            return
        if isinstance(result, Committed) and self.is_held:
            self.token = result.revision
            self.record = LeaderRecord(
                result.revision, self.member, self._address, is_offered=True
            )
            _log.info("seat offered", seat=result.revision)

    async def release(self) -> None:
        """Release the lease, so that another member can claim it immediately."""
        if not self.is_held:
            return
        revision = self.revision
        self.step_down("released")
        try:
            await self._store.commit(
                {LEADER_KEY: revision}, [Put(LEADER_KEY, _encode(NO_MEMBER, ""))]
            )
        except (StoreUnavailableError, StoreUncertainError) as exc:
            _log.warning("leader lease not released", reason=str(exc))

    def step_down(self, reason: str) -> None:
        """Stop leading."""
        if self.is_held:
            _log.warning("seat lost", reason=reason, seat=self.revision)
            self.is_held = False
            job_metrics.is_leader.set({}, 0)
            self.acquired.clear()
            self.lost.set()

    def record_status(self, status: LeaderStatus, revision: int) -> None:
        """Record what a heartbeat showed about the leader with a lease revision."""
        if revision == self.revision:
            self.leader_status = status

    def observe_revision(self, revision: int) -> None:
        """Step down if another member knows a newer lease revision."""
        if self.is_held and revision > self.revision:
            self.step_down(f"lease revision {revision} is newer")

    def observe_record(self, record: LeaderRecord) -> None:
        """Record a newer lease that another member reported; the store may be unreachable here."""
        if record.revision > self.revision and record.member != self.member:
            self.step_down(f"held by {record.member}")
            self.record = record
            self._absent_since_ms = None
            self.leader_status = LeaderStatus.UNKNOWN
            _log.info(
                "leader reported by another member", holder=record.member, seat=record.revision
            )

    async def _refresh(self) -> StoreRevision:
        items, revision = await self._store.read_all(LEADER_KEY)
        self._apply_item(next((item for item in items if item.key == LEADER_KEY), None))
        self.is_loaded = True
        return StoreRevision(revision)

    def _apply_item(self, item: Item | None) -> None:
        if item is None:
            if self._absent_since_ms is None:
                self._absent_since_ms = self._clock.now_ms()
                _log.info("seat is free", seat=self.revision)
            return
        if self.record is not None and item.revision <= self.record.revision:
            if item.revision == self.record.revision:
                self._absent_since_ms = None
            return
        fields = _decode(item)
        self._absent_since_ms = None
        self.leader_status = LeaderStatus.UNKNOWN
        if fields["member"] == self.member and self.is_held:
            self.token = item.revision
            self.record = LeaderRecord(item.revision, self.member, self._address)
        else:
            self.step_down(f"held by {fields['member']}")
            is_offered = fields.get("offered", False)
            member = MemberId(fields["member"])
            self.record = LeaderRecord(item.revision, member, fields["address"], is_offered)
            _log.info("leader lease read", holder=fields["member"], seat=item.revision)

    def _reaches_store(self) -> bool:
        return self._clock.now_ms() - self._store.last_answer_ms() < MAX_STORE_AGE_MS

    def _is_claimable(self) -> bool:
        if self.record is None:
            return self._absent_since_ms is not None
        if self.record.is_offered or self.record.member in (self.member, NO_MEMBER):
            return True
        if self.leader_status is LeaderStatus.DEAD:
            return True
        if self._absent_since_ms is None:
            return False
        absent_ms = self._clock.now_ms() - self._absent_since_ms
        return self.leader_status is not LeaderStatus.ANSWERS or absent_ms > INCUMBENT_GRACE_MS

    async def _try_claim(self) -> None:
        expected = ABSENT if self._absent_since_ms is not None else self.revision
        self.predecessor_is_dead = self.leader_status is LeaderStatus.DEAD
        try:
            await self._write({LEADER_KEY: expected})
        except (StoreUnavailableError, StoreUncertainError) as exc:
            _log.info("leader lease not claimed", reason=str(exc))
            await asyncio.sleep(RETRY_S)

    async def _rewrite(self) -> None:
        """Write the key again after its lease lapsed, unless there was another leader since."""
        item = await self._store.read(LEADER_KEY)
        if item is not None and item.revision != self.revision:
            self._apply_item(item)
            return
        expected = ABSENT if item is None else item.revision
        await self._write({LEADER_KEY: expected, TERM_KEY: self._term})

    async def _write(self, conditions: dict[str, StoreRevision]) -> None:
        sent_ms = self._clock.now_ms()
        lease = await self._store.grant_lease(LEASE_TTL_MS)
        value = _encode(self.member, self._address)
        puts = [Put(LEADER_KEY, value, lease), Put(TERM_KEY, self.member.encode())]
        result = await self._store.commit(conditions, puts)
        if not isinstance(result, Committed):
            if isinstance(result, Conflict):
                self._check_term(result)
            await self._refresh()
            return
        was_held = self.is_held
        if not was_held:
            self.has_predecessor = self.record is not None and self.record.member != NO_MEMBER
        self._lease = lease
        self._term = self.token = result.revision
        self.renewed_ms = sent_ms
        self._absent_since_ms = None
        self.record = LeaderRecord(result.revision, self.member, self._address)
        self.is_held = True
        _log.info("seat taken", seat=result.revision, again=was_held)
        job_metrics.is_leader.set({}, 1)
        if not was_held:
            self.acquired_ms = self._clock.now_ms()
            self.lost.clear()
            self.acquired.set()

    def _check_term(self, conflict: Conflict) -> None:
        """Step down if there was another term in between, whose work is not known here."""
        term = next((item.revision for item in conflict.items if item.key == TERM_KEY), ABSENT)
        if self.is_held and term != self._term:
            self.step_down(f"term {term} was in between")


def _encode(member: MemberId, address: str, *, is_offered: bool = False) -> bytes:
    return orjson.dumps({"member": member, "address": address, "offered": is_offered})


def _decode(item: Item) -> dict:
    """Return the fields of the lease's value; one that cannot be decoded names no leader."""
    try:
        fields = orjson.loads(item.value)
        if isinstance(fields["member"], str) and isinstance(fields["address"], str):
            return fields
        reason = "member or address is not a string"
    except (orjson.JSONDecodeError, KeyError, TypeError) as exc:
        reason = repr(exc)
    _log.error("leader lease unreadable", seat=item.revision, reason=reason)
    return {"member": NO_MEMBER, "address": ""}
