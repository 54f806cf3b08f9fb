"""Tests of the replay, with a policy that issues scripted commands."""

import unittest
from dataclasses import replace

from bench.policies import FirstFitPolicy
from bench.replay import Replay
from bench.replay_metrics import ReplayMetrics
from bench.workloads import WORKLOADS, Arrival, Workload
from lagoonshelf_core.commands import Command, DeadlineWarning, GiveUp, Start, Stop, Throttle, Warm
from lagoonshelf_core.document import QueueConfig
from lagoonshelf_core.ids import QueueId, RequestKey, TeamId
from lagoonshelf_core.model import RequestSpec, WorkKind
from lagoonshelf_core.resources import Resources

BASE_WORKLOAD = WORKLOADS["inkbridge"](1)
TEAM, QUEUE = TeamId("t"), QueueId("q")
W0, W1 = (info.worker for info in BASE_WORKLOAD.workers[:2])


class ScriptedPolicy(FirstFitPolicy):
    """First-in-first-out policy that also issues given commands at given times."""

    def __init__(self, script: dict[int, list]) -> None:
        """Set up without workers and tasks.

        :param script: command builders by time in milliseconds; each gets the ids of all tasks
        """
        super().__init__(1, lambda task: 0)
        self.script = script
        self.run_times_ms: list[int] = []

    def run_pass(self, now_ms: int, may_start: object) -> list[Command]:
        """Start the tasks that fit, then issue the scripted commands that are due."""
        commands = super().run_pass(now_ms, may_start)
        for at_ms in [at_ms for at_ms in self.script if at_ms <= now_ms]:
            commands += [build(sorted(self.tasks)) for build in self.script.pop(at_ms)]
        return commands

    def finished(self, _task: object, run_ms: int, _peak: Resources) -> None:
        """Record a run time."""
        self.run_times_ms.append(run_ms)


def arrival(at_ms: int, run_ms: int, repeatable: bool = True, tasks: int = 1) -> Arrival:
    """Return an arrival of a request with one-core tasks; a gang if there are several."""
    kind = WorkKind.GANG if tasks > 1 else WorkKind.BATCH
    size = Resources(1000, 1024, 0, 1)
    key = RequestKey(f"k{at_ms}")
    spec = RequestSpec(TEAM, QUEUE, key, kind, repeatable, size, 1, tasks, "", 0)
    return Arrival(at_ms, spec, (run_ms,) * tasks, size)


def replay(policy: FirstFitPolicy, *arrivals: Arrival, cold_ms: int = 0) -> ReplayMetrics:
    """Replay arrivals on two workers and return the metrics."""
    workload: Workload = replace(
        BASE_WORKLOAD,
        end_ms=60_000,
        shares={TEAM: 1},
        queues={QUEUE: QueueConfig(cold_start_ms=cold_ms)},
        workers=BASE_WORKLOAD.workers[:2],
        arrivals=arrivals,
    )
    return Replay(workload, policy).run()


class CommandsTest(unittest.TestCase):
    """Effects of the commands of a policy."""

    def test_checkpoint_preserves_progress(self) -> None:
        """A stopped task must lose its progress without a checkpoint and keep it with one.

        Otherwise the replay overstates or ignores the cost of preemption.
        """
        for checkpoint, expected in [(True, 4_400), (False, 10_000)]:
            stop = [lambda ids, keep=checkpoint: Stop(ids[0], W0, True, keep)]
            policy = ScriptedPolicy({5_000: stop})
            metrics = replay(policy, arrival(0, 10_000))
            self.assertAlmostEqual(policy.run_times_ms[0], expected, delta=200)
            self.assertEqual(metrics.violations, {})

    def test_throttled_task_runs_longer(self) -> None:
        """A task throttled to half speed must take twice as long for the rest of its run.

        Otherwise the replay ignores the cost of throttling.
        """
        policy = ScriptedPolicy({5_000: [lambda ids: Throttle(ids[0], W0, 50)]})
        replay(policy, arrival(0, 10_000))
        self.assertEqual(policy.run_times_ms, [15_000])

    def test_abandoned_task_and_warning_are_counted(self) -> None:
        """Abandoned feasible tasks and deadline warnings must be reported."""
        script = {
            0: [lambda ids: GiveUp(ids[0], "no"), lambda ids: DeadlineWarning(QUEUE, "late")]
        }
        metrics = replay(ScriptedPolicy(script), arrival(0, 10_000))
        self.assertEqual(metrics.violations, {"feasible work given up": 1})
        self.assertIn("late", metrics.format_table())

    def test_warm_command_avoids_cold_start(self) -> None:
        """A warm command must save the wait for the cold start of a later task."""
        for script, wait in [({}, "30.0"), ({5_000: [lambda ids: Warm(W0, QUEUE, 1)]}, "0.0")]:
            metrics = replay(ScriptedPolicy(script), arrival(50_000, 1_000), cold_ms=30_000)
            self.assertIn(wait, metrics.format_table().splitlines()[1])

    def test_restarted_gang_member_finishes(self) -> None:
        """A gang member that is stopped and requeued must finish like the other members."""
        stop = [lambda ids: Stop(ids[0], W0, True, True)]
        policy = ScriptedPolicy({2_000: stop})
        replay(policy, arrival(0, 10_000, tasks=3))
        self.assertEqual(len(policy.run_times_ms), 3)


class ViolationsTest(unittest.TestCase):
    """Violations by a policy are reported, and workloads are reproducible."""

    def test_policy_violations_are_counted(self) -> None:
        """A second start and a stop of a non-repeatable task must be counted as violations.

        Otherwise a policy could get better metrics by breaking the rules.
        """
        script = {1_000: [lambda ids: Start(ids[0], W1), lambda ids: Stop(ids[0], W0, True)]}
        metrics = replay(ScriptedPolicy(script), arrival(0, 10_000, repeatable=False))
        expected = {"started twice": 1, "non-repeatable work stopped": 1}
        self.assertEqual(metrics.violations, expected)

    def test_workload_depends_on_seed_only(self) -> None:
        """The same seed must give the same arrivals, so that metrics can be reproduced."""
        for make in WORKLOADS.values():
            self.assertEqual(make(7).arrivals, make(7).arrivals)
            self.assertNotEqual(make(7).arrivals, make(8).arrivals)
