"""Load test: one team submits as many jobs as all others together, beyond its rate.

On the overload days of both sites, short jobs of the hot team were scheduled in order of receipt,
so each of them waited until it was late while a third of all processors was kept free.
"""

import unittest
from unittest.mock import patch

from bench.cell_cost import HOLD, MATCH, RENDER, make_job_kinds, make_teams, new_simulation
from bench.cell_simulation import Arrival, generate_arrivals
from lagoonshelf_core.ids import QueueId
from lagoonshelf_core.jobs import planning
from lagoonshelf_core.jobs.capacity import RESERVE_PERMILLE
from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.progress import StepRun
from lagoonshelf_core.jobs.ranking import Band, Rank, rank

WORKERS = 176
RATE_PER_S = 4.0
TEAMS = make_teams(RATE_PER_S)
HOT = TEAMS[0].id
LOAD_MS = 12_000
END_MS = 40_000
# Former share of each worker's processors that excess jobs left free, in thousandths.
FORMER_RESERVE_PERMILLE = 300


def _load() -> list[Arrival]:
    members = [team.id for team in TEAMS]
    return generate_arrivals(make_job_kinds(1.6), members + [HOT] * len(members), LOAD_MS, 5)


def _shares_in_time(load: list[Arrival]) -> dict[tuple[bool, QueueId], float]:
    """Return the share of jobs in time by hot team or not, and by queue."""
    outcome = new_simulation(TEAMS, WORKERS, 0.45).run(load, END_MS)
    counts: dict[tuple[bool, QueueId], list[int]] = {}
    for row in load:
        count = counts.setdefault((row.spec.team == HOT, row.spec.queue), [0, 0])
        count[0] += 1
        count[1] += row.spec.id in outcome.in_time_jobs
    return {key: in_time / all_ for key, (all_, in_time) in counts.items()}


def _former_rank(step: StepRun, queue: Queue, now_ms: int, pool_rate: float = 1.0) -> Rank:
    band, value = rank(step, queue, now_ms, pool_rate)
    if band in (Band.EXCESS, Band.EXCESS_LATE):
        return (Band.EXCESS, step.job.received_ms)
    return (band, value)


class HotTeamTest(unittest.TestCase):
    """Load of 1.6 times the rate of the grown mix, half of it from one team."""

    def test_hot_team_uses_spare_capacity_without_delaying_others(self) -> None:
        """More of its jobs end in time than with the former order and reserve on the same load."""
        load = _load()
        reserve = dict.fromkeys((Band.EXCESS, Band.TOO_LATE), FORMER_RESERVE_PERMILLE)
        with (
            patch.object(planning, "rank", _former_rank),
            patch.dict(RESERVE_PERMILLE, reserve),
        ):
            former = _shares_in_time(load)
        current = _shares_in_time(load)
        self.assertGreater(current[(True, HOLD)], former[(True, HOLD)] + 0.2)
        self.assertGreater(current[(True, RENDER)], former[(True, RENDER)])
        for queue in (RENDER, MATCH, HOLD):
            self.assertGreaterEqual(current[(False, queue)], 0.98 * former[(False, queue)])
            self.assertGreaterEqual(current[(False, queue)], 0.95)
