"""Keeps slots warm ahead of the daily peaks of the queues of one partition."""

from collections import Counter
from collections.abc import Callable, Iterable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.commands import Warm
from lagoonshelf_core.document import QueueConfig
from lagoonshelf_core.ids import QueueId, WorkerId
from lagoonshelf_core.model import Task, WorkerInfo
from lagoonshelf_core.warm_capacity import WarmCapacity
from lagoonshelf_server.config_sync import ConfigSync

# Short enough to see brief peaks; the pattern keeps the highest value of a quarter of an hour.
OBSERVE_INTERVAL_MS = 1_000
# A new configuration must take effect within 6 s, also on a partition without work.
IDLE_INTERVAL_MS = 3_000
# Warming up slots loads the worker, so an oscillating target must not keep it busy.
ADJUST_INTERVAL_MS = 10_000


class WarmSlots:
    """Warm slots by worker and queue, and the time of each worker's last adjustment."""

    def __init__(
        self, clock: Clock, config: ConfigSync, ready_workers: Callable[[], Iterable[WorkerInfo]]
    ) -> None:
        """Initialize with cold workers.

        :param ready_workers: return the workers that may get tasks
        """
        self.warm_capacity = WarmCapacity()
        self._clock = clock
        self._config = config
        self._ready_workers = ready_workers
        self._warmed_slots: dict[WorkerId, dict[QueueId, int]] = {}
        self._boot_ids: dict[WorkerId, str] = {}
        self._adjusted_ms: dict[WorkerId, int] = {}
        self._observed_ms: int | None = None

    def next_pass_ms(self) -> int:
        """Return the time at which a pass is due for warm capacity."""
        in_use = self._queues() or any(self._warmed_slots.values())
        interval_ms = OBSERVE_INTERVAL_MS if in_use else IDLE_INTERVAL_MS
        return (self._observed_ms or 0) + interval_ms

    def end_pass(self, tasks: Iterable[Task]) -> list[Warm]:
        """Observe the queues and return the adjustments that are due.

        :param tasks: all tasks that the scheduler knows
        """
        now_ms = self._clock.now_ms()
        if self._observed_ms is not None and now_ms - self._observed_ms < OBSERVE_INTERVAL_MS:
            return []
        self._observed_ms = now_ms
        queues = self._queues()
        if not queues and not any(self._warmed_slots.values()):
            return []
        counts = Counter(task.queue for task in tasks)
        workers = sorted(self._ready_workers(), key=lambda info: info.worker)
        self._remove_restarted(workers)
        targets = {name: self._target(name, queue, counts[name]) for name, queue in queues.items()}
        return [
            command
            for position, info in enumerate(workers)
            for command in self._adjust(info, _split_targets(targets, position, len(workers)))
        ]

    def _queues(self) -> dict[QueueId, QueueConfig]:
        queues = self._config.document.queues.items()
        return {name: queue for name, queue in queues if queue.warm_floor or queue.cold_start_ms}

    def _target(self, name: QueueId, queue: QueueConfig, concurrency: int) -> int:
        wall_ms = self._clock.wall_ms()
        self.warm_capacity.observe(name, concurrency, wall_ms)
        return self.warm_capacity.warm_slots(name, queue.cold_start_ms, queue.warm_floor, wall_ms)

    def _adjust(self, info: WorkerInfo, wanted: dict[QueueId, int]) -> list[Warm]:
        """Return at most one adjustment of a worker."""
        now_ms = self._clock.now_ms()
        adjusted_ms = self._adjusted_ms.get(info.worker)
        if adjusted_ms is not None and now_ms - adjusted_ms < ADJUST_INTERVAL_MS:
            return []
        warm = self._warmed_slots.setdefault(info.worker, {})
        for queue in sorted(wanted.keys() | warm.keys()):
            slots = min(wanted.get(queue, 0), info.capacity.slots)
            if slots == warm.get(queue, 0):
                continue
            warm[queue] = slots
            if slots == 0:
                del warm[queue]
            self._adjusted_ms[info.worker] = now_ms
            return [Warm(info.worker, queue, slots)]
        return []

    def _remove_restarted(self, workers: list[WorkerInfo]) -> None:
        """Treat workers as cold that were restarted or not ready since the last adjustment."""
        boots = {info.worker: info.boot_id for info in workers}
        for worker in list(self._warmed_slots):
            if boots.get(worker) != self._boot_ids.get(worker):
                del self._warmed_slots[worker]
                self._adjusted_ms.pop(worker, None)
        self._boot_ids = boots


def _split_targets(targets: dict[QueueId, int], position: int, workers: int) -> dict[QueueId, int]:
    """Return a worker's part of each target, which is spread evenly over the ready workers.

    :param position: position of the worker among the ready ones
    """
    return {
        queue: target // workers + (position < target % workers)
        for queue, target in targets.items()
    }
