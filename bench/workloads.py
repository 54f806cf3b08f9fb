"""Synthetic workloads from a seed, one per deployment in section 1.1 of the design page."""

import math
from dataclasses import dataclass, replace
from random import Random

from lagoonshelf_core.document import QueueConfig
from lagoonshelf_core.ids import FailureDomain, QueueId, RackId, RequestKey, TeamId, WorkerId
from lagoonshelf_core.model import RequestSpec, WorkerInfo, WorkKind
from lagoonshelf_core.resources import Resources

SECOND_MS = 1_000
MINUTE_MS = 60_000
HOUR_MS = 3_600_000
DAY_MS = 86_400_000
WORKERS = 25
RACK_SIZE = 8
DOMAINS = 3
# Declared amounts are the real ones times a lognormal factor with these standard deviations of
# its logarithm.
RUN_TIME_SIGMA = 1.0
SIZE_SIGMA = 0.5
# Fraction of requests without a declared run time.
UNDECLARED_RATIO = 0.1


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request and its real run times and resource usage, which the policy does not know.

    :param at_ms: time since the start of the replay
    :param actual_run_ms: real run time of each task
    :param peak: real peak usage of each task
    :param cancel_ms: time at which the client cancels the request, 0 for never
    :param feasible: whether any worker or set of workers of the cell could run it
    """

    at_ms: int
    spec: RequestSpec
    actual_run_ms: tuple[int, ...]
    peak: Resources
    cancel_ms: int = 0
    feasible: bool = True


@dataclass(frozen=True, slots=True)
class Workload:
    """Teams, queues, workers and arrivals of one deployment.

    :param start_wall_ms: wall-clock time at the start of the replay
    :param end_ms: time at which arrivals stop and services end
    :param shares: configured share of each team
    """

    name: str
    start_wall_ms: int
    end_ms: int
    shares: dict[TeamId, int]
    queues: dict[QueueId, QueueConfig]
    workers: tuple[WorkerInfo, ...]
    arrivals: tuple[Arrival, ...]


class _ArrivalGenerator:
    """Draws arrivals from one random number generator."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.arrivals: list[Arrival] = []

    def add(
        self,
        at_ms: float,
        team: str,
        queue: str,
        cores: float,
        run_ms: float,
        *,
        tasks: int = 1,
        kind: WorkKind = WorkKind.INTERACTIVE,
        repeatable: bool = True,
        cancel_ms: int = 0,
    ) -> None:
        """Add a request whose declared size and run time deviate from the real ones.

        :param cores: real peak usage of one task
        :param run_ms: median of the real run time
        """
        run_times_ms = tuple(self._lognormal(run_ms, 0.4) for _ in range(tasks))
        declared_ms = self._lognormal(run_ms, RUN_TIME_SIGMA)
        if self.rng.random() < UNDECLARED_RATIO:
            declared_ms = 0
        # Rounding to whole cores gives few distinct sizes, as with the size presets of clients.
        declared_cores = min(32, max(1, round(self._lognormal(cores * 1000, SIZE_SIGMA) / 1000)))
        peak = Resources(round(cores * 1000), round(cores * 1024), 0, 1)
        spec = RequestSpec(
            team=TeamId(team),
            queue=QueueId(queue),
            request_key=RequestKey(f"{queue}-{len(self.arrivals)}"),
            kind=kind,
            repeatable=repeatable,
            size=Resources(declared_cores * 1000, declared_cores * 1024, 0, 1),
            run_ms=declared_ms,
            tasks=tasks,
            payload="",
            timeout_ms=0,
        )
        self.arrivals.append(Arrival(round(at_ms), spec, run_times_ms, peak, cancel_ms))

    def poisson_times(self, begin_ms: int, end_ms: int, mean_gap_ms: float) -> list[float]:
        """Return the event times of a Poisson process."""
        times = []
        at_ms = begin_ms + self.rng.expovariate(1 / mean_gap_ms)
        while at_ms < end_ms:
            times.append(at_ms)
            at_ms += self.rng.expovariate(1 / mean_gap_ms)
        return times

    def add_infeasible(self, at_ms: int, team: str, queue: str) -> None:
        """Add requests that the cell can never run.

        One task is too large, one needs accelerators and one gang has too many members.
        """
        sizes = [
            (Resources(100_000, 1024, 0, 1), 1, WorkKind.BATCH),
            (Resources(1000, 1024, 4, 1), 1, WorkKind.BATCH),
            (Resources(8000, 1024, 0, 1), WORKERS * 8 + 1, WorkKind.GANG),
        ]
        for size, tasks, kind in sizes:
            self.add(at_ms, team, queue, 1, MINUTE_MS, tasks=tasks, kind=kind)
            last = self.arrivals[-1]
            spec = replace(last.spec, size=size)
            self.arrivals[-1] = replace(last, spec=spec, peak=size, feasible=False)

    def sorted_arrivals(self) -> tuple[Arrival, ...]:
        """Return the arrivals in order of time."""
        return tuple(sorted(self.arrivals, key=lambda arrival: arrival.at_ms))

    def _lognormal(self, median: float, sigma: float) -> int:
        return max(1, round(median * math.exp(self.rng.gauss(0, sigma))))


