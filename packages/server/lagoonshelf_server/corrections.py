"""Corrected run times and sizes of the tasks of one partition."""

from collections.abc import Callable, Iterable

from lagoonshelf_core.estimates import Estimates
from lagoonshelf_core.model import Task, WorkerInfo, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.worker_client import TaskReport


class Corrections:
    """What reports say about the run time and the size of coming tasks."""

    def __init__(self, ready_workers: Callable[[], Iterable[WorkerInfo]]) -> None:
        """Begin without reports.

        :param ready: workers that may get tasks
        """
        self.estimates = Estimates()
        self._ready_workers = ready_workers
        self._largest: dict[Resources, Resources] = {}

    def begin_pass(self) -> None:
        """Look at the workers again."""
        self._largest.clear()

    def record_end(self, task: Task, report: TaskReport) -> None:
        """Learn from a report; only tasks that ended well tell how long the work takes."""
        if report.state == "finished" and report.ran_ms > 0:
            self.estimates.report_run(task.team, task.queue, report.ran_ms)
        if report.peak:
            cpu_milli = report.peak.get("cpu_milli", 0)
            memory_mib = report.peak.get("memory_mib", 0)
            self.estimates.report_peak(task.team, task.queue, Resources(cpu_milli, memory_mib))

    def run_ms(self, task: Task) -> int:
        """Return the corrected run time of a task."""
        return self.estimates.run_ms(task.team, task.queue, task.run_ms)

    def size(self, task: Task) -> Resources:
        """Return the room to reserve for a task.

        Gangs keep their declared size: admission has checked that the partition can hold all
        tasks of this size, and a larger one might never fit.
        """
        if task.kind is WorkKind.GANG:
            return task.size
        largest = self._largest_for(task.size)
        return self.estimates.size(task.team, task.queue, task.size, largest)

    def _largest_for(self, size: Resources) -> Resources:
        """Return the capacity of the largest ready worker that holds a size, or the size."""
        found = self._largest.get(size)
        if found is None:
            fitting = [w.capacity for w in self._ready_workers() if size.fits_in(w.capacity)]
            found = max(fitting, key=lambda c: (c.cpu_milli, c.memory_mib), default=size)
            self._largest[size] = found
        return found
