"""Carries out a partition's commands on workers and follows what becomes of the tasks."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.commands import Command, Start, Stop
from lagoonshelf_core.errors import LagoonshelfError
from lagoonshelf_core.ids import Epoch, PartitionId, QueueId, RequestKey, TaskId, TeamId, WorkerId
from lagoonshelf_core.journal import Entry, IntentEntry
from lagoonshelf_core.model import (
    Task,
    TaskState,
    WorkClass,
    WorkerInfo,
    WorkerState,
    WorkKind,
)
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.scheduler import Scheduler

from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import TaskMeta
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.worker_link import LinkEvents, WorkerLink
from lagoonshelf_server.workers import (
    Authority,
    Inventory,
    StaleEpochError,
    StartItem,
    TaskReport,
    WorkerClient,
    WorkerError,
)

_log = logger("dispatch")


@dataclass(slots=True)
class DispatchHooks:
    """How dispatch reaches its partition.

    :param may_act: whether this process still owns the partition
    :param journal: makes entries durable
    :param on_started: the worker has confirmed the start of a task
    :param on_ended: a task has ended
    :param on_refused: a task was certainly not started
    :param on_lost: a task's worker has lost it; it may have run
    :param on_found: a task was found on a worker that the scheduler does not know
    :param on_stale: a newer owner exists
    :param kick: asks for a scheduling pass
    """

    may_act: Callable[[], bool]
    journal: Callable[[list[Entry]], object]
    on_started: Callable[[Task], None]
    on_ended: Callable[[TaskReport], None]
    on_refused: Callable[[Task], None]
    on_lost: Callable[[Task], None]
    on_found: Callable[[WorkerId, TaskReport], None]
    on_stale: Callable[[], None]
    kick: Callable[[], None]


class Dispatch:
    """Worker links of one owned partition."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        bridge: Bridge,
        client: WorkerClient,
        authority: Authority,
        scheduler: Scheduler,
        digest_of: Callable[[Task], str],
        hooks: DispatchHooks,
    ) -> None:
        """Begin without workers.

        :param digest_of: content hash of a task's request
        """
        self.links: dict[WorkerId, WorkerLink] = {}
        self.knows_hosts = False
        self._cfg = cfg
        self._clock = clock
        self._bridge = bridge
        self._client = client
        self._authority = authority
        self._scheduler = scheduler
        self._digest_of = digest_of
        self._hooks = hooks
        self._followers: dict[WorkerId, asyncio.Task] = {}
        self._events = LinkEvents(
            self._on_inventory, self._on_report, self._on_state, hooks.on_stale
        )

    def set_hosts(self, hosts: list[WorkerInfo]) -> None:
        """Take in the host list: new, changed and leaving workers of the partition."""
        self.knows_hosts = True
        for info in hosts:
            link = self.links.get(info.worker)
            if link is None:
                self._add(info)
                continue
            link.info = info
            if info.leaving:
                link.set_state(WorkerState.LEAVING)
            elif info.boot_id != link.boot_id and link.state is not WorkerState.UNREAD:
                link.set_state(WorkerState.UNREAD)

    async def execute(self, commands: list[Command]) -> None:
        """Carry out the commands of one pass."""
        starts: dict[WorkerId, list[Task]] = defaultdict(list)
        for command in commands:
            if isinstance(command, Start):
                starts[command.worker].append(self._scheduler.tasks[command.task])
            elif isinstance(command, Stop):
                self._bridge.spawn(self._stop(command))
        for worker, tasks in starts.items():
            self._bridge.spawn(self._start(worker, tasks))

    async def renew_forever(self) -> None:
        """Renew the leases of running tasks, first those that were just adopted."""
        while True:
            await asyncio.gather(*(self._renew(link) for link in self.links.values()))
            await asyncio.sleep(self._cfg.task_renew_ms / 1000)

    def close(self) -> None:
        """Stop following workers."""
        for follower in self._followers.values():
            follower.cancel()

    def all_read(self) -> bool:
        """Tell whether each worker's inventory is known."""
        return all(link.state is not WorkerState.UNREAD for link in self.links.values())

    def _add(self, info: WorkerInfo) -> None:
        link = WorkerLink(info, self._authority, self._client, self._clock, self._events)
        self.links[info.worker] = link
        self._scheduler.set_worker(info, WorkerState.UNREAD)
        self._followers[info.worker] = self._bridge.spawn(link.follow())

    async def _start(self, worker: WorkerId, tasks: list[Task]) -> None:
        link = self.links[worker]
        home = self._authority.partition
        journaled = [task for task in tasks if not task.repeatable and task.home == home]
        intents = [self._intent(link, task) for task in journaled]
        try:
            if intents:
                await self._hooks.journal(intents)
        except LagoonshelfError as exc:
            _log.warning("intent not written", reason=exc.fault.message)
            for task in tasks:
                self._hooks.on_refused(task)
            return
        tasks = [task for task in tasks if task.state is TaskState.STARTING]
        if not self._hooks.may_act() or link.state is not WorkerState.READY:
            for task in tasks:
                self._hooks.on_refused(task)
            return
        await self._send_start(link, tasks)

    async def _send_start(self, link: WorkerLink, tasks: list[Task]) -> None:
        items = [StartItem(task_meta(task, self._digest_of(task)), task.payload) for task in tasks]
        timeout_ms = self._cfg.start_timeout_ms
        expires_ms = link.expiry_ms(timeout_ms)
        try:
            answers = await self._client.start(
                link.info.address,
                self._authority,
                items,
                self._cfg.task_lease_ms,
                expires_ms,
                timeout_ms,
            )
        except WorkerError as exc:
            _log.warning("start not confirmed", worker=link.info.worker, reason=str(exc))
            link.set_state(WorkerState.UNREAD)
            return
        except StaleEpochError:
            self._hooks.on_stale()
            return
        for task, answer in zip(tasks, answers, strict=True):
            self._on_start_answer(link, task, answer)

    def _on_start_answer(self, link: WorkerLink, task: Task, answer: str) -> None:
        if answer in ("started", "known"):
            if task.state is TaskState.STARTING:
                task.state = TaskState.RUNNING
                self._hooks.on_started(task)
            return
        if answer == "leaving":
            link.set_state(WorkerState.LEAVING)
        self._hooks.on_refused(task)

    async def _stop(self, command: Stop) -> None:
        link = self.links.get(command.worker)
        if link is None or not self._hooks.may_act():
            return
        try:
            await self._client.stop(
                link.info.address, self._authority, [command.task], command.checkpoint
            )
        except WorkerError:
            link.set_state(WorkerState.UNREAD)
        except StaleEpochError:
            self._hooks.on_stale()

    async def _renew(self, link: WorkerLink) -> None:
        tasks = [t for t in self._scheduler.tasks.values() if t.worker == link.info.worker]
        running = [t.task for t in tasks if t.state in (TaskState.RUNNING, TaskState.STOPPING)]
        if not running or not self._hooks.may_act():
            return
        try:
            await self._client.renew(link.info.address, self._authority, running)
        except WorkerError:
            link.set_state(WorkerState.UNREAD)
        except StaleEpochError:
            self._hooks.on_stale()

    def _on_inventory(self, link: WorkerLink, inventory: Inventory) -> None:
        seen = {report.meta.task: report for report in inventory.tasks}
        for report in inventory.tasks:
            if report.meta.task not in self._scheduler.tasks:
                self._hooks.on_found(link.info.worker, report)
        for task in list(self._scheduler.tasks.values()):
            if task.worker != link.info.worker:
                continue
            report = seen.get(task.task)
            if report is None or report.meta.attempt < task.attempt:
                self._settle_missing(link, inventory, task)
            elif report.state == "running":
                self._on_start_answer(link, task, "known")
            else:
                self._hooks.on_ended(report)

    def _settle_missing(self, link: WorkerLink, inventory: Inventory, task: Task) -> None:
        """Decide on a task that its worker does not know.

        A start may still be on its way until it expires on the worker's clock.
        """
        rebooted = bool(link.boot_id) and inventory.boot_id != link.boot_id
        if rebooted or task.state is not TaskState.STARTING:
            self._hooks.on_lost(task)
            return
        age_ms = self._clock.now_ms() - task.started_ms
        if age_ms > 2 * self._cfg.start_timeout_ms:
            self._hooks.on_refused(task)
        else:
            raise WorkerError("a start may still be on its way")

    def _on_report(self, link: WorkerLink, report: TaskReport) -> None:
        task = self._scheduler.tasks.get(TaskId(report.meta.task))
        if task is None or task.attempt != report.meta.attempt:
            _log.info("report without a task", task=report.meta.task)
            return
        if not report.whole:
            link.set_state(WorkerState.UNREAD)
            return
        self._hooks.on_ended(report)

    def _on_state(self, link: WorkerLink) -> None:
        self._scheduler.set_worker(link.info, link.state)
        self._hooks.kick()

    def _intent(self, link: WorkerLink, task: Task) -> IntentEntry:
        return IntentEntry(
            task.task,
            task.attempt,
            link.info.worker,
            link.boot_id,
            self._authority.partition,
            task.team,
            task.request_key,
            self._digest_of(task),
        )


