"""Connections between daemon processes: handshake, requests and replies."""

import asyncio
import hashlib
import hmac
from collections.abc import Awaitable, Callable

from returns.result import Failure

from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import MemberId
from lagoonshelf_server.codec import decode, newer_message_id
from lagoonshelf_server.connection_budget import MAX_HANDSHAKES
from lagoonshelf_server.frames import Connection
from lagoonshelf_server.listeners import ACCEPT_BATCH, open_listener, widen_backlog
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import Ack, Body, Envelope, Hello
from lagoonshelf_server.refusals import Reason, RefusalLog

HELLO_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
SERVE_IDLE_S = 30.0
LINK_IDLE_S = 5.0  # a working link carries two ping replies per second
# A link on which a call timed out is replaced if it has carried nothing for this long. A member
# that is paused for some seconds thus gets few new connections.
SILENT_LINK_S = 1.0
MAX_HELLO_BYTES = 4096
MAX_IN_FLIGHT = 8192

Handler = Callable[[MemberId, str, Body], Awaitable[tuple[str, Body]]]
_log = logger("peers")


class PeerLostError(Exception):
    """The connection broke; whether the message was handled is not known."""


class PeerUnreachableError(PeerLostError):
    """No connection could be established; the message was not sent."""


def hello_proof(secret: str, member: str) -> str:
    """Return the HMAC by which a member proves that it knows the cluster secret."""
    return hmac.new(secret.encode(), member.encode(), hashlib.sha256).hexdigest()


class _Link:
    """An outgoing connection and the calls that wait for replies on it."""

    def __init__(self, conn: Connection) -> None:
        self.conn = conn
        self.waiting: dict[int, asyncio.Future[Body]] = {}
        self.next_id = 1
        self.closed = False
        self.is_replaced = False
        self.received_at = asyncio.get_running_loop().time()

    def close(self) -> None:
        self.closed = True
        self.conn.abort()
        for fut in self.waiting.values():
            if not fut.done():
                fut.set_exception(PeerLostError("connection closed"))
        self.waiting.clear()


