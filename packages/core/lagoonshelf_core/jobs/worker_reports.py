"""Reports of workers about their runs, and how they change the cell."""

from collections.abc import Iterable
from dataclasses import dataclass

from lagoonshelf_core.ids import TaskId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.job_records import RecordedRun
from lagoonshelf_core.jobs.progress import (
    FULL_PERCENT,
    UNKNOWN_PACE_PERCENT,
    Run,
    RunEnd,
    RunPhase,
    Task,
)
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_core.resources import ZERO_RESOURCES

# Log message of the tasks of a step that a report shows as done.
TASKS_DONE = "tasks done"
# Log message of the counted ends of runs that were not known here.
RUNS_UNKNOWN = "unknown runs ended"


@dataclass(frozen=True, slots=True)
class RunningRow:
    """A run that a worker reports as running.

    :param load: tail latency in ms of a service's task, CPU use of any other task
    """

    name: str
    attempt: int
    checkpoint: str
    percent: int
    load: float


@dataclass(frozen=True, slots=True)
class EndedRow:
    """A run that a worker reports as ended.

    :param number: sequence number of the end within the worker's incarnation
    """

    number: int
    name: str
    attempt: int
    end: RunEnd
    checkpoint: str


def apply_report(
    cell: Cell,
    worker: Worker,
    running: Iterable[RunningRow],
    ended: Iterable[EndedRow],
    requested_ms: int,
    now_ms: int,
    *,
    may_be_cut: bool = False,
) -> None:
    """Apply a worker's report of its runs.

    :param requested_ms: clock time at which the report was requested
    :param may_be_cut: further runs may have ended, so that one that is not listed is not lost
    """
    worker.reported_ms = now_ms
    _apply_ends(cell, worker, ended, now_ms)
    listed, adopted = set(), []
    for row in running:
        listed.add((row.name, row.attempt))
        run = worker.runs.get((row.name, row.attempt))
        if run is None:
            run = _adopt(cell, worker, row, now_ms)
            adopted.append(run)
        _apply_running(cell, row, run, now_ms)
    _note_adopted(cell, adopted)
    absent = [run for key, run in worker.runs.items() if key not in listed]
    for run in absent:
        if may_be_cut:
            # It may have ended; without progress it would be taken to have stalled.
            run.progressed_ms = now_ms
        elif run.confirmed_ms and run.confirmed_ms < requested_ms:
            cell.note("run missing", run, reason="not listed by its worker")
            cell.end_run(run, RunEnd.LAPSED, run.checkpoint, now_ms)


def add_unverified_runs(
    cell: Cell, recorded: Iterable[tuple[Worker, RecordedRun]], now_ms: int
) -> None:
    """Add recorded runs that may be in progress on workers whose runs cannot be read."""
    adopted = []
    for worker, record in recorded:
        if (record.name, record.attempt) not in worker.runs:
            row = RunningRow(record.name, record.attempt, "", 0, 0.0)
            run = _adopt(cell, worker, row, now_ms)
            run.is_unverified = True
            adopted.append(run)
    _note_adopted(cell, adopted)


def _apply_running(cell: Cell, row: RunningRow, run: Run, now_ms: int) -> None:
    if run.phase is RunPhase.STARTING:
        cell.start_confirmed(run, now_ms)
    run.is_unverified = run.is_loss_recorded = False
    run.has_started = True
    if row.percent != run.progress_percent:
        run.progress_percent = row.percent
        run.progressed_ms = now_ms
    if run.is_service and not run.has_served and row.percent >= FULL_PERCENT:
        cell.record_at_work(run, now_ms)
    run.load = row.load
    if run.track is not None:
        cell.speeds.observe(run, row.checkpoint, now_ms)
    if row.checkpoint:
        run.checkpoint = row.checkpoint
        if run.task is not None and run.task.run is run:
            run.task.checkpoint = row.checkpoint


def _apply_ends(cell: Cell, worker: Worker, ended: Iterable[EndedRow], now_ms: int) -> None:
    done: dict[str, list[str]] = {}
    unknown: dict[str, list[EndedRow]] = {}
    for row in ended:
        step = row.name.rpartition(".")[0]
        run = worker.runs.get((row.name, row.attempt))
        if run is not None:
            if row.end is RunEnd.DONE:
                done.setdefault(step, []).append(row.name)
            _apply_end(cell, row, run, now_ms)
        elif _apply_unknown_end(cell, row):
            unknown.setdefault(step, []).append(row)
    for step, names in done.items():
        _note_ends(cell, TASKS_DONE, worker, step, [_index(name) for name in names])
    for step, rows in unknown.items():
        tasks = [[_index(row.name), row.attempt, row.end.value] for row in rows]
        _note_ends(cell, RUNS_UNKNOWN, worker, step, tasks)


