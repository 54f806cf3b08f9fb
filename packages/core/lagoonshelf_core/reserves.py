"""Slots reserved for queues."""

from lagoonshelf_core.ids import QueueId

# Reserves are capped at half of the slots: larger ones could block all other queues forever.
MAX_RESERVED_DIVISOR = 2


class Reserves:
    """Reserved and used slots of each queue."""

    def __init__(self) -> None:
        """Initialize without reserves."""
        self._reserves: dict[QueueId, int] = {}
        self._used: dict[QueueId, int] = {}

    def set_reserves(self, reserves: dict[QueueId, int]) -> None:
        """Replace the reserves.

        :param reserves: slots by queue; queues with zero slots are ignored
        """
        self._reserves = {queue: slots for queue, slots in reserves.items() if slots > 0}

    def add_used(self, queue: QueueId, slots: int) -> None:
        """Add to the slots used by a queue's tasks."""
        self._used[queue] = self._used.get(queue, 0) + slots

    def allows(self, queue: QueueId, slots: int, free: int, capacity: int) -> bool:
        """Return whether a queue may use free slots.

        :param slots: requested slots
        :param free: free slots on ready workers
        :param capacity: slots of all workers
        """
        if not self._reserves:
            return True
        unused_reserves = sum(
            max(reserve - self._used.get(other, 0), 0)
            for other, reserve in self._reserves.items()
            if other != queue
        )
        return free - slots >= min(unused_reserves, capacity // MAX_RESERVED_DIVISOR)
