"""Tests of which requests the HTTP interface answers."""

import unittest
from dataclasses import replace

import orjson

from lagoonshelf_core.ids import FailureDomain, MemberId
from lagoonshelf_core.jobs.memory_admission import MemoryRefusal
from lagoonshelf_core.jobs.overload_admission import ExpectedWait, Refusal
from lagoonshelf_core.jobs.spec import JobSpec
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


class IngressTestCase(unittest.IsolatedAsyncioTestCase):
    """A process with a configuration and a store."""

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


class OldConfigTest(IngressTestCase):
    """A process that has known a configuration for some time."""

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


class RefusedJobTest(IngressTestCase):
    """A process that refuses a job under overload."""

    async def test_a_refusal_says_when_to_return(self) -> None:
        """Guards against a status that says the job may run, and a fixed time to return."""

        async def refuse(spec: JobSpec) -> Refusal:
            return Refusal(7, ExpectedWait(1_000, 10), ExpectedWait(1_000, 10), 3_000, 100)

        self.node.job_api.find_refusal = refuse
        job = {"spec": "x", "phases": [STEP]}
        response = await self._request("POST", f"/batch/{JOB_ID}", body=job)
        self.assertEqual((response.status, response.headers["Retry-After"]), (UNAVAILABLE, "7"))

    async def test_a_refusal_for_memory_says_when_to_return(self) -> None:
        """Guards against a status that says the job may run."""

        async def refuse(spec: JobSpec) -> MemoryRefusal:
            return MemoryRefusal(9, True, 100, 1_000, 1_000, 20)

        self.node.job_api.find_refusal = refuse
        job = {"spec": "x", "phases": [STEP]}
        response = await self._request("POST", f"/batch/{JOB_ID}", body=job)
        self.assertEqual((response.status, response.headers["Retry-After"]), (UNAVAILABLE, "9"))


class MalformedJobTest(IngressTestCase):
    """Jobs that cannot be stored."""

    async def test_each_malformed_job_is_refused_with_the_reason(self) -> None:
        """Guards against an internal error for a job that no retry can make acceptable."""
        nested: list = []
        for _ in range(200):
            nested = [nested]
        jobs = [
            {"spec": "x", "phases": [{**STEP, name: value}]}
            for name in ("count", "cpu", "mem_mb", "gpu", "estimate_ms", "anti_affinity")
            for value in (1e300, 2.0**70, -1, "x", nested)
        ]
        jobs += [
            {"spec": "x", "phases": [STEP], name: value}
            for name in ("repeats", "start_at_ms", "interval_ms")
            for value in (1e300, 2.0**70, -1, "x", nested)
        ]
        jobs += [{"spec": nested, "phases": [STEP]}, {"spec": "x", "phases": nested}, [], None, 5]
        for job in jobs:
            with self.subTest(str(job)[:80]):
                response = await self._request("POST", f"/batch/{JOB_ID}", body=job)
                self.assertEqual(response.status, 400)
                self.assertIn("error", orjson.loads(response.body))
        deep = (
            b'{"spec":"x","phases":[{"count":1,"constraints":' + b"[" * 900 + b"]" * 900 + b"}]}"
        )
        headers = {b"host": b"h", b"authorization": b"Token key"}
        request = HttpRequest("POST", f"/batch/{JOB_ID}", headers, deep)
        self.assertEqual((await self.ingress.handle(request)).status, 400)
        self.assertEqual(self.store.commits, 0)
