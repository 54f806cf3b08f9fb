"""Replays a workload's arrivals against a policy on a manual clock and prints a table.

Usage: python -m bench.replay pelucas|inkbridge [--seed N] [--policies fifo,strict,real]
A baseline takes 20 to 45 s; a policy that tries each waiting task on each worker takes minutes.
"""

import argparse
import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import replace

from bench.measures import Measures
from bench.policies import POLICIES
from bench.runs import Run, new_task
from bench.warm_targets import WarmTargets
from bench.workloads import WORKLOADS, Arrival, Workload
from lagoonshelf_core.clock import ManualClock
from lagoonshelf_core.commands import Command, DeadlineWarning, GiveUp, Start, Stop, Throttle, Warm
from lagoonshelf_core.ids import RequestKey, TaskId, WorkerId
from lagoonshelf_core.model import TaskState, WorkerState, WorkKind

PASS_MS = 100
TICK_MS = 5_000
STOP_MS = 500
# Work that has not ended this long after the last arrival counts as unfinished.
TAIL_MS = 12 * 3_600_000


class Replay:
    """One run of a workload against one policy."""

    def __init__(self, workload: Workload, policy: object) -> None:
        """Prepare the workers and the arrivals.

        :param policy: has the methods of ``Scheduler``; ``finished(task, run_ms, peak)`` is
            called when it exists
        """
        self.workload = workload
        self.policy = policy
        self.clock = ManualClock(0, workload.start_wall_ms)
        self.runs: dict[TaskId, Run] = {}
        self.measures = Measures(workload)
        self._events: list[tuple] = []
        self._sequence = 0
        self._pass_due = False
        self._wake_ms = -1
        self._gangs: dict[RequestKey, set[TaskId]] = defaultdict(set)
        self._gang_ended: Counter[RequestKey] = Counter()
        self._warm = WarmTargets(workload.queues)
        self._room = {info.worker: info.capacity for info in workload.workers}
        for info in workload.workers:
            policy.set_worker(info, WorkerState.READY)
        for arrival in workload.arrivals:
            self._at(arrival.at_ms, self._arrive, arrival)
        for at_ms in range(TICK_MS, workload.end_ms + TAIL_MS, TICK_MS):
            self._at(at_ms, self._request_pass)

    def run(self) -> Measures:
        """Process all events and return what was measured."""
        while self._events:
            at_ms, _, action, arguments = heapq.heappop(self._events)
            if at_ms > self.workload.end_ms and not self.runs:
                break
            delta_ms = at_ms - self.clock.now_ms()
            if delta_ms > 0:
                self.measures.account(delta_ms)
                self.clock.advance(delta_ms)
            action(*arguments)
        return self.measures

    def _at(self, at_ms: int, action: Callable, *arguments: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, action, arguments))

    def _request_pass(self) -> None:
        if not self._pass_due:
            self._pass_due = True
            now_ms = self.clock.now_ms()
            self._at(now_ms + -now_ms % PASS_MS, self._pass)

    def _pass(self) -> None:
        self._pass_due = False
        for command in self.policy.run_pass(self.clock.now_ms(), lambda task: True):
            self._apply(command)
        if hasattr(self.policy, "next_pass_ms"):
            self._pass_at(self.policy.next_pass_ms())

    def _pass_at(self, at_ms: int | None) -> None:
        """Ask for the pass that the policy wants even if nothing changes until then."""
        if at_ms is not None and not self.clock.now_ms() < self._wake_ms <= at_ms:
            self._wake_ms = max(at_ms, self.clock.now_ms() + 1)
            self._at(self._wake_ms, self._request_pass)

    def _arrive(self, arrival: Arrival) -> None:
        for index, actual_ms in enumerate(arrival.actual_ms):
            self._sequence += 1
            task = new_task(self.workload, arrival, index, self._sequence, self.clock)
            run = Run(task, arrival, actual_ms)
            self.runs[task.task] = run
            self.measures.arrived(run)
            self.policy.enqueue(task)
            if arrival.cancel_ms:
                self._at(arrival.cancel_ms, self._cancel, run)
        self._request_pass()

    def _apply(self, command: Command) -> None:
        if isinstance(command, DeadlineWarning):
            self.measures.warnings.append(command.reason)
            return
        if isinstance(command, Warm):
            self._warm.order(command.worker, command.queue, command.slots, self.clock.now_ms())
            return
        run = self.runs[command.task]
        match command:
            case Start():
                self._start(run, command.worker)
            case Stop():
                self.measures.stopped(run, command.checkpoint)
                self._stop(run, command.requeue, command.checkpoint)
            case Throttle():
                self._throttle(run, command.percent)
            case GiveUp():
                self.measures.gave_up(run)
                self._remove(run)

    def _start(self, run: Run, worker: WorkerId) -> None:
        if run.worker is not None:
            self.measures.violations["started twice"] += 1
            return
        if not run.task.size.fits_in(self._room[worker]):
            self.measures.violations["worker over-committed"] += 1
        self._room[worker] -= run.task.size
        run.worker = worker
        run.starts += 1
        run.percent = 100
        now_ms = self.clock.now_ms()
        run.since_ms = now_ms + self._warm.occupy(worker, run.task.queue, now_ms)
        run.task.state = TaskState.RUNNING
        self.measures.started(run, run.since_ms - now_ms)
        if run.task.kind is WorkKind.GANG:
            self._start_gang(run)
        else:
            self._schedule_end(run)

    def _start_gang(self, run: Run) -> None:
        """Let the members make progress once all that have not ended are started."""
        key = run.task.request_key
        self._gangs[key].add(run.task.task)
        if len(self._gangs[key]) + self._gang_ended[key] < run.task.gang_size:
            return
        for member in (self.runs[task] for task in sorted(self._gangs[key])):
            if not member.ticking:
                member.since_ms = run.since_ms
                self._schedule_end(member)

    def _schedule_end(self, run: Run) -> None:
        if not run.ticking:
            run.began_ms = run.since_ms
        run.ticking = True
        run.version += 1
        end_ms = run.since_ms + run.left_ms * 100 // max(1, run.percent)
        if run.task.kind is WorkKind.SERVICE:
            end_ms = max(self.clock.now_ms(), self.workload.end_ms)
        self._at(end_ms, self._end, run, run.version)

    def _end(self, run: Run, version: int) -> None:
        if run.version != version or run.task.task not in self.runs:
            return
        self.measures.finished(run, self.clock.wall_ms())
        if run.task.kind is WorkKind.GANG:
            self._gang_ended[run.task.request_key] += 1
        if hasattr(self.policy, "finished"):
            run_ms = self.clock.now_ms() - run.began_ms
            self.policy.finished(run.task, run_ms, run.arrival.peak)
        self._remove(run)

    def _remove(self, run: Run) -> None:
        if run.worker is not None:
            self._vacate(run)
        self.policy.release(run.task.task)
        del self.runs[run.task.task]
        self.measures.left(run)
        self._request_pass()

    def _vacate(self, run: Run) -> None:
        self._set_speed(run, 100)
        self._room[run.worker] += run.task.size
        self._warm.vacate(run.worker, run.task.queue)
        self._gangs[run.task.request_key].discard(run.task.task)
        self.measures.vacated(run)
        run.worker = None
        run.ticking = False
        run.version += 1

    def _throttle(self, run: Run, percent: int) -> None:
        if run.ticking:
            self._progress(run)
            self._set_speed(run, percent)
            self._schedule_end(run)
        if hasattr(self.policy, "confirm_throttle"):
            self.policy.confirm_throttle(run.task.task, percent)

    def _set_speed(self, run: Run, percent: int) -> None:
        """Change the processor amount that a running task holds on its worker."""
        cpu_milli = run.task.size.cpu_milli
        before = replace(run.task.size, cpu_milli=cpu_milli * run.percent // 100)
        after = replace(run.task.size, cpu_milli=cpu_milli * percent // 100)
        self._room[run.worker] += before - after
        run.percent = percent

    def _progress(self, run: Run) -> None:
        now_ms = max(run.since_ms, self.clock.now_ms())
        run.left_ms -= min(run.left_ms, (now_ms - run.since_ms) * run.percent // 100)
        run.since_ms = now_ms

    def _cancel(self, run: Run) -> None:
        if run.task.task not in self.runs:
            return
        run.cancelled = True
        if run.worker is None:
            self._remove(run)
        else:
            self._stop(run, requeue=False, checkpoint=False)

    def _stop(self, run: Run, requeue: bool, checkpoint: bool) -> None:
        at_ms = self.clock.now_ms() + STOP_MS
        self._at(at_ms, self._stopped, run, run.starts, requeue, checkpoint)

    def _stopped(self, run: Run, starts: int, requeue: bool, checkpoint: bool) -> None:
        """End a stopped task, unless it ended or was started again in the meantime."""
        if run.task.task not in self.runs or run.worker is None or run.starts != starts:
            return
        if checkpoint and run.ticking:
            self._progress(run)
        self._vacate(run)
        if requeue and not run.cancelled:
            self.policy.release(run.task.task)
            self.policy.enqueue(run.task)
            self._request_pass()
        else:
            self._remove(run)


def main() -> None:
    """Replay a workload against each policy and print one table per policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("workload", choices=sorted(WORKLOADS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policies", default=",".join(POLICIES))
    arguments = parser.parse_args()
    for name in arguments.policies.split(","):
        workload = WORKLOADS[arguments.workload](arguments.seed)
        measures = Replay(workload, POLICIES[name](workload)).run()
        print(f"== {arguments.workload} seed {arguments.seed}, policy {name}")
        print(measures.table(), flush=True)


if __name__ == "__main__":
    main()
