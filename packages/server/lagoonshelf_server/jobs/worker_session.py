"""Session with one worker: its clock, its lease, and the loop that tracks its runs."""

import asyncio
from collections.abc import Callable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.crashes import end_runs_of_lost_worker, keep_runs_of_restarted_worker
from lagoonshelf_core.jobs.worker_reports import apply_report
from lagoonshelf_core.jobs.workers import (
    MAX_CALL_DELAY_MS,
    MAX_LEASE_MS,
    Worker,
    WorkerLoss,
    lapse_after_ms,
)
from lagoonshelf_server.jobs.leader_lease import LeaderLease
from lagoonshelf_server.jobs.ports import (
    Listing,
    NoAnswerError,
    WorkerGoneError,
    WorkerPort,
    WorkerUnreachableError,
)
from lagoonshelf_server.jobs.progress_writer import ProgressWriter
from lagoonshelf_server.logs import logger

# Lease of all runs of a worker. It must be long enough that new processes renew it after all
# processes were lost; runs of an unreachable worker are restarted elsewhere only after it expires.
RUN_LEASE_MS = 6_000
LONG_POLL_MS = 1_800
# Tail latencies are polled more often if services share the worker with best-effort fillers.
SHARED_LONG_POLL_MS = 400
ANSWER_SLACK_MS = 400
RETRY_S = 0.1
GONE_RETRY_S = 1.0
# A list costs as much as it has rows, and a worker with many runs has new ends all the time, so a
# long list is followed by a pause.
ROWS_WITHOUT_PAUSE = 100
PAUSE_PER_ROW_S = 0.0001
# Longest wait for ends to become durable before the worker is polled again.
DURABLE_WAIT_S = 0.3

_log = logger("contact")


