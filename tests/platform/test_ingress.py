"""Tests of which requests the HTTP interface answers."""

import unittest
from dataclasses import replace

import orjson

from lagoonshelf_core.ids import FailureDomain, MemberId
from lagoonshelf_platform.http_server import HttpRequest, HttpResponse
from lagoonshelf_platform.ingress import Ingress
from lagoonshelf_server.jobs.heartbeats import NodeSettings
from lagoonshelf_server.jobs.leader import Ports
from lagoonshelf_server.jobs.node import Node
from tests.support.job_fakes import FakeCodec, FakeStore, FakeWorkers, PausableClock
from tests.support.jobs import config

MAX_AGE_MS = 2_000
JOB_ID = "00000000000000aa"
STEP = {"count": 1, "cpu": 1_000, "mem_mb": 100}
UNAVAILABLE = 503


class OldConfigTest(unittest.IsolatedAsyncioTestCase):
    """A process that has known a configuration for some time."""

    async def asyncSetUp(self) -> None:
        self.clock = PausableClock()
        self.store = FakeStore()
        ports = Ports(self.store, FakeWorkers(self.clock), FakeCodec())
        cfg = NodeSettings(MemberId("m1"), FailureDomain("d"), "127.0.0.1", 7000)
        self.node = Node(replace(cfg, config_max_age_ms=MAX_AGE_MS), ports, None, self.clock)
        self.node.config.current = config()
        self.node.config.confirmed_ms = self.clock.now_ms()
        self.ingress = Ingress(self.node, self.clock)

    async def _request(
        self, method: str, path: str, key: str = "key", body: object = None
    ) -> HttpResponse:
        headers = {b"host": b"h", b"authorization": f"Token {key}".encode()}
        data = b"" if body is None else orjson.dumps(body)
        return await self.ingress.handle(HttpRequest(method, path, headers, data))

    async def _statuses(self) -> list[int]:
        job = {"spec": "x", "phases": [STEP]}
        responses = [
            await self._request("POST", f"/batch/{JOB_ID}", body=job),
            await self._request("GET", f"/batch/{JOB_ID}"),
            await self._request("GET", f"/batch/{JOB_ID}", key="unknown"),
            await self._request("GET", "/unknown/"),
            await self._request("DELETE", f"/batch/{JOB_ID}"),
        ]
        return [response.status for response in responses]

    async def test_no_request_is_answered_by_a_configuration_that_may_be_replaced(self) -> None:
        """Guards against answers by an old configuration beyond the time for a change.

        An added queue got 404, and states were shown for a withdrawn key (incident CONFIG).
        """
        self.assertEqual(await self._statuses(), [200, 200, 401, 404, 200])
        self.clock.skipped_ms = MAX_AGE_MS
        self.assertEqual(await self._statuses(), [UNAVAILABLE] * 5)

    async def test_a_refusal_for_an_old_configuration_says_when_to_return(self) -> None:
        """Guards against clients that try again at once, or not at all."""
        self.clock.skipped_ms = MAX_AGE_MS
        response = await self._request("GET", f"/batch/{JOB_ID}")
        self.assertEqual(response.headers["Retry-After"], "1")
