"""Listening sockets that hold few connections before the process has seen them."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode

BACKLOG = 1_024
# Connections that asyncio accepts in one pass of the loop, before limits can apply to them.
ACCEPT_BATCH = 16
# Bounds what the kernel holds for a client that sends or reads slowly; without a bound it grows
# to several megabytes for each connection.
SOCKET_BUFFER_BYTES = 64 * 1024


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket for a server; call :func:`widen_backlog` after the server has started.

    :param host: IPv4 or IPv6 address
    :raises LagoonshelfError: with ``PORT_UNAVAILABLE`` if the system refuses the port
    """
    with _translated_errors(host, port):
        sock = socket.create_server((host, port), family=_family(host), backlog=ACCEPT_BATCH)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return sock


def check_port(host: str, port: int) -> None:
    """Check that a port can be opened, without accepting connections on it.

    :param host: IPv4 or IPv6 address
    :raises LagoonshelfError: with ``PORT_UNAVAILABLE`` if the system refuses the port
    """
    with _translated_errors(host, port), socket.socket(_family(host)) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


@contextmanager
def _translated_errors(host: str, port: int) -> Iterator[None]:
    try:
        yield
    except OSError as exc:
        text = f"cannot listen on {host}:{port}: {exc}"
        raise LagoonshelfError(Fault(ResultCode.PORT_UNAVAILABLE, text)) from exc


def widen_backlog(sock: socket.socket) -> None:
    """Let a burst of connections wait in the kernel."""
    sock.listen(BACKLOG)
