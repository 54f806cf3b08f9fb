"""Graceful shutdown: callers get their answers, partitions go to other members."""

import asyncio
from collections.abc import Callable

from lagoonshelf_core.charts import load_chart
from lagoonshelf_core.errors import LagoonshelfError
from lagoonshelf_core.ids import PartitionId
from lagoonshelf_server.logs import logger
from lagoonshelf_server.members import Members
from lagoonshelf_server.owner import Owner, OwnerState
from lagoonshelf_server.request_router import RequestRouter
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.store import StoreClient, StoreError

POLL_S = 0.05
STORE_POLL_S = 0.3
# Covers the time between the answer on the loop and its last byte on an HTTP thread.
ANSWER_DELIVERY_S = 0.3
STATE_CHART = load_chart("drain")
SERVING = STATE_CHART.initial
WAITING = "waiting"
_log = logger("drain")


class Drain:
    """The graceful shutdown of one process; it takes at most ``drain_timeout_ms``."""

    def __init__(
        self,
        cfg: Settings,
        store: StoreClient,
        members: Members,
        owners: dict[PartitionId, Owner],
        requests: RequestRouter,
        stop_lease: Callable[[], None],
        stopped: asyncio.Event,
    ) -> None:
        """Begin while the process serves.

        :param stop_lease: ends the renewal of the process lease
        :param stopped: set when the process may end
        """
        self.state = SERVING
        self._cfg = cfg
        self._store = store
        self._members = members
        self._owners = owners
        self._requests = requests
        self._stop_lease = stop_lease
        self._stopped = stopped

    async def run(self) -> None:
        """Hand over the partitions one by one, wait for callers, and let the process end."""
        if self.state != SERVING:
            return
        self._members.draining = True
        self._transition("drain")
        try:
            await asyncio.wait_for(self._release_all(), self._cfg.drain_timeout_ms / 1000)
        except TimeoutError:
            _log.warning("drain timed out", in_flight=self._requests.in_flight)
            if self.state != WAITING:
                self._transition("timeout")
            self._requests.abort()
            await asyncio.sleep(ANSWER_DELIVERY_S)
        self._transition("all_answered")
        await self._leave_cell()
        self._stopped.set()

    def may_claim(self) -> bool:
        """Tell whether this process may take a free partition over.

        A draining process does so only for callers that it holds, when nobody else will.
        """
        if self.state == SERVING:
            return True
        held = self.state not in STATE_CHART.final and self._requests.in_flight > 0
        return held and not self._has_successor()

    async def _release_all(self) -> None:
        while self._owners or self._requests.in_flight:
            if not self._has_successor():
                # Callers whose partition is here would wait for an owner that never comes.
                await self._wait_answered()
            for partition in sorted(self._owners):
                await self._release(partition)
            self._transition("answered" if self.state == WAITING else "all_released")
            await self._wait_answered()
        if self.state != WAITING:
            self._transition("all_released")

    async def _release(self, partition: PartitionId) -> None:
        """Release a partition; it is kept and served while the store cannot be reached."""
        while not await self._is_store_reachable():
            await asyncio.sleep(STORE_POLL_S)
        owner = self._owners.get(partition)
        if owner is None or owner.state is OwnerState.LOST:
            return
        try:
            await owner.release()
        except LagoonshelfError as exc:
            _log.warning("not released", partition=partition, reason=exc.fault.message)
        self._owners.pop(partition, None)

    async def _wait_answered(self) -> None:
        while self._requests.in_flight:
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(ANSWER_DELIVERY_S)

    async def _is_store_reachable(self) -> bool:
        try:
            await self._store.get(f"members/{self._members.me}")
        except StoreError:
            return False
        return True

    async def _leave_cell(self) -> None:
        """End the lease, so that others need not wait until it lapses."""
        for owner in self._owners.values():
            owner.close()
        self._stop_lease()
        lease, self._members.lease = self._members.lease, None
        try:
            if lease is not None:
                await self._store.revoke_lease(lease)
        except StoreError as exc:
            _log.info("lease left to lapse", reason=str(exc))

    def _has_successor(self) -> bool:
        others = self._members.others.values()
        return any(not (member.status and member.status.draining) for member in others)

    def _transition(self, event: str) -> None:
        """Follow the chart after an event."""
        self.state = STATE_CHART.next(self.state, event)
        _log.info("drain", state=self.state)
