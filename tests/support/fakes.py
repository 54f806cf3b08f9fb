"""In-memory store, workers and members for tests of a partition owner."""

import asyncio
from dataclasses import dataclass, field

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.document import Document, QueueConfig, TeamConfig
from lagoonshelf_core.ids import (
    MemberId,
    PartitionId,
    QueueId,
    RequestKey,
    Revision,
    TeamId,
    WorkerId,
)
from lagoonshelf_core.model import RequestSpec, WorkerInfo, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.owner import Owner
from lagoonshelf_server.partition_calls import PartitionCalls
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.store import Item, StoreError
from lagoonshelf_server.worker_client import (
    Inventory,
    ReportBatch,
    StaleEpochError,
    TaskReport,
    WorkerError,
)

CAPACITY = Resources(8000, 8192, 0, 8)
POLL_S = 0.005


class FakeStore:
    """In-memory store with planned faults.

    ``faults`` maps the name of a call to the faults of its next calls, in order: ``down`` (no
    effect), ``lost`` (the call takes effect, but its answer is lost) or ``None``.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.faults: dict[str, list[str | None]] = {}
        self.host_list: list[WorkerInfo] = []
        self.revision = 0
        self.calls: list[tuple[str, str]] = []

    @property
    def last_contact_ms(self) -> int:
        return Clock().now_ms()

    async def get(self, key: str) -> Item:
        return await self._call("get", key, lambda: self.items.get(key, Item(key, None, 0)))

    async def list_keys(
        self, prefix: str, after: str = "", page: int = 500
    ) -> tuple[list[Item], int]:
        del page
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return await self._call(
            "list", prefix, lambda: ([self.items[key] for key in keys], self.revision)
        )

    async def cas(self, key: str, value: str, version: int, lease: str | None = None) -> bool:
        del lease
        return await self._call("cas", key, lambda: self._write(key, value, version))

    async def delete(self, key: str, version: int) -> bool:
        return await self._call("delete", key, lambda: self._write(key, None, version))

    async def hosts(self) -> list[WorkerInfo]:
        return await self._call("hosts", "", lambda: list(self.host_list))

    async def _call(self, name: str, key: str, call):
        self.calls.append((name, key))
        await asyncio.sleep(0)
        # Grants are written in the background; these writes must not consume planned faults.
        planned = [] if key.startswith("grants/") else self.faults.get(name)
        fault = planned.pop(0) if planned else None
        if fault == "down":
            raise StoreError(f"{name}: down")
        answer = call()
        if fault == "lost":
            raise StoreError(f"{name}: answer lost")
        return answer

    def _write(self, key: str, value: str | None, version: int) -> bool:
        current = self.items.get(key)
        if (current.version if current else 0) != version:
            return False
        self.revision += 1
        if value is None:
            del self.items[key]
        else:
            self.items[key] = Item(key, value, self.revision)
        return True


@dataclass
class FakeWorker:
    """State of one worker and the commands it received.

    ``mode`` is ``up``, ``down`` (no effect) or ``lost`` (starts take effect, but their answers are
    lost).
    """

    boot_id: str = "boot-1"
    mode: str = "up"
    epoch: int = 0
    runs: dict[str, TaskReport] = field(default_factory=dict)
    reports: list[TaskReport] = field(default_factory=list)
    starts: list[tuple[str, int]] = field(default_factory=list)
    stops: list[str] = field(default_factory=list)
    acks: list[str] = field(default_factory=list)
    renewed: set[str] = field(default_factory=set)
    payloads: list[str] = field(default_factory=list)
    throttles: list[tuple[str, int]] = field(default_factory=list)
    warmed: list[tuple[str, int]] = field(default_factory=list)


class FakeWorkers:
    """In-memory worker client; the address of a worker is its name."""

    def __init__(self, *names: str) -> None:
        self.workers = {name: FakeWorker() for name in names}

    def infos(self) -> list[WorkerInfo]:
        return [
            WorkerInfo(WorkerId(name), name, "fd0", "r0", CAPACITY, boot_id=worker.boot_id)
            for name, worker in self.workers.items()
        ]

    def add_run(self, name: str, meta, state: str = "running", result: str = "") -> None:
        """Add a run to a worker as if an earlier owner had started it."""
        self.workers[name].runs[meta.task] = TaskReport(meta, state, result)

    def finish(self, name: str, task: str, state: str = "finished", result: str = "done") -> None:
        """End the run of a task and append its report."""
        worker = self.workers[name]
        worker.runs[task] = TaskReport(worker.runs[task].meta, state, result)
        worker.reports.append(worker.runs[task])

    def starts(self) -> list[tuple[str, int]]:
        return [start for worker in self.workers.values() for start in worker.starts]

    async def start(self, address, token, items, lease_ms, expires_ms, timeout_ms):
        del lease_ms, expires_ms, timeout_ms
        worker = await self._reach(address, token)
        for item in items:
            worker.starts.append((item.meta.task, item.meta.attempt))
            worker.payloads.append(item.payload)
            worker.runs[item.meta.task] = TaskReport(item.meta, "running", "")
        if worker.mode == "lost":
            raise WorkerError("answer lost")
        return ["started"] * len(items)

    async def renew(self, address, token, tasks, expires_ms=0):
        del expires_ms
        worker = await self._reach(address, token)
        worker.renewed |= set(tasks)
        return [task for task in tasks if task not in worker.runs]

    async def stop(self, address, token, tasks, checkpoint=False):
        worker = await self._reach(address, token)
        worker.stops += tasks
        for task in tasks:
            if task in worker.runs and worker.runs[task].state == "running":
                self.finish(address, task, "checkpointed" if checkpoint else "stopped", "")

    async def throttle(self, address, token, task, percent):
        worker = await self._reach(address, token)
        worker.throttles.append((task, percent))

    async def warm(self, address, token, queue, slots):
        worker = await self._reach(address, token)
        worker.warmed.append((queue, slots))

    async def inventory(self, address, token):
        worker = await self._reach(address, token)
        tasks = tuple(worker.runs.values())
        return Inventory(tasks, len(worker.reports), worker.boot_id, Clock().now_ms(), False)

    async def report(self, address, cursor, boot_id):
        worker = await self._reach(address, None)
        if boot_id != worker.boot_id:
            return ReportBatch(True)
        found = tuple(worker.reports[cursor:])
        if not found:
            await asyncio.sleep(POLL_S)
        return ReportBatch(False, found, cursor + len(found), Clock().now_ms(), False)

    async def ack(self, address, tasks):
        self.workers[address].acks += tasks

    async def _reach(self, name: str, token) -> FakeWorker:
        await asyncio.sleep(0)
        worker = self.workers[name]
        if worker.mode == "down":
            raise WorkerError("down")
        if token is not None:
            if token.epoch < worker.epoch:
                raise StaleEpochError(name)
            worker.epoch = token.epoch
        return worker


class FakeMembers:
    """Membership whose lease is valid until a test sets ``alive`` to false."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.lease = "lease-1"
        self.alive = True
        self.me = MemberId("m1")
        self.others: dict[MemberId, object] = {}

    def owner_of(self, partition: PartitionId) -> None:
        del partition

    def may_act(self) -> bool:
        return self.alive


