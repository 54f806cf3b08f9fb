"""Order in which waiting steps are served."""

from enum import IntEnum

from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.progress import StepRun

# A job that ends later than this multiple of its objective is of no more use to its caller.
TOO_LATE_FACTOR = 3.0


class Band(IntEnum):
    """Bands of the order; a lower one goes first."""

    SERVICE = 0
    URGENT = 1
    ON_TIME = 2
    LATE = 3
    EXCESS = 4
    EXCESS_LATE = 5
    TOO_LATE = 6


Rank = tuple[int, float]


def remaining_ms(step: StepRun) -> float:
    """Return the estimated time from a step's start to the end of its job."""
    steps = step.job.spec.steps
    end_ms_by_step = {step.index: float(step.spec.estimate_ms)}
    for index in range(step.index + 1, len(steps)):
        before = [
            end_ms_by_step[number] for number in steps[index].after if number in end_ms_by_step
        ]
        if before:
            end_ms_by_step[index] = max(before) + steps[index].estimate_ms
    return max(end_ms_by_step.values())


def objective_ms(step: StepRun, queue: Queue) -> float:
    """Return the time from receipt within which the step's job should end."""
    return queue.stretch * step.job.critical_path_ms + queue.latency_ms


def slack_ms(step: StepRun, queue: Queue, now_ms: int) -> float:
    """Return how long the step may still wait without its job missing its objective."""
    waited_ms = now_ms - step.job.received_ms
    return objective_ms(step, queue) - waited_ms - remaining_ms(step)


def rank(step: StepRun, queue: Queue, now_ms: int) -> Rank:
    """Return the place of a step in the order, lowest first."""
    job = step.job
    if step.spec.is_service:
        return (Band.SERVICE, job.received_ms)
    if job.spec.occurrences:
        return (Band.ON_TIME, 0.0)
    slack = slack_ms(step, queue, now_ms)
    if slack < -(TOO_LATE_FACTOR - 1.0) * objective_ms(step, queue):
        return (Band.TOO_LATE, job.received_ms)
    if job.is_excess:
        # In order of receipt, jobs that are late already would make all others late.
        return (Band.EXCESS, slack) if slack >= 0 else (Band.EXCESS_LATE, job.received_ms)
    if slack < 0:
        return (Band.LATE, job.received_ms)
    return (Band.URGENT if queue.priority == 0 else Band.ON_TIME, slack)
