"""Tests of the store client against the stand-in store on loopback."""

import asyncio
import threading
import time
import unittest

from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.store import CALL_THREADS, StoreClient
from lagoonshelf_standins.http import make_server
from lagoonshelf_standins.store import Mode, Store


class StorePoolsTest(unittest.IsolatedAsyncioTestCase):
    """A slow store with more concurrent calls than threads."""

    async def test_slow_calls_delay_neither_renewals_nor_worker_calls(self) -> None:
        """Guards against an expired lease, or delayed worker calls, while store calls are slow."""
        backend = Store()
        server = make_server("127.0.0.1", 0, backend.handle, 2 * CALL_THREADS)
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self.addCleanup(server.stop)
        bridge = Bridge(asyncio.get_running_loop(), 4)
        self.addCleanup(bridge.close)
        url = f"http://127.0.0.1:{server.bind_addr[1]}"
        store = StoreClient(url, bridge, lambda: int(time.monotonic() * 1000), "p")
        lease = await store.grant_lease(60_000)
        backend.mode = Mode.SLOW
        ended: list[str] = []

        async def record_end(name: str, call: object) -> None:
            await call
            ended.append(name)

        async with asyncio.TaskGroup() as group:
            for _ in range(CALL_THREADS + 1):
                group.create_task(record_end("get", store.get("key")))
            group.create_task(record_end("renew", store.renew_lease(lease)))
            group.create_task(record_end("worker", bridge.run_blocking(time.sleep, 0.01)))
        self.assertEqual(ended[0], "worker")
        self.assertEqual(ended[-1], "get")
