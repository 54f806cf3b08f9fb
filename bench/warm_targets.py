"""Model of the warm slots of the workers in a replay and of the time that cold starts take."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from lagoonshelf_core.document import QueueConfig
from lagoonshelf_core.ids import QueueId, WorkerId

# A target is cold again this long after its last use, unless the policy keeps it warm.
KEEP_WARM_MS = 15 * 60_000


@dataclass(slots=True)
class _WarmSlots:
    """Warm slots of one queue on one worker, requested by the policy or left by earlier tasks.

    :param requested: slots that the policy keeps warm
    :param ready_ms: time at which the requested slots are warm
    :param used: slots left warm by tasks
    :param last_used_ms: time of the last start
    """

    requested: int = 0
    ready_ms: int = 0
    used: int = 0
    last_used_ms: int = 0


class WarmTargets:
    """Warm and busy slots of each queue on each worker."""

    def __init__(self, queues: dict[QueueId, QueueConfig]) -> None:
        """Set up with all targets cold."""
        self._queues = queues
        self._slots: dict[tuple[WorkerId, QueueId], _WarmSlots] = defaultdict(_WarmSlots)
        self._busy: Counter[tuple[WorkerId, QueueId]] = Counter()

    def warm_up(self, worker: WorkerId, queue: QueueId, slots: int, now_ms: int) -> None:
        """Set the number of slots that the policy keeps warm.

        Additional slots are warm after the queue's cold start time.
        """
        entry = self._slots[worker, queue]
        if slots > entry.requested:
            entry.ready_ms = now_ms + self._queues[queue].cold_start_ms
        entry.requested = slots

    def acquire(self, worker: WorkerId, queue: QueueId, now_ms: int) -> int:
        """Occupy a slot and return the milliseconds until it is warm."""
        entry = self._slots[worker, queue]
        left_warm = entry.used if now_ms - entry.last_used_ms < KEEP_WARM_MS else 0
        requested = entry.requested if now_ms >= entry.ready_ms else 0
        busy = self._busy[worker, queue]
        entry.used = max(left_warm, busy + 1)
        entry.last_used_ms = now_ms
        self._busy[worker, queue] += 1
        return 0 if busy < max(left_warm, requested) else self._queues[queue].cold_start_ms

    def release(self, worker: WorkerId, queue: QueueId) -> None:
        """Release a slot, which stays warm until ``KEEP_WARM_MS`` after the last start."""
        self._busy[worker, queue] -= 1
