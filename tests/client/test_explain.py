"""Tests that ``explain`` finds the cause of a request's failure in recorded logs."""

import tempfile
import unittest
from pathlib import Path

import orjson

from lagoonshelf_client.explain import explain, format_line, read_lines

REJECTED = (
    ("m1", "00.100", "store lost", {"reason": "commit: status 503"}),
    ("m1", "00.200", "job handed in", {"request": "a", "outcome": "unavailable"}),
    ("m1", "00.210", "request not served", {"request": "a", "status": 503, "reason": "store"}),
    ("m1", "00.300", "job handed in", {"request": "b", "outcome": "stored"}),
    ("m1", "09.300", "store regained", {"silent_ms": 9200}),
)
LOST_WORKER = (
    ("m1", "00.000", "job handed in", {"request": "a", "outcome": "stored"}),
    ("m2", "00.050", "run placed", {"request": "a", "worker": "w1", "attempt": 1}),
    ("m2", "00.060", "worker lost", {"worker": "w2", "reason": "no response"}),
    ("m2", "00.500", "worker lost", {"worker": "w1", "reason": "no response in 1400 ms"}),
    ("m2", "07.400", "lease of a lost worker lapsed", {"worker": "w1", "runs": 1}),
    ("m2", "07.401", "run lost", {"request": "a", "worker": "w1", "reason": "lease lapsed"}),
    ("m2", "07.410", "run placed", {"request": "a", "worker": "w3", "attempt": 2}),
    ("m2", "08.500", "job ended", {"request": "a", "state": "complete", "after_ms": 8500}),
)
LOST_LEADER = (
    ("m1", "00.000", "job handed in", {"request": "a", "outcome": "stored"}),
    ("m2", "00.010", "run placed", {"request": "a", "worker": "w1", "attempt": 1, "seat": 3}),
    ("m3", "01.400", "seat is free", {"seat": 3}),
    ("m3", "01.430", "seat taken", {"seat": 9, "again": False}),
    ("m3", "01.460", "run adopted", {"request": "a", "worker": "w1", "attempt": 1, "seat": 9}),
    ("m3", "01.900", "job ended", {"request": "a", "state": "complete", "after_ms": 1900}),
)


class ExplainTest(unittest.TestCase):
    """Logs of a rejected request and of two delayed ones."""

    def _explain(self, rows: tuple) -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for member in sorted({row[0] for row in rows}):
                path = Path(folder) / f"{member}.log"
                path.write_bytes(
                    b"not a line\n" + b"\n".join(_json(*r) for r in rows if r[0] == member)
                )
                paths.append(str(path))
            return [line.message for line in explain("a", read_lines(paths))]

    def test_a_rejected_request_shows_the_lost_store(self) -> None:
        """Guards against a missing cause or answer, and against lines of other requests."""
        found = self._explain(REJECTED)
        self.assertEqual(found, ["store lost", "job handed in", "request not served"])

    def test_a_late_job_shows_the_lost_worker(self) -> None:
        """Guards against a missing worker loss, and against lines of unrelated workers."""
        found = self._explain(LOST_WORKER)
        self.assertEqual(found.count("worker lost"), 1)
        self.assertIn("lease of a lost worker lapsed", found)
        self.assertEqual(found[-1], "job ended")

    def test_a_late_job_shows_the_lost_leader(self) -> None:
        """Guards against a missing leader change when logs of several processes are merged."""
        found = self._explain(LOST_LEADER)
        expected = ["run placed", "seat is free", "seat taken", "run adopted", "job ended"]
        self.assertEqual(found[1:], expected)

    def test_lines_are_readable(self) -> None:
        """Guards against a line without its relative time, process, message or fields."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "m.log"
            path.write_bytes(b"\n".join(_json(*row) for row in LOST_LEADER))
            lines = explain("a", read_lines([str(path)]))
        text = format_line(lines[3], lines[0].at_ms)
        self.assertEqual(text, "   +1430 ms  m3  seat taken  seat=9 again=False")


def _json(member: str, at: str, message: str, fields: dict) -> bytes:
    line = {"member": member, "time": f"2026-12-04T06:00:{at}", "level": "info"}
    return orjson.dumps({**line, "message": message, **fields})
