"""Workers that have become slow: marking them, and moving their runs.

A marked worker gets new tasks only where no other worker has room.
"""

from dataclasses import dataclass

from lagoonshelf_core.jobs.capacity import startable_milli
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.config import PoolId
from lagoonshelf_core.jobs.moves import count_room
from lagoonshelf_core.jobs.progress import Run, RunPhase
from lagoonshelf_core.jobs.ranking import Band, rank
from lagoonshelf_core.jobs.worker_speeds import (
    MIN_SPEED,
    SLOW_RATIO,
    Recent,
    WorkerSpeed,
    WorkerSpeeds,
    remaining_share,
)
from lagoonshelf_core.jobs.workers import Worker

# A marked worker whose runs progress by more than this share of what is expected is normal again.
NORMAL_RATIO = 0.7
# Run time without which nothing is concluded. A single run never adds up to this much, two do in
# about a second; for a single run the second pair holds, which takes about 1.8 s.
MIN_RUN_MS = 1_000
MIN_SINGLE_RUN_MS = 660
SINGLE_RUN_RATIO = 0.25
# Largest share of a pool's workers that is marked at a time; one worker may always be, in a pool
# of at least MIN_POOL_WORKERS.
MAX_SLOW_SHARE = 0.1
MIN_POOL_WORKERS = 3
# A marked worker without observed runs shows nothing, so its mark ends after this time, which
# doubles each time that it is marked again within SLOW_RESET_MS.
FIRST_MARK_MS = 2_000
MAX_MARK_MS = 16_000
SLOW_RESET_MS = 60_000
# Time from the mark until runs are moved; a short disturbance is over by then.
MOVE_DELAY_MS = 500
# A run that was started on a marked worker, for want of room elsewhere, is not moved before this
# time: the room that seems free is often taken by the time that it starts again.
MIN_STAY_MS = 3_000
# Time from a stop until the next run of the task is at work.
MOVE_COST_MS = 500
# A run is moved if it ends after at most this share of the time that it would take otherwise.
MAX_MOVE_SHARE = 0.6
MIN_MOVE_GAIN_MS = 500


@dataclass(slots=True)
class _Room:
    """Workers of a pool that may take moved runs.

    :param capacity_milli: CPU of the usable workers of the pool
    :param used_milli: CPU in use on them, with that of the runs that are being moved
    """

    workers: list[Worker]
    capacity_milli: int
    used_milli: int


def update_slow_workers(cell: Cell, now_ms: int) -> None:
    """Mark workers that have become slow, end marks, and move runs that gain by it."""
    speeds = cell.speeds
    if speeds is None:
        return
    speeds.refresh(cell.workers, now_ms)
    rooms: dict[PoolId, _Room] = {}
    for worker in list(speeds.marked.values()):
        known = speeds.get(worker)
        if worker.is_slow and not _end_mark(cell, known, worker, now_ms):
            _move_runs(cell, speeds, worker, rooms, now_ms)
    _mark_suspects(cell, speeds, now_ms)


def _end_mark(cell: Cell, known: WorkerSpeed, worker: Worker, now_ms: int) -> bool:
    """Update the pace of a marked worker; return whether its mark has ended."""
    recent = known.recent
    has_evidence = recent.at_ms > known.marked_ms
    if has_evidence:
        known.pace = min(max(recent.ratio, MIN_SPEED), NORMAL_RATIO)
    if not has_evidence or recent.ratio < NORMAL_RATIO:
        runs = worker.runs.values()
        if now_ms < known.marked_until_ms or any(
            run.track and run.track.is_observed for run in runs
        ):
            return False
        has_evidence = False
    known.pace = 1.0
    known.recent = Recent()
    worker.is_slow = False
    del cell.speeds.marked[worker.id]
    fields = {"ratio": round(recent.ratio, 2)} if has_evidence else {}
    cell.notes.append(
        (
            "worker no longer slow",
            {
                "worker": worker.id,
                "pool": worker.info.pool,
                "reason": "normal progress" if has_evidence else "no runs to judge by",
                "after_ms": now_ms - known.marked_ms,
                **fields,
            },
        )
    )
    return True


