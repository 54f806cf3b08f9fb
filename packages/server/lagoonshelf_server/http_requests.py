"""Reads HTTP/1.1 requests from bytes, one at a time and within limits."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from lagoonshelf_core.jobs.config import HttpLimits
from lagoonshelf_server.refusals import Reason

HEAD_END = b"\r\n\r\n"
# Bytes that are parsed at once while the end of a request is not in sight.
SLICE_BYTES = 4_096
# Colon, space and line end of a header line of one byte. Lines have no limit of their own: those
# that are not kept cost no memory, and a legal request may consist of the shortest ones.
FRAMING_PER_HEADER_BYTE = 4
# Request line without its path, and what the slices of a former request may add.
HEAD_MARGIN_BYTES = 2 * SLICE_BYTES
# A chunk of one byte has five bytes of framing.
FRAMING_PER_BODY_BYTE = 8
# A kept header line has two byte strings and an entry of a dictionary.
KEPT_LINE_BYTES = 200

HTTP_BAD_REQUEST = 400
HTTP_TOO_LARGE = 413
HTTP_EXPECTATION_FAILED = 417
HTTP_HEADERS_TOO_LARGE = 431


@dataclass(slots=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes | bytearray
    keep_alive: bool = True
    version: str = "1.1"


class RequestError(Exception):
    """The client sent what is not read as a request; nothing after it is read either."""

    def __init__(self, status: int, reason: Reason) -> None:
        """Initialize with the status for the client."""
        super().__init__(reason.value)
        self.status = status
        self.reason = reason


class RequestReader:
    """Parses one request of a connection at a time and keeps the bytes after it as they are."""

    def __init__(
        self,
        limits: Callable[[], HttpLimits],
        kept_headers: frozenset[bytes],
        send_continue: Callable[[], None],
    ) -> None:
        """Initialize.

        :param kept_headers: names in lower case of the headers that requests have; others are
            checked and discarded, so that they cost no memory
        :param send_continue: is called when the client waits for it before it sends the body
        """
        self._limits = limits
        self._max_header_bytes = limits().header_bytes
        self._max_body_bytes = limits().body_bytes
        self._kept_headers = kept_headers
        self._send_continue = send_continue
        self._parser = httptools.HttpRequestParser(self)
        self._unparsed = b""
        self._position = 0
        self._complete: deque[HttpRequest] = deque()
        self._error: RequestError | None = None
        self._is_ended = False
        self._start_request()

    def _start_request(self) -> None:
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._header_bytes = 0
        self._expects: bytes | None = None
        self._body: bytearray | None = None
        self._body_left = 0
        self._is_in_body = False
        self._framing_bytes = 0

    @property
    def is_reading(self) -> bool:
        """Return whether a request is incomplete."""
        return bool(self._framing_bytes or self._position < len(self._unparsed))

    @property
    def held_bytes(self) -> int:
        """Return the memory that incomplete and unparsed requests take."""
        incomplete = len(self._body or b"") if self._is_in_body else self._framing_bytes
        return len(self._unparsed) + incomplete + len(self._headers) * KEPT_LINE_BYTES

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        if not self._is_ended:
            self._unparsed = self._unparsed[self._position :] + data
            self._position = 0

    def next_request(self) -> HttpRequest | None:
        """Return the next request, none if it is incomplete.

        :raises RequestError: when there is none, and never will be
        """
        while not self._complete:
            if self._error is not None:
                raise self._error
            if self._position >= len(self._unparsed) or self._is_ended:
                self._drop_unparsed()
                return None
            self._parse_slice()
        return self._complete.popleft()

    def discard(self) -> None:
        """Read nothing more, and release what was read."""
        self._end(None)
        self._complete.clear()

    def _drop_unparsed(self) -> None:
        self._unparsed = b""
        self._position = 0

    def _parse_slice(self) -> None:
        """Parse up to the probable end of a request, so that few are read ahead."""
        begin, data = self._position, self._unparsed
        if self._body_left:
            end = begin + self._body_left
        else:
            found = data.find(HEAD_END, begin, begin + SLICE_BYTES)
            end = begin + SLICE_BYTES if found < 0 else found + len(HEAD_END)
        part = data if begin == 0 and end >= len(data) else data[begin:end]
        self._position += len(part)
        if not self._body_left:
            self._framing_bytes += len(part)
        try:
            self._parser.feed_data(part)
            if not self._is_ended:
                self._check_framing()
        except httptools.HttpParserUpgrade:
            # The parser reports the request as complete before it reports the upgrade.
            self._complete.pop()
            self._end(RequestError(HTTP_BAD_REQUEST, Reason.MALFORMED))
        except httptools.HttpParserError:
            # After a request with "Connection: close" the parser refuses further bytes.
            if not self._is_ended:
                self._end(RequestError(HTTP_BAD_REQUEST, Reason.MALFORMED))
        except RequestError as exc:
            self._end(exc)

    def _check_framing(self) -> None:
        """Bound what the parser skips or keeps itself: chunk extensions and incomplete lines."""
        # Path and headers are each bounded by the limit.
        limit = 2 * self._max_header_bytes + HEAD_MARGIN_BYTES
        limit += FRAMING_PER_HEADER_BYTE * self._header_bytes
        if self._framing_bytes <= limit:
            return
        if not self._is_in_body:
            raise RequestError(HTTP_HEADERS_TOO_LARGE, Reason.HEADERS_TOO_LARGE)
        if self._framing_bytes > limit + FRAMING_PER_BODY_BYTE * len(self._body or b""):
            raise RequestError(HTTP_BAD_REQUEST, Reason.CHUNKS_TOO_SMALL)

    def _end(self, error: RequestError | None) -> None:
        self._is_ended = True
        self._error = self._error or error
        self._drop_unparsed()
        self._start_request()

    def _fail(self, status: int, reason: Reason) -> None:
        """Make the parser stop; it raises an error of its own out of a callback."""
        self._error = RequestError(status, reason)
        raise self._error

    def on_message_begin(self) -> None:
        """Note that a request has begun; called by the parser, like the methods below."""
        self._framing_bytes += 1
        limits = self._limits()
        self._max_header_bytes, self._max_body_bytes = limits.header_bytes, limits.body_bytes

    def on_url(self, url: bytes) -> None:
        """Receive a part of the path."""
        self._url += url
        if len(self._url) > self._max_header_bytes:
            self._fail(HTTP_HEADERS_TOO_LARGE, Reason.HEADERS_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receive a header, or a trailer, which is discarded."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._max_header_bytes:
            self._fail(HTTP_HEADERS_TOO_LARGE, Reason.HEADERS_TOO_LARGE)
        if self._is_in_body:
            return
        name = name.lower()
        if name in self._kept_headers:
            self._headers[name] = value
        elif name == b"content-length" and value.isdigit():
            self._body_left = int(value)
        elif name == b"transfer-encoding" and value.lower() != b"chunked":
            self._fail(HTTP_BAD_REQUEST, Reason.MALFORMED)
        elif name == b"expect":
            self._expects = value.lower()

    def on_headers_complete(self) -> None:
        """Refuse a body that is announced as too large."""
        self._is_in_body = True
        self._framing_bytes = 1
        if self._body_left > self._max_body_bytes:
            self._fail(HTTP_TOO_LARGE, Reason.BODY_TOO_LARGE)
        if self._expects == b"100-continue":
            self._send_continue()
        elif self._expects is not None:
            self._fail(HTTP_EXPECTATION_FAILED, Reason.EXPECTATION)

    def on_body(self, data: bytes) -> None:
        """Receive a part of the body."""
        if self._body is None:
            self._body = bytearray()
        if len(self._body) + len(data) > self._max_body_bytes:
            self._fail(HTTP_TOO_LARGE, Reason.BODY_TOO_LARGE)
        self._body += data
        self._body_left = max(0, self._body_left - len(data))

    def on_message_complete(self) -> None:
        """Complete the request."""
        keep_alive = self._parser.should_keep_alive()
        self._complete.append(
            HttpRequest(
                self._parser.get_method().decode(),
                self._url.decode("latin-1"),
                self._headers,
                b"" if self._body is None else self._body,
                keep_alive,
                self._parser.get_http_version(),
            )
        )
        self._start_request()
        if not keep_alive:
            self._is_ended = True
