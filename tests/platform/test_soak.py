"""Tests of the soak's checks with invalid histories, and a short soak with fixed seeds."""

import asyncio
import unittest

from tests.platform.soak import SoakRun
from tests.platform.soak_checks import (
    QueueAnswer,
    incorrect_responses,
    late_starts,
    needless_crashes,
    outdated_answers,
    overcommitted,
    overlapping_runs,
    repeated_completions,
    reused_attempts,
    starts_after_cancel,
    unfounded_failures,
)
from tests.platform.soak_parts import Evacuation, starts_in_evacuated_domains
from tests.platform.standin.clients import ClientJob
from tests.platform.standin.cluster import ConfigChange
from tests.platform.standin.executors import RunRecord

# Seeds that have failed before; each comment names the cause.
REGRESSIONS = (
    18,  # a process returned outdated job states after a pause
    118,  # a job state was returned before it was stored
    # A process that the store turned away answered by an old configuration; later, a task that had
    # ended was given up after two restarts of its executor.
    1015,
    218,  # a start reached an executor's next incarnation, and its task was started again
    3231,  # a cancellation that was announced before its job was dropped
    3322,  # a job ran whose cancellation had been answered "no such job"
    7100,  # two leaders in a row numbered the starts of a task alike
)
CI_SEEDS = (2, 3)
# With memory for some sixty small jobs at the leader; others wait in the store.
SMALL_MEMORY_MB = 1
SMALL_MEMORY_SEED = 5004


def record(attempt: int, started_s: float, ended_s: float, **fields: object) -> RunRecord:
    """Return a run of the only task of job "j"."""
    values = {"executor": "i-1", "cpu": 4_000, "end": "done", **fields}
    return RunRecord(
        "j.0.0.0",
        attempt,
        values["executor"],
        values["cpu"],
        started_s,
        ended_s,
        values["end"],
        bool(values.get("is_end_lost")),
        values.get("fencing_token", 0),
        values.get("late_s", 0.0),
    )


def job(**fields: object) -> ClientJob:
    """Return an accepted job with one task."""
    client_job = ClientJob(
        "j", "batch", 1, {}, accepted_s=1.0, statuses=[200], states=["complete"]
    )
    for name, value in fields.items():
        setattr(client_job, name, value)
    return client_job


