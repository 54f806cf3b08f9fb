"""Tests of what the platform's settings and entries tell of evacuations and cold workers."""

import unittest

import orjson
from pydantic import ValidationError

from lagoonshelf_platform.codec import PlatformCodec
from lagoonshelf_platform.settings import Bounds
from tests.platform.entries import ENTRY


class EvacuationTest(unittest.TestCase):
    """Keys of evacuations, and the bound that turns them on."""

    def test_a_key_names_the_domain_of_registry_entries(self) -> None:
        """Guards against an evacuation that no worker belongs to."""
        codec = PlatformCodec()
        domain = codec.decode_evacuation("op/evacuate/lima-surco")
        worker = codec.decode_worker("servers/i", orjson.dumps(ENTRY))
        self.assertEqual(domain, worker.domain)

    def test_a_key_without_a_name_is_malformed(self) -> None:
        """Guards against an evacuation of workers whose domain is not known."""
        for name in ("", " ", "a\nb"):
            self.assertIsNone(PlatformCodec().decode_evacuation(f"op/evacuate/{name}"))

    def test_evacuations_are_off_without_the_bound(self) -> None:
        """Guards against store calls on platforms without evacuations, and a bound of nothing."""
        self.assertIsNone(Bounds().evacuate_ms)
        self.assertEqual(Bounds(evacuate_ms=5_000).evacuate_ms, 5_000)
        for invalid in (0, -1, "soon"):
            self.assertRaises(ValidationError, Bounds, evacuate_ms=invalid)


class ColdTest(unittest.TestCase):
    """Fields that tell how cold workers are used."""

    def test_they_are_decoded_and_unreadable_ones_count_as_none(self) -> None:
        """Guards against a worker or a configuration lost for a field of no importance."""
        codec, pool = PlatformCodec(), {"name": "desk"}
        for value, seconds in ((2, 2), (None, 0), (-1, 0), ("x", 0), (True, 0)):
            worker = codec.decode_worker(
                "servers/i", orjson.dumps(ENTRY | {"cold_left_ms": value})
            )
            self.assertEqual(worker.cold_left_ms, seconds)
            raw = {"version": 1, "routes": [], "services": [pool | {"cold_start_s": value}]}
            (decoded,) = codec.decode_config(orjson.dumps(raw)).pools.values()
            self.assertEqual(decoded.cold_start_ms, 1_000 * seconds)
