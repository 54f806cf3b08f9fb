"""Free ports on loopback."""

import socket


def free_ports(count: int) -> list[int]:
    """Return free ports; the last two follow each other."""
    for _ in range(100):
        sockets = [socket.socket() for _ in range(count - 1)]
        try:
            for sock in sockets:
                sock.bind(("127.0.0.1", 0))
            ports = [sock.getsockname()[1] for sock in sockets]
            with socket.socket() as last:
                last.bind(("127.0.0.1", ports[-1] + 1))
            return [*ports, ports[-1] + 1]
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise OSError("no free ports")
