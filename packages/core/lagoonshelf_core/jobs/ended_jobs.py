"""Jobs whose final state is durable, until a leader forgets them."""

from collections.abc import Iterator

from lagoonshelf_core.jobs.job_memory import JobMemory, description_bytes
from lagoonshelf_core.jobs.progress import Job
from lagoonshelf_core.jobs.spec import JobId

# Time for which an ended job may still be announced, or be read from the store, as a new one.
MIN_KNOWN_MS = 30_000


class EndedJobs:
    """Ended jobs in the order of their ends, with what they hold."""

    def __init__(self, memory: JobMemory) -> None:
        """Initialize without jobs.

        :param memory: memory of all jobs
        """
        self._memory = memory
        self._ended_ms: dict[JobId, int] = {}
        self.held_bytes = 0

    def __contains__(self, job_id: JobId) -> bool:
        """Return whether a job has been added."""
        return job_id in self._ended_ms

    def add(self, job: Job, now_ms: int) -> None:
        """Drop the tasks of an ended job; its description stays."""
        job.steps.clear()
        self._ended_ms[job.id] = now_ms
        size_bytes = description_bytes(job.spec)
        self.held_bytes += size_bytes
        self._memory.update(job.spec, size_bytes)

    def discard(self, job: Job) -> None:
        """Remove a job, if it has been added."""
        if self._ended_ms.pop(job.id, None) is not None:
            self.held_bytes -= description_bytes(job.spec)

    def excess(self, now_ms: int) -> Iterator[JobId]:
        """Yield the jobs to forget while ended ones hold too much; each is removed meanwhile.

        Their states are in the store. Those that ended a short time ago stay.
        """
        while self.held_bytes > self._memory.max_ended_bytes:
            job_id, ended_ms = next(iter(self._ended_ms.items()))
            if now_ms - ended_ms < MIN_KNOWN_MS:
                return
            yield job_id
