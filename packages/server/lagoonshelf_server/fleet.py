"""Workers of one owned partition: which ones are listed, read or lost."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.model import Task, WorkerInfo, WorkerState
from lagoonshelf_core.scheduler import Scheduler
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.logs import logger
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.worker_client import FencingToken, WorkerClient
from lagoonshelf_server.worker_link import LinkHooks, WorkerLink

_log = logger("fleet")


def max_lease_ms(cfg: Settings) -> int:
    """Return the time after the last renewal by which all task leases of a worker have ended.

    A renewal or a start takes effect at most one start timeout after it was sent, since it
    expires on the worker's clock; the task lease begins then.
    """
    return cfg.task_lease_ms + cfg.start_timeout_ms


class Fleet:
    """Links to the workers of a partition."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        bridge: Bridge,
        client: WorkerClient,
        token: FencingToken,
        scheduler: Scheduler,
        link_hooks: LinkHooks,
        on_lost: Callable[[WorkerId], None],
    ) -> None:
        """Initialize without workers.

        :param on_lost: called when all task leases of an unreachable worker have ended
        """
        self.links: dict[WorkerId, WorkerLink] = {}
        self.hosts_received = False
        self._cfg = cfg
        self._clock = clock
        self._bridge = bridge
        self._client = client
        self._token = token
        self._scheduler = scheduler
        self._link_hooks = link_hooks
        self._on_lost = on_lost
        self._link_tasks: dict[WorkerId, asyncio.Task] = {}

    def set_hosts(self, hosts: list[WorkerInfo]) -> None:
        """Apply the host list: new, changed, leaving and missing workers of the partition."""
        self.hosts_received = True
        for info in hosts:
            link = self.links.get(info.worker)
            if link is None:
                self._add(info)
            else:
                self._update(link, info)
        listed = {info.worker for info in hosts}
        for worker, link in self.links.items():
            if worker not in listed and link.unlisted_ms is None:
                _log.info("worker missing from the host list", worker=worker)
                link.unlisted_ms = self._clock.now_ms()
                link.set_leaving()

    def check_workers(self) -> None:
        """Report unreachable workers as lost once their leases end; remove unlisted workers."""
        now_ms = self._clock.now_ms()
        lease_ms = max_lease_ms(self._cfg)
        for worker, link in list(self.links.items()):
            silent_too_long = (
                link.state is WorkerState.UNREAD and now_ms - link.last_lease_sent_ms > lease_ms
            )
            if silent_too_long and not link.lost:
                _log.warning("worker lost", worker=worker)
                link.lost = True
                self._on_lost(worker)
            unlisted_too_long = (
                link.unlisted_ms is not None and now_ms - link.unlisted_ms > lease_ms
            )
            if unlisted_too_long and not self.tasks_on(worker):
                self._remove(worker)

    def tasks_on(self, worker: WorkerId) -> list[Task]:
        """Return the tasks that the scheduler has placed on a worker."""
        return [task for task in self._scheduler.tasks.values() if task.worker == worker]

    def tasks_by_worker(self) -> dict[WorkerId, list[Task]]:
        """Return the tasks of all workers, grouped by worker in one iteration."""
        tasks: dict[WorkerId, list[Task]] = defaultdict(list)
        for task in self._scheduler.tasks.values():
            if task.worker is not None:
                tasks[task.worker].append(task)
        return tasks

    def ready(self) -> list[WorkerInfo]:
        """Return the workers that may get tasks."""
        return [link.info for link in self.links.values() if link.state is WorkerState.READY]

    def all_read(self) -> bool:
        """Return whether no worker can run a task that is not known."""
        return all(
            link.lost or link.state is not WorkerState.UNREAD for link in self.links.values()
        )

    def all_attempted(self) -> bool:
        """Return whether each worker has answered or failed to answer once."""
        return all(link.read_attempted for link in self.links.values())

    def close(self) -> None:
        """Stop reading the reports of the workers."""
        for follower in self._link_tasks.values():
            follower.cancel()

    def _add(self, info: WorkerInfo) -> None:
        link = WorkerLink(info, self._token, self._client, self._clock, self._link_hooks)
        self.links[info.worker] = link
        self._scheduler.set_worker(info, WorkerState.UNREAD)
        # A worker without fencing may still accept a start that the predecessor sent.
        delay_ms = 0 if info.fencing else self._cfg.start_timeout_ms
        self._link_tasks[info.worker] = self._bridge.spawn(link.follow(delay_ms))

    def _update(self, link: WorkerLink, info: WorkerInfo) -> None:
        restarted = info.boot_id not in (link.info.boot_id, link.boot_id)
        changed = info.capacity != link.info.capacity
        listed_again = link.unlisted_ms is not None
        link.info = info
        link.unlisted_ms = None
        if info.leaving:
            link.set_leaving()
        elif restarted or listed_again:
            link.set_state(WorkerState.UNREAD)
        if changed:
            self._scheduler.set_worker(info, link.state)

    def _remove(self, worker: WorkerId) -> None:
        _log.info("worker removed", worker=worker)
        self._link_tasks.pop(worker).cancel()
        del self.links[worker]
        self._scheduler.remove_worker(worker)
