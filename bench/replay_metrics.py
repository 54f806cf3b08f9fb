"""Metrics of a replay: wait times, utilization, deviation from shares and policy violations."""

import math
from collections import Counter, defaultdict

from bench.simulated_task import SimulatedTask
from bench.workloads import Workload
from lagoonshelf_core.ids import TeamId
from lagoonshelf_core.model import WorkClass
from lagoonshelf_core.resources import Resources

# Length of the sliding window for shares, as on the design page.
SHARE_WINDOW_MS = 300_000
MAX_SHOWN_WARNINGS = 3


def percentile(ordered: list[int], percent: int) -> int:
    """Return the nearest-rank percentile of a sorted, non-empty list."""
    return ordered[max(0, math.ceil(len(ordered) * percent / 100) - 1)]


class ReplayMetrics:
    """Counters and samples of one replay; ``Replay`` records each event."""

    def __init__(self, workload: Workload) -> None:
        """Set up without tasks."""
        self.warnings: list[str] = []
        self.violations: Counter[str] = Counter()
        self._workload = workload
        self._capacity = Resources()
        for info in workload.workers:
            self._capacity += info.capacity
        self._waits_ms: dict[WorkClass, list[int]] = defaultdict(list)
        self._waiting: Counter[TeamId] = Counter()
        self._usage = dict.fromkeys(workload.shares, Resources())
        self._windowed_shares = dict.fromkeys(workload.shares, 0.0)
        self._counts: Counter[str] = Counter()
        self._used_cpu = 0
        self._offered_cpu = 0
        self._backlogged_ms = 0
        self._sampled_ms = 0
        self._deviation_sum = 0.0
        self._deviation_max = 0.0

    def record_interval(self, delta_ms: int) -> None:
        """Add an interval in which no task arrived, started or ended."""
        if any(self._waiting.values()):
            used = sum(usage.cpu_milli for usage in self._usage.values())
            self._used_cpu += used * delta_ms
            self._offered_cpu += self._capacity.cpu_milli * delta_ms
        decay = math.exp(-delta_ms / SHARE_WINDOW_MS)
        for team, usage in self._usage.items():
            share = usage.dominant_share(self._capacity)
            self._windowed_shares[team] = self._windowed_shares[team] * decay + share * (1 - decay)
        if not all(self._waiting[team] for team in self._workload.shares):
            self._backlogged_ms = 0
            return
        self._backlogged_ms += delta_ms
        # Sample only when no idle share was lent during the whole window.
        if self._backlogged_ms > SHARE_WINDOW_MS:
            self._sample_shares(delta_ms)

    def record_arrival(self, sim: SimulatedTask) -> None:
        """Count a new task; infeasible tasks have a separate count."""
        if sim.arrival.feasible:
            self._waiting[sim.task.team] += 1
            self._counts["tasks"] += 1
        else:
            self._counts["infeasible"] += 1

    def record_start(self, sim: SimulatedTask, delay_ms: int) -> None:
        """Count a start; the wait time is recorded for the first start of a task only.

        :param delay_ms: time until the target is warm
        """
        self._usage[sim.task.team] += sim.task.size
        self._waiting[sim.task.team] -= sim.arrival.feasible
        self._counts["starts"] += 1
        self._counts["cold"] += delay_ms > 0
        if not sim.arrival.feasible:
            self.violations["infeasible work started"] += 1
        elif sim.starts == 1:
            work_class = WorkClass[self._workload.queues[sim.task.queue].work_class.upper()]
            self._waits_ms[work_class].append(sim.progress_from_ms - sim.task.queued_ms)

    def record_run_end(self, sim: SimulatedTask) -> None:
        """Count a task as waiting after its run; ``record_removal`` follows unless requeued."""
        self._usage[sim.task.team] -= sim.task.size
        self._waiting[sim.task.team] += sim.arrival.feasible

    def record_removal(self, sim: SimulatedTask) -> None:
        """Remove a task that neither waits nor runs from the waiting tasks."""
        self._waiting[sim.task.team] -= sim.arrival.feasible

    def record_finish(self, sim: SimulatedTask, wall_ms: int) -> None:
        """Count a finished task, and whether it met its deadline."""
        self._counts["finished"] += 1
        deadline_wall_ms = sim.task.deadline_wall_ms
        if deadline_wall_ms:
            self._counts["due"] += 1
            self._counts["late"] += wall_ms > deadline_wall_ms

    def record_stop(self, sim: SimulatedTask, checkpoint: bool) -> None:
        """Count a stop command of the policy."""
        self._counts["stops with checkpoint" if checkpoint else "stops without checkpoint"] += 1
        if not sim.task.repeatable:
            self.violations["non-repeatable work stopped"] += 1

    def record_give_up(self, sim: SimulatedTask) -> None:
        """Count a task that the policy abandoned."""
        self._counts["given up"] += 1
        if sim.arrival.feasible:
            self.violations["feasible work given up"] += 1

    def format_table(self) -> str:
        """Return the metrics as printable text."""
        lines = [f"{'class':<12}{'tasks':>8}{'p50 s':>10}{'p99 s':>10}{'max s':>10}"]
        for work_class in WorkClass:
            waits_ms = sorted(self._waits_ms[work_class])
            if waits_ms:
                values_ms = (percentile(waits_ms, 50), percentile(waits_ms, 99), waits_ms[-1])
                row = "".join(f"{value_ms / 1000:>10.1f}" for value_ms in values_ms)
                lines.append(f"{work_class.name.lower():<12}{len(waits_ms):>8}{row}")
        lines.append(
            f"utilization while tasks wait: {self._ratio(self._used_cpu, self._offered_cpu)}"
        )
        mean = self._ratio(self._deviation_sum, self._sampled_ms)
        minutes = self._sampled_ms / 60_000
        lines.append(
            f"deviation from share: max {self._deviation_max:.3f}, mean {mean},"
            f" over {minutes:.0f} min with all teams waiting"
        )
        counts = ", ".join(f"{name} {count}" for name, count in sorted(self._counts.items()))
        lines.append(f"counts: {counts}")
        violations = ", ".join(
            f"{name} {count}" for name, count in sorted(self.violations.items())
        )
        lines.append(f"violations: {violations or 'none'}")
        lines.append(f"warnings: {len(self.warnings)}")
        lines += [f"  {text}" for text in self.warnings[:MAX_SHOWN_WARNINGS]]
        return "\n".join(lines)

    def _sample_shares(self, delta_ms: int) -> None:
        total = sum(self._windowed_shares.values())
        weights = sum(self._workload.shares.values())
        for team, share in self._workload.shares.items():
            deviation = (
                abs(self._windowed_shares[team] / total - share / weights) if total else 1.0
            )
            self._deviation_max = max(self._deviation_max, deviation)
            self._deviation_sum += deviation * delta_ms / len(self._workload.shares)
        self._sampled_ms += delta_ms

    @staticmethod
    def _ratio(part: float, whole: float) -> str:
        return f"{part / whole:.3f}" if whole else "not measured"
