"""Starts on cold workers, which are slow for some time after their own start.

After the end of an evacuation a whole domain may be cold. Its workers are the last choice, and
fill slowly: each has a share of its capacity that grows until it is warm, and each pool a rate of
starts.
"""

from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.config import Pool, PoolId
from lagoonshelf_core.jobs.scheduling_pass import SchedulingPass
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_core.resources import Resources


def cold_capacity(worker: Worker, pool: Pool | None, now_ms: int) -> Resources:
    """Return the part of a cold worker's capacity that may be used; it grows to all of it."""
    left_ms = worker.cold_end_ms - now_ms
    cold_ms = max(worker.cold_ms, left_ms, 1 if pool is None else pool.cold_start_ms)
    capacity, warm_ms = worker.info.capacity, max(0, cold_ms - left_ms)
    return Resources(
        capacity.cpu_milli * warm_ms // cold_ms,
        capacity.memory_mib * warm_ms // cold_ms,
        capacity.accelerators * warm_ms // cold_ms,
    )


def add_cold_workers(cell: Cell, state: SchedulingPass) -> None:
    """Limit what the cold ones of the usable workers may get in a pass."""
    now_ms = state.now_ms
    for name, usable in state.usable.items():
        pool = cell.cfg.pools.get(PoolId(name))
        cold = [worker for worker in usable.values() if worker.is_cold(now_ms)]
        for worker in cold:
            state.cold[worker.id] = cold_capacity(worker, pool, now_ms)
        if cold and pool is not None:
            scale = len(cold) if len(cold) == len(usable) else 1
            left = cell.cold_starts.left(pool, scale, now_ms)
            if left is not None:
                state.cold_starts_left[name] = left
