"""Interfaces to external systems, implemented by adapters."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NewType, Protocol

from lagoonshelf_core.ids import FailureDomain, WorkerId
from lagoonshelf_core.jobs.config import CellConfig
from lagoonshelf_core.jobs.waves import MachineId, MachineView, WaveSpec
from lagoonshelf_core.jobs.worker_reports import EndedRow, RunningRow
from lagoonshelf_core.jobs.workers import WorkerInfo

StoreRevision = NewType("StoreRevision", int)
StoreLease = NewType("StoreLease", int)
NO_LEASE = StoreLease(0)
ABSENT = StoreRevision(0)


class StoreUnavailableError(Exception):
    """The store did not carry out the call and will not do so later."""


class StoreUncertainError(Exception):
    """The store did not answer; the call may still take effect."""


class HistoryLostError(Exception):
    """The store no longer keeps the requested changes, or they are too many for one response."""


@dataclass(frozen=True, slots=True)
class Item:
    """Key of the store with its value and revisions."""

    key: str
    value: bytes
    revision: StoreRevision
    created: StoreRevision = ABSENT


@dataclass(frozen=True, slots=True)
class Change:
    """Change of one key; ``item`` is ``None`` if the key was deleted."""

    key: str
    revision: StoreRevision
    item: Item | None


@dataclass(frozen=True, slots=True)
class Put:
    """Write of one key."""

    key: str
    value: bytes
    lease: StoreLease = NO_LEASE


@dataclass(frozen=True, slots=True)
class Committed:
    """Result of a transaction that took effect."""

    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a transaction without effect; ``items`` are its condition keys as they are now."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class Page:
    """Some of the items under a prefix, in the order of their keys.

    :param revision: revision of the store when the page was read
    """

    items: tuple[Item, ...]
    revision: StoreRevision
    has_more: bool


class Store(Protocol):
    """The platform's key-value store.

    Calls raise ``StoreUnavailableError`` or ``StoreUncertainError``.
    """

    async def read(self, key: str, *, timeout_ms: int | None = None) -> Item | None:
        """Return the item of a key, ``None`` if there is no such key.

        :param timeout_ms: longest time without any data of the response
        """

    async def read_all(self, prefix: str, *, stale: bool = False) -> tuple[list[Item], int]:
        """Return the items under a prefix and the revision to watch from."""

    async def read_page(self, prefix: str, after: str, *, stale: bool = False) -> Page:
        """Return the items under a prefix that follow a key, as many as fit into one response.

        :param after: last key of the previous page, empty for the first one
        """

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> tuple[list[Change], StoreRevision]:
        """Return the changes after a revision and the revision to continue from.

        :raises HistoryLostError: if the changes are no longer kept
        """

    async def commit(
        self,
        conditions: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
        *,
        timeout_ms: int | None = None,
    ) -> Committed | Conflict | None:
        """Write if each key has the given revision; return ``None`` if a lease has expired."""

    async def grant_lease(self, ttl_ms: int) -> StoreLease:
        """Grant a lease."""

    async def keep_lease(self, lease: StoreLease) -> bool:
        """Renew a lease; return whether it still existed."""

    def last_answer_ms(self) -> int:
        """Return the clock time of the store's last answer, 0 if there was none."""

    def trouble_ms(self) -> int:
        """Return the clock time of the last failed or slow call, 0 if there was none."""

    def is_failing(self) -> bool:
        """Return whether the last calls were not answered."""


class StartOutcome(Enum):
    """Answer of a worker to a start command."""

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
    """Answer of a worker to a stop or pace command."""

    DONE = "done"
    FENCED = "fenced"
    REFUSED = "refused"


class WorkerUnreachableError(Exception):
    """The command was not sent."""


class WorkerGoneError(Exception):
    """Another incarnation answers at the worker's address, so this one has no runs."""


class NoAnswerError(Exception):
    """No answer was received; the command may still take effect."""


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Command to start a run.

    :param lease_end_ms: end of the lease of all runs of the worker, on the worker's clock
    :param token: fencing token of the leader
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
    """Answer of a worker with its clock, 0 if not reported."""

    outcome: StartOutcome | StopOutcome
    worker_clock_ms: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Running and ended runs of a worker.

    :param is_fenced: the worker has seen a higher fencing token; the lists are empty
    :param born_ms: incarnation of the worker, 0 if not reported
    :param may_be_cut: further runs may have ended, which are listed once these are acknowledged
    """

    worker_clock_ms: int
    born_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    is_fenced: bool = False
    may_be_cut: bool = False


class WorkerPort(Protocol):
    """Commands to workers; calls raise ``WorkerUnreachableError`` or ``NoAnswerError``."""

    async def start(
        self, worker: WorkerInfo, request: StartRequest, timeout_ms: int
    ) -> WorkerReply:
        """Start a run."""

    async def stop(
        self, worker: WorkerInfo, task: str, attempt: int, token: int, timeout_ms: int
    ) -> WorkerReply:
        """Stop a run, also one whose start command has not arrived yet."""

    async def pace(
        self,
        worker: WorkerInfo,
        task: str,
        attempt: int,
        percent: int,
        token: int,
        timeout_ms: int,
    ) -> WorkerReply:
        """Set the share of full speed at which a run works."""

    async def list_runs(
        self,
        worker: WorkerInfo,
        token: int,
        acked_end: int,
        lease_end_ms: int | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> Listing:
        """Renew the lease of all runs and list them once there is a new end or the wait is over.

        Also raises ``WorkerGoneError``.

        :param acked_end: number of the last end that is durable
        :param lease_end_ms: end of the lease on the worker's clock, ``None`` to not renew it
        """

    def forget(self, worker: WorkerInfo) -> None:
        """Close the connections to a worker."""


class AdvicePort(Protocol):
    """Placement policy; calls raise ``NoAnswerError``."""

    async def request_advice(self, step: str, workers: Sequence[WorkerId]) -> dict[WorkerId, str]:
        """Return the permits of those workers that may run a step."""


class MaintenanceOutcome(Enum):
    """Answer of the platform to a maintenance command."""

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
        """Start maintenance of a machine; also return ``BEGUN`` if it was started before."""


class PlatformCodec(Protocol):
    """Encoding and decoding of platform data in the store."""

    config_key: str
    registry_prefix: str
    wave_prefix: str
    evacuation_prefix: str

    def decode_wave(self, data: bytes) -> WaveSpec | None:
        """Return a maintenance wave, ``None`` if it cannot be decoded."""

    def decode_evacuation(self, key: str) -> FailureDomain | None:
        """Return the failure domain that a key evacuates, ``None`` if it is malformed."""

    def wave_status_key(self, number: int) -> str:
        """Return the key where the operator reads the status of a wave."""

    def encode_wave_status(self, number: int, *, is_complete: bool) -> bytes:
        """Return the encoded status of a wave."""

    def is_wave_complete(self, data: bytes) -> bool:
        """Return whether an encoded status marks its wave as complete."""

    def decode_config(self, data: bytes) -> CellConfig | None:
        """Return a configuration, ``None`` if it cannot be decoded."""

    def decode_worker(self, key: str, data: bytes) -> WorkerInfo | None:
        """Return a registered worker, ``None`` if the entry is not a usable worker."""
