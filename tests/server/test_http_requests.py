"""Fuzz tests of the reader of HTTP requests; derandomized, so that each run has the same cases."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonshelf_core.jobs.config import HttpLimits
from lagoonshelf_server.http_requests import RequestError, RequestReader

LIMITS = HttpLimits(header_bytes=400, body_bytes=300)
# Parts of requests, sound and odd ones, that are put together at random.
PARTS = (
    b"GET / HTTP/1.1\r\n",
    b"POST /a HTTP/1.1\r\n",
    b"GET / HTTP/1.0\r\n",
    b"Host: a\r\n",
    b"Connection: close\r\n",
    b"Connection: keep-alive\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: 301\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Expect: 100-continue\r\n",
    b" folded\r\n",
    b"N\0L: 1\r\n",
    b"L: " + b"x" * 390 + b"\r\n",
    b"\r\n",
    b"hello",
    b"5\r\nhello\r\n",
    b"1;" + b"e" * 500 + b"\r\nx\r\n",
    b"0\r\n",
    b"T: t\r\n",
    b"\n",
    b"\xff",
)
MESSAGES = st.lists(st.sampled_from(PARTS) | st.binary(max_size=8), max_size=14).map(b"".join)
FUZZ = settings(max_examples=600, derandomize=True, deadline=None, database=None)


def read(pieces: list[bytes], limits: HttpLimits = LIMITS) -> tuple[list[tuple], int]:
    """Return the requests that are read from pieces, and the status that ends them or 0."""
    reader = RequestReader(lambda: limits, frozenset((b"host",)), lambda: None)
    requests = []
    for piece in pieces:
        reader.feed(piece)
        try:
            while (request := reader.next_request()) is not None:
                body = bytes(request.body)
                requests.append((request.method, request.path, body, request.keep_alive))
        except RequestError as exc:
            return requests, exc.status
    return requests, 0


class RequestReaderTest(unittest.TestCase):
    """The way from bytes to requests."""

    @FUZZ
    @given(MESSAGES, st.integers(1, 40))
    def test_the_size_of_reads_does_not_matter(self, data: bytes, size: int) -> None:
        """Guards against requests that are read in another way when they arrive in pieces."""
        pieces = [data[begin : begin + size] for begin in range(0, len(data), size)]
        found, status = read([data])
        found_in_pieces, status_in_pieces = read(pieces)
        self.assertEqual(found, found_in_pieces)
        self.assertEqual(bool(status), bool(status_in_pieces))

    def test_limits_hold_for_what_the_parser_does_not_report(self) -> None:
        """Guards against chunk extensions, header values and trailers without end."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        trailers = b"".join(b"T%d: t\r\n" % number for number in range(10_000))
        for data, status in (
            (chunked + b"1;" + b"e" * 100_000, 400),
            (chunked + b"0\r\n" + trailers, 431),
            (head + b"A: " + b"x" * 100_000, 431),
            (head + b"a:\r\n" * 16_384, 431),
            (b"GET /" + b"x" * 100_000, 431),
            (b"\r\n" * 100_000, 431),
            (b"G" * 16_384, 400),
        ):
            with self.subTest(data[:60]):
                for size in (1, 1_000, len(data)):
                    pieces = [data[begin : begin + size] for begin in range(0, len(data), size)]
                    self.assertEqual(read(pieces, HttpLimits()), ([], status))

    def test_a_request_at_the_limits_is_read(self) -> None:
        """Guards against limits that a client inside the documented ones meets."""
        lines = [b"Host: a\r\n", b"Transfer-Encoding: chunked\r\n"]
        # The names and values of these two lines have 5 and 24 bytes.
        lines.append(b"a:\r\n" * (16_384 - 29) + b"\r\n")
        head = b"POST / HTTP/1.1\r\n" + b"".join(lines)
        for chunks in (b"40000\r\n" + b"x" * 262_144 + b"\r\n", b"1\r\nx\r\n" * 262_144):
            (request,), status = read([head + chunks + b"0\r\n\r\n"], HttpLimits())
            self.assertEqual((len(request[2]), status), (262_144, 0))
