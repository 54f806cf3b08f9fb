"""Time limits of requests that CherryPy's threads read.

The timeout of a socket starts again with each byte, so that a client could hold a thread for ever.
"""

import asyncio
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from cheroot.server import HTTPConnection
from cherrypy._cpwsgi_server import CPWSGIServer

from lagoonshelf_server.refusals import Reason, RefusalLog

# A body of 1 MB, the largest that is accepted, arrives in this time at 0.8 Mbit/s.
READ_TIMEOUT_S = 10.0
CHECK_INTERVAL_S = 0.5

# Sockets that are read and their deadlines by thread; each thread changes its own entry only.
_reading: dict[int, tuple[socket.socket, float]] = {}


@contextmanager
def paused_deadline() -> Iterator[None]:
    """Let the calling thread work on its request without a deadline."""
    entry = _reading.pop(threading.get_ident(), None)
    try:
        yield
    finally:
        if entry is not None:
            _begin(entry[0])


def _begin(sock: socket.socket) -> None:
    _reading[threading.get_ident()] = (sock, time.monotonic() + READ_TIMEOUT_S)


class _DeadlineConnection(HTTPConnection):
    """A connection of which each request has to arrive in time."""

    def communicate(self) -> bool:
        """Read and answer one request."""
        _begin(self.socket)
        try:
            return super().communicate()
        finally:
            _reading.pop(threading.get_ident(), None)


class DeadlineServer(CPWSGIServer):
    """CherryPy's server with deadlines."""

    ConnectionClass = _DeadlineConnection


async def enforce_read_deadlines() -> None:
    """End the reading of late requests until cancelled; their threads then see an early end."""
    refusals = RefusalLog("callers")
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        now = time.monotonic()
        for thread, entry in list(_reading.items()):
            if entry[1] < now and _reading.get(thread) is entry:
                refusals.close(Reason.SLOW_REQUEST)
                with suppress(OSError):
                    entry[0].shutdown(socket.SHUT_RD)
