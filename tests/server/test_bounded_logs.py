"""Tests of log output that is bounded in volume and never blocks."""

import os
import unittest

import orjson
from logbook import Logger

from lagoonshelf_server.logs import BURST_LINES, MAX_PENDING_BYTES, TOKENS_KEPT, BoundedHandler


class BoundedLogsTest(unittest.TestCase):
    """A handler that writes to a pipe."""

    def setUp(self) -> None:
        """Open the pipe."""
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.reader, False)
        self.handler = BoundedHandler(self.writer, "INFO", "m1")
        self.log = Logger("test")

    def _lines(self) -> list[dict]:
        data = b""
        while True:
            self.handler.flush()
            try:
                chunk = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
            data += chunk
        return [orjson.loads(line) for line in data.splitlines()]

    def test_lines_are_complete(self) -> None:
        """Guards against lines without the process, the message or the fields of the log call."""
        with self.handler.applicationbound():
            self.log.info("run placed", request="17", attempt=2)
        (line,) = self._lines()
        self.assertEqual((line["member"], line["message"]), ("m1", "run placed"))
        self.assertEqual((line["request"], line["attempt"]), ("17", 2))

    def test_unread_stream_neither_blocks_nor_uses_unbounded_memory(self) -> None:
        """Guards against blocking, and uncounted dropped lines, while nobody reads the logs."""
        with self.handler.applicationbound():
            for number in range(20_000):
                self.log.warning("x" * 200, number=number)
        self.assertLess(self.handler._pending_bytes, MAX_PENDING_BYTES + 1_000)
        lines = self._lines()
        with self.handler.applicationbound():
            self.log.info("again")
        lines += self._lines()
        dropped = [line["count"] for line in lines if line["message"] == "lines left out"]
        written = sum("number" in line for line in lines)
        self.assertEqual(sum(dropped) + written, 20_000)

    def test_warnings_are_written_when_routine_lines_are_dropped(self) -> None:
        """Guards against warnings that the limit on the rate of lines drops."""
        with self.handler.applicationbound():
            for _ in range(int(BURST_LINES) + 500):
                self.log.info("routine")
                self._lines()
            self.log.warning("worker lost")
        self.assertIn("worker lost", [line["message"] for line in self._lines()])
        self.assertGreater(self.handler.dropped_lines + 500, 400)

    def test_routine_lines_leave_room_for_others(self) -> None:
        """Guards against placements that use up the rate of lines before a refusal is logged.

        The log of a busy leader had a line of left out lines after each few others.
        """
        with self.handler.applicationbound():
            for _ in range(int(BURST_LINES)):
                self.log.info("tasks placed")
                self._lines()
            for _ in range(int(TOKENS_KEPT) // 2):
                self.log.info("job refused")
        messages = [line["message"] for line in self._lines()]
        self.assertEqual(messages.count("job refused"), TOKENS_KEPT // 2)
        self.assertLessEqual(messages.count("lines left out"), 2)
