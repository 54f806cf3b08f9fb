"""A gang that lasts is given up and shown as failed once it has failed a few times."""

import asyncio
from pathlib import Path

from review.lib3.cell import BOUNDS, Cell, Executor, Record, is_troubled, manifest, run_case

KEY = "key-shop"
GANG, PLAIN = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
MEMBERS = 2
FIRST_AT_S, PERIOD_S = 3.0, 4.0
# As often as the queue has attempts.
FAILURES = 3
LASTS_MS = 600_000
# LOST: nothing runs for this long, from 6 s after the last run.
IDLE_S, AFTER_RUN_S = 3.0, 6.0


def body(*, is_gang: bool) -> dict:
    """Return a job of two tasks that last."""
    step = {"count": MEMBERS, "cpu": 500, "mem_mb": 64, "estimate_ms": 1000, "long_running": True}
    return {"spec": f"{LASTS_MS} 500", "phases": [{**step, "gang": True} if is_gang else step]}


async def case(record: Record) -> bool:
    """Let a task of each job fail a few times; return whether both jobs go on."""
    cell = Cell(record, entries=3, executors=4)
    jobs = (GANG, PLAIN)
    cell.lasting = {f"{job}.0.0.{index}" for job in jobs for index in range(MEMBERS)}
    cell.on_end = end_gang(cell)
    try:
        await cell.start(manifest({"shop": KEY}, [{"name": "holds", "prefix": "/holds/"}]))
        for job in jobs:
            if not await cell.submit("shop", KEY, f"/holds/{job}", body(is_gang=job == GANG)):
                raise RuntimeError("a job was not accepted")
        await asyncio.sleep(FIRST_AT_S)
        for _ in range(FAILURES):
            if is_troubled():
                for job in jobs:
                    fail_member(cell, job)
            await asyncio.sleep(PERIOD_S)
        await asyncio.sleep(BOUNDS["finish_s"])
        return not [job for job in jobs if await is_lost(cell, job)]
    finally:
        await cell.stop()


def fail_member(cell: Cell, job: str) -> None:
    """Let the first task of a job fail."""
    task = f"{job}.0.0.0"
    if not runs(cell, job):
        cell.record.add(f"trouble {task} has no run that could fail")
    for executor in cell.executors:
        executor.end(task, "failed")


def end_gang(cell: Cell) -> object:
    """Return what ends the other members of a gang as ``broken`` when one has ended."""

    def on_end(_: Executor, ended: object) -> None:
        if ended.task.startswith(GANG) and ended.end != "broken":
            for executor in cell.executors:
                for index in range(MEMBERS):
                    executor.end(f"{GANG}.0.0.{index}", "broken")

    return on_end


def runs(cell: Cell, job: str) -> list[str]:
    """Return the tasks of a job that run."""
    return [task for one in cell.executors for task, _ in one._running if task.startswith(job)]


async def is_lost(cell: Cell, job: str) -> bool:
    """Return whether a job is shown as failed, or nothing of it runs for a span."""
    now = asyncio.get_running_loop().time()
    last = max(run.ended_s or now for run in cell.history if run.task.startswith(job))
    await asyncio.sleep(max(0.0, last + AFTER_RUN_S - now))
    is_idle = True
    for _ in range(int(IDLE_S / 0.1)):
        is_idle = is_idle and not runs(cell, job)
        await asyncio.sleep(0.1)
    states = []
    for entry in cell.entries:
        status, fields = await cell.call("shop", KEY, entry, "GET", f"/holds/{job}")
        states.append(fields.get("state") if status == 200 else status)
    kind = "the gang" if job == GANG else "the job without a gang"
    cell.record.add(f"        {kind}: shown as {states}, idle for {IDLE_S} s: {is_idle}")
    if is_idle or "failed" in states:
        cell.record.add(f"LOST    {job} is not cancelled, and its tasks are not restarted")
    return is_idle or "failed" in states


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
