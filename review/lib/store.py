"""Stand-in of the platform's store that can be down without a word, and lose its history."""

import asyncio

from tests.platform.standin.http import Request, Response
from tests.platform.standin.store import WATCH_POLL_S, StubStore


class Store(StubStore):
    """The project's stand-in, which may also go silent for all machines."""

    def __init__(self) -> None:
        """Set up a store that answers."""
        super().__init__()
        self._is_up = True
        self._is_deaf = False

    def go_down(self) -> None:
        """Answer nothing more; connections stay open, new ones are taken, and leases pause."""
        self._is_up = False
        self._down_s = asyncio.get_running_loop().time()

    def come_back(self) -> None:
        """Answer new calls again; those that came while it was down have no effect."""
        self._is_up = True
        down_s = asyncio.get_running_loop().time() - self._down_s
        for lease, (expires_s, ttl_s) in list(self._leases.items()):
            self._leases[lease] = (expires_s + down_s, ttl_s)

    async def expire_leases(self) -> None:
        """Expire leases until cancelled, but not while the store is down."""
        while True:
            await asyncio.sleep(0.02)
            now = asyncio.get_running_loop().time()
            for lease, (expires_s, _) in list(self._leases.items()):
                if self._is_up and expires_s <= now:
                    self._end_lease(lease)

    def deafen(self) -> None:
        """Let watches hear nothing, whatever changes."""
        self._is_deaf = True

    def drop_history(self) -> None:
        """Drop the history, so that the watches are cut with status 410."""
        self.compact_history()
        self._is_deaf = False

    def remove(self, key: str) -> None:
        """Remove a key as the platform does."""
        self.revision += 1
        self.delete(key)

    async def _watch(self, request: Request) -> Response:
        while self._is_deaf:
            await asyncio.sleep(WATCH_POLL_S)
        return await super()._watch(request)

    async def _handle(self, request: Request) -> Response:
        if not self._is_up:
            await asyncio.sleep(3_600)
        response = await super()._handle(request)
        if not self._is_up:
            await asyncio.sleep(3_600)
        return response
