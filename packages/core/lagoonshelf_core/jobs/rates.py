"""Rate limit for the jobs of each team."""

from dataclasses import dataclass

from lagoonshelf_core.ids import TeamId
from lagoonshelf_core.jobs.config import Team

# The users' limits on rates: a burst of up to RATE_WINDOW_S seconds at a team's rate, plus
# EXTRA_BURST_JOBS jobs.
RATE_WINDOW_S = 5.0
EXTRA_BURST_JOBS = 20.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    at_ms: int


class TeamRates:
    """A token bucket for each team."""

    def __init__(self) -> None:
        """Start with full buckets."""
        self._buckets: dict[TeamId, _Bucket] = {}

    def admit(self, team: Team, now_ms: int) -> bool:
        """Count a job; return whether it is within the team's rate."""
        burst = team.weight * RATE_WINDOW_S + EXTRA_BURST_JOBS
        bucket = self._buckets.setdefault(team.id, _Bucket(burst, now_ms))
        gained = (now_ms - bucket.at_ms) * team.weight / 1000.0
        bucket.tokens = min(burst, bucket.tokens + gained)
        bucket.at_ms = now_ms
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True
