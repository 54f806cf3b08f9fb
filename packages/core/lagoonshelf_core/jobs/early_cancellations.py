"""Cancellations of jobs that are not known yet."""

import orjson

from lagoonshelf_core.jobs.spec import JobId

# As long as the state of an ended job is kept; a write of a job is rarely under way for longer.
EARLY_CANCELLATION_MS = 150_000
# A leader remembers a cancellation for longer than its record is kept, or a successor would know
# of one that it has forgotten.
MEMORY_MS = 2 * EARLY_CANCELLATION_MS


class EarlyCancellations:
    """Remembers cancellations until their jobs become known, or for a limited time."""

    def __init__(self) -> None:
        """Set up without cancellations."""
        self._added_ms: dict[JobId, int] = {}

    def add(self, job: JobId, now_ms: int) -> None:
        """Remember the cancellation of a job."""
        self._added_ms[job] = now_ms

    def take(self, job: JobId) -> bool:
        """Forget the cancellation of a job; return whether there was one."""
        return self._added_ms.pop(job, None) is not None

    def take_expired(self, now_ms: int) -> list[JobId]:
        """Forget the cancellations that have been kept long enough and return their jobs."""
        limit_ms = now_ms - MEMORY_MS
        expired = [job for job, added_ms in self._added_ms.items() if added_ms <= limit_ms]
        for job in expired:
            del self._added_ms[job]
        return expired


def encode_cancellation(now_wall_ms: int) -> bytes:
    """Return the durable record of a cancellation."""
    return orjson.dumps({"at_ms": now_wall_ms})


def is_cancellation_expired(data: bytes, now_wall_ms: int) -> bool:
    """Return whether the record of a cancellation is no longer needed while its job is unknown.

    An unreadable record, or one of an earlier version, which has no time, is not needed.
    """
    try:
        return now_wall_ms - int(orjson.loads(data)["at_ms"]) >= EARLY_CANCELLATION_MS
    except (KeyError, TypeError, ValueError):
        return True
