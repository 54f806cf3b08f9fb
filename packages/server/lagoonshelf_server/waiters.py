"""Clients that wait for a request to end."""

import asyncio
from collections import defaultdict

from lagoonshelf_core.errors import Fault, LagoonshelfError
from lagoonshelf_core.records import RequestId


class Waiters:
    """Waiting clients of a partition, each with its own timeout."""

    def __init__(self) -> None:
        """Start with no waiting clients."""
        self._waiting: dict[RequestId, set[asyncio.Future[None]]] = defaultdict(set)

    async def wait(self, request: RequestId, timeout_s: float) -> bool:
        """Wait until a request ends; return false if the timeout expires first.

        :raises LagoonshelfError: the fault passed to :meth:`fail` or :meth:`fail_all`
        """
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[request].add(fut)
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await fut
        except TimeoutError:
            return False
        finally:
            self._remove(request, fut)
        return True

    def count(self, request: RequestId) -> int:
        """Return the number of clients that wait for a request."""
        return len(self._waiting.get(request, ()))

    def wake(self, request: RequestId) -> None:
        """Wake all clients that wait for a request."""
        for fut in self._waiting.get(request, ()):
            if not fut.done():
                fut.set_result(None)

    def fail(self, request: RequestId, fault: Fault) -> None:
        """Raise a fault in all clients that wait for a request."""
        for fut in self._waiting.get(request, ()):
            if not fut.done():
                fut.set_exception(LagoonshelfError(fault))

    def fail_all(self, fault: Fault) -> None:
        """Raise a fault in all waiting clients."""
        for request in list(self._waiting):
            self.fail(request, fault)

    def _remove(self, request: RequestId, fut: asyncio.Future[None]) -> None:
        futures = self._waiting[request]
        futures.discard(fut)
        if not futures:
            del self._waiting[request]
