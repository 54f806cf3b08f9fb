"""A plain HTTP/1.1 server on streams, with faults that a network could have."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import parse_qsl, urlsplit

import orjson

Handler = Callable[["Request"], Awaitable["Response"]]


@dataclass(frozen=True, slots=True)
class Request:
    """One request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: dict

    def get_int(self, name: str, default: int = 0) -> int:
        """Return a number from the body, else from the query."""
        return int(self.body.get(name, self.query.get(name, default)) or 0)


@dataclass(frozen=True, slots=True)
class Response:
    """Status and JSON body of a response."""

    status: int
    fields: dict = field(default_factory=dict)


class StubServer:
    """Serves one handler on a port of its own."""

    def __init__(self, handler: Handler) -> None:
        """Set up; ``listen`` opens the port."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._conns: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def listen(self, port: int = 0) -> None:
        """Open the port, a free one when none is given."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._conns):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._conns.add(writer)
        try:
            while True:
                call = await _read_request(reader)
                if call is None:
                    return
                reply = await self._handler(call)
                body = orjson.dumps(reply.fields)
                head = f"HTTP/1.1 {reply.status} X\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._conns.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    data = await reader.readexactly(int(headers.get("content-length", 0)))
    url = urlsplit(target)
    body = orjson.loads(data) if data else {}
    return Request(method, url.path, dict(parse_qsl(url.query)), headers, body)


class ProxyMode(Enum):
    """State of a proxied connection."""

    OPEN = "open"
    BLACKHOLE = "silent"
    RESET = "reset"
    NO_RESPONSES = "no answers"


class Proxy:
    """Forwards connections to one address, and spoils them on request."""

    def __init__(self, target: str) -> None:
        """Set up for an address."""
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.mode = ProxyMode.OPEN
        self.delay_s = 0.0
        self.address = ""

    async def listen(self) -> None:
        """Open a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        pumps = (
            self._forward(reader, far_writer, is_response=False),
            self._forward(far_reader, writer, is_response=True),
        )
        with suppress(asyncio.CancelledError):
            await asyncio.gather(*pumps, return_exceptions=True)
        self._writers -= {writer, far_writer}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_response: bool
    ) -> None:
        with suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65_536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.mode is ProxyMode.RESET:
                    break
                if self.mode is ProxyMode.BLACKHOLE or (
                    self.mode is ProxyMode.NO_RESPONSES and is_response
                ):
                    continue
                writer.write(data)
                await writer.drain()
        with suppress(OSError):
            writer.transport.abort()
