"""Placement of gangs: workers for all members at once, and workers held until they are free."""

from lagoonshelf_core.ids import TaskId
from lagoonshelf_core.jobs.capacity import count_fitting
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.isolation import is_quiet
from lagoonshelf_core.jobs.progress import GangHold, Run, StepRun, Task
from lagoonshelf_core.jobs.ranking import Band
from lagoonshelf_core.jobs.scheduling_pass import SchedulingPass
from lagoonshelf_core.jobs.worker_speeds import remaining_ms
from lagoonshelf_core.jobs.workers import Worker, allocation_of
from lagoonshelf_core.resources import ZERO_RESOURCES

# Share of a pool's workers that may be held for waiting gangs of a band and higher ones; one gang
# may always hold workers. A hold keeps out only work of its own band and lower ones.
MAX_HELD_SHARE = 0.25
# A hold that has not let its gang start this long after the expected time is chosen anew.
OVERDUE_HOLD_MS = 500
# Time until workers are chosen again for a gang for which there were none.
HOLD_RETRY_MS = 200
# Below this progress the end of a run is taken from its estimate, above it from its speed.
MIN_PROGRESS_PERCENT = 10
# Expected remaining time of a run that has outlasted its estimate.
OVERDUE_RUN_MS = 300
FULL_PERCENT = 100


def place_gang(
    cell: Cell,
    state: SchedulingPass,
    step: StepRun,
    pool: str,
    workers: list[Worker],
    band: Band,
    *,
    prefers_fast: bool = False,
) -> list[tuple[Task, Worker]]:
    """Choose workers for all tasks of a gang, or for none of them.

    :param workers: workers that the gang may start on now
    :param prefers_fast: faster workers are better for it than those of usual speed
    """
    if not step.is_all_waiting:
        return []
    if step.has_suspects and not cell.is_recording:
        return []
    size = allocation_of(step.spec.size, step.spec.is_filler)
    if size.cpu_milli * step.spec.count > state.startable_milli(step, pool, band):
        return []
    placed = _fit_gang(cell, state, step, workers, band, prefers_fast)
    if placed:
        state.release(step)
    return placed


def hold_workers(
    state: SchedulingPass, step: StepRun, pool: str, workers: list[Worker], band: Band
) -> None:
    """Hold workers for a gang that cannot start yet, so that smaller work leaves them to it.

    A hold lasts until the gang starts, because its workers fall free one after the other.

    :param workers: workers that the gang may run on, also those that it may not start on yet
    """
    hold, now_ms = step.hold, state.now_ms
    if hold is not None:
        is_outdated = band is Band.TOO_LATE and hold.band < band
        is_overdue = now_ms > hold.expected_ms + OVERDUE_HOLD_MS
        if not is_outdated and not is_overdue and state.has_all_held(step, pool):
            return
        state.release(step)
    if now_ms < step.next_hold_ms or not step.is_all_waiting:
        return
    step.next_hold_ms = now_ms + HOLD_RETRY_MS
    held = state.count_held(band)
    max_held = int(MAX_HELD_SHARE * len(state.usable[pool]))
    if held and held >= max_held:
        return
    chosen = _choose_hold(state, step, workers, band)
    if chosen is not None and (not held or held + len(chosen.workers) <= max_held):
        state.hold(step, chosen)


def _choose_hold(
    state: SchedulingPass, step: StepRun, workers: list[Worker], band: Band
) -> GangHold | None:
    """Return the fewest workers on which a gang is expected to fit at the earliest time."""
    slots_by_worker: dict[Worker, list[tuple[int, int]]] = {}
    changes: list[tuple[int, int]] = []
    for worker in workers:
        if state.is_kept_from(worker, step, band):
            continue
        slots = expected_slots(step, worker, state.now_ms)
        if slots:
            slots_by_worker[worker] = slots
            previous = 0
            for at_ms, count in slots:
                changes.append((at_ms, count - previous))
                previous = count
    total = 0
    for at_ms, added in sorted(changes):
        total += added
        if total >= step.spec.count:
            return _fewest_workers(step, slots_by_worker, at_ms, band)
    return None


def _fewest_workers(
    step: StepRun,
    slots_by_worker: dict[Worker, list[tuple[int, int]]],
    at_ms: int,
    band: Band,
) -> GangHold:
    ready = [
        (max((count for ready_ms, count in slots if ready_ms <= at_ms), default=0), worker)
        for worker, slots in slots_by_worker.items()
    ]
    ready.sort(key=lambda row: (row[1].is_slow, -row[0], row[1].used.cpu_milli, row[1].id))
    held, capacity, missing = [], ZERO_RESOURCES, step.spec.count
    for count, worker in ready:
        if missing <= 0:
            break
        held.append(worker.id)
        capacity += worker.info.capacity
        missing -= count
    return GangHold(frozenset(held), capacity, band, at_ms)


