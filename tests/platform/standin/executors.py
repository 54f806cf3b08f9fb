"""Stand-in executors with fencing, attempts, leases on their own clock and a run history."""

import asyncio
from dataclasses import dataclass
from random import Random

from tests.platform.standin.http import Proxy, ProxyMode, Request, Response, StubServer
from tests.platform.standin.store import StubStore

CAPACITY = {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}
MAX_LEASE_MS = 10_000
STOP_DELAY_S = 0.1
# The first task of a step whose ``spec`` has this word crashes its executor soon after its start.
CRASHES = "crashes"
CRASH_DELAY_S = 0.01
# Time after which a crashed executor is back.
CRASH_DOWN_S = 1.0
# Interval at which an executor writes its registry entry.
REPORT_INTERVAL_S = 1.0


@dataclass(slots=True)
class RunRecord:
    """A run as observed by its executor; ``ended_s`` is 0 while it runs.

    :param is_end_lost: the executor restarted or was disconnected before its end was acknowledged
    :param fencing_token: token of the leader that started it
    :param late_s: time for which an injected fault held up the start
    """

    task: str
    attempt: int
    executor: str
    cpu: int
    started_s: float
    ended_s: float = 0.0
    end: str = ""
    is_end_lost: bool = False
    fencing_token: int = 0
    late_s: float = 0.0


