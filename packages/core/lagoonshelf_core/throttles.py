"""Processor limits on background tasks: confirmation by the worker, and lifting."""

from lagoonshelf_core.commands import Throttle
from lagoonshelf_core.holding import Holding
from lagoonshelf_core.ids import TaskId
from lagoonshelf_core.pass_state import PassState
from lagoonshelf_core.preemption import THROTTLED_PERCENT, throttled_size
from lagoonshelf_core.resources import ZERO_RESOURCES

UNLIMITED_PERCENT = 100
THROTTLE_WAIT_MS = 250  # with the wait for a checkpoint, urgent work starts within 1 s


class Throttles:
    """Tasks with a processor limit.

    Room counts as free only after the worker has confirmed the limit, and counts as held from
    the moment the limit is lifted.
    """

    def __init__(self, state: PassState) -> None:
        """Start without limits."""
        self._state = state
        self._limited: dict[TaskId, None] = {}

    def __len__(self) -> int:
        return len(self._limited)

    def ask(self, holding: Holding) -> None:
        """Ask the worker to limit a task."""
        holding.asked_percent = THROTTLED_PERCENT
        holding.asked_ms = self._state.now_ms
        self._limited[holding.task.task] = None
        gain = holding.size - throttled_size(holding.full)
        self._state.holdings.ask(holding, gain)
        self._send(holding)

    def confirm(self, task: TaskId, percent: int) -> None:
        """Take in that a worker limits a task; an outdated confirmation is ignored."""
        holding = self._state.holdings.get(task)
        if holding is None or holding.asked_percent != percent:
            return
        if percent != THROTTLED_PERCENT or holding.percent == percent:
            return
        holding.percent = percent
        size = throttled_size(holding.full)
        self._state.holdings.ask(holding, size if holding.requeue else ZERO_RESOURCES)
        self._state.holdings.resize(holding, size)

    def lift(self) -> None:
        """Lift limits where the processor time is available again or nothing was confirmed.

        A limit may be in force although its confirmation was lost.
        """
        for task in list(self._limited):
            holding = self._state.holdings.get(task)
            if holding is None:
                del self._limited[task]
            elif not holding.requeue and self._may_lift(holding):
                del self._limited[task]
                self._lift(holding)

    def _may_lift(self, holding: Holding) -> bool:
        if holding.percent == UNLIMITED_PERCENT:
            return self._state.now_ms - holding.asked_ms >= THROTTLE_WAIT_MS
        room = self._state.room
        return (holding.full - holding.size).fits_in(room.available(holding.worker))

    def _lift(self, holding: Holding) -> None:
        holding.percent = UNLIMITED_PERCENT
        holding.asked_percent = UNLIMITED_PERCENT
        self._state.holdings.ask(holding, ZERO_RESOURCES)
        self._state.holdings.resize(holding, holding.full)
        self._send(holding)

    def _send(self, holding: Holding) -> None:
        command = Throttle(holding.task.task, holding.worker, holding.asked_percent)
        self._state.commands.append(command)
