"""Graceful shutdown: release partitions to other members and answer all clients."""

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
# Covers the time between the answer on the event loop and its last byte on an HTTP thread.
ANSWER_DELIVERY_S = 0.3
STATE_CHART = load_chart("drain")
SERVING = STATE_CHART.initial
WAITING = "waiting"
_log = logger("drain")


class Drain:
    """Graceful shutdown of one process, limited to ``drain_timeout_ms``."""

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
        """Initialize in the serving state.

        :param stop_lease: stops the renewal of the process lease
        :param stopped: set when the process may exit
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
        """Release the partitions one by one, answer waiting clients, and let the process exit."""
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
        """Return whether this process may take over a free partition.

        A draining process does so only for clients that still wait here, if no other member can.
        """
        if self.state == SERVING:
            return True
        has_clients = self.state not in STATE_CHART.final and self._requests.in_flight > 0
        return has_clients and not self._has_successor()

    async def _release_all(self) -> None:
        while self._owners or self._requests.in_flight:
            if not self._has_successor():
                # Clients of a partition released now would wait for an owner that never comes.
                await self._wait_answered()
            for partition in sorted(self._owners):
                await self._release(partition)
            self._transition("answered" if self.state == WAITING else "all_released")
            await self._wait_answered()
        if self.state != WAITING:
            self._transition("all_released")

    async def _release(self, partition: PartitionId) -> None:
        """Release a partition; keep serving it while the store is unreachable."""
        while not await self._is_store_reachable():
            await asyncio.sleep(STORE_POLL_S)
        owner = self._owners.get(partition)
        if owner is None or owner.state is OwnerState.LOST:
            return
        try:
            await owner.release()
        except LagoonshelfError as exc:
            _log.warning("partition not released", partition=partition, reason=exc.fault.message)
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
        """Revoke the lease, so that other members need not wait until it expires."""
        for owner in self._owners.values():
            owner.close()
        self._stop_lease()
        lease, self._members.lease = self._members.lease, None
        try:
            if lease is not None:
                await self._store.revoke_lease(lease)
        except StoreError as exc:
            _log.info("lease not revoked; it will expire", reason=str(exc))

    def _has_successor(self) -> bool:
        others = self._members.others.values()
        return any(not (member.status and member.status.draining) for member in others)

    def _transition(self, event: str) -> None:
        """Apply an event to the state chart."""
        self.state = STATE_CHART.next(self.state, event)
        _log.info("drain", state=self.state)
