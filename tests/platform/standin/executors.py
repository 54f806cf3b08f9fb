"""Executors: fences, attempts, leases on a clock of their own, and a record of all runs."""

import asyncio
from dataclasses import dataclass
from random import Random

from tests.platform.standin.http import Proxy, ProxyMode, Request, Response, StubServer
from tests.platform.standin.store import StubStore

CAPACITY = {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}
MAX_LEASE_MS = 10_000
STOP_DELAY_S = 0.1


@dataclass(slots=True)
class RunRecord:
    """One run as the executor saw it; ``ended_s`` is 0 while it runs.

    :param is_forgotten: the executor started again or was cut off before its end was acknowledged
    """

    task: str
    attempt: int
    executor: str
    cpu: int
    started_s: float
    ended_s: float = 0.0
    end: str = ""
    is_end_lost: bool = False


class StubExecutor:
    """One executor behind a proxy; ``spec`` of its tasks is "MILLISECONDS CPU"."""

    def __init__(self, name: str, store: StubStore, rng: Random, history: list[RunRecord]) -> None:
        """Set up; ``begin`` registers it.

        :param rng: for its clock and for runs that fail
        :param history: gets a record of each run
        """
        self.name = name
        self._store = store
        self._rng = rng
        self._history = history
        self._server = StubServer(self._handle)
        self._clock_rate = rng.uniform(0.98, 1.0)
        self._clock_offset_ms = rng.randrange(1_000_000)
        self._started_s = 0.0
        self._incarnation = 1
        self._fencing_token = 0
        self._lease_end_ms = 0.0
        self._running: dict[tuple[str, int], tuple[RunRecord, asyncio.Task]] = {}
        self._finished: list[list] = []
        self._unacknowledged: dict[int, RunRecord] = {}
        self._last_end = 0
        self._highest_attempt: dict[str, int] = {}
        self._stop_tasks: set[asyncio.Task] = set()
        self.failure_rate = 0.02
        self.proxy: Proxy | None = None

    async def start(self) -> None:
        """Open its ports and register it."""
        self._started_s = self._now()
        await self._server.listen()
        self.proxy = Proxy(self._server.address)
        await self.proxy.listen()
        self._register()

    def _register(self) -> None:
        entry = {
            "addr": self.proxy.address,
            "service": "desk",
            "zone": "z1",
            "state": "ready",
            "capacity": CAPACITY,
            "labels": ["a", "r1"],
            "born": self._incarnation,
        }
        self._store.put(f"servers/{self.name}", entry)

    async def close(self) -> None:
        """End it with all its runs."""
        self._kill_runs("crashed")
        for task in list(self._stop_tasks):
            task.cancel()
        await self._server.close()
        await self.proxy.close()

    def restart(self) -> None:
        """Crash and start again under the same id: it holds and knows nothing."""
        self._kill_runs("crashed")
        self._mark_ends_lost()
        self._unacknowledged.clear()
        self._finished.clear()
        self._highest_attempt.clear()
        self._fencing_token = self._last_end = 0
        self._lease_end_ms = 0.0
        self._incarnation += 1
        self._register()

    def set_proxy_mode(self, link: ProxyMode) -> None:
        """Set the state of all connections to it."""
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
        """Kill what a lapsed lease held, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if self._running and self._clock_ms() > self._lease_end_ms:
                for record, task in list(self._running.values()):
                    task.cancel()
                    self._end_run(record, "lapsed")

    async def _handle(self, call: Request) -> Response:
        expected = call.headers.get("lagoonshelf-expected-instance")
        if expected != self.name:
            return Response(421)
        name = call.path.removeprefix("/lagoonshelf/")
        if call.body.get("fencing_token", 0) < self._fencing_token:
            return Response(409, {"reason": "fence", "clock_ms": self._clock_ms()})
        self._fencing_token = call.get_int("fencing_token")
        if "deadline_ms" in call.body:
            self._renew_lease(call.body["deadline_ms"])
        if name == "run-start":
            return self._start_run(call.body)
        if name == "run-stop":
            return self._stop_run(call.body)
        if name == "hold":
            return await self._renew_and_list(call)
        return Response(404)

    def _renew_lease(self, until_ms: int) -> None:
        until_ms = min(until_ms, self._clock_ms() + MAX_LEASE_MS)
        self._lease_end_ms = max(self._lease_end_ms, until_ms)

    def _start_run(self, body: dict) -> Response:
        key = (body["task"], body["attempt"])
        clock = {"clock_ms": self._clock_ms()}
        if key in self._running:
            return Response(200, clock)
        if body["attempt"] <= self._highest_attempt.get(body["task"], 0):
            return Response(409, {"reason": "old", **clock})
        if body["deadline_ms"] <= self._clock_ms():
            return Response(409, {"reason": "late", **clock})
        run_ms, cpu = (int(part) for part in body["spec"].split())
        record = RunRecord(*key, self.name, cpu, self._now())
        self._history.append(record)
        task = asyncio.ensure_future(self._execute(record, run_ms / 1000))
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

    async def _renew_and_list(self, call: Request) -> Response:
        born = self._incarnation
        cursor = call.get_int("ack_cursor")
        self._finished = [row for row in self._finished if row[0] > cursor]
        for number in [number for number in self._unacknowledged if number <= cursor]:
            del self._unacknowledged[number]
        ends = self._now() + call.get_int("wait_ms") / 1000
        while not self._finished and self._now() < ends and born == self._incarnation:
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
