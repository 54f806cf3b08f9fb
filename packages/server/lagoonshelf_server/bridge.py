"""Calls between the event loop and the threads that perform blocking I/O."""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from lagoonshelf_server.logs import logger
from lagoonshelf_server.read_deadlines import paused_deadline

T = TypeVar("T")
_log = logger("bridge")


class Bridge:
    """The event loop, its background tasks, and the thread pools for blocking calls."""

    def __init__(self, loop: asyncio.AbstractEventLoop, threads: int) -> None:
        """Create the common pool.

        :param threads: maximum number of concurrent blocking calls in the common pool
        """
        self.loop = loop
        self._pools: list[ThreadPoolExecutor] = []
        self._common_pool = self.add_pool("io", threads)
        self._tasks: set[asyncio.Task] = set()

    def add_pool(self, name: str, threads: int) -> ThreadPoolExecutor:
        """Return a new thread pool whose calls never queue behind those of another pool."""
        pool = ThreadPoolExecutor(threads, thread_name_prefix=name)
        self._pools.append(pool)
        return pool

    async def run_blocking(self, call: Callable[..., T], *args: object) -> T:
        """Run a blocking call in the common pool and await its result."""
        return await self.run_blocking_in(self._common_pool, call, *args)

    async def run_blocking_in(
        self, pool: ThreadPoolExecutor, call: Callable[..., T], *args: object
    ) -> T:
        """Run a blocking call in the given pool and await its result."""
        return await self.loop.run_in_executor(pool, call, *args)

    def run_on_loop(self, coro: Coroutine[object, object, T], timeout_s: float) -> T:
        """Run a coroutine on the event loop and block the calling thread until it is done.

        :param timeout_s: maximum wait, after which the coroutine is cancelled
        """
        fut = asyncio.run_coroutine_threadsafe(coro, self.loop)
        try:
            with paused_deadline():
                return fut.result(timeout_s)
        except TimeoutError:
            fut.cancel()
            raise

    def spawn(self, coro: Coroutine[object, object, object]) -> asyncio.Task:
        """Start a coroutine as a background task and log an exception that it raises."""
        task = self.loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def close(self) -> None:
        """Cancel all background tasks and shut the pools down without waiting."""
        for task in list(self._tasks):
            task.cancel()
        for pool in self._pools:
            pool.shutdown(wait=False, cancel_futures=True)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            exc = task.exception()
            _log.error("background task failed", error=repr(exc), exc_info=exc)
