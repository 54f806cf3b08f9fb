"""Losses of workers, and the tasks that may have caused them.

A task that crashes its workers is found by elimination. Each run that had just been started when a
worker crashed makes its task a suspect. A suspect is started on a worker that gets no other work
until the run has settled (see ``isolation``), so the next crash points to it alone.
"""

from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.progress import CrashHistory, Job, Run, Task
from lagoonshelf_core.jobs.workers import LossRecord, Worker, WorkerLoss

# A task is given up after this many crashes of workers, or lost workers, also where none of them
# points to it alone. It may have crashed them some time after its start.
MAX_CRASHES = 4
MAX_LOSSES = 5
# A run that was alive for this long shows that its task does not crash its workers.
CLEARED_MS = 10_000
# Several suspects may have to start together, as members of gangs do. One of them is at fault
# after this many crashes if the others are no suspects.
MAX_SHARED_CRASHES = 3
# Losses of workers within this time may have a common cause. It covers the time in which calls to
# workers without power time out.
COMMON_CAUSE_MS = 2_500
# A worker that was lost this often in the time before is itself the likely cause of the next loss.
MIN_FLAPS = 2
FLAPPING_MS = 30_000
# Fewer lost workers of a rack are no failure of the rack.
MIN_RACK_LOSSES = 3
# Runs named in the log entry about the loss of a worker, those that started last.
MAX_LOGGED_RUNS = 20

_REASONS = {
    WorkerLoss.RESTARTED: "another incarnation is in its place",
    WorkerLoss.LAPSED: "lease lapsed",
}


def end_runs_of_lost_worker(cell: Cell, worker: Worker, loss: WorkerLoss, now_ms: int) -> None:
    """End the runs of a worker that has certainly lost them."""
    _record_loss(cell, worker, loss, now_ms)
    cell.end_worker_runs(worker, now_ms, _REASONS[loss])


def keep_runs_of_restarted_worker(cell: Cell, worker: Worker, now_ms: int) -> None:
    """Keep the runs of a worker that restarted under its id until a report shows which it has."""
    _record_loss(cell, worker, WorkerLoss.RESTARTED, now_ms)
    cell.mark_runs_unverified(worker, now_ms)


def _record_loss(cell: Cell, worker: Worker, loss: WorkerLoss, now_ms: int) -> None:
    lost_ms = worker.silent_since_ms or now_ms
    record = LossRecord(lost_ms, worker.info.address, worker.info.rack, bool(worker.isolated_runs))
    is_flapping = _is_flapping(cell, record)
    cell.losses.append(record)
    runs = [run for run in worker.runs.values() if not run.is_loss_recorded]
    if not runs:
        return
    cell.on_loss(loss)
    is_planned = worker.info.is_draining or worker.is_maintenance_due
    is_rack_failure = _is_rack_failure(cell, record)
    _note_loss(cell, worker, loss, runs, now_ms, is_planned, is_rack_failure)
    for run in runs:
        run.is_loss_recorded = True
    if not is_planned:
        is_crash = loss is WorkerLoss.RESTARTED and not is_flapping
        runs_of_tasks = [run for run in runs if run.task is not None]
        _blame(cell, worker, runs_of_tasks, is_crash, is_rack_failure)


def _blame(
    cell: Cell, worker: Worker, runs: list[Run], is_crash: bool, is_rack_failure: bool
) -> None:
    """Count a loss for the tasks of some runs, and give up those that caused it.

    :param is_crash: the worker certainly crashed, and does not do so all the time
    """
    unsettled_jobs = {run.task.job for run in runs if not worker.has_settled(run)}
    former_suspects = {run.task for run in runs if run.task.is_suspect}
    suspect_jobs = {
        run.task.job for run in runs if run.task in former_suspects and not worker.has_settled(run)
    }
    for run in runs:
        task = run.task
        _count_loss(worker, run, is_crash=is_crash and _was_running(run))
        cell.changed_jobs.add(task.job)
        if task.job.is_final or task.crash_history is None:
            continue
        is_alone = (
            task in former_suspects
            and not _has_other(unsettled_jobs, task.job)
            and not is_rack_failure
        )
        is_early_crash = is_crash and _was_running(run) and not worker.has_settled(run)
        is_proven = is_alone and is_early_crash
        has_other_suspects = _has_other(suspect_jobs, task.job)
        if is_proven or _is_given_up(task.crash_history, has_other_suspects=has_other_suspects):
            _give_up(cell, worker, task)


