"""Rate of the starts on cold workers, which are slow for some time after their own start."""

from lagoonshelf_core.jobs.config import Pool, PoolId

# The platform's tolerance where its settings give none: starts on cold workers stay below this
# multiple of a pool's rate, beside this many at once.
DEFAULT_OVERAGE = 1.5
DEFAULT_SLACK = 5.0
# Starts arrive at the workers later than they are decided, and so closer together. Half of the
# slack is left for that.
BURST_SHARE = 0.5


class ColdStarts:
    """Starts that the cold workers of each pool may still get."""

    def __init__(self, overage: float = DEFAULT_OVERAGE, slack: float = DEFAULT_SLACK) -> None:
        """Start with full budgets.

        :param overage: starts on cold workers per start that a pool's rate allows
        :param slack: starts beyond that
        """
        self._overage = overage
        self._burst = max(1.0, BURST_SHARE * slack)
        self._budgets: dict[PoolId, tuple[float, int]] = {}

    def left(self, pool: Pool, workers: int, now_ms: int) -> int | None:
        """Return how many starts cold workers of a pool may get now, ``None`` for no limit.

        :param workers: 1, or the number of cold workers if the pool has no others, as its work
            would otherwise wait for all of them to be warm
        """
        if not pool.cold_starts_per_s:
            return None
        burst = self._burst * workers
        budget, at_ms = self._budgets.get(pool.id, (burst, now_ms))
        gained = (now_ms - at_ms) * pool.cold_starts_per_s * self._overage * workers / 1000
        budget = min(burst, budget + gained)
        self._budgets[pool.id] = (budget, now_ms)
        return int(budget)

    def count(self, pool: PoolId) -> None:
        """Count a start on a cold worker."""
        if pool in self._budgets:
            budget, at_ms = self._budgets[pool]
            self._budgets[pool] = (budget - 1.0, at_ms)
