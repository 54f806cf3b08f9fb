"""Free ports on loopback."""

import os
import socket

# Below the range from which systems take ports of outgoing connections, so that no such connection
# has the port of a process that is down for a moment.
FIRST_PORT = 12_000
# Each test process takes ports from a part of its own, one after the other, as a port that was
# given out is not bound at once.
RANGES, PORTS_PER_RANGE = 100, 200

_next_offset = 0


def free_ports(count: int) -> list[int]:
    """Return free ports that follow each other."""
    global _next_offset
    part = FIRST_PORT + os.getpid() % RANGES * PORTS_PER_RANGE
    for _ in range(PORTS_PER_RANGE):
        if _next_offset % PORTS_PER_RANGE + count > PORTS_PER_RANGE:
            _next_offset = 0
        ports = [part + _next_offset % PORTS_PER_RANGE + number for number in range(count)]
        _next_offset += count
        if all(_is_free(port) for port in ports):
            return ports
    raise OSError("no free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