def _has_other(jobs: set[Job], job: Job) -> bool:
    """Return whether a set has another job than this one."""
    return len(jobs) > (job in jobs)


def _was_running(run: Run) -> bool:
    """Return whether a run was certainly in progress when its worker was lost.

    Its start may not have arrived, and a run of which only a record is known may have ended.
    """
    return run.has_started and not run.is_unverified


def _count_loss(worker: Worker, run: Run, *, is_crash: bool) -> None:
    """Count the loss of a worker for the task of a run.

    :param is_crash: the worker certainly crashed while it ran the task
    """
    task = run.task
    if worker.alive_ms(run) >= CLEARED_MS:
        task.set_crash_history(None)
        return
    history = task.crash_history or CrashHistory()
    if is_crash:
        history.crashes += 1
        history.early_crashes += not worker.has_settled(run)
    else:
        history.losses += 1
    task.set_crash_history(history)


def _is_given_up(history: CrashHistory, *, has_other_suspects: bool) -> bool:
    """Return whether a task is given up although it was not alone on its workers."""
    if history.crashes >= MAX_CRASHES or history.crashes + history.losses >= MAX_LOSSES:
        return True
    return history.early_crashes >= MAX_SHARED_CRASHES and not has_other_suspects


def _give_up(cell: Cell, worker: Worker, task: Task) -> None:
    history = task.crash_history
    fields = {
        "request": task.job.id,
        "task": task.name,
        "worker": worker.id,
        "crashes": history.crashes,
        "losses": history.losses,
    }
    cell.notes.append(("task given up", fields))
    cell.on_give_up()
    lost = history.crashes + history.losses
    cell.fail_job(task.job, f"task {task.name} was on {lost} workers as they crashed")


def _is_flapping(cell: Cell, record: LossRecord) -> bool:
    """Return whether workers at the same address were lost several times shortly before."""
    former = {
        loss.lost_ms
        for loss in cell.losses
        if loss.address == record.address and 0 < record.lost_ms - loss.lost_ms <= FLAPPING_MS
    }
    return len(former) >= MIN_FLAPS


def _is_rack_failure(cell: Cell, record: LossRecord) -> bool:
    """Return whether half of the workers of a rack or more were lost at about the same time.

    Those with isolated runs are not counted, as these runs may have caused their loss.
    """
    lost, isolated, present = set(), set(), set()
    for loss in cell.losses:
        if loss.rack == record.rack and abs(loss.lost_ms - record.lost_ms) <= COMMON_CAUSE_MS:
            (isolated if loss.had_isolated_runs else lost).add(loss.address)
    for other in cell.workers.values():
        if other.info.rack != record.rack or not other.is_listed:
            continue
        silent_ms = other.silent_since_ms
        if not silent_ms or abs(silent_ms - record.lost_ms) > COMMON_CAUSE_MS:
            present.add(other.info.address)
        else:
            (isolated if other.isolated_runs else lost).add(other.info.address)
    return len(lost) >= max(MIN_RACK_LOSSES, len(present - lost - isolated))


def _note_loss(
    cell: Cell,
    worker: Worker,
    loss: WorkerLoss,
    runs: list[Run],
    now_ms: int,
    is_planned: bool,
    is_rack_failure: bool,
) -> None:
    runs = sorted(runs, key=lambda run: -run.started_ms)
    fields = {
        "worker": worker.id,
        "address": worker.info.address,
        "how": loss.value,
        "silent_ms": now_ms - worker.heard_ms if worker.heard_ms else None,
        "planned": is_planned,
        "rack_failed": is_rack_failure,
        "runs": len(runs),
        "youngest": [
            [run.name, run.attempt, worker.alive_ms(run)] for run in runs[:MAX_LOGGED_RUNS]
        ],
    }
    cell.notes.append(("worker lost its runs", fields))
