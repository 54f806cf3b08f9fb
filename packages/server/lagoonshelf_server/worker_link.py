"""What an owner knows of one worker, and the loop that follows its reports."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.model import WorkerInfo, WorkerState
from lagoonshelf_server.logs import logger
from lagoonshelf_server.workers import (
    Authority,
    Inventory,
    StaleEpochError,
    TaskReport,
    WorkerClient,
    WorkerError,
)

RETRY_S = 0.2
_log = logger("worker")


@dataclass(slots=True)
class LinkEvents:
    """What the owner does when a worker is heard."""

    on_inventory: Callable[["WorkerLink", Inventory], None]
    on_report: Callable[["WorkerLink", TaskReport], None]
    on_state: Callable[["WorkerLink"], None]
    on_stale: Callable[[], None]


class WorkerLink:
    """One worker: its state, its clock and its report cursor.

    ``touched_ms`` is the last time at which a start or renewal was sent that may have taken
    effect. ``lost`` is set when the leases of all tasks have ended since then.
    """

    def __init__(
        self,
        info: WorkerInfo,
        authority: Authority,
        client: WorkerClient,
        clock: Clock,
        events: LinkEvents,
    ) -> None:
        """Begin unread."""
        self.info = info
        self.state = WorkerState.UNREAD
        self.boot_id = ""
        self.heard_ms = -1
        self.touched_ms = clock.now_ms()
        self.tried = False
        self.lost = False
        self.gone_ms: int | None = None
        self.acks: list[str] = []
        self._authority = authority
        self._client = client
        self._clock = clock
        self._events = events
        self._cursor = 0
        self._worker_clock_ms = 0
        self._clock_read_ms = 0
        self._unread = asyncio.Event()

    async def follow(self, delay_ms: int = 0) -> None:
        """Read the inventory, then reports, for ever; begin again after a failure.

        :param delay_ms: wait before the first inventory
        """
        await asyncio.sleep(delay_ms / 1000)
        while True:
            try:
                await self._step()
            except StaleEpochError:
                self._events.on_stale()
                return
            except WorkerError:
                await self._begin_again()
            except Exception as exc:
                _log.error("worker not understood", worker=self.info.worker, error=repr(exc))
                await self._begin_again()

    async def read(self) -> None:
        """Read the inventory and become ready."""
        self._unread.clear()
        inventory = await self._client.inventory(self.info.address, self._authority)
        self._hear(inventory.clock_ms)
        self._cursor = inventory.cursor
        self._events.on_inventory(self, inventory)
        self.boot_id = inventory.boot_id
        self.lost = False
        self.tried = True
        if self._unread.is_set():
            return
        leaving = inventory.leaving or self.info.leaving or self.gone_ms is not None
        self.set_state(WorkerState.LEAVING if leaving else WorkerState.READY)

    def set_state(self, state: WorkerState) -> None:
        """Change the state and tell the owner."""
        if state is WorkerState.UNREAD:
            self._unread.set()
        if state is self.state:
            return
        _log.info("worker state", worker=self.info.worker, state=state.value)
        self.state = state
        self._events.on_state(self)

    def set_leaving(self) -> None:
        """Give the worker nothing new; an unread worker stays unread."""
        if self.state is WorkerState.READY:
            self.set_state(WorkerState.LEAVING)

    def touch(self) -> None:
        """Note that a start or a renewal is sent now."""
        self.touched_ms = self._clock.now_ms()

    def expiry_ms(self, timeout_ms: int) -> int:
        """Return a time on the worker's clock at which a start sent now is given up.

        The estimate is low by the delay of the last message, which makes the expiry earlier.
        """
        return self._worker_clock_ms + self._clock.now_ms() - self._clock_read_ms + timeout_ms

    async def _step(self) -> None:
        if self.state is WorkerState.UNREAD or self._unread.is_set():
            await self.read()
            return
        polling = asyncio.ensure_future(self._read_reports())
        unread = asyncio.ensure_future(self._unread.wait())
        try:
            await asyncio.wait((polling, unread), return_when=asyncio.FIRST_COMPLETED)
        finally:
            unread.cancel()
            # An abandoned poll loses nothing: the inventory holds all kept results.
            if not polling.done():
                polling.cancel()
        if polling.done() and not polling.cancelled():
            polling.result()

    async def _begin_again(self) -> None:
        self.tried = True
        self.set_state(WorkerState.UNREAD)
        await asyncio.sleep(RETRY_S)

    async def _read_reports(self) -> None:
        answer = await self._client.report(self.info.address, self._cursor, self.boot_id)
        if answer.reset:
            self.set_state(WorkerState.UNREAD)
            return
        self._hear(answer.clock_ms)
        self._cursor = answer.cursor
        for report in answer.reports:
            self._events.on_report(self, report)
        if answer.leaving:
            self.set_leaving()

    def _hear(self, worker_clock_ms: int) -> None:
        self.heard_ms = self._clock.now_ms()
        self._clock_read_ms = self.heard_ms
        self._worker_clock_ms = worker_clock_ms
