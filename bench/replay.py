"""Replays the arrivals of a workload with a policy on a manual clock and prints the metrics.

Usage: python -m bench.replay pelucas|inkbridge [--seed N] [--policies fifo,strict,real]
A baseline takes 20 to 45 s; a policy that checks each waiting task on each worker takes minutes.
"""

import argparse
import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import replace

from bench.policies import POLICIES
from bench.replay_metrics import ReplayMetrics
from bench.simulated_task import SimulatedTask, new_task
from bench.warm_targets import WarmTargets
from bench.workloads import WORKLOADS, Arrival, Workload
from lagoonshelf_core.clock import ManualClock
from lagoonshelf_core.commands import Command, DeadlineWarning, GiveUp, Start, Stop, Throttle, Warm
from lagoonshelf_core.ids import RequestKey, TaskId, WorkerId
from lagoonshelf_core.model import TaskState, WorkerState, WorkKind

# Passes run at multiples of this interval.
PASS_INTERVAL_MS = 100
# Passes run at least this often, also when nothing changes.
MAX_PASS_GAP_MS = 5_000
# Time from a stop command or cancellation to the end of the run.
STOP_DELAY_MS = 500
# Tasks that have not ended this long after the end of arrivals count as unfinished.
COMPLETION_TIMEOUT_MS = 12 * 3_600_000


