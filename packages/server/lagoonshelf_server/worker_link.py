"""State of one worker in its owner, and the loop that reads the worker's reports."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.model import WorkerInfo, WorkerState
from lagoonshelf_server.logs import logger
from lagoonshelf_server.worker_client import (
    FencingToken,
    Inventory,
    StaleEpochError,
    TaskReport,
    WorkerClient,
    WorkerError,
)

RETRY_DELAY_S = 0.2
_log = logger("worker")


@dataclass(slots=True)
class LinkHooks:
    """Callbacks for the inventory, the reports and the state of a worker."""

    on_inventory: Callable[["WorkerLink", Inventory], None]
    on_report: Callable[["WorkerLink", TaskReport], None]
    on_state: Callable[["WorkerLink"], None]
    on_stale_epoch: Callable[[], None]


class WorkerLink:
    """One worker: its state, its clock and its report cursor.

    ``last_lease_sent_ms`` is the last time at which a start or renewal was sent that may have
    taken effect. ``lost`` is set when the leases of all tasks have ended since then.
    """

    def __init__(
        self,
        info: WorkerInfo,
        token: FencingToken,
        client: WorkerClient,
        clock: Clock,
        hooks: LinkHooks,
    ) -> None:
        """Initialize as unread."""
        self.info = info
        self.state = WorkerState.UNREAD
        self.boot_id = ""
        self.last_contact_ms = -1
        self.last_lease_sent_ms = clock.now_ms()
        self.read_attempted = False
        self.lost = False
        self.unlisted_ms: int | None = None
        self.pending_acks: list[str] = []
        self._token = token
        self._client = client
        self._clock = clock
        self._hooks = hooks
        self._cursor = 0
        self._worker_clock_ms = 0
        self._clock_read_ms = 0
        self._unread_event = asyncio.Event()

    async def follow(self, delay_ms: int = 0) -> None:
        """Read the inventory, then reports; start over with the inventory after a failure.

        :param delay_ms: delay before the first inventory
        """
        await asyncio.sleep(delay_ms / 1000)
        while True:
            try:
                await self._step()
            except StaleEpochError:
                self._hooks.on_stale_epoch()
                return
            except WorkerError:
                await self._mark_unread()
            except Exception as exc:
                _log.error(
                    "worker response could not be processed",
                    worker=self.info.worker,
                    error=repr(exc),
                )
                await self._mark_unread()

    async def read(self) -> None:
        """Read the inventory and mark the worker as ready, or as leaving."""
        self._unread_event.clear()
        inventory = await self._client.inventory(self.info.address, self._token)
        self._record_contact(inventory.clock_ms)
        self._cursor = inventory.cursor
        self._hooks.on_inventory(self, inventory)
        self.boot_id = inventory.boot_id
        self.lost = False
        self.read_attempted = True
        if self._unread_event.is_set():
            return
        leaving = inventory.leaving or self.info.leaving or self.unlisted_ms is not None
        self.set_state(WorkerState.LEAVING if leaving else WorkerState.READY)

    def set_state(self, state: WorkerState) -> None:
        """Change the state and notify the owner."""
        if state is WorkerState.UNREAD:
            self._unread_event.set()
        if state is self.state:
            return
        _log.info("worker state", worker=self.info.worker, state=state.value)
        self.state = state
        self._hooks.on_state(self)

    def set_leaving(self) -> None:
        """Give the worker no new tasks; an unread worker stays unread."""
        if self.state is WorkerState.READY:
            self.set_state(WorkerState.LEAVING)

    def record_lease_sent(self) -> None:
        """Record that a start or a renewal is sent now."""
        self.last_lease_sent_ms = self._clock.now_ms()

    def expiry_ms(self, timeout_ms: int) -> int:
        """Return the time on the worker's clock at which a start sent now expires.

        The estimate is low by the delay of the last message, which makes the expiry earlier.
        """
        return self._worker_clock_ms + self._clock.now_ms() - self._clock_read_ms + timeout_ms

    async def _step(self) -> None:
        if self.state is WorkerState.UNREAD or self._unread_event.is_set():
            await self.read()
            return
        polling = asyncio.ensure_future(self._read_reports())
        unread = asyncio.ensure_future(self._unread_event.wait())
        try:
            await asyncio.wait((polling, unread), return_when=asyncio.FIRST_COMPLETED)
        finally:
            unread.cancel()
            # A cancelled poll loses no results, since the inventory has all retained ones.
            if not polling.done():
                polling.cancel()
        if polling.done() and not polling.cancelled():
            polling.result()

    async def _mark_unread(self) -> None:
        self.read_attempted = True
        self.set_state(WorkerState.UNREAD)
        await asyncio.sleep(RETRY_DELAY_S)

    async def _read_reports(self) -> None:
        answer = await self._client.report(self.info.address, self._cursor, self.boot_id)
        if answer.reset:
            self.set_state(WorkerState.UNREAD)
            return
        self._record_contact(answer.clock_ms)
        self._cursor = answer.cursor
        for report in answer.reports:
            self._hooks.on_report(self, report)
        if answer.leaving:
            self.set_leaving()

    def _record_contact(self, worker_clock_ms: int) -> None:
        self.last_contact_ms = self._clock.now_ms()
        self._clock_read_ms = self.last_contact_ms
        self._worker_clock_ms = worker_clock_ms
