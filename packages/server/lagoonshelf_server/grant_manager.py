"""Manages one partition's grants: local checks before starts, and changes in the store."""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from contextlib import suppress
from dataclasses import dataclass

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.commands import Stop
from lagoonshelf_core.grants import (
    GRANT_PREFIX,
    ZERO_AMOUNT,
    Amount,
    GrantDocument,
    GrantEntry,
    KnownLimit,
    amount_to_request,
    base_grant,
    decode_grants,
    encode_grants,
    grant_after_lowering,
    grant_key,
    limit_in_force,
    prorated_grant,
    raised_grant,
    reduced_grant,
    start_limit,
    with_entry,
)
from lagoonshelf_core.ids import Epoch, PartitionId, TeamId
from lagoonshelf_core.model import Task
from lagoonshelf_server.grant_state import PendingWrite, TeamGrants
from lagoonshelf_server.grant_usage import GrantUsage
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import GrantAsk
from lagoonshelf_server.store import StoreClient, StoreError, writer_token

WRITE_INTERVAL_MS = 1000
CONFLICT_RETRY_S = 0.02
IDLE_MS = 5000
REQUEST_INTERVAL_MS = 500
REQUEST_VALIDITY_MS = 2000
TICK_INTERVAL_S = 0.5
LOAD_RETRY_S = 0.2
_log = logger("grants")


@dataclass(frozen=True, slots=True)
class GrantHooks:
    """Callbacks from the grant manager into its partition.

    :param limit_of: limit of a team, none before the first configuration
    :param teams: all teams of the configuration
    :param may_act: whether this process still owns the partition
    :param is_inventory_known: whether all tasks that run in the partition are known
    :param tasks: tasks of the partition's scheduler
    :param request_grant: sends a grant request to the owner of another partition
    :param stop: executes stop commands
    :param request_pass: requests a scheduling pass
    :param spawn: starts a coroutine on the event loop
    """

    limit_of: Callable[[TeamId], KnownLimit | None]
    teams: Callable[[], Iterable[TeamId]]
    may_act: Callable[[], bool]
    is_inventory_known: Callable[[], bool]
    tasks: Callable[[], Iterable[Task]]
    request_grant: Callable[[PartitionId, GrantAsk], Awaitable[None]]
    stop: Callable[[list[Stop]], Awaitable[None]]
    request_pass: Callable[[], None]
    spawn: Callable[[Coroutine], object]