class Replay:
    """Discrete-event simulation of one workload with one policy."""

    def __init__(self, workload: Workload, policy: object) -> None:
        """Add the workers to the policy and schedule the arrivals.

        :param policy: scheduler with the interface of ``Scheduler``; its optional method
            ``finished(task, run_ms, peak)`` is called for each finished task
        """
        self.workload = workload
        self.policy = policy
        self.clock = ManualClock(0, workload.start_wall_ms)
        self.tasks: dict[TaskId, SimulatedTask] = {}
        self.metrics = ReplayMetrics(workload)
        self._events: list[tuple] = []
        self._sequence = 0
        self._pass_requested = False
        self._planned_pass_ms = -1
        self._started_members: dict[RequestKey, set[TaskId]] = defaultdict(set)
        self._ended_members: Counter[RequestKey] = Counter()
        self._warm_targets = WarmTargets(workload.queues)
        self._free = {info.worker: info.capacity for info in workload.workers}
        for info in workload.workers:
            policy.set_worker(info, WorkerState.READY)
        for arrival in workload.arrivals:
            self._schedule(arrival.at_ms, self._handle_arrival, arrival)
        for at_ms in range(
            MAX_PASS_GAP_MS, workload.end_ms + COMPLETION_TIMEOUT_MS, MAX_PASS_GAP_MS
        ):
            self._schedule(at_ms, self._request_pass)

    def run(self) -> ReplayMetrics:
        """Process all events and return the metrics."""
        while self._events:
            at_ms, _, action, arguments = heapq.heappop(self._events)
            if at_ms > self.workload.end_ms and not self.tasks:
                break
            delta_ms = at_ms - self.clock.now_ms()
            if delta_ms > 0:
                self.metrics.record_interval(delta_ms)
                self.clock.advance(delta_ms)
            action(*arguments)
        return self.metrics

    def _schedule(self, at_ms: int, action: Callable, *arguments: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, action, arguments))

    def _request_pass(self) -> None:
        if not self._pass_requested:
            self._pass_requested = True
            now_ms = self.clock.now_ms()
            self._schedule(now_ms + -now_ms % PASS_INTERVAL_MS, self._run_pass)

    def _run_pass(self) -> None:
        self._pass_requested = False
        for command in self.policy.run_pass(self.clock.now_ms(), lambda task: True):
            self._execute(command)
        if hasattr(self.policy, "next_pass_ms"):
            self._schedule_pass(self.policy.next_pass_ms())

    def _schedule_pass(self, at_ms: int | None) -> None:
        """Schedule the pass that the policy requires even if nothing changes until then."""
        if at_ms is not None and not self.clock.now_ms() < self._planned_pass_ms <= at_ms:
            self._planned_pass_ms = max(at_ms, self.clock.now_ms() + 1)
            self._schedule(self._planned_pass_ms, self._request_pass)

    def _handle_arrival(self, arrival: Arrival) -> None:
        for index, actual_run_ms in enumerate(arrival.actual_run_ms):
            self._sequence += 1
            task = new_task(self.workload, arrival, index, self._sequence, self.clock)
            sim = SimulatedTask(task, arrival, actual_run_ms)
            self.tasks[task.task] = sim
            self.metrics.record_arrival(sim)
            self.policy.enqueue(task)
            if arrival.cancel_ms:
                self._schedule(arrival.cancel_ms, self._cancel, sim)
        self._request_pass()

    def _execute(self, command: Command) -> None:
        if isinstance(command, DeadlineWarning):
            self.metrics.warnings.append(command.reason)
            return
        if isinstance(command, Warm):
            self._warm_targets.warm_up(
                command.worker, command.queue, command.slots, self.clock.now_ms()
            )
            return
        sim = self.tasks[command.task]
        match command:
            case Start():
                self._start(sim, command.worker)
            case Stop():
                self.metrics.record_stop(sim, command.checkpoint)
                self._schedule_stop(sim, command.requeue, command.checkpoint)
            case Throttle():
                self._throttle(sim, command.percent)
            case GiveUp():
                self.metrics.record_give_up(sim)
                self._remove(sim)

    def _start(self, sim: SimulatedTask, worker: WorkerId) -> None:
        if sim.worker is not None:
            self.metrics.violations["started twice"] += 1
            return
        if not sim.task.size.fits_in(self._free[worker]):
            self.metrics.violations["worker over-committed"] += 1
        self._free[worker] -= sim.task.size
        sim.worker = worker
        sim.starts += 1
        sim.speed_percent = 100
        now_ms = self.clock.now_ms()
        sim.progress_from_ms = now_ms + self._warm_targets.acquire(worker, sim.task.queue, now_ms)
        sim.task.state = TaskState.RUNNING
        self.metrics.record_start(sim, sim.progress_from_ms - now_ms)
        if sim.task.kind is WorkKind.GANG:
            self._start_gang(sim)
        else:
            self._schedule_end(sim)

    def _start_gang(self, sim: SimulatedTask) -> None:
        """Start the progress of a gang once all members that have not ended are started."""
        key = sim.task.request_key
        self._started_members[key].add(sim.task.task)
        if len(self._started_members[key]) + self._ended_members[key] < sim.task.gang_size:
            return
        for member in (self.tasks[task] for task in sorted(self._started_members[key])):
            if not member.is_progressing:
                member.progress_from_ms = sim.progress_from_ms
                self._schedule_end(member)

    def _schedule_end(self, sim: SimulatedTask) -> None:
        if not sim.is_progressing:
            sim.started_ms = sim.progress_from_ms
        sim.is_progressing = True
        sim.end_version += 1
        end_ms = sim.progress_from_ms + sim.remaining_ms * 100 // max(1, sim.speed_percent)
        if sim.task.kind is WorkKind.SERVICE:
            end_ms = max(self.clock.now_ms(), self.workload.end_ms)
        self._schedule(end_ms, self._handle_end, sim, sim.end_version)

    def _handle_end(self, sim: SimulatedTask, version: int) -> None:
        if sim.end_version != version or sim.task.task not in self.tasks:
            return
        self.metrics.record_finish(sim, self.clock.wall_ms())
        if sim.task.kind is WorkKind.GANG:
            self._ended_members[sim.task.request_key] += 1
        if hasattr(self.policy, "finished"):
            run_ms = self.clock.now_ms() - sim.started_ms
            self.policy.finished(sim.task, run_ms, sim.arrival.peak)
        self._remove(sim)

    def _remove(self, sim: SimulatedTask) -> None:
        if sim.worker is not None:
            self._release_worker(sim)
        self.policy.release(sim.task.task)
        del self.tasks[sim.task.task]
        self.metrics.record_removal(sim)
        self._request_pass()

    def _release_worker(self, sim: SimulatedTask) -> None:
        self._set_speed(sim, 100)
        self._free[sim.worker] += sim.task.size
        self._warm_targets.release(sim.worker, sim.task.queue)
        self._started_members[sim.task.request_key].discard(sim.task.task)
        self.metrics.record_run_end(sim)
        sim.worker = None
        sim.is_progressing = False
        sim.end_version += 1

    def _throttle(self, sim: SimulatedTask, percent: int) -> None:
        if sim.is_progressing:
            self._update_progress(sim)
            self._set_speed(sim, percent)
            self._schedule_end(sim)
        if hasattr(self.policy, "confirm_throttle"):
            self.policy.confirm_throttle(sim.task.task, percent)

    def _set_speed(self, sim: SimulatedTask, percent: int) -> None:
        """Change the processor allocation of a running task on its worker."""
        cpu_milli = sim.task.size.cpu_milli
        before = replace(sim.task.size, cpu_milli=cpu_milli * sim.speed_percent // 100)
        after = replace(sim.task.size, cpu_milli=cpu_milli * percent // 100)
        self._free[sim.worker] += before - after
        sim.speed_percent = percent

    def _update_progress(self, sim: SimulatedTask) -> None:
        now_ms = max(sim.progress_from_ms, self.clock.now_ms())
        sim.remaining_ms -= min(
            sim.remaining_ms, (now_ms - sim.progress_from_ms) * sim.speed_percent // 100
        )
        sim.progress_from_ms = now_ms

    def _cancel(self, sim: SimulatedTask) -> None:
        if sim.task.task not in self.tasks:
            return
        sim.is_cancelled = True
        if sim.worker is None:
            self._remove(sim)
        else:
            self._schedule_stop(sim, requeue=False, checkpoint=False)

    def _schedule_stop(self, sim: SimulatedTask, requeue: bool, checkpoint: bool) -> None:
        at_ms = self.clock.now_ms() + STOP_DELAY_MS
        self._schedule(at_ms, self._handle_stop, sim, sim.starts, requeue, checkpoint)

    def _handle_stop(
        self, sim: SimulatedTask, starts: int, requeue: bool, checkpoint: bool
    ) -> None:
        """End a stopped run, unless it ended or the task was restarted in the meantime."""
        if sim.task.task not in self.tasks or sim.worker is None or sim.starts != starts:
            return
        if checkpoint and sim.is_progressing:
            self._update_progress(sim)
        self._release_worker(sim)
        if requeue and not sim.is_cancelled:
            self.policy.release(sim.task.task)
            self.policy.enqueue(sim.task)
            self._request_pass()
        else:
            self._remove(sim)


def main() -> None:
    """Replay a workload with each policy and print the metrics of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("workload", choices=sorted(WORKLOADS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policies", default=",".join(POLICIES))
    arguments = parser.parse_args()
    for name in arguments.policies.split(","):
        workload = WORKLOADS[arguments.workload](arguments.seed)
        metrics = Replay(workload, POLICIES[name](workload)).run()
        print(f"== {arguments.workload} seed {arguments.seed}, policy {name}")
        print(metrics.format_table(), flush=True)


if __name__ == "__main__":
    main()
