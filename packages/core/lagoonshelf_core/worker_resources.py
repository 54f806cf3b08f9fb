"""What each worker of a partition holds, what is promised, and what is available."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.model import WorkerInfo, WorkerState
from lagoonshelf_core.placement import Placement
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources


@dataclass(slots=True)
class WorkerResources:
    """One worker's account.

    :param info: none while only tasks adopted from it are known
    :param held: room of starting, running, throttled and stopping tasks
    :param promised: room set aside for waiting tasks
    :param coming: part of ``held`` that tasks asked to yield are about to free
    """

    info: WorkerInfo | None = None
    state: WorkerState = WorkerState.UNREAD
    allocated: Resources = ZERO_RESOURCES
    reserved: Resources = ZERO_RESOURCES
    releasing: Resources = ZERO_RESOURCES
    tasks: set[TaskId] = field(default_factory=set)
    available: Resources = ZERO_RESOURCES


class PartitionResources:
    """Accounts of all workers; keeps the placement index in step."""

    def __init__(self) -> None:
        """Start without workers."""
        self.placement = Placement()
        self.capacity = ZERO_RESOURCES
        self.free_slots = 0
        self._workers: dict[WorkerId, WorkerResources] = {}
        self._counted_slots: dict[WorkerId, int] = {}

    def set_worker(self, info: WorkerInfo, state: WorkerState) -> None:
        """Add a worker or change what is known of it."""
        worker_resources = self._workers.setdefault(info.worker, WorkerResources())
        if worker_resources.info is not None:
            self.capacity -= worker_resources.info.capacity
            self.placement.remove(info.worker, worker_resources.info.failure_domain)
        self.capacity += info.capacity
        worker_resources.info = info
        worker_resources.state = state
        self._update_available(info.worker, worker_resources)

    def remove_worker(self, worker: WorkerId) -> None:
        """Forget a worker; tasks that it still holds stay counted until they are released."""
        worker_resources = self._workers.get(worker)
        if worker_resources is None or worker_resources.info is None:
            return
        self.capacity -= worker_resources.info.capacity
        self.placement.remove(worker, worker_resources.info.failure_domain)
        self.free_slots -= self._counted_slots.pop(worker, 0)
        worker_resources.info = None
        worker_resources.state = WorkerState.GONE
        self._remove_if_empty(worker, worker_resources)

    def allocate(self, worker: WorkerId, task: TaskId, size: Resources) -> None:
        """Count a task on a worker."""
        worker_resources = self._workers.setdefault(worker, WorkerResources())
        worker_resources.tasks.add(task)
        worker_resources.allocated += size
        self._update_available(worker, worker_resources)

    def release(self, worker: WorkerId, task: TaskId, size: Resources) -> None:
        """End counting a task on a worker."""
        worker_resources = self._workers[worker]
        worker_resources.tasks.discard(task)
        worker_resources.allocated -= size
        self._update_available(worker, worker_resources)
        self._remove_if_empty(worker, worker_resources)

    def resize(self, worker: WorkerId, old: Resources, new: Resources) -> None:
        """Change what a held task counts for."""
        worker_resources = self._workers[worker]
        worker_resources.allocated += new - old
        self._update_available(worker, worker_resources)

    def reserve(self, worker: WorkerId, size: Resources) -> None:
        """Set room aside; the available room may become negative until tasks end."""
        worker_resources = self._workers[worker]
        worker_resources.reserved += size
        self._update_available(worker, worker_resources)

    def unreserve(self, worker: WorkerId, size: Resources) -> None:
        """End a promise."""
        worker_resources = self._workers.get(worker)
        if worker_resources is None:
            return
        worker_resources.reserved -= size
        self._update_available(worker, worker_resources)
        self._remove_if_empty(worker, worker_resources)

    def add_releasing(self, worker: WorkerId, size: Resources) -> None:
        """Add to the room that tasks asked to yield are about to free."""
        self._workers[worker].releasing += size

    def future_available(self, worker: WorkerId) -> Resources:
        """Return a worker's available room after the tasks asked to yield have done so."""
        worker_resources = self._workers.get(worker)
        return (
            worker_resources.available + worker_resources.releasing
            if worker_resources
            else ZERO_RESOURCES
        )

    def get(self, worker: WorkerId) -> WorkerResources | None:
        """Return a worker's account, or none."""
        return self._workers.get(worker)

    def is_ready(self, worker: WorkerId) -> bool:
        """Tell whether a worker may get new tasks."""
        worker_resources = self._workers.get(worker)
        return worker_resources is not None and worker_resources.state is WorkerState.READY

    def available(self, worker: WorkerId) -> Resources:
        """Return a worker's room that is neither held nor promised."""
        worker_resources = self._workers.get(worker)
        return worker_resources.available if worker_resources else ZERO_RESOURCES

    def reservations_fit(self, worker: WorkerId) -> bool:
        """Tell whether all promises on a ready worker could be taken up now."""
        return self.is_ready(worker) and ZERO_RESOURCES.fits_in(self.available(worker))

    def ready_workers(self) -> Iterator[tuple[WorkerId, WorkerResources]]:
        """Yield the ready workers."""
        for worker, worker_resources in self._workers.items():
            if worker_resources.state is WorkerState.READY:
                yield worker, worker_resources

    def domain_count(self) -> int:
        """Return the number of failure domains with a worker that is not gone."""
        workers = self._workers.values()
        live = (a.info for a in workers if a.info and a.state is not WorkerState.GONE)
        return len({info.failure_domain for info in live})

    def _update_available(self, worker: WorkerId, worker_resources: WorkerResources) -> None:
        if worker_resources.info is None:
            return
        worker_resources.available = (
            worker_resources.info.capacity - worker_resources.allocated - worker_resources.reserved
        )
        domain = worker_resources.info.failure_domain
        is_ready = worker_resources.state is WorkerState.READY
        if is_ready:
            self.placement.update(worker, domain, worker_resources.available)
        else:
            self.placement.remove(worker, domain)
        slots = max(worker_resources.available.slots, 0) if is_ready else 0
        self.free_slots += slots - self._counted_slots.get(worker, 0)
        self._counted_slots[worker] = slots

    def _remove_if_empty(self, worker: WorkerId, worker_resources: WorkerResources) -> None:
        if (
            worker_resources.info is None
            and not worker_resources.tasks
            and worker_resources.reserved == ZERO_RESOURCES
        ):
            del self._workers[worker]
