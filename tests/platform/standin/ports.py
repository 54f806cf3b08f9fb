"""Allocation of free ports on loopback."""

import os
import socket

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
    first_port = FIRST_PORT + os.getpid() % RANGES * PORTS_PER_RANGE
    for _ in range(PORTS_PER_RANGE):
        if _next_offset % PORTS_PER_RANGE + count > PORTS_PER_RANGE:
            _next_offset = 0
        ports = [first_port + _next_offset % PORTS_PER_RANGE + index for index in range(count)]
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
