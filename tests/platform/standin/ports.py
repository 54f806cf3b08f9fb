"""Free ports on loopback."""

import os
import socket
from random import Random

# Below the range from which systems take ports of outgoing connections, so that no such connection
# has the port of a process that is down for a moment.
FIRST, LAST = 12_000, 32_000
TRIES = 200

_rng = Random(os.getpid())


def free_ports(count: int) -> list[int]:
    """Return free ports that follow each other."""
    for _ in range(TRIES):
        first = _rng.randrange(FIRST, LAST - count)
        ports = list(range(first, first + count))
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
