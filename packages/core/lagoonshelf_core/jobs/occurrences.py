"""Opening of the occurrences of scheduled jobs that are due."""

from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.job_memory import occurrence_bytes
from lagoonshelf_core.jobs.progress import Job
from lagoonshelf_core.jobs.spec import Occurrence

# Tasks of due occurrences that one scheduling pass creates; it ends within a small part of the
# leader lease's TTL.
MAX_NEW_TASKS_PER_PASS = 500


def open_due_occurrences(cell: Cell, now_wall_ms: int) -> bool:
    """Create the steps of the occurrences that are due; return whether some are left.

    A job may be handed in, or taken over, with thousands that are due.
    """
    new_tasks = 0
    for job in cell.live_jobs.values():
        spec = job.spec
        # After a takeover a later one may exist, by the record or a list, and this one not.
        while job.next_occurrence < spec.occurrences:
            if now_wall_ms < spec.first_due_ms + job.next_occurrence * spec.interval_ms:
                break
            if job.next_occurrence in job.done_occurrences:
                job.next_occurrence = job.done_occurrences.next_absent(job.next_occurrence)
                continue
            if cell.open_steps.has_enough(job) or not _has_memory(cell, job):
                break
            if new_tasks >= MAX_NEW_TASKS_PER_PASS:
                return True
            cell.open_occurrence(job, Occurrence(job.next_occurrence))
            cell.update_memory(job)
            job.next_occurrence += 1
            new_tasks += sum(step.count for step in spec.steps)
    return False


def _has_memory(cell: Cell, job: Job) -> bool:
    """Return whether another occurrence of a job may be opened; one always may."""
    return not job.steps or cell.memory.fits(job.spec.team, occurrence_bytes(job.spec))
