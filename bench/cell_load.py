"""Plays a load on a cell's decisions alone: no network, no store, a clock of its own."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import process_time
from zlib import crc32

from lagoonshelf_core.ids import FailureDomain, QueueId, RackId, TeamId, WorkerId
from lagoonshelf_core.jobs.cell import Cell, EndedRow, RunningRow
from lagoonshelf_core.jobs.commands import RequestAdvice, StartRun, StopRun
from lagoonshelf_core.jobs.config import CellConfig, Pool, PoolId
from lagoonshelf_core.jobs.planning import plan
from lagoonshelf_core.jobs.progress import Job, JobState, Run, RunEnd
from lagoonshelf_core.jobs.spec import JobId, JobSpec, StepSpec
from lagoonshelf_core.jobs.supervision import supervise
from lagoonshelf_core.jobs.workers import WorkerInfo
from lagoonshelf_core.resources import Resources

POOL = PoolId("pool")
WORKERS_PER_RACK = 12
# Time from an order to its effect, and from an event to the pass that answers it.
ORDER_MS = 15
PASS_MS = 3
TICK_MS = 100


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job at its time, with the time that each of its tasks really takes."""

    at_ms: int
    spec: JobSpec
    task_ms: int


@dataclass(slots=True)
class Outcome:
    """What callers saw, and what the decisions cost.

    :param end_ms: time from arrival to the end by job, only of jobs that are complete
    :param in_time: number of jobs by queue that ended within their objective
    :param in_time_jobs: the same jobs
    :param arrived: jobs by queue
    """

    end_ms: dict[JobId, int] = field(default_factory=dict)
    in_time: Counter[QueueId] = field(default_factory=Counter)
    in_time_jobs: set[JobId] = field(default_factory=set)
    arrived: Counter[QueueId] = field(default_factory=Counter)
    starts: int = 0
    decisions_s: float = 0.0

    def cost_ms(self) -> float:
        """Return the processor time of all decisions for each start."""
        return 1000 * self.decisions_s / max(1, self.starts)


@dataclass(frozen=True, slots=True)
class JobMix:
    """A kind of job.

    :param width: mean number of tasks of a step, spread from half to one and a half of it
    :param task_ms: mean of what a task takes, spread alike; its caller's estimate is exact
    """

    queue: QueueId
    per_s: float
    steps: int
    width: int
    task_ms: int
    size: Resources
    gang_share: float = 0.0


def arrivals(
    mix: Iterable[JobMix], teams: list[TeamId], until_ms: int, seed: int
) -> list[Arrival]:
    """Return jobs of all kinds over a time, in order, the same for a seed."""
    rng, number = Random(seed), count(1)
    made: list[Arrival] = []
    for kind in mix:
        at = rng.expovariate(kind.per_s) * 1000
        while at < until_ms:
            made.append(_arrival(rng, kind, JobId(f"{next(number):016x}"), rng.choice(teams), at))
            at += rng.expovariate(kind.per_s) * 1000
    return sorted(made, key=lambda row: row.at_ms)


def _arrival(rng: Random, kind: JobMix, job: JobId, team: TeamId, at: float) -> Arrival:
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
    return Arrival(int(at), JobSpec(job, team, kind.queue, "", steps), task_ms)


def worker_infos(workers: int, capacity: Resources) -> list[WorkerInfo]:
    """Return equal workers over three failure domains."""
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