def expected_slots(step: StepRun, worker: Worker, now_ms: int) -> list[tuple[int, int]]:
    """Return from when on how many members will fit on a worker that gets no other work."""
    spec = step.spec
    size = allocation_of(spec.size, spec.is_filler)
    used, at_ms = worker.used, now_ms
    ending = sorted(
        (
            (_expected_end_ms(run, now_ms), run)
            for run in worker.runs.values()
            if not run.is_service
        ),
        key=lambda row: row[0],
    )
    slots: list[tuple[int, int]] = []
    for end_ms, run in [*ending, (0, None)]:
        count = count_fitting(size, worker.info.capacity, used)
        count = min(count, spec.max_per_worker or count)
        if count > (slots[-1][1] if slots else 0):
            slots.append((at_ms, count))
        if run is not None:
            used -= allocation_of(run.size, run.is_filler)
            at_ms = end_ms
    return slots


def _expected_end_ms(run: Run, now_ms: int) -> int:
    """Return when a run is expected to end, by the model, its speed or its estimate."""
    left_ms = remaining_ms(run, now_ms)
    if left_ms is not None:
        return now_ms + max(int(left_ms), OVERDUE_RUN_MS)
    elapsed_ms, percent = run.progressed_ms - run.started_ms, run.progress_percent
    if percent >= MIN_PROGRESS_PERCENT:
        end_ms = run.started_ms + elapsed_ms * FULL_PERCENT // percent
    else:
        end_ms = run.started_ms + (0 if run.task is None else run.task.step.spec.estimate_ms)
    return max(end_ms, now_ms + OVERDUE_RUN_MS)


def _fit_gang(
    cell: Cell,
    state: SchedulingPass,
    step: StepRun,
    workers: list[Worker],
    band: Band,
    prefers_fast: bool,
) -> list[tuple[Task, Worker]]:
    """Return a worker for each gang member, or nothing when not all members fit.

    The order of preference is: workers that are not cold, workers that are not marked slow,
    workers without other recent starts if the gang has suspects, workers that have not failed the
    job, workers that are not held for another gang, workers in the rack of the data, workers of
    equal speed, workers that fit most members, and the fullest among equal ones.
    """
    spec = step.spec
    size = allocation_of(spec.size, spec.is_filler)
    failed_workers = cell.health.failed_workers(TaskId(step.job.id))
    slots: list[tuple[tuple, Worker, int]] = []
    for worker in workers:
        if state.is_held_from(worker, step, band):
            continue
        capacity, used = worker.info.capacity, worker.used
        count = min(count_fitting(size, capacity, used), state.cold_room(worker, size))
        if not count or not cell.health.may_start(worker.id, True, state.now_ms):
            continue
        if spec.max_per_worker:
            count = min(count, spec.max_per_worker)
        is_other_rack = bool(spec.rack) and worker.info.rack != spec.rack
        free_milli = capacity.cpu_milli - used.cpu_milli
        is_held = state.holders.get(worker.id, step) is not step
        is_unclear = step.has_suspects and not is_quiet(worker)
        has_failed = worker.id in failed_workers
        is_cold = worker.id in state.cold
        drawbacks = (is_cold, worker.is_slow, is_unclear, has_failed, is_held, is_other_rack)
        slots.append(((drawbacks, -count, free_milli, worker.id), worker, count))
    slots.sort(key=lambda row: row[0])
    if spec.same_rack:
        slots = _prefer_one_rack(slots, spec.count)
    if cell.speeds is not None:
        slots = _prefer_equal_speeds(slots, spec.count, prefers_fast)
    placed: list[tuple[Task, Worker]] = []
    waiting = list(step.tasks)
    for _, worker, count in slots:
        for _ in range(min(count, len(waiting))):
            placed.append((waiting.pop(), worker))
        if not waiting:
            return placed if state.take_cold(*(worker for _, worker in placed)) else []
    return []


def _prefer_one_rack(
    slots: list[tuple[tuple, Worker, int]], needed: int
) -> list[tuple[tuple, Worker, int]]:
    """Return the slots of one rack that the whole gang fits in, or all slots if there is none."""
    by_rack: dict[str, int] = {}
    for _, worker, count in slots:
        by_rack[worker.info.rack] = by_rack.get(worker.info.rack, 0) + count
    fitting = [rack for rack, count in by_rack.items() if count >= needed]
    if not fitting:
        return slots
    cold = {worker.info.rack for key, worker, _ in slots if key[0][0]}
    best = min(fitting, key=lambda rack: (rack in cold, rack))
    return [row for row in slots if row[1].info.rack == best]


def _prefer_equal_speeds(
    slots: list[tuple[tuple, Worker, int]], needed: int, prefers_fast: bool
) -> list[tuple[tuple, Worker, int]]:
    """Return the slots of the narrowest range of speed classes that the whole gang fits in.

    A gang is as slow as its slowest member. Only the slots without the drawbacks that the best one
    lacks are considered; if the gang does not fit in these, all slots are returned.
    """
    best = [row for row in slots if row[0][0] == slots[0][0][0]]
    counts: dict[int, int] = {}
    for _, worker, count in best:
        counts[worker.speed_class] = counts.get(worker.speed_class, 0) + count
    if len(counts) <= 1:
        return slots
    ranges = [
        (low, high)
        for low in counts
        for high in counts
        if low <= high
        and sum(count for name, count in counts.items() if low <= name <= high) >= needed
    ]
    if not ranges:
        return slots

    def key(row: tuple[int, int]) -> tuple[int, int, int]:
        low, high = row
        return (high - low, -low if prefers_fast else max(-low, high), low)

    low, high = min(ranges, key=key)
    return [row for row in best if low <= row[1].speed_class <= high]
