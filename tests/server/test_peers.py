"""Tests of the peer protocol on loopback sockets."""

import asyncio
import struct
import tempfile
import unittest
from contextlib import suppress
from pathlib import Path
from unittest.mock import patch

import capnp

from lagoonshelf_core.errors import LagoonshelfError, ResultCode
from lagoonshelf_core.ids import MemberId
from lagoonshelf_server import frames, peers
from lagoonshelf_server.codec import MAX_MESSAGE_BYTES, SCHEMA_PATH, decode, encode
from lagoonshelf_server.messages import Ack, Body, ConfigAsk, ConfigReply, Envelope, Hello
from lagoonshelf_server.peers import PeerLostError, PeerNet, PeerUnreachableError, hello_proof

SECRET = "secret-of-the-test"
HOST = "127.0.0.1"


def hello(member: str, secret: str = SECRET) -> Hello:
    """Return the hello message of a member."""
    return Hello(member, hello_proof(secret, member), f"{HOST}:1", "fd")


def frame(envelope: Envelope) -> bytes:
    """Return the frame of a message."""
    data = encode(envelope)
    return struct.pack(">I", len(data)) + data


def make_newer_schema() -> object:
    """Return the schema of a later version, with a new field and a new union member."""
    text = SCHEMA_PATH.read_text().replace("0xd3a1f0c95b7e2846", "0xd3a1f0c95b7e2847")
    text = text.replace("struct Ack {", "struct Future { x @0 :Text; }\nstruct Ack { z @2 :Text;")
    last = "whereReply @37 :WhereText;"
    text = text.replace(last, last + " future @38 :Future;")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "newer.capnp"
        path.write_text(text)
        return capnp.load(str(path))


