"""Owners, workers and the store fail while callers wait, on real processes."""

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
    """One request whose owner or worker fails."""

    workers = 8

    def start_call(self, key: str, entry: str, **fields: object) -> BackgroundCall:
        """Submit a request and wait until a worker has started it."""
        body = interactive_body(key, **{**LONG_REQUEST, **fields})
        call = BackgroundCall(lambda: self.cell.submit(entry, "fitting", body))
        wait_until(lambda: starts_of(self.cell, key), f"{key} started")
        return call

    def test_owner_dies_while_requests_run(self) -> None:
        """Guards against requests lost or run twice when their owner is killed."""
        owner = owner_of(self.cell, "fitting", "seed")
        once, again = (key_owned_by(self.cell, "fitting", owner, p) for p in ("once", "again"))
        entry = other_daemon(self.cell, owner)
        calls = [self.start_call(once, entry, repeatable=False), self.start_call(again, entry)]
        self.cell.kill(owner)
        for key, call in zip((once, again), calls, strict=True):
            answer = call.join()
            self.assertEqual(answer["name"], "OK", answer)
            self.assertEqual(answer["result"], f"done:payload of {key}")
            self.assertEqual(len(starts_of(self.cell, key)), 1)

    def test_owner_pauses_past_its_lease(self) -> None:
        """Guards against two owners, and against a caller held by a paused one."""
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
        again = self.cell.submit(
            owner, "fitting", interactive_body(key, **LONG_REQUEST, repeatable=False)
        )
        self.assertEqual(again["result"], answer["result"])
        self.assertEqual(len(starts_of(self.cell, key)), 1)
        self.assertNotEqual(successor, owner)

    def test_start_answers_are_lost(self) -> None:
        """Guards against a second start after a lost answer, and against a wrong refusal."""
        self.cell.control_workers(set={"lose_start_answers": True})
        for key, repeatable in (("once", False), ("again", True)):
            body = interactive_body(key, repeatable=repeatable, timeout_ms=30_000)
            answer = self.cell.submit("d1", "fitting", body)
            self.assertEqual(answer["name"], "OK", answer)
            self.assertEqual(len(starts_of(self.cell, key)), 1)

    def test_worker_restarts(self) -> None:
        """Guards against a second run of a hold, and against repeatable work that is lost."""
        once = self.start_call("once", "d1", repeatable=False)
        again = self.start_call("again", "d2", run_ms=1500)
        self.cell.control_workers(reboot=True)
        self.assertEqual(once.join()["name"], "OUTCOME_UNKNOWN")
        self.assertEqual(again.join()["name"], "OK")
        self.assertEqual(len(starts_of(self.cell, "once")), 1)
        self.assertEqual(len(starts_of(self.cell, "again")), 2)

    def test_worker_hangs_until_its_leases_expire(self) -> None:
        """Guards against two runs at once, and against callers held by a silent worker."""
        once = self.start_call("once", "d1", repeatable=False, run_ms=60_000)
        again = self.start_call("again", "d2", run_ms=60_000)
        silent = {starts_of(self.cell, key)[0]["worker"] for key in ("once", "again")}
        self.cell.control_workers(workers=sorted(silent), set={"mode": "hang"})
        wait_until(lambda: len(starts_of(self.cell, "again")) == 2, "second run")
        self.cell.control_workers(workers=sorted(silent), set={"mode": "up"})
        self.assertEqual(once.join()["name"], "OUTCOME_UNKNOWN")
        self.assertEqual(len(starts_of(self.cell, "once")), 1)
        self.assertEqual(max_concurrent_runs(self.cell, "again"), 1)
        self.cell.call(
            f"{self.cell.daemons['d2'].url}/v1/requests/again", team="fitting", method="DELETE"
        )
        self.assertEqual(again.join()["name"], "CANCELLED_RUNNING")

    def test_store_loses_answers(self) -> None:
        """Guards against work refused or doubled because an answer of the store was lost."""
        self.cell.control_store(mode="lose_answers")
        for key in ("a", "b", "c"):
            body = interactive_body(key, repeatable=False, timeout_ms=30_000)
            answer = self.cell.submit("d1", "fitting", body)
            self.assertEqual(answer["name"], "OK", answer)
            self.assertEqual(len(starts_of(self.cell, key)), 1)
        self.cell.control_store(mode="up")

    def test_work_refused_in_an_outage_does_not_run(self) -> None:
        """Guards against work that runs although its caller was told that it did not."""
        self.cell.control_store(mode="down")
        answers = {}
        for number in range(6):
            body = interactive_body(f"o{number}", repeatable=False, timeout_ms=1500)
            answers[f"o{number}"] = self.cell.submit("d1", "fitting", body)
        self.cell.control_store(mode="up")
        self.cell.wait_owned()
        for key, answer in answers.items():
            if answer["effect"] == "not_run":
                self.assertEqual(events_of(self.cell, key), [], answer)

    def test_takeover_with_an_unreachable_worker(self) -> None:
        """Guards against a partition without an owner because one worker is silent."""
        owner = owner_of(self.cell, "fitting", "seed")
        key = key_owned_by(self.cell, "fitting", owner)
        self.cell.control_workers(workers=["w000", "w001"], set={"mode": "down"})
        self.cell.kill(owner)
        self.cell.wait_owned()
        name = next(iter(self.cell.daemons))
        answer = self.cell.submit(name, "fitting", interactive_body(key, repeatable=False))
        self.assertEqual(answer["name"], "OK", answer)
