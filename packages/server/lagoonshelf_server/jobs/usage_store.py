"""Durable record of the teams' past use, and its metrics, in one leader term.

The record holds the whole use of all teams and not a difference, so that a write that is repeated
counts nothing twice. A successor reads it after it has acquired the leader lease: from then on a
write of its predecessor is refused, and it charges the runs that it adopts from their adoption.
"""

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from math import isfinite

import orjson

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import TeamId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.past_use import MAX_TEAMS, MAX_USE_CORE_MS, PastUse, Standing
from lagoonshelf_server.jobs import job_metrics
from lagoonshelf_server.jobs.keys import LEADER_KEY, USAGE
from lagoonshelf_server.jobs.leader_lease import LeaderLease
from lagoonshelf_server.jobs.ports import (
    ABSENT,
    Committed,
    Item,
    Put,
    Store,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.logs import logger

TICK_S = 1.0
# A leader that dies loses the use since its last write.
WRITE_INTERVAL_MS = 30_000
# Longest wait for the write at the end of a term; the release of the leader lease waits for it.
LAST_WRITE_TIMEOUT_S = 0.2
# The store accepts values of up to 1 MiB.
MAX_RECORD_BYTES = 1_000_000
# Teams with metrics, those with the most use.
MAX_METRIC_TEAMS = 60

_log = logger("usage")


class UsageStore:
    """Charges the runs of a term, and keeps the past use in the store."""

    def __init__(self, cell: Cell, store: Store, leader_lease: LeaderLease, clock: Clock) -> None:
        """Set up without reading."""
        self._cell = cell
        self._store = store
        self._leader_lease = leader_lease
        self._clock = clock
        self._revision = ABSENT
        self._tried_ms = clock.now_ms()
        self._lock = asyncio.Lock()

    async def run(self, past_use: PastUse) -> None:
        """Charge, read and write until cancelled."""
        try:
            while True:
                past_use.charge(self._cell.workers, self._clock.now_ms())
                if not past_use.is_known:
                    await self._read(past_use)
                elif self._clock.now_ms() - self._tried_ms >= WRITE_INTERVAL_MS:
                    await self.write()
                publish(self._standings(past_use), is_known=past_use.is_known)
                await asyncio.sleep(TICK_S)
        finally:
            publish({}, is_known=False)

    async def write(self) -> None:
        """Write the use up to now, unless that of earlier terms is not known yet."""
        past_use, now_ms = self._cell.past_use, self._clock.now_ms()
        if past_use is None or not past_use.is_known:
            return
        async with self._lock:
            self._tried_ms = now_ms
            past_use.charge(self._cell.workers, now_ms)
            value = encode_usage(past_use.use_core_ms(now_ms), self._clock.wall_ms())
            try:
                await self._replace(value)
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.info("usage not written", reason=str(exc))

    async def write_last(self) -> None:
        """Write the use at the end of a term, if the store answers soon."""
        with suppress(TimeoutError):
            async with asyncio.timeout(LAST_WRITE_TIMEOUT_S):
                await self.write()

    async def _replace(self, value: bytes) -> None:
        """Replace the record, on condition that this process still leads.

        An earlier write without an answer may have taken effect meanwhile; the record's revision
        keeps it from replacing a newer one.
        """
        while True:
            token = self._leader_lease.token
            conditions = {LEADER_KEY: token, USAGE: self._revision}
            result = await self._store.commit(conditions, [Put(USAGE, value)])
            if isinstance(result, Committed):
                self._revision = result.revision
                return
            found = {item.key: item.revision for item in result.items} if result else {}
            if found.get(LEADER_KEY) != token:
                _log.info("usage not written", reason="the leader lease has changed")
                return
            self._revision = found.get(USAGE, ABSENT)

    async def _read(self, past_use: PastUse) -> None:
        """Read the record; until that succeeds, past use changes no order."""
        try:
            item = await self._store.read(USAGE)
        except (StoreUnavailableError, StoreUncertainError) as exc:
            _log.info("usage not read", reason=str(exc))
            return
        self._revision = ABSENT if item is None else item.revision
        use, written_wall_ms = _decode(item)
        # The process knows of an earlier leader unless the whole cell was lost. Only then does the
        # wall clock tell how old the record is.
        is_lost = not self._leader_lease.has_predecessor
        age_ms = self._clock.wall_ms() - written_wall_ms if is_lost else 0
        past_use.add_record(use, age_ms, self._clock.now_ms())
        if use:
            _log.info("usage read", teams=len(use), age_ms=age_ms)

    def _standings(self, past_use: PastUse) -> dict[TeamId, Standing]:
        waiting = {step.job.spec.team for step in self._cell.open_steps.first()}
        return past_use.standings(waiting, self._cell.cfg, self._clock.now_ms())


def publish(standings: dict[TeamId, Standing], *, is_known: bool) -> None:
    """Replace the metrics of the teams; there are none, and no zeros, while they are unknown."""
    job_metrics.usage_is_known.set({}, int(is_known))
    gauges = (job_metrics.team_use, job_metrics.team_entitlement, job_metrics.team_penalty)
    for gauge in gauges:
        gauge.values.clear()
    rows = sorted(standings.items(), key=lambda row: (-row[1].use_core_ms, row[0]))
    for team, found in rows[:MAX_METRIC_TEAMS]:
        values = (found.use_core_ms, found.entitled_core_ms, found.penalty_ms)
        for gauge, value in zip(gauges, values, strict=True):
            gauge.set({"team": team}, value)


def encode_usage(use: dict[TeamId, float], wall_ms: int) -> bytes:
    """Return the record of the teams with the most use, as many as fit into one value."""
    rows = sorted(use.items(), key=lambda row: (-row[1], row[0]))[:MAX_TEAMS]
    while True:
        amounts = {team: round(core_ms, 3) for team, core_ms in rows}
        data = orjson.dumps({"written_ms": wall_ms, "use": amounts})
        if len(data) <= MAX_RECORD_BYTES:
            return data
        rows = rows[: len(rows) // 2]


def decode_usage(data: bytes) -> tuple[dict[TeamId, float], int]:
    """Return the use of each team and the wall time at which the record was written.

    :raises ValueError: when the record cannot be read
    """
    raw = orjson.loads(data)
    if not isinstance(raw, dict) or not isinstance(raw.get("use"), dict):
        raise ValueError("no object with an object of amounts")
    written_ms = raw.get("written_ms")
    if type(written_ms) is not int or not _are_amounts(raw["use"].values()):
        raise ValueError("a time or an amount is no number of a possible size")
    return {TeamId(team): float(core_ms) for team, core_ms in raw["use"].items()}, written_ms


def _are_amounts(values: Iterable[object]) -> bool:
    return all(
        type(value) in (int, float) and isfinite(value) and 0 <= value <= MAX_USE_CORE_MS
        for value in values
    )


def _decode(item: Item | None) -> tuple[dict[TeamId, float], int]:
    """Decode the record; one that cannot be read counts as empty, and is replaced."""
    if item is None:
        return {}, 0
    try:
        return decode_usage(item.value)
    except ValueError as exc:
        _log.error("usage record unreadable", bytes=len(item.value), reason=str(exc)[:200])
        return {}, 0
