"""Tests of the invariant checker on histories with and without violations."""

import unittest

from lagoonshelf_standins.checker import (
    ClientCall,
    check_answers,
    check_capacity,
    check_leaving_workers,
    check_limits,
    check_no_duplicate_runs,
    check_runs_once,
)

CAPACITY = {"cpu_milli": 2000, "memory_mib": 1024, "accelerators": 0, "slots": 2}


def event(kind: str, at_ms: int, worker: str = "w0", task: str = "t0", **fields: object) -> dict:
    """Return a worker event, by default of a repeatable task of team a."""
    base = {
        "event": kind,
        "at_ms": at_ms,
        "worker": worker,
        "task": task,
        "attempt": 1,
        "team": "a",
        "request_key": "k",
        "index": 0,
        "repeatable": True,
        "cpu_milli": 1000,
        "memory_mib": 512,
        "accelerators": 0,
    }
    return {**base, **fields}


def call(answer: dict | None, sent_ms: int = 0, answered_ms: int = 100) -> ClientCall:
    """Return a client call of the same request."""
    return ClientCall("a", "k", "p", sent_ms, answered_ms, answer)


OK = {"code": 0, "name": "OK", "effect": "ran", "result": "done:p", "tasks": {"total": 1}}
NOT_RUN = {"code": 404, "name": "TIMED_OUT_QUEUED", "effect": "not_run"}


class CheckerTest(unittest.TestCase):
    """Each test guards against a checker that misses or misreports a violated invariant."""

    def invariants(self, violations: list) -> list[str]:
        return [violation.invariant for violation in violations]

    def test_worker_above_capacity_is_found(self) -> None:
        events = [event("start", n, task=f"t{n}") for n in range(3)]
        self.assertIn("I1", self.invariants(check_capacity({"w0": events}, CAPACITY)))

    def test_end_and_start_in_one_millisecond_is_allowed(self) -> None:
        events = [event("start", 0), event("start", 0, task="t1"), event("start", 5, task="t2")]
        events.append(event("end", 5))
        self.assertEqual(check_capacity({"w0": events}, CAPACITY), [])

    def test_concurrent_runs_are_found(self) -> None:
        history = {"w0": [event("start", 0)], "w1": [event("start", 1, worker="w1")]}
        self.assertEqual(self.invariants(check_no_duplicate_runs(history)), ["I2"])

    def test_second_run_of_a_non_repeatable_task_is_found(self) -> None:
        events = [event("start", 0, repeatable=False), event("end", 1, repeatable=False)]
        events.append(event("start", 2, task="t1", repeatable=False))
        self.assertEqual(check_no_duplicate_runs({"w0": events}), [])
        self.assertEqual(self.invariants(check_runs_once({"w0": events})), ["I8"])

    def test_team_above_limit_is_found(self) -> None:
        history = {"w0": [event("start", 0)], "w1": [event("start", 1, "w1", "t1")]}
        self.assertEqual(self.invariants(check_limits(history, {"a": 1})), ["I5"])

    def test_result_of_another_request_is_found(self) -> None:
        wrong = {**OK, "result": "done:other"}
        found = check_answers({"w0": [event("start", 1)]}, [call(wrong)])
        self.assertEqual(self.invariants(found), ["I6"])

    def test_answer_without_a_run_is_found(self) -> None:
        self.assertEqual(self.invariants(check_answers({}, [call(OK)])), ["I6"])

    def test_false_not_run_is_found(self) -> None:
        for start_ms in (50, 500):
            found = check_answers({"w0": [event("start", start_ms)]}, [call(NOT_RUN)])
            self.assertEqual(self.invariants(found), ["I7"])

    def test_run_of_a_later_call_does_not_make_not_run_false(self) -> None:
        calls = [call(NOT_RUN), call(OK, 200, 300)]
        self.assertEqual(check_answers({"w0": [event("start", 250)]}, calls), [])

    def test_start_on_a_leaving_worker_is_found(self) -> None:
        found = check_leaving_workers({"w0": [event("start", 9000)]}, {"w0": 0}, 5000)
        self.assertEqual(self.invariants(found), ["I9"])
