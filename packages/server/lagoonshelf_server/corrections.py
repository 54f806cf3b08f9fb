"""Corrected estimates of run time and size for the tasks of one partition."""

from collections.abc import Callable, Iterable

from lagoonshelf_core.estimates import Estimates
from lagoonshelf_core.model import Task, WorkerInfo, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.worker_client import TaskReport


class Corrections:
    """Corrects declared run times and sizes by the reports on earlier tasks."""

    def __init__(self, ready_workers: Callable[[], Iterable[WorkerInfo]]) -> None:
        """Initialize without reports.

        :param ready_workers: workers that accept tasks
        """
        self.estimates = Estimates()
        self._ready_workers = ready_workers
        self._largest: dict[Resources, Resources] = {}

    def begin_pass(self) -> None:
        """Discard the cached worker capacities."""
        self._largest.clear()

    def record_end(self, task: Task, report: TaskReport) -> None:
        """Update the estimates from a report; only successful tasks count for the run time."""
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
        """Return the resources to reserve for a task.

        Gangs keep their declared size: admission has checked that the partition can hold all
        tasks of this size, and a larger one might never fit.
        """
        if task.kind is WorkKind.GANG:
            return task.size
        largest = self._largest_for(task.size)
        return self.estimates.size(task.team, task.queue, task.size, largest)

    def _largest_for(self, size: Resources) -> Resources:
        """Return the capacity of the largest ready worker that fits a size, else the size."""
        found = self._largest.get(size)
        if found is None:
            fitting = [w.capacity for w in self._ready_workers() if size.fits_in(w.capacity)]
            found = max(fitting, key=lambda c: (c.cpu_milli, c.memory_mib), default=size)
            self._largest[size] = found
        return found
