"""An executor crashes and starts again under its id while the store is down."""
import asyncio, sys, os
from pathlib import Path
from review.lib.cell import *
from review.lib.executor import Executor
WORK_S=0.25
def plan(task, attempt, spec): return WORK_S, "done"
async def crash(ex, down_s):
    ex.is_up=False
    for run in list(ex._running.values()):
        run.work.cancel(); run.ended_s, run.how = time.monotonic(), "crashed"
    ex._running.clear(); ex._finished=[]; ex._highest={}; ex._fence=0; ex._lease_ms=0; ex._ends=0
    await asyncio.sleep(down_s)
    ex._born=time.time_ns()//1_000_000; ex._began_s=time.monotonic(); ex._seq=0
    ex.is_up=True
async def case(t):
    p=Path(__file__).parent
    cell=Cell(p, plan, executors=2)
    try:
        await cell.start({"hold":{}})
        step={"count":2,"cpu":15000,"mem_mb":10,"estimate_ms":300}
        async def traffic():
            n=0
            while n<300:
                n+=1
                asyncio.ensure_future(cell.submit(cell.processes[n%3],f"{n:016x}","hold",{"spec":"x","phases":[step]}))
                await asyncio.sleep(0.006)
        tr=asyncio.ensure_future(traffic())
        await asyncio.sleep(3)
        cell.note("store down"); cell.store.go_down()
        await asyncio.sleep(0.5)
        w=max(cell.executors,key=lambda e: len(e._running)); cell.note(f"crash {w.name}")
        await crash(w,1.0); cell.note("back")
        await asyncio.sleep(3.0)
        cell.store.come_back(); cell.note("store up")
        await tr; await asyncio.sleep(15)
        import importlib.util
        spec=importlib.util.spec_from_file_location("c3",str(Path(__file__).parent.parent / "3" / "case.py")); m=importlib.util.module_from_spec(spec); spec.loader.exec_module(m)
        f=m.twice(cell.history); print(len(cell.history), len(f), f[:3])
        for x in f: cell.note(x)
        return 1 if f else 0
    finally: await cell.close()
main(case)
