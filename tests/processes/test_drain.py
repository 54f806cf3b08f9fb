"""Tests of graceful shutdown on separate processes."""

import subprocess

from lagoonshelf_standins.cell import wait_until
from tests.support.base import CellTestCase, interactive_body
from tests.support.failures import BackgroundCall, key_owned_by, other_daemon, owner_of, starts_of


class DrainTest(CellTestCase):
    """Daemons that own partitions and have waiting clients are shut down."""

    workers = 8

    def drain(self, name: str) -> None:
        answer = self.cell.call(
            f"{self.cell.daemons[name].url}/v1/drain", {}, operator=True, method="POST"
        )
        self.assertIsNotNone(answer)

    def has_ended(self, name: str) -> bool:
        return self.cell.daemons[name].process.poll() is not None

    def start_call(self, api_daemon: str, key: str, **fields: object) -> BackgroundCall:
        body = interactive_body(key, **{"run_ms": 2500, "timeout_ms": 30_000, **fields})
        return BackgroundCall(lambda: self.cell.submit(api_daemon, "fitting", body))

    def test_waiting_clients_get_their_answers(self) -> None:
        """Guards against dropping, refusing or rerunning requests when a daemon is shut down."""
        owner = owner_of(self.cell, "fitting", "seed")
        other = other_daemon(self.cell, owner)
        calls: dict[str, BackgroundCall] = {}
        for number in range(6):
            repeatable = bool(number % 2)
            owned_key = key_owned_by(self.cell, "fitting", owner, f"mine{number}-")
            calls[owned_key] = self.start_call(other, owned_key, repeatable=repeatable)
            calls[f"held{number}"] = self.start_call(owner, f"held{number}", repeatable=repeatable)
        wait_until(lambda: all(starts_of(self.cell, key) for key in calls), "all started")
        self.drain(owner)
        wait_until(
            lambda: self.cell._http_status(f"{self.cell.daemons[owner].url}/healthz") != 200, ""
        )
        for key, call in calls.items():
            answer = call.join()
            self.assertIsNotNone(answer, key)
            self.assertEqual(answer["name"], "OK", answer)
            self.assertEqual(answer["result"], f"done:payload of {key}")
            self.assertEqual(len(starts_of(self.cell, key)), 1, key)
        wait_until(lambda: self.has_ended(owner), "process ended")
        self.assertEqual(self.cell.daemons.pop(owner).process.returncode, 0)
        self.cell.wait_for_owners()

    def test_drain_in_an_outage_waits_for_the_store(self) -> None:
        """Guards against releasing partitions in an outage, when no member can take them over."""
        owner = owner_of(self.cell, "fitting", "seed")
        key = key_owned_by(self.cell, "fitting", owner)
        self.cell.control_store(mode="down")
        self.drain(owner)
        with self.assertRaises(subprocess.TimeoutExpired):
            self.cell.daemons[owner].process.wait(timeout=1.5)
        self.assertTrue(self.cell.state(owner)["partitions"])
        self.cell.control_store(mode="up")
        wait_until(lambda: self.has_ended(owner), "process ended")
        del self.cell.daemons[owner]
        self.cell.wait_for_owners()
        answer = self.cell.submit(next(iter(self.cell.daemons)), "fitting", interactive_body(key))
        self.assertEqual(answer["name"], "OK", answer)

    def test_drain_ends_after_its_timeout(self) -> None:
        """Guards against a shutdown that waits for a client without a time limit."""
        self.cell.start_daemon("late", 9, drain_timeout_ms=500)
        self.cell.wait_healthy("late")
        call = self.start_call("late", "slow", run_ms=60_000, timeout_ms=60_000)
        wait_until(lambda: starts_of(self.cell, "slow"), "started")
        self.drain("late")
        wait_until(lambda: self.has_ended("late"), "process ended")
        del self.cell.daemons["late"]
        del call

    def test_all_daemons_drain_at_once(self) -> None:
        """Guards against dropping requests when no daemon is left to take the partitions over."""
        calls = {f"k{n}": self.start_call(f"d{1 + n % 3}", f"k{n}") for n in range(6)}
        wait_until(lambda: all(starts_of(self.cell, key) for key in calls), "all started")
        for name in self.cell.daemons:
            self.drain(name)
        for key, call in calls.items():
            answer = call.join()
            self.assertIsNotNone(answer, key)
            self.assertEqual(answer["name"], "OK", answer)
        for name in self.cell.daemons:
            wait_until(lambda name=name: self.has_ended(name), f"{name} ended")
