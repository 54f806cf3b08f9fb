"""Tests of the HTTP client on a slow link."""

import asyncio
import unittest
from contextlib import suppress

from lagoonshelf_platform.http_client import HttpClient, NoResponseError

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

    async def test_other_responses_keep_their_timeout(self) -> None:
        """Guards against a call that takes longer than its caller can wait."""
        client = HttpClient()
        with self.assertRaises(NoResponseError):
            await client.call(self.address, "GET", "/", timeout_ms=100)
