"""Tests of the client of the executors against malformed responses."""

import asyncio
import socket
import threading
import time
import unittest

from lagoonshelf_platform.http_client import HttpClient, NoResponseError
from lagoonshelf_platform.workers import PlatformWorkers
from lagoonshelf_server.jobs.ports import NoAnswerError, StartOutcome, StartRequest
from tests.platform.standin.http import Request, Response, StubServer
from tests.support.jobs import worker_info

# As deep as the encoder of the stand-in allows.
NESTED: list = []
for _ in range(200):
    NESTED = [NESTED]


class CutListsTest(unittest.IsolatedAsyncioTestCase):
    """An executor that lists 500 of its ends at a time."""

    async def test_a_list_that_may_be_cut_says_so(self) -> None:
        """Guards against a run whose end is in the rest of the list and is taken to be lost."""
        count = 0

        async def handle(request: Request) -> Response:
            ended = [[n, f"a.0.0.{n}", 1, "done", ""] for n in range(1, count + 1)]
            return Response(200, {"clock_ms": 5, "born": 1, "running": [], "finished": ended})

        server = StubServer(handle)
        await server.listen()
        self.addAsyncCleanup(server.close)
        workers = PlatformWorkers(HttpClient())
        info = worker_info(0, address=server.address)
        for count, may_be_cut in ((0, False), (499, False), (500, True)):  # noqa: B007
            listing = await workers.list_runs(info, 1, 0, None, 0, 500)
            self.assertEqual((len(listing.ended), listing.may_be_cut), (count, may_be_cut))


class MalformedListsTest(unittest.IsolatedAsyncioTestCase):
    """An executor whose lists of runs cannot be decoded."""

    async def test_each_malformed_list_is_no_answer(self) -> None:
        """Guards against a leader that fails because of one executor's response."""
        fields: dict = {}

        async def handle(request: Request) -> Response:
            return Response(
                200, {"clock_ms": 5, "born": 1, "running": [], "finished": [], **fields}
            )

        server = StubServer(handle)
        await server.listen()
        self.addAsyncCleanup(server.close)
        workers = PlatformWorkers(HttpClient())
        info = worker_info(0, address=server.address)
        listing = await workers.list_runs(info, 1, 0, None, 0, 500)
        self.assertEqual((listing.born_ms, listing.running), (1, ()))
        for malformed in (
            {"running": [[5, 1, "", 10]]},
            {"running": [["a.0.0.0", "x", "", 10]]},
            {"running": [["a.0.0.0", 1, ["c"], 10]]},
            {"running": [["a.0.0.0"]]},
            {"running": None},
            {"finished": [["x", "a.0.0.0", 1, "done", ""]]},
            {"finished": [[1, None, 1, "done", ""]]},
            {"finished": [[1, "a.0.0.0", 1, "vanished", ""]]},
            {"born": "yesterday"},
            {"born": 2**64 - 1},
            {"running": [["a.0.0.0", 2.0**70, "", 10]]},
            {"running": [["a.0.0.0", 1, "", 2**64 - 1]]},
            {"running": [[NESTED, 1, "", 10]]},
            {"finished": [[1e300, "a.0.0.0", 1, "done", ""]]},
            {"finished": [[1, "a.0.0.0", -1, "done", ""]]},
            {"finished": [[1, "a.0.0.0", 1, ["done"], ""]]},
            {"finished": [[1, "a.0.0.0", 1, "done", NESTED]]},
        ):
            fields.clear()
            fields.update(malformed)
            with self.assertRaises(NoAnswerError, msg=str(malformed)):
                await workers.list_runs(info, 1, 0, None, 0, 500)

    async def test_a_clock_that_cannot_be_sent_back_is_ignored(self) -> None:
        """Guards against a lease beyond 64 bits, which ended the term when it was encoded."""
        clock: list = []

        async def handle(request: Request) -> Response:
            status = 200 if request.path.endswith("hold") else 409
            body = {"clock_ms": clock[0], "reason": NESTED, "running": [], "finished": []}
            return Response(status, body)

        server = StubServer(handle)
        await server.listen()
        self.addAsyncCleanup(server.close)
        workers = PlatformWorkers(HttpClient())
        info = worker_info(0, address=server.address)
        for value in (1e300, 2**64 - 1, -5, "x", NESTED):
            clock[:] = [value]
            listing = await workers.list_runs(info, 1, 0, None, 0, 500)
            self.assertEqual(listing.worker_clock_ms, 0)
            reply = await workers.start(info, StartRequest("a.0.0.0", 1, "", 5, 1, "", ""), 500)
            self.assertEqual((reply.outcome, reply.worker_clock_ms), (StartOutcome.INVALID, 0))


class LateLoopTest(unittest.IsolatedAsyncioTestCase):
    """A process whose event loop is late, and a server in a thread of its own."""

    async def test_a_response_that_has_arrived_is_not_a_timeout(self) -> None:
        """Guards against taking the lateness of this process for silence of the other one.

        A leader without processor time lost workers that had answered (large andinas, small
        quiet-1).
        """
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        thread = threading.Thread(target=_answer_one_request, args=(listener,))
        thread.start()
        self.addCleanup(thread.join)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        call = asyncio.ensure_future(HttpClient().call(address, "GET", "/", timeout_ms=100))
        await asyncio.sleep(0.02)
        time.sleep(0.3)
        try:
            response = await call
        except NoResponseError:
            self.fail("the response had arrived")
        self.assertEqual(response.status, 200)


def _answer_one_request(listener: socket.socket) -> None:
    conn, _ = listener.accept()
    conn.recv(1_000)
    # The loop of the client is blocked by now.
    time.sleep(0.1)
    conn.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
    conn.close()
