"""Graceful shutdown: callers get their answers, partitions go to other members."""

import asyncio
from collections.abc import Callable
from enum import Enum

from lagoonshelf_core.errors import LagoonshelfError
from lagoonshelf_core.ids import PartitionId

from lagoonshelf_server.logs import logger
from lagoonshelf_server.members import Members
from lagoonshelf_server.owner import Owner, OwnerState
from lagoonshelf_server.requests import Requests
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.store import StoreClient, StoreError

POLL_S = 0.05
STORE_POLL_S = 0.3
# Covers the time between the answer on the loop and its last byte on an HTTP thread.
LAST_ANSWER_S = 0.3
_log = logger("drain")


class DrainState(Enum):
    """States of a graceful shutdown."""

    SERVING = "serving"
    RELEASING = "releasing"
    FINISHING = "finishing"
    CLOSED = "closed"


class Drain:
    """The graceful shutdown of one process; it takes at most ``drain_timeout_ms``."""

    def __init__(
        self,
        cfg: Settings,
        store: StoreClient,
        members: Members,
        owners: dict[PartitionId, Owner],
        requests: Requests,
        end: Callable[[], None],
    ) -> None:
        """Begin while the process serves.

        :param end: stops the renewal of the lease and lets the process end
        """
        self.state = DrainState.SERVING
        self._cfg = cfg
        self._store = store
        self._members = members
        self._owners = owners
        self._requests = requests
        self._end = end

    async def run(self) -> None:
        """Hand over the partitions one by one, wait for callers, and let the process end."""
        if self.state is not DrainState.SERVING:
            return
        self._members.draining = True
        self._enter(DrainState.RELEASING)
        try:
            await asyncio.wait_for(self._finish(), self._cfg.drain_timeout_ms / 1000)
        except TimeoutError:
            _log.warning("drain timed out", in_flight=self._requests.in_flight)
        self._enter(DrainState.CLOSED)
        self._end()
        await self._leave()

    async def _finish(self) -> None:
        if not self._has_successor():
            # Callers whose partition is here would wait for an owner that never comes.
            await self._wait_answered()
        for partition in sorted(self._owners):
            await self._release(partition)
        self._enter(DrainState.FINISHING)
        await self._wait_answered()

    async def _release(self, partition: PartitionId) -> None:
        """Release a partition; it is kept and served while the store cannot be reached."""
        while not await self._store_answers():
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
        await asyncio.sleep(LAST_ANSWER_S)

    async def _store_answers(self) -> bool:
        try:
            await self._store.get(f"members/{self._members.me}")
        except StoreError:
            return False
        return True

    async def _leave(self) -> None:
        """End the lease, so that others need not wait until it lapses."""
        for owner in self._owners.values():
            owner.close()
        lease, self._members.lease = self._members.lease, None
        try:
            if lease is not None:
                await self._store.revoke_lease(lease)
        except StoreError as exc:
            _log.info("lease left to lapse", reason=str(exc))

    def _has_successor(self) -> bool:
        others = self._members.others.values()
        return any(not (member.status and member.status.draining) for member in others)

    def _enter(self, state: DrainState) -> None:
        _log.info("drain", state=state.value)
        self.state = state
