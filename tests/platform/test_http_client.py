"""Tests of the HTTP client on slow links and silent connections."""

import asyncio
import gc
import unittest
from contextlib import suppress

from lagoonshelf_platform.http_client import (
    HttpClient,
    NoResponseError,
    NotSentError,
    ResponseTooLargeError,
)

PIECE = b"x" * 100
PIECES = 10


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """A server that sends its response in pieces."""

    async def asyncSetUp(self) -> None:
        self.pieces = PIECES
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        length = len(PIECE) * PIECES
        writer.write(f"HTTP/1.1 200 X\r\nContent-Length: {length}\r\n\r\n".encode())
        with suppress(asyncio.CancelledError):
            for _ in range(self.pieces):
                await asyncio.sleep(0.03)
                writer.write(PIECE)
            await reader.read()
        writer.close()

    async def test_a_large_response_may_take_longer_than_the_timeout(self) -> None:
        """Guards against giving up a response that arrives, only because the link is slow.

        A page of 1 MB never arrived in 1.2 s (large andinas, trouble-1).
        """
        client = HttpClient()
        response = await client.call(self.address, "GET", "/", timeout_ms=100, is_bulk=True)
        self.assertEqual(len(response.body), len(PIECE) * PIECES)

    async def test_a_large_response_that_stops_arriving_times_out(self) -> None:
        """Guards against waiting for ever on a connection that went silent."""
        self.pieces = 3
        client = HttpClient()
        started = asyncio.get_running_loop().time()
        with self.assertRaises(NoResponseError):
            await client.call(self.address, "GET", "/", timeout_ms=100, is_bulk=True)
        self.assertLess(asyncio.get_running_loop().time() - started, 0.5)

    async def test_a_cancelled_call_leaves_no_error_behind(self) -> None:
        """Guards against log lines about a future of a call that nobody waits for any more."""
        errors: list[dict] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, ctx: errors.append(ctx))
        client = HttpClient()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await client.call(self.address, "GET", "/", timeout_ms=1_000, is_bulk=True)
        await asyncio.sleep(0.05)
        gc.collect()
        self.assertEqual(errors, [])

    async def test_other_responses_keep_their_timeout(self) -> None:
        """Guards against a call that takes longer than its caller can wait."""
        client = HttpClient()
        with self.assertRaises(NoResponseError):
            await client.call(self.address, "GET", "/", timeout_ms=100)

    async def test_a_response_beyond_the_limit_ends_the_call(self) -> None:
        """Guards against a response that takes all memory, and against a refusal of any other."""
        client, size = HttpClient(), len(PIECE) * PIECES
        call = {"timeout_ms": 100, "is_bulk": True}
        with self.assertRaises(ResponseTooLargeError):
            await client.call(self.address, "GET", "/", **call, max_bytes=size - 1)
        response = await client.call(self.address, "GET", "/", **call, max_bytes=size)
        self.assertEqual(len(response.body), size)

    async def test_an_idle_connection_does_not_keep_its_last_response(self) -> None:
        """Guards against a page of 1 MB for each connection of the pool."""
        client = HttpClient()
        await client.call(self.address, "GET", "/", timeout_ms=100, is_bulk=True)
        self.assertEqual([conn._body for conn in client._idle[self.address]], [[]])


class SilentConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """A server whose open connections can go silent while new ones work."""

    async def asyncSetUp(self) -> None:
        self.conns: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.client = HttpClient()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.conns.add(writer)
        with suppress(asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.01)
                if writer not in self.silent:
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def _call(self) -> int:
        response = await self.client.call(self.address, "GET", "/", timeout_ms=100)
        return response.status

    async def test_only_one_call_waits_for_connections_that_went_silent(self) -> None:
        """Guards against calls that wait for one silent connection of the pool after the other.

        A change of the configuration was in force only after 4.8 s (incident CONFIG).
        """
        await asyncio.gather(*(self._call() for _ in range(4)))
        self.silent = set(self.conns)
        with self.assertRaises(NoResponseError):
            await self._call()
        self.assertEqual(await self._call(), 200)

    async def test_a_connection_that_has_responded_meanwhile_is_kept(self) -> None:
        """Guards against new connections for all calls because one of them was not answered."""
        await asyncio.gather(self._call(), self._call())
        waiting = asyncio.ensure_future(self._call())
        await asyncio.sleep(0)
        self.silent = set(self.conns)
        await asyncio.sleep(0.03)
        # The second connection of the pool is silent too; the third is new and works.
        with self.assertRaises(NoResponseError):
            await self._call()
        self.assertEqual(await self._call(), 200)
        with self.assertRaises(NoResponseError):
            await waiting
        count = len(self.conns)
        self.assertEqual(await self._call(), 200)
        self.assertEqual(len(self.conns), count)


class AddressTest(unittest.IsolatedAsyncioTestCase):
    """Addresses to which there is no connection."""

    async def test_a_malformed_address_is_not_reachable(self) -> None:
        """Guards against an error that ends the caller instead of its call."""
        for address in ("127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:x", "127.0.0.1", "\0:80"):
            with self.subTest(address), self.assertRaises(NotSentError):
                await HttpClient().call(address, "GET", "/", timeout_ms=100)