def _mark_suspects(cell: Cell, speeds: WorkerSpeeds, now_ms: int) -> None:
    """Mark the slowest of the workers that seem slow, as many as the share allows."""
    suspects: list[tuple[float, float, Worker, WorkerSpeed]] = []
    for name in speeds.take_suspects():
        worker = cell.workers.get(name)
        if worker is None or worker.is_slow:
            continue
        known = speeds.get(worker)
        peers = _peer_ratio(speeds, known, now_ms)
        if _is_slow(known.recent, peers):
            suspects.append((known.recent.ratio, peers, worker, known))
    suspects.sort(key=lambda row: (row[0], row[2].id))
    markable = {pool: _count_markable(cell, pool) for pool in {row[3].pool for row in suspects}}
    for ratio, peers, worker, known in suspects:
        if markable[known.pool] <= 0:
            continue
        markable[known.pool] -= 1
        _mark(worker, known, now_ms)
        speeds.marked[worker.id] = worker
        fields = {
            "worker": worker.id,
            "pool": worker.info.pool,
            "ratio": round(ratio, 2),
            "peers": round(peers, 2),
            "run_ms": round(known.recent.run_ms),
            "runs": len(worker.runs),
            "speed": round(known.speed, 2),
        }
        cell.notes.append(("worker slow", fields))


def _mark(worker: Worker, known: WorkerSpeed, now_ms: int) -> None:
    is_first = not known.mark_ms or now_ms - known.marked_until_ms > SLOW_RESET_MS
    known.mark_ms = FIRST_MARK_MS if is_first else min(2 * known.mark_ms, MAX_MARK_MS)
    known.marked_ms = now_ms
    known.marked_until_ms = now_ms + known.mark_ms
    known.pace = max(known.recent.ratio, MIN_SPEED)
    worker.is_slow = True


def _is_slow(recent: Recent, peers: float) -> bool:
    """Return whether recent progress shows that a worker has become slow.

    :param peers: ratio of actual to expected progress on the other workers of its pool
    """
    ratio = recent.ratio
    if recent.run_ms >= MIN_RUN_MS:
        return ratio < SLOW_RATIO * min(1.0, peers)
    return recent.run_ms >= MIN_SINGLE_RUN_MS and ratio < SINGLE_RUN_RATIO * min(1.0, peers)


def _peer_ratio(speeds: WorkerSpeeds, known: WorkerSpeed, now_ms: int) -> float:
    """Return the recent ratio of the other workers of a pool, 1 when too little is known.

    A pool that is slow altogether, or whose reports are late, has no slow worker.
    """
    pool, recent = speeds.pool_recents.get(known.pool, Recent()), known.recent
    pool_weight, weight = pool.weight(now_ms), recent.weight(now_ms)
    run_ms = pool.run_ms * pool_weight - recent.run_ms * weight
    if run_ms < MIN_RUN_MS:
        return 1.0
    return max(0.0, pool.done_ms * pool_weight - recent.done_ms * weight) / run_ms


def _count_markable(cell: Cell, pool: PoolId) -> int:
    """Return how many more workers of a pool may be marked."""
    workers = [w for w in cell.workers.values() if w.info.pool == pool and w.is_listed]
    if len(workers) < MIN_POOL_WORKERS:
        return 0
    return max(1, int(MAX_SLOW_SHARE * len(workers))) - sum(w.is_slow for w in workers)


