"""Tests of the decoding of the operator's and the executors' store entries."""

import unittest
from random import Random

import orjson

from lagoonshelf_core.resources import Resources
from lagoonshelf_platform.codec import PlatformCodec
from tests.platform.entries import ENTRY

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
    """Decoding of registry entries."""

    def test_an_entry_is_decoded(self) -> None:
        """The position of a label tells the rack from the executor's kind."""
        info = PlatformCodec().decode_worker("servers/i-7", orjson.dumps(ENTRY))
        self.assertEqual(info.id, "i-7")
        self.assertEqual(info.capacity, Resources(16000, 32768, 1))
        self.assertEqual((info.rack, info.labels), ("r1-3", frozenset({"a", "r1-3"})))
        self.assertTrue(info.is_draining)
        self.assertEqual(info.remaining_ms, 1500)

    def test_malformed_entries_yield_no_worker(self) -> None:
        """Missing fields, wrong types, unknown states and invalid JSON yield no worker."""
        codec = PlatformCodec()
        for name in ("service", "addr", "state", "capacity", "labels", "born"):
            entry = {key: value for key, value in ENTRY.items() if key != name}
            self.assertIsNone(codec.decode_worker("servers/i", orjson.dumps(entry)), name)
            for invalid in (None, [], 5.5, "x", {}):
                entry[name] = invalid
                info = codec.decode_worker("servers/i", orjson.dumps(entry))
                if (name, invalid) not in (("service", "x"), ("labels", [])):
                    self.assertIsNone(info, f"{name}={invalid}")
        self.assertIsNone(codec.decode_worker("servers/i", b"\xff\x00"))

    def test_corrupted_entries_never_raise(self) -> None:
        """Truncated and corrupted entries must not raise."""
        data, rng = orjson.dumps(ENTRY), Random(7)
        for _ in range(500):
            broken = bytearray(data[: rng.randrange(len(data))])
            if broken:
                broken[rng.randrange(len(broken))] = rng.randrange(256)
            PlatformCodec().decode_worker("servers/i", bytes(broken))


class ConfigTest(unittest.TestCase):
    """Decoding of configurations."""

    def test_a_configuration_is_decoded(self) -> None:
        """Routes become queues, tenants become teams, and services become pools."""
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
        """An invalid configuration yields ``None``, so that the current one stays in effect."""
        self.assertIsNone(PlatformCodec().decode_config(b"{"))
        self.assertIsNone(PlatformCodec().decode_config(b"[]"))
        self.assertIsNone(PlatformCodec().decode_config(orjson.dumps({"version": 1})))