class GrantManager:
    """Grants of all teams in one owned partition."""

    def __init__(
        self,
        partition: PartitionId,
        partitions: int,
        clock: Clock,
        store: StoreClient,
        hooks: GrantHooks,
    ) -> None:
        """Initialize without grants.

        :param partitions: number of partitions of the cell
        """
        self._partition = partition
        self._partitions = partitions
        self._clock = clock
        self._store = store
        self._hooks = hooks
        self._epoch = Epoch(0)
        self._teams: dict[TeamId, TeamGrants] = defaultdict(TeamGrants)
        self._usage = GrantUsage(hooks.tasks)
        self._allowed_in_pass: dict[TeamId, Amount] = {}
        self._wake = asyncio.Event()

    async def load(self, epoch: Epoch) -> None:
        """Read the grants; call after the workers' inventories have been read.

        A grant becomes usable once its entry has this owner's epoch, because until then a write
        of the predecessor may still be in flight.
        """
        while True:
            try:
                items, _ = await self._store.list_keys(GRANT_PREFIX)
                break
            except StoreError:
                await asyncio.sleep(LOAD_RETRY_S)
        self._epoch = epoch
        for item in items:
            self.apply(TeamId(item.key.removeprefix(GRANT_PREFIX)), item.value)

    def apply(self, team: TeamId, text: str | None) -> None:
        """Apply a store value of a team's grants, from a watch or a read."""
        if text is not None:
            self._apply_document(self._teams[team], decode_grants(text))
            self._wake.set()

    def begin_pass(self) -> None:
        """Count the running tasks; the starts of the scheduling pass are added to the count."""
        self._usage.begin_pass()
        self._allowed_in_pass.clear()

    def may_start(self, task: Task) -> bool:
        """Return whether the grant allows a start, and count the start; a gang counts as a whole.

        Call this as the last check, after a worker has been found: an allowed start counts until
        the next scheduling pass.
        """
        allowed = self._allowed_in_pass.get(task.team)
        if allowed is None:
            allowed = self._allowed_in_pass[task.team] = self.allowed_amount(task.team)
        if self._usage.approve(task, allowed):
            return True
        known = self._hooks.limit_of(task.team)
        if known is not None and self._usage.required(task).fits_in(known.amount):
            self._usage.record_shortage(task, self._clock.now_ms())
            self._teams[task.team].idle_since_ms = None
            self._wake.set()
        return False

    def lacks_grant(self, task: Task) -> bool:
        """Return whether a waiting task could not start for lack of its team's grant."""
        return self._usage.lacks_grant(task)

    def allowed_amount(self, team: TeamId) -> Amount:
        """Return how much of a team may run here, including a task about to start."""
        state, known = self._teams.get(team), self._hooks.limit_of(team)
        if state is None or known is None or not self._hooks.is_inventory_known():
            return ZERO_AMOUNT
        limit = limit_in_force(state.doc, known)
        usable = state.doc.usable(self._partition, self._epoch)
        usable = usable.minimum(start_limit(state.doc, self._partition, limit))
        if state.pending is not None:
            usable = usable.minimum(state.pending.amount)
        if self._is_requested(state):
            usable = usable.minimum(self._fair_share(limit))
        return usable

    def on_grant_request(self, request: GrantAsk) -> None:
        """Record that another owner lacks grant."""
        state = self._teams[TeamId(request.team)]
        state.requested = Amount(request.tasks, request.cpu_milli)
        state.requested_until_ms = self._clock.now_ms() + REQUEST_VALIDITY_MS
        self._wake.set()

    async def run_forever(self) -> None:
        """Raise, reduce and request grants whenever something has changed."""
        while True:
            await self.tick()
            # wait_for of Python 3.11 may swallow a cancellation and keep the loop running.
            with suppress(TimeoutError):
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self._wake.wait()

    async def tick(self) -> None:
        """Start the writes, grant requests and stops that are due."""
        self._wake.clear()
        if self._epoch == 0 or not self._hooks.may_act():
            return
        self._usage.scan()
        now_ms = self._clock.now_ms()
        self._usage.drop_expired_shortages(now_ms)
        for team in self._hooks.teams():
            # A team without work keeps its base grant too.
            _ = self._teams[team]
        for team, state in list(self._teams.items()):
            known = self._hooks.limit_of(team)
            if known is None or self._is_unused(team, state, known):
                continue
            if self._usage.could_start(team, self.allowed_amount(team)):
                self._hooks.request_pass()
            self._track_idle(team, state, known, now_ms)
            if (
                not state.busy
                and now_ms >= state.next_write_ms
                and self._is_write_due(team, state)
            ):
                state.busy = True
                self._hooks.spawn(self._update(team, state))
            self._request_missing(team, state, known, now_ms)
            await self._stop_excess(team, state, known, now_ms)

    def _need(self, team: TeamId, state: TeamGrants, limit: Amount) -> Amount:
        if self._is_requested(state):
            return self._usage.fitting_need(team, self._fair_share(limit))
        return self._usage.need(team)

    def _is_requested(self, state: TeamGrants) -> bool:
        return self._clock.now_ms() < state.requested_until_ms

    def _fair_share(self, limit: Amount) -> Amount:
        """Return how much an owner keeps for waiting work while another one lacks grant."""
        return Amount(limit.tasks // self._partitions, limit.cpu_milli // self._partitions)

    def _target_amount(self, team: TeamId, state: TeamGrants) -> Amount | None:
        """Return the grant that the partition should hold, none if it must not write."""
        known, doc = self._hooks.limit_of(team), state.doc
        entry = doc.entries.get(self._partition)
        if known is None or (entry is not None and entry.epoch > self._epoch):
            return None
        held, limit = doc.amount(self._partition), limit_in_force(doc, known)
        if not doc.total.fits_in(limit):
            left = grant_after_lowering(doc, self._partition, self._usage.running(team), limit)
            return left.minimum(self._usage.fitting_need(team, left))
        need = self._need(team, state, limit)
        if not need.fits_in(held):
            amount = raised_grant(doc, self._partition, need, known)
            # Grant for only part of a task or gang is left to other owners; otherwise two owners
            # could each hold half of what a gang needs.
            return amount if need.fits_in(amount) else self._usage.fitting_need(team, amount)
        if self._is_requested(state):
            return need.maximum(held - state.requested)
        floor = need.maximum(base_grant(limit, self._partitions))
        if not floor.fits_in(held):
            return raised_grant(doc, self._partition, floor, known)
        if self._is_idle(state):
            return reduced_grant(held, floor.maximum(state.peak_need), limit)
        return held

    def _is_unused(self, team: TeamId, state: TeamGrants, known: KnownLimit) -> bool:
        held = state.doc.amount(self._partition)
        floor = self._usage.need(team).maximum(base_grant(known.amount, self._partitions))
        return held == ZERO_AMOUNT and state.pending is None and floor == ZERO_AMOUNT

    def _is_idle(self, state: TeamGrants) -> bool:
        since_ms = state.idle_since_ms
        return since_ms is not None and self._clock.now_ms() - since_ms >= IDLE_MS

    def _track_idle(self, team: TeamId, state: TeamGrants, known: KnownLimit, now_ms: int) -> None:
        held, limit = state.doc.amount(self._partition), limit_in_force(state.doc, known)
        need = self._need(team, state, limit).maximum(base_grant(limit, self._partitions))
        if reduced_grant(held, need, limit) == held:
            state.idle_since_ms = None
        elif state.idle_since_ms is None:
            state.idle_since_ms, state.peak_need = now_ms, need
        else:
            state.peak_need = state.peak_need.maximum(need)
            if self._is_idle(state) and reduced_grant(held, state.peak_need, limit) == held:
                state.idle_since_ms, state.peak_need = now_ms, need

    def _is_write_due(self, team: TeamId, state: TeamGrants) -> bool:
        return state.pending is not None or self._needs_write(
            state, self._target_amount(team, state)
        )

    def _needs_write(self, state: TeamGrants, amount: Amount | None) -> bool:
        if amount is None:
            return False
        entry = state.doc.entries.get(self._partition)
        if entry is None:
            return amount != ZERO_AMOUNT
        return amount != entry.amount or (entry.epoch != self._epoch and amount != ZERO_AMOUNT)

    async def _update(self, team: TeamId, state: TeamGrants) -> None:
        try:
            while not await self._try_update(team, state):
                await asyncio.sleep(CONFLICT_RETRY_S)
        except StoreError as exc:
            state.next_write_ms = self._clock.now_ms() + WRITE_INTERVAL_MS
            _log.info("grant update not confirmed", team=team, reason=str(exc))
        finally:
            state.busy = False
            self._wake.set()

    async def _try_update(self, team: TeamId, state: TeamGrants) -> bool:
        """Read the grants and update them if needed; return false after a conflicting write."""
        key = grant_key(team)
        item = await self._store.get(key)
        self._apply_document(state, decode_grants(item.value))
        self._usage.scan()
        if state.pending is None:
            self._prepare(team, state)
        if state.pending is None or not self._hooks.may_act():
            return True
        return await self._write(state, key, item.version)

    def _prepare(self, team: TeamId, state: TeamGrants) -> None:
        amount = self._target_amount(team, state)
        if not self._needs_write(state, amount):
            return
        token = writer_token()
        entry = GrantEntry(amount, self._epoch, token)
        doc = with_entry(state.doc, self._partition, entry, self._hooks.limit_of(team))
        state.pending = PendingWrite(encode_grants(doc), token, doc.serial, amount)

    async def _write(self, state: TeamGrants, key: str, version: int) -> bool:
        """Send the pending write; retries send the same value, so it takes effect once."""
        pending = state.pending
        state.next_write_ms = self._clock.now_ms() + WRITE_INTERVAL_MS
        if done := await self._store.cas(key, pending.text, version):
            self._apply_document(state, decode_grants(pending.text))
        return done

    def _apply_document(self, state: TeamGrants, doc: GrantDocument) -> None:
        """Apply a newer document; a serial at or after that of the pending write resolves it."""
        pending = state.pending
        if pending is not None and doc.serial >= pending.serial:
            state.pending = None
            state.idle_since_ms = None
            entry = doc.entries.get(self._partition)
            if entry is not None and entry.token == pending.token:
                state.requested = ZERO_AMOUNT
        if doc.serial > state.doc.serial:
            state.doc = doc
            self._hooks.request_pass()

    def _request_missing(
        self, team: TeamId, state: TeamGrants, known: KnownLimit, now_ms: int
    ) -> None:
        doc, limit = state.doc, limit_in_force(state.doc, known)
        need = self._need(team, state, limit)
        if need.fits_in(doc.amount(self._partition)) or now_ms < state.next_request_ms:
            return
        missing = amount_to_request(doc, self._partition, need, limit) - (limit - doc.total)
        if missing == ZERO_AMOUNT:
            return
        state.next_request_ms = now_ms + REQUEST_INTERVAL_MS
        for partition, entry in doc.entries.items():
            if partition != self._partition and entry.amount != ZERO_AMOUNT:
                request = GrantAsk(team, partition, missing.tasks, missing.cpu_milli)
                self._hooks.spawn(self._hooks.request_grant(partition, request))

    async def _stop_excess(
        self, team: TeamId, state: TeamGrants, known: KnownLimit, now_ms: int
    ) -> None:
        """Stop repeatable work above the prorated grant of a lowered limit, newest first."""
        limit = limit_in_force(state.doc, known)
        if state.doc.total.fits_in(limit):
            return
        allowed = prorated_grant(state.doc, self._partition, limit)
        stops = self._usage.excess_stops(team, allowed, now_ms)
        if stops:
            _log.info("stopping work above the limit", team=team, tasks=len(stops))
            await self._hooks.stop(stops)