class PeerNet:
    """All connections between this process and other members."""

    def __init__(
        self, hello: Hello, secret: str, handler: Handler, max_handshakes: int = MAX_HANDSHAKES
    ) -> None:
        """Initialize without connections.

        :param hello: first message on each outgoing connection
        :param secret: cluster secret
        :param handler: handles messages of other members and returns the reply
        :param max_handshakes: incoming connections that may be open before their handshake
        """
        self._hello = hello
        self._secret = secret
        self._handler = handler
        self._links: dict[str, _Link] = {}
        self._connect_locks: dict[str, asyncio.Lock] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        # Incoming connections before their handshake, the one that has waited longest first.
        self._handshakes: dict[Connection, None] = {}
        self._max_handshakes = max_handshakes
        self._refusals = RefusalLog("members")

    async def listen(self, host: str, port: int) -> None:
        """Accept connections from other members."""
        sock = open_listener(host, port)
        self._server = await asyncio.start_server(self._serve, sock=sock, backlog=ACCEPT_BATCH)
        widen_backlog(sock)

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
            link.conn.send(Envelope(number, kind, body))
            return await asyncio.wait_for(fut, timeout_s)
        except (TimeoutError, OSError) as exc:
            self._replace_silent(address, link)
            raise PeerLostError(f"{address}: {type(exc).__name__}") from exc
        finally:
            link.waiting.pop(number, None)
            if link.is_replaced and not link.waiting:
                link.close()

    def _replace_silent(self, address: str, link: _Link) -> None:
        """Use a new connection for further calls if nothing arrives on a link.

        An open connection can go silent while new ones work. Calls that wait on the old link keep
        it open, as the member may only be slow.
        """
        silent_s = asyncio.get_running_loop().time() - link.received_at
        if silent_s >= SILENT_LINK_S and self._links.get(address) is link:
            _log.info("silent connection replaced", address=address, silent_ms=int(silent_s * 1e3))
            del self._links[address]
            link.is_replaced = True

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
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _link(self, address: str) -> _Link:
        lock = self._connect_locks.setdefault(address, asyncio.Lock())
        async with lock:
            link = self._links.get(address)
            if link is None or link.closed or link.conn.closed:
                link = await self._connect(address)
                self._links[address] = link
            return link

    async def _connect(self, address: str) -> _Link:
        host, _, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), CONNECT_TIMEOUT_S
            )
        except (TimeoutError, OSError, OverflowError, ValueError) as exc:
            # The last two are raised for a port out of range and for a malformed address.
            raise PeerUnreachableError(f"{address}: {type(exc).__name__}") from exc
        link = _Link(Connection(reader, writer))
        link.conn.send(Envelope(0, "hello", self._hello))
        self._spawn(self._read_replies(link))
        return link

    async def _read_replies(self, link: _Link) -> None:
        """Deliver replies to their calls; close a link that has been idle too long."""
        try:
            while True:
                result = decode(await link.conn.read(LINK_IDLE_S))
                link.received_at = asyncio.get_running_loop().time()
                if isinstance(result, Failure):
                    break
                envelope = result.unwrap()
                fut = link.waiting.get(envelope.id)
                if fut is not None and not fut.done():
                    fut.set_result(envelope.body)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, LagoonshelfError):
            pass
        finally:
            link.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; must not raise, as it runs as a task of asyncio's server."""
        conn = Connection(reader, writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve_frames(conn)
        except LagoonshelfError as exc:
            self._send_refusal(conn, exc.fault)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            conn.close()

    async def _serve_frames(self, conn: Connection) -> None:
        member = await self._authenticate(conn)
        while member is not None and not conn.closed:
            data = await conn.read(SERVE_IDLE_S)
            result = decode(data)
            if not isinstance(result, Failure):
                self._handle(member, conn, result.unwrap())
                continue
            number = newer_message_id(data)
            self._send_refusal(conn, result.failure(), number or 0)
            if number is None:
                return

    async def _authenticate(self, conn: Connection) -> MemberId | None:
        """Return the member that opened a connection, none if it is refused."""
        if len(self._handshakes) >= self._max_handshakes:
            # A member sends its hello at once, so that one that waits is hardly a member.
            self._refusals.close(Reason.HANDSHAKES)
            oldest = next(iter(self._handshakes))
            del self._handshakes[oldest]
            oldest.abort()
        self._handshakes[conn] = None
        try:
            conn.limit_reads(MAX_HELLO_BYTES)
            member = await asyncio.wait_for(self._handshake(conn), HELLO_TIMEOUT_S)
        finally:
            self._handshakes.pop(conn, None)
        conn.limit_reads(None)
        return member

    async def _handshake(self, conn: Connection) -> MemberId | None:
        result = decode(await conn.read(HELLO_TIMEOUT_S, MAX_HELLO_BYTES))
        if isinstance(result, Failure):
            self._send_refusal(conn, result.failure())
            return None
        hello = result.unwrap().body
        if not isinstance(hello, Hello):
            self._send_refusal(
                conn, Fault(ResultCode.PEER_REFUSED, "the first message is no hello")
            )
            return None
        if not _is_valid_proof(self._secret, hello):
            self._send_refusal(conn, Fault(ResultCode.PEER_REFUSED, "hello with a wrong secret"))
            return None
        return MemberId(hello.member)

    def _send_refusal(self, conn: Connection, fault: Fault, message_id: int = 0) -> None:
        self._refusals.refuse(Reason.PEER_MESSAGE, code=fault.code.number, fault=fault.message)
        conn.send(Envelope(message_id, "ack", Ack(fault.code.number, fault.message), True))

    def _handle(self, member: MemberId, conn: Connection, envelope: Envelope) -> None:
        """Handle a message in the background; refuse it if too many are in flight."""
        if conn.in_flight >= MAX_IN_FLIGHT:
            fault = Fault(ResultCode.OVERLOADED, "too many messages of one member at once")
            self._send_refusal(conn, fault, envelope.id)
            return
        conn.in_flight += 1
        self._spawn(self._answer(member, conn, envelope))

    async def _answer(self, member: MemberId, conn: Connection, envelope: Envelope) -> None:
        try:
            kind, body = await self._handler(member, envelope.kind, envelope.body)
            conn.send(Envelope(envelope.id, kind, body, True))
        except LagoonshelfError as exc:
            fault = exc.fault
            conn.send(Envelope(envelope.id, "ack", Ack(fault.code.number, fault.message), True))
        except Exception as exc:
            _log.error("message handler failed", kind=envelope.kind, exc_info=True)
            ack = Ack(ResultCode.INTERNAL.number, type(exc).__name__)
            conn.send(Envelope(envelope.id, "ack", ack, True))
        finally:
            conn.in_flight -= 1

    def _spawn(self, coro: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _is_valid_proof(secret: str, hello: Hello) -> bool:
    expected = hello_proof(secret, hello.member)
    return hmac.compare_digest(expected.encode(), hello.proof.encode())
