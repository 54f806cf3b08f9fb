"""Processor limits on background tasks: confirmation by the worker, and lifting."""

from lagoonshelf_core.commands import Throttle
from lagoonshelf_core.holding import Holding
from lagoonshelf_core.ids import TaskId
from lagoonshelf_core.pass_state import PassState
from lagoonshelf_core.preemption import THROTTLED_PERCENT, throttled_size

UNLIMITED_PERCENT = 100


class Throttles:
    """Tasks with a processor limit.

    Room counts as free only after the worker has confirmed the limit, and counts as held from
    the moment the limit is lifted.
    """

    def __init__(self, state: PassState) -> None:
        """Start without limits."""
        self._state = state
        self._limited: dict[TaskId, None] = {}

    def confirm(self, task: TaskId, percent: int) -> None:
        """Take in that a worker limits a task; an outdated confirmation is ignored."""
        holding = self._state.holdings.get(task)
        if holding is None or holding.asked_percent != percent:
            return
        if percent != THROTTLED_PERCENT or holding.percent == percent:
            return
        holding.percent = percent
        self._limited[task] = None
        self._state.holdings.resize(holding, throttled_size(holding.full))

    def lift(self) -> None:
        """Lift limits where the processor time is available again."""
        for task in list(self._limited):
            holding = self._state.holdings.get(task)
            if holding is None:
                del self._limited[task]
            elif self._fits(holding):
                del self._limited[task]
                self._lift(holding)

    def _fits(self, holding: Holding) -> bool:
        room = self._state.room
        return (holding.full - holding.size).fits_in(room.available(holding.worker))

    def _lift(self, holding: Holding) -> None:
        holding.percent = UNLIMITED_PERCENT
        holding.asked_percent = UNLIMITED_PERCENT
        self._state.holdings.resize(holding, holding.full)
        command = Throttle(holding.task.task, holding.worker, UNLIMITED_PERCENT)
        self._state.commands.append(command)
