"""Tests of maintenance waves on machines as the platform lists them."""

import unittest

from lagoonshelf_core.jobs.waves import MachineId, Wave, WaveSpec
from lagoonshelf_platform.machines import _decode_machine


class ListedMachinesTest(unittest.TestCase):
    """A wave of two machines, one of which may be down at once."""

    def setUp(self) -> None:
        self.wave = Wave(WaveSpec(1, (MachineId("m1"), MachineId("m2")), 20_000, 1), 0, 2_000)

    def _advance(self, first_state: str, now_ms: int) -> list[MachineId]:
        rows = [
            {"machine": "m1", "state": first_state, "id": "w1" if first_state == "up" else ""},
            {"machine": "m2", "state": "up", "id": "w2"},
        ]
        views = {view.id: view for view in map(_decode_machine, rows)}
        return self.wave.advance(views, set(), now_ms)

    def test_an_upkeep_of_the_predecessor_counts(self) -> None:
        """Guards against more machines down than the wave allows after a change of the leader."""
        self.assertEqual(self._advance("upkeep", 0), [])
        self.assertEqual(self._advance("upkeep", 4_000), [])
        self.assertNotEqual(self._advance("up", 6_000), [])

    def test_a_machine_that_is_down_for_another_cause_stops_no_wave(self) -> None:
        """Guards against a wave that waits for a machine that may never come back."""
        self.assertEqual(self._advance("down", 0), ["m2"])
