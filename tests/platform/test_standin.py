"""The stand-in platform where the system refuses files, sockets or ports to it."""

import asyncio
import errno
import os
import socket
import subprocess
import sys
import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

from tests.platform.standin.clients import NO_RESPONSE, KeepAliveClient, request
from tests.platform.standin.cluster import Cluster, Process
from tests.platform.standin.http import Proxy, Request, Response, StubServer
from tests.platform.standin.ports import (
    FIRST_PORT,
    LOOPBACK,
    PORTS_PER_RANGE,
    RANGES,
    PortError,
    free_ports,
    open_listener,
)

ROOT = Path(__file__).parent.parent.parent
CHILD_TIMEOUT_S = 20.0
# Store, advice, and two listeners for each executor.
EXECUTORS, LISTENERS = 2, 6
_bind = socket.socket.bind
_open_connection = asyncio.open_connection

START_AND_CLOSE = """
import asyncio, resource
from tests.platform.standin.cluster import Cluster
resource.setrlimit(resource.RLIMIT_NOFILE, (10, 10))
async def run():
    cluster = Cluster(processes=1, executors=2, seed=1)
    try:
        await cluster.start()
    finally:
        await cluster.close()
try:
    asyncio.run(run())
except Exception as exc:
    print(repr(exc))
"""


def run_child(program: str, **env: str) -> str:
    """Return what a Python program prints."""
    child = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        cwd=ROOT,
        env={**os.environ, **env},
        text=True,
        timeout=CHILD_TIMEOUT_S,
    )
    return child.stdout + child.stderr


def refuse(is_refused: Callable[[int], bool], code: int) -> AbstractContextManager:
    """Let the system refuse binds.

    :param is_refused: returns by port whether a bind is refused
    :param code: ``errno`` of the refusal
    """

    def bind(sock: socket.socket, address: tuple[str, int]) -> None:
        if is_refused(address[1]):
            raise OSError(code, "refused by the test")
        _bind(sock, address)

    return patch.object(socket.socket, "bind", bind)


def refuse_from(number: int) -> AbstractContextManager:
    """Let the system refuse all binds from one on; those before it succeed."""
    calls = count()
    return refuse(lambda _: next(calls) >= number, errno.EADDRNOTAVAIL)


def refuse_port_0() -> AbstractContextManager:
    """Let the system have no ephemeral port left."""
    return refuse(lambda port: port == 0, errno.EADDRINUSE)


def port_of(address: str) -> int:
    """Return the port of an address."""
    return int(address.rpartition(":")[2])


async def handle(_request: Request) -> Response:
    """Return an empty response."""
    return Response(200)


class RefusedStartTest(unittest.IsolatedAsyncioTestCase):
    """Guards review/14: an AttributeError of close() took the place of what had been refused."""

    async def test_the_first_error_survives_the_close_after_each_refused_listener(self) -> None:
        for number in range(LISTENERS):
            with self.subTest(number=number):
                cluster = Cluster(processes=1, executors=EXECUTORS, seed=1)
                with refuse_from(number), self.assertRaisesRegex(PortError, "refused by the test"):
                    try:
                        await cluster.start()
                    finally:
                        await cluster.close()

    async def test_a_half_started_executor_gives_its_port_back(self) -> None:
        cluster = Cluster(processes=1, executors=1, seed=1)
        executor = cluster.executors[0]
        with refuse_from(1), self.assertRaises(PortError):
            await executor.start()
        port = port_of(executor._server.address)
        await executor.close()
        open_listener(port).close()

    async def test_too_few_open_files_are_named(self) -> None:
        output = run_child(START_AND_CLOSE)
        self.assertRegex(output, r"^PortError\(24, .*127\.0\.0\.1.* ulimit -n is 10")


