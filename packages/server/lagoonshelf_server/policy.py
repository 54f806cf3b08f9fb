"""Policy state of one owned partition and its part in scheduling passes."""

from collections.abc import Callable, Iterable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.commands import Command
from lagoonshelf_core.document import QueueConfig
from lagoonshelf_core.errors import Fault
from lagoonshelf_core.hooks import Hooks
from lagoonshelf_core.model import RequestSpec, Task, WorkerInfo
from lagoonshelf_core.scheduler import Scheduler
from lagoonshelf_server.config_sync import ConfigSync
from lagoonshelf_server.corrections import Corrections
from lagoonshelf_server.deadline_planner import DeadlinePlanner
from lagoonshelf_server.partition_admission import PartitionAdmission
from lagoonshelf_server.warm_slots import WarmSlots
from lagoonshelf_server.worker_client import TaskReport
from lagoonshelf_server.worker_health import WorkerHealth


class Policy:
    """Policy state that a partition keeps between scheduling passes."""

    def __init__(self, clock: Clock, config: ConfigSync) -> None:
        """Initialize before the first pass."""
        self.ready_workers: Callable[[], Iterable[WorkerInfo]] = tuple
        self.admission = PartitionAdmission()
        self.health = WorkerHealth(clock, self._usable_workers)
        self.corrections = Corrections(self._usable_workers)
        self.deadlines = DeadlinePlanner(clock, config, self.corrections)
        self.warm_slots = WarmSlots(clock, config, self._usable_workers)
        self._clock = clock
        self._config = config
        self._revision: int | None = None

    def hooks(self) -> Hooks:
        """Return the hooks that a scheduling pass calls."""
        return Hooks(
            estimate_ms=self.corrections.run_ms,
            effective_class=self.deadlines.effective_class,
            may_use=self.health.may_use,
            reserved_size=self.corrections.size,
        )

    def _usable_workers(self) -> list[WorkerInfo]:
        """Return the workers that may get tasks."""
        evacuated = self._config.document.evacuations
        return [info for info in self.ready_workers() if info.failure_domain not in evacuated]

    def check_admission(self, spec: RequestSpec, scheduler: Scheduler) -> Fault | None:
        """Count a new request as waiting, or return the fault for which it is refused."""
        queue = self._config.document.queues.get(spec.queue) or QueueConfig()
        tasks = scheduler.tasks.values()
        return self.admission.check(spec, queue, tasks, self._clock.now_ms())

    def begin_pass(self, scheduler: Scheduler) -> None:
        """Apply a new configuration to the scheduler and prepare the policy for a pass."""
        if self._revision != self._config.revision:
            self._revision = self._config.revision
            document = self._config.document
            scheduler.set_policy(document.teams, document.queues, document.evacuations)
        self.corrections.begin_pass()
        self.health.begin_pass(scheduler.tasks)
        self.deadlines.begin_pass(
            scheduler.tasks.values(), lambda: scheduler.free_resources().slots
        )

    def end_pass(self, scheduler: Scheduler, commands: list[Command]) -> list[Command]:
        """Process the commands of a pass and return them with those of the policy."""
        self.health.end_pass(commands)
        return [*commands, *self.warm_slots.end_pass(scheduler.tasks.values())]

    def record_end(self, task: Task, report: TaskReport) -> bool:
        """Record the reported end of a task that is still on its worker.

        :returns: whether the task is at fault, as it failed on too many workers
        """
        self.corrections.record_end(task, report)
        return self.health.record_end(task.worker, task.task, report.state)
