"""Contact with one worker: its clock, its lease, and the loop that follows what runs there."""

import asyncio
from collections.abc import Callable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.workers import Worker, lapse_after_ms
from lagoonshelf_server.jobs.ledger import Ledger
from lagoonshelf_server.jobs.ports import (
    Listing,
    NoAnswerError,
    WorkerGoneError,
    WorkerPort,
    WorkerUnreachableError,
)
from lagoonshelf_server.jobs.seat import Seat
from lagoonshelf_server.logs import logger

# Lease of all runs of a worker. A fresh fleet has to renew it in time after the loss of all
# processes; runs of a worker that is cut off are started elsewhere only after it.
RUN_LEASE_MS = 6_000
WAIT_MS = 1_800
# Where services and fillers share a worker, their tails are looked at more often.
SHARED_WAIT_MS = 400
ANSWER_SLACK_MS = 400
RETRY_S = 0.1
GONE_RETRY_S = 1.0
# Longest wait for ends to become durable before the worker is asked again.
DURABLE_WAIT_S = 0.3

_log = logger("contact")


class Contact:
    """What the holder knows of one incarnation of a worker beside its runs."""

    def __init__(
        self,
        worker: Worker,
        cell: Cell,
        port: WorkerPort,
        ledger: Ledger,
        seat: Seat,
        clock: Clock,
        on_report: Callable[[], None],
        on_contact: Callable[[], None],
    ) -> None:
        """Set up without a call.

        :param on_report: called after each list
        :param on_contact: called when the worker was lost or heard again
        """
        self._worker = worker
        self._cell = cell
        self._port = port
        self._ledger = ledger
        self._seat = seat
        self._clock = clock
        self._on_report = on_report
        self._on_contact = on_contact
        self._clock_read: tuple[int, int] | None = None
        self._until_ms = 0
        self._seen_end = 0
        self.answered_ms = 0
        self.failures = 0

    def until_ms(self) -> int | None:
        """Return the end of the lease to order now, on the worker's clock."""
        if self._clock_read is None:
            return None
        worker_ms, own_ms = self._clock_read
        until = worker_ms + (self._clock.now_ms() - own_ms) + RUN_LEASE_MS
        self._until_ms = max(self._until_ms, until)
        self._worker.lapse_ms = self._lapse_ms()
        return until

    def heard_clock(self, worker_clock_ms: int) -> None:
        """Note the worker's clock from an answer that has just come."""
        if worker_clock_ms:
            self._clock_read = (worker_clock_ms, self._clock.now_ms())
            self._worker.lapse_ms = self._lapse_ms()

    async def follow(self) -> None:
        """Renew the lease and follow the runs until cancelled."""
        while True:
            asked_ms = self._clock.now_ms()
            try:
                listing = await self._list()
            except WorkerGoneError as exc:
                self._gone(str(exc))
                await asyncio.sleep(GONE_RETRY_S)
                continue
            except (WorkerUnreachableError, NoAnswerError) as exc:
                self._not_heard(str(exc))
                await asyncio.sleep(RETRY_S)
                continue
            if listing.is_fenced:
                self._seat.step_down(f"fenced at worker {self._worker.id}")
                return
            if listing.born_ms and listing.born_ms != self._worker.info.born_ms:
                self._restarted(listing.born_ms)
                await asyncio.sleep(RETRY_S)
                continue
            self._heard(listing, asked_ms)
            await self._settle_ends(listing)

    async def _list(self) -> Listing:
        wait_ms = 0
        if self._worker.is_read:
            is_shared = self._worker.services and self._worker.fillers
            wait_ms = SHARED_WAIT_MS if is_shared else WAIT_MS
        # A renewal without answer may have been carried out; one after the other would put off
        # the end of a lost worker's lease for ever.
        until_ms = None if self.failures else self.until_ms()
        return await self._port.list_runs(
            self._worker.info,
            self._seat.revision,
            self._seen_end,
            until_ms,
            wait_ms,
            wait_ms + ANSWER_SLACK_MS,
        )

    def _not_heard(self, reason: str) -> None:
        self.failures += 1
        if self.failures == 1:
            _log.warning("worker lost", worker=self._worker.id, reason=reason)
        if self.failures > 1 and self._worker.is_read:
            self._worker.is_read = False
            self._on_contact()

    def _gone(self, reason: str) -> None:
        worker = self._worker
        if worker.runs or worker.is_read or worker.blocks_inherited:
            _log.warning("worker gone", worker=worker.id, reason=reason)
            worker.is_read = worker.blocks_inherited = False
            self._cell.end_worker_runs(worker, self._clock.now_ms(), "its worker is gone")
            self._on_report()

    def _heard(self, listing: Listing, asked_ms: int) -> None:
        worker, now_ms = self._worker, self._clock.now_ms()
        self.heard_clock(listing.worker_clock_ms)
        self.answered_ms = now_ms
        is_new = not worker.is_read
        if self.failures or is_new:
            _log.info("worker heard", worker=worker.id, runs=len(listing.running))
        self.failures = 0
        self._cell.apply_report(worker, listing.running, listing.ended, asked_ms, now_ms)
        worker.is_read = True
        worker.blocks_inherited = False
        self._on_report()
        if is_new:
            self._on_contact()

    def _restarted(self, born_ms: int) -> None:
        """Forget the old incarnation; the registry tells of the new one."""
        if self._worker.is_recorded:
            _log.warning("worker started again", worker=self._worker.id, born_ms=born_ms)
        self._cell.mark_runs_unverified(self._worker, self._clock.now_ms())
        self._worker.is_recorded = False
        self._clock_read = None
        self._until_ms = 0
        self._seen_end = 0

    async def _settle_ends(self, listing: Listing) -> None:
        """Acknowledge ends once they are durable."""
        if not listing.ended:
            return
        last = max(row.number for row in listing.ended)
        mark = self._ledger.mark()
        if await self._ledger.wait_durable(mark, DURABLE_WAIT_S):
            self._seen_end = max(self._seen_end, last)

    def _lapse_ms(self) -> int:
        if self._clock_read is None:
            return self._worker.lapse_ms
        worker_ms, own_ms = self._clock_read
        return own_ms + lapse_after_ms(max(0, self._until_ms - worker_ms))
