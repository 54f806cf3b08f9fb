"""Length-prefixed frames on a peer connection, with timeouts and buffer limits."""

import asyncio
import struct

from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_server import metrics
from lagoonshelf_server.codec import MAX_MESSAGE_BYTES, encode
from lagoonshelf_server.messages import Envelope

FRAME_HEADER = struct.Struct(">I")
FRAME_TIMEOUT_S = 10.0
WRITE_TIMEOUT_S = 10.0
MAX_UNSENT_BYTES = 4 * MAX_MESSAGE_BYTES


class Connection:
    """A stream of frames; limits the memory and time that a peer can consume."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap an open connection."""
        self.in_flight = 0
        self._reader = reader
        self._writer = writer
        self._drain_task: asyncio.Task | None = None

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self._writer.is_closing()

    async def read(self, idle_s: float, limit: int = MAX_MESSAGE_BYTES) -> bytes:
        """Read one frame.

        :param idle_s: maximum wait for the beginning of the frame
        :param limit: maximum frame size in bytes
        :raises LagoonshelfError: when the frame is too large
        :raises TimeoutError: when it did not begin or end in time
        """
        header = await asyncio.wait_for(self._reader.readexactly(FRAME_HEADER.size), idle_s)
        (length,) = FRAME_HEADER.unpack(header)
        if length > limit:
            text = f"frame of {length} bytes exceeds {limit}"
            raise LagoonshelfError(Fault(ResultCode.PROTOCOL, text))
        data = await asyncio.wait_for(self._reader.readexactly(length), FRAME_TIMEOUT_S)
        metrics.count_received("peers", FRAME_HEADER.size + length)
        return data

    def limit_reads(self, size: int | None) -> None:
        """Bound the bytes that asyncio's transport reads at once.

        :param size: none restores the default of 256 KB
        """
        transport = self._writer.transport
        if size is not None:
            transport.max_size = size
        else:
            del transport.max_size

    def send(self, envelope: Envelope) -> None:
        """Queue one frame; abort the connection if the peer does not read.

        :raises LagoonshelfError: when the message cannot be encoded
        """
        data = encode(envelope)
        if self.closed:
            return
        self._writer.write(FRAME_HEADER.pack(len(data)) + data)
        metrics.count_sent("peers", FRAME_HEADER.size + len(data))
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
        elif self._drain_task is None or self._drain_task.done():
            self._drain_task = asyncio.ensure_future(self._drain())

    def close(self) -> None:
        """Close after sending all queued frames."""
        self._writer.close()

    def abort(self) -> None:
        """Close immediately and discard queued frames."""
        self._writer.transport.abort()

    async def _drain(self) -> None:
        try:
            await asyncio.wait_for(self._writer.drain(), WRITE_TIMEOUT_S)
        except TimeoutError:
            self.abort()
        except OSError:
            self.close()
