"""One wide job leaves the cell without a working leader."""

import asyncio
from pathlib import Path

from review.lib2.cell import Cell, job_id, run_case

TASKS = 4_000
# Without the trouble the same tasks come in so many jobs.
SMALL_JOBS = 80
RUN_MS = 3_000
SMALL_RUN_MS = 100
TRAFFIC_S = 30.0
# RULES.md, LOST: asked for finish_s after the end of the traffic; nothing runs for 3 s.
FINISH_S, IDLE_S = 14.0, 3.0


async def case(cell: Cell, with_trouble: bool) -> bool:
    """Hand in many tasks in one job or in many, and small jobs of another tenant beside them."""
    jobs = [job_id(number) for number in range(1 if with_trouble else SMALL_JOBS)]
    wide = {"count": TASKS // len(jobs), "cpu": 90, "mem_mb": 50, "estimate_ms": RUN_MS}
    for job in jobs:
        body = {"spec": f'{{"run_ms":{RUN_MS}}}', "phases": [wide]}
        await cell.submit("batch", job, body)
        await asyncio.sleep(0.1)
    small = {"count": 1, "cpu": 100, "mem_mb": 50, "estimate_ms": SMALL_RUN_MS}
    body = {"spec": f'{{"run_ms":{SMALL_RUN_MS}}}', "phases": [small]}
    accepted = [("batch", job, "t1") for job in jobs]
    for number in range(int(TRAFFIC_S)):
        job = job_id(1_000 + number)
        status, _ = await cell.request("POST", f"/fast/{job}", body, "t2")
        if status == 200:
            accepted.append(("fast", job, "t2"))
        await asyncio.sleep(0.6)
    await asyncio.sleep(FINISH_S)
    return await report(cell, accepted)


async def report(cell: Cell, accepted: list[tuple[str, str, str]]) -> bool:
    """Return whether no accepted job is left of which nothing runs on free executors."""
    idle_from_s = asyncio.get_running_loop().time()
    await asyncio.sleep(IDLE_S)
    working = {
        run.task.partition(".")[0]
        for run in cell.runs
        if not run.ended_s or run.ended_s >= idle_from_s
    }
    lost = []
    for queue, job, tenant in accepted:
        if job not in working and await cell.state(queue, job, tenant) != "complete":
            lost.append(job)
            cell.record(f"LOST: {job} was accepted and has nothing running")
    runs = sum(run.end == "done" for run in cell.runs)
    print(
        f"{len(accepted)} jobs accepted, {len(lost)} of them unfinished with nothing running; "
        f"{runs} runs done; leader terms: {len(cell.terms)}"
    )
    return not lost


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
