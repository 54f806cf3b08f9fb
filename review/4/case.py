"""The task of a long-running step ends "done"."""

import asyncio
from pathlib import Path

from review.lib.cell import BROKEN, HELD, NOT_RUN, Cell, main

QUEUE, JOB, OTHER_JOB = "hold", "00000000000000b1", "00000000000000b2"
END_AFTER_S = 3.0
# The rule counts from 6 s after the last run, and asks for 3 s without one after 4 calm ones.
AFTER_LAST_RUN_S, CALM_S, IDLE_S = 6.0, 4.0, 3.0
WATCHED_S = 25.0


async def case(is_troubled: bool) -> int:
    """Hand in two jobs that last; one ends "done", the other one "failed"."""

    def plan(task: str, attempt: int, spec: str) -> tuple[float | None, str]:
        """Let the first run of each task end after 3 s, as its spec says, and the others last."""
        del task
        return (END_AFTER_S, spec) if is_troubled and attempt == 1 else (None, "")

    cell = Cell(Path(__file__).parent, plan, executors=3)
    try:
        await cell.start({QUEUE: {}})
        step = {
            "count": 1,
            "cpu": 2_000,
            "mem_mb": 500,
            "estimate_ms": 1_000,
            "long_running": True,
        }
        for job, how in ((JOB, "done"), (OTHER_JOB, "failed")):
            body = {"spec": how, "phases": [step]}
            if await cell.submit(cell.processes[0], job, QUEUE, body) != 200:
                return NOT_RUN
        await asyncio.sleep(END_AFTER_S + WATCHED_S)
        is_broken = False
        for job in (JOB, OTHER_JOB):
            state = await cell.state(cell.processes[1], job, QUEUE)
            runs = [run for run in cell.history if run.task.startswith(job)]
            is_running = any(not run.ended_s for run in runs)
            ends = [run for run in runs if run.ended_s]
            idle_s = (
                0.0 if is_running or not ends else cell.now_s() - cell.offset_s(ends[-1].ended_s)
            )
            cell.note(f"{job}: {state!r}, {len(runs)} runs, without one for {idle_s:.1f} s")
            if not runs:
                return NOT_RUN
            if state in ("queued", "running") and idle_s >= AFTER_LAST_RUN_S + CALM_S + IDLE_S:
                cell.note(f"LOST {job}: its task ended {ends[-1].how!r} and is not started again")
                is_broken = True
            print(f"{job}: {state}, {len(runs)} runs, without one for {idle_s:.1f} s")
        return BROKEN if is_broken else HELD
    finally:
        await cell.close()


if __name__ == "__main__":
    main(case)
