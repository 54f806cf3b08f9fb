"""Start of tasks on workers: intents, start calls and starts without an answer."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lagoonshelf_core.errors import LagoonshelfError
from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.journal import Entry, IntentEntry
from lagoonshelf_core.model import Task, TaskState, WorkerState
from lagoonshelf_server.logs import logger
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.task_meta import meta_from_task
from lagoonshelf_server.worker_client import (
    FencingToken,
    Inventory,
    StaleEpochError,
    StartItem,
    TaskReport,
    WorkerClient,
    WorkerError,
)
from lagoonshelf_server.worker_link import WorkerLink

QUIESCE_POLL_INTERVAL_S = 0.02
_log = logger("starter")


@dataclass(slots=True)
class DispatchHooks:
    """Callbacks from dispatch to its partition.

    :param may_act: whether this process still owns the partition
    :param may_start: whether new work may be started
    :param journal: make entries durable, or refuse them at once while the store is down
    :param on_started: the worker has confirmed the start of a task
    :param on_ended: a task has ended
    :param on_start_refused: a task was certainly not started
    :param on_intent_failed: the intent of a task was not journaled, and no start was sent
    :param on_lost: a task's worker has lost it; it may have run
    :param on_found: a task was found on a worker where the scheduler did not place it
    :param on_inventory: a worker's inventory was processed
    :param on_worker_lost: the task leases of an unreachable worker have ended
    :param on_abandoned: a queued task cannot run, with the reason
    :param on_stale_epoch: a newer owner exists
    :param request_pass: request a scheduling pass
    """

    may_act: Callable[[], bool]
    may_start: Callable[[], bool]
    journal: Callable[[list[Entry]], Awaitable[None]]
    on_started: Callable[[Task], None]
    on_ended: Callable[[TaskReport], None]
    on_start_refused: Callable[[Task], None]
    on_intent_failed: Callable[[Task], None]
    on_lost: Callable[[Task], None]
    on_found: Callable[[WorkerId, TaskReport], None]
    on_inventory: Callable[[WorkerId, Inventory], None]
    on_worker_lost: Callable[[WorkerId], None]
    on_abandoned: Callable[[Task, str], None]
    on_stale_epoch: Callable[[], None]
    request_pass: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _SentStart:
    """A start that was sent.

    :param boot_id: boot id of the worker when the start was sent
    :param expires_ms: time on the worker's clock after which the start cannot take effect
    """

    attempt: int
    boot_id: str
    expires_ms: int


class Starter:
    """Starts the tasks of one owned partition."""

    def __init__(
        self,
        cfg: Settings,
        client: WorkerClient,
        token: FencingToken,
        links: dict[WorkerId, WorkerLink],
        digest_of: Callable[[Task], str],
        hooks: DispatchHooks,
    ) -> None:
        """Initialize with no start in progress.

        :param links: workers of the partition
        :param digest_of: content hash of a task's request
        """
        self._cfg = cfg
        self._client = client
        self._token = token
        self._links = links
        self._digest_of = digest_of
        self._hooks = hooks
        self._sent: dict[TaskId, _SentStart] = {}
        self._starts_in_progress = 0

    def remove_task(self, task: TaskId) -> None:
        """Remove the state of a task that has ended."""
        self._sent.pop(task, None)

    async def quiesce(self) -> None:
        """Wait until no start is in progress; the caller must have stopped new ones before."""
        while self._starts_in_progress:
            await asyncio.sleep(QUIESCE_POLL_INTERVAL_S)

    async def start(self, worker: WorkerId, tasks: list[Task]) -> None:
        """Start tasks that the scheduler has placed on a worker."""
        self._starts_in_progress += 1
        try:
            if await self._write_intents(worker, tasks):
                await self._start_if_ready(worker, tasks)
        finally:
            self._starts_in_progress -= 1

    async def _write_intents(self, worker: WorkerId, tasks: list[Task]) -> bool:
        link = self._links.get(worker)
        # The home owner of a delegated task has journaled the intent.
        own = [task for task in tasks if task.home == self._token.partition]
        intents = [self._intent(link, task) for task in own if link and not task.repeatable]
        if not intents:
            return True
        try:
            await self._hooks.journal(intents)
        except LagoonshelfError as exc:
            _log.warning("intent not journaled", reason=exc.fault.message)
            if self._hooks.may_act():
                for task in tasks:
                    self._hooks.on_intent_failed(task)
            return False
        return True

    async def _start_if_ready(self, worker: WorkerId, tasks: list[Task]) -> None:
        link = self._links.get(worker)
        tasks = [t for t in tasks if t.state is TaskState.STARTING and t.worker == worker]
        # The boot id in the intent must be that of the worker that receives the start.
        if link is None or not self._hooks.may_start() or link.state is not WorkerState.READY:
            if self._hooks.may_act():
                for task in tasks:
                    self._hooks.on_start_refused(task)
            return
        if tasks:
            await self._send_start(link, tasks)

    async def _send_start(self, link: WorkerLink, tasks: list[Task]) -> None:
        items = [
            StartItem(meta_from_task(task, self._digest_of(task)), task.payload) for task in tasks
        ]
        timeout_ms = self._cfg.start_timeout_ms
        expires_ms = link.expiry_ms(timeout_ms)
        for task in tasks:
            self._sent[task.task] = _SentStart(task.attempt, link.boot_id, expires_ms)
        attempts = [task.attempt for task in tasks]
        link.record_lease_sent()
        try:
            answers = await self._client.start(
                link.info.address,
                self._token,
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
            self._hooks.on_stale_epoch()
            return
        for task, attempt, answer in zip(tasks, attempts, answers, strict=True):
            if task.attempt == attempt and task.worker == link.info.worker:
                self.process_answer(link, task, answer)

    def process_answer(self, link: WorkerLink, task: Task, answer: str) -> None:
        """Process a worker's answer to the start of a task."""
        if task.state is not TaskState.STARTING:
            return
        if answer in ("started", "known"):
            task.state = TaskState.RUNNING
            self._hooks.on_started(task)
            return
        if answer == "leaving":
            link.set_leaving()
        self._hooks.on_start_refused(task)

    def settle_missing(self, inventory: Inventory, task: Task) -> bool:
        """Settle a task that its worker does not know.

        A start may still arrive until it expires on the worker's clock. A worker that was
        restarted since the start may have run the task before the restart.

        :returns: false while the start may still arrive
        """
        sent = self._sent.get(task.task)
        if task.state is not TaskState.STARTING:
            self._hooks.on_lost(task)
        elif sent is None or sent.attempt != task.attempt:
            return True
        elif sent.boot_id != inventory.boot_id:
            self._hooks.on_lost(task)
        elif inventory.clock_ms > sent.expires_ms:
            self._hooks.on_start_refused(task)
        else:
            return False
        return True

    def _intent(self, link: WorkerLink, task: Task) -> IntentEntry:
        return IntentEntry(
            task.task,
            task.attempt,
            link.info.worker,
            link.boot_id,
            self._token.partition,
            task.team,
            task.request_key,
            self._digest_of(task),
            task.index,
        )
