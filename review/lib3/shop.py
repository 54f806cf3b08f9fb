"""Jobs of the tenant "shop" beside a few requests of the tenant "guest", and their rule."""

import asyncio
from collections import Counter

from review.lib3.cell import BOUNDS, Cell, Record, manifest

SHOP, GUEST = "key-shop", "key-guest"
GUEST_JOB = "9f3b52c8e07d1a6"
STEPS, STEP_MS = 3, 1_500
PERIOD_S = 1.0
GUEST_AT_S = 3.0
WATCH_S = 14.0
# LOST: nothing of a job runs for this long while it could.
IDLE_S = 3.0
# Capacity of an executor of the project's stand-in.
EXECUTOR_CPU = 16_000


def shop_body() -> dict:
    """Return a job of three tasks, one after the other."""
    task = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": STEP_MS}
    phases = [{**task, "after": [step - 1]} if step else task for step in range(STEPS)]
    return {"spec": f"{'/'.join([str(STEP_MS)] * STEPS)} 500", "phases": phases}


async def keeps_jobs(
    record: Record, guest_bodies: list[dict], jobs: int = 12, executors: int = 4
) -> bool:
    """Let the shop and the guest hand jobs in; return whether LOST held for the shop.

    :param jobs: jobs of the shop, one a second
    """
    cell = Cell(record, entries=3, executors=executors)
    try:
        routes = [{"name": "holds", "prefix": "/holds/"}, {"name": "guest", "prefix": "/guest/"}]
        await cell.start(manifest({"shop": SHOP, "guest": GUEST}, routes))
        loop = asyncio.get_running_loop()
        started = loop.time()
        accepted: set[str] = set()
        sends = [cell.spawn(hand_in(cell, number, accepted)) for number in range(jobs)]
        await asyncio.sleep(GUEST_AT_S)
        entry = cell.entries[1]
        for number, body in enumerate(guest_bodies):
            await cell.call("guest", GUEST, entry, "POST", f"/guest/{GUEST_JOB}{number}", body)
        await asyncio.gather(*sends)
        record.add(f"traffic ends; accepted of the shop: {len(accepted)} of {jobs}")
        if not accepted:
            raise RuntimeError("no job was accepted")
        await asyncio.sleep(BOUNDS["finish_s"])
        held = await watch(cell, accepted)
        guests = [run.end for run in cell.history if run.task.startswith(GUEST_JOB)]
        record.add(f"runs of the guest: {len(guests)}, done: {guests.count('done')}")
        record.add(f"{loop.time() - started:.1f} s after the start:")
        await ask(cell, accepted)
        return held
    finally:
        await cell.stop()


async def hand_in(cell: Cell, number: int, accepted: set[str]) -> None:
    """Hand in one job of the shop at its time."""
    await asyncio.sleep(number * PERIOD_S)
    job = f"{0x5C0E7A21D94B3600 + number:016x}"
    if await cell.submit("shop", SHOP, f"/holds/{job}", shop_body(), number):
        accepted.add(job)


async def watch(cell: Cell, accepted: set[str]) -> bool:
    """Return whether no job of the shop that could run had nothing running for a span."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + WATCH_S
    # When each job was last seen to run, to be through, or to lack room.
    excused = dict.fromkeys(accepted, loop.time())
    capacity = len(cell.executors) * EXECUTOR_CPU
    while loop.time() < deadline:
        now = loop.time()
        used = sum(executor.used_cpu() for executor in cell.executors)
        has_room = used < capacity / 2
        running = {task.partition(".")[0] for one in cell.executors for task, _ in one._running}
        ended = Counter(run.task.partition(".")[0] for run in cell.history if run.end == "done")
        for job in accepted:
            if not has_room or ended[job] == STEPS or job in running:
                excused[job] = now
        idle = sorted(job for job in accepted if now - excused[job] >= IDLE_S)
        if idle:
            cell.record.add(f"LOST    nothing runs for {IDLE_S} s of {len(idle)} jobs: {idle}")
            cell.record.add(f"        in use: {used} of {capacity} thousandths")
            return False
        await asyncio.sleep(0.2)
    return True


async def ask(cell: Cell, accepted: set[str]) -> None:
    """Record what each node answers to a GET for an accepted job."""
    job = min(accepted)
    calls = [cell.call("shop", SHOP, one, "GET", f"/holds/{job}") for one in cell.entries]
    await asyncio.gather(*calls)
