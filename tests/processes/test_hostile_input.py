"""Tests of invalid and hostile input to the HTTP API of a separate process."""

import socket
import threading
import time
from contextlib import suppress

import orjson

from tests.support.base import TASK_SIZE, CellTestCase, interactive_body


class HostileInputTest(CellTestCase):
    """One process that must refuse each bad call with an error code and still serve others."""

    daemons = 1

    def post(self, data: bytes, path: str = "/v1/requests", **headers: str) -> dict:
        """Post raw bytes, by default with the key of team fitting, and return the answer."""
        url = self.cell.daemons["d1"].url + path
        sent = {"Authorization": f"Bearer {self.cell.keys['fitting']}", **headers}
        resp = self.cell.http.request("POST", url, body=data, headers=sent, timeout=10)
        return orjson.loads(resp.data)

    def assert_refused(self, data: bytes, name: str, mention: str) -> None:
        """Check that the request is refused and that the message mentions the invalid member."""
        answer = self.post(data)
        self.assertEqual((answer["name"], answer["effect"]), (name, "not_run"), answer)
        self.assertIn(mention, answer["message"])

    def test_bad_bodies_are_refused_with_the_offending_member(self) -> None:
        """Guards against invalid input that is accepted, misread or refused without a reason."""
        good = interactive_body("k")
        cases = [
            (b"{", "not valid JSON"),
            (b"\xff\xfe", "not valid JSON"),
            (b"[" * 100_000, "not valid JSON"),
            (b'{"queue": "a", "queue": "b"}', "'queue' is named twice"),
            (b"[]", "body"),
            (orjson.dumps({**good, "colour": 1}), "colour"),
            (orjson.dumps({**good, "size": {**TASK_SIZE, "cpu_milli": -1}}), "size.cpu_milli"),
            (
                orjson.dumps({**good, "size": {**TASK_SIZE, "memory_mib": 10**15}}),
                "size.memory_mib",
            ),
            (orjson.dumps({**good, "request_key": "schlüssel"}), "request_key"),
            (orjson.dumps({**good, "request_key": "k\n"}), "request_key"),
            (orjson.dumps({**good, "repeatable": "yes"}), "repeatable"),
            (orjson.dumps({**good, "tasks": 2}), "tasks"),
            (orjson.dumps({**good, "timeout_ms": 0}), "timeout_ms"),
            (orjson.dumps({**good, "kind": "magic"}), "kind"),
        ]
        for data, mention in cases:
            with self.subTest(data=data[:60]):
                self.assert_refused(data, "BAD_REQUEST", mention)

    def test_oversized_body_is_refused(self) -> None:
        """Guards against a client that exhausts the memory of an API process."""
        answer = self.post(b" " * (1024 * 1024 + 1))
        self.assertEqual(answer["name"], "TOO_LARGE")

    def test_missing_invalid_and_other_teams_keys_are_refused(self) -> None:
        """Guards against accepting work without a key that may use its queue."""
        body = orjson.dumps(interactive_body("k", queue="fitting-only"))
        self.assertEqual(self.post(body, Authorization="")["name"], "KEY_MISSING")
        self.assertEqual(self.post(body, Authorization="Bearer x.y")["name"], "KEY_INVALID")
        other_team = f"Bearer {self.cell.keys['slips']}"
        self.assertEqual(self.post(body, Authorization=other_team)["name"], "TEAM_FORBIDDEN")

    def test_bad_item_of_a_batch_does_not_affect_the_others(self) -> None:
        """Guards against failing a whole batch because one request is invalid."""
        items = [interactive_body("a"), {"queue": 7}, interactive_body("b")]
        answers = self.post(orjson.dumps({"requests": items}), "/v1/batch")["answers"]
        self.assertEqual([a["name"] for a in answers], ["OK", "BAD_REQUEST", "OK"])

    def test_slow_senders_do_not_block_other_clients(self) -> None:
        """Guards against HTTP threads that are all blocked by incomplete request bodies."""
        daemon = self.cell.daemons["d1"]
        port = int(daemon.url.rpartition(":")[2])
        head = b"POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{"
        slow = [socket.create_connection((daemon.host, port)) for _ in range(150)]
        try:
            for conn in slow:
                conn.sendall(head)
            time.sleep(0.5)
            answer = self.cell.submit(
                "d1", "fitting", interactive_body("quick", timeout_ms=30_000)
            )
            self.assertEqual(answer["name"], "OK")
        finally:
            for conn in slow:
                conn.close()

    def test_endless_senders_do_not_block_other_clients(self) -> None:
        """Guards against HTTP threads that are held by clients who send a byte now and then."""
        daemon = self.cell.daemons["d1"]
        port = int(daemon.url.rpartition(":")[2])
        slow = [socket.create_connection((daemon.host, port)) for _ in range(150)]
        stop = threading.Event()
        sender = threading.Thread(target=_trickle, args=(slow, stop))
        sender.start()
        try:
            answer = self.cell.submit(
                "d1", "fitting", interactive_body("quick", timeout_ms=60_000)
            )
            self.assertEqual(answer["name"], "OK")
        finally:
            stop.set()
            sender.join()

    def test_endless_headers_are_refused(self) -> None:
        """Guards against headers that are kept up to the memory of the process."""
        daemon = self.cell.daemons["d1"]
        port = int(daemon.url.rpartition(":")[2])
        with socket.create_connection((daemon.host, port)) as conn:
            conn.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n" + b"a: b\r\n" * 10_000)
            self.assertEqual(conn.recv(12), b"HTTP/1.1 413")


def _trickle(conns: list[socket.socket], stop: threading.Event) -> None:
    """Send bytes of requests that never end until told to stop, then close."""
    for conn in conns:
        conn.sendall(b"POST /v1/requests HTTP/1.1\r\nHost: x\r\n")
    while not stop.wait(0.5):
        for conn in conns:
            with suppress(OSError):
                conn.sendall(b"x")
    for conn in conns:
        conn.close()