def pelucas(seed: int) -> Workload:
    """Return 17 hours of the wig bank, 17:00 to 10:00 in Lima (22:00 to 15:00 UTC)."""
    generator = _ArrivalGenerator(seed)
    end_ms = 17 * HOUR_MS
    generator.add(0, "clinic", "index", 4, end_ms, tasks=6, kind=WorkKind.SERVICE)
    for begin_ms, stop_ms in ((0, HOUR_MS), (15 * HOUR_MS, end_ms)):
        _add_pelucas_daytime(generator, begin_ms, stop_ms)
    # Research tasks fill the cell before the overnight tasks arrive, and have no deadline.
    for number in range(72):
        cancel_ms = 90 * MINUTE_MS if number % 4 == 3 else 0
        generator.add(
            5 * MINUTE_MS + number * SECOND_MS, "research", "research", 7, 110 * MINUTE_MS,
            tasks=20, kind=WorkKind.BATCH, cancel_ms=cancel_ms,
        )  # fmt: skip
    for number in range(60):
        at_ms = 20 * MINUTE_MS + number * 30 * SECOND_MS
        generator.add(
            at_ms, "workshop", "overnight", 6, 40 * MINUTE_MS, tasks=20, kind=WorkKind.BATCH
        )
    for hour in (2, 6):
        generator.add(
            hour * HOUR_MS, "studio", "training", 6, 10 * MINUTE_MS, tasks=16, kind=WorkKind.GANG
        )
    generator.add_infeasible(30 * MINUTE_MS, "research", "research")
    queues = {
        "scalp-maps": QueueConfig(work_class="urgent", cold_start_ms=MINUTE_MS, warm_floor=8),
        "holds": QueueConfig(work_class="urgent", reserve_slots=2),
        "cap-matches": QueueConfig(work_class="normal"),
        "index": QueueConfig(work_class="normal"),
        "training": QueueConfig(work_class="normal"),
        "research": QueueConfig(work_class="background"),
        "overnight": QueueConfig(work_class="background", finish_by="13:00"),
    }
    shares = {"clinic": 3, "stylists": 3, "desk": 1, "workshop": 3, "research": 1, "studio": 1}
    return _make_workload("pelucas", 22 * HOUR_MS, end_ms, shares, queues, 128, generator)


def _add_pelucas_daytime(generator: _ArrivalGenerator, begin_ms: int, stop_ms: int) -> None:
    for at_ms in generator.poisson_times(begin_ms, stop_ms, 6 * SECOND_MS):
        generator.add(at_ms, "clinic", "scalp-maps", 6, 12 * SECOND_MS)
    for at_ms in generator.poisson_times(begin_ms, stop_ms, 15 * SECOND_MS):
        generator.add(at_ms, "desk", "holds", 1, 300, repeatable=False)
    for at_ms in generator.poisson_times(begin_ms, stop_ms, 2 * MINUTE_MS):
        tasks = generator.rng.randint(4, 16)
        generator.add(
            at_ms, "stylists", "cap-matches", 6, 90 * SECOND_MS, tasks=tasks, kind=WorkKind.BATCH
        )