class CellLoad:
    """One play of a load."""

    def __init__(
        self,
        cfg: CellConfig,
        workers: list[WorkerInfo],
        *,
        lanes: int = 4,
        allowed_share: float = 1.0,
    ) -> None:
        """Set up a cell whose workers have been read.

        :param lanes: members through which the placement policy can be asked at once
        :param allowed_share: share of the workers that the policy allows
        """
        self.cell = Cell(cfg)
        for info in workers:
            worker = self.cell.update_worker(info, 0)
            worker.is_read = worker.is_recorded = True
        self.outcome = Outcome()
        self._lanes = [0.0] * lanes
        self._allowed_share = allowed_share
        self._events: list[tuple[int, int, Callable[[int], None]]] = []
        self._order = count()
        self._task_ms: dict[JobId, int] = {}
        self._ends = count(1)
        self._pass_at = -1

    def play(self, load: list[Arrival], until_ms: int) -> Outcome:
        """Play a load to its end or until a time."""
        for row in load:
            self._at(row.at_ms, lambda now_ms, row=row: self._arrive(row, now_ms))
        for at_ms in range(0, until_ms, TICK_MS):
            self._at(at_ms, self._tick)
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, event = heappop(self._events)
            event(at_ms)
        return self.outcome

    def _at(self, at_ms: int, event: Callable[[int], None]) -> None:
        heappush(self._events, (at_ms, next(self._order), event))

    def _tick(self, now_ms: int) -> None:
        for worker in self.cell.workers.values():
            for run in worker.runs.values():
                run.progressed_ms = now_ms
        self._kick(now_ms)

    def _kick(self, now_ms: int) -> None:
        if self._pass_at < now_ms:
            self._pass_at = now_ms + PASS_MS
            self._at(self._pass_at, self._pass)

    def _arrive(self, row: Arrival, now_ms: int) -> None:
        self._task_ms[row.spec.id] = row.task_ms
        self.cell.accept(row.spec, now_ms)
        self.outcome.arrived[row.spec.queue] += 1
        self._kick(now_ms)

    def _pass(self, now_ms: int) -> None:
        began = process_time()
        supervise(self.cell, now_ms)
        budget_ms = sum(max(0.0, 700.0 + now_ms - free) for free in self._lanes)
        plan(self.cell, now_ms, now_ms, budget_ms)
        self.outcome.decisions_s += process_time() - began
        commands, self.cell.commands = self.cell.commands, []
        self.cell.notes.clear()
        self.cell.changed_jobs.clear()
        for command in commands:
            if isinstance(command, StartRun):
                self._start(command.run, now_ms)
            elif isinstance(command, StopRun):
                run = command.run
                self._at(now_ms + ORDER_MS, lambda at, run=run: self._end(run, RunEnd.STOPPED, at))
            elif isinstance(command, RequestAdvice):
                self._ask(command, now_ms)

    def _ask(self, command: RequestAdvice, now_ms: int) -> None:
        lane = min(range(len(self._lanes)), key=self._lanes.__getitem__)
        self._lanes[lane] = max(self._lanes[lane], now_ms) + command.cost_ms
        self._at(int(self._lanes[lane]), lambda at, command=command: self._advise(command, at))

    def _advise(self, command: RequestAdvice, now_ms: int) -> None:
        limit = self._allowed_share * 2**32
        step = command.step.name
        allowed = {
            name: "permit" for name in command.workers if crc32(f"{step}{name}".encode()) < limit
        }
        queue = self.cell.queue_of(command.step.job)
        if command.step.job.is_final:
            self.cell.permits.remove(command.step.name)
            return
        valid_until_ms = now_ms + queue.advice.valid_ms
        self.cell.permits.response_received(
            step, queue.id, command.workers, allowed, valid_until_ms
        )
        self._kick(now_ms)

    def _start(self, run: Run, now_ms: int) -> None:
        self.outcome.starts += 1
        self._at(now_ms + ORDER_MS, lambda at, run=run: self._confirm(run, at))

    def _confirm(self, run: Run, now_ms: int) -> None:
        began = process_time()
        self.cell.start_confirmed(run, now_ms)
        self.outcome.decisions_s += process_time() - began
        ends_ms = now_ms + self._task_ms[run.task.job.id]
        self._at(ends_ms, lambda at, run=run: self._end(run, RunEnd.DONE, at))

    def _end(self, run: Run, how: RunEnd, now_ms: int) -> None:
        worker = self.cell.workers[run.worker]
        if worker.runs.get((run.name, run.attempt)) is not run:
            return
        job = run.task.job
        rows = [
            RunningRow(other.name, other.attempt, "", now_ms % 100, 0.0)
            for other in worker.runs.values()
            if other is not run
        ]
        ended = EndedRow(next(self._ends), run.name, run.attempt, how, "")
        began = process_time()
        self.cell.apply_report(worker, rows, [ended], now_ms, now_ms)
        self.outcome.decisions_s += process_time() - began
        if job.state is JobState.COMPLETE:
            self._note_end(job, now_ms - job.received_ms)
        self._kick(now_ms)

    def _note_end(self, job: Job, end_ms: int) -> None:
        if job.id in self.outcome.end_ms:
            return
        self.outcome.end_ms[job.id] = end_ms
        queue = self.cell.queue_of(job)
        if end_ms <= queue.stretch * job.critical_path_ms + queue.latency_ms:
            self.outcome.in_time[queue.id] += 1
            self.outcome.in_time_jobs.add(job.id)


def config(queues: list, teams: list) -> CellConfig:
    """Return a configuration of one pool."""
    return CellConfig(
        1,
        {queue.id: queue for queue in queues},
        {team.id: team for team in teams},
        {team.id: team.id for team in teams},
        {POOL: Pool(POOL)},
    )
