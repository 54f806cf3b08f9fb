"""What the soak checks, on what callers were told and what executors ran."""

from collections.abc import Iterable
from itertools import pairwise

from tests.platform.standin.clients import NO_RESPONSE, ClientJob
from tests.platform.standin.executors import RunRecord

STORED = 200
REFUSED = (429, 503)
UNCERTAIN = (NO_RESPONSE, 502, 504)
STATE_ORDER = {"queued": 0, "running": 1, "complete": 2, "failed": 2, "cancelled": 2}
FINAL = ("complete", "failed", "cancelled")


def overlapping_runs(history: Iterable[RunRecord], end_s: float) -> list[str]:
    """Return the tasks that ran twice at the same time."""
    by_task: dict[str, list[RunRecord]] = {}
    for record in history:
        by_task.setdefault(record.task, []).append(record)
    faults = []
    for task, records in by_task.items():
        records.sort(key=lambda record: record.started_s)
        for first, second in pairwise(records):
            if (first.ended_s or end_s) > second.started_s:
                faults.append(
                    f"twice: {task} run {first.attempt} on {first.executor} "
                    f"and run {second.attempt} on {second.executor}"
                )
    return faults


def repeated_completions(history: Iterable[RunRecord]) -> list[str]:
    """Return the tasks that ended well more than once, as far as somebody could know."""
    counts: dict[str, int] = {}
    for record in history:
        if record.end == "done" and not record.is_end_lost:
            counts[record.task] = counts.get(record.task, 0) + 1
    return [f"done {count} times: {task}" for task, count in counts.items() if count > 1]


def overcommitted(
    history: Iterable[RunRecord], capacity_cpu: int, cap_cpu: int, end_s: float
) -> list[str]:
    """Return the executors, and the tenant, that had more running than allowed.

    :param cap_cpu: 0 for no cap
    """
    changes: dict[str, list[tuple[float, int]]] = {}
    for record in history:
        for name in (record.executor, "tenant"):
            rows = changes.setdefault(name, [])
            rows.append((record.started_s, record.cpu))
            rows.append((record.ended_s or end_s, -record.cpu))
    faults = []
    for name, rows in changes.items():
        limit = cap_cpu if name == "tenant" else capacity_cpu
        used = most = 0
        for _, change in sorted(rows):
            used += change
            most = max(most, used)
        if limit and most > limit:
            faults.append(f"over capacity: {name} ran {most} of {limit}")
    return faults


def incorrect_responses(jobs: Iterable[ClientJob], history: Iterable[RunRecord]) -> list[str]:
    """Return the jobs whose callers were told something false."""
    runs: dict[str, list[RunRecord]] = {}
    for record in history:
        runs.setdefault(record.task.partition(".")[0], []).append(record)
    faults = []
    for job in jobs:
        records = runs.get(job.id, [])
        if _is_refused(job) and records:
            faults.append(f"refused but run: {job.id} {job.statuses}")
        if job.accepted_s and (not job.states or job.states[-1] not in FINAL):
            faults.append(f"lost: {job.id} is {job.states[-1:] or 'unknown'}")
        done = {record.task for record in records if record.end == "done"}
        if "complete" in job.states and len(done) < job.tasks:
            faults.append(f"complete without all ends: {job.id}, {len(done)} of {job.tasks}")
        if "cancelled" in job.states and not job.cancelled_s:
            faults.append(f"cancelled by nobody: {job.id}")
        faults += [
            f"reverted: {job.id} from {before} to {after}"
            for before, after in pairwise(job.states)
            if before != after and STATE_ORDER[after] <= STATE_ORDER[before]
        ]
    return faults


def _is_refused(job: ClientJob) -> bool:
    """Tell whether every try was refused, so that no earlier one may have been stored."""
    return bool(job.statuses) and all(status in REFUSED for status in job.statuses)
