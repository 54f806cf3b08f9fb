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
        """Set up the common pool.

        :param threads: most blocking calls at once in the common pool
        """
        self.loop = loop
        self._pools: list[ThreadPoolExecutor] = []
        self._common_pool = self.add_pool("io", threads)
        self._tasks: set[asyncio.Task] = set()

    def add_pool(self, name: str, threads: int) -> ThreadPoolExecutor:
        """Return a pool whose calls do not wait behind those of any other."""
        pool = ThreadPoolExecutor(threads, thread_name_prefix=name)
        self._pools.append(pool)
        return pool

    async def run_blocking(self, call: Callable[..., T], *args: object) -> T:
        """Run a blocking call on a thread of the common pool and wait for it on the loop."""
        return await self.run_blocking_in(self._common_pool, call, *args)

    async def run_blocking_in(
        self, pool: ThreadPoolExecutor, call: Callable[..., T], *args: object
    ) -> T:
        """Run a blocking call on a thread of a pool and wait for it on the loop."""
        return await self.loop.run_in_executor(pool, call, *args)

    def run_on_loop(self, coro: Coroutine[object, object, T], timeout_s: float) -> T:
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
        task.add_done_callback(self._on_task_done)
        return task

    def close(self) -> None:
        """Cancel what was spawned and let the pool go."""
        for task in list(self._tasks):
            task.cancel()
        for pool in self._pools:
            pool.shutdown(wait=False, cancel_futures=True)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            exc = task.exception()
            _log.error("background task failed", error=repr(exc), exc_info=exc)