class FakeConfig:
    """Configuration with one queue and one team."""

    revision = Revision(1)
    document = Document(
        queues={"q": QueueConfig()},
        teams={"t": TeamConfig(limit_tasks=1000, limit_cpu_milli=1_000_000)},
    )


class OwnerHarness:
    """Fake store, workers and members, and successive owners of a single partition."""

    def __init__(self, *workers: str, **flags: object) -> None:
        values = {
            "member": "m1",
            "failure_domain": "fd0",
            "store_url": "http://127.0.0.1:1",
            "cluster_secret": "secret-of-the-test",
            "operator_key_sha256": "0" * 64,
            "partitions": 1,
            "takeover_margin_ms": 1,
            "task_lease_ms": 600,
            "task_renew_ms": 100,
            "start_timeout_ms": 200,
            "journal_flush_ms": 1,
            **flags,
        }
        self.cfg = Settings.model_validate(values)
        self.store = FakeStore()
        self.workers = FakeWorkers(*workers)
        self.store.host_list = self.workers.infos()
        self.members = FakeMembers()
        self.bridge = Bridge(asyncio.get_running_loop(), 1)
        self.config = FakeConfig()

    def new_owner(self) -> Owner:
        """Return an owner that has not taken over the partition."""
        return Owner(
            self.cfg,
            PartitionId(0),
            Clock(),
            self.bridge,
            self.store,
            self.workers,
            self.members,
            self.config,
            PartitionCalls(self.members, None, {}),
        )

    async def start_owner(self) -> Owner:
        """Return an owner that has taken over the partition."""
        owner = self.new_owner()
        await owner.take_over()
        return owner

    async def crash(self, owner: Owner) -> None:
        """Close an owner as if its process had died: it sends nothing more."""
        owner._lease = "ended"
        owner.close()
        await asyncio.sleep(0.02)

    def close(self) -> None:
        self.bridge.close()


def spec(key: str, **fields: object) -> RequestSpec:
    """Return a repeatable interactive request with a timeout of 1 s.

    :param fields: fields to replace
    """
    values = {
        "team": TeamId("t"),
        "queue": QueueId("q"),
        "request_key": RequestKey(key),
        "kind": WorkKind.INTERACTIVE,
        "repeatable": True,
        "size": Resources(1000, 512, 0, 1),
        "run_ms": 10,
        "tasks": 1,
        "payload": f"payload of {key}",
        "timeout_ms": 1000,
    }
    return RequestSpec(**{**values, **fields})


async def until(check, timeout_s: float = 5.0) -> None:
    """Poll until a condition holds.

    :raises TimeoutError: if it does not hold within the timeout
    """
    async with asyncio.timeout(timeout_s):
        while not check():
            await asyncio.sleep(POLL_S)