class PeersTest(unittest.IsolatedAsyncioTestCase):
    """A server with one well-behaved member while others send faulty data."""

    async def asyncSetUp(self) -> None:
        self.seen: list[str] = []
        self.server = PeerNet(hello("server"), SECRET, self.handle)
        await self.server.listen(HOST, 0)
        self.port = self.server._server.sockets[0].getsockname()[1]
        self.good = PeerNet(hello("good"), SECRET, self.handle)
        self.writers: list[asyncio.StreamWriter] = []

    async def asyncTearDown(self) -> None:
        for writer in self.writers:
            writer.close()
        await self.good.close()
        await self.server.close()

    async def handle(self, member: MemberId, kind: str, body: Body) -> tuple[str, Body]:
        self.seen.append(member)
        if isinstance(body, ConfigAsk) and body.revision:
            return "configReply", ConfigReply(body.revision, ("x" * body.revision,))
        return "ack", Ack(body.code + 1 if isinstance(body, Ack) else 0)

    async def check_good(self) -> None:
        """Check that the well-behaved member is served."""
        reply = await self.good.call(f"{HOST}:{self.port}", "ack", Ack(41), 5)
        self.assertEqual(reply, Ack(42))

    async def connect(self, data: bytes) -> asyncio.StreamReader:
        """Open a connection and send bytes."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.writers.append(writer)
        writer.write(data)
        return reader

    async def test_silent_connections_leave_room_for_members(self) -> None:
        """Guards against peers that are no members and hold descriptors or keep members out."""
        server = PeerNet(hello("server"), SECRET, self.handle, max_handshakes=4)
        self.addAsyncCleanup(server.close)
        await server.listen(HOST, 0)
        port = server._server.sockets[0].getsockname()[1]
        silent = [await asyncio.open_connection(HOST, port) for _ in range(12)]
        self.writers += [writer for _, writer in silent]
        reply = await self.good.call(f"{HOST}:{port}", "ack", Ack(41), 5)
        self.assertEqual(reply, Ack(42))
        with suppress(ConnectionResetError):
            self.assertEqual(await silent[0][0].read(), b"")
        self.assertLessEqual(len(server._handshakes), 4)

    async def reply(self, reader: asyncio.StreamReader) -> Envelope:
        (length,) = struct.unpack(">I", await asyncio.wait_for(reader.readexactly(4), 10))
        return decode(await reader.readexactly(length)).unwrap()

    async def check_refused(self, data: bytes, code: ResultCode) -> None:
        """Check that data is refused with a code and the connection closed; others are served."""
        reader = await self.connect(data)
        self.assertEqual((await self.reply(reader)).body.code, code.number)
        self.assertEqual(await asyncio.wait_for(reader.read(), 10), b"")
        await self.check_good()
        self.assertEqual(set(self.seen), {"good"})

    async def test_a_wrong_secret_is_refused(self) -> None:
        """Guards against messages from processes that do not know the cluster secret."""
        bad = Envelope(0, "hello", hello("bad", "another secret"))
        await self.check_refused(frame(bad) + frame(Envelope(1, "ack", Ack(1))), _REFUSED)

    async def test_nothing_is_handled_before_hello(self) -> None:
        """Guards against a peer that skips the handshake."""
        await self.check_refused(frame(Envelope(1, "ack", Ack(1))), _REFUSED)

    async def test_a_large_frame_before_hello_is_refused(self) -> None:
        """Guards against memory spent on connections that are not authenticated."""
        await self.check_refused(struct.pack(">I", 100_000) + b"x" * 10, ResultCode.PROTOCOL)

    async def test_an_oversized_frame_is_refused(self) -> None:
        """Guards against memory exhaustion by a frame with a large length."""
        data = frame(Envelope(0, "hello", hello("big")))
        data += struct.pack(">I", MAX_MESSAGE_BYTES + 1)
        await self.check_refused(data, ResultCode.PROTOCOL)

    async def test_malformed_frames_are_refused(self) -> None:
        """Guards against a crash on malformed data, and memory use by packed data that expands."""
        whole = encode(Envelope(1, "ack", Ack(1, "text")))
        expanding = b"\x11\x00\x00" + b"\x10\xff\x7f" + b"\x00\xff" * 1000
        for junk in (b"", b"\xff" * 50, b"\x00" * 20, whole[:-3], expanding):
            hello_frame = frame(Envelope(0, "hello", hello("junk")))
            data = hello_frame + struct.pack(">I", len(junk)) + junk
            await self.check_refused(data, ResultCode.PROTOCOL)

    async def test_newer_fields_are_ignored_and_newer_messages_refused_alone(self) -> None:
        """Guards against closed connections between versions during a rolling upgrade."""
        newer = make_newer_schema().Message
        future = newer.new_message(version=2, id=7)
        future.body.from_dict({"future": {"x": "y"}})
        extended = newer.new_message(version=2, id=8)
        extended.body.from_dict({"ack": {"code": 3, "z": "new"}})
        data = frame(Envelope(0, "hello", hello("newer")))
        for message in (future, extended):
            packed = message.to_bytes_packed()
            data += struct.pack(">I", len(packed)) + packed
        reader = await self.connect(data)
        replies = [await self.reply(reader), await self.reply(reader)]
        codes = {envelope.id: envelope.body.code for envelope in replies}
        self.assertEqual(codes, {7: ResultCode.PROTOCOL.number, 8: 4})

    async def test_half_open_and_stalled_connections_are_closed(self) -> None:
        """Guards against silent connections that hold resources."""
        with (
            patch.object(peers, "HELLO_TIMEOUT_S", 0.3),
            patch.object(peers, "SERVE_IDLE_S", 0.3),
            patch.object(frames, "FRAME_TIMEOUT_S", 0.3),
        ):
            hello_frame = frame(Envelope(0, "hello", hello("slow")))
            for data in (
                b"",
                b"\x00\x00",
                hello_frame,
                hello_frame + struct.pack(">I", 100) + b"x",
            ):
                reader = await self.connect(data)
                self.good.drop(f"{HOST}:{self.port}")  # the server closes it as idle, too
                await self.check_good()
                self.assertEqual(await asyncio.wait_for(reader.read(), 10), b"")

    async def test_a_member_that_does_not_read_is_disconnected(self) -> None:
        """Guards against unbounded buffering of replies for a member that does not read."""
        size = 1_000_000
        request = frame(Envelope(1, "configAsk", ConfigAsk(size)))
        for name, count in (("timeout", 14), ("bound", 40)):
            with self.subTest(name), patch.object(frames, "WRITE_TIMEOUT_S", 0.5):
                reader = await self.connect(frame(Envelope(0, "hello", hello(name))))
                reader._transport.pause_reading()
                self.writers[-1].write(request * count)
                await self.wait_for(lambda name=name: name in self.seen)
                await self.check_good()
                await self.wait_for(lambda: len(self.server._tasks) == 1)  # that of self.good
                reader._transport.resume_reading()
                with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                    await asyncio.wait_for(reader.readexactly(count * size), 10)

    async def test_a_silent_server_is_reconnected(self) -> None:
        """Guards against calls that wait forever on a half-open connection."""
        accepted = []

        async def accept_silently(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            accepted.append(writer)
            await reader.read()

        server = await asyncio.start_server(accept_silently, HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        with patch.object(peers, "LINK_IDLE_S", 0.3):
            for _ in range(2):
                with self.assertRaises(PeerLostError) as caught:
                    await self.good.call(address, "ack", Ack(1), 30)
                self.assertNotIsInstance(caught.exception, PeerUnreachableError)
        self.assertEqual(len(accepted), 2)
        server.close()
        for writer in accepted:
            writer.close()

    async def test_a_connection_that_went_silent_is_replaced(self) -> None:
        """Guards against calls that time out on a silent connection while a new one would work.

        Advice and heartbeats failed for up to 5 s (incident CONFIG, the same cause elsewhere).
        """
        await self.check_good()
        address = f"{HOST}:{self.port}"
        link = self.good._links[address]
        with (
            patch.object(link.conn, "send", lambda envelope: None),
            patch.object(peers, "SILENT_LINK_S", 0.2),
        ):
            waiting = asyncio.ensure_future(self.good.call(address, "ack", Ack(1), 1.0))
            with self.assertRaises(PeerLostError):
                await self.good.call(address, "ack", Ack(1), 0.3)
            self.assertEqual(await self.good.call(address, "ack", Ack(41), 0.3), Ack(42))
            self.assertFalse(waiting.done(), "a slow reply may still arrive")
            with self.assertRaises(PeerLostError):
                await waiting
        self.assertTrue(link.closed)

    async def test_a_connection_that_is_in_use_outlives_a_call_without_reply(self) -> None:
        """Guards against new connections for all calls because a single one takes long."""
        never = asyncio.Event()
        handle = self.server._handler

        async def handle_slowly(member: MemberId, kind: str, body: Body) -> tuple[str, Body]:
            if isinstance(body, Ack) and body.code == 7:
                await never.wait()
            return await handle(member, kind, body)

        self.server._handler = handle_slowly
        address = f"{HOST}:{self.port}"
        with patch.object(peers, "SILENT_LINK_S", 0.2):
            slow = asyncio.ensure_future(self.good.call(address, "ack", Ack(7), 0.3))
            link = await self.good._link(address)
            await asyncio.sleep(0.2)
            await self.check_good()
            with self.assertRaises(PeerLostError):
                await slow
            self.assertIs(await self.good._link(address), link)

    async def test_a_refused_connection_counts_as_not_sent(self) -> None:
        """Guards against OUTCOME_UNKNOWN for a message that was never sent."""
        server = await asyncio.start_server(lambda r, w: None, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        with self.assertRaises(PeerUnreachableError):
            await self.good.call(f"{HOST}:{port}", "ack", Ack(1), 5)

    async def test_a_malformed_address_is_not_reachable(self) -> None:
        """Guards against an error that ends the caller's loop instead of its call."""
        for address in (f"{HOST}:65536", f"{HOST}:x", HOST):
            with self.subTest(address), self.assertRaises(PeerUnreachableError):
                await self.good.call(address, "ack", Ack(1), 5)

    async def test_too_many_messages_at_once_are_refused(self) -> None:
        """Guards against memory exhaustion by unanswered messages of one member."""
        with patch.object(peers, "MAX_IN_FLIGHT", 0):
            reply = await self.good.call(f"{HOST}:{self.port}", "ack", Ack(1), 5)
        self.assertEqual(reply.code, ResultCode.OVERLOADED.number)
        await self.check_good()

    async def test_a_value_outside_the_schema_is_refused_at_the_sender(self) -> None:
        """Guards against an encoding error that ends the task sending the message."""
        with self.assertRaises(LagoonshelfError):
            encode(Envelope(1, "ack", Ack(-1)))

    async def wait_for(self, check: object) -> None:
        for _ in range(1000):
            if check():
                return
            await asyncio.sleep(0.01)
        self.fail("condition not reached")


_REFUSED = ResultCode.PEER_REFUSED
