"""Oversight of what runs: stalled runs, workers that leave, and tails of services."""

from lagoonshelf_core.ids import TaskId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import PaceRun
from lagoonshelf_core.jobs.progress import Run, RunPhase, StepRun
from lagoonshelf_core.jobs.workers import Worker

# Stalls and tails show over half a second and more.
OVERSIGHT_MS = 100
# A run whose progress stands still for so long is stopped and started elsewhere.
STALL_MS = 2_000
STALL_SHARE = 0.4
# A service's task is at work when its progress is 100, after a short startup.
SERVICE_STARTUP_MS = 4_000
AT_WORK_PERCENT = 100
# A run on a draining worker is moved when it would not end this long before the worker leaves.
LEAVE_MARGIN_MS = 400
# Tails above this share of the target slow the fillers beside the service; below the lower
# share they are let go faster again.
TAIL_HIGH = 0.85
TAIL_LOW = 0.6
PACE_CUT = 0.4
PACE_RISE = 20
PACE_FLOOR = 10
# A pace takes effect within 0.1 s, and tails are figures of the last half second.
PACE_SETTLE_MS = 700


def oversee(cell: Cell, now_ms: int) -> None:
    """Add commands for runs that should be stopped or paced, now and then."""
    if now_ms - cell.overseen_ms < OVERSIGHT_MS:
        return
    cell.overseen_ms = now_ms
    for worker in list(cell.workers.values()):
        if not worker.is_read:
            continue
        for run in list(worker.runs.values()):
            if run.phase is RunPhase.RUNNING and run.task is not None:
                _check_run(cell, worker, run, now_ms)
        if worker.services and worker.fillers:
            _pace_fillers(cell, worker, now_ms)


def _check_run(cell: Cell, worker: Worker, run: Run, now_ms: int) -> None:
    step = run.task.step
    if worker.is_upkeep_due:
        if run.task.step.spec.saves_progress or _may_be_away(run):
            cell.stop(run, "upkeep of its machine")
        return
    if worker.info.is_draining:
        if _should_leave(worker, run, step, now_ms):
            cell.stop(run, "its worker leaves")
        return
    if _is_stalled(run, step, now_ms):
        cell.note("run stalled", run, percent=run.percent, for_ms=now_ms - run.percent_at_ms)
        cell.health.failed(worker.id, TaskId(step.job.id), now_ms)
        cell.stop(run, "stalled")


def _should_leave(worker: Worker, run: Run, step: StepRun, now_ms: int) -> bool:
    """Tell whether a run should leave a draining worker now."""
    spec = step.spec
    if spec.is_service:
        return True
    if not spec.saves_progress:
        return False
    left_ms = spec.estimate_ms * (AT_WORK_PERCENT - run.percent) / AT_WORK_PERCENT
    return now_ms + left_ms > worker.leaves_ms - LEAVE_MARGIN_MS


def _may_be_away(run: Run) -> bool:
    """Tell whether a service's task may be stopped beside those of its step that are away."""
    spec, step = run.task.step.spec, run.task.step
    if not spec.is_service:
        return False
    away = sum(
        task.run is None
        or task.run.phase is not RunPhase.RUNNING
        or task.run.percent < AT_WORK_PERCENT
        for task in step.tasks
        if task.run is not run
    )
    return spec.max_unavailable == 0 or away < spec.max_unavailable


def _is_stalled(run: Run, step: StepRun, now_ms: int) -> bool:
    spec = step.spec
    still_ms = now_ms - run.percent_at_ms
    if spec.is_service:
        return run.percent < AT_WORK_PERCENT and still_ms > SERVICE_STARTUP_MS
    if still_ms <= max(STALL_MS, STALL_SHARE * spec.estimate_ms) or run.pace < AT_WORK_PERCENT:
        return False
    return not spec.is_gang or _is_gang_whole(step)


def _is_gang_whole(step: StepRun) -> bool:
    return all(task.run is not None and task.run.phase is RunPhase.RUNNING for task in step.tasks)


def _pace_fillers(cell: Cell, worker: Worker, now_ms: int) -> None:
    """Slow the fillers of a worker when a service's tail comes near its target."""
    worst = 0.0
    for run in worker.runs.values():
        target = run.task.step.spec.target_tail_ms if run.task is not None else 0
        if run.is_service and target:
            worst = max(worst, run.load / target)
    for run in worker.runs.values():
        if not run.is_filler or run.phase is not RunPhase.RUNNING:
            continue
        if now_ms - run.paced_at_ms < PACE_SETTLE_MS:
            continue
        percent = _next_pace(run.pace, worst)
        if percent != run.pace:
            run.pace = percent
            run.paced_at_ms = now_ms
            run.percent_at_ms = now_ms
            cell.note("run paced", run, percent=percent, tail_share=round(worst, 2))
            cell.commands.append(PaceRun(run, percent))


def _next_pace(pace: int, tail_share: float) -> int:
    """Return the pace of a filler beside a service.

    :param tail_share: the worst tail as a share of its target
    """
    if tail_share > TAIL_HIGH:
        slower = int(pace * PACE_CUT)
        return slower if slower >= PACE_FLOOR else 0
    if tail_share < TAIL_LOW:
        return min(AT_WORK_PERCENT, pace + PACE_RISE)
    return pace
