"""State of one scheduling pass."""

from dataclasses import dataclass, field

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.workers import Worker

# Gangs in one pass that may reserve workers against other steps of their band and lower ones.
MAX_RESERVATIONS = 2
# Gangs that are on time are worth idle processors, and gangs of the last band would never run
# without a reservation. In the bands between, each idle processor makes other work late.
RESERVING_BANDS = frozenset({Band.SERVICE, Band.URGENT, Band.ON_TIME, Band.TOO_LATE})


@dataclass(slots=True)
class SchedulingPass:
    """State and decisions of a pass so far.

    :param usable: workers that may get tasks, by pool
    :param by_free_cpu: usable workers by pool, those with the most free CPU first; sorted on
        first use
    :param advised_steps: number of steps whose permits are kept valid
    :param late_checks: number of late steps checked for an advice request
    :param reservations: number of gangs with reserved workers
    :param late_gangs: number of late gangs that may wait for capacity
    :param reserved_bands: band of the gang that a worker is reserved for
    :param advice_budget_ms: time of the placement policy that requests may still use
    """

    now_ms: int
    usable: dict[str, dict[WorkerId, Worker]]
    by_free_cpu: dict[str, list[Worker]] = field(default_factory=dict)
    advised_steps: int = 0
    late_checks: int = 0
    reservations: int = 0
    late_gangs: int = 0
    reserved_bands: dict[WorkerId, Band] = field(default_factory=dict)
    advice_budget_ms: float = 0.0
