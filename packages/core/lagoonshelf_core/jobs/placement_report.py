"""Report of where the tasks of a job would start, for its team or an operator.

The decisions are those of the scheduling pass. The job is not in the cell, and nothing is changed.
"""

from collections import Counter
from copy import deepcopy

from lagoonshelf_core.jobs.capacity import count_fitting
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.config import Queue
from lagoonshelf_core.jobs.gang_placement import expected_slots
from lagoonshelf_core.jobs.late_order import waiting_work_of_step
from lagoonshelf_core.jobs.planning import Preview, preview_step
from lagoonshelf_core.jobs.progress import Job, StepRun
from lagoonshelf_core.jobs.spec import JobSpec, Occurrence, StepIndex, validate_job
from lagoonshelf_core.jobs.workers import Worker, allocation_of
from lagoonshelf_core.resources import ZERO_RESOURCES


def report_placement(cell: Cell, spec: JobSpec, now_ms: int) -> dict[str, object]:
    """Return what would be decided about a job that is submitted now."""
    queue, team = cell.cfg.queues.get(spec.queue), cell.cfg.teams.get(spec.team)
    report: dict[str, object] = {"queue": spec.queue, "team": spec.team, "refused": None}
    fault = validate_job(spec)
    if fault is not None:
        return {**report, "refused": fault.message}
    if queue is None or team is None:
        missing = "queue" if queue is None else "team"
        return {**report, "refused": f"the configuration has no such {missing}"}
    job = Job(spec, now_ms)
    # A copy, as asking must not use up the rate of the team.
    job.is_excess = not deepcopy(cell.rates).admit(team, now_ms)
    steps = []
    for index, step_spec in enumerate(spec.steps):
        step = StepRun(job, Occurrence(0), StepIndex(index), step_spec)
        waits = {"step": index, "after": list(step_spec.after)}
        steps.append(waits if step_spec.after else _report_step(cell, step, queue, now_ms))
    return {**report, "pool": queue.pool, "is_excess": job.is_excess, "steps": steps}


def _report_step(cell: Cell, step: StepRun, queue: Queue, now_ms: int) -> dict[str, object]:
    preview = preview_step(cell, step, queue, now_ms)
    workers = [worker for worker in cell.workers.values() if worker.info.pool == queue.pool]
    reasons = Counter(find_obstacle(cell, preview, step, queue, worker) for worker in workers)
    can_start = reasons.pop("", 0)
    start_ms = _expected_start_ms(cell, preview, step, queue, workers)
    return {
        "step": step.index,
        "band": preview.band.name.lower(),
        "position": len(preview.ahead) + 1,
        "ahead_in_pool": sum(other.pool == queue.pool for _, other in preview.ahead),
        "tasks": step.spec.count,
        "tasks_starting_now": len(preview.placed),
        "workers": {"can_start": can_start, **dict(sorted(reasons.items()))},
        "limits": _find_limits(cell, preview, step, queue),
        "needs_advice": queue.advice is not None,
        "expected_start_in_ms": None if start_ms is None else start_ms - now_ms,
    }


def find_obstacle(
    cell: Cell, preview: Preview, step: StepRun, queue: Queue, worker: Worker
) -> str:
    """Return why a task of a step cannot start on a worker, "" if it can."""
    state, info = preview.state, worker.info
    if worker.id not in state.usable.get(queue.pool, {}):
        return _find_unusable(cell, worker, state.now_ms)
    if step.spec.label and step.spec.label not in info.labels:
        return "label"
    size = allocation_of(step.spec.size, step.spec.is_filler)
    if not count_fitting(size, info.capacity, worker.used):
        return "room"
    if not state.cold_room(worker, size):
        return "cold"
    if state.is_held_from(worker, step, preview.band):
        return "hold of a gang"
    if not cell.health.may_start(worker.id, True, state.now_ms):
        return "quarantine"
    return ""


def _find_unusable(cell: Cell, worker: Worker, now_ms: int) -> str:
    checks = (
        (not worker.is_listed, "not registered"),
        (worker.info.is_draining, "draining"),
        (worker.is_maintenance_due, "maintenance"),
        (worker.info.domain in cell.evacuations.domains, "evacuation"),
        (cell.health.is_quarantined(worker.id, now_ms), "quarantine"),
        (not worker.is_read or worker.unknown_runs > 0, "runs not known"),
        (bool(worker.isolated_runs), "isolation of a suspect"),
        (worker.is_full, "room"),
    )
    return next((reason for holds, reason in checks if holds), "outdated information")


def _find_limits(cell: Cell, preview: Preview, step: StepRun, queue: Queue) -> list[str]:
    """Return the limits that keep the whole step from starting, whatever the workers."""
    spec, limits = step.spec, []
    if not cell.is_within_limit(step.job.spec.team, spec.smallest_start):
        limits.append("cap of the team")
    load = preview.state.pools.get(queue.pool)
    if load is not None:
        needed_milli = allocation_of(spec.smallest_start, spec.is_filler).cpu_milli
        startable_milli = preview.state.startable_milli(step, queue.pool, preview.band)
        if startable_milli < needed_milli <= load.capacity_milli - load.used_milli:
            limits.append("reserve of higher bands")
    return limits


def _expected_start_ms(
    cell: Cell, preview: Preview, step: StepRun, queue: Queue, workers: list[Worker]
) -> int | None:
    """Return when the first task is expected to start, ``None`` if no worker is large enough.

    Work that goes before it and the runs in progress are taken at their estimates. That the team
    is at its cap, and what is submitted later, is not foreseen.
    """
    now_ms = preview.state.now_ms
    advice_ms = 0 if queue.advice is None else int(queue.advice.base_ms)
    if preview.placed:
        return now_ms + advice_ms
    spec = step.spec
    size = allocation_of(spec.size, spec.is_filler)
    listed = [
        w for w in workers if w.is_listed and (not spec.label or spec.label in w.info.labels)
    ]
    members = [count_fitting(size, w.info.capacity, ZERO_RESOURCES) for w in listed]
    if sum(members) < (spec.count if spec.is_gang else 1):
        return None
    if preview.hold is not None:
        room_ms = preview.hold.expected_ms
    else:
        slots = [expected_slots(step, worker, now_ms) for worker in listed]
        room_ms = min((found[0][0] for found in slots if found), default=now_ms)
    capacity_milli = max(1, sum(worker.info.capacity.cpu_milli for worker in listed))
    ahead = sum(
        waiting_work_of_step(other) for other, its in preview.ahead if its.pool == queue.pool
    )
    return max(room_ms, now_ms + ahead // capacity_milli) + advice_ms
