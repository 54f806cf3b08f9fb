"""Order of late steps by the receipt and the remaining work of their jobs."""

from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.progress import Job, StepRun
from lagoonshelf_core.jobs.ranking import Band, Rank, objective_ms
from lagoonshelf_core.jobs.spec import StepSpec

# Bands that are ordered by a virtual finish time. Work that is of no use any more keeps the order
# of receipt, so that what is owed longest is done first.
LATE_BANDS = frozenset({Band.LATE, Band.EXCESS_LATE})
# Share of a pool that a late job is reckoned to have: a wide job lets pass what a hundred others
# of the same work, sharing the pool equally, would let pass.
REFERENCE_SHARE = 0.01
# Factor on the share by the priority of the queue. A core-second of an urgent small job is worth
# about 3.5 times one of a wide job.
PRIORITY_FACTORS = (4.0, 2.0)
# A task without an estimate, or with a very small one, counts as this long.
MIN_ESTIMATE_MS = 50
# Longest postponement, in objectives of the job. A late job is of use for two more objectives, so
# that it comes to the front of the late ones while it still is.
MAX_DELAY_OBJECTIVES = 1.0


def order_late_by_work(row: Rank, step: StepRun, queue: Queue, pool_milli: int) -> Rank:
    """Return the sort key of a step with the order of late work by its virtual finish time.

    :param row: sort key by receipt
    :param pool_milli: CPU of the pool's usable workers, in thousandths
    """
    if row[0] not in LATE_BANDS or pool_milli <= 0:
        return row
    return (row[0], virtual_finish_ms(step, queue, pool_milli))


def virtual_finish_ms(step: StepRun, queue: Queue, pool_milli: int) -> float:
    """Return when a job would end if it had had its share of the pool since its receipt.

    Jobs received later than a job's own virtual finish never pass it, so that none starves.
    """
    objective = objective_ms(step, queue)
    work = waiting_work(step.job)
    return step.job.received_ms + late_delay_ms(work, objective, queue, pool_milli)


def late_delay_ms(work: int, objective: float, queue: Queue, pool_milli: int) -> float:
    """Return for how long after its receipt other late jobs pass a job.

    :param work: work of its waiting tasks, in thousandths of core-milliseconds
    :param objective: time from receipt within which it should end
    """
    priority = max(0, queue.priority)
    factor = PRIORITY_FACTORS[priority] if priority < len(PRIORITY_FACTORS) else 1.0
    delay_ms = work / (pool_milli * REFERENCE_SHARE * factor)
    return min(delay_ms, MAX_DELAY_OBJECTIVES * max(0.0, objective))


def waiting_work(job: Job) -> int:
    """Return the work of a job's tasks that wait, in thousandths of core-milliseconds.

    Services never end, and fillers use only CPU that others leave.
    """
    return sum(
        waiting_work_of_step(step)
        for step in job.steps.values()
        if not step.spec.is_service and not step.spec.is_filler
    )


def waiting_work_of_step(step: StepRun) -> int:
    """Return the work of a step's tasks that wait, in thousandths of core-milliseconds."""
    return len(step.waiting) * step.spec.size.cpu_milli * estimate_ms(step.spec)


def estimate_ms(spec: StepSpec) -> int:
    """Return the estimated run time of a task of a step."""
    return max(MIN_ESTIMATE_MS, spec.estimate_ms)