def _apply_end(cell: Cell, row: EndedRow, run: Run, now_ms: int) -> None:
    if row.end is not RunEnd.DONE:
        cell.note("run ended", run, how=row.end.value, percent=run.progress_percent)
    elif run.track is not None:
        cell.speeds.observe_done(run, now_ms)
    cell.end_run(run, row.end, row.checkpoint, now_ms)


def _apply_unknown_end(cell: Cell, row: EndedRow) -> bool:
    """Count the end of a run that is not known here; return whether it was counted now."""
    task = cell.find_task(row.name)
    return task is not None and cell.count_end(task, row.attempt, row.end, row.checkpoint)


def _adopt(cell: Cell, worker: Worker, row: RunningRow, now_ms: int) -> Run:
    """Adopt a run that this leader did not start, or stop it when no task needs it."""
    task = cell.find_task(row.name)
    step = None if task is None else task.step
    run = Run(
        row.name,
        row.attempt,
        worker.id,
        ZERO_RESOURCES if step is None else step.spec.size,
        None if step is None else step.job.spec.team,
        task,
        RunPhase.RUNNING,
        now_ms,
        is_filler=step is not None and step.spec.is_filler,
        is_service=step is not None and step.spec.is_service,
        confirmed_ms=now_ms,
        progressed_ms=now_ms,
    )
    if run.is_filler:
        run.pace_percent = UNKNOWN_PACE_PERCENT
    cell.allocate(worker, run)
    if task is None:
        cell.stop_run(run, "its task is not known")
        return run
    _supersede(cell, task, run)
    is_wanted = not task.is_done and task.run is None and _is_current_attempt(run)
    if task.job.is_final or not is_wanted:
        _mark_duplicate(run)
        cell.stop_run(run, "its task does not need it")
        return run
    task.assign(run)
    task.attempt = max(task.attempt, row.attempt)
    task.job.has_started = True
    cell.update_open_step(task.step)
    cell.health.started(worker.id, TaskId(task.job.id))
    cell.update_job_state(task.job)
    return run


def _supersede(cell: Cell, task: Task, found: Run) -> None:
    """Stop a run known only from a record when a later run of its task is found.

    The previous leader had seen the earlier run end, but could not record that.
    """
    run = task.run
    if run is None or not run.is_unverified or run.attempt >= found.attempt:
        return
    if task.step.spec.is_gang:
        return
    cell.note("run superseded", run, by_attempt=found.attempt, found_at=found.worker)
    task.assign(None)
    _mark_duplicate(run)
    cell.stop_run(run, "a later run was found")


def _mark_duplicate(run: Run) -> None:
    """Mark a run as not the current one of its task; the task waits for it to end."""
    if run.task is not None and not run.is_duplicate:
        run.is_duplicate = True
        run.task.add_duplicate()


def _is_current_attempt(run: Run) -> bool:
    """Return whether a run may join the gang's runs, which must all have one attempt."""
    task = run.task
    if task is None or not task.step.spec.is_gang:
        return True
    # All current runs of a gang have the same attempt, so any one of them tells.
    other = next(iter(task.step.running.values()), None)
    return other is None or other.run.attempt == run.attempt


def _note_adopted(cell: Cell, runs: list[Run]) -> None:
    """Add one log entry for the adopted runs of a step on a worker."""
    groups: dict[tuple[str, str], list[tuple[int, int]]] = {}
    for run in runs:
        if run.task is not None and run.task.run is run:
            group = groups.setdefault((run.worker, run.task.step.name), [])
            group.append((run.task.index, run.attempt))
    for (worker, step), tasks in groups.items():
        fields = {"request": step.partition(".")[0], "step": step, "worker": worker}
        cell.notes.append(("runs adopted", {**fields, "tasks": tasks}))


def _note_ends(cell: Cell, message: str, worker: Worker, step: str, tasks: list[object]) -> None:
    """Add one log entry for the ends of a step's runs in a report."""
    request = step.partition(".")[0]
    fields = {"request": request, "step": step, "worker": worker.id, "tasks": tasks}
    cell.notes.append((message, fields))


def _index(name: str) -> int:
    """Return the index of a task in its step."""
    return int(name.rpartition(".")[2])
