"""More than 500 tasks of one executor end while the store is down for 4.5 s."""

import asyncio
import zlib
from pathlib import Path

from review.lib.cell import BROKEN, HELD, Cell, main
from review.lib.executor import Run

JOBS, TASKS_PER_JOB = 25, 32
DOWN_AFTER_S, DOWN_S = 4.5, 4.5
QUEUE = "hold"


def plan(task: str, attempt: int, spec: str) -> tuple[float, str]:
    """Let each task work for 4 to 7 s, and end done."""
    del attempt, spec
    return 4.0 + zlib.crc32(task.encode()) % 3_000 / 1000, "done"


def twice(history: list[Run]) -> list[str]:
    """Return what breaks the rule: runs at the same time, and starts after an end that counts."""
    found = []
    by_task: dict[str, list[Run]] = {}
    for run in history:
        by_task.setdefault(run.task, []).append(run)
    for task, runs in by_task.items():
        for index, later in enumerate(runs):
            for earlier in runs[:index]:
                if not earlier.ended_s or earlier.ended_s > later.started_s:
                    found.append(f"{task}: attempts {earlier.attempt} and {later.attempt} at once")
                elif earlier.how == "done" and earlier.acked_s and not earlier.is_lapsed:
                    found.append(
                        f"{task}: attempt {later.attempt} starts after {earlier.attempt} was done"
                    )
    return found


async def case(is_troubled: bool) -> int:
    """Hand the jobs in, take the store down, and look for tasks that ran twice."""
    cell = Cell(Path(__file__).parent, plan, executors=3)
    try:
        await cell.start({QUEUE: {}})
        # 800 tasks of 75 thousandths of a core fit on one executor of 64 cores.
        step = {"count": TASKS_PER_JOB, "cpu": 75, "mem_mb": 100, "estimate_ms": 5_500}
        began_s = cell.now_s()
        jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
        for number, job in enumerate(jobs):
            process = cell.processes[number % len(cell.processes)]
            await cell.submit(process, job, QUEUE, {"spec": "x", "phases": [step]})
            await asyncio.sleep(0.08)
        await asyncio.sleep(began_s + DOWN_AFTER_S - cell.now_s())
        if is_troubled:
            cell.note("the store is down, silently")
            cell.store.go_down()
        await asyncio.sleep(DOWN_S)
        if is_troubled:
            cell.store.come_back()
            cell.note("the store is back")
        await asyncio.sleep(25.0)
        states = [await cell.state(cell.processes[0], job, QUEUE) for job in jobs]
        found = twice(cell.history)
        cell.note(f"{len(cell.history)} runs of {JOBS * TASKS_PER_JOB} tasks")
        cell.note(f"{states.count('complete')} of {JOBS} jobs are complete")
        for text in found:
            cell.note(f"TWICE {text}")
        print(f"{len(cell.history)} runs, {len(found)} times TWICE")
        return BROKEN if found else HELD
    finally:
        await cell.close()


if __name__ == "__main__":
    main(case)
