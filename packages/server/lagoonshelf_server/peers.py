"""Connections between daemon processes: framing, requests and replies."""

import asyncio
import hashlib
import hmac
import struct
from collections.abc import Awaitable, Callable

from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import MemberId
from returns.result import Failure

from lagoonshelf_server import metrics
from lagoonshelf_server.codec import MAX_MESSAGE_BYTES, decode, encode
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import Ack, Body, Envelope, Hello

FRAME_HEADER = struct.Struct(">I")
HELLO_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0

Handler = Callable[[MemberId, str, Body], Awaitable[tuple[str, Body]]]
_log = logger("peers")


class PeerLostError(Exception):
    """The connection broke; whether the message was handled is not known."""


class PeerUnreachableError(PeerLostError):
    """No connection could be made; the message was not sent."""


def hello_proof(secret: str, member: str) -> str:
    """Return the proof that a member knows the cluster secret."""
    return hmac.new(secret.encode(), member.encode(), hashlib.sha256).hexdigest()


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Read one frame.

    :raises LagoonshelfError: when the frame is too large
    """
    (length,) = FRAME_HEADER.unpack(await reader.readexactly(FRAME_HEADER.size))
    if length > MAX_MESSAGE_BYTES:
        text = f"frame of {length} bytes exceeds {MAX_MESSAGE_BYTES}"
        raise LagoonshelfError(Fault(ResultCode.PROTOCOL, text))
    data = await reader.readexactly(length)
    metrics.count_received("peers", FRAME_HEADER.size + length)
    return data


def write_frame(writer: asyncio.StreamWriter, envelope: Envelope) -> None:
    """Queue one frame for sending."""
    data = encode(envelope)
    writer.write(FRAME_HEADER.pack(len(data)) + data)
    metrics.count_sent("peers", FRAME_HEADER.size + len(data))


class _Link:
    """An outgoing connection and the calls that wait for replies on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.waiting: dict[int, asyncio.Future[Body]] = {}
        self.next_id = 1
        self.closed = False

    def close(self) -> None:
        self.closed = True
        self.writer.close()
        for fut in self.waiting.values():
            if not fut.done():
                fut.set_exception(PeerLostError("connection closed"))
        self.waiting.clear()


class PeerNet:
    """All connections of this process with other members."""

    def __init__(self, hello: Hello, secret: str, handler: Handler) -> None:
        """Set up without connections.

        :param hello: how this process introduces itself
        :param secret: cluster secret
        :param handler: answers messages of other members
        """
        self._hello = hello
        self._secret = secret
        self._handler = handler
        self._links: dict[str, _Link] = {}
        self._dialing: dict[str, asyncio.Lock] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, host: str, port: int) -> None:
        """Accept connections of other members."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def call(self, address: str, kind: str, body: Body, timeout_s: float) -> Body:
        """Send a message and wait for its reply.

        :param address: ``host:port`` of the member
        :param kind: name of the message in the schema
        :raises PeerLostError: when no reply came
        """
        link = await self._link(address)
        number = link.next_id
        link.next_id += 1
        fut: asyncio.Future[Body] = asyncio.get_running_loop().create_future()
        link.waiting[number] = fut
        try:
            write_frame(link.writer, Envelope(number, kind, body))
            return await asyncio.wait_for(fut, timeout_s)
        except (TimeoutError, OSError) as exc:
            raise PeerLostError(f"{address}: {type(exc).__name__}") from exc
        finally:
            link.waiting.pop(number, None)

    def drop(self, address: str) -> None:
        """Close the connection to a member, if there is one."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for address in list(self._links):
            self.drop(address)
        for task in list(self._tasks):
            task.cancel()

    async def _link(self, address: str) -> _Link:
        lock = self._dialing.setdefault(address, asyncio.Lock())
        async with lock:
            link = self._links.get(address)
            if link is None or link.closed:
                link = await self._dial(address)
                self._links[address] = link
            return link

    async def _dial(self, address: str) -> _Link:
        host, _, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), CONNECT_TIMEOUT_S
            )
        except (TimeoutError, OSError) as exc:
            raise PeerUnreachableError(f"{address}: {type(exc).__name__}") from exc
        link = _Link(reader, writer)
        write_frame(writer, Envelope(0, "hello", self._hello))
        self._keep(self._read_replies(link))
        return link

    async def _read_replies(self, link: _Link) -> None:
        try:
            while True:
                result = decode(await read_frame(link.reader))
                if isinstance(result, Failure):
                    break
                envelope = result.unwrap()
                fut = link.waiting.get(envelope.id)
                if fut is not None and not fut.done():
                    fut.set_result(envelope.body)
        except (OSError, asyncio.IncompleteReadError, LagoonshelfError):
            pass
        finally:
            link.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            member = await asyncio.wait_for(self._greet(reader, writer), HELLO_TIMEOUT_S)
            while member is not None:
                result = decode(await read_frame(reader))
                if isinstance(result, Failure):
                    self._refuse(writer, result.failure())
                    break
                self._keep(self._answer(member, writer, result.unwrap()))
        except LagoonshelfError as exc:
            self._refuse(writer, exc.fault)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _greet(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> MemberId | None:
        result = decode(await read_frame(reader))
        if isinstance(result, Failure):
            self._refuse(writer, result.failure())
            return None
        hello = result.unwrap().body
        expected = hello_proof(self._secret, getattr(hello, "member", ""))
        if not isinstance(hello, Hello) or not hmac.compare_digest(expected, hello.proof):
            self._refuse(writer, Fault(ResultCode.PEER_REFUSED, "hello with a wrong secret"))
            return None
        return MemberId(hello.member)

    def _refuse(self, writer: asyncio.StreamWriter, fault: Fault) -> None:
        _log.warning("peer message refused", code=fault.code.number, reason=fault.message)
        write_frame(writer, Envelope(0, "ack", Ack(fault.code.number, fault.message), True))

    async def _answer(
        self, member: MemberId, writer: asyncio.StreamWriter, envelope: Envelope
    ) -> None:
        try:
            kind, body = await self._handler(member, envelope.kind, envelope.body)
        except LagoonshelfError as exc:
            kind, body = "ack", Ack(exc.fault.code.number, exc.fault.message)
        except Exception as exc:
            _log.error("message handler failed", kind=envelope.kind, exc_info=True)
            kind, body = "ack", Ack(ResultCode.INTERNAL.number, type(exc).__name__)
        if not writer.is_closing():
            write_frame(writer, Envelope(envelope.id, kind, body, True))

    def _keep(self, coro: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
