"""A process is killed and the store drops its history while jobs are handed in and cancelled."""

import asyncio
from pathlib import Path

from review.lib.cell import BOUNDS, BROKEN, HELD, NOT_RUN, Cell, main
from review.lib.executor import Run

QUEUE = "hold"
JOBS = 150
STEPS, STEP_S = 4, 3.0
# The process is killed this long after the clients have begun.
KILL_AFTER_S = 0.12
DEAF_S = 1.0
WATCHED_S = 20.0
UNANSWERED = 0


def plan(task: str, attempt: int, spec: str) -> tuple[float, str]:
    """Let each task work for 3 s, and end done."""
    del task, attempt, spec
    return STEP_S, "done"


def late_starts(cell: Cell, cancelled: dict[str, float], from_s: float) -> list[Run]:
    """Return the runs that break the rule, and note them.

    :param cancelled: when the cancelling of each job was acknowledged
    :param from_s: earlier starts don't count
    """
    late = []
    for run in cell.history:
        job, start_s = run.task.partition(".")[0], cell.offset_s(run.started_s)
        cancelled_s = cancelled.get(job)
        if cancelled_s is None or start_s < from_s:
            continue
        if start_s > cancelled_s + BOUNDS["cancel_ms"] / 1000:
            late.append(run)
            cell.note(
                f"UNASKED {run.task} is started at {start_s:.3f}; the cancelling of its job was "
                f"acknowledged at {cancelled_s:.3f}"
            )
    return late


async def case(is_troubled: bool) -> int:
    """Hand jobs in at one process, cancel them at another one, and look for late starts."""
    cell = Cell(Path(__file__).parent, plan, executors=3)
    try:
        await cell.start({QUEUE: {}})
        leader = cell.leader()
        first, second = [process for process in cell.processes if process is not leader]
        cell.note(
            f"{leader.name} leads; jobs go to {first.name}, and are cancelled at {second.name}"
        )
        step = {"count": 1, "cpu": 200, "mem_mb": 100, "estimate_ms": int(STEP_S * 1000)}
        steps = [step, *({**step, "after": [number]} for number in range(STEPS - 1))]
        cancelled: dict[str, float] = {}

        async def hand_in(number: int) -> None:
            """Hand a job in, and cancel it as soon as it is answered or the connection breaks."""
            job = f"{number:016x}"
            await asyncio.sleep(number * 0.001)
            await cell.submit(first, job, QUEUE, {"spec": "x", "phases": steps})
            status = await cell.cancel(second, job, QUEUE)
            if status == 200:
                cancelled[job] = cell.now_s()

        if is_troubled:
            cell.note("the watches of the store hear nothing")
            cell.store.deafen()
        clients = [asyncio.ensure_future(hand_in(number)) for number in range(1, JOBS + 1)]
        await asyncio.sleep(KILL_AFTER_S)
        if is_troubled:
            await cell.kill(first)
        await asyncio.sleep(DEAF_S - KILL_AFTER_S)
        if is_troubled:
            cell.store.drop_history()
            cell.note("the store has dropped its history and cut its watches")
        calm_s = cell.now_s()
        await asyncio.gather(*clients)
        await asyncio.sleep(calm_s + WATCHED_S - cell.now_s())
        if not cancelled:
            return NOT_RUN
        # Only what a machine starts that has been in touch since touch_ms counts.
        late = late_starts(cell, cancelled, calm_s + BOUNDS["touch_ms"] / 1000 + 1.0)
        for job in sorted({run.task.partition(".")[0] for run in late}):
            await cell.state(second, job, QUEUE)
        print(f"{len(cancelled)} cancellations acknowledged, {len(late)} late starts")
        return BROKEN if late else HELD
    finally:
        await cell.close()


if __name__ == "__main__":
    main(case)
