"""Commands that planning gives to the process."""

from dataclasses import dataclass

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.progress import Run, StepRun


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run on its worker.

    :param permit: permission of the placement policy, empty where none is needed
    """

    run: Run
    payload: str
    checkpoint: str
    permit: str


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run.

    :param reason: for the log
    """

    run: Run
    reason: str


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Let a run work at a share of full speed."""

    run: Run
    percent: int


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Ask the placement policy which of the workers may run a step."""

    step: StepRun
    workers: tuple[WorkerId, ...]
    cost_ms: float


Command = StartRun | StopRun | PaceRun | RequestAdvice
