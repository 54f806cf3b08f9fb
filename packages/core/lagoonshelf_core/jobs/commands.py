"""Commands that the scheduler of the cell gives to the process."""

from dataclasses import dataclass

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.jobs.progress import Run, StepRun


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run on its worker.

    :param permit: permit of the placement policy, empty when none is required
    :param permit_expires_ms: clock time at which the permit expires
    """

    run: Run
    payload: str
    checkpoint: str
    permit: str
    permit_expires_ms: int = 0


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run.

    :param reason: text for the log
    """

    run: Run
    reason: str


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Set the speed of a run.

    :param percent: share of full speed
    """

    run: Run
    percent: int


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Request advice: ask the placement policy which of the workers may run a step.

    :param cost_ms: time that the policy takes to respond
    """

    step: StepRun
    workers: tuple[WorkerId, ...]
    cost_ms: float


Command = StartRun | StopRun | PaceRun | RequestAdvice
