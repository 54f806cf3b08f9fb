"""Slots kept free for queues with a reserve."""

from lagoonshelf_core.ids import QueueId

# A reserve configured above this part of the slots would keep other queues from ever starting.
MAX_RESERVED_DIVISOR = 2


class Reserves:
    """Reserved slots by queue and how many of them are in use."""

    def __init__(self) -> None:
        """Start without reserves."""
        self._reserves: dict[QueueId, int] = {}
        self._used: dict[QueueId, int] = {}

    def set_reserves(self, reserves: dict[QueueId, int]) -> None:
        """Replace the reserves.

        :param reserves: slots by queue, zeros left out
        """
        self._reserves = {queue: slots for queue, slots in reserves.items() if slots > 0}

    def add_used(self, queue: QueueId, slots: int) -> None:
        """Add to the slots that a queue's tasks hold."""
        self._used[queue] = self._used.get(queue, 0) + slots

    def allows(self, queue: QueueId, slots: int, free: int, capacity: int) -> bool:
        """Tell whether a queue may take free slots.

        :param slots: wanted
        :param free: free on ready workers
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
