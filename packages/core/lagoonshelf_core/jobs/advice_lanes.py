"""Division of the placement policy's time between short and long requests.

The policy serves the requests of one member in sequence. An urgent step whose request takes some
milliseconds would wait behind requests that take half a second, and be late before it has any
permit. Some members therefore carry short requests only.
"""

from dataclasses import dataclass

# Requests up to this duration may use any member. A step that waits for one of them on its member
# loses a small part of the 250 ms in which urgent work has to start.
SHORT_REQUEST_MS = 50.0
# Share of the members that carry short requests only. In cells with fewer members than
# MIN_MEMBERS_FOR_LANES long requests need all of them: a burst of wide jobs keeps each busy.
SHORT_LANE_SHARE = 0.25
MIN_MEMBERS_FOR_LANES = 16


@dataclass(slots=True)
class AdviceBudget:
    """Time of the placement policy that new requests may use.

    :param total_ms: time of all members
    :param long_ms: time of the members that carry long requests, ``None`` if all do
    :param full_ms: time of all members if none had a request; that is left now by default
    """

    total_ms: float = 0.0
    long_ms: float | None = None
    full_ms: float = -1.0

    def __post_init__(self) -> None:
        """Take what is left now as the full time if that is not given."""
        if self.full_ms < 0:
            self.full_ms = self.total_ms

    def allows(self, cost_ms: float) -> bool:
        """Return whether there is time for a request."""
        return self._available_ms(cost_ms) >= cost_ms

    def take(self, cost_ms: float) -> None:
        """Use the time of a request."""
        self.total_ms -= cost_ms
        if self.long_ms is not None and cost_ms > SHORT_REQUEST_MS:
            self.long_ms -= cost_ms

    def _available_ms(self, cost_ms: float) -> float:
        if self.long_ms is None or cost_ms <= SHORT_REQUEST_MS:
            return self.total_ms
        return min(self.total_ms, self.long_ms)


def count_short_lanes(members: int) -> int:
    """Return how many of some members carry short requests only."""
    if members < MIN_MEMBERS_FOR_LANES:
        return 0
    return max(1, int(SHORT_LANE_SHARE * members))
