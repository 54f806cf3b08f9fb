"""Discrete-event simulation of a cell's scheduling decisions, without network and store."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import process_time
from zlib import crc32

from lagoonshelf_core.ids import FailureDomain, QueueId, RackId, TeamId, WorkerId
from lagoonshelf_core.jobs.advice_lanes import AdviceBudget
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import RequestAdvice, StartRun, StopRun
from lagoonshelf_core.jobs.config import CellConfig, Pool, PoolId
from lagoonshelf_core.jobs.options import DEFAULT_OPTIONS, SchedulerOptions
from lagoonshelf_core.jobs.planning import plan
from lagoonshelf_core.jobs.progress import Job, JobState, Run, RunEnd
from lagoonshelf_core.jobs.spec import JobId, JobSpec, StepSpec
from lagoonshelf_core.jobs.supervision import supervise
from lagoonshelf_core.jobs.worker_reports import EndedRow, RunningRow, apply_report
from lagoonshelf_core.jobs.workers import WorkerInfo
from lagoonshelf_core.resources import Resources

POOL = PoolId("pool")
WORKERS_PER_RACK = 12
# Time from a command to its effect.
COMMAND_DELAY_MS = 15
# Time from an event to the scheduling pass that it triggers.
PASS_DELAY_MS = 3
# Interval at which all runs report progress and a scheduling pass is requested.
PROGRESS_INTERVAL_MS = 100


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job with its arrival time and the real run time of each of its tasks."""

    at_ms: int
    spec: JobSpec
    task_ms: int


@dataclass(slots=True)
class SimulationResult:
    """Job latencies and the processor time of the decisions.

    :param completion_ms: time from receipt to end of each complete job
    :param in_time: number of jobs by queue that ended within their target time
    :param in_time_jobs: ids of these jobs
    :param arrived: number of jobs received by queue
    :param decision_cpu_s: processor time of all decisions
    """

    completion_ms: dict[JobId, int] = field(default_factory=dict)
    in_time: Counter[QueueId] = field(default_factory=Counter)
    in_time_jobs: set[JobId] = field(default_factory=set)
    arrived: Counter[QueueId] = field(default_factory=Counter)
    starts: int = 0
    decision_cpu_s: float = 0.0

    def cpu_ms_per_start(self) -> float:
        """Return the processor time of all decisions divided by the number of starts."""
        return 1000 * self.decision_cpu_s / max(1, self.starts)


@dataclass(frozen=True, slots=True)
class JobKind:
    """A kind of job with its arrival rate.

    :param width: mean number of tasks of a step, uniform between 0.5 and 1.5 times the mean
    :param task_ms: mean run time of a task, with the same distribution; the client's estimate is
        exact
    :param gang_share: fraction of the jobs whose steps are gangs
    """

    queue: QueueId
    rate_per_s: float
    steps: int
    width: int
    task_ms: int
    size: Resources
    gang_share: float = 0.0


def generate_arrivals(
    kinds: Iterable[JobKind], teams: list[TeamId], until_ms: int, seed: int
) -> list[Arrival]:
    """Return Poisson arrivals of all job kinds in order of time, the same for the same seed."""
    rng, numbers = Random(seed), count(1)
    result: list[Arrival] = []
    for kind in kinds:
        at_ms = rng.expovariate(kind.rate_per_s) * 1000
        while at_ms < until_ms:
            result.append(
                _draw_arrival(rng, kind, JobId(f"{next(numbers):016x}"), rng.choice(teams), at_ms)
            )
            at_ms += rng.expovariate(kind.rate_per_s) * 1000
    return sorted(result, key=lambda arrival: arrival.at_ms)


def _draw_arrival(rng: Random, kind: JobKind, job: JobId, team: TeamId, at_ms: float) -> Arrival:
    task_ms = max(50, int(kind.task_ms * rng.uniform(0.5, 1.5)))
    width = max(1, round(kind.width * rng.uniform(0.5, 1.5)))
    is_gang = rng.random() < kind.gang_share
    steps = tuple(
        StepSpec(
            width,
            kind.size,
            task_ms,
            after=(index - 1,) if index else (),
            is_gang=is_gang,
            saves_progress=not is_gang,
        )
        for index in range(kind.steps)
    )
    return Arrival(int(at_ms), JobSpec(job, team, kind.queue, "", steps), task_ms)


