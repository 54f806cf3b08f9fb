"""What each worker of a partition holds, what is promised, and what is available."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.model import WorkerInfo, WorkerState
from lagoonshelf_core.placement import Placement
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources


@dataclass(slots=True)
class WorkerRoom:
    """One worker's account.

    :param info: none while only tasks adopted from it are known
    :param held: room of starting, running, throttled and stopping tasks
    :param promised: room set aside for waiting tasks
    :param coming: part of ``held`` that tasks asked to yield are about to free
    """

    info: WorkerInfo | None = None
    state: WorkerState = WorkerState.UNREAD
    held: Resources = ZERO_RESOURCES
    promised: Resources = ZERO_RESOURCES
    coming: Resources = ZERO_RESOURCES
    tasks: set[TaskId] = field(default_factory=set)
    available: Resources = ZERO_RESOURCES


class Room:
    """Accounts of all workers; keeps the placement index in step."""

    def __init__(self) -> None:
        """Start without workers."""
        self.placement = Placement()
        self.capacity = ZERO_RESOURCES
        self.free_slots = 0
        self._accounts: dict[WorkerId, WorkerRoom] = {}
        self._counted_slots: dict[WorkerId, int] = {}

    def set_worker(self, info: WorkerInfo, state: WorkerState) -> None:
        """Add a worker or change what is known of it."""
        account = self._accounts.setdefault(info.worker, WorkerRoom())
        if account.info is not None:
            self.capacity -= account.info.capacity
            self.placement.drop(info.worker, account.info.failure_domain)
        self.capacity += info.capacity
        account.info = info
        account.state = state
        self._refresh(info.worker, account)

    def remove_worker(self, worker: WorkerId) -> None:
        """Forget a worker; tasks that it still holds stay counted until they are released."""
        account = self._accounts.get(worker)
        if account is None or account.info is None:
            return
        self.capacity -= account.info.capacity
        self.placement.drop(worker, account.info.failure_domain)
        self.free_slots -= self._counted_slots.pop(worker, 0)
        account.info = None
        account.state = WorkerState.GONE
        self._forget_if_empty(worker, account)

    def hold(self, worker: WorkerId, task: TaskId, size: Resources) -> None:
        """Count a task on a worker."""
        account = self._accounts.setdefault(worker, WorkerRoom())
        account.tasks.add(task)
        account.held += size
        self._refresh(worker, account)

    def free(self, worker: WorkerId, task: TaskId, size: Resources) -> None:
        """End counting a task on a worker."""
        account = self._accounts[worker]
        account.tasks.discard(task)
        account.held -= size
        self._refresh(worker, account)
        self._forget_if_empty(worker, account)

    def resize(self, worker: WorkerId, old: Resources, new: Resources) -> None:
        """Change what a held task counts for."""
        account = self._accounts[worker]
        account.held += new - old
        self._refresh(worker, account)

    def promise(self, worker: WorkerId, size: Resources) -> None:
        """Set room aside; the available room may become negative until tasks end."""
        account = self._accounts[worker]
        account.promised += size
        self._refresh(worker, account)

    def withdraw(self, worker: WorkerId, size: Resources) -> None:
        """End a promise."""
        account = self._accounts.get(worker)
        if account is None:
            return
        account.promised -= size
        self._refresh(worker, account)
        self._forget_if_empty(worker, account)

    def expect(self, worker: WorkerId, size: Resources) -> None:
        """Add to the room that tasks asked to yield are about to free."""
        self._accounts[worker].coming += size

    def expected(self, worker: WorkerId) -> Resources:
        """Return a worker's available room after the tasks asked to yield have done so."""
        account = self._accounts.get(worker)
        return account.available + account.coming if account else ZERO_RESOURCES

    def account(self, worker: WorkerId) -> WorkerRoom | None:
        """Return a worker's account, or none."""
        return self._accounts.get(worker)

    def is_ready(self, worker: WorkerId) -> bool:
        """Tell whether a worker may get new tasks."""
        account = self._accounts.get(worker)
        return account is not None and account.state is WorkerState.READY

    def available(self, worker: WorkerId) -> Resources:
        """Return a worker's room that is neither held nor promised."""
        account = self._accounts.get(worker)
        return account.available if account else ZERO_RESOURCES

    def promises_fit(self, worker: WorkerId) -> bool:
        """Tell whether all promises on a ready worker could be taken up now."""
        return self.is_ready(worker) and ZERO_RESOURCES.fits_in(self.available(worker))

    def ready(self) -> Iterator[tuple[WorkerId, WorkerRoom]]:
        """Yield the ready workers."""
        for worker, account in self._accounts.items():
            if account.state is WorkerState.READY:
                yield worker, account

    def domain_count(self) -> int:
        """Return the number of failure domains with a worker that is not gone."""
        accounts = self._accounts.values()
        live = (a.info for a in accounts if a.info and a.state is not WorkerState.GONE)
        return len({info.failure_domain for info in live})

    def _refresh(self, worker: WorkerId, account: WorkerRoom) -> None:
        if account.info is None:
            return
        account.available = account.info.capacity - account.held - account.promised
        domain = account.info.failure_domain
        is_ready = account.state is WorkerState.READY
        if is_ready:
            self.placement.put(worker, domain, account.available)
        else:
            self.placement.drop(worker, domain)
        slots = max(account.available.slots, 0) if is_ready else 0
        self.free_slots += slots - self._counted_slots.get(worker, 0)
        self._counted_slots[worker] = slots

    def _forget_if_empty(self, worker: WorkerId, account: WorkerRoom) -> None:
        if account.info is None and not account.tasks and account.promised == ZERO_RESOURCES:
            del self._accounts[worker]
