"""State shared by the components of a partition's owner."""

from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass, field

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.commands import Command
from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.ids import Epoch, PartitionId, TaskId, task_id
from lagoonshelf_core.journal import Entry
from lagoonshelf_core.model import Task, WorkClass, WorkKind
from lagoonshelf_core.records import Record, RecordTable
from lagoonshelf_core.scheduler import MayStart, Scheduler
from lagoonshelf_server.config_sync import ConfigSync
from lagoonshelf_server.policy import Policy
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.waiters import Waiters

Append = Callable[[list[Entry], bool], Awaitable[None]]


@dataclass(slots=True)
class PartitionState:
    """State of one owned partition.

    :param append: make entries durable; the flag refuses them at once while the store is down
    :param spawn: run a coroutine in the background
    :param request_pass: request a scheduling pass
    :param settling: tasks that are neither queued nor on a worker, but not settled yet
    :param delegated: tasks that run in other partitions
    :param awaits_inventories: whether a worker that was not read yet may run tasks of earlier
        epochs that are not known
    """

    number: PartitionId
    cfg: Settings
    clock: Clock
    config: ConfigSync
    append: Append
    spawn: Callable[[Coroutine], object]
    may_act: Callable[[], bool]
    request_pass: Callable[[], None]
    epoch: Epoch = Epoch(0)
    policy: Policy = field(init=False)
    scheduler: Scheduler = field(init=False)
    record_table: RecordTable = field(default_factory=RecordTable)
    waiters: Waiters = field(default_factory=Waiters)
    settling: set[TaskId] = field(default_factory=set)
    delegated: Mapping[TaskId, object] = field(default_factory=dict)
    awaits_inventories: bool = True
    _sequence: int = 0

    def __post_init__(self) -> None:
        """Create the policy and the scheduler that calls its hooks."""
        self.policy = Policy(self.clock, self.config)
        self.scheduler = Scheduler(self.policy.hooks())

    def run_pass(self, may_start: MayStart) -> list[Command]:
        """Run a scheduling pass and return its commands."""
        self.policy.begin_pass(self.scheduler)
        commands = self.scheduler.run_pass(self.clock.now_ms(), may_start)
        return self.policy.end_pass(self.scheduler, commands)

    def next_pass_ms(self) -> int:
        """Return the time at which a pass is due even without an event."""
        due_ms = self.scheduler.next_pass_ms()
        warm_ms = self.policy.warm_slots.next_pass_ms()
        return warm_ms if due_ms is None else min(due_ms, warm_ms)

    def find_record(self, task: Task) -> Record | None:
        """Return the record of a task if the task is the current one of its index."""
        record = self.record_table.find(task.team, task.request_key)
        if record is None or record.tasks.get(task.index) != task.task:
            return None
        return record

    def is_active(self, task: TaskId | None) -> bool:
        """Return whether a task is queued, running, delegated or being settled."""
        return task in self.scheduler.tasks or task in self.settling or task in self.delegated

    def create_tasks(self, record: Record) -> None:
        """Queue the tasks that a record still needs, with increasing attempt numbers."""
        if record.ended or record.cancelled or not record.complete:
            return
        for index in range(record.spec.tasks):
            done = index in record.outcomes or index in record.blocked
            if done or self.is_active(record.tasks.get(index)):
                continue
            if self.awaits_inventories and record.spec.repeatable and record.recovered:
                continue
            self.scheduler.enqueue(self._make_task(record, index))
        self.request_pass()

    def owner_left_fault(self) -> Fault:
        """Return the fault for a request that this owner can no longer answer."""
        text = f"partition {self.number} was given up before the answer"
        return Fault(ResultCode.OWNER_LEFT, text)

    def _make_task(self, record: Record, index: int) -> Task:
        spec = record.spec
        task = record.tasks.get(index)
        if task is None:
            self._sequence += 1
            task = task_id(self.number, self.epoch, self._sequence)
            record.tasks[index] = task
        queue = self.config.document.queues.get(spec.queue)
        return Task(
            task=task,
            team=spec.team,
            queue=spec.queue,
            request_key=spec.request_key,
            kind=spec.kind,
            work_class=WorkClass[queue.work_class.upper()] if queue else WorkClass.NORMAL,
            repeatable=spec.repeatable,
            size=spec.size,
            run_ms=spec.run_ms,
            index=index,
            queued_ms=self.clock.now_ms(),
            home=self.number,
            epoch=self.epoch,
            payload=spec.payload,
            attempt=record.attempts.get(index, 0),
            gang_size=spec.tasks if spec.kind is WorkKind.GANG else 1,
            deadline_wall_ms=spec.deadline_wall_ms,
        )