class ChecksTest(unittest.TestCase):
    """Each check must report an invalid history and accept a similar valid one."""

    def test_overlapping_runs(self) -> None:
        """Overlapping runs are reported, also if the first one has not ended."""
        first = record(1, 0.0, 2.0, end="stopped")
        self.assertEqual(overlapping_runs([first, record(2, 2.0, 3.0)], 9.0), [])
        self.assertEqual(len(overlapping_runs([first, record(2, 1.9, 3.0)], 9.0)), 1)
        self.assertEqual(len(overlapping_runs([record(1, 0.0, 0.0), first], 9.0)), 1)

    def test_repeated_completions(self) -> None:
        """A second completion is allowed if the first end was lost with an executor's restart."""
        lost = record(1, 0.0, 1.0, is_end_lost=True)
        self.assertEqual(repeated_completions([lost, record(2, 2.0, 3.0)]), [])
        self.assertEqual(len(repeated_completions([record(1, 0.0, 1.0), record(2, 2.0, 3.0)])), 1)

    def test_reused_attempts(self) -> None:
        """Two leaders must not start a task under one number, however far apart."""
        runs = [record(1, 0.0, 1.0, end="lapsed"), record(2, 2.0, 3.0)]
        self.assertEqual(reused_attempts(runs), [])
        self.assertEqual(len(reused_attempts([*runs, record(1, 9.0, 9.5, executor="i-2")])), 1)

    def test_overcommitted(self) -> None:
        """The limit of one executor and that of the tenant across executors are checked."""
        runs = [record(1, 0.0, 2.0), record(1, 1.0, 3.0), record(1, 1.0, 3.0, executor="i-2")]
        self.assertEqual(overcommitted(runs, 8_000, 12_000, 9.0), [])
        self.assertEqual(len(overcommitted(runs, 7_999, 0, 9.0)), 1)
        self.assertEqual(len(overcommitted(runs, 8_000, 11_999, 9.0)), 1)

    def test_overcommitted_after_a_change_of_capacity(self) -> None:
        """A smaller capacity counts after a while, and only for starts; a greater one at once."""
        runs = [record(1, 0.0, 9.0), record(1, 5.0, 9.0)]
        for changes, expected in (
            ([(1.0, 4_000)], 1),
            ([(4.0, 4_000)], 0),
            ([(1.0, 4_000), (4.5, 8_000)], 0),
            ([(6.0, 0)], 0),
        ):
            found = overcommitted(runs, 8_000, 0, 9.0, {"i-1": changes}, 2.0)
            self.assertEqual(len(found), expected, changes)

    def test_needless_crashes(self) -> None:
        """A task may crash five executors, as it may be started twice more after the third."""
        crashes = [("j.0.0.0", attempt) for attempt in range(1, 7)]
        self.assertEqual(needless_crashes(crashes[:5]), [])
        self.assertEqual(len(needless_crashes(crashes)), 1)

    def test_unfounded_failures(self) -> None:
        """A job fails after three failed runs of a task or after two crashes under one."""
        for ends, expected in (
            (["failed"] * 3, 0),
            (["failed"] * 2 + ["crashed"], 1),
            (["crashed"] * 2, 0),
            (["done"], 1),
        ):
            runs = [record(n, n, n + 0.5, end=end) for n, end in enumerate(ends, 1)]
            found = unfounded_failures([job(states=["failed"])], runs, 3)
            self.assertEqual(len(found), expected, ends)
        self.assertEqual(unfounded_failures([job()], [record(1, 0.0, 1.0)], 3), [])

    def test_incorrect_responses(self) -> None:
        """Each kind of incorrect response is reported once."""
        run = record(1, 0.0, 1.0)
        self.assertEqual(incorrect_responses([job()], [run]), [])
        for client_job, runs in (
            (job(accepted_s=0.0, statuses=[503], states=[]), [run]),
            (job(states=["running"]), [run]),
            (job(states=[]), [run]),
            (job(), []),
            (job(), [record(1, 0.0, 1.0, end="failed")]),
            (job(states=["cancelled"]), [run]),
            (job(states=["running", "queued", "complete"]), [run]),
            (job(states=["complete", "failed"]), [run]),
        ):
            self.assertEqual(len(incorrect_responses([client_job], runs)), 1, client_job)

    def test_outdated_answers(self) -> None:
        """Answers by an old version are reported once the next one has to be in force."""
        changes = [ConfigChange(0.0, ("a",)), ConfigChange(10.0, ("b",))]
        for queue, status, sent_s, expected in (
            ("a", 200, 11.9, 0),
            ("a", 200, 12.1, 1),
            ("a", 404, 12.1, 0),
            ("b", 404, 11.9, 0),
            ("b", 404, 12.1, 1),
            ("b", 200, 9.8, 0),
            ("b", 200, 9.0, 1),
            ("a", 404, 9.0, 1),
            ("b", 503, 12.1, 0),
            ("b", 0, 12.1, 0),
        ):
            answer = QueueAnswer("m0", queue, status, sent_s, sent_s + 0.3)
            self.assertEqual(len(outdated_answers([answer], changes, 2.0)), expected, answer)

    def test_late_starts(self) -> None:
        """A late start after a cancellation is reported if its leader was in touch."""
        for started_s, late_s, status, disturbed_s, expected in (
            (5.2, 0.0, 200, 1.0, 1),
            (5.2, 0.0, 410, 1.0, 1),
            (4.9, 0.0, 200, 1.0, 0),
            (5.2, 0.3, 200, 1.0, 0),
            (5.4, 0.3, 200, 1.0, 1),
            (5.2, 0.0, 200, 4.3, 0),
            (5.2, 0.0, 200, 4.1, 1),
            (5.2, 0.0, 200, 5.5, 1),
            (1.0, 0.0, 200, 0.0, 0),
            (5.2, 0.0, 0, 1.0, 0),
        ):
            run = record(1, started_s, 9.0, fencing_token=7, late_s=late_s)
            client_job = job(cancel_status=status, cancel_acknowledged_s=2.0)
            starts = starts_after_cancel([client_job], [run], {7: [0.0, disturbed_s], 6: [5.0]})
            self.assertEqual(len(late_starts(starts, 3.0, 1.0)), expected, run)

    def test_starts_in_evacuated_domains(self) -> None:
        """A start in an evacuated domain is reported if its leader was in touch."""
        for started_s, removed_s, domain, disturbed_s, expected in (
            (5.2, 0.0, "z1", 1.0, 1),
            (5.2, 5.3, "z1", 1.0, 1),
            (4.9, 0.0, "z1", 1.0, 0),
            (5.2, 5.1, "z1", 1.0, 0),
            (5.2, 0.0, "z2", 1.0, 0),
            (5.2, 0.0, "z1", 4.3, 0),
        ):
            run = record(1, started_s, 9.0, fencing_token=7)
            rows = [Evacuation("z1", 2.0, removed_s)]
            found = starts_in_evacuated_domains(
                [run], {"i-1": domain}, rows, {7: [disturbed_s]}, 1.0
            )
            self.assertEqual(len(found), expected, run)

    def test_starts_by_leaders_out_of_touch(self) -> None:
        """Each start after a cancellation is known, also if none of them is a violation."""
        client_job = job(cancel_status=200, cancel_acknowledged_s=2.0)
        run = record(1, 6.0, 9.0, fencing_token=7)
        (start,) = starts_after_cancel([client_job], [run], {7: [5.5]})
        self.assertEqual((start.after_s, start.calm_s), (4.0, 0.5))
        self.assertEqual(late_starts([start], 3.0, 1.0), [])
        self.assertEqual(len(late_starts([start], 3.0, 0.0)), 1)

    def test_refusal_after_an_uncertain_response(self) -> None:
        """The first submission may have been stored, so a later run is no violation."""
        client_job = job(accepted_s=0.0, statuses=[504, 503], states=[])
        self.assertEqual(incorrect_responses([client_job], [record(1, 0.0, 1.0)]), [])


class ShortSoakTest(unittest.TestCase):
    """A soak with real processes and a few seeds."""

    def test_seeds(self) -> None:
        """Seeds that have failed before, and a few others, cause no violations."""
        for seed in (*REGRESSIONS, *CI_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(asyncio.run(SoakRun(seed).run()), [])

    def test_little_memory(self) -> None:
        """Guards against jobs that are lost or run twice as the leader had no memory for them."""
        soak_run = SoakRun(SMALL_MEMORY_SEED, memory_mb=SMALL_MEMORY_MB)
        self.assertEqual(asyncio.run(soak_run.run()), [])
        self.assertGreater(soak_run.deferred, 0)
