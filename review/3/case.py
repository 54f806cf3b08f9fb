"""Tasks fail now and then, on executors that also run a task that lasts."""

import asyncio
from pathlib import Path
from random import Random

from review.lib.cell import BOUNDS, BROKEN, HELD, NOT_RUN, Cell, main

QUEUE, SERVICE = "hold", "00000000000000c0"
EXECUTORS = 3
# The share of runs that fail, as the site file gives it for its first kind of request.
ERROR_SHARE = 0.05
JOBS_PER_S, TASKS_PER_JOB, WORK_S = 20, 2, 0.2
TRAFFIC_S = 45.0
# The traffic ends early once nothing has been started for this long.
STANDSTILL_S = 8.0
IDLE_S = 3.0


async def case(is_troubled: bool) -> int:
    """Run a service on each executor, and small jobs beside it, some of whose runs fail."""
    rng = Random(28)

    def plan(task: str, attempt: int, spec: str) -> tuple[float | None, str]:
        """Let the service last, and the others work for 0.2 s."""
        del attempt, spec
        if task.startswith(SERVICE):
            return None, ""
        is_failing = is_troubled and rng.random() < ERROR_SHARE
        return WORK_S, "failed" if is_failing else "done"

    cell = Cell(Path(__file__).parent, plan, executors=EXECUTORS)
    try:
        await cell.start({QUEUE: {}})
        service = {
            "count": EXECUTORS,
            "cpu": 1_000,
            "mem_mb": 100,
            "estimate_ms": 1_000,
            "anti_affinity": 1,
            "long_running": True,
        }
        body = {"spec": "x", "phases": [service]}
        if await cell.submit(cell.processes[0], SERVICE, QUEUE, body) != 200:
            return NOT_RUN
        await asyncio.sleep(2.0)
        step = {"count": TASKS_PER_JOB, "cpu": 5_600, "mem_mb": 500, "estimate_ms": 200}
        accepted: list[str] = []

        async def hand_in(number: int) -> None:
            job = f"{0x1000 + number:016x}"
            process = cell.processes[number % len(cell.processes)]
            if await cell.submit(process, job, QUEUE, {"spec": "x", "phases": [step]}) == 200:
                accepted.append(job)

        began_s, clients = cell.now_s(), []
        while cell.now_s() - began_s < TRAFFIC_S:
            clients.append(asyncio.ensure_future(hand_in(len(clients))))
            await asyncio.sleep(1 / JOBS_PER_S)
            if cell.now_s() - cell.offset_s(cell.history[-1].started_s) > STANDSTILL_S:
                break
        await asyncio.gather(*clients)
        cell.note("the traffic ends")
        await asyncio.sleep(BOUNDS["finish_s"] + IDLE_S)
        idle_s = cell.now_s() - cell.offset_s(
            max((run.started_s for run in cell.history), default=0.0)
        )
        unfinished = [
            job
            for job in accepted
            if await cell.state(cell.processes[0], job, QUEUE) not in ("complete", "failed")
        ]
        busy = sum(len(executor.running()) for executor in cell.executors)
        cell.note(f"{len(unfinished)} of {len(accepted)} accepted jobs have not ended")
        cell.note(f"{busy} tasks run, and none has been started for {idle_s:.1f} s")
        print(f"{len(unfinished)} of {len(accepted)} not ended, no start for {idle_s:.1f} s")
        is_broken = bool(unfinished) and busy <= EXECUTORS and idle_s >= IDLE_S
        if is_broken:
            cell.note(f"LOST {len(unfinished)} jobs have nothing running in an empty cell")
        return BROKEN if is_broken else HELD
    finally:
        await cell.close()


if __name__ == "__main__":
    main(case)
