"""What the process needs from outside systems; adapters implement it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NewType, Protocol

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.cell import EndedRow, RunningRow
from lagoonshelf_core.jobs.config import CellConfig
from lagoonshelf_core.jobs.waves import MachineId, MachineView, WaveSpec
from lagoonshelf_core.jobs.workers import WorkerInfo

StoreRevision = NewType("StoreRevision", int)
StoreLease = NewType("StoreLease", int)
NO_LEASE = StoreLease(0)
ABSENT = StoreRevision(0)


class StoreUnavailableError(Exception):
    """The store did not do what was asked, and will not do it later."""


class StoreUncertainError(Exception):
    """The store gave no answer; what was asked may be done now or later."""


class HistoryLostError(Exception):
    """The store no longer has the changes that were asked for."""


@dataclass(frozen=True, slots=True)
class Item:
    """One key of the store."""

    key: str
    value: bytes
    revision: StoreRevision
    created: StoreRevision = ABSENT


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one key; ``item`` is none when it was deleted."""

    key: str
    revision: StoreRevision
    item: Item | None


@dataclass(frozen=True, slots=True)
class Put:
    """A value to be written."""

    key: str
    value: bytes
    lease: StoreLease = NO_LEASE


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction took effect."""

    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction did not take effect; ``items`` are the present state of its conditions."""

    items: tuple[Item, ...]


class Store(Protocol):
    """The platform's key-value store.

    Calls raise ``StoreUnavailableError`` or ``StoreUncertainError``.
    """

    async def read(self, key: str) -> Item | None:
        """Return a key's item, none when there is no such key."""

    async def read_all(self, prefix: str, *, stale: bool = False) -> tuple[list[Item], int]:
        """Return the items under a prefix, and a revision from which to watch."""

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> tuple[list[Change], StoreRevision]:
        """Return changes after a revision, and the revision to continue from.

        :raises HistoryLostError: when the changes are no longer kept
        """

    async def commit(
        self,
        conditions: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
        *,
        timeout_ms: int | None = None,
    ) -> Committed | Conflict | None:
        """Write when each key has the given revision; none when a lease has ended."""

    async def grant_lease(self, ttl_ms: int) -> StoreLease:
        """Begin a lease."""

    async def keep_lease(self, lease: StoreLease) -> bool:
        """Renew a lease; tell whether it still existed."""

    def last_answer_ms(self) -> int:
        """Return the clock time of the store's last answer, 0 for none."""

    def trouble_ms(self) -> int:
        """Return the clock time of the last call that failed or was slow, 0 for none."""

    def is_failing(self) -> bool:
        """Tell whether the last calls were not answered."""


class StartOutcome(Enum):
    """What a worker said of a start."""

    STARTED = "started"
    FENCED = "fenced"
    ATTEMPT_TOO_LOW = "attempt too low"
    TOO_LATE = "too late"
    NO_ROOM = "no room"
    PERMIT_REFUSED = "permit refused"
    OTHER_INCARNATION = "other incarnation"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class StopOutcome(Enum):
    """What a worker said of a stop or a pace."""

    DONE = "done"
    FENCED = "fenced"
    REFUSED = "refused"


class WorkerUnreachableError(Exception):
    """The order was not sent."""


class WorkerGoneError(Exception):
    """Another incarnation answers at the worker's address, so nothing runs on this one."""


class NoAnswerError(Exception):
    """No answer came; the order may be carried out now or later."""


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Order to start a run.

    :param until_ms: end of the lease of all runs there, on the worker's clock
    """

    task: str
    attempt: int
    payload: str
    lease_end_ms: int
    token: int
    checkpoint: str = ""
    permit: str = ""


@dataclass(frozen=True, slots=True)
class WorkerReply:
    """An answer with the worker's clock, 0 when it did not say."""

    outcome: StartOutcome | StopOutcome
    worker_clock_ms: int


@dataclass(frozen=True, slots=True)
class Listing:
    """What a worker runs and what has ended there.

    :param is_fenced: a higher token was seen there; the lists are empty
    :param born_ms: incarnation, 0 when it did not say
    """

    worker_clock_ms: int
    born_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    is_fenced: bool = False


class WorkerPort(Protocol):
    """Orders to workers; calls raise ``WorkerUnreachableError`` or ``NoAnswerError``."""

    async def start(
        self, worker: WorkerInfo, request: StartRequest, timeout_ms: int
    ) -> WorkerReply:
        """Start a run."""

    async def stop(
        self, worker: WorkerInfo, task: str, attempt: int, token: int, timeout_ms: int
    ) -> WorkerReply:
        """Stop a run, also one that is not there yet."""

    async def pace(
        self,
        worker: WorkerInfo,
        task: str,
        attempt: int,
        percent: int,
        token: int,
        timeout_ms: int,
    ) -> WorkerReply:
        """Let a run work at a share of full speed."""

    async def list_runs(
        self,
        worker: WorkerInfo,
        token: int,
        acked_end: int,
        lease_end_ms: int | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> Listing:
        """Renew the lease of all runs and list them, as soon as there is a new end.

        Raises ``WorkerGoneError`` besides.

        :param seen_end: number of the last end that is recorded
        :param until_ms: end of the lease on the worker's clock, none to leave it
        """

    def forget(self, worker: WorkerInfo) -> None:
        """Close the connections to a worker."""


class AdvicePort(Protocol):
    """The placement policy; calls raise ``NoAnswerError``."""

    async def request_advice(self, step: str, workers: Sequence[WorkerId]) -> dict[WorkerId, str]:
        """Return the permits of the workers that may run a step."""


class MaintenanceOutcome(Enum):
    """What the platform said of an order to a machine."""

    BEGUN = "begun"
    FENCED = "fenced"
    REFUSED = "refused"


class MachinePort(Protocol):
    """Machines of the platform; calls raise ``NoAnswerError``."""

    async def list_machines(self) -> list[MachineView]:
        """Return all machines."""

    async def begin_maintenance(
        self, machine: MachineId, wave: int, leader: str, token: int
    ) -> MaintenanceOutcome:
        """Begin a machine's upkeep; also answered so when it has begun before."""


class PlatformCodec(Protocol):
    """Decoding of what others write into the store."""

    config_key: str
    registry_prefix: str
    wave_prefix: str

    def decode_wave(self, data: bytes) -> WaveSpec | None:
        """Return a wave of upkeep, none when it cannot be read."""

    def wave_status_key(self, number: int) -> str:
        """Return the key under which the operator looks for a wave's status."""

    def encode_wave_status(self, number: int, *, is_complete: bool) -> bytes:
        """Return a wave's status for the operator."""

    def is_wave_complete(self, data: bytes) -> bool:
        """Tell whether a status says that its wave is complete."""

    def decode_config(self, data: bytes) -> CellConfig | None:
        """Return a configuration, none when it cannot be read."""

    def decode_worker(self, key: str, data: bytes) -> WorkerInfo | None:
        """Return a registry entry, none when it names no worker to use."""
