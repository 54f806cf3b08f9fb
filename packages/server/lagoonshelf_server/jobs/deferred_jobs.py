"""Stored jobs that a leader has not loaded, as they do not fit into its memory yet."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from lagoonshelf_core.ids import QueueId, TeamId
from lagoonshelf_core.jobs.job_memory import JobMemory, job_bytes
from lagoonshelf_core.jobs.spec import JobId, JobSpec
from lagoonshelf_server.jobs import job_metrics
from lagoonshelf_server.jobs.job_watcher import read_job
from lagoonshelf_server.jobs.keys import job_key
from lagoonshelf_server.jobs.ports import Store, StoreUnavailableError, StoreUncertainError
from lagoonshelf_server.logs import logger

CHECK_INTERVAL_S = 0.1
RETRY_S = 0.5

_log = logger("deferred")


@dataclass(frozen=True, slots=True)
class DeferredJob:
    """What is kept of a job that waits in the store for memory."""

    id: JobId
    team: TeamId
    queue: QueueId
    size_bytes: int

    @classmethod
    def of(cls, spec: JobSpec) -> "DeferredJob":
        """Return what is kept of a job."""
        return cls(spec.id, spec.team, spec.queue, job_bytes(spec))


class DeferredJobs:
    """Loads deferred jobs in the order of their arrival within a team, once they fit.

    None of them has started, so that the record of its submission is all that there is of it.
    """

    def __init__(self, store: Store, memory: JobMemory, load: Callable[[JobSpec], None]) -> None:
        """Set up without jobs.

        :param memory: memory of the jobs that the leader has loaded
        :param load: adds a job to the cell
        """
        self._store = store
        self._memory = memory
        self._load = load
        self._jobs: dict[TeamId, dict[JobId, DeferredJob]] = {}
        self._teams: dict[JobId, TeamId] = {}
        self.bytes_by_team: Counter[TeamId] = Counter()
        self.count_by_queue: Counter[QueueId] = Counter()
        # Cancelled jobs are loaded at once: they hold memory only until their end is durable.
        self._cancelled: dict[JobId, None] = {}

    def __contains__(self, job: JobId) -> bool:
        """Return whether a job is deferred."""
        return job in self._teams

    def __len__(self) -> int:
        """Return the number of deferred jobs."""
        return len(self._teams)

    def may_load(self, spec: JobSpec) -> bool:
        """Return whether a job may be loaded at once.

        Behind a deferred job of its team it may not: small jobs could keep a large one waiting.
        """
        return spec.team not in self._jobs and self._memory.fits(spec.team, job_bytes(spec))

    def add(self, job: DeferredJob) -> None:
        """Defer a stored job that has not started."""
        self._teams[job.id] = job.team
        self._jobs.setdefault(job.team, {})[job.id] = job
        self.bytes_by_team[job.team] += job.size_bytes
        self.count_by_queue[job.queue] += 1

    def cancel(self, job: JobId) -> None:
        """Load a job before all others, as it has been cancelled."""
        if job in self._teams:
            self._cancelled[job] = None

    async def run(self) -> None:
        """Load jobs until cancelled."""
        while True:
            job = self._next()
            if job is None:
                await asyncio.sleep(CHECK_INTERVAL_S)
            elif not await self._load_one(job):
                await asyncio.sleep(RETRY_S)

    def _next(self) -> JobId | None:
        """Return a job that fits now."""
        if self._cancelled:
            return next(iter(self._cancelled))
        for jobs in self._jobs.values():
            first = next(iter(jobs.values()))
            if self._memory.fits(first.team, first.size_bytes):
                return first.id
        return None

    async def _load_one(self, job: JobId) -> bool:
        """Load a job; return whether the store answered."""
        try:
            item = await self._store.read(job_key(job))
        except (StoreUnavailableError, StoreUncertainError) as exc:
            _log.info("deferred job not loaded", request=job, reason=str(exc))
            return False
        self._remove(job)
        spec = None if item is None else read_job(item)
        if spec is None:
            _log.error("deferred job is not in the store", request=job)
            return True
        self._load(spec)
        job_metrics.deferred_jobs.set({}, len(self))
        _log.info("deferred job loaded", request=job, left=len(self))
        return True

    def _remove(self, job: JobId) -> None:
        self._cancelled.pop(job, None)
        team = self._teams.pop(job)
        # The team goes to the end, so that the teams take turns.
        jobs = self._jobs.pop(team)
        removed = jobs.pop(job)
        if jobs:
            self._jobs[team] = jobs
        self.bytes_by_team -= Counter({team: removed.size_bytes})
        self.count_by_queue -= Counter({removed.queue: 1})
