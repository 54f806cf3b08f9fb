"""Tests of failing owners, workers and stores while clients wait, on separate processes."""

from lagoonshelf_standins.cell import wait_until
from tests.support.base import CellTestCase, interactive_body
from tests.support.failures import (
    BackgroundCall,
    events_of,
    key_owned_by,
    max_concurrent_runs,
    other_daemon,
    owner_of,
    pause_daemon,
    starts_of,
)

LONG_REQUEST = {"run_ms": 6000, "timeout_ms": 40_000}


class OwnerFailureTest(CellTestCase):
    """A few requests whose owner, worker or store fails."""

    workers = 8

    def start_call(self, key: str, api_daemon: str, **fields: object) -> BackgroundCall:
        """Submit a request in the background and wait until a worker has started it."""
        body = interactive_body(key, **{**LONG_REQUEST, **fields})
        call = BackgroundCall(lambda: self.cell.submit(api_daemon, "fitting", body))
        wait_until(lambda: starts_of(self.cell, key), f"{key} started")
        return call

    def test_owner_dies_while_requests_run(self) -> None:
        """Guards against losing requests or running them twice when their owner is killed."""
        owner = owner_of(self.cell, "fitting", "seed")
        non_repeatable_key, repeatable_key = (
            key_owned_by(self.cell, "fitting", owner, p) for p in ("once", "again")
        )
        api_daemon = other_daemon(self.cell, owner)
        calls = [
            self.start_call(non_repeatable_key, api_daemon, repeatable=False),
            self.start_call(repeatable_key, api_daemon),
        ]
        self.cell.kill(owner)
        for key, call in zip((non_repeatable_key, repeatable_key), calls, strict=True):
            answer = call.join()
            self.assertEqual(answer["name"], "OK", answer)
            self.assertEqual(answer["result"], f"done:payload of {key}")
            self.assertEqual(len(starts_of(self.cell, key)), 1)

    def test_owner_pauses_past_its_lease(self) -> None:
        """Guards against two active owners, and against a client that waits for the paused one."""
        owner = owner_of(self.cell, "fitting", "seed")
        key = key_owned_by(self.cell, "fitting", owner, "once")
        call = self.start_call(key, other_daemon(self.cell, owner), repeatable=False)
        resume = pause_daemon(self.cell, owner)
        paused = self.cell.daemons.pop(owner)
        successor = owner_of(self.cell, "fitting", key)
        resume()
        self.cell.daemons[owner] = paused
        answer = call.join()
        self.assertEqual(answer["name"], "OK", answer)
        retried = self.cell.submit(
            owner, "fitting", interactive_body(key, **LONG_REQUEST, repeatable=False)
        )
        self.assertEqual(retried["result"], answer["result"])
        self.assertEqual(len(starts_of(self.cell, key)), 1)
        self.assertNotEqual(successor, owner)

    def test_start_answers_are_lost(self) -> None:
        """Guards against a second start, or a wrong refusal, after a lost start answer."""
        self.cell.control_workers(set={"lose_start_answers": True})
        for key, repeatable in (("once", False), ("again", True)):
            body = interactive_body(key, repeatable=repeatable, timeout_ms=30_000)
            answer = self.cell.submit("d1", "fitting", body)
            self.assertEqual(answer["name"], "OK", answer)
            self.assertEqual(len(starts_of(self.cell, key)), 1)

    def test_worker_restarts(self) -> None:
        """Guards against rerunning a non-repeatable task, and against losing a repeatable one."""
        non_repeatable_call = self.start_call("once", "d1", repeatable=False)
        repeatable_call = self.start_call("again", "d2", run_ms=1500)
        self.cell.control_workers(reboot=True)
        self.assertEqual(non_repeatable_call.join()["name"], "OUTCOME_UNKNOWN")
        self.assertEqual(repeatable_call.join()["name"], "OK")
        self.assertEqual(len(starts_of(self.cell, "once")), 1)
        self.assertEqual(len(starts_of(self.cell, "again")), 2)

    def test_worker_hangs_until_its_leases_expire(self) -> None:
        """Guards against concurrent runs, and against clients that wait for a hung worker."""
        non_repeatable_call = self.start_call("once", "d1", repeatable=False, run_ms=60_000)
        repeatable_call = self.start_call("again", "d2", run_ms=60_000)
        hung_workers = {starts_of(self.cell, key)[0]["worker"] for key in ("once", "again")}
        self.cell.control_workers(workers=sorted(hung_workers), set={"mode": "hang"})
        wait_until(lambda: len(starts_of(self.cell, "again")) == 2, "second run")
        self.cell.control_workers(workers=sorted(hung_workers), set={"mode": "up"})
        self.assertEqual(non_repeatable_call.join()["name"], "OUTCOME_UNKNOWN")
        self.assertEqual(len(starts_of(self.cell, "once")), 1)
        self.assertEqual(max_concurrent_runs(self.cell, "again"), 1)
        self.cell.call(
            f"{self.cell.daemons['d2'].url}/v1/requests/again", team="fitting", method="DELETE"
        )
        self.assertEqual(repeatable_call.join()["name"], "CANCELLED_RUNNING")

    def test_store_loses_answers(self) -> None:
        """Guards against refusing requests or running them twice when store answers are lost."""
        self.cell.control_store(mode="lose_answers")
        for key in ("a", "b", "c"):
            body = interactive_body(key, repeatable=False, timeout_ms=30_000)
            answer = self.cell.submit("d1", "fitting", body)
            self.assertEqual(answer["name"], "OK", answer)
            self.assertEqual(len(starts_of(self.cell, key)), 1)
        self.cell.control_store(mode="up")

    def test_work_refused_in_an_outage_does_not_run(self) -> None:
        """Guards against running a request after its client was told that it did not run."""
        self.cell.control_store(mode="down")
        answers = {}
        for number in range(6):
            body = interactive_body(f"o{number}", repeatable=False, timeout_ms=1500)
            answers[f"o{number}"] = self.cell.submit("d1", "fitting", body)
        self.cell.control_store(mode="up")
        self.cell.wait_for_owners()
        for key, answer in answers.items():
            if answer["effect"] == "not_run":
                self.assertEqual(events_of(self.cell, key), [], answer)

    def test_takeover_with_an_unreachable_worker(self) -> None:
        """Guards against a partition without an owner because a worker does not respond."""
        owner = owner_of(self.cell, "fitting", "seed")
        key = key_owned_by(self.cell, "fitting", owner)
        self.cell.control_workers(workers=["w000", "w001"], set={"mode": "down"})
        self.cell.kill(owner)
        self.cell.wait_for_owners()
        name = next(iter(self.cell.daemons))
        answer = self.cell.submit(name, "fitting", interactive_body(key, repeatable=False))
        self.assertEqual(answer["name"], "OK", answer)
