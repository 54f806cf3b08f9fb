"""Calls between the loop and the threads that carry bytes."""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from lagoonshelf_server.logs import logger

T = TypeVar("T")
_log = logger("bridge")


class Bridge:
    """The loop, and thread pools for blocking calls."""

    def __init__(self, loop: asyncio.AbstractEventLoop, threads: int) -> None:
        """Set up the pool.

        :param threads: most blocking calls at once
        """
        self.loop = loop
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="io")
        self._tasks: set[asyncio.Task] = set()

    async def blocking(self, call: Callable[..., T], *args: object) -> T:
        """Run a blocking call on a thread and wait for it on the loop."""
        return await self.loop.run_in_executor(self._pool, call, *args)

    def wait_for_loop(self, coro: Coroutine[object, object, T], timeout_s: float) -> T:
        """Run a coroutine on the loop and block the calling thread until it is done.

        :param timeout_s: longest wait; the coroutine is cancelled afterwards
        """
        fut = asyncio.run_coroutine_threadsafe(coro, self.loop)
        try:
            return fut.result(timeout_s)
        except TimeoutError:
            fut.cancel()
            raise

    def spawn(self, coro: Coroutine[object, object, object]) -> asyncio.Task:
        """Start a coroutine on the loop; a failure of it is logged."""
        task = self.loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._reap)
        return task

    def close(self) -> None:
        """Cancel what was spawned and let the pool go."""
        for task in list(self._tasks):
            task.cancel()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _reap(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            exc = task.exception()
            _log.error("background task failed", error=repr(exc), exc_info=exc)
