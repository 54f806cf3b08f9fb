"""State of one pass of planning."""

from dataclasses import dataclass, field

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.workers import Worker

# Gangs that may hold back other work of their band, and of worse ones, from workers at once.
MAX_RESERVATIONS = 2
# Gangs on time are worth idle processors, and the last ones would never run without; between them
# each idle processor makes other work late.
RESERVING_BANDS = frozenset({Band.SERVICE, Band.URGENT, Band.ON_TIME, Band.TOO_LATE})


@dataclass(slots=True)
class SchedulingPass:
    """What a pass has seen and decided until now.

    :param usable: workers that may get work, by pool
    :param by_room: the same, those with most free processors first; made when asked for
    :param advised: steps whose permits are kept valid
    :param looks: late steps that were looked at for a question
    :param reservations: gangs for which workers are held back
    :param late_gangs: late gangs that may wait for room
    :param reserved: band of the gang for which a worker is held back
    :param advice_budget_ms: time of the placement policy that may still be asked for
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
