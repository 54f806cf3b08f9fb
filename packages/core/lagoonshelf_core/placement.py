"""Index of workers by available room, and the choice of a worker.

Best fit takes the worker with the smallest ``fit_key`` among those that hold the task: fewest
accelerators, then fewest slots, then least memory (as a power of two), then least processor time.
"""

from collections.abc import Callable, Iterator
from math import ceil

from sortedcontainers import SortedDict, SortedList

from lagoonshelf_core.ids import FailureDomain, RackId, WorkerId
from lagoonshelf_core.resources import Resources

FitKey = tuple[int, int, int, int, int, WorkerId]
Accept = Callable[[WorkerId], bool]


def fit_key(room: Resources, worker: WorkerId) -> FitKey:
    """Return the sort key of a worker; the smallest is the best fit.

    :param room: available room on the worker, no amount negative
    """
    memory = room.memory_mib
    return (
        room.accelerators,
        room.slots,
        memory.bit_length(),
        room.cpu_milli,
        memory,
        worker,
    )


class _Group:
    """Workers with equal free accelerators, slots and power of two of memory."""

    def __init__(self) -> None:
        self.by_cpu: SortedList = SortedList()
        self.by_memory: SortedList = SortedList()

    def add(self, cpu: int, memory: int, worker: WorkerId) -> None:
        self.by_cpu.add((cpu, memory, worker))
        self.by_memory.add((memory, cpu, worker))

    def remove(self, cpu: int, memory: int, worker: WorkerId) -> None:
        self.by_cpu.remove((cpu, memory, worker))
        self.by_memory.remove((memory, cpu, worker))

    def fitting(self, size: Resources) -> Iterator[tuple[int, int, WorkerId]]:
        """Yield the workers that hold a size, best fit first.

        Reads the order that leaves fewer workers, so that a group in which all lack one of
        the two resources costs two binary searches.
        """
        cpu_from = self.by_cpu.bisect_left((size.cpu_milli,))
        memory_from = self.by_memory.bisect_left((size.memory_mib,))
        if cpu_from >= memory_from:
            for item in self.by_cpu.islice(cpu_from):
                if item[1] >= size.memory_mib:
                    yield item
            return
        tail = self.by_memory.islice(memory_from)
        yield from sorted((cpu, mem, w) for mem, cpu, w in tail if cpu >= size.cpu_milli)


class DomainIndex:
    """Ready workers of one failure domain by available room."""

    def __init__(self) -> None:
        """Start empty."""
        self._groups: SortedDict = SortedDict()
        self._keys: dict[WorkerId, FitKey] = {}

    def put(self, worker: WorkerId, room: Resources) -> None:
        """Add a worker or change its available room."""
        key = fit_key(room, worker)
        if self._keys.get(worker) == key:
            return
        self.drop(worker)
        self._keys[worker] = key
        group = self._groups.get(key[:3])
        if group is None:
            group = self._groups[key[:3]] = _Group()
        group.add(*key[3:])

    def drop(self, worker: WorkerId) -> None:
        """Remove a worker, if present."""
        key = self._keys.pop(worker, None)
        if key is None:
            return
        group = self._groups[key[:3]]
        group.remove(*key[3:])
        if not group.by_cpu:
            del self._groups[key[:3]]

    def find(self, size: Resources, accept: Accept) -> FitKey | None:
        """Return the key of the best fit.

        :param accept: tells whether a worker that holds the size may be used
        """
        least = (size.accelerators, size.slots, size.memory_mib.bit_length())
        for name in self._groups.irange(least):
            if name[1] < size.slots or name[2] < least[2]:
                continue
            for item in self._groups[name].fitting(size):
                if accept(item[2]):
                    return (*name, *item)
        return None


class Placement:
    """Ready workers of a partition by failure domain."""

    def __init__(self) -> None:
        """Start without workers."""
        self._domains: dict[FailureDomain, DomainIndex] = {}

    def put(self, worker: WorkerId, domain: FailureDomain, room: Resources) -> None:
        """Add a worker or change its available room; withdraw it when an amount is negative."""
        index = self._domains.get(domain)
        if index is None:
            index = self._domains[domain] = DomainIndex()
        if min(room.cpu_milli, room.memory_mib, room.accelerators, room.slots) < 0:
            index.drop(worker)
        else:
            index.put(worker, room)

    def drop(self, worker: WorkerId, domain: FailureDomain) -> None:
        """Remove a worker, if present."""
        if domain in self._domains:
            self._domains[domain].drop(worker)

    def best_fit(self, size: Resources, accept: Accept) -> WorkerId | None:
        """Return the best fit over all failure domains."""
        best: FitKey | None = None
        for index in self._domains.values():
            key = index.find(size, accept)
            if key is not None and (best is None or key < best):
                best = key
        return best[-1] if best else None

    def spread(
        self,
        size: Resources,
        accept: Accept,
        most_per_domain: int,
        in_domain: dict[FailureDomain, int],
        in_rack: dict[RackId, int],
        rack_of: Callable[[WorkerId], RackId],
    ) -> WorkerId | None:
        """Return a worker for one more replica of a service.

        Takes the failure domain, then the rack, with the fewest replicas, then the best fit.

        :param most_per_domain: replicas that a failure domain may hold
        :param in_domain: replicas per failure domain
        :param in_rack: replicas per rack
        """
        counted = [(in_domain.get(d, 0), d) for d in self._domains]
        for count, domain in sorted(counted):
            if count >= most_per_domain:
                return None
            worker = self._spread_in(self._domains[domain], size, accept, in_rack, rack_of)
            if worker is not None:
                return worker
        return None

    def _spread_in(
        self,
        index: DomainIndex,
        size: Resources,
        accept: Accept,
        in_rack: dict[RackId, int],
        rack_of: Callable[[WorkerId], RackId],
    ) -> WorkerId | None:
        for most in sorted({0, *in_rack.values()}):

            def accept_rack(worker: WorkerId, most: int = most) -> bool:
                return in_rack.get(rack_of(worker), 0) <= most and accept(worker)

            key = index.find(size, accept_rack)
            if key is not None:
                return key[-1]
        return None


def most_replicas_per_domain(replicas: int, domains: int) -> int:
    """Return how many replicas of a service one failure domain may hold."""
    return ceil(replicas / max(domains, 1))
