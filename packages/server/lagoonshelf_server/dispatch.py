"""Execution of a partition's commands on workers and processing of their reports."""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.commands import Command, DeadlineWarning, GiveUp, Start, Stop, Throttle, Warm
from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.model import Task, TaskState, WorkerState
from lagoonshelf_core.scheduler import Scheduler
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.fleet import Fleet
from lagoonshelf_server.logs import logger
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.starter import DispatchHooks, Starter
from lagoonshelf_server.worker_client import (
    FencingToken,
    Inventory,
    StaleEpochError,
    TaskReport,
    WorkerClient,
    WorkerError,
)
from lagoonshelf_server.worker_link import LinkHooks, WorkerLink

_log = logger("dispatch")


class Dispatch:
    """Sends commands to the workers of one owned partition and processes their reports."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        bridge: Bridge,
        client: WorkerClient,
        token: FencingToken,
        scheduler: Scheduler,
        digest_of: Callable[[Task], str],
        hooks: DispatchHooks,
    ) -> None:
        """Initialize without workers.

        :param digest_of: content hash of a task's request
        """
        self.pending_stops: dict[TaskId, Stop] = {}
        self._cfg = cfg
        self._bridge = bridge
        self._client = client
        self._token = token
        self._scheduler = scheduler
        self._hooks = hooks
        events = LinkHooks(
            self._on_inventory, self._on_report, self._on_state, hooks.on_stale_epoch
        )
        self.fleet = Fleet(
            cfg, clock, bridge, client, token, scheduler, events, self._on_worker_lost
        )
        self._starter = Starter(cfg, client, token, self.fleet.links, digest_of, hooks)

    async def execute(self, commands: list[Command]) -> None:
        """Execute the commands of a scheduling pass."""
        starts: dict[tuple[WorkerId, bool], list[Task]] = defaultdict(list)
        for command in commands:
            if isinstance(command, Start):
                task = self._scheduler.tasks[command.task]
                starts[(command.worker, task.repeatable)].append(task)
            elif isinstance(command, Stop):
                self.pending_stops[command.task] = command
                self._bridge.spawn(self._stop(command))
            elif isinstance(command, Throttle | Warm):
                self._bridge.spawn(self._adjust(command))
            elif isinstance(command, GiveUp):
                self._give_up(command)
            elif isinstance(command, DeadlineWarning):
                _log.warning("forecast", queue=command.queue, reason=command.reason)
        for (worker, _), tasks in starts.items():
            self._bridge.spawn(self._starter.start(worker, tasks))

    async def quiesce(self) -> None:
        """Wait until no start is in progress; the caller must have stopped new ones before."""
        await self._starter.quiesce()

    async def stop_superseded(self, worker: WorkerId, task: TaskId) -> None:
        """Stop a run that is not the current attempt of its task."""
        await self._stop(Stop(task, worker, False))

    def remove_task(self, task: TaskId) -> None:
        """Remove the state of a task that has ended."""
        self._starter.remove_task(task)
        self.pending_stops.pop(task, None)

    async def _stop(self, command: Stop) -> None:
        link = self.fleet.links.get(command.worker)
        if link is None or not self._hooks.may_act():
            return
        await self._send_command(
            link,
            self._client.stop(link.info.address, self._token, [command.task], command.checkpoint),
        )

    async def _adjust(self, command: Throttle | Warm) -> None:
        link = self.fleet.links.get(command.worker)
        if link is None or not self._hooks.may_act():
            return
        address = link.info.address
        if isinstance(command, Throttle):
            call = self._client.throttle(address, self._token, command.task, command.percent)
        else:
            call = self._client.warm(address, self._token, command.queue, command.slots)
        done = await self._send_command(link, call)
        if done and isinstance(command, Throttle):
            self._scheduler.confirm_throttle(command.task, command.percent)
            self._hooks.request_pass()

    async def _send_command(self, link: WorkerLink, call: Awaitable[None]) -> bool:
        """Wait for a call to a worker; return whether the worker confirmed it."""
        try:
            await call
            return True
        except WorkerError:
            link.set_state(WorkerState.UNREAD)
        except StaleEpochError:
            self._hooks.on_stale_epoch()
        return False

    def _give_up(self, command: GiveUp) -> None:
        task = self._scheduler.tasks.get(command.task)
        if task is not None:
            self._hooks.on_abandoned(task, command.reason)

    async def renew_forever(self) -> None:
        """Renew task leases, acknowledge results and detect lost workers."""
        while True:
            await asyncio.sleep(self._cfg.task_renew_ms / 1000)
            if not self._hooks.may_act():
                continue
            tasks = self.fleet.tasks_by_worker()
            for link in list(self.fleet.links.values()):
                # An unread worker gets no renewals, so that its leases end at a known time.
                if link.state is not WorkerState.UNREAD:
                    self._bridge.spawn(self._renew(link, tasks[link.info.worker]))
                    self._bridge.spawn(self._ack(link))
            self.fleet.check_workers()

    async def _renew(self, link: WorkerLink, tasks: list[Task]) -> None:
        leased = (TaskState.RUNNING, TaskState.STOPPING)
        running = [task.task for task in tasks if task.state in leased]
        if not running or not self._hooks.may_act():
            return
        link.record_lease_sent()
        expires_ms = link.expiry_ms(self._cfg.start_timeout_ms)
        try:
            missing = await self._client.renew(link.info.address, self._token, running, expires_ms)
        except WorkerError:
            link.set_state(WorkerState.UNREAD)
        except StaleEpochError:
            self._hooks.on_stale_epoch()
        else:
            if any(task in self._scheduler.tasks for task in missing):
                link.set_state(WorkerState.UNREAD)

    async def _ack(self, link: WorkerLink) -> None:
        acks, link.pending_acks = link.pending_acks, []
        if not acks:
            return
        try:
            await self._client.ack(link.info.address, acks)
        except WorkerError:
            link.pending_acks += acks

    def _on_inventory(self, link: WorkerLink, inventory: Inventory) -> None:
        worker = link.info.worker
        seen = {report.meta.task: report for report in inventory.tasks}
        for report in inventory.tasks:
            known = self._scheduler.tasks.get(TaskId(report.meta.task))
            if known is None or known.worker != worker:
                self._hooks.on_found(worker, report)
        unsettled = [
            task
            for task in self.fleet.tasks_on(worker)
            if not self._reconcile(link, inventory, task, seen.get(task.task))
        ]
        if unsettled:
            raise WorkerError("a start may still arrive")
        self._hooks.on_inventory(worker, inventory)
        # After a takeover the leases were last renewed by the predecessor.
        self._bridge.spawn(self._renew(link, self.fleet.tasks_on(worker)))

    def _reconcile(
        self, link: WorkerLink, inventory: Inventory, task: Task, report: TaskReport | None
    ) -> bool:
        """Apply a worker's inventory to a task; return false while a start may still arrive."""
        if report is None or report.meta.attempt < task.attempt:
            return self._starter.settle_missing(inventory, task)
        if report.state != "running":
            self._hooks.on_ended(report)
            return True
        self._starter.process_answer(link, task, "known")
        stop = self.pending_stops.get(task.task)
        if stop is not None and stop.worker == task.worker:
            self._bridge.spawn(self._stop(stop))
        return True

    def _on_report(self, link: WorkerLink, report: TaskReport) -> None:
        task = self._scheduler.tasks.get(TaskId(report.meta.task))
        known = task is not None and task.worker == link.info.worker
        if not known or task.attempt != report.meta.attempt:
            _log.info("report of an unknown task or attempt ignored", task=report.meta.task)
            return
        if not report.is_intact:
            link.set_state(WorkerState.UNREAD)
            return
        self._hooks.on_ended(report)

    def _on_state(self, link: WorkerLink) -> None:
        self._scheduler.set_worker(link.info, link.state)
        self._hooks.request_pass()

    def _on_worker_lost(self, worker: WorkerId) -> None:
        for task in self.fleet.tasks_on(worker):
            self._hooks.on_lost(task)
        self._hooks.on_worker_lost(worker)
