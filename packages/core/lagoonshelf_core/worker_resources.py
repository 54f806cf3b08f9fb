"""Allocated, reserved and available resources of each worker of a partition."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from lagoonshelf_core.ids import FailureDomain, TaskId, WorkerId
from lagoonshelf_core.model import WorkerInfo, WorkerState
from lagoonshelf_core.placement import Placement
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources


@dataclass(slots=True)
class WorkerResources:
    """Resources of one worker.

    :param info: none while only tasks adopted from the worker are known
    :param allocated: resources of starting, running, throttled and stopping tasks
    :param reserved: resources reserved for waiting tasks
    :param releasing: part of ``allocated`` that tasks being preempted are about to free
    :param available: capacity that is neither allocated nor reserved
    """

    info: WorkerInfo | None = None
    state: WorkerState = WorkerState.UNREAD
    allocated: Resources = ZERO_RESOURCES
    reserved: Resources = ZERO_RESOURCES
    releasing: Resources = ZERO_RESOURCES
    tasks: set[TaskId] = field(default_factory=set)
    available: Resources = ZERO_RESOURCES


class PartitionResources:
    """Resources of all workers of a partition; keeps the placement index up to date."""

    def __init__(self) -> None:
        """Initialize without workers."""
        self.placement = Placement()
        self.capacity = ZERO_RESOURCES
        self.free_slots = 0
        self._evacuated: frozenset[FailureDomain] = frozenset()
        self._workers: dict[WorkerId, WorkerResources] = {}
        self._counted_slots: dict[WorkerId, int] = {}

    def set_evacuated(self, domains: Iterable[FailureDomain]) -> None:
        """Give no more tasks to the workers of some failure domains, and to all others again."""
        evacuated = frozenset(domains)
        if evacuated == self._evacuated:
            return
        self._evacuated = evacuated
        for worker, worker_resources in self._workers.items():
            self._update_available(worker, worker_resources)

    def set_worker(self, info: WorkerInfo, state: WorkerState) -> None:
        """Add or update a worker."""
        worker_resources = self._workers.setdefault(info.worker, WorkerResources())
        if worker_resources.info is not None:
            self.capacity -= worker_resources.info.capacity
            self.placement.remove(info.worker, worker_resources.info.failure_domain)
        self.capacity += info.capacity
        worker_resources.info = info
        worker_resources.state = state
        self._update_available(info.worker, worker_resources)

    def remove_worker(self, worker: WorkerId) -> None:
        """Remove a worker; its tasks stay allocated until they are released."""
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
        """Allocate resources of a worker to a task."""
        worker_resources = self._workers.setdefault(worker, WorkerResources())
        worker_resources.tasks.add(task)
        worker_resources.allocated += size
        self._update_available(worker, worker_resources)

    def release(self, worker: WorkerId, task: TaskId, size: Resources) -> None:
        """Release the resources of a task on a worker."""
        worker_resources = self._workers[worker]
        worker_resources.tasks.discard(task)
        worker_resources.allocated -= size
        self._update_available(worker, worker_resources)
        self._remove_if_empty(worker, worker_resources)

    def resize(self, worker: WorkerId, old: Resources, new: Resources) -> None:
        """Change the size of an allocation."""
        worker_resources = self._workers[worker]
        worker_resources.allocated += new - old
        self._update_available(worker, worker_resources)

    def reserve(self, worker: WorkerId, size: Resources) -> None:
        """Reserve resources; the available amounts may be negative until tasks end."""
        worker_resources = self._workers[worker]
        worker_resources.reserved += size
        self._update_available(worker, worker_resources)

    def unreserve(self, worker: WorkerId, size: Resources) -> None:
        """Cancel a reservation."""
        worker_resources = self._workers.get(worker)
        if worker_resources is None:
            return
        worker_resources.reserved -= size
        self._update_available(worker, worker_resources)
        self._remove_if_empty(worker, worker_resources)

    def add_releasing(self, worker: WorkerId, size: Resources) -> None:
        """Add to the resources that tasks being preempted are about to free."""
        self._workers[worker].releasing += size

    def future_available(self, worker: WorkerId) -> Resources:
        """Return a worker's available resources after the preempted tasks have ended."""
        worker_resources = self._workers.get(worker)
        return (
            worker_resources.available + worker_resources.releasing
            if worker_resources
            else ZERO_RESOURCES
        )

    def get(self, worker: WorkerId) -> WorkerResources | None:
        """Return the resources of a worker, or none."""
        return self._workers.get(worker)

    def is_ready(self, worker: WorkerId) -> bool:
        """Return whether a worker may get new tasks."""
        worker_resources = self._workers.get(worker)
        return worker_resources is not None and self._may_get_tasks(worker_resources)

    def available(self, worker: WorkerId) -> Resources:
        """Return the resources of a worker that are neither allocated nor reserved."""
        worker_resources = self._workers.get(worker)
        return worker_resources.available if worker_resources else ZERO_RESOURCES

    def reservations_fit(self, worker: WorkerId) -> bool:
        """Return whether a worker is ready and the resources reserved on it are free."""
        return self.is_ready(worker) and ZERO_RESOURCES.fits_in(self.available(worker))

    def ready_workers(self) -> Iterator[tuple[WorkerId, WorkerResources]]:
        """Yield the ready workers."""
        for worker, worker_resources in self._workers.items():
            if self._may_get_tasks(worker_resources):
                yield worker, worker_resources

    def domain_count(self) -> int:
        """Return the number of failure domains with a worker in the host list.

        Evacuated ones do not count, as the replicas of a service would wait for them.
        """
        workers = self._workers.values()
        live = (w.info for w in workers if w.info and w.state is not WorkerState.GONE)
        return len({info.failure_domain for info in live} - self._evacuated)

    def _may_get_tasks(self, worker_resources: WorkerResources) -> bool:
        info = worker_resources.info
        is_evacuated = info is not None and info.failure_domain in self._evacuated
        return worker_resources.state is WorkerState.READY and not is_evacuated

    def _update_available(self, worker: WorkerId, worker_resources: WorkerResources) -> None:
        if worker_resources.info is None:
            return
        worker_resources.available = (
            worker_resources.info.capacity - worker_resources.allocated - worker_resources.reserved
        )
        domain = worker_resources.info.failure_domain
        is_ready = self._may_get_tasks(worker_resources)
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
