"""Which slots of the replayed workers are warm, and what a cold start costs."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from lagoonshelf_core.document import QueueConfig
from lagoonshelf_core.ids import QueueId, WorkerId

# A target that was not used for this long is cold again, unless the policy keeps it warm.
KEEP_WARM_MS = 15 * 60_000


@dataclass(slots=True)
class _WarmSlots:
    """Warm slots of one queue on one worker: ordered by the policy, or left by earlier tasks."""

    requested: int = 0
    ready_ms: int = 0
    used: int = 0
    last_used_ms: int = 0


class WarmTargets:
    """Warm slots of all workers."""

    def __init__(self, queues: dict[QueueId, QueueConfig]) -> None:
        """Start with all targets cold."""
        self._queues = queues
        self._slots: dict[tuple[WorkerId, QueueId], _WarmSlots] = defaultdict(_WarmSlots)
        self._busy: Counter[tuple[WorkerId, QueueId]] = Counter()

    def warm_up(self, worker: WorkerId, queue: QueueId, slots: int, now_ms: int) -> None:
        """Warm slots on behalf of the policy; they are ready after a cold start."""
        entry = self._slots[worker, queue]
        if slots > entry.requested:
            entry.ready_ms = now_ms + self._queues[queue].cold_start_ms
        entry.requested = slots

    def acquire(self, worker: WorkerId, queue: QueueId, now_ms: int) -> int:
        """Take a slot and return the time until it is warm."""
        entry = self._slots[worker, queue]
        left_warm = entry.used if now_ms - entry.last_used_ms < KEEP_WARM_MS else 0
        requested = entry.requested if now_ms >= entry.ready_ms else 0
        busy = self._busy[worker, queue]
        entry.used = max(left_warm, busy + 1)
        entry.last_used_ms = now_ms
        self._busy[worker, queue] += 1
        return 0 if busy < max(left_warm, requested) else self._queues[queue].cold_start_ms

    def release(self, worker: WorkerId, queue: QueueId) -> None:
        """Give a slot back; it stays warm for a while."""
        self._busy[worker, queue] -= 1
