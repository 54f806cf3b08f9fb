"""Ports and sockets on loopback, and errors that say what the system has refused."""

import errno
import os
import resource
import socket
from functools import cache

LOOPBACK = "127.0.0.1"
# Below the ephemeral port range, so that no outgoing connection takes the port of a process that
# is down for a moment.
FIRST_PORT = 12_000
# Each test process allocates ports sequentially from its own range, because an allocated port is
# not bound immediately. The first port of a range is its lock.
RANGES, PORTS_PER_RANGE = 100, 200
BACKLOG = 100
# Files that must be left to this process when it opens a listener. With fewer, connections of
# the system are not accepted, which would look like a fault of the system.
MIN_FREE_FILES = 32
# Errors whose cause lies on this side of a connection, and what to do about each.
_REMEDIES = {
    errno.EMFILE: "raise the limit of open files of this process, ulimit -n is {max_files}",
    errno.ENFILE: "the machine has no file left; end processes that hold many",
    errno.EADDRINUSE: "end the processes or wait for the connections that hold it, see ss -tan",
    errno.EADDRNOTAVAIL: "bring the loopback interface up, and free ephemeral ports, see ss -tan",
    errno.EACCES: "allow this process to bind and to connect on loopback",
    errno.EPERM: "allow this process to bind and to connect on loopback",
    errno.EAFNOSUPPORT: "allow this process to use IPv4",
    errno.ENOBUFS: "the machine has no memory left for sockets",
    errno.ENOMEM: "the machine has no memory left for sockets",
}

_next_offset = 0


class PortError(OSError):
    """The system refuses a socket, a port or a connection on loopback.

    The message has the address, the error of the system and what to do about it.
    """

    @classmethod
    def of(cls, action: str, exc: OSError) -> "PortError":
        """Return the error for an action that the system has refused.

        :param action: what was tried, with the address
        """
        max_files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        text = f"{action}: {exc.strerror or exc}"
        if exc.errno in _REMEDIES:
            text += f"; {_REMEDIES[exc.errno].format(max_files=max_files)}"
        return cls(exc.errno, text)


def raise_if_local(action: str, exc: OSError) -> None:
    """Raise an error if an attempt to connect has failed on this side.

    Such an error says nothing about the other side, unlike a refused or reset connection.

    :param action: what was tried, with the address
    :raises PortError: if the system has refused a socket or a port to this process
    """
    if exc.errno in _REMEDIES:
        raise PortError.of(action, exc) from exc


def open_listener(port: int = 0) -> socket.socket:
    """Return a listening socket on loopback.

    :param port: 0 for any free port, one of the range of this process if the system gives none
    :raises PortError: if the system refuses the socket or the port, or leaves too few files for
        its connections
    """
    try:
        _check_free_files()
        return socket.create_server((LOOPBACK, port), backlog=BACKLOG)
    except OSError as exc:
        refused = PortError.of(f"cannot listen on {LOOPBACK} port {port}", exc)
        # Another port does not help a process that has no file left for it.
        if port or exc.errno == errno.EMFILE:
            raise refused from exc
    try:
        return socket.create_server((LOOPBACK, free_ports(1)[0]), backlog=BACKLOG)
    except OSError as exc:
        raise refused from exc


def free_ports(count: int) -> list[int]:
    """Return consecutive free ports.

    :raises PortError: if there are none
    """
    global _next_offset
    number, _ = _lock_range()
    first_port = FIRST_PORT + number * PORTS_PER_RANGE + 1
    usable = PORTS_PER_RANGE - 1
    reason = OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
    for _ in range(usable):
        if _next_offset + count > usable:
            _next_offset = 0
        ports = [first_port + _next_offset + index for index in range(count)]
        _next_offset += count
        try:
            for port in ports:
                _bind(port).close()
        except OSError as exc:
            reason = exc
        else:
            return ports
    action = f"no {count} free ports on {LOOPBACK} from {first_port} to {first_port + usable - 1}"
    raise PortError.of(action, reason)


def _check_free_files() -> None:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    is_limited = limit != resource.RLIM_INFINITY
    if is_limited and limit - len(os.listdir("/proc/self/fd")) < MIN_FREE_FILES:
        raise OSError(errno.EMFILE, f"fewer than {MIN_FREE_FILES} files are left to this process")


@cache
def _lock_range() -> tuple[int, socket.socket]:
    """Return a range that no other process uses, and its lock, held until this process exits.

    A bound port needs no file that another user may own, and is free once its process has ended.
    """
    for attempt in range(RANGES):
        number = (os.getpid() + attempt) % RANGES
        try:
            return number, _bind(FIRST_PORT + number * PORTS_PER_RANGE)
        except OSError as exc:
            reason = exc
    raise PortError.of(f"no range of ports is free on {LOOPBACK}", reason)


def _bind(port: int) -> socket.socket:
    sock = socket.socket()
    try:
        sock.bind((LOOPBACK, port))
    except OSError:
        sock.close()
        raise
    return sock
