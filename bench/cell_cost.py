"""Measures the processor time that the holder's decisions need for each start.

Usage: python -m bench cell_cost
"""

from bench.cell_load import POOL, CellLoad, JobMix, arrivals, config, worker_infos
from lagoonshelf_core.ids import QueueId, TeamId
from lagoonshelf_core.jobs.config import AdviceTerms, Queue, Team
from lagoonshelf_core.resources import Resources

RENDER, MATCH, HOLD = QueueId("render"), QueueId("match"), QueueId("hold")
# Shapes and rates of the three kinds of job of the grown andinas site, for 176 workers; other
# numbers of workers get work in proportion.
MIX_WORKERS = 176
HOST = Resources(64_000, 131_072, 0)
TEAMS = 20
LOAD_MS = 10_000
WORKER_COUNTS = (25, 176, 1_200)
SEED = 5


def queues() -> list[Queue]:
    """Return the three queues; each asks the placement policy."""
    return [
        Queue(RENDER, "h", "/render/", POOL, 1, 3, 2.2, 1_000, AdviceTerms(340.0, 4.9, 2_000)),
        Queue(MATCH, "h", "/match/", POOL, 2, 2, 4.0, 3_000, AdviceTerms(80.0, 1.1, 2_000)),
        Queue(HOLD, "h", "/hold/", POOL, 0, 3, 1.5, 250, AdviceTerms(11.0, 0.16, 2_000)),
    ]


def mix(factor: float) -> list[JobMix]:
    """Return the kinds of job at a share of the grown site's rates."""
    return [
        JobMix(RENDER, 2.71 * factor, 1, 20, 4_000, Resources(18_000, 33_000, 0), 1.0),
        JobMix(MATCH, 5.59 * factor, 2, 17, 2_200, Resources(6_900, 10_000, 0)),
        JobMix(HOLD, 40.1 * factor, 1, 3, 1_000, Resources(9_900, 14_000, 0), 0.3),
    ]


def play(workers: int, load_ms: int = LOAD_MS) -> CellLoad:
    """Play the mix on a number of workers."""
    teams = [Team(TeamId(f"t{number}"), 1_000.0) for number in range(TEAMS)]
    cell_load = CellLoad(
        config(queues(), teams),
        worker_infos(workers, HOST),
        lanes=45,
        allowed_share=0.5,
    )
    load = arrivals(mix(workers / MIX_WORKERS), [team.id for team in teams], load_ms, SEED)
    cell_load.play(load, load_ms)
    return cell_load


def run() -> list[str]:
    """Return a row for each number of workers."""
    rows = []
    for workers in WORKER_COUNTS:
        outcome = play(workers).outcome
        core = outcome.decisions_s / (LOAD_MS / 1000)
        rows.append(
            f"decisions, {workers:>5} workers: {outcome.starts / (LOAD_MS / 1000):>7.1f} starts/s "
            f"{outcome.cost_ms():>6.2f} ms a start {core:>6.3f} cores"
        )
    return rows