class RefusedPortTest(unittest.IsolatedAsyncioTestCase):
    """Guards review/14: no stand-in could listen while no ephemeral port was free."""

    async def test_listeners_use_the_range_of_the_process(self) -> None:
        server = StubServer(handle)
        proxy = Proxy(server)
        with refuse_port_0():
            await server.listen()
            self.addAsyncCleanup(server.close)
            await proxy.listen()
            self.addAsyncCleanup(proxy.close)
        for address in (server.address, proxy.address):
            self.assertIn(
                port_of(address), range(FIRST_PORT, FIRST_PORT + RANGES * PORTS_PER_RANGE)
            )
        self.assertEqual(await request(proxy.address, "GET", "/"), (200, {}))

    def test_a_port_that_is_in_use_is_named(self) -> None:
        with open_listener() as sock:
            port = sock.getsockname()[1]
            with self.assertRaisesRegex(PortError, f"port {port}: .*in use.*; end the processes"):
                open_listener(port)


class RefusedProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a traceback, or nothing, in place of the port that a process cannot open."""

    async def test_a_port_in_use_ends_the_process_with_its_name(self) -> None:
        cluster = Cluster(processes=0, executors=0, seed=1)
        self.addAsyncCleanup(cluster.close)
        await cluster.start()
        cluster.processes = [Process("m0", 0, cluster)]
        port = port_of(cluster.processes[0].address)
        with open_listener(port):
            await cluster.processes[0].start()
            self.assertTrue(await cluster.processes[0].wait_stopped(CHILD_TIMEOUT_S))
        self.assertRegex(cluster.logs(), f"PORT_UNAVAILABLE .702.*127.0.0.1:{port}")


class RefusedConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards review/14: a client without files saw "no response" until the case gave up."""

    async def test_an_error_on_this_side_is_not_a_missing_response(self) -> None:
        with (
            patch("asyncio.open_connection", side_effect=OSError(errno.EMFILE, "no file left")),
            self.assertRaisesRegex(PortError, "127.0.0.1:9: no file left; raise the limit"),
        ):
            await request(f"{LOOPBACK}:9", "GET", "/")

    async def test_a_closed_port_is_a_missing_response(self) -> None:
        port = free_ports(1)[0]
        self.assertEqual(await request(f"{LOOPBACK}:{port}", "GET", "/"), (NO_RESPONSE, {}))

    async def test_no_connection_outlives_a_proxy_that_closes_as_it_opens(self) -> None:
        # Guards against sockets that are left to the next run.
        server = StubServer(handle)
        await server.listen()
        self.addAsyncCleanup(server.close)
        proxy = Proxy(server)
        await proxy.listen()
        client = KeepAliveClient(proxy.address)

        async def open_and_close(*address: object) -> tuple:
            conn = await _open_connection(*address)
            if address[1] == port_of(server.address):
                await proxy.close()
            return conn

        with patch("asyncio.open_connection", open_and_close):
            self.assertEqual(await client.request("GET", "/"), (NO_RESPONSE, {}))
        self.assertTrue(all(writer.is_closing() for writer in proxy._writers))


class PortRangeTest(unittest.TestCase):
    """Ranges of ports of several test processes."""

    def test_a_range_that_another_process_has_locked_is_left_alone(self) -> None:
        mine = free_ports(1)[0]
        theirs = run_child(
            "import os; "
            f"os.getpid = lambda: {os.getpid()}; "
            "from tests.platform.standin.ports import free_ports; print(free_ports(1)[0])"
        )
        my_range, their_range = (
            (port - FIRST_PORT) // PORTS_PER_RANGE for port in (mine, int(theirs))
        )
        self.assertNotEqual(my_range, their_range)

    def test_files_of_another_user_do_not_take_the_ranges(self) -> None:
        # Guards against lock files in the temporary folder that this process may not open.
        with TemporaryDirectory() as folder:
            for number in range(RANGES):
                Path(folder, f"lagoonshelf-test-ports-{number}.lock").mkdir()
            output = run_child(
                "from tests.platform.standin.ports import free_ports; print(free_ports(1)[0])",
                TMPDIR=folder,
            )
        self.assertGreaterEqual(int(output), FIRST_PORT)
