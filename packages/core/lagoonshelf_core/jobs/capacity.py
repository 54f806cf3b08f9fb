"""Free capacity of workers for tasks of a priority band, and the number of tasks that fit."""

from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_core.resources import Resources

# Share of each worker's processors that tasks of a band leave free for higher bands, in
# thousandths.
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


def free_capacity(worker: Worker, planned: Resources, band: Band, size: Resources) -> Resources:
    """Return the free capacity of a worker for tasks of a size in a band.

    :param planned: resources of tasks that the current pass has placed on the worker
    """
    capacity, used = worker.info.capacity, worker.used
    reserve = reserved_cpu_milli(worker, band, size)
    return Resources(
        capacity.cpu_milli - used.cpu_milli - planned.cpu_milli - reserve,
        capacity.memory_mib - used.memory_mib - planned.memory_mib,
        capacity.accelerators - used.accelerators - planned.accelerators,
    )


def reserved_cpu_milli(worker: Worker, band: Band, size: Resources) -> int:
    """Return the CPU that a band leaves free on a worker.

    A task that would not fit beside the reserve even on an empty worker could never start.
    Its reserve is 0 in bands up to ``ON_TIME``; in lower bands it is such that the task fits only
    on an empty worker.
    """
    capacity = worker.info.capacity.cpu_milli
    reserve = capacity * RESERVE_PERMILLE[band] // 1000
    if size.cpu_milli <= capacity - reserve:
        return reserve
    return 0 if band <= Band.ON_TIME else max(0, capacity - size.cpu_milli)


def count_fitting(
    size: Resources, capacity: Resources, used: Resources, reserved_milli: int
) -> int:
    """Return how many tasks of a size fit into the free capacity.

    :param reserved_milli: CPU to leave free, in thousandths of a processor
    """
    count = MAX_MEMBERS_PER_WORKER
    if size.cpu_milli:
        free_milli = capacity.cpu_milli - used.cpu_milli - reserved_milli
        count = min(count, free_milli // size.cpu_milli)
    if size.memory_mib:
        count = min(count, (capacity.memory_mib - used.memory_mib) // size.memory_mib)
    if size.accelerators:
        count = min(count, (capacity.accelerators - used.accelerators) // size.accelerators)
    return max(0, count)
