"""One of twelve executors fails all its requests for 6.5 s while the jobs on it are cancelled."""

import asyncio
from pathlib import Path

from review.lib.cell import BOUNDS, BROKEN, HELD, NOT_RUN, Cell, main

QUEUE = "hold"
EXECUTORS, JOBS = 12, 12
GREY_S = 6.5
CALM_S = 20.0


def plan(task: str, attempt: int, spec: str) -> tuple[float | None, str]:
    """Let each task last until it is stopped."""
    del task, attempt, spec
    return None, ""


async def case(is_troubled: bool) -> int:
    """Run a lasting task on each executor, cancel all of them, and see which ones go."""
    cell = Cell(Path(__file__).parent, plan, executors=EXECUTORS)
    try:
        await cell.start({QUEUE: {}})
        step = {"count": 1, "cpu": 2_000, "mem_mb": 500, "estimate_ms": 1_000}
        body = {"spec": "x", "phases": [{**step, "long_running": True}]}
        jobs = [f"{0x1000 + number:016x}" for number in range(JOBS)]
        for job in jobs:
            if await cell.submit(cell.processes[0], job, QUEUE, body) != 200:
                return NOT_RUN
        await asyncio.sleep(3.0)
        if is_troubled:
            grey = next(executor for executor in cell.executors if executor.running())
            cell.note(f"{grey.name} fails all its requests")
            grey.is_grey = True
        await asyncio.sleep(1.0)
        cancelled: dict[str, float] = {}
        for job in jobs:
            if await cell.cancel(cell.processes[1], job, QUEUE) == 200:
                cancelled[job] = cell.now_s()
        await asyncio.sleep(GREY_S - 1.0)
        if is_troubled:
            grey.is_grey = False
            cell.note(f"{grey.name} is sound again")
        await asyncio.sleep(CALM_S)
        limit_s = (BOUNDS["cancel_ms"] + BOUNDS["kill_timeout_ms"]) / 1000
        found = []
        for executor in cell.executors:
            for run in executor.running():
                job = run.task.partition(".")[0]
                if job in cancelled and CALM_S > limit_s:
                    found.append(run)
                    cell.note(
                        f"UNASKED {run.task} runs on {executor.name} at {cell.now_s():.3f}; the "
                        f"cancelling of its job was acknowledged at {cancelled[job]:.3f}"
                    )
                    await cell.state(cell.processes[2], job, QUEUE)
        print(f"{len(cancelled)} cancellations acknowledged, {len(found)} tasks run on")
        return BROKEN if found else HELD
    finally:
        await cell.close()


if __name__ == "__main__":
    main(case)
