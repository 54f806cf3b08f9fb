"""Admission of a submitted job by the memory that the jobs at the leader take."""

from collections.abc import Mapping
from dataclasses import dataclass

from lagoonshelf_core.ids import TeamId
from lagoonshelf_core.jobs.job_memory import MemoryReport, is_within_bounds, job_bytes
from lagoonshelf_core.jobs.overload_admission import spread_fraction
from lagoonshelf_core.jobs.spec import JobSpec

# Memory is freed as jobs end, which takes seconds; refused jobs come back one after the other.
RETRY_AFTER_S = 5
RETRY_SPREAD_S = 10
# Jobs that are stored although they do not fit, as a refusal could not be checked, wait at the
# leader as a short entry each. Beyond this multiple of the bound no more are stored.
MAX_BACKLOG_RATIO = 2


@dataclass(frozen=True, slots=True)
class MemoryRefusal:
    """A job that is not accepted because the memory for jobs is in use.

    :param is_team: the share of its team is in use, not all memory
    :param size_bytes: estimated memory of the job
    :param report_age_ms: age of what was known of the leader
    :param is_backlog_full: too many jobs wait in the store already to store this one in doubt
    """

    retry_after_s: int
    is_team: bool
    size_bytes: int
    held_bytes: int
    max_bytes: int
    report_age_ms: int
    is_backlog_full: bool = False

    @property
    def message(self) -> str:
        """Return the text for the client."""
        whose = "its team" if self.is_team else "all teams"
        return f"the jobs of {whose} leave no memory for this one"


def find_memory_refusal(
    spec: JobSpec, report: MemoryReport, added: Mapping[TeamId, int], age_ms: int
) -> MemoryRefusal | None:
    """Return why a job is refused, None if it fits or nothing is known of the leader.

    :param added: bytes by team of the jobs that this member accepted after the report
    :param age_ms: age of the report
    """
    if not report.max_bytes:
        return None
    size_bytes = job_bytes(spec)
    held_bytes = report.held_bytes + sum(added.values())
    listed = sum(row.size_bytes for row in report.teams if row.team == spec.team)
    team_bytes = listed + added.get(spec.team, 0)
    if is_within_bounds(size_bytes, team_bytes, held_bytes, report.max_bytes):
        return None
    is_team = held_bytes + size_bytes <= report.max_bytes
    retry_after_s = RETRY_AFTER_S + round(RETRY_SPREAD_S * spread_fraction(spec.id))
    backlog_bytes = sum(row.size_bytes for row in report.teams) + sum(added.values())
    return MemoryRefusal(
        retry_after_s,
        is_team,
        size_bytes,
        held_bytes,
        report.max_bytes,
        age_ms,
        is_backlog_full=backlog_bytes > MAX_BACKLOG_RATIO * report.max_bytes,
    )
