"""Free capacity of workers and pools, and the number of tasks that fit."""

from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_core.resources import Resources

# Share of a pool's processors that tasks of a band leave free for higher bands, in thousandths. It
# is not a share of each worker: many small remainders would fit no urgent task, and would waste
# the processors of workers whose tasks are large.
RESERVE_PERMILLE = {
    Band.SERVICE: 0,
    Band.URGENT: 0,
    Band.ON_TIME: 80,
    Band.LATE: 160,
    Band.EXCESS: 240,
    Band.EXCESS_LATE: 240,
    Band.TOO_LATE: 240,
}
# Bound on the number of gang members on one worker when they need none of its resources.
MAX_MEMBERS_PER_WORKER = 1_000


def free_capacity(worker: Worker, planned: Resources) -> Resources:
    """Return the free capacity of a worker.

    :param planned: resources of tasks that the current pass has placed on the worker
    """
    capacity, used = worker.info.capacity, worker.used
    return Resources(
        capacity.cpu_milli - used.cpu_milli - planned.cpu_milli,
        capacity.memory_mib - used.memory_mib - planned.memory_mib,
        capacity.accelerators - used.accelerators - planned.accelerators,
    )


def fixed_reserve_milli(capacity_milli: int, band: Band) -> int:
    """Return the fixed share of a pool's CPU that tasks of a band leave free."""
    return capacity_milli * RESERVE_PERMILLE[band] // 1000


def startable_milli(
    capacity_milli: int, used_milli: int, reserve_milli: int, smallest_milli: int
) -> int:
    """Return how much of a pool's CPU the tasks of a step may take beside a reserve.

    :param smallest_milli: CPU of the smallest part of the step that can start; a step that would
        not fit beside the reserve in an empty pool could never start, so it needs to leave none
    """
    if smallest_milli > capacity_milli - reserve_milli:
        reserve_milli = 0
    return capacity_milli - used_milli - reserve_milli


def count_fitting(size: Resources, capacity: Resources, used: Resources) -> int:
    """Return how many tasks of a size fit into the free capacity."""
    count = MAX_MEMBERS_PER_WORKER
    if size.cpu_milli:
        count = min(count, (capacity.cpu_milli - used.cpu_milli) // size.cpu_milli)
    if size.memory_mib:
        count = min(count, (capacity.memory_mib - used.memory_mib) // size.memory_mib)
    if size.accelerators:
        count = min(count, (capacity.accelerators - used.accelerators) // size.accelerators)
    return max(0, count)
