"""Dominant resource fairness: each team's dominant share over a sliding window.

The dominant share is an exponential moving average, compared with the configured share.
"""

from dataclasses import dataclass
from math import exp

from lagoonshelf_core.ids import TeamId
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources

WINDOW_MS = 5 * 60 * 1000
# 95% of the weight of an exponential average lies within three time constants.
TIME_CONSTANT_MS = WINDOW_MS / 3
# Weight of the current allocation in the score. The average does not change within a pass, so
# without it one team would get all the capacity that a pass finds.
CURRENT_WEIGHT = 0.5
DEFAULT_SHARE = 1

Amounts = tuple[float, float, float, float]


@dataclass(slots=True)
class _TeamUsage:
    """A team's resource usage.

    :param allocated: resources allocated to the team's tasks now
    :param level: allocation since ``as_of_ms``, to which the average converges
    :param average: exponential moving average at ``as_of_ms``
    """

    as_of_ms: int
    allocated: Resources = ZERO_RESOURCES
    tasks: int = 0
    level: Amounts = (0.0, 0.0, 0.0, 0.0)
    average: Amounts = (0.0, 0.0, 0.0, 0.0)


def _amounts(size: Resources) -> Amounts:
    return (size.cpu_milli, size.memory_mib, size.accelerators, size.slots)


def _decayed_average(usage: _TeamUsage, now_ms: int) -> Amounts:
    elapsed_ms = now_ms - usage.as_of_ms
    if elapsed_ms <= 0:
        return usage.average
    retained = exp(-elapsed_ms / TIME_CONSTANT_MS)
    pairs = zip(usage.average, usage.level, strict=True)
    return tuple(old * retained + level * (1.0 - retained) for old, level in pairs)


class Fairness:
    """Resource usage of the teams in a partition.

    Changes between two passes enter the average at the next ``update_averages``. The error is
    the time until the next pass, which is short because a release triggers one.
    """

    def __init__(self) -> None:
        """Initialize without usage."""
        self._now_ms = 0
        self._shares: dict[TeamId, int] = {}
        self._usages: dict[TeamId, _TeamUsage] = {}
        self._changed: set[TeamId] = set()

    def set_shares(self, shares: dict[TeamId, int]) -> None:
        """Replace the teams' configured shares."""
        self._shares = dict(shares)

    def share(self, team: TeamId) -> int:
        """Return a team's configured share, or the default for an unknown team."""
        return self._shares.get(team, DEFAULT_SHARE)

    def add_usage(self, team: TeamId, size: Resources, tasks: int) -> None:
        """Add to a team's allocated resources.

        :param size: difference; amounts may be negative
        :param tasks: difference in the number of tasks
        """
        usage = self._usages.get(team)
        if usage is None:
            usage = self._usages[team] = _TeamUsage(self._now_ms)
        usage.allocated += size
        usage.tasks += tasks
        self._changed.add(team)

    def update_averages(self, now_ms: int) -> None:
        """Update the averages of the teams whose usage has changed."""
        self._now_ms = max(self._now_ms, now_ms)
        for team in self._changed:
            usage = self._usages[team]
            usage.average = _decayed_average(usage, self._now_ms)
            usage.as_of_ms = self._now_ms
            usage.level = _amounts(usage.allocated)
        self._changed.clear()

    def allocated(self, team: TeamId) -> tuple[int, Resources]:
        """Return the number and the total size of a team's allocated tasks."""
        usage = self._usages.get(team)
        return (usage.tasks, usage.allocated) if usage else (0, ZERO_RESOURCES)

    def active_teams(self) -> list[TeamId]:
        """Return the teams with allocated tasks."""
        return [team for team, usage in self._usages.items() if usage.tasks > 0]

    def window_share(self, team: TeamId, capacity: Resources) -> float:
        """Return a team's dominant share over the window."""
        usage = self._usages.get(team)
        return _dominant_share(_decayed_average(usage, self._now_ms), capacity) if usage else 0.0

    def score(self, team: TeamId, capacity: Resources) -> float:
        """Return a team's usage relative to its share; the lowest score goes first."""
        usage = self._usages.get(team)
        if usage is None:
            return 0.0
        average = _decayed_average(usage, self._now_ms)
        pairs = zip(average, _amounts(usage.allocated), strict=True)
        blended = tuple(mean + CURRENT_WEIGHT * (current - mean) for mean, current in pairs)
        return _dominant_share(blended, capacity) / self.share(team)


def _dominant_share(amounts: Amounts, capacity: Resources) -> float:
    pairs = zip(amounts, _amounts(capacity), strict=True)
    return max((used / whole for used, whole in pairs if whole > 0), default=0.0)
