"""Measures the processor time that the holder's decisions need for each start.

Usage: python -m bench cell_cost
"""

from bench.cell_load import POOL, CellLoad, JobMix, Outcome, arrivals, config, worker_infos
from lagoonshelf_core.ids import QueueId, TeamId
from lagoonshelf_core.jobs.config import AdviceTiming, Queue, Team
from lagoonshelf_core.resources import Resources

RENDER, MATCH, HOLD = QueueId("render"), QueueId("match"), QueueId("hold")
# Shapes and rates of the three kinds of job of the grown andinas site, for 176 workers; other
# numbers of workers get work in proportion.
MIX_WORKERS = 176
HOST = Resources(64_000, 131_072, 0)
TEAMS = 20
PLENTY_PER_S = 1_000.0
# Members through which the placement policy can be asked at once.
LANES = 45
LOAD_MS = 10_000
WORKER_COUNTS = (25, 176, 1_200)
SEED = 5


def queues() -> list[Queue]:
    """Return the three queues; each asks the placement policy."""
    return [
        Queue(RENDER, "h", "/render/", POOL, 1, 3, 2.2, 1_000, AdviceTiming(340.0, 4.9, 2_000)),
        Queue(MATCH, "h", "/match/", POOL, 2, 2, 4.0, 3_000, AdviceTiming(80.0, 1.1, 2_000)),
        Queue(HOLD, "h", "/hold/", POOL, 0, 3, 1.5, 250, AdviceTiming(11.0, 0.16, 2_000)),
    ]


def mix(factor: float) -> list[JobMix]:
    """Return the kinds of job at a share of the grown site's rates."""
    return [
        JobMix(RENDER, 2.71 * factor, 1, 20, 4_000, Resources(18_000, 33_000, 0), 1.0),
        JobMix(MATCH, 5.59 * factor, 2, 17, 2_200, Resources(6_900, 10_000, 0)),
        JobMix(HOLD, 40.1 * factor, 1, 3, 1_000, Resources(9_900, 14_000, 0), 0.3),
    ]


def teams(rate_per_s: float = PLENTY_PER_S) -> list[Team]:
    """Return the teams, all entitled to the same number of jobs a second."""
    return [Team(TeamId(f"t{number}"), rate_per_s) for number in range(TEAMS)]


def grown_cell(members: list[Team], workers: int, allowed_share: float) -> CellLoad:
    """Return a cell like the grown site's, before any load.

    :param allowed_share: share of the workers that the placement policy allows
    """
    infos = worker_infos(workers, HOST)
    return CellLoad(config(queues(), members), infos, lanes=LANES, allowed_share=allowed_share)


def play(workers: int) -> Outcome:
    """Play the mix on a number of workers."""
    members = teams()
    load = arrivals(mix(workers / MIX_WORKERS), [team.id for team in members], LOAD_MS, SEED)
    return grown_cell(members, workers, 0.5).play(load, LOAD_MS)


def run() -> list[str]:
    """Return a row for each number of workers."""
    rows = []
    for workers in WORKER_COUNTS:
        outcome = play(workers)
        core = outcome.decisions_s / (LOAD_MS / 1000)
        rows.append(
            f"decisions, {workers:>5} workers: {outcome.starts / (LOAD_MS / 1000):>7.1f} starts/s "
            f"{outcome.cost_ms():>6.2f} ms a start {core:>6.3f} cores"
        )
    return rows
