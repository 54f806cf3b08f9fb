"""Counters and log lines of refused requests and closed connections."""

import time
from enum import Enum

from aioprometheus import Counter

from lagoonshelf_server.logs import logger

LOG_INTERVAL_S = 1.0

refused = Counter(
    "lagoonshelf_refused_requests_total",
    "Requests refused before they reach their handler by port and reason.",
)
closed = Counter(
    "lagoonshelf_closed_connections_total",
    "Connections of clients that the process closed by port and reason.",
)

_log = logger("connections")


class Reason(Enum):
    """Why a request is refused or a connection closed."""

    MALFORMED = "malformed request"
    HEADERS_TOO_LARGE = "headers too large"
    BODY_TOO_LARGE = "body too large"
    CHUNKS_TOO_SMALL = "chunk headers too large"
    EXPECTATION = "unknown expectation"
    SLOW_REQUEST = "request was not complete in time"
    IDLE = "idle"
    UNREAD_RESPONSE = "response was not read in time"
    NOT_CLOSED = "connection was not closed in time"
    ADDRESS_LIMIT = "limit of the client address"
    TOTAL_LIMIT = "limit of all clients"
    HANDSHAKES = "too many connections before their handshake"
    PEER_MESSAGE = "message of a peer"


class RefusalLog:
    """Counts each event, and logs one line per reason and second."""

    def __init__(self, port: str) -> None:
        """Initialize.

        :param port: kind of port, for labels and log lines
        """
        self._port = port
        self._logged_s: dict[tuple[str, Reason], float] = {}
        self._unlogged: dict[tuple[str, Reason], int] = {}

    def refuse(self, reason: Reason, **fields: object) -> None:
        """Record a refused request."""
        refused.inc({"port": self._port, "reason": reason.value})
        self._write("request rejected", reason, fields)

    def close(self, reason: Reason, **fields: object) -> None:
        """Record a closed connection."""
        closed.inc({"port": self._port, "reason": reason.value})
        self._write("connection closed", reason, fields)

    def _write(self, message: str, reason: Reason, fields: dict[str, object]) -> None:
        key = (message, reason)
        self._unlogged[key] = self._unlogged.get(key, 0) + 1
        now_s = time.monotonic()
        if now_s - self._logged_s.get(key, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_s[key] = now_s
        count = self._unlogged.pop(key)
        _log.info(message, reason=reason.value, port=self._port, count=count, **fields)
