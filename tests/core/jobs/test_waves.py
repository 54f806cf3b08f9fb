"""Tests of maintenance waves."""

import unittest
from random import Random

from lagoonshelf_core.jobs.waves import MachineView, Wave, WaveSpec

MAINTENANCE_MS = 2_000


class WaveTest(unittest.TestCase):
    """Machines with one worker each."""

    def setUp(self) -> None:
        """Create a wave of six machines, two of which may be down at once."""
        names = tuple(f"m{number}" for number in range(6))
        self.wave = Wave(WaveSpec(1, names, 20_000, 2), 0, MAINTENANCE_MS)
        self.views = {name: MachineView(name, True, f"w-{name}") for name in names}

    def test_empty_machines_go_down_up_to_the_limit(self) -> None:
        """The next machine must wait until one of those down is back with a new worker."""
        first = self.wave.advance(self.views, set(), 0)
        self.assertEqual(len(first), 2)
        for name in first:
            self.wave.maintenance_started(name, 0)
        self.assertEqual(self.wave.advance(self.views, set(), 100), [])
        name = first[0]
        self.views[name] = MachineView(name, False, None)
        self.assertEqual(self.wave.advance(self.views, set(), 200), [])
        self.views[name] = MachineView(name, True, "w-new")
        self.assertEqual(len(self.wave.advance(self.views, set(), 2_500)), 1)

    def test_a_busy_machine_gets_time_to_drain(self) -> None:
        """A busy worker delays its machine at most until the drain limit."""
        busy = {f"w-m{number}" for number in range(6)}
        self.assertEqual(self.wave.advance(self.views, busy, 0), [])
        self.assertEqual(self.wave.draining_workers(), {"w-m0", "w-m1"})
        limit_ms = self.wave.drain_limit_ms()
        self.assertEqual(self.wave.advance(self.views, busy, limit_ms - 1), [])
        self.assertEqual(len(self.wave.advance(self.views, busy, limit_ms)), 2)

    def test_a_missing_machine_counts_as_done(self) -> None:
        """A machine that the platform no longer lists must not block the wave."""
        self.assertFalse(self.wave.is_complete)
        self.wave.advance({}, set(), 0)
        self.assertTrue(self.wave.is_complete)

    def test_a_machine_that_was_maintained_in_an_earlier_term_does_not_stop_the_wave(self) -> None:
        """Guards against a wave that waits for ever for a new worker on machines that are done.

        A new leader requests their maintenance again; the platform accepts it and does nothing.
        """
        for name in self.wave.advance(self.views, set(), 0):
            self.wave.maintenance_started(name, 0)
        self.assertEqual(self.wave.advance(self.views, set(), 1_000), [], "the list may be late")
        self.assertEqual(len(self.wave.advance(self.views, set(), 10_000)), 2)

    def test_a_worker_that_joins_while_its_machine_drains_is_drained_too(self) -> None:
        """Guards against work that is started on, and ended with, a machine that drains.

        The worker of the machine may restart under another id meanwhile.
        """
        busy = {"w-m0", "w-m1", "w-new"}
        self.assertEqual(self.wave.advance(self.views, busy, 0), [])
        self.views["m0"] = MachineView("m0", True, "w-new")
        self.assertEqual(self.wave.advance(self.views, busy, 100), [])
        self.assertEqual(self.wave.draining_workers(), {"w-new", "w-m1"})
        busy.remove("w-m0")
        self.assertEqual(self.wave.advance(self.views, busy, 200), [])

    def test_random_waves_end_in_time_within_max_down(self) -> None:
        """Random waves on simulated machines end in time with at most max_down machines down."""
        for seed in range(30):
            self._simulate(Random(seed), seed)

    def _simulate(self, rng: Random, seed: int) -> None:
        names = tuple(f"m{number}" for number in range(rng.randrange(1, 12)))
        max_down = rng.randrange(1, 4)
        rounds = -(-len(names) // max_down)
        spec = WaveSpec(1, names, rounds * 4_500, max_down)
        wave, down, made = Wave(spec, 0, MAINTENANCE_MS), {}, 0
        views = {name: MachineView(name, True, f"w-{name}") for name in names}
        busy = {f"w-{name}" for name in names if rng.random() < 0.7}
        for now_ms in range(0, spec.duration_ms + 1_000, 200):
            for name, until_ms in list(down.items()):
                if now_ms >= until_ms:
                    del down[name]
                    made += 1
                    views[name] = MachineView(name, True, f"new-{made}")
            for name in wave.advance(views, busy, now_ms):
                self.assertNotIn(name, down, f"seed {seed}")
                down[name] = now_ms + MAINTENANCE_MS
                views[name] = MachineView(name, False, None)
                wave.maintenance_started(name, now_ms)
            self.assertLessEqual(len(down), max_down, f"seed {seed}")
        self.assertTrue(wave.is_complete, f"seed {seed}")
