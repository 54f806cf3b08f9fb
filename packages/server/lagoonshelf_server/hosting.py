"""Hosting: running tasks delegated by other partitions on this partition's workers."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass

from xxhash import xxh3_64_hexdigest

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.commands import Stop
from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import Epoch, PartitionId, TaskId, WorkerId
from lagoonshelf_core.model import Task
from lagoonshelf_core.scheduler import Scheduler
from lagoonshelf_server.dispatch import Dispatch
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import (
    Ack,
    Body,
    Delegate,
    DelegateDone,
    DelegateReply,
    DelegateState,
    DelegateStop,
    TaskMeta,
)
from lagoonshelf_server.peers import PeerLostError
from lagoonshelf_server.task_ends import result_code_of
from lagoonshelf_server.task_meta import meta_from_task, task_from_meta
from lagoonshelf_server.worker_client import TaskReport

REPORT_INTERVAL_S = 0.3
RESULT_RETENTION_MS = 60_000  # as long as workers keep results
_log = logger("hosting")


@dataclass(frozen=True, slots=True)
class HostingHooks:
    """Callbacks from hosting into its partition.

    :param epoch: epoch of the owner
    :param is_active: whether the partition is active and this process may act for it
    :param dispatch: sends commands to the workers; none before it exists
    :param place: starts a task at once if a worker has capacity and the grant allows it
    :param call: sends a message to the owner of a partition
    """

    epoch: Callable[[], Epoch]
    is_active: Callable[[], bool]
    dispatch: Callable[[], Dispatch | None]
    place: Callable[[Task], bool]
    call: Callable[[PartitionId, str, Body], Awaitable[Body]]


@dataclass(slots=True)
class _EndedTask:
    """A delegated task that has ended, kept for a while after its home owner acknowledged it.

    :param acked_ms: time of the acknowledgement
    """

    done: DelegateDone
    acked_ms: int | None = None


class Hosting:
    """The tasks delegated by other partitions that run in one owned partition."""

    def __init__(
        self,
        partition: PartitionId,
        clock: Clock,
        scheduler: Scheduler,
        hooks: HostingHooks,
    ) -> None:
        """Initialize without tasks."""
        self._partition = partition
        self._clock = clock
        self._scheduler = scheduler
        self._hooks = hooks
        self._digests: dict[TaskId, str] = {}
        self._ended: dict[TaskId, _EndedTask] = {}
        self._refused_ms: dict[tuple[str, int], int] = {}
        self._inventory_known = False
        self._wake = asyncio.Event()

    def start(self, body: Delegate) -> DelegateReply:
        """Start a task at once or refuse this attempt permanently; idempotent for an attempt.

        :raises LagoonshelfError: when the request is for another owner epoch or the partition is
            not active; the task may have started even so
        """
        if body.epoch != self._hooks.epoch() or not self._hooks.is_active():
            text = f"partition {self._partition} is not active at epoch {body.epoch}"
            raise LagoonshelfError(Fault(ResultCode.NO_OWNER, text))
        meta = body.meta
        if (meta.task, meta.attempt) in self._refused_ms:
            return _refusal()
        if self._is_known(meta):
            return DelegateReply(True, ResultCode.ACCEPTED.number)
        task = task_from_meta(meta, self._clock.now_ms())
        task.payload = body.payload
        task.attempt = meta.attempt - 1
        self._digests[task.task] = meta.digest
        if meta.task in self._scheduler.tasks or not self._hooks.place(task):
            self._refused_ms[(meta.task, meta.attempt)] = self._clock.now_ms()
            self._digests.pop(task.task, None)
            return _refusal()
        self._ended.pop(task.task, None)
        return DelegateReply(True, ResultCode.ACCEPTED.number)

    def digest_of(self, task: Task) -> str:
        """Return the content hash of a delegated task's request."""
        return self._digests.get(task.task, "")

    def adopt_reported(self, worker: WorkerId, report: TaskReport) -> None:
        """Adopt a delegated task that a worker's inventory reports."""
        meta = report.meta
        known = self._ended.get(TaskId(meta.task))
        if known is not None and known.done.meta.attempt >= meta.attempt:
            return
        task = task_from_meta(meta, self._clock.now_ms())
        self._digests[task.task] = meta.digest
        if report.state != "running":
            self._add_ended(task, report.state, report.result)
        elif task.task not in self._scheduler.tasks:
            self._scheduler.adopt(task, worker)

    def record_end(self, task: Task, report: TaskReport) -> None:
        """Record the end of a task that the scheduler has released."""
        self._add_ended(task, report.state, report.result)

    def record_refusal(self, task: Task) -> None:
        """Record that the worker certainly did not start a task."""
        self._scheduler.release(task.task)
        self._refused_ms[(task.task, task.attempt)] = self._clock.now_ms()
        self._add_ended(task, "refused", "")

    def record_loss(self, task: Task) -> None:
        """Record that a worker has lost a task that may have run."""
        self._scheduler.release(task.task)
        self._add_ended(task, "lost", "")

    async def stop(self, body: DelegateStop) -> None:
        """Stop a task on request of its home owner; its end is reported like any other."""
        task = self._scheduler.tasks.get(TaskId(body.task))
        if task is None or task.attempt != body.attempt or task.worker is None:
            return
        await self._hooks.dispatch().execute([Stop(task.task, task.worker, False)])

    def states(self, home: PartitionId) -> tuple[DelegateState, ...]:
        """Return the states of the running and ended tasks of a home partition."""
        running = [
            self._state(meta_from_task(task, self.digest_of(task)), "running")
            for task in self._scheduler.tasks.values()
            if task.home == home and home != self._partition
        ]
        ended = [
            self._state(entry.done.meta, entry.done.state, entry.done.result)
            for entry in self._ended.values()
            if entry.done.meta.home == home
        ]
        return (*running, *ended)

    def is_complete(self) -> bool:
        """Return whether every delegated task in this partition is known.

        A worker that could not be read for the task lease plus a margin counts as read, because
        it has stopped its tasks by then.
        """
        dispatch = self._hooks.dispatch()
        return dispatch is not None and dispatch.fleet.hosts_received and dispatch.fleet.all_read()

    def is_inventory_known(self) -> bool:
        """Return whether each worker has been read once, or was lost, since the takeover."""
        dispatch = self._hooks.dispatch()
        if not self._inventory_known and dispatch is not None and dispatch.fleet.hosts_received:
            links = dispatch.fleet.links.values()
            self._inventory_known = all(link.boot_id or link.lost for link in links)
        return self._inventory_known

    def boots(self) -> tuple[str, ...]:
        """Return name and boot id of each worker that has been read."""
        dispatch = self._hooks.dispatch()
        links = dispatch.fleet.links.values() if dispatch else ()
        return tuple(boot_text(link.info.worker, link.boot_id) for link in links if link.boot_id)

    async def report_forever(self) -> None:
        """Report ended tasks to their home owners until they acknowledge them."""
        while True:
            self._wake.clear()
            self._drop_expired()
            waiting = [entry for entry in self._ended.values() if entry.acked_ms is None]
            await asyncio.gather(*(self._report(entry) for entry in waiting))
            # wait_for of Python 3.11 may swallow a cancellation and keep the loop running.
            with suppress(TimeoutError):
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await self._wake.wait()

    async def _report(self, entry: _EndedTask) -> None:
        if not self._hooks.is_active():
            return
        home = PartitionId(entry.done.partition)
        try:
            reply = await self._hooks.call(home, "delegateDone", entry.done)
        except PeerLostError:
            return
        if isinstance(reply, Ack) and reply.code == ResultCode.DONE.number:
            entry.acked_ms = self._clock.now_ms()

    def _add_ended(self, task: Task, state: str, result: str) -> None:
        meta = meta_from_task(task, self.digest_of(task))
        code = result_code_of(state).number
        done = DelegateDone(task.home, meta, code, result, state)
        self._ended[task.task] = _EndedTask(done)
        self._wake.set()

    def _is_known(self, meta: TaskMeta) -> bool:
        task = self._scheduler.tasks.get(TaskId(meta.task))
        if task is not None and task.attempt >= meta.attempt:
            return True
        entry = self._ended.get(TaskId(meta.task))
        if entry is None or entry.done.meta.attempt < meta.attempt:
            return False
        entry.acked_ms = None
        self._wake.set()
        return True

    def _state(self, meta: TaskMeta, state: str, result: str = "") -> DelegateState:
        return DelegateState(meta, state, result, self._partition, self._hooks.epoch())

    def _drop_expired(self) -> None:
        before_ms = self._clock.now_ms() - RESULT_RETENTION_MS
        for name, entry in list(self._ended.items()):
            if entry.acked_ms is not None and entry.acked_ms < before_ms:
                del self._ended[name]
                self._digests.pop(name, None)
        self._refused_ms = {key: ms for key, ms in self._refused_ms.items() if ms >= before_ms}


def boot_text(worker: WorkerId, boot_id: str) -> str:
    """Return a worker's name and boot id as one string."""
    return f"{worker}={boot_id}"


def boots_digest(boots: Iterable[str]) -> str:
    """Return the digest of a partition's workers and boot ids that is stored in intents."""
    return xxh3_64_hexdigest("\n".join(sorted(boots)).encode())


def _refusal() -> DelegateReply:
    return DelegateReply(False, ResultCode.OVERLOADED.number)
