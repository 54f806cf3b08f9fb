"""HTTP client of the workers."""

from dataclasses import asdict, dataclass

import orjson
import urllib3
from urllib3.exceptions import HTTPError
from xxhash import xxh3_64_hexdigest

from lagoonshelf_core.ids import Epoch, PartitionId
from lagoonshelf_server import metrics
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.messages import TaskMeta

CALL_TIMEOUT_S = 2.0
REPORT_WAIT_MS = 5000
TASK_FIELDS = frozenset(TaskMeta.__dataclass_fields__)


class WorkerError(Exception):
    """The worker did not answer; a command may have taken effect."""


class StaleEpochError(Exception):
    """The worker has seen a newer owner."""


@dataclass(frozen=True, slots=True)
class FencingToken:
    """Partition and epoch of the owner that sends a command; workers refuse older epochs."""

    partition: PartitionId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class StartItem:
    """One task of a start call."""

    meta: TaskMeta
    payload: str


@dataclass(frozen=True, slots=True)
class TaskReport:
    """State of a task on a worker.

    :param state: running, finished, failed, stopped, checkpointed or lapsed
    :param is_intact: whether the result matches its length and checksum
    :param peak: largest use of each resource, ``None`` when not reported
    """

    meta: TaskMeta
    state: str
    result: str
    is_intact: bool = True
    ran_ms: int = 0
    peak: dict[str, int] | None = None


@dataclass(frozen=True, slots=True)
class Inventory:
    """All tasks on a worker, with the results that it retains.

    :param cursor: position after which reports continue
    :param clock_ms: time on the worker's own clock
    """

    tasks: tuple[TaskReport, ...]
    cursor: int
    boot_id: str
    clock_ms: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class ReportBatch:
    """Answer to a report call.

    :param reset: whether the worker has restarted or dropped reports, so that its inventory
        must be read
    """

    reset: bool
    reports: tuple[TaskReport, ...] = ()
    cursor: int = 0
    clock_ms: int = 0
    leaving: bool = False


class WorkerClient:
    """Sends calls to workers, each on a thread, so that the event loop is not blocked."""

    def __init__(self, bridge: Bridge) -> None:
        """Create the connection pool."""
        self._bridge = bridge
        self._http = urllib3.PoolManager(num_pools=256, maxsize=8, retries=False)

    async def start(
        self,
        address: str,
        token: FencingToken,
        items: list[StartItem],
        lease_ms: int,
        expires_ms: int,
        timeout_ms: int,
    ) -> list[str]:
        """Start tasks; return ``started``, ``known``, ``expired`` or ``leaving`` for each.

        :param expires_ms: time on the worker's clock after which it refuses the starts
        :raises WorkerError: when the outcome is not known
        """
        body = {
            **asdict(token),
            "lease_ms": lease_ms,
            "expires_ms": expires_ms,
            "tasks": [{"meta": asdict(item.meta), "payload": item.payload} for item in items],
        }
        raw = await self._call(address, "start", body, timeout_ms / 1000)
        return raw["answers"]

    async def renew(
        self, address: str, token: FencingToken, tasks: list[str], expires_ms: int
    ) -> list[str]:
        """Renew task leases; return the tasks that the worker does not know.

        :param expires_ms: time on the worker's clock after which it ignores the renewal, so
            that a delayed one cannot extend a lease that is considered ended
        """
        body = {**asdict(token), "tasks": tasks, "expires_ms": expires_ms}
        raw = await self._call(address, "renew", body)
        return raw["missing"]

    async def stop(
        self, address: str, token: FencingToken, tasks: list[str], checkpoint: bool = False
    ) -> None:
        """Stop running tasks; their ends are reported like others."""
        body = {**asdict(token), "tasks": tasks, "checkpoint": checkpoint}
        await self._call(address, "stop", body)

    async def throttle(self, address: str, token: FencingToken, task: str, percent: int) -> None:
        """Limit a task's CPU use."""
        body = {**asdict(token), "task": task, "percent": percent}
        await self._call(address, "throttle", body)

    async def warm(self, address: str, token: FencingToken, queue: str, slots: int) -> None:
        """Warm up slots for a queue."""
        await self._call(address, "warm", {**asdict(token), "queue": queue, "slots": slots})

    async def inventory(self, address: str, token: FencingToken) -> Inventory:
        """Read all tasks; the worker refuses older epochs of the partition from then on."""
        raw = await self._call(address, "inventory", asdict(token))
        tasks = tuple(_parse_report(task) for task in raw["tasks"])
        return Inventory(tasks, raw["cursor"], raw["boot_id"], raw["clock_ms"], raw["leaving"])

    async def report(self, address: str, cursor: int, boot_id: str) -> ReportBatch:
        """Wait for the reports of ended tasks after a cursor."""
        body = {"cursor": cursor, "boot_id": boot_id, "wait_ms": REPORT_WAIT_MS}
        raw = await self._call(address, "report", body, REPORT_WAIT_MS / 1000 + CALL_TIMEOUT_S)
        if raw["reset"]:
            return ReportBatch(True)
        reports = tuple(_parse_report(report) for report in raw["reports"])
        return ReportBatch(False, reports, raw["cursor"], raw["clock_ms"], raw["leaving"])

    async def ack(self, address: str, tasks: list[str]) -> None:
        """Acknowledge results, which the worker drops after its own retention time."""
        await self._call(address, "ack", {"tasks": tasks})

    async def _call(
        self, address: str, call: str, body: dict, timeout_s: float = CALL_TIMEOUT_S
    ) -> dict:
        data = orjson.dumps(body)
        metrics.count_sent("workers", len(data))
        url = f"{address}/{call}"
        answer, size = await self._bridge.run_blocking(self._post, url, data, timeout_s)
        metrics.count_received("workers", size)
        return answer

    def _post(self, url: str, data: bytes, timeout_s: float) -> tuple[dict, int]:
        """Send a call; return the answer and its size in bytes."""
        try:
            resp = self._http.request("POST", url, body=data, timeout=timeout_s)
        except HTTPError as exc:
            raise WorkerError(f"{url}: {type(exc).__name__}") from exc
        if resp.status == 409:
            raise StaleEpochError(url)
        if resp.status != 200:
            raise WorkerError(f"{url}: status {resp.status}")
        return orjson.loads(resp.data), len(resp.data)


def _parse_report(raw: dict) -> TaskReport:
    meta = TaskMeta(**{name: raw["meta"][name] for name in TASK_FIELDS})
    result = raw["result"]
    is_intact = "checksum" not in raw or (
        raw["length"] == len(result) and raw["checksum"] == xxh3_64_hexdigest(result.encode())
    )
    return TaskReport(meta, raw["state"], result, is_intact, raw.get("ran_ms", 0), raw.get("peak"))
