"""A task runs again after its end was acknowledged: two leaders give it the same attempt."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from review.lib3.cell import Cell, Record, is_troubled, manifest, run_case

KEY = "key-shop"
JOB = "5c0e7a21d94b36f8"
FIRST, SECOND = f"{JOB}.0.0.", f"{JOB}.0.1."
FIRST_MS, SECOND_MS = 6_000, 9_000
# Each task of the second step fills an executor, so that they run on several.
CAPACITY_CPU = 16_000
KILL_AT_S = 1.5
# The store turns all machines away from this time on, for this long.
BUSY_AT_S, BUSY_S = 5.5, 2.0
CUT_S = 11.0
LIMIT_S = 75.0


def body() -> dict:
    """Return the job: a task, and two that follow it."""
    first = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": FIRST_MS}
    second = {"count": 2, "cpu": CAPACITY_CPU, "mem_mb": 64, "estimate_ms": SECOND_MS}
    return {"spec": f"{FIRST_MS}/{SECOND_MS} 500", "phases": [first, {**second, "after": [0]}]}


async def until(condition: Callable[[], object], timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it did."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not condition():
        if loop.time() > deadline:
            return False
        await asyncio.sleep(0.02)
    return True


async def disturb(cell: Cell, started: float) -> None:
    """Kill the leader, take the store away, and kill the next leader as an executor is cut off."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(started + KILL_AT_S - loop.time())
    await cell.kill_leader()
    await asyncio.sleep(started + BUSY_AT_S - loop.time())
    cell.store.is_busy = True
    cell.record.add("trouble the store answers 503")
    if not await until(lambda: second_runs(cell), BUSY_S - 0.5):
        cell.record.add("trouble the second step has not begun while the store was away")
    else:
        await asyncio.sleep(0.3)
        first = next(run.executor for run in cell.history if run.task.startswith(FIRST))
        name = next(run.executor for run in second_runs(cell) if run.executor != first)
        executor = next(one for one in cell.executors if one.name == name)
        cell.cut(executor, is_cut=True)
        cut_at = loop.time()
        await cell.kill_leader()
        cell.spawn(reconnect(cell, executor, cut_at + CUT_S))
    await asyncio.sleep(started + BUSY_AT_S + BUSY_S - loop.time())
    cell.store.is_busy = False
    cell.record.add("trouble the store is back")


def second_runs(cell: Cell) -> list:
    """Return the runs of the second step."""
    return [run for run in cell.history if run.task.startswith(SECOND)]


async def reconnect(cell: Cell, executor: object, at: float) -> None:
    """Connect an executor again."""
    await asyncio.sleep(at - asyncio.get_running_loop().time())
    cell.cut(executor, is_cut=False)


async def case(record: Record) -> bool:
    """Run the job; return whether no task began again after an acknowledged end."""
    cell = Cell(record, entries=3, executors=4)
    try:
        await cell.start(manifest({"shop": KEY}, [{"name": "holds", "prefix": "/holds/"}]))
        loop = asyncio.get_running_loop()
        if not await cell.submit("shop", KEY, f"/holds/{JOB}", body()):
            raise RuntimeError("the job was not accepted")
        started = loop.time()
        if is_troubled():
            cell.spawn(disturb(cell, started))
        while loop.time() - started < LIMIT_S and not runs_after_an_end(cell):
            await asyncio.sleep(1.0)
            status, fields = await cell.call("shop", KEY, cell.entries[0], "GET", f"/holds/{JOB}")
            if status == 200 and fields["state"] == "complete":
                break
        broken = runs_after_an_end(cell)
        for text in broken:
            record.add(f"TWICE   {text}")
        if not any(run.end == "done" for run in second_runs(cell)):
            raise RuntimeError("the second step has not ended")
        return not broken
    finally:
        await cell.stop()


def runs_after_an_end(cell: Cell) -> list[str]:
    """Return the runs that began after an acknowledged end "done" of their task.

    Ends on an executor that was cut off are left out, as its lease may have lapsed before they
    were acknowledged.
    """
    found = []
    for ended in cell.history:
        executor = next(one for one in cell.executors if one.name == ended.executor)
        is_noted = (ended.task, ended.attempt) in executor.acknowledged
        if ended.end != "done" or not is_noted or executor.name in cell.cut_off:
            continue
        found += [
            f"{run.task} began as attempt {run.attempt} on {run.executor} "
            f"{run.started_s - ended.ended_s:.3f} s after attempt {ended.attempt} "
            f"on {ended.executor} had ended done"
            for run in cell.history
            if run.task == ended.task and run.started_s > ended.ended_s
        ]
    return found


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
