"""Maintenance waves: when each machine is drained and taken down, within the wave's limits."""

from dataclasses import dataclass, field
from enum import Enum
from math import ceil
from typing import NewType

from lagoonshelf_core.ids import WorkerId

MachineId = NewType("MachineId", str)

# Part of a round that is reserved for the maintenance command, the delay of the machine list and
# the restart of the worker.
ROUND_MARGIN_MS = 1_000
MIN_DRAIN_MS = 500


@dataclass(frozen=True, slots=True)
class WaveSpec:
    """A maintenance wave as the operator requested it.

    :param duration_ms: time for the whole wave
    :param max_down: machines that may be draining or down at once
    """

    number: int
    machines: tuple[MachineId, ...]
    duration_ms: int
    max_down: int


@dataclass(frozen=True, slots=True)
class MachineView:
    """A machine as the platform lists it.

    :param worker: worker on the machine, or None while there is none
    :param is_maintained: its maintenance is under way
    """

    id: MachineId
    is_up: bool
    worker: WorkerId | None
    is_maintained: bool = False


class MachinePhase(Enum):
    """Phase of a machine in a wave."""

    PENDING = "pending"
    DRAINING = "emptying"
    DOWN = "down"
    DONE = "done"


@dataclass(slots=True)
class _MachineState:
    phase: MachinePhase = MachinePhase.PENDING
    phase_since_ms: int = 0
    old_worker: WorkerId | None = None


@dataclass(slots=True)
class Wave:
    """A wave in progress.

    A new leader restarts the wave from the beginning. It may request maintenance that has already
    started again, which does no harm.

    :param maintenance_ms: duration of the maintenance of one machine
    """

    spec: WaveSpec
    received_ms: int
    maintenance_ms: int
    machines: dict[MachineId, _MachineState] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.machines = {name: _MachineState() for name in self.spec.machines}

    @property
    def is_complete(self) -> bool:
        """Return whether each machine has been maintained or is no longer listed."""
        return all(entry.phase is MachinePhase.DONE for entry in self.machines.values())

    def drain_limit_ms(self) -> int:
        """Return how long a machine may take to drain."""
        rounds = ceil(len(self.spec.machines) / max(1, self.spec.max_down))
        round_ms = self.spec.duration_ms // max(1, rounds)
        return max(MIN_DRAIN_MS, round_ms - self.maintenance_ms - ROUND_MARGIN_MS)

    def draining_workers(self) -> set[WorkerId]:
        """Return the workers that get no new tasks because their machine is being drained."""
        return {
            entry.old_worker
            for entry in self.machines.values()
            if entry.old_worker is not None and entry.phase is MachinePhase.DRAINING
        }

    def advance(
        self, views: dict[MachineId, MachineView], busy: set[WorkerId], now_ms: int
    ) -> list[MachineId]:
        """Update the machines and return those whose maintenance should start now.

        :param views: machines as last listed; a missing machine counts as done
        :param busy: workers with runs
        """
        for name, entry in self.machines.items():
            self._update_machine(entry, views.get(name), now_ms)
        self._start_draining(views, now_ms)
        return [
            name
            for name, entry in self.machines.items()
            if entry.phase is MachinePhase.DRAINING
            and (
                entry.old_worker not in busy
                or now_ms - entry.phase_since_ms >= self.drain_limit_ms()
            )
        ]

    def maintenance_started(self, name: MachineId, now_ms: int) -> None:
        """Record that the platform has accepted the maintenance of a machine."""
        entry = self.machines[name]
        entry.phase = MachinePhase.DOWN
        entry.phase_since_ms = now_ms

    def _update_machine(self, entry: _MachineState, view: MachineView | None, now_ms: int) -> None:
        if view is None:
            entry.phase = MachinePhase.DONE
        elif entry.phase is MachinePhase.DRAINING:
            entry.old_worker = view.worker
        elif entry.phase is MachinePhase.DOWN and view.is_up:
            # A machine that an earlier leader had maintained keeps its worker.
            down_ms = now_ms - entry.phase_since_ms
            is_overdue = down_ms >= self.maintenance_ms + ROUND_MARGIN_MS
            if is_overdue or view.worker != entry.old_worker:
                entry.phase = MachinePhase.DONE

    def _start_draining(self, views: dict[MachineId, MachineView], now_ms: int) -> None:
        # An earlier leader may have requested the maintenance of a machine that is pending here.
        active = sum(
            entry.phase in (MachinePhase.DRAINING, MachinePhase.DOWN)
            or (name in views and views[name].is_maintained)
            for name, entry in self.machines.items()
        )
        for name, entry in self.machines.items():
            if active >= self.spec.max_down:
                return
            view = views.get(name)
            if entry.phase is MachinePhase.PENDING and view is not None and view.is_up:
                entry.phase = MachinePhase.DRAINING
                entry.phase_since_ms = now_ms
                entry.old_worker = view.worker
                active += 1