class WorkerSession:
    """State that the leader keeps about a worker besides its runs."""

    def __init__(
        self,
        worker: Worker,
        cell: Cell,
        port: WorkerPort,
        progress_writer: ProgressWriter,
        leader_lease: LeaderLease,
        clock: Clock,
        on_report: Callable[[], None],
        on_reachability: Callable[[], None],
    ) -> None:
        """Set up without calling the worker.

        :param on_report: called after each list of runs
        :param on_reachability: called when the worker became unreachable or reachable
        """
        self._worker = worker
        self._cell = cell
        self._port = port
        self._progress_writer = progress_writer
        self._leader_lease = leader_lease
        self._clock = clock
        self._on_report = on_report
        self._on_reachability = on_reachability
        self._clock_sample: tuple[int, int] | None = None
        self._lease_end_ms = 0
        self._granted_ms = 0
        self._other_born_ms = 0
        self._acked_end = 0
        self._sent_token = 0
        self.answered_ms = 0
        self.failures = 0

    def token(self) -> int:
        """Return the fencing token of calls to the worker."""
        return self._worker.token(self._leader_lease.token)

    def lease_end_ms(self) -> int | None:
        """Return the end of a lease granted now, on the worker's clock, ``None`` if unknown."""
        if self._clock_sample is None:
            return None
        worker_ms, own_ms = self._clock_sample
        until = worker_ms + (self._clock.now_ms() - own_ms) + RUN_LEASE_MS
        self._lease_end_ms = max(self._lease_end_ms, until)
        self._granted_ms = self._clock.now_ms()
        self._worker.lease_lapse_ms = self._lapse_ms()
        return until

    def record_clock(self, worker_clock_ms: int) -> None:
        """Record an answer of the worker that was just received, and the clock in it."""
        self._worker.record_answer(self._clock.now_ms())
        if worker_clock_ms:
            self._clock_sample = (worker_clock_ms, self._clock.now_ms())
            self._worker.lease_lapse_ms = self._lapse_ms()

    async def run(self) -> None:
        """Renew the lease and track the runs until cancelled."""
        while True:
            sent_ms = self._clock.now_ms()
            try:
                listing = await self._list()
            except WorkerGoneError as exc:
                self._handle_gone(str(exc))
                await asyncio.sleep(GONE_RETRY_S)
                continue
            except (WorkerUnreachableError, NoAnswerError) as exc:
                self._record_failure(str(exc))
                await asyncio.sleep(RETRY_S)
                continue
            if listing.is_fenced:
                if self._sent_token < self.token():
                    continue
                self._leader_lease.step_down(f"fenced at worker {self._worker.id}")
                return
            if listing.born_ms and listing.born_ms != self._worker.info.born_ms:
                if listing.born_ms != self._other_born_ms:
                    self._handle_restart(listing.born_ms)
                await asyncio.sleep(RETRY_S)
                continue
            self._apply_listing(listing, sent_ms)
            await self._acknowledge_ends(listing)
            rows = len(listing.running) + len(listing.ended)
            if rows > ROWS_WITHOUT_PAUSE:
                await asyncio.sleep(rows * PAUSE_PER_ROW_S)

    async def _list(self) -> Listing:
        wait_ms = 0
        if self._worker.is_read:
            is_shared = self._worker.services and self._worker.fillers
            wait_ms = SHARED_LONG_POLL_MS if is_shared else LONG_POLL_MS
        # An unanswered renewal may have taken effect, so repeated renewals would postpone the
        # expiry of a lost worker's lease forever.
        may_renew = not self.failures and self._leader_lease.may_renew_runs()
        lease_end_ms = self.lease_end_ms() if may_renew else None
        # After a call that failed, another incarnation may answer, which counts its ends anew.
        acked_end = 0 if self.failures else self._acked_end
        self._sent_token = self.token()
        return await self._port.list_runs(
            self._worker.info,
            self._sent_token,
            acked_end,
            lease_end_ms,
            wait_ms,
            wait_ms + ANSWER_SLACK_MS,
        )

    def _record_failure(self, reason: str) -> None:
        self.failures += 1
        if self.failures == 1:
            self._worker.silent_since_ms = self._clock.now_ms()
            _log.warning("worker lost", worker=self._worker.id, reason=reason)
        if self.failures > 1 and self._worker.is_read:
            self._worker.is_read = False
            self._on_reachability()

    def _handle_gone(self, reason: str) -> None:
        worker = self._worker
        if worker.runs or worker.is_read or worker.blocks_inherited:
            _log.warning("worker gone", worker=worker.id, reason=reason)
            worker.is_read = worker.blocks_inherited = False
            now_ms = self._clock.now_ms()
            end_runs_of_lost_worker(self._cell, worker, WorkerLoss.RESTARTED, now_ms)
            self._on_report()

    def _apply_listing(self, listing: Listing, sent_ms: int) -> None:
        worker, now_ms = self._worker, self._clock.now_ms()
        worker.record_fenced(now_ms, RUN_LEASE_MS)
        self.record_clock(listing.worker_clock_ms)
        self.answered_ms = now_ms
        is_new = not worker.is_read
        if self.failures or is_new:
            _log.info("worker reachable", worker=worker.id, runs=len(listing.running))
        self.failures = 0
        apply_report(
            self._cell,
            worker,
            listing.running,
            listing.ended,
            sent_ms,
            now_ms,
            may_be_cut=listing.may_be_cut,
        )
        worker.is_read = True
        if not listing.may_be_cut:
            worker.blocks_inherited = False
        elif is_new:
            _log.info("list of ended runs is cut", worker=worker.id, ended=len(listing.ended))
        self._on_report()
        if is_new:
            self._on_reachability()

    def _handle_restart(self, born_ms: int) -> None:
        """Reset the state of the old incarnation; the registry provides the new one."""
        worker, now_ms = self._worker, self._clock.now_ms()
        self._other_born_ms = born_ms
        keep_runs_of_restarted_worker(self._cell, worker, now_ms)
        fields = {"born_ms": born_ms, "lapse_after_ms": worker.lapse_ms - now_ms}
        _log.warning("worker restarted", worker=worker.id, runs=len(worker.runs), **fields)
        worker.is_recorded = False
        self._clock_sample = None
        self._lease_end_ms = 0
        self._acked_end = 0

    async def _acknowledge_ends(self, listing: Listing) -> None:
        """Acknowledge ends once they are durable."""
        if not listing.ended:
            return
        last = max(row.number for row in listing.ended)
        mark = self._progress_writer.mark()
        if await self._progress_writer.wait_durable(mark, DURABLE_WAIT_S):
            self._acked_end = max(self._acked_end, last)

    def _lapse_ms(self) -> int:
        if self._clock_sample is None:
            return self._worker.lease_lapse_ms
        worker_ms, own_ms = self._clock_sample
        lapse_ms = own_ms + lapse_after_ms(max(0, self._lease_end_ms - worker_ms))
        # The sample may be that of a new incarnation, and the lease end a time of the old one.
        return min(lapse_ms, self._granted_ms + MAX_CALL_DELAY_MS + lapse_after_ms(MAX_LEASE_MS))
