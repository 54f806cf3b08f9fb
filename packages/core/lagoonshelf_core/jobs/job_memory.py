"""Estimated memory of the jobs at a leader, and the bound that new jobs have to fit into.

A description of some hundred bytes may stand for thousands of tasks, so that neither the number of
jobs nor their bytes tell what they cost.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from sys import getsizeof

from lagoonshelf_core.ids import TeamId
from lagoonshelf_core.jobs.spec import JobId, JobSpec

MB = 1024 * 1024
# Memory of the smallest host, for settings files without it.
DEFAULT_MEMORY_MB = 160
# Shares of the memory of the smallest host, which may be the next leader. An eighth is for the
# connections of clients, the remainder for the process itself and the state of the workers.
JOB_SHARE = 1 / 4
RUN_SHARE = 1 / 8
# A team may hold this multiple of what all teams leave free: one alone three quarters, and several
# together never all of it.
TEAM_RATIO = 3
# Bytes of CPython objects, rounded up for what the allocator adds.
JOB_BYTES = 1_600
STEP_SPEC_BYTES = 500
STEP_BYTES = 2_200
TASK_BYTES = 260
RUN_BYTES = 1_000
# The copies in which a large text arrives, and in which it is stored, leave the heap fragmented.
TEXT_FACTOR = 2
# Ended jobs are forgotten from this share of the bound on, those that ended first before others.
ENDED_SHARE = 1 / 4
# A team reaches its own bound at three quarters of the total at the earliest. Teams are listed
# early enough for a job of a quarter.
LISTED_SHARE = 1 / 2


@dataclass(frozen=True, slots=True)
class TeamMemory:
    """Memory of the jobs of a team.

    :param size_bytes: with those that are stored and wait for memory
    """

    team: TeamId
    size_bytes: int


@dataclass(frozen=True, slots=True)
class MemoryReport:
    """Memory of jobs at the leader, as it tells the other members.

    :param max_bytes: 0 if it is not known
    :param teams: empty while no team can have reached its share
    """

    held_bytes: int = 0
    max_bytes: int = 0
    teams: tuple[TeamMemory, ...] = ()


class JobMemory:
    """Estimated memory of the jobs of one leader, in total and by team."""

    def __init__(self, memory_mb: float = DEFAULT_MEMORY_MB) -> None:
        """Initialize without jobs.

        :param memory_mb: memory of the smallest host
        """
        self.set_host_memory(memory_mb)
        self.held_bytes = 0
        self._by_team: dict[TeamId, int] = {}
        self._jobs: dict[JobId, tuple[TeamId, int]] = {}

    def set_host_memory(self, memory_mb: float) -> None:
        """Derive the bounds from the memory of the smallest host."""
        self.max_bytes = int(memory_mb * MB * JOB_SHARE)
        self.max_ended_bytes = int(self.max_bytes * ENDED_SHARE)
        self.max_runs = int(memory_mb * MB * RUN_SHARE / RUN_BYTES)

    def fits(self, team: TeamId, size_bytes: int) -> bool:
        """Return whether a team may hold so much more; without any jobs one of any size fits."""
        if not self.held_bytes:
            return True
        return is_within_bounds(
            size_bytes, self._by_team.get(team, 0), self.held_bytes, self.max_bytes
        )

    def update(self, spec: JobSpec, size_bytes: int) -> None:
        """Record what a job holds now, 0 when it is removed."""
        team, former_bytes = self._jobs.pop(spec.id, (spec.team, 0))
        growth = size_bytes - former_bytes
        self.held_bytes += growth
        self._by_team[team] = self._by_team.get(team, 0) + growth
        if size_bytes:
            self._jobs[spec.id] = (team, size_bytes)
        if not self._by_team[team]:
            del self._by_team[team]

    def report(self, deferred: dict[TeamId, int]) -> MemoryReport:
        """Return what other members are told.

        :param deferred: bytes by team of stored jobs that wait for memory
        """
        if not deferred and self.held_bytes <= LISTED_SHARE * self.max_bytes:
            return MemoryReport(self.held_bytes, self.max_bytes)
        teams = tuple(
            TeamMemory(team, self._by_team.get(team, 0) + deferred.get(team, 0))
            for team in dict.fromkeys((*self._by_team, *deferred))
        )
        return MemoryReport(self.held_bytes, self.max_bytes, teams)


def is_within_bounds(size_bytes: int, team_bytes: int, held_bytes: int, max_bytes: int) -> bool:
    """Return whether a team may hold so much more beside what it and all teams hold."""
    free_bytes = max_bytes - held_bytes - size_bytes
    return free_bytes >= 0 and team_bytes + size_bytes <= TEAM_RATIO * free_bytes


def job_bytes(spec: JobSpec) -> int:
    """Return the estimated memory of a job that waits, with its first occurrence."""
    return description_bytes(spec) + occurrence_bytes(spec)


def description_bytes(spec: JobSpec) -> int:
    """Return the estimated memory of the description of a job."""
    steps_bytes = sum(
        STEP_SPEC_BYTES + getsizeof(step.after) + _text_bytes((step.label, step.rack, step.image))
        for step in spec.steps
    )
    return JOB_BYTES + _text_bytes((spec.payload,)) + steps_bytes


def occurrence_bytes(spec: JobSpec) -> int:
    """Return the estimated memory of an open occurrence of a job."""
    return sum(STEP_BYTES + TASK_BYTES * step.count for step in spec.steps)


def _text_bytes(texts: Iterable[str]) -> int:
    return TEXT_FACTOR * sum(getsizeof(text) for text in texts if text)
