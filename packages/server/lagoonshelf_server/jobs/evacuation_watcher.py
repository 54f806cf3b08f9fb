"""Keeps the leader's knowledge of the evacuated failure domains up to date."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import FailureDomain
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_server.jobs import job_metrics
from lagoonshelf_server.jobs.ports import (
    HistoryLostError,
    Item,
    PlatformCodec,
    Store,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.logs import logger

WATCH_MS = 5_000
RETRY_S = 0.1
# The readings bound the age of what is known when a watch is cut without an error. Four of them
# within the greatest age let three fail before starts are held back.
READ_INTERVAL_S = 1.0
READS_PER_MAX_AGE = 4
# A log line shows no more names than this, and no more of each. Anyone who may write the keys may
# write thousands at once.
MAX_SHOWN_NAMES = 10
MAX_SHOWN_CHARS = 80

_log = logger("evacuations")


class EvacuationWatcher:
    """Reads and watches the operator's evacuations for one leader term."""

    def __init__(
        self,
        cell: Cell,
        store: Store,
        codec: PlatformCodec,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        """Set up without reading.

        :param on_change: called when the evacuated domains have changed
        """
        self._cell = cell
        self._known = cell.evacuations
        self._store = store
        self._codec = codec
        self._clock = clock
        self._on_change = on_change
        self._is_failing = False
        self._is_outdated = False
        # Malformed keys of the last reading; only new ones are logged.
        self._malformed: set[str] = set()

    async def take_over(self) -> None:
        """Read the evacuations, however long the store needs; nothing is started before."""
        while not await self.read():
            await asyncio.sleep(RETRY_S)

    def loops(self) -> tuple[Coroutine, ...]:
        """Return the loops that keep the knowledge up to date until cancelled."""
        return self._watch(), self._read_periodically()

    async def read(self) -> bool:
        """Read all evacuations; return whether the store answered."""
        sent_ms = self._clock.now_ms()
        try:
            items, revision = await self._store.read_all(self._codec.evacuation_prefix)
        except (StoreUnavailableError, StoreUncertainError) as exc:
            self._log_failure(exc)
            return False
        added, removed = self._known.replace(self._decode(items), revision, sent_ms)
        self._log_success()
        self._log_changes(added, removed)
        return True

    async def _watch(self) -> None:
        while True:
            sent_ms, after = self._clock.now_ms(), self._known.revision
            prefix = self._codec.evacuation_prefix
            try:
                changes, revision = await self._store.watch(prefix, after, WATCH_MS)
            except HistoryLostError:
                # A reading that is older than the history that is left would fail here again.
                if not await self.read() or self._known.revision <= after:
                    await asyncio.sleep(RETRY_S)
                continue
            except (StoreUnavailableError, StoreUncertainError) as exc:
                self._log_failure(exc)
                await asyncio.sleep(RETRY_S)
                continue
            added: set[FailureDomain] = set()
            removed: set[FailureDomain] = set()
            for change in changes:
                domain = self._codec.decode_evacuation(change.key)
                is_evacuated = change.item is not None
                if domain is not None and self._known.change(
                    domain, change.revision, is_evacuated=is_evacuated
                ):
                    (added if is_evacuated else removed).add(domain)
            self._known.confirm(revision, sent_ms)
            self._log_success()
            self._log_changes(added, removed)

    async def _read_periodically(self) -> None:
        interval_s = min(READ_INTERVAL_S, self._known.max_age_ms / READS_PER_MAX_AGE / 1000)
        while True:
            await asyncio.sleep(interval_s)
            await self.read()
            self._check_age()

    def _check_age(self) -> None:
        """Log when starts begin to be held back by the age of what is known, and when they end."""
        now_ms = self._clock.now_ms()
        is_current = self._known.is_current(now_ms, is_store_down=self._cell.is_store_down)
        if not is_current and not self._is_outdated:
            _log.warning("evacuations may be unknown", age_ms=self._known.age_ms(now_ms))
        self._is_outdated = not is_current

    def _decode(self, items: Iterable[Item]) -> set[FailureDomain]:
        """Return the evacuated domains; what a key's value is does not matter."""
        domains, malformed = set(), set()
        for item in items:
            domain = self._codec.decode_evacuation(item.key)
            if domain is None:
                malformed.add(item.key)
            else:
                domains.add(domain)
        if malformed - self._malformed:
            _log.warning("evacuations malformed", **_shown(malformed))
        self._malformed = malformed
        return domains

    def _log_changes(self, added: set[FailureDomain], removed: set[FailureDomain]) -> None:
        if not added and not removed:
            return
        by_domain: dict[FailureDomain, list[Worker]] = {}
        for worker in self._cell.workers.values():
            by_domain.setdefault(worker.info.domain, []).append(worker)
        revision = self._known.revision
        for domain in sorted(added & by_domain.keys()):
            workers = by_domain[domain]
            runs = sum(len(worker.runs) for worker in workers)
            fields = {"workers": len(workers), "runs": runs, "revision": revision}
            _log.info("evacuation seen", domain=domain, **fields)
        if added - by_domain.keys():
            unknown = _shown(added - by_domain.keys())
            _log.warning("evacuation of an unknown domain", revision=revision, **unknown)
        if removed:
            _log.info("evacuation ended", revision=revision, **_shown(removed))
        pools = self._cell.evacuated_pools()
        if added and pools:
            _log.warning("pools without workers outside evacuated domains", **_shown(pools))
        self._on_change()

    def _log_failure(self, exc: Exception) -> None:
        """Log the first of some failures; the end of them is logged by ``_log_success``."""
        if not self._is_failing:
            self._is_failing = True
            age_ms = self._known.age_ms(self._clock.now_ms())
            _log.info("evacuations not read", age_ms=age_ms, reason=str(exc))

    def _log_success(self) -> None:
        if self._is_failing:
            self._is_failing = False
            _log.info("evacuations read again", revision=self._known.revision)

    def report(self) -> dict[str, int]:
        """Set the metrics, and return the same for the log."""
        domains = self._known.domains
        workers = [w for w in self._cell.workers.values() if w.info.domain in domains]
        runs = sum(len(worker.runs) for worker in workers)
        age_ms = self._known.age_ms(self._clock.now_ms())
        job_metrics.evacuated_domains.set({}, len(domains))
        job_metrics.evacuated_workers.set({}, len(workers))
        job_metrics.evacuated_runs.set({}, runs)
        job_metrics.evacuations_age_ms.set({}, age_ms)
        return {
            "evacuated_domains": len(domains),
            "evacuated_workers": len(workers),
            "evacuated_runs": runs,
            "evacuations_age_ms": age_ms,
        }


def _shown(names: Iterable[str]) -> dict[str, object]:
    """Return the fields of a log line that shows some of many names."""
    ordered = sorted(names)
    shown = [name[:MAX_SHOWN_CHARS] for name in ordered[:MAX_SHOWN_NAMES]]
    return {"names": shown, "count": len(ordered)}
