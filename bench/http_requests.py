"""Measures the CPU time that the HTTP server needs for an ordinary request.

Usage: python -m bench http_requests
"""

import asyncio
import socket
import statistics
import threading
import time

from lagoonshelf_core.jobs.config import HttpLimits
from lagoonshelf_platform.http_server import HttpRequest, HttpResponse, HttpServer

REPEATS = 9
REQUESTS = 2_000
BODY = b'{"spec":"200 1000","phases":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":200}]}'
HEAD = (
    "POST /batch/00000000000000aa HTTP/1.1\r\nHost: desk.example\r\n"
    "Authorization: Token key-1\r\nContent-Type: application/json\r\n"
    f"Lagoonshelf-Deadline-Ms: 3000\r\nContent-Length: {len(BODY)}\r\n\r\n"
)


def run() -> list[str]:
    """Return one line for each measurement."""
    times_us = asyncio.run(_measure())
    return [
        f"http request: {statistics.median(times_us):.1f} us of CPU time of the server "
        f"(median of {REPEATS} times {REQUESTS} on one connection, least {min(times_us):.1f})"
    ]


async def _measure() -> list[float]:
    server = HttpServer(_answer, HttpLimits)
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    await server.listen(address)
    times_us = []
    for _ in range(REPEATS):
        done = asyncio.Event()
        loop = asyncio.get_running_loop()
        client = threading.Thread(target=_send, args=(address, loop, done))
        started = time.thread_time()
        client.start()
        await done.wait()
        times_us.append((time.thread_time() - started) / REQUESTS * 1e6)
        client.join()
    return times_us


def _send(address: str, loop: asyncio.AbstractEventLoop, done: asyncio.Event) -> None:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(REQUESTS):
            sock.sendall(HEAD.encode() + BODY)
            sock.recv(4_096)
    loop.call_soon_threadsafe(done.set)


async def _answer(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, request.path.encode())
