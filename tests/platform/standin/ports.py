"""Allocation of free ports on loopback."""

import fcntl
import os
import socket
import tempfile
from functools import cache
from pathlib import Path
from typing import IO

# Below the ephemeral port range, so that no outgoing connection takes the port of a process that
# is down for a moment.
FIRST_PORT = 12_000
# Each test process allocates ports sequentially from its own range, because an allocated port is
# not bound immediately.
RANGES, PORTS_PER_RANGE = 100, 200

_next_offset = 0


def free_ports(count: int) -> list[int]:
    """Return consecutive free ports."""
    global _next_offset
    number, _ = _lock_range()
    first_port = FIRST_PORT + number * PORTS_PER_RANGE
    for _ in range(PORTS_PER_RANGE):
        if _next_offset % PORTS_PER_RANGE + count > PORTS_PER_RANGE:
            _next_offset = 0
        ports = [first_port + _next_offset % PORTS_PER_RANGE + index for index in range(count)]
        _next_offset += count
        if all(_is_free(port) for port in ports):
            return ports
    raise OSError("no free ports")


@cache
def _lock_range() -> tuple[int, IO[bytes]]:
    """Return a range that no other process uses, and its lock, held until this process exits."""
    for attempt in range(RANGES):
        number = (os.getpid() + attempt) % RANGES
        path = Path(tempfile.gettempdir()) / f"lagoonshelf-test-ports-{number}.lock"
        lock = path.open("ab")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
        else:
            return number, lock
    raise OSError("all ranges of ports are in use")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
