"""When a job that was refused because the store does not answer should be submitted again."""

from math import ceil

from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.overload_admission import job_demand, spread_fraction
from lagoonshelf_core.jobs.spec import JobSpec

# An outage is expected to last about as long again as it has lasted. Longer estimates would keep
# jobs away from a store that is back.
MAX_RETRY_AFTER_MS = 8_000
# Part of a job's slack that one wait may take, so that a job comes back while it can end in time.
SLACK_SHARE = 0.5
# Refused jobs are spread over this share of their wait, so that they do not come back together.
SPREAD_SHARE = 0.5


def retry_after_outage_s(spec: JobSpec, queue: Queue, outage_ms: int) -> int:
    """Return the Retry-After of a job that cannot be stored, at least 1 s.

    Clients give up after some attempts, so that a constant wait of one second loses jobs with an
    objective of ten in an outage of five.

    :param outage_ms: time since the store's last answer
    """
    demand = job_demand(spec, queue)
    slack_ms = max(0.0, demand.objective_ms - demand.critical_path_ms)
    wait_ms = min(max(0, outage_ms), SLACK_SHARE * slack_ms, MAX_RETRY_AFTER_MS)
    return max(1, ceil(wait_ms * (1 + SPREAD_SHARE * spread_fraction(spec.id)) / 1000))
