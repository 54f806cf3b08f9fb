"""Workers of the cell: what is known of each, and what runs there."""

from dataclasses import dataclass, field

from lagoonshelf_core.ids import FailureDomain, RackId, WorkerId
from lagoonshelf_core.jobs.config import PoolId
from lagoonshelf_core.jobs.progress import Run
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources

# A worker shortens longer leases to this.
MAX_LEASE_MS = 10_000
# A worker's clock may be slow by this share.
MAX_CLOCK_DRIFT = 0.02
# Time that a worker takes to end what a lapsed lease held, and a margin.
LEASE_END_MARGIN_MS = 1_000


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """What a worker says of itself in the registry.

    :param born_ms: start of this incarnation, Unix milliseconds
    :param remaining_ms: least time that a draining worker stays
    """

    id: WorkerId
    address: str
    pool: PoolId
    domain: FailureDomain
    rack: RackId
    labels: frozenset[str]
    capacity: Resources
    born_ms: int
    is_draining: bool = False
    remaining_ms: int = 0


@dataclass(slots=True, eq=False)
class Worker:
    """A worker and the runs that hold room on it.

    :param is_listed: in the registry
    :param is_read: its runs have been read by this holder
    :param is_recorded: a successor would know that it may run something
    :param lapse_ms: clock time by which everything there has ended unless renewed
    :param blocks_inherited: may run tasks of a predecessor, and has not been read since
    :param leaves_ms: clock time until which a draining worker stays at least
    """

    info: WorkerInfo
    is_listed: bool = True
    is_read: bool = False
    is_recorded: bool = False
    lapse_ms: int = 0
    drain_end_ms: int = 0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    used: Resources = ZERO_RESOURCES
    services: int = 0
    fillers: int = 0
    is_maintenance_due: bool = False
    blocks_inherited: bool = False

    @property
    def id(self) -> WorkerId:
        """Return the worker's id."""
        return self.info.id

    @property
    def is_usable(self) -> bool:
        """Tell whether the worker may get new work."""
        return (
            self.is_listed
            and self.is_read
            and not self.info.is_draining
            and not self.is_maintenance_due
        )

    def add_run(self, run: Run) -> None:
        """Count a run's room."""
        self.runs[(run.name, run.attempt)] = run
        self.used += allocation_of(run.size, run.is_filler)
        self.services += run.is_service
        self.fillers += run.is_filler

    def remove_run(self, run: Run) -> None:
        """Free a run's room."""
        if self.runs.pop((run.name, run.attempt), None) is None:
            return
        self.used -= allocation_of(run.size, run.is_filler)
        self.services -= run.is_service
        self.fillers -= run.is_filler


def lapse_after_ms(lease_ms: int) -> int:
    """Return the time after which what a lease holds has surely ended.

    :param lease_ms: on the clock of the worker
    """
    return int(lease_ms / (1 - MAX_CLOCK_DRIFT)) + LEASE_END_MARGIN_MS


def allocation_of(size: Resources, is_filler: bool) -> Resources:
    """Return the room that a run holds; a filler's processor time is not counted."""
    if is_filler:
        return Resources(0, size.memory_mib, size.accelerators)
    return size