def _move_runs(
    cell: Cell, speeds: WorkerSpeeds, worker: Worker, rooms: dict[PoolId, _Room], now_ms: int
) -> None:
    """Stop the runs of a slow worker that end clearly earlier elsewhere.

    Their tasks start again once their ends have been reported.

    :param rooms: what has been found of the pools in this check
    """
    known = speeds.get(worker)
    if now_ms - known.marked_ms < MOVE_DELAY_MS or not worker.is_read:
        return
    movable = [
        run
        for run in worker.runs.values()
        if (run.started_ms < known.marked_ms or now_ms - run.started_ms >= MIN_STAY_MS)
        and _may_move(run)
        and _gains_by_move(run)
    ]
    if not movable:
        return
    room = rooms.get(known.pool)
    if room is None:
        room = rooms[known.pool] = _find_room(cell, known.pool, now_ms)
    for run in movable:
        count = _count_moved(run)
        if count and _fits(cell, run, count, room, now_ms):
            room.used_milli += count * run.size.cpu_milli
            speeds.moved_runs += count
            cell.note("run moved", run, percent=run.progress_percent, pace=round(known.pace, 2))
            cell.stop_run(run, "its worker is slow")


def _count_moved(run: Run) -> int:
    """Return how many tasks move when a run is stopped: all of its gang that are beside it.

    A gang moves only while all of it runs, and so once.
    """
    step = run.task.step
    if not step.spec.is_gang:
        return 1
    if not step.is_all_running:
        return 0
    return sum(member.run.worker == run.worker for member in step.tasks)


def _may_move(run: Run) -> bool:
    """Return whether a run may be stopped to start its task elsewhere."""
    task = run.task
    if task is None or task.run is not run or run.phase is not RunPhase.RUNNING:
        return False
    spec = task.step.spec
    if run.track is None:
        return False
    if spec.is_gang:
        # The others of the gang end with it, so that without checkpoints all their work is lost.
        return spec.saves_progress
    return spec.saves_progress or spec.allows_copies


def _gains_by_move(run: Run) -> bool:
    """Return whether a task ends clearly earlier if its run is stopped and started elsewhere."""
    track = run.track
    normal_ms = track.expected_ms * track.worker.speed
    stay_ms = remaining_share(run.progress_percent) * track.expected_ms / track.worker.pace
    move_ms = MOVE_COST_MS + remaining_share(track.saved_percent) * normal_ms
    return move_ms <= MAX_MOVE_SHARE * stay_ms and stay_ms - move_ms >= MIN_MOVE_GAIN_MS


def _find_room(cell: Cell, pool: PoolId, now_ms: int) -> _Room:
    in_pool = [worker for worker in cell.workers.values() if worker.info.pool == pool]
    usable = [
        worker
        for worker in in_pool
        if worker.is_usable and worker.info.domain not in cell.evacuations.domains
    ]
    others = [
        worker
        for worker in usable
        if not worker.is_slow
        and not worker.is_cold(now_ms)
        and cell.health.may_start(worker.id, True, now_ms)
    ]
    capacity_milli = sum(worker.info.capacity.cpu_milli for worker in usable)
    used_milli = sum(worker.used.cpu_milli for worker in usable)
    # Runs that are being stopped need room elsewhere as well. What they use now will be free, but
    # on a slow worker.
    for worker in in_pool:
        if worker.is_slow:
            stopping = (run for run in worker.runs.values() if run.phase is RunPhase.STOPPING)
            used_milli += sum(run.size.cpu_milli for run in stopping)
    return _Room(others, capacity_milli, used_milli)


def _fits(cell: Cell, run: Run, count: int, room: _Room, now_ms: int) -> bool:
    """Return whether tasks like that of a run could start elsewhere now.

    :param count: number of tasks
    """
    step = run.task.step
    spec, queue = step.spec, cell.queue_of(step.job)
    if queue is None:
        return False
    band = Band(rank(step, queue, now_ms)[0])
    needed_milli = count * run.size.cpu_milli
    if needed_milli > startable_milli(room.capacity_milli, room.used_milli, band, needed_milli):
        return False
    allowed = None if queue.advice is None else cell.permits.allowed(step.name)
    slots = sum(
        count_room(step, worker, run.size)
        for worker in room.workers
        if (allowed is None or worker.id in allowed)
        and (not spec.label or spec.label in worker.info.labels)
    )
    return slots >= count
