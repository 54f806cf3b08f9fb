"""Measures the longest single step of the leader's decisions for jobs of different widths.

No other task of the process, such as the renewal of the leader lease, runs during such a step.

Usage: python -m bench wide_jobs
"""

from collections.abc import Callable
from time import perf_counter

from bench.cell_cost import WORKER_CAPACITY
from bench.cell_simulation import POOL, make_config, make_worker_infos
from lagoonshelf_core.ids import QueueId, TeamId
from lagoonshelf_core.jobs.advice_lanes import AdviceBudget
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.config import Queue, Team
from lagoonshelf_core.jobs.job_records import encode_progress
from lagoonshelf_core.jobs.planning import plan
from lagoonshelf_core.jobs.progress import Job, RunEnd
from lagoonshelf_core.jobs.spec import JobId, JobSpec, StepSpec
from lagoonshelf_core.jobs.worker_reports import EndedRow, apply_report
from lagoonshelf_core.resources import Resources

WIDTHS = (60, 600, 5_000)
WORKERS = 24
TEAM, QUEUE = TeamId("t"), QueueId("batch")
TASK = Resources(90, 50, 0)
TASK_MS = 1_000


class _StepTimer:
    """Longest duration of each kind of step, in ms."""

    def __init__(self) -> None:
        self.longest_ms: dict[str, float] = {}

    def run(self, kind: str, step: Callable[[], object]) -> object:
        started = perf_counter()
        result = step()
        took_ms = (perf_counter() - started) * 1000
        self.longest_ms[kind] = max(took_ms, self.longest_ms.get(kind, 0.0))
        return result


def _make_cell() -> Cell:
    cell = Cell(make_config([Queue(QUEUE, "h", "/b/", POOL, 1, 3, 4.0, 1_000)], [Team(TEAM, 1e6)]))
    for info in make_worker_infos(WORKERS, WORKER_CAPACITY):
        cell.update_worker(info, 0).is_read = True
    return cell


def _measure(width: int) -> dict[str, float]:
    """Return the longest step of each kind in the life of a job."""
    timer, cell = _StepTimer(), _make_cell()
    spec = JobSpec(
        JobId("0" * 16), TEAM, QUEUE, "", (StepSpec(width, TASK, TASK_MS),), accepted_ms=0
    )
    job: Job = timer.run("accept", lambda: cell.accept(spec, 0))
    while timer.run("pass", lambda: plan(cell, 0, 0, AdviceBudget())):
        pass
    for worker in cell.workers.values():
        for run in list(worker.runs.values()):
            timer.run("confirm", lambda run=run: cell.start_confirmed(run, 0))
    record = timer.run("record", lambda: encode_progress(job))
    successor = _make_cell()
    timer.run("restore", lambda: successor.restore(spec, record, 0))
    for worker in cell.workers.values():
        rows = [
            EndedRow(number, run.name, run.attempt, RunEnd.DONE, "")
            for number, run in enumerate(worker.runs.values(), 1)
        ]
        timer.run("report", lambda w=worker, r=rows: apply_report(cell, w, [], r, 1, 1))
    return timer.longest_ms


def run() -> list[str]:
    """Return one line for each width."""
    rows = []
    for width in WIDTHS:
        steps = "  ".join(f"{kind} {ms:.1f}" for kind, ms in _measure(width).items())
        rows.append(f"longest step, job of {width:>5} tasks, ms:  {steps}")
    return rows
