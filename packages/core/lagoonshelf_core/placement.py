"""Index of workers by free capacity, and selection of a worker by best fit.

Best fit selects the worker with the smallest ``fit_key`` among those on which the task fits:
fewest free accelerators, then slots, then memory (as a power of two), then processor time.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from math import ceil

from lagoonshelf_core.ids import FailureDomain, RackId, WorkerId
from lagoonshelf_core.resources import Resources

FitKey = tuple[int, int, int, int, int, WorkerId]
Accept = Callable[[WorkerId], bool]


def fit_key(free: Resources, worker: WorkerId) -> FitKey:
    """Return the sort key of a worker; the smallest is the best fit.

    :param free: free capacity of the worker, no amount negative
    """
    memory = free.memory_mib
    return (
        free.accelerators,
        free.slots,
        memory.bit_length(),
        free.cpu_milli,
        memory,
        worker,
    )


class _Group:
    """Workers with equal free accelerators, slots and power of two of memory."""

    def __init__(self) -> None:
        self.by_cpu: list[tuple[int, int, WorkerId]] = []
        self.by_memory: list[tuple[int, int, WorkerId]] = []

    def add(self, cpu: int, memory: int, worker: WorkerId) -> None:
        insort(self.by_cpu, (cpu, memory, worker))
        insort(self.by_memory, (memory, cpu, worker))

    def remove(self, cpu: int, memory: int, worker: WorkerId) -> None:
        del self.by_cpu[bisect_left(self.by_cpu, (cpu, memory, worker))]
        del self.by_memory[bisect_left(self.by_memory, (memory, cpu, worker))]

    def fitting(self, size: Resources) -> Iterator[tuple[int, int, WorkerId]]:
        """Yield the workers on which a size fits, best fit first.

        Scan the sort order with fewer candidates, so that a group in which all workers lack one
        of the two resources costs two binary searches.
        """
        cpu_from = bisect_left(self.by_cpu, (size.cpu_milli,))
        memory_from = bisect_left(self.by_memory, (size.memory_mib,))
        if cpu_from >= memory_from:
            for index in range(cpu_from, len(self.by_cpu)):
                if self.by_cpu[index][1] >= size.memory_mib:
                    yield self.by_cpu[index]
            return
        tail = self.by_memory[memory_from:]
        yield from sorted((cpu, mem, w) for mem, cpu, w in tail if cpu >= size.cpu_milli)


class WorkerIndex:
    """Workers sorted by free capacity.

    Uses plain sorted lists: at 1,200 workers, shifting the tail of a list costs less than the
    bookkeeping of a sorted container.
    """

    def __init__(self) -> None:
        """Initialize without entries."""
        self._group_keys: list[tuple[int, int, int]] = []
        self._groups: dict[tuple[int, int, int], _Group] = {}
        self._keys: dict[WorkerId, FitKey] = {}

    def update(self, worker: WorkerId, free: Resources) -> None:
        """Add a worker or change its free capacity."""
        key = fit_key(free, worker)
        if self._keys.get(worker) == key:
            return
        self.remove(worker)
        self._keys[worker] = key
        group_key = key[:3]
        group = self._groups.get(group_key)
        if group is None:
            group = self._groups[group_key] = _Group()
            insort(self._group_keys, group_key)
        group.add(*key[3:])

    def remove(self, worker: WorkerId) -> None:
        """Remove a worker, if present."""
        key = self._keys.pop(worker, None)
        if key is None:
            return
        group_key = key[:3]
        group = self._groups[group_key]
        group.remove(*key[3:])
        if not group.by_cpu:
            del self._groups[group_key]
            del self._group_keys[bisect_left(self._group_keys, group_key)]

    def find(self, size: Resources, accept: Accept) -> WorkerId | None:
        """Return the best fit, or none.

        :param accept: returns whether a worker on which the size fits may be used
        """
        slots = size.slots
        bits = size.memory_mib.bit_length()
        group_keys = self._group_keys
        for index in range(
            bisect_left(group_keys, (size.accelerators, slots, bits)), len(group_keys)
        ):
            group_key = group_keys[index]
            if group_key[1] < slots or group_key[2] < bits:
                continue
            for item in self._groups[group_key].fitting(size):
                if accept(item[2]):
                    return item[2]
        return None


class Placement:
    """Indexes of the ready workers of a partition, overall and per failure domain.

    Only the spread of replicas uses the indexes per failure domain, so they are updated when a
    replica is placed. ``growth_count`` counts how often a worker's free capacity has grown; a
    search that failed would fail again while the count is unchanged.
    """

    def __init__(self) -> None:
        """Initialize without workers."""
        self._all = WorkerIndex()
        self._free: dict[WorkerId, tuple[FailureDomain, Resources]] = {}
        self._domains: dict[FailureDomain, WorkerIndex] = {}
        self._changed: set[tuple[FailureDomain, WorkerId]] = set()
        self._failed_sizes: set[Resources] = set()
        self.growth_count = 0

    def update(self, worker: WorkerId, domain: FailureDomain, free: Resources) -> None:
        """Add a worker or change its free capacity; remove it when an amount is negative."""
        if min(free.cpu_milli, free.memory_mib, free.accelerators, free.slots) < 0:
            self.remove(worker, domain)
            return
        before = self._free.get(worker)
        if before is None or not free.fits_in(before[1]):
            self._failed_sizes.clear()
            self.growth_count += 1
        self._free[worker] = (domain, free)
        self._changed.add((domain, worker))
        self._all.update(worker, free)

    def remove(self, worker: WorkerId, domain: FailureDomain) -> None:
        """Remove a worker, if present."""
        if self._free.pop(worker, None) is not None:
            self._changed.add((domain, worker))
            self._all.remove(worker)

    def best_fit(self, size: Resources, accept: Accept) -> WorkerId | None:
        """Return the best fit over all failure domains, or none.

        :param accept: returns whether a worker on which the size fits may be used
        """
        if size in self._failed_sizes:
            return None
        worker = self._all.find(size, accept)
        if worker is None:
            self.can_place(size)
        return worker

    def is_known_full_for(self, size: Resources) -> bool:
        """Return whether a search for a size has failed since free capacity last grew."""
        return size in self._failed_sizes

    def can_place(self, size: Resources) -> bool:
        """Return whether a size fits on a worker; failed searches are cached."""
        if size in self._failed_sizes:
            return False
        if self._all.find(size, _any_worker) is not None:
            return True
        self._failed_sizes.add(size)
        return False

    def best_spread(
        self,
        size: Resources,
        accept: Accept,
        max_per_domain: int,
        in_domain: dict[FailureDomain, int],
        in_rack: dict[RackId, int],
        rack_of: Callable[[WorkerId], RackId],
    ) -> WorkerId | None:
        """Return a worker for one more replica of a service, or none.

        Select the failure domain with the fewest replicas, then such a rack, then the best fit.

        :param max_per_domain: maximum number of replicas in a failure domain
        :param in_domain: replicas per failure domain
        :param in_rack: replicas per rack
        """
        self._apply_changes()
        counted = [(in_domain.get(d, 0), d) for d in self._domains]
        for count, domain in sorted(counted):
            if count >= max_per_domain:
                return None
            worker = self._best_in_domain(self._domains[domain], size, accept, in_rack, rack_of)
            if worker is not None:
                return worker
        return None

    def _best_in_domain(
        self,
        index: WorkerIndex,
        size: Resources,
        accept: Accept,
        in_rack: dict[RackId, int],
        rack_of: Callable[[WorkerId], RackId],
    ) -> WorkerId | None:
        for max_per_rack in sorted({0, *in_rack.values()}):

            def accept_rack(worker: WorkerId, max_per_rack: int = max_per_rack) -> bool:
                return in_rack.get(rack_of(worker), 0) <= max_per_rack and accept(worker)

            worker = index.find(size, accept_rack)
            if worker is not None:
                return worker
        return None

    def _apply_changes(self) -> None:
        for domain, worker in self._changed:
            index = self._domains.setdefault(domain, WorkerIndex())
            current = self._free.get(worker)
            if current is None or current[0] != domain:
                index.remove(worker)
            else:
                index.update(worker, current[1])
        self._changed.clear()


def _any_worker(worker: WorkerId) -> bool:
    return True


def max_replicas_per_domain(replicas: int, domains: int) -> int:
    """Return the maximum number of a service's replicas in one failure domain."""
    return ceil(replicas / max(domains, 1))