class StubExecutor:
    """An executor behind a proxy; the ``spec`` of its tasks is "MILLISECONDS CPU [crashes]".

    :ivar crashed_by: task and attempt that caused each crash of any executor, in order
    :ivar capacity_changes: time and CPU of each change of its capacity, in order
    """

    def __init__(
        self,
        name: str,
        store: StubStore,
        rng: Random,
        history: list[RunRecord],
        crashed_by: list[tuple[str, int]] | None = None,
    ) -> None:
        """Initialize; ``start`` registers it.

        :param rng: determines its clock and which runs fail
        :param history: receives a record of each run
        :param crashed_by: receives the run that caused each crash
        """
        self.name = name
        self.crashed_by = [] if crashed_by is None else crashed_by
        self._crash_task: asyncio.Task | None = None
        self._store = store
        self._rng = rng
        self._history = history
        self._server = StubServer(self._handle)
        self._clock_rate = rng.uniform(0.98, 1.0)
        self._clock_offset_ms = rng.randrange(1_000_000)
        self._started_s = 0.0
        self._reports = 0
        self._incarnation = 1
        self._fencing_token = 0
        self._lease_end_ms = 0.0
        self._running: dict[tuple[str, int], tuple[RunRecord, asyncio.Task]] = {}
        self._finished: list[list] = []
        self._unacknowledged: dict[int, RunRecord] = {}
        self._last_end = 0
        self._highest_attempt: dict[str, int] = {}
        self._stop_tasks: set[asyncio.Task] = set()
        self._capacity = dict(CAPACITY)
        self.capacity_changes: list[tuple[float, int]] = []
        self.failure_rate = 0.02
        self.domain = "z1"
        self.speed = 1.0
        self.proxy = Proxy(self._server)

    async def start(self) -> None:
        """Open the ports and register the executor.

        :raises PortError: if the system refuses a port
        """
        self._started_s = self._now()
        await self._server.listen()
        await self.proxy.listen()
        self._register()

    def _register(self) -> None:
        entry = {
            "addr": self.proxy.address,
            "service": "desk",
            "zone": self.domain,
            "state": "ready",
            "capacity": self._capacity,
            "labels": ["a", "r1"],
            "born": self._incarnation,
            "seq": self._reports,
        }
        self._reports += 1
        self._store.put(f"servers/{self.name}", entry)

    async def report(self) -> None:
        """Write the registry entry periodically, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if self._crash_task is None or self._crash_task.done():
                self._register()

    async def close(self) -> None:
        """Stop the executor and all its runs, also when it has not started or only in part."""
        self._kill_runs("crashed")
        for task in list(self._stop_tasks):
            task.cancel()
        if self._crash_task is not None:
            self._crash_task.cancel()
        await self._server.close()
        await self.proxy.close()

    def crash(self) -> None:
        """Crash, and be back after some time at the same address under a new id."""
        if self._crash_task is None or self._crash_task.done():
            self._crash_task = asyncio.ensure_future(self._crash())

    async def _crash(self) -> None:
        self._kill_runs("crashed")
        self.set_proxy_mode(ProxyMode.RESET)
        self.proxy.reset_connections()
        await asyncio.sleep(CRASH_DOWN_S)
        self._store.revision += 1
        self._store.delete(f"servers/{self.name}")
        self.name = f"{self.name.partition('+')[0]}+{self._incarnation}"
        self.restart()
        self.set_proxy_mode(ProxyMode.OPEN)

    async def _crash_by(self, record: RunRecord) -> None:
        await asyncio.sleep(CRASH_DELAY_S)
        self.crashed_by.append((record.task, record.attempt))
        self.crash()

    def restart(self) -> None:
        """Simulate a crash and restart under the same id, with all state lost and a new clock.

        Calls for the former incarnation still name it, so it takes them.
        """
        self._kill_runs("crashed")
        self._mark_ends_lost()
        self._unacknowledged.clear()
        self._finished.clear()
        self._highest_attempt.clear()
        self._fencing_token = self._last_end = 0
        self._lease_end_ms = 0.0
        self._incarnation += 1
        self._started_s = self._now()
        self._register()

    def set_capacity(self, share: float) -> None:
        """Change its capacity, which it reports soon but does not check.

        :param share: new capacity as a share of the usual one
        """
        self._capacity = {name: int(share * amount) for name, amount in CAPACITY.items()}
        self.capacity_changes.append((self._now(), self._capacity["cpu"]))

    def set_proxy_mode(self, link: ProxyMode) -> None:
        """Set how the proxy treats connections to this executor."""
        self.proxy.mode = link
        if link is not ProxyMode.OPEN:
            self._mark_ends_lost()

    def _mark_ends_lost(self) -> None:
        for record in self._unacknowledged.values():
            record.is_end_lost = True

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _clock_ms(self) -> int:
        return (
            int((self._now() - self._started_s) * 1000 * self._clock_rate) + self._clock_offset_ms
        )

    async def expire_leases(self) -> None:
        """Kill the runs of an expired lease, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if self._running and self._clock_ms() > self._lease_end_ms:
                for record, task in list(self._running.values()):
                    task.cancel()
                    self._end_run(record, "lapsed")

    async def _handle(self, request: Request) -> Response:
        expected = request.headers.get("lagoonshelf-expected-instance")
        if expected != self.name:
            return Response(421)
        name = request.path.removeprefix("/lagoonshelf/")
        if request.body.get("fencing_token", 0) < self._fencing_token:
            return Response(409, {"reason": "fence", "clock_ms": self._clock_ms()})
        self._fencing_token = request.get_int("fencing_token")
        if "deadline_ms" in request.body:
            self._renew_lease(request.body["deadline_ms"])
        if name == "run-start":
            return self._start_run(request.body)
        if name == "run-stop":
            return self._stop_run(request.body)
        if name == "hold":
            return await self._renew_and_list(request)
        return Response(404)

    def _renew_lease(self, lease_end_ms: int) -> None:
        lease_end_ms = min(lease_end_ms, self._clock_ms() + MAX_LEASE_MS)
        self._lease_end_ms = max(self._lease_end_ms, lease_end_ms)

    def _start_run(self, body: dict) -> Response:
        key = (body["task"], body["attempt"])
        clock = {"clock_ms": self._clock_ms()}
        if key in self._running:
            return Response(200, clock)
        if body["attempt"] <= self._highest_attempt.get(body["task"], 0):
            return Response(409, {"reason": "old", **clock})
        if body["deadline_ms"] <= self._clock_ms():
            return Response(409, {"reason": "late", **clock})
        run_ms, cpu, *options = body["spec"].split()
        record = RunRecord(
            *key,
            self.name,
            int(cpu),
            self._now(),
            fencing_token=body["fencing_token"],
            late_s=self.proxy.delay_s,
        )
        self._history.append(record)
        if CRASHES in options and body["task"].endswith(".0"):
            task = asyncio.ensure_future(self._crash_by(record))
        else:
            task = asyncio.ensure_future(self._execute(record, int(run_ms) / 1000 / self.speed))
        self._running[key] = (record, task)
        return Response(200, clock)

    async def _execute(self, record: RunRecord, run_s: float) -> None:
        await asyncio.sleep(run_s)
        self._end_run(record, "failed" if self._rng.random() < self.failure_rate else "done")

    def _end_run(self, record: RunRecord, end: str) -> None:
        if self._running.pop((record.task, record.attempt), None) is None:
            return
        record.ended_s, record.end = self._now(), end
        record.is_end_lost = self.proxy.mode is not ProxyMode.OPEN
        self._highest_attempt[record.task] = max(
            self._highest_attempt.get(record.task, 0), record.attempt
        )
        self._last_end += 1
        self._finished.append([self._last_end, record.task, record.attempt, end, ""])
        self._unacknowledged[self._last_end] = record

    def _kill_runs(self, end: str) -> None:
        for record, task in list(self._running.values()):
            task.cancel()
            self._end_run(record, end)

    def _stop_run(self, body: dict) -> Response:
        task, attempt = body["task"], body["attempt"]
        self._highest_attempt[task] = max(self._highest_attempt.get(task, 0), attempt)
        entry = self._running.get((task, attempt))
        if entry is not None:
            entry[1].cancel()
            stopping = asyncio.ensure_future(self._finish_stop(entry[0]))
            self._stop_tasks.add(stopping)
            stopping.add_done_callback(self._stop_tasks.discard)
        return Response(200, {"clock_ms": self._clock_ms()})

    async def _finish_stop(self, record: RunRecord) -> None:
        await asyncio.sleep(STOP_DELAY_S)
        self._end_run(record, "stopped")

    async def _renew_and_list(self, request: Request) -> Response:
        incarnation = self._incarnation
        cursor = request.get_int("ack_cursor")
        self._finished = [row for row in self._finished if row[0] > cursor]
        for number in [number for number in self._unacknowledged if number <= cursor]:
            del self._unacknowledged[number]
        deadline_s = self._now() + request.get_int("wait_ms") / 1000
        while not self._finished and self._now() < deadline_s and incarnation == self._incarnation:
            await asyncio.sleep(0.01)
        running = [
            [record.task, record.attempt, "", int(50 + self._now() * 10) % 100, 0]
            for record, _ in self._running.values()
        ]
        return Response(
            200,
            {
                "clock_ms": self._clock_ms(),
                "born": self._incarnation,
                "running": running,
                "finished": self._finished,
            },
        )
