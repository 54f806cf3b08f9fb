"""Tests of a leader beside registry entries that another writer has left."""

import asyncio

import orjson

from lagoonshelf_core.jobs.progress import JobState
from lagoonshelf_core.jobs.workers import WorkerInfo
from lagoonshelf_platform.codec import REGISTRY_PREFIX, PlatformCodec
from lagoonshelf_platform.http_client import HttpClient
from lagoonshelf_platform.workers import PlatformWorkers
from lagoonshelf_server.jobs.keys import USED_WORKERS
from lagoonshelf_server.jobs.leader import Leader
from lagoonshelf_server.jobs.ports import Listing
from tests.platform.entries import ENTRY
from tests.support.job_fakes import FakeWorkers, eventually
from tests.support.jobs import POOL, make_job, make_step, worker_info
from tests.support.terms import WORKERS, TermTestCase

DEPTH = 1_000
# Time after which a new leader certainly watches the registry.
WATCH_STARTED_S = 0.1


def encode(**fields: object) -> bytes:
    """Return the entry of a worker; the text ``DEEP`` stands for a deeply nested list."""
    data = orjson.dumps({**ENTRY, "service": POOL, "state": "ready", "born": 1_000, **fields})
    return data.replace(b'"DEEP"', b"[" * DEPTH + b"]" * DEPTH)


ODD_ENTRIES = {
    "deeply nested": b"[" * 100_000,
    "deeply nested label": encode(labels=["a", "DEEP"]),
    "deeply nested labels": encode(labels="DEEP"),
    "deeply nested zone": encode(zone="DEEP"),
    "deeply nested address": encode(addr="DEEP"),
    "deeply nested capacity": encode(capacity={"cpu": "DEEP", "mem_mb": 1}),
    "zone of another type": encode(zone={}),
    "large capacity": encode(capacity={"cpu": 1e300, "mem_mb": 1, "gpu": 1e300}),
    "capacity beyond 64 bits": encode(capacity={"cpu": 1, "mem_mb": 1, "gpu": 2.0**70}),
    "negative capacity": encode(capacity={"cpu": -64_000, "mem_mb": 1, "gpu": 0}),
    "large start time": encode(born=2**64 - 1),
    "start in the far future": encode(born=2**52),
    "large remaining time": encode(state="draining", remaining_ms=1e300),
    "number beyond a double": encode().replace(b"32768", b"1e999"),
    "port out of range": encode(addr="127.0.0.1:65536"),
    "port of many digits": encode(addr="127.0.0.1:" + "9" * 5_000),
    "port 0": encode(addr="127.0.0.1:0"),
    "digit that is no number": encode(addr="127.0.0.1:\N{SUPERSCRIPT TWO}"),
    "address with a line break": encode(addr="127.0.0.1\r\nX: y:80"),
    "address of a long name": encode(addr="x" * 300 + ".example:80"),
    "address with a null byte": encode(addr="127.0.0.1\0:80"),
}
ODD_KEYS = ("", "a\r\nHost: b", "a" * 100_000, "\N{SNOWMAN}")


class _Workers(FakeWorkers):
    """Fake workers; others are called through the client of the platform."""

    def __init__(self, fakes: FakeWorkers) -> None:
        super().__init__(fakes.clock)
        self.workers, self.started = fakes.workers, fakes.started
        self._others = PlatformWorkers(HttpClient())

    async def list_runs(self, worker: WorkerInfo, *args: object) -> Listing:
        if worker.id not in self.workers:
            return await self._others.list_runs(worker, *args)
        return await super().list_runs(worker, *args)


class OddEntryTest(TermTestCase):
    """Terms with one odd entry among those of the workers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.codec = PlatformCodec()
        self.workers = _Workers(self.workers)
        for number in range(WORKERS):
            info = worker_info(number)
            self._register(info.id, encode(addr=info.address))

    def _register(self, name: str, data: bytes) -> None:
        self.store.put(REGISTRY_PREFIX + name, data)

    async def _check_leads(self, leader: Leader) -> None:
        """Check that a leader runs a job with all of its workers."""
        spec = make_job(make_step(2))
        self._store(spec)
        await eventually(lambda: self._starts_of(spec) == 2 or not leader.lease.is_held)
        self.assertTrue(leader.lease.is_held)
        self.workers.end_all()
        await eventually(lambda: leader.state(spec.id) is JobState.COMPLETE)
        usable = [worker.id for worker in leader.cell.workers.values() if worker.is_usable]
        self.assertEqual(len(usable), WORKERS)

    async def test_an_odd_entry_does_not_end_a_term(self) -> None:
        """Guards against leaders that end, one after the other, or stop reading the registry."""
        leader = await self._term("m1")
        await asyncio.sleep(WATCH_STARTED_S)
        odd = [*((name, "odd", data) for name, data in ODD_ENTRIES.items())]
        odd += [(f"key {key[:20]!r}", key, encode()) for key in ODD_KEYS]
        for name, key, data in odd:
            with self.subTest(name):
                if not leader.lease.is_held:
                    leader = await self._term(f"after {name}")
                    await asyncio.sleep(WATCH_STARTED_S)
                self._register(key, data)
                # The watch has applied it, and a session has called its address.
                await asyncio.sleep(0.15)
                self.assertTrue(leader.lease.is_held)
                await self._check_leads(leader)
            self.store._delete(REGISTRY_PREFIX + key)

    async def test_a_takeover_ends_beside_odd_entries(self) -> None:
        """Guards against a cell without a leader while the odd entry lasts."""
        for number, data in enumerate(ODD_ENTRIES.values()):
            self._register(f"odd-{number}", data)
        for key in ODD_KEYS:
            self._register(key, encode())
        await self._check_leads(await self._term("m1"))

    async def test_an_odd_address_that_was_recorded_does_not_end_a_term(self) -> None:
        """Guards against terms that end after the odd entry is gone, by the record of it."""
        row = ["odd", "127.0.0.1:65536", 1_000]
        self.store.put(USED_WORKERS, orjson.dumps([row]))
        leader = await self._term("m1")
        await asyncio.sleep(WATCH_STARTED_S)
        await self._check_leads(leader)

    async def test_an_odd_entry_under_the_id_of_a_worker_is_forgotten(self) -> None:
        """Guards against a worker that is never used again once another writer has replaced it."""
        leader = await self._term("m1")
        await asyncio.sleep(WATCH_STARTED_S)
        info = worker_info(0)
        for name, data in ODD_ENTRIES.items():
            with self.subTest(name):
                self._register(info.id, data)
                await asyncio.sleep(0.05)
                self._register(info.id, encode(addr=info.address))
                await self._check_leads(leader)
