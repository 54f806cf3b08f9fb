"""Order in which waiting steps are scheduled."""

from enum import IntEnum

from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.progress import StepRun

# A job that ends later than this multiple of its objective is of no use to its client any more.
TOO_LATE_FACTOR = 3.0


class Band(IntEnum):
    """Priority bands; the lowest value is scheduled first.

    ``EXCESS`` and ``EXCESS_LATE`` are for jobs beyond their team's rate, ``TOO_LATE`` for jobs
    expected to end later than ``TOO_LATE_FACTOR`` times their objective.
    """

    SERVICE = 0
    URGENT = 1
    ON_TIME = 2
    LATE = 3
    EXCESS = 4
    EXCESS_LATE = 5
    TOO_LATE = 6


Rank = tuple[int, float]

# Bands whose steps go by slack; those of the others go by time of receipt.
_SLACK_BANDS = frozenset({Band.URGENT, Band.ON_TIME, Band.EXCESS})
# Part of its slack by which a step that is on time may be held back, so that it stays on time.
MAX_SLACK_SHARE = 0.5


def objective_ms(step: StepRun, queue: Queue) -> float:
    """Return the time from receipt within which the job of a step should end."""
    return queue.stretch * step.job.critical_path_ms + queue.latency_ms


def slack_ms(step: StepRun, queue: Queue, now_ms: int, pool_rate: float = 1.0) -> float:
    """Return how long a step may still wait without its job missing its objective.

    :param pool_rate: estimates of the pool's tasks divided by their usual run times
    """
    waited_ms = now_ms - step.job.received_ms
    return objective_ms(step, queue) - waited_ms - step.remaining_ms / pool_rate


def rank(step: StepRun, queue: Queue, now_ms: int, pool_rate: float = 1.0) -> Rank:
    """Return the sort key of a step; the lowest one is scheduled first.

    :param pool_rate: estimates of the pool's tasks divided by their usual run times
    """
    job = step.job
    if step.spec.is_service:
        return (Band.SERVICE, job.received_ms)
    if job.spec.occurrences:
        return (Band.ON_TIME, 0.0)
    slack = slack_ms(step, queue, now_ms, pool_rate)
    if slack < -(TOO_LATE_FACTOR - 1.0) * objective_ms(step, queue):
        return (Band.TOO_LATE, job.received_ms)
    if job.is_excess:
        # Scheduling all excess jobs in order of receipt would let those already late make the
        # others late, too.
        return (Band.EXCESS, slack) if slack >= 0 else (Band.EXCESS_LATE, job.received_ms)
    if slack < 0:
        return (Band.LATE, job.received_ms)
    return (Band.URGENT if queue.priority == 0 else Band.ON_TIME, slack)


def prefers_fast(step: StepRun, queue: Queue, now_ms: int) -> bool:
    """Return whether the faster workers are for a step: an urgent one, or one of a long chain.

    A chain is long that takes over half of the time left for it, so that workers of half the
    usual speed would make its job late. Late steps leave the fast workers to those in time.
    """
    if queue.priority == 0:
        return True
    return 0 <= slack_ms(step, queue, now_ms) < step.remaining_ms


def hold_back(found: Rank, penalty_ms: float) -> Rank:
    """Return the sort key of a step that is held back within its band.

    Steps with the same penalty keep their order. Services are not held back, as they wait for
    nothing but room.
    """
    band, key = found
    if penalty_ms <= 0 or band == Band.SERVICE:
        return found
    if band in _SLACK_BANDS:
        penalty_ms = min(penalty_ms, max(0.0, key) * MAX_SLACK_SHARE)
    return (band, key + penalty_ms)
