"""Measures the processor time of the leader's scheduling decisions for each start.

The decisions are measured without the optional parts, and for the smaller cells with the model of
the workers' speeds as well.

Usage: python -m bench cell_cost
"""

from bench.cell_simulation import (
    POOL,
    CellSimulation,
    JobKind,
    SimulationResult,
    generate_arrivals,
    make_config,
    make_worker_infos,
)
from lagoonshelf_core.ids import QueueId, TeamId
from lagoonshelf_core.jobs.config import AdviceTiming, Queue, Team
from lagoonshelf_core.jobs.options import DEFAULT_OPTIONS, SchedulerOptions
from lagoonshelf_core.resources import Resources

RENDER, MATCH, HOLD = QueueId("render"), QueueId("match"), QueueId("hold")
# The job kinds have the sizes and rates of the grown andinas site, which has this many workers.
# Rates are scaled in proportion for other numbers of workers.
SITE_WORKERS = 176
WORKER_CAPACITY = Resources(64_000, 131_072, 0)
TEAMS = 20
UNLIMITED_RATE_PER_S = 1_000.0
# Number of members that send requests to the placement policy in parallel.
ADVICE_MEMBERS = 45
LOAD_MS = 10_000
WORKER_COUNTS = (25, 176, 1_200)
WITH_SPEEDS = SchedulerOptions(models_worker_speed=True)
CASES = (
    *((count, DEFAULT_OPTIONS, "") for count in WORKER_COUNTS),
    *((count, WITH_SPEEDS, ", speeds") for count in WORKER_COUNTS[:2]),
)
SEED = 5


def make_queues() -> list[Queue]:
    """Return the three queues, all of which need the advice of the placement policy."""
    return [
        Queue(RENDER, "h", "/render/", POOL, 1, 3, 2.2, 1_000, AdviceTiming(340.0, 4.9, 2_000)),
        Queue(MATCH, "h", "/match/", POOL, 2, 2, 4.0, 3_000, AdviceTiming(80.0, 1.1, 2_000)),
        Queue(HOLD, "h", "/hold/", POOL, 0, 3, 1.5, 250, AdviceTiming(11.0, 0.16, 2_000)),
    ]


def make_job_kinds(rate_factor: float) -> list[JobKind]:
    """Return the job kinds of the grown site with their rates multiplied by a factor."""
    return [
        JobKind(RENDER, 2.71 * rate_factor, 1, 20, 4_000, Resources(18_000, 33_000, 0), 1.0),
        JobKind(MATCH, 5.59 * rate_factor, 2, 17, 2_200, Resources(6_900, 10_000, 0)),
        JobKind(HOLD, 40.1 * rate_factor, 1, 3, 1_000, Resources(9_900, 14_000, 0), 0.3),
    ]


def make_teams(rate_per_s: float = UNLIMITED_RATE_PER_S) -> list[Team]:
    """Return the teams, all with the same entitled rate of jobs per second."""
    return [Team(TeamId(f"t{number}"), rate_per_s) for number in range(TEAMS)]


def new_simulation(
    teams: list[Team],
    workers: int,
    allowed_share: float,
    options: SchedulerOptions = DEFAULT_OPTIONS,
) -> CellSimulation:
    """Return a simulation of a cell like the grown site's, without jobs.

    :param allowed_share: fraction of the workers that the placement policy allows
    """
    infos = make_worker_infos(workers, WORKER_CAPACITY)
    return CellSimulation(
        make_config(make_queues(), teams),
        infos,
        advice_members=ADVICE_MEMBERS,
        allowed_share=allowed_share,
        options=options,
    )


def simulate(workers: int, options: SchedulerOptions = DEFAULT_OPTIONS) -> SimulationResult:
    """Simulate the load of the grown site, scaled to a number of workers."""
    teams = make_teams()
    load = generate_arrivals(
        make_job_kinds(workers / SITE_WORKERS), [team.id for team in teams], LOAD_MS, SEED
    )
    return new_simulation(teams, workers, 0.5, options).run(load, LOAD_MS)


def run() -> list[str]:
    """Return one line for each case."""
    rows = []
    for workers, options, name in CASES:
        result = simulate(workers, options)
        cores = result.decision_cpu_s / (LOAD_MS / 1000)
        rows.append(
            f"decisions, {workers:>5} workers: {result.starts / (LOAD_MS / 1000):>7.1f} starts/s "
            f"{result.cpu_ms_per_start():>6.2f} ms per start {cores:>6.3f} cores{name}"
        )
    return rows
