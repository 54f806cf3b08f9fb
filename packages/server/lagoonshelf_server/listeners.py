"""Listening sockets that hold few connections before the process has seen them."""

import socket

BACKLOG = 1_024
# Connections that asyncio accepts in one pass of the loop, before limits can apply to them.
ACCEPT_BATCH = 16
# Bounds what the kernel holds for a client that sends or reads slowly; without a bound it grows
# to several megabytes for each connection.
SOCKET_BUFFER_BYTES = 64 * 1024


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket for a server; call :func:`widen_backlog` after the server has started."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.create_server((host, port), family=family, backlog=ACCEPT_BATCH)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return sock


def widen_backlog(sock: socket.socket) -> None:
    """Let a burst of connections wait in the kernel."""
    sock.listen(BACKLOG)
