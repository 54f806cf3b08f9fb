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
    """One worker: its state, its clock and its report cursor."""

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
        self._authority = authority
        self._client = client
        self._clock = clock
        self._events = events
        self._cursor = 0
        self._worker_clock_ms = 0
        self._clock_read_ms = 0

    async def follow(self) -> None:
        """Read the inventory, then reports, for ever; begin again after a failure."""
        while True:
            try:
                if self.state is WorkerState.UNREAD:
                    await self.read()
                else:
                    await self._read_reports()
            except WorkerError:
                self.set_state(WorkerState.UNREAD)
                await asyncio.sleep(RETRY_S)
            except StaleEpochError:
                self._events.on_stale()
                return

    async def read(self) -> None:
        """Read the inventory and become ready."""
        inventory = await self._client.inventory(self.info.address, self._authority)
        self._hear(inventory.clock_ms)
        self._cursor = inventory.cursor
        self.boot_id = inventory.boot_id
        self._events.on_inventory(self, inventory)
        leaving = inventory.leaving or self.info.leaving
        self.set_state(WorkerState.LEAVING if leaving else WorkerState.READY)

    def set_state(self, state: WorkerState) -> None:
        """Change the state and tell the owner."""
        if state is self.state:
            return
        _log.info("worker state", worker=self.info.worker, state=state.value)
        self.state = state
        self._events.on_state(self)

    def expiry_ms(self, timeout_ms: int) -> int:
        """Return a time on the worker's clock at which a start sent now is given up.

        The estimate is low by the delay of the last message, which makes the expiry earlier.
        """
        return self._worker_clock_ms + self._clock.now_ms() - self._clock_read_ms + timeout_ms

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
            self.set_state(WorkerState.LEAVING)

    def _hear(self, worker_clock_ms: int) -> None:
        self.heard_ms = self._clock.now_ms()
        self._clock_read_ms = self.heard_ms
        self._worker_clock_ms = worker_clock_ms
