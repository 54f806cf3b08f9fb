"""Groups of untrusted clients on loopback, and readings of the process that they address."""

import asyncio
import os
import socket
import string
from contextlib import suppress
from itertools import islice, product
from pathlib import Path

from tests.platform.standin.cluster import HOST

CHUNKED = f"POST /batch/0000000000000001 HTTP/1.1\r\nHost: {HOST}\r\n" + (
    "Transfer-Encoding: chunked\r\n\r\n"
)
SAMPLE_S = 0.05
WINDOW_SAMPLES = 20
# A process that has nothing to read still sends its heartbeats.
MAX_BUSY_SAMPLES = 4
MAX_WINDOWS = 60


def many_header_lines(lines: int) -> bytes:
    """Return the start of a request with short header lines; they add up to a legal size."""
    letters = string.ascii_lowercase + string.digits
    names = "".join(f"{''.join(name)}:\r\n" for name in islice(product(letters, repeat=3), lines))
    return f"GET /batch/ HTTP/1.1\r\nHost: {HOST}\r\n{names}".encode()


def one_byte_chunks(count: int) -> bytes:
    """Return a request whose body of one-byte chunks does not end."""
    return CHUNKED.encode() + b"1\r\nx\r\n" * count


def large_chunk(size: int) -> bytes:
    """Return a request whose body stops 16 bytes short of the end of its only chunk."""
    return CHUNKED.encode() + f"{size + 16:x}\r\n".encode() + b"x" * size


def requests_without_host(count: int) -> bytes:
    """Return pipelined requests that have no header at all."""
    return b"GET /batch/ HTTP/1.1\r\n\r\n" * count


class Crowd:
    """Clients that send data, read nothing and keep their connections open."""

    def __init__(self) -> None:
        """Initialize without connections."""
        self._socks: list[socket.socket] = []
        self._tasks: list[asyncio.Task] = []

    def add(self, address: str, clients: int, data: bytes = b"") -> None:
        """Start clients that send the same data."""
        for _ in range(clients):
            self._tasks.append(asyncio.ensure_future(self._send(address, data)))

    async def _send(self, address: str, data: bytes) -> None:
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        self._socks.append(sock)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(sock, data)

    async def settle(self, pid: int) -> None:
        """Wait until the process has read all that it is going to read."""
        for _ in range(MAX_WINDOWS):
            sent, busy = self._count_sent(), 0
            for _ in range(WINDOW_SAMPLES):
                await asyncio.sleep(SAMPLE_S)
                busy += is_runnable(pid)
            if busy <= MAX_BUSY_SAMPLES and sent == self._count_sent():
                return

    def _count_sent(self) -> int:
        return sum(task.done() for task in self._tasks)

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._socks:
            sock.close()


def read_memory_mb(pid: int, field: str) -> float:
    """Return a reading of ``/proc/PID/status``, for example VmRSS or VmHWM, in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(field)) / 1024


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def is_runnable(pid: int) -> bool:
    """Return whether a process runs or waits for a core, so that a busy machine counts as well."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "R"
