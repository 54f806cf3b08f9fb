"""Tests of a real server process with clients that nobody controls.

Each guards against a process that runs out of memory or descriptors. The clients and the bounds
were fixed on the code before it had limits; the figures of that code are in
docs/design/untrusted-clients.md.
"""

import asyncio
import unittest

from tests.platform.crowds import (
    Crowd,
    count_descriptors,
    large_chunk,
    many_header_lines,
    one_byte_chunks,
    read_memory_mb,
    requests_without_host,
)
from tests.platform.standin.clients import request
from tests.platform.standin.cluster import Cluster

MEMORY_MB = 100
MAX_FDS = 160
MAX_GROWTH_MB = 40.0
# Longer than any of these tests, so that no client is closed for the time that it takes.
HTTP_LIMITS = {"header_timeout_ms": 120_000, "idle_timeout_ms": 120_000}
ANSWER_TIMEOUT_S = 30.0
STEP = {"count": 1, "cpu": 1_000, "mem_mb": 100, "estimate_ms": 100}
JOB = {"spec": "100 1000", "phases": [STEP]}


class UntrustedClientsTest(unittest.IsolatedAsyncioTestCase):
    """One process and one executor."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster(processes=1, executors=1, seed=1)
        self.cluster.host_limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        self.cluster.http_limits = HTTP_LIMITS
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.process = self.cluster.processes[0]
        self.crowd = Crowd()
        self.addAsyncCleanup(self.crowd.close)

    async def _check(self) -> None:
        """Check the process while the clients are connected."""
        pid = self.process.pid
        before_mb = read_memory_mb(pid, "VmRSS")
        await self.crowd.settle(pid)
        self.assertTrue(self.process.is_running)
        growth_mb = read_memory_mb(pid, "VmHWM") - before_mb
        descriptors = count_descriptors(pid)
        status, _ = await request(
            self.process.address, "POST", "/batch/00000000000000aa", JOB, ANSWER_TIMEOUT_S
        )
        found = f"{growth_mb:.1f} MB more, {descriptors} descriptors, status {status}"
        self.assertLess(growth_mb, MAX_GROWTH_MB, found)
        self.assertLess(descriptors, MAX_FDS, found)
        self.assertEqual(status, 200, found)

    async def test_many_short_header_lines(self) -> None:
        """Headers are counted by what they cost in memory, not by their bytes."""
        self.crowd.add(self.process.address, 130, many_header_lines(5_400))
        await self._check()

    async def test_unfinished_bodies_of_tiny_chunks(self) -> None:
        """A chunk costs no more than its bytes."""
        self.crowd.add(self.process.address, 30, one_byte_chunks(250_000))
        await self._check()

    async def test_unfinished_bodies_of_one_large_chunk(self) -> None:
        """Unfinished bodies of all clients are bounded together."""
        for address in (self.process.address, *self.process.side_addresses):
            self.crowd.add(address, 100, large_chunk(262_000))
        await self._check()

    async def test_pipelined_requests_with_unread_responses(self) -> None:
        """Requests are not read faster than their responses are taken."""
        for address in (self.process.address, *self.process.side_addresses):
            self.crowd.add(address, 10, requests_without_host(50_000))
        await self._check()

    async def test_idle_connections_on_all_ports(self) -> None:
        """Connections leave the descriptors that are needed for the store and the workers."""
        ports = (self.process.address, *self.process.side_addresses, self.process.peer_address)
        for address in ports:
            self.crowd.add(address, 100)
        await self._check()

    async def test_idle_and_slow_clients_are_closed_on_all_ports(self) -> None:
        """Guards against timeouts that hold for the port of the clients only."""
        self.cluster.http_limits = {"header_timeout_ms": 500, "idle_timeout_ms": 500}
        self.cluster.configure(0)
        for address in (self.process.address, *self.process.side_addresses):
            for data in (b"", b"GET / HT"):
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    self.assertEqual(b" 408 " in await reader.read(), bool(data))
                writer.close()
