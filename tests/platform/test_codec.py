"""Tests of the decoding of what the operator and the executors write."""

import unittest
from random import Random

import orjson

from lagoonshelf_core.resources import Resources
from lagoonshelf_platform.codec import PlatformCodec

ENTRY = {
    "service": "desk",
    "addr": "10.128.0.9:8080",
    "zone": "lima-surco",
    "version": "v1",
    "slots": 8,
    "state": "draining",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "remaining_ms": 1500,
    "clock_ms": 1,
    "seq": 4,
    "born": 1_700_000_000_000,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "h.example",
            "prefix": "/a/",
            "service": "desk",
            "priority": 1,
            "attempts": 3,
            "slack_factor": 2.2,
            "target_latency_ms": 1000,
            "hint": {"decision_ms": 50, "period_ms": 0.5, "validity_ms": 2000},
        },
        {"name": "r-2", "host": "h.example", "prefix": "/b/", "service": "desk", "public": True},
    ],
    "services": [{"name": "desk", "admission_check": True}],
    "tenants": [{"name": "t", "keys": ["k1", "k2"], "weight": 14, "cap": {"cpu": 5, "gpu": 0}}],
    "limits": {"max_header_bytes": 100, "max_body_bytes": 200},
}


class WorkerEntryTest(unittest.TestCase):
    """Registry entries."""

    def test_an_entry_is_decoded(self) -> None:
        """Kind and rack are told apart by their place."""
        info = PlatformCodec().decode_worker("servers/i-7", orjson.dumps(ENTRY))
        self.assertEqual(info.id, "i-7")
        self.assertEqual(info.capacity, Resources(16000, 32768, 1))
        self.assertEqual((info.rack, info.labels), ("r1-3", frozenset({"a", "r1-3"})))
        self.assertTrue(info.is_draining)
        self.assertEqual(info.remaining_ms, 1500)

    def test_malformed_entries_yield_no_worker(self) -> None:
        """Fields missing or of another type, unknown states, bytes that cannot be read."""
        views = PlatformCodec()
        for name in ("service", "addr", "state", "capacity", "labels", "born"):
            entry = {key: value for key, value in ENTRY.items() if key != name}
            self.assertIsNone(views.decode_worker("servers/i", orjson.dumps(entry)), name)
            for wrong in (None, [], 5.5, "x", {}):
                entry[name] = wrong
                info = views.decode_worker("servers/i", orjson.dumps(entry))
                if (name, wrong) not in (("service", "x"), ("labels", [])):
                    self.assertIsNone(info, f"{name}={wrong}")
        self.assertIsNone(views.decode_worker("servers/i", b"\xff\x00"))

    def test_corrupted_entries_never_raise(self) -> None:
        """Whatever the bytes are."""
        data, rng = orjson.dumps(ENTRY), Random(7)
        for _ in range(500):
            broken = bytearray(data[: rng.randrange(len(data))])
            if broken:
                broken[rng.randrange(len(broken))] = rng.randrange(256)
            PlatformCodec().decode_worker("servers/i", bytes(broken))


class ConfigTest(unittest.TestCase):
    """Configurations."""

    def test_a_configuration_is_decoded(self) -> None:
        """Routes are queues, tenants teams, services pools."""
        cfg = PlatformCodec().decode_config(orjson.dumps(CONFIG))
        queue = cfg.queues["r-1"]
        self.assertEqual((queue.priority, queue.max_failures, queue.stretch), (1, 3, 2.2))
        self.assertEqual(queue.advice.valid_ms, 2000)
        self.assertIsNone(cfg.queues["r-2"].advice)
        self.assertTrue(cfg.queues["r-2"].is_public)
        self.assertEqual(cfg.team_of_key, {"k1": "t", "k2": "t"})
        self.assertEqual(cfg.teams["t"].limit, Resources(5, 0, 0))
        self.assertTrue(cfg.pools["desk"].checks_capacity)
        self.assertEqual(cfg.http.header_bytes, 100)

    def test_a_malformed_configuration_is_none(self) -> None:
        """The one in force stays."""
        self.assertIsNone(PlatformCodec().decode_config(b"{"))
        self.assertIsNone(PlatformCodec().decode_config(b"[]"))
        self.assertIsNone(PlatformCodec().decode_config(orjson.dumps({"version": 1})))