def task_meta(task: Task, digest: str) -> TaskMeta:
    """Return what a worker keeps of a task.

    :param digest: content hash of the request
    """
    return TaskMeta(
        task=task.task,
        attempt=task.attempt,
        home=task.home,
        epoch=task.epoch,
        team=task.team,
        queue=task.queue,
        request_key=task.request_key,
        kind=task.kind.value,
        work_class=task.work_class.value,
        repeatable=task.repeatable,
        cpu_milli=task.size.cpu_milli,
        memory_mib=task.size.memory_mib,
        accelerators=task.size.accelerators,
        run_ms=task.run_ms,
        index=task.index,
        digest=digest,
    )


def task_from_meta(meta: TaskMeta, now_ms: int) -> Task:
    """Return the task that a worker reported.

    :param now_ms: stands in for the unknown time of arrival
    """
    return Task(
        task=TaskId(meta.task),
        team=TeamId(meta.team),
        queue=QueueId(meta.queue),
        request_key=RequestKey(meta.request_key),
        kind=WorkKind(meta.kind),
        work_class=WorkClass(meta.work_class),
        repeatable=meta.repeatable,
        size=Resources(meta.cpu_milli, meta.memory_mib, meta.accelerators, 1),
        run_ms=meta.run_ms,
        index=meta.index,
        queued_ms=now_ms,
        home=PartitionId(meta.home),
        epoch=Epoch(meta.epoch),
        attempt=meta.attempt,
        started_ms=now_ms,
    )