def make_worker_infos(workers: int, capacity: Resources) -> list[WorkerInfo]:
    """Return identical workers, spread over three failure domains."""
    return [
        WorkerInfo(
            WorkerId(f"w{number:04}"),
            f"127.0.0.1:{10_000 + number}",
            POOL,
            FailureDomain(f"d{number % 3}"),
            RackId(f"r{number // WORKERS_PER_RACK}"),
            frozenset({"a" if number % 2 else "b"}),
            capacity,
            1,
        )
        for number in range(workers)
    ]


class CellSimulation:
    """One simulation of a cell under load."""

    def __init__(
        self,
        cfg: CellConfig,
        workers: list[WorkerInfo],
        *,
        advice_members: int = 4,
        allowed_share: float = 1.0,
        options: SchedulerOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Set up a cell whose workers have already reported their runs.

        :param advice_members: number of members that send requests to the placement policy in
            parallel
        :param allowed_share: fraction of the workers that the placement policy allows
        """
        self.cell = Cell(cfg, options)
        for info in workers:
            worker = self.cell.update_worker(info, 0)
            worker.is_read = worker.is_recorded = True
        self.result = SimulationResult()
        self._member_free_ms = [0.0] * advice_members
        self._allowed_share = allowed_share
        self.allowed_shares: dict[QueueId, float] = {}
        self._events: list[tuple[int, int, Callable[[int], None]]] = []
        self._sequence = count()
        self._task_ms: dict[JobId, int] = {}
        self._end_numbers = count(1)
        self._pass_ms = -1

    def run(self, load: list[Arrival], until_ms: int) -> SimulationResult:
        """Simulate a load until all events are processed or a time is reached."""
        for arrival in load:
            self._schedule(
                arrival.at_ms,
                lambda now_ms, arrival=arrival: self._handle_arrival(arrival, now_ms),
            )
        for at_ms in range(0, until_ms, PROGRESS_INTERVAL_MS):
            self._schedule(at_ms, self._report_progress)
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, event = heappop(self._events)
            event(at_ms)
        return self.result

    def _schedule(self, at_ms: int, event: Callable[[int], None]) -> None:
        heappush(self._events, (at_ms, next(self._sequence), event))

    def _report_progress(self, now_ms: int) -> None:
        for worker in self.cell.workers.values():
            for run in worker.runs.values():
                run.progress_percent = self._percent(run, now_ms)
                run.progressed_ms = now_ms
        self._request_pass(now_ms)

    def _percent(self, run: Run, now_ms: int) -> int:
        if not run.confirmed_ms:
            return 0
        share = (now_ms - run.confirmed_ms) / self._task_ms[run.task.job.id]
        return min(99, int(100 * share))

    def _request_pass(self, now_ms: int) -> None:
        if self._pass_ms < now_ms:
            self._pass_ms = now_ms + PASS_DELAY_MS
            self._schedule(self._pass_ms, self._run_pass)

    def _handle_arrival(self, arrival: Arrival, now_ms: int) -> None:
        self._task_ms[arrival.spec.id] = arrival.task_ms
        self.cell.accept(arrival.spec, now_ms)
        self.result.arrived[arrival.spec.queue] += 1
        self._request_pass(now_ms)

    def _run_pass(self, now_ms: int) -> None:
        started_s = process_time()
        supervise(self.cell, now_ms)
        # 700 ms is the limit of the advice router, ``MAX_BACKLOG_MS``.
        budget_ms = sum(max(0.0, 700.0 + now_ms - free) for free in self._member_free_ms)
        has_more = plan(self.cell, now_ms, now_ms, AdviceBudget(budget_ms))
        self.result.decision_cpu_s += process_time() - started_s
        if has_more:
            self._pass_ms = now_ms + PASS_DELAY_MS
            self._schedule(self._pass_ms, self._run_pass)
        commands, self.cell.commands = self.cell.commands, []
        self.cell.notes.clear()
        self.cell.changed_jobs.clear()
        for command in commands:
            if isinstance(command, StartRun):
                self._start(command.run, now_ms)
            elif isinstance(command, StopRun):
                run = command.run
                self._schedule(
                    now_ms + COMMAND_DELAY_MS,
                    lambda at_ms, run=run: self._end_run(run, RunEnd.STOPPED, at_ms),
                )
            elif isinstance(command, RequestAdvice):
                self._request_advice(command, now_ms)

    def _request_advice(self, command: RequestAdvice, now_ms: int) -> None:
        member = min(range(len(self._member_free_ms)), key=self._member_free_ms.__getitem__)
        self._member_free_ms[member] = max(self._member_free_ms[member], now_ms) + command.cost_ms
        self._schedule(
            int(self._member_free_ms[member]),
            lambda at_ms, command=command: self._receive_advice(command, at_ms),
        )

    def _receive_advice(self, command: RequestAdvice, now_ms: int) -> None:
        queue_id = command.step.job.spec.queue
        limit = self.allowed_shares.get(queue_id, self._allowed_share) * 2**32
        step = command.step.name
        allowed = {
            name: "permit" for name in command.workers if crc32(f"{step}{name}".encode()) < limit
        }
        queue = self.cell.queue_of(command.step.job)
        if command.step.job.is_final:
            self.cell.permits.remove(command.step.name)
            return
        self.cell.permits.response_received(
            step, queue.id, command.workers, allowed, now_ms, queue.advice.valid_ms
        )
        self._request_pass(now_ms)

    def _start(self, run: Run, now_ms: int) -> None:
        self.result.starts += 1
        self._schedule(
            now_ms + COMMAND_DELAY_MS, lambda at_ms, run=run: self._confirm_start(run, at_ms)
        )

    def _confirm_start(self, run: Run, now_ms: int) -> None:
        started_s = process_time()
        self.cell.workers[run.worker].record_answer(now_ms)
        self.cell.start_confirmed(run, now_ms)
        self.result.decision_cpu_s += process_time() - started_s
        ends_ms = now_ms + self._task_ms[run.task.job.id]
        self._schedule(ends_ms, lambda at_ms, run=run: self._end_run(run, RunEnd.DONE, at_ms))

    def _end_run(self, run: Run, end: RunEnd, now_ms: int) -> None:
        worker = self.cell.workers[run.worker]
        if worker.runs.get((run.name, run.attempt)) is not run:
            return
        job = run.task.job
        running = [
            RunningRow(other.name, other.attempt, "", self._percent(other, now_ms), 0.0)
            for other in worker.runs.values()
            if other is not run
        ]
        ended = EndedRow(next(self._end_numbers), run.name, run.attempt, end, "")
        started_s = process_time()
        worker.record_answer(now_ms)
        apply_report(self.cell, worker, running, [ended], now_ms, now_ms)
        self.result.decision_cpu_s += process_time() - started_s
        if job.state is JobState.COMPLETE:
            self._record_completion(job, now_ms - job.received_ms)
        self._request_pass(now_ms)

    def _record_completion(self, job: Job, completion_ms: int) -> None:
        if job.id in self.result.completion_ms:
            return
        self.result.completion_ms[job.id] = completion_ms
        queue = self.cell.queue_of(job)
        if completion_ms <= queue.stretch * job.critical_path_ms + queue.latency_ms:
            self.result.in_time[queue.id] += 1
            self.result.in_time_jobs.add(job.id)


def make_config(queues: list, teams: list) -> CellConfig:
    """Return a configuration with one pool."""
    return CellConfig(
        1,
        {queue.id: queue for queue in queues},
        {team.id: team for team in teams},
        {team.id: team.id for team in teams},
        {POOL: Pool(POOL)},
    )