def inkbridge(seed: int) -> Workload:
    """Return 3 hours of the slip works at month-end, from 09:00 in Taichung (01:00 UTC)."""
    generator = _ArrivalGenerator(seed)
    end_ms = 3 * HOUR_MS
    shares = {"harbour": 4, "foundry": 3, "textile": 2, "school": 1, "temple": 1, "market": 1}
    generator.add(0, "harbour", "portal", 2, end_ms, tasks=4, kind=WorkKind.SERVICE)
    for team, weight in shares.items():
        # Each team submits more than its share can run, in requests of different sizes.
        for at_ms in generator.poisson_times(0, 2 * HOUR_MS, 25 * MINUTE_MS / weight):
            tasks = generator.rng.randint(20, 80)
            generator.add(
                at_ms, team, "render", 7, 8 * MINUTE_MS,
                tasks=tasks, kind=WorkKind.BATCH, repeatable=False,
            )  # fmt: skip
        for at_ms in generator.poisson_times(0, 2 * HOUR_MS, 12 * MINUTE_MS):
            # After 90 minutes all teams cancel their reprints because of a wrong template.
            cancel_ms = 90 * MINUTE_MS if at_ms < 90 * MINUTE_MS else 0
            generator.add(
                at_ms, team, "reprints", 4, 5 * MINUTE_MS,
                tasks=30, kind=WorkKind.BATCH, cancel_ms=cancel_ms,
            )  # fmt: skip
        for at_ms in generator.poisson_times(0, end_ms, 20 * SECOND_MS / math.sqrt(weight)):
            generator.add(at_ms, team, "previews", 1, 800)
    for team in ("foundry", "textile", "market"):
        generator.add(
            HOUR_MS,
            team,
            "merge",
            6,
            6 * MINUTE_MS,
            tasks=12,
            kind=WorkKind.GANG,
            repeatable=False,
        )
    generator.add_infeasible(10 * MINUTE_MS, "market", "reprints")
    queues = {
        "previews": QueueConfig(
            work_class="urgent", cold_start_ms=30 * SECOND_MS, warm_floor=8, reserve_slots=4
        ),
        "portal": QueueConfig(work_class="normal"),
        "merge": QueueConfig(work_class="normal"),
        "render": QueueConfig(work_class="normal"),
        "reprints": QueueConfig(work_class="background"),
    }
    return _make_workload("inkbridge", HOUR_MS, end_ms, shares, queues, 256, generator)


def _make_workload(
    name: str,
    start_of_day_ms: int,
    end_ms: int,
    shares: dict[str, int],
    queues: dict[str, QueueConfig],
    memory_gib: int,
    generator: _ArrivalGenerator,
) -> Workload:
    capacity = Resources(64_000, memory_gib * 1024, 0, 8)
    workers = tuple(
        WorkerInfo(
            worker=WorkerId(f"w{number:02}"),
            address="",
            failure_domain=FailureDomain(f"fd{number // RACK_SIZE % DOMAINS}"),
            rack=RackId(f"r{number // RACK_SIZE}"),
            capacity=capacity,
        )
        for number in range(WORKERS)
    )
    return Workload(
        name=name,
        start_wall_ms=20_000 * DAY_MS + start_of_day_ms,
        end_ms=end_ms,
        shares={TeamId(team): share for team, share in shares.items()},
        queues={QueueId(queue): cfg for queue, cfg in queues.items()},
        workers=workers,
        arrivals=generator.sorted_arrivals(),
    )


WORKLOADS = {"pelucas": pelucas, "inkbridge": inkbridge}
