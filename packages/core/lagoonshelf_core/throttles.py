"""Processor limits on background tasks: request, confirmation and removal."""

from lagoonshelf_core.allocation import Allocation
from lagoonshelf_core.commands import Throttle
from lagoonshelf_core.ids import TaskId
from lagoonshelf_core.pass_state import PassState
from lagoonshelf_core.preemption import THROTTLED_PERCENT, throttled_size
from lagoonshelf_core.resources import ZERO_RESOURCES

UNLIMITED_PERCENT = 100
THROTTLE_TIMEOUT_MS = 250  # with the checkpoint timeout, urgent work starts within 1 s


class Throttles:
    """Tasks with a processor limit.

    Throttled capacity is free only after the worker has confirmed the limit, and is allocated
    again as soon as the limit is lifted.
    """

    def __init__(self, state: PassState) -> None:
        """Initialize without limits."""
        self._state = state
        self._limited: dict[TaskId, None] = {}

    def __len__(self) -> int:
        return len(self._limited)

    def request(self, allocation: Allocation) -> None:
        """Request the worker to limit a task."""
        allocation.requested_percent = THROTTLED_PERCENT
        allocation.requested_ms = self._state.now_ms
        self._limited[allocation.task.task] = None
        releasing = allocation.size - throttled_size(allocation.full_size)
        self._state.allocations.set_releasing(allocation, releasing)
        self._send(allocation)

    def confirm(self, task: TaskId, percent: int) -> None:
        """Record that a worker limits a task; an outdated confirmation is ignored."""
        allocation = self._state.allocations.get(task)
        if allocation is None or allocation.requested_percent != percent:
            return
        if percent != THROTTLED_PERCENT or allocation.percent == percent:
            return
        allocation.percent = percent
        size = throttled_size(allocation.full_size)
        self._state.allocations.set_releasing(
            allocation, size if allocation.requeue else ZERO_RESOURCES
        )
        self._state.allocations.resize(allocation, size)

    def lift(self) -> None:
        """Lift limits if the processor time is free again or the limit was not confirmed.

        An unconfirmed limit may be in force, because its confirmation may have been lost.
        """
        for task in list(self._limited):
            allocation = self._state.allocations.get(task)
            if allocation is None:
                del self._limited[task]
            elif not allocation.requeue and self._may_lift(allocation):
                del self._limited[task]
                self._lift(allocation)

    def _may_lift(self, allocation: Allocation) -> bool:
        if allocation.percent == UNLIMITED_PERCENT:
            return self._state.now_ms - allocation.requested_ms >= THROTTLE_TIMEOUT_MS
        resources = self._state.resources
        return (allocation.full_size - allocation.size).fits_in(
            resources.available(allocation.worker)
        )

    def _lift(self, allocation: Allocation) -> None:
        allocation.percent = UNLIMITED_PERCENT
        allocation.requested_percent = UNLIMITED_PERCENT
        self._state.allocations.set_releasing(allocation, ZERO_RESOURCES)
        self._state.allocations.resize(allocation, allocation.full_size)
        self._send(allocation)

    def _send(self, allocation: Allocation) -> None:
        command = Throttle(allocation.task.task, allocation.worker, allocation.requested_percent)
        self._state.commands.append(command)
