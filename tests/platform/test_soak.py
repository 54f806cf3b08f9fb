"""Tests of the soak's checks on histories that must fail, and a short seeded soak."""

import asyncio
import unittest

from tests.platform.soak import SoakRun
from tests.platform.soak_checks import (
    incorrect_responses,
    overcommitted,
    overlapping_runs,
    repeated_completions,
)
from tests.platform.standin.clients import ClientJob
from tests.platform.standin.executors import RunRecord

# Seeds that once failed; the comment names the cause.
REGRESSIONS = (
    18,  # a process that had been paused answered with states of before
    118,  # a state was shown that the store did not know yet
    218,  # a start reached the next incarnation of an executor, and its task was started again
)
CI_SEEDS = (2, 3)


def record(attempt: int, began_s: float, ended_s: float, **fields: object) -> RunRecord:
    """Return a run of the only task of the only job."""
    values = {"executor": "i-1", "cpu": 4_000, "how": "done", **fields}
    return RunRecord(
        "j.0.0.0",
        attempt,
        values["executor"],
        values["cpu"],
        began_s,
        ended_s,
        values["how"],
        bool(values.get("is_forgotten")),
    )


def job(**fields: object) -> ClientJob:
    """Return a job of one task that was accepted."""
    view = ClientJob("j", "batch", 1, {}, accepted_s=1.0, statuses=[200], states=["complete"])
    for name, value in fields.items():
        setattr(view, name, value)
    return view


class ChecksTest(unittest.TestCase):
    """Each promise has a history that breaks it, and one beside it that does not."""

    def test_overlapping_runs(self) -> None:
        """Also while the first one has not ended."""
        first = record(1, 0.0, 2.0, end="stopped")
        self.assertEqual(overlapping_runs([first, record(2, 2.0, 3.0)], 9.0), [])
        self.assertEqual(len(overlapping_runs([first, record(2, 1.9, 3.0)], 9.0)), 1)
        self.assertEqual(len(overlapping_runs([record(1, 0.0, 0.0), first], 9.0)), 1)

    def test_repeated_completions(self) -> None:
        """An executor that starts again forgets ends that nobody has acknowledged."""
        lost = record(1, 0.0, 1.0, is_end_lost=True)
        self.assertEqual(repeated_completions([lost, record(2, 2.0, 3.0)]), [])
        self.assertEqual(len(repeated_completions([record(1, 0.0, 1.0), record(2, 2.0, 3.0)])), 1)

    def test_overcommitted(self) -> None:
        """On one executor, or of the tenant over several."""
        runs = [record(1, 0.0, 2.0), record(1, 1.0, 3.0), record(1, 1.0, 3.0, executor="i-2")]
        self.assertEqual(overcommitted(runs, 8_000, 12_000, 9.0), [])
        self.assertEqual(len(overcommitted(runs, 7_999, 0, 9.0)), 1)
        self.assertEqual(len(overcommitted(runs, 8_000, 11_999, 9.0)), 1)

    def test_incorrect_responses(self) -> None:
        """Each kind of false answer."""
        run = record(1, 0.0, 1.0)
        self.assertEqual(incorrect_responses([job()], [run]), [])
        for view, runs in (
            (job(accepted_s=0.0, statuses=[503], states=[]), [run]),
            (job(states=["running"]), [run]),
            (job(states=[]), [run]),
            (job(), []),
            (job(), [record(1, 0.0, 1.0, end="failed")]),
            (job(states=["cancelled"]), [run]),
            (job(states=["running", "queued", "complete"]), [run]),
            (job(states=["complete", "failed"]), [run]),
        ):
            self.assertEqual(len(incorrect_responses([view], runs)), 1, view)

    def test_refusal_after_an_uncertain_response(self) -> None:
        """The first try may have been stored."""
        view = job(accepted_s=0.0, statuses=[504, 503], states=[])
        self.assertEqual(incorrect_responses([view], [record(1, 0.0, 1.0)]), [])


class ShortSoakTest(unittest.TestCase):
    """A few seeds of the real programs."""

    def test_seeds(self) -> None:
        """The seeds that once failed, and some more."""
        for seed in (*REGRESSIONS, *CI_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(asyncio.run(SoakRun(seed).run()), [])
