"""A takeover of a cell with a long scheduled job takes longer than the leader lease, for ever."""

import asyncio
import time
from pathlib import Path

from review.lib2.cell import Cell, job_id, run_case

INTERVAL_MS, TIMES = 35, 4_000
RUN_MS = 100
BEFORE_S = 68.0
AFTER_S = 3.0
# RULES.md, LOST: asked for finish_s after the end of the traffic; nothing runs for 3 s.
FINISH_S, IDLE_S = 14.0, 3.0
DOWN_S = 2.0
SCHEDULED = job_id(1)


async def case(cell: Cell, with_trouble: bool) -> bool:
    """Run a scheduled job for a while, kill the leader, and hand in jobs of another tenant."""
    phase = {"count": 1, "cpu": 100, "mem_mb": 50, "estimate_ms": RUN_MS}
    body = {"spec": f'{{"run_ms":{RUN_MS}}}', "phases": [phase]}
    start_ms = time.time_ns() // 1_000_000 + 1_000
    times = {"repeats": TIMES, "start_at_ms": start_ms, "interval_ms": INTERVAL_MS}
    await cell.submit("batch", SCHEDULED, {**body, **times})
    jobs = [job_id(1_000 + number) for number in range(int(BEFORE_S + AFTER_S))]
    accepted = []
    for number, job in enumerate(jobs):
        status, _ = await cell.request("POST", f"/fast/{job}", body, "t2")
        if status == 200:
            accepted.append(job)
        if number == int(BEFORE_S) and with_trouble:
            leader = cell.leader()
            cell.record(f"{leader.name} is killed, and starts again after {DOWN_S} s")
            await leader.kill()
            asyncio.get_running_loop().call_later(DOWN_S, _start, leader)
        await asyncio.sleep(1.0)
    await asyncio.sleep(FINISH_S)
    return await report(cell, accepted, start_ms)


async def report(cell: Cell, accepted: list[str], start_ms: int) -> bool:
    """Return whether all accepted jobs are known and none has been left without a run."""
    idle_from_s = _now()
    due = (time.time_ns() // 1_000_000 - start_ms) // INTERVAL_MS
    await asyncio.sleep(IDLE_S)
    recent = [run for run in cell.runs if not run.ended_s or run.ended_s >= idle_from_s]
    started = {run.task.partition(".")[0] for run in cell.runs}
    times = {run.task.split(".")[1] for run in cell.runs if run.task.startswith(SCHEDULED)}
    lost = []
    if len(times) < due and not any(run.task.startswith(SCHEDULED) for run in recent):
        lost.append(SCHEDULED)
        cell.record(f"LOST: {SCHEDULED} has begun {len(times)} of {due} due times, none runs")
    for job in accepted:
        if job not in started:
            lost.append(job)
            cell.record(f"LOST: {job} was accepted and has never been started")
    state = await cell.state("batch", SCHEDULED)
    terms = len(cell.terms)
    print(
        f"{len(times)} of {due} due times begun, {len(accepted)} other jobs accepted; "
        f"{len(lost)} jobs lost; state of the scheduled job: {state}; leader terms: {terms}"
    )
    return not lost and state == "running"


def _start(process: object) -> None:
    asyncio.ensure_future(process.start())


def _now() -> float:
    return asyncio.get_running_loop().time()


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
