"""An executor lists 500 of its ends at a time; what it doesn't list is taken to be lost."""

import asyncio
from pathlib import Path

from review.lib2.cell import Cell, job_id, run_case

JOBS, TASKS, INTERVAL_S = 22, 45, 0.3
RUN_MS = 6_000
OUTAGE_S = 4.5
END_TIMEOUT_S = 45.0


async def case(cell: Cell, with_trouble: bool) -> bool:
    """Run many small tasks while the store is down, and look for tasks that run again."""
    phase = {"count": TASKS, "cpu": 50, "mem_mb": 20, "estimate_ms": RUN_MS}
    body = {"spec": f'{{"run_ms":{RUN_MS}}}', "phases": [phase]}
    jobs = [job_id(number) for number in range(JOBS)]
    for job in jobs:
        await cell.submit("batch", job, body)
        await asyncio.sleep(INTERVAL_S)
    if with_trouble:
        cell.record("the store goes down")
        cell.store.stop()
        await asyncio.sleep(OUTAGE_S)
        cell.store.resume()
        cell.record("the store is back")
    open_jobs, deadline_s = set(jobs), _now() + END_TIMEOUT_S
    while open_jobs and _now() < deadline_s:
        await asyncio.sleep(1.0)
        open_jobs -= {job for job in open_jobs if await cell.state("batch", job) == "complete"}
    await asyncio.sleep(2.0)
    return report(cell)


def report(cell: Cell) -> bool:
    """Return whether no task was started again after an end as done that was noted."""
    ended = {}
    for run in cell.runs:
        if run.end == "done" and run.noted_s and not run.has_lapsed:
            ended.setdefault(run.task, run)
    again = [
        run for run in cell.runs if run.task in ended and run.started_s > ended[run.task].ended_s
    ]
    for run in again:
        first = ended[run.task]
        cell.record(
            f"TWICE: {run.task} was done at {first.executor} as attempt {first.attempt}, "
            f"noted later, and was started again at {run.executor} as attempt {run.attempt}"
        )
    starts, tasks = len(cell.runs), len({run.task for run in cell.runs})
    print(f"{tasks} tasks, {starts} starts, {len(again)} starts after a noted end as done")
    return not again


def _now() -> float:
    return asyncio.get_running_loop().time()


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
