"""Supervision of runs: stalled runs, draining workers, and tail latencies of services."""

from lagoonshelf_core.ids import TaskId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import PaceRun
from lagoonshelf_core.jobs.moves import count_unavailable, move_if_evacuated
from lagoonshelf_core.jobs.progress import FULL_PERCENT, Run, RunPhase, StepRun
from lagoonshelf_core.jobs.slow_workers import update_slow_workers
from lagoonshelf_core.jobs.worker_speeds import remaining_ms
from lagoonshelf_core.jobs.workers import Worker

# Stalls and changes of the tail latency take half a second or more to show.
SUPERVISION_INTERVAL_MS = 100
# A run without progress for this time, and for this share of its estimate, is stopped and started
# elsewhere.
STALL_MS = 2_000
STALL_ESTIMATE_SHARE = 0.4
# Longest startup of a task of a service.
SERVICE_STARTUP_MS = 4_000
# A run that would end less than this time before its draining worker leaves is moved.
DRAIN_MARGIN_MS = 400
# A tail latency above the high share of its target slows the best-effort fillers on the worker;
# below the low share their pace rises again.
TAIL_HIGH_SHARE = 0.85
TAIL_LOW_SHARE = 0.6
PACE_CUT_FACTOR = 0.4
PACE_RISE_PERCENT = 20
MIN_PACE_PERCENT = 10
# A pace takes effect within 0.1 s, and tail latencies cover the last half second.
PACE_SETTLE_MS = 700


def supervise(cell: Cell, now_ms: int) -> None:
    """Add commands for runs to stop or pace, at most once in the supervision interval."""
    if now_ms - cell.last_supervised_ms < SUPERVISION_INTERVAL_MS:
        return
    cell.last_supervised_ms = now_ms
    for worker in list(cell.workers.values()):
        if not worker.is_read:
            continue
        for run in list(worker.runs.values()):
            if run.phase is RunPhase.RUNNING and run.task is not None:
                _check_run(cell, worker, run, now_ms)
        if worker.fillers:
            _pace_fillers(cell, worker, now_ms)
    update_slow_workers(cell, now_ms)


def _check_run(cell: Cell, worker: Worker, run: Run, now_ms: int) -> None:
    step = run.task.step
    if worker.is_maintenance_due:
        if run.task.step.spec.saves_progress or _may_be_stopped(run):
            cell.stop_run(run, "maintenance of its machine")
        return
    if worker.info.is_draining:
        if _should_move(worker, run, step, now_ms):
            cell.stop_run(run, "its worker is draining")
        return
    if move_if_evacuated(cell, worker, run, now_ms):
        return
    if _is_stalled(run, step, worker.reported_ms):
        cell.note(
            "run stalled", run, percent=run.progress_percent, for_ms=now_ms - run.progressed_ms
        )
        cell.health.failed(worker.id, TaskId(step.job.id), now_ms)
        cell.stop_run(run, "stalled")


def _should_move(worker: Worker, run: Run, step: StepRun, now_ms: int) -> bool:
    """Return whether a run must be moved from its draining worker now."""
    spec = step.spec
    if spec.is_service:
        return True
    if not spec.saves_progress:
        return False
    left_ms = remaining_ms(run, now_ms)
    if left_ms is None:
        left_ms = spec.estimate_ms * (FULL_PERCENT - run.progress_percent) / FULL_PERCENT
    return now_ms + left_ms > worker.drain_end_ms - DRAIN_MARGIN_MS


def _may_be_stopped(run: Run) -> bool:
    """Return whether a service's task may be stopped, given the unavailable ones of its step."""
    spec = run.task.step.spec
    if not spec.is_service:
        return False
    return spec.max_unavailable == 0 or count_unavailable(run) < spec.max_unavailable


def _is_stalled(run: Run, step: StepRun, reported_ms: int) -> bool:
    """Return whether the reports of a worker show no progress of a run for too long.

    Time without a report does not count: the worker may be silent, or this process late.
    """
    spec = step.spec
    unchanged_ms = reported_ms - run.progressed_ms
    if spec.is_service:
        return run.progress_percent < FULL_PERCENT and unchanged_ms > SERVICE_STARTUP_MS
    if (
        unchanged_ms <= max(STALL_MS, STALL_ESTIMATE_SHARE * spec.estimate_ms)
        or run.pace_percent < FULL_PERCENT
    ):
        return False
    return not spec.is_gang or step.is_all_running


def _pace_fillers(cell: Cell, worker: Worker, now_ms: int) -> None:
    """Slow the fillers of a worker when a service's tail latency approaches its target.

    Without services on the worker their pace rises again.
    """
    worst_share = 0.0
    for run in worker.runs.values():
        target_ms = run.task.step.spec.target_tail_ms if run.task is not None else 0
        if run.is_service and target_ms:
            worst_share = max(worst_share, run.load / target_ms)
    for run in worker.runs.values():
        if not run.is_filler or run.phase is not RunPhase.RUNNING:
            continue
        if now_ms - run.paced_at_ms < PACE_SETTLE_MS:
            continue
        pace_percent = _next_pace_percent(run.pace_percent, worst_share)
        if pace_percent != run.pace_percent:
            run.pace_percent = pace_percent
            run.paced_at_ms = now_ms
            run.progressed_ms = now_ms
            cell.note("run paced", run, percent=pace_percent, tail_share=round(worst_share, 2))
            cell.commands.append(PaceRun(run, pace_percent))


def _next_pace_percent(pace_percent: int, tail_share: float) -> int:
    """Return the next pace of a filler on a worker with services, 0 to suspend it.

    :param tail_share: highest tail latency as a share of its target
    """
    if tail_share > TAIL_HIGH_SHARE:
        slower = int(pace_percent * PACE_CUT_FACTOR)
        return slower if slower >= MIN_PACE_PERCENT else 0
    if tail_share < TAIL_LOW_SHARE:
        return min(FULL_PERCENT, pace_percent + PACE_RISE_PERCENT)
    return pace_percent
