"""Store keys of the cell's own state."""

from lagoonshelf_core.jobs.spec import JobId

LEADER_KEY = "cell/holder"
# Current term; unlike the leader key it is not bound to a lease.
TERM_KEY = "cell/term"
SECRET = "cell/secret"
USED_WORKERS = "cell/workers"
USAGE = "cell/usage"
SUBMISSION_PREFIX = "in/"
JOB_PREFIX = "in/job/"
CANCEL_PREFIX = "in/cancel/"
PROGRESS_PREFIX = "progress/"
# Final states; the other records of a job are deleted when it ends.
ENDED_PREFIX = "ended/"


def job_key(job: JobId) -> str:
    """Return the key of an accepted job's record."""
    return JOB_PREFIX + job


def cancel_key(job: JobId) -> str:
    """Return the key of a job's cancellation."""
    return CANCEL_PREFIX + job


def progress_key(job: JobId) -> str:
    """Return the key of the record of a job's progress."""
    return PROGRESS_PREFIX + job


def ended_key(job: JobId) -> str:
    """Return the key of the record of an ended job."""
    return ENDED_PREFIX + job
