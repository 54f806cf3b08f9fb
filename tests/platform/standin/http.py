"""HTTP/1.1 server and a TCP proxy that injects network faults."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import parse_qsl, urlsplit

import orjson

from tests.platform.standin.ports import LOOPBACK, open_listener

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
        """Return an integer field of the body or, if missing there, of the query."""
        return int(self.body.get(name, self.query.get(name, default)) or 0)


@dataclass(frozen=True, slots=True)
class Response:
    """Status and JSON body of a response."""

    status: int
    fields: dict = field(default_factory=dict)


async def _open_server(serve: Callable, port: int = 0) -> tuple[asyncio.Server, str]:
    """Return a server and its address; it does not accept yet, so that its owner can close it."""
    sock = open_listener(port)
    address = f"{LOOPBACK}:{sock.getsockname()[1]}"
    return await asyncio.start_server(serve, sock=sock, start_serving=False), address


class StubServer:
    """HTTP server for one handler on its own port."""

    def __init__(self, handler: Handler) -> None:
        """Initialize without listening."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._conns: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def listen(self, port: int = 0) -> None:
        """Listen on a port; 0 selects a free one.

        :raises PortError: if the system refuses it
        """
        self._server, self.address = await _open_server(self._serve, port)
        await self._server.start_serving()

    async def close(self) -> None:
        """Close the port, if it has been opened, and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._conns):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._conns.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                response = await self._handler(request)
                body = orjson.dumps(response.fields)
                head = f"HTTP/1.1 {response.status} X\r\nContent-Length: {len(body)}\r\n\r\n"
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
    """How a proxy treats its connections."""

    OPEN = "open"
    BLACKHOLE = "silent"
    RESET = "reset"
    NO_RESPONSES = "no answers"


class Proxy:
    """Forwards connections to one server and injects faults according to its mode."""

    def __init__(self, target: StubServer) -> None:
        """Initialize without listening.

        :param target: need not listen before this proxy does
        """
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self.mode = ProxyMode.OPEN
        self.delay_s = 0.0
        # Rate of all responses together, 0 for no limit.
        self.bytes_per_s = 0
        self._link = asyncio.Lock()
        self.response_bytes = 0
        self.address = ""

    async def listen(self) -> None:
        """Listen on a free port.

        :raises PortError: if the system refuses it
        """
        self._server, self.address = await _open_server(self._serve)
        await self._server.start_serving()

    async def close(self) -> None:
        """Close the port, if it has been opened, and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_connections(self) -> None:
        """Forward nothing more on the open connections, without closing them; new ones work."""
        self._silent |= self._writers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        host, _, port = self._target.address.rpartition(":")
        self._writers.add(writer)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self._writers.discard(writer)
            writer.transport.abort()
            return
        self._writers.add(upstream_writer)
        if writer.is_closing():
            # The proxy was closed, or its connections reset, while this one was opened.
            upstream_writer.transport.abort()
        directions = (
            self._forward(reader, upstream_writer, is_response=False),
            self._forward(upstream_reader, writer, is_response=True),
        )
        with suppress(asyncio.CancelledError):
            await asyncio.gather(*directions, return_exceptions=True)
        self._writers -= {writer, upstream_writer}
        self._silent -= {writer, upstream_writer}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_response: bool
    ) -> None:
        with suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65_536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.bytes_per_s and is_response:
                    async with self._link:
                        await asyncio.sleep(len(data) / self.bytes_per_s)
                if self.mode is ProxyMode.RESET:
                    break
                if self.mode is ProxyMode.BLACKHOLE or writer in self._silent:
                    continue
                if self.mode is ProxyMode.NO_RESPONSES and is_response:
                    # A connection on which a response is lost returns nothing further.
                    self._silent.add(writer)
                    continue
                self.response_bytes += len(data) if is_response else 0
                writer.write(data)
                await writer.drain()
        with suppress(OSError):
            writer.transport.abort()
