"""Callers that wait for the end of a request."""

import asyncio
from collections import defaultdict

from lagoonshelf_core.errors import Fault, LagoonshelfError
from lagoonshelf_core.records import RequestId


class Waiters:
    """Waiting callers of a partition; each has a timeout of its own."""

    def __init__(self) -> None:
        """Begin with nobody waiting."""
        self._waiting: dict[RequestId, set[asyncio.Future[None]]] = defaultdict(set)

    async def wait(self, request: RequestId, timeout_s: float) -> bool:
        """Wait until a request ends; false when the time is up first.

        :raises LagoonshelfError: when the request was given up for a reason
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
        """Return how many callers wait for a request."""
        return len(self._waiting.get(request, ()))

    def wake(self, request: RequestId) -> None:
        """Let all callers of a request go on."""
        for fut in self._waiting.get(request, ()):
            if not fut.done():
                fut.set_result(None)

    def fail(self, request: RequestId, fault: Fault) -> None:
        """Give all callers of a request a fault."""
        for fut in self._waiting.get(request, ()):
            if not fut.done():
                fut.set_exception(LagoonshelfError(fault))

    def fail_all(self, fault: Fault) -> None:
        """Give all callers a fault."""
        for request in list(self._waiting):
            self.fail(request, fault)

    def _remove(self, request: RequestId, fut: asyncio.Future[None]) -> None:
        futures = self._waiting[request]
        futures.discard(fut)
        if not futures:
            del self._waiting[request]
