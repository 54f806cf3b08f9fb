"""Stand-in executor, as PROTOCOL.md describes one under "Running tasks"."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.lib.store import Store
from tests.platform.standin.http import Request, Response, StubServer

MAX_LEASE_MS = 10_000
KILL_TIMEOUT_S = 0.2
HEARTBEAT_S = 1.5
# Connections that are served at a time; calls on others wait.
MAX_CONNECTIONS = 64
# Ends that one answer lists at most.
ENDS_PER_ANSWER = 500
CAPACITY = {"cpu": 64_000, "mem_mb": 131_072, "gpu": 0}

# Returns how long a run works and how it ends; ``None`` for the time means until it is stopped.
Plan = Callable[[str, int, str], tuple[float | None, str]]


@dataclass(slots=True)
class Run:
    """One run as its executor sees it.

    :param number: number of its end in this life of the executor, 0 before
    :param acked_s: when the end was taken note of, 0 before
    :param is_lapsed: the lease lapsed between the end and the note
    :param work_s: how long it works, ``None`` until it is stopped
    """

    task: str
    attempt: int
    executor: str
    started_s: float
    ended_s: float = 0.0
    how: str = ""
    number: int = 0
    acked_s: float = 0.0
    is_lapsed: bool = False
    work_s: float | None = None
    work: asyncio.Task | None = field(default=None, repr=False)


class Executor:
    """An executor with fences, attempts, leases and numbered ends; it checks no capacity."""

    def __init__(
        self, name: str, store: Store, plan: Plan, history: list[Run], zone: str = "z1"
    ) -> None:
        """Set up; ``start`` opens the port and registers it.

        :param plan: decides how long each run works and how it ends
        :param history: receives each run of any executor, in the order of their starts
        """
        self.name = name
        self.history = history
        self.fenced_orders = 0
        self.is_up = False
        self._store = store
        self._plan = plan
        self._zone = zone
        self._server = StubServer(self._handle)
        self._served = asyncio.Semaphore(MAX_CONNECTIONS)
        self._born = 0
        self._began_s = 0.0
        self._fence = 0
        self._lease_ms = 0.0
        self._highest: dict[str, int] = {}
        self._running: dict[tuple[str, int], Run] = {}
        self._finished: list[Run] = []
        self._ends = 0
        self._seq = 0
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Open the port, register, and report until closed."""
        self._born = time.time_ns() // 1_000_000
        self._began_s = time.monotonic()
        await self._server.listen()
        self.is_up = True
        self._spawn(self._report())
        self._spawn(self._expire())

    async def lose_power(self) -> None:
        """Go dark for good: all runs end, nothing is answered, and the entry goes later."""
        self.is_up = False
        for run in list(self._running.values()):
            run.work.cancel()
            run.ended_s, run.how = time.monotonic(), "power lost"
        self._running.clear()
        for task in list(self._tasks):
            task.cancel()
        self._spawn(self._remove_entry())

    async def _remove_entry(self) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        self._store.remove(f"servers/{self.name}")

    async def close(self) -> None:
        """End everything."""
        for task in [*self._tasks, *(run.work for run in self._running.values())]:
            task.cancel()
        await self._server.close()

    def running(self) -> list[Run]:
        """Return the runs in progress."""
        return list(self._running.values())

    def _spawn(self, coro) -> asyncio.Task:  # noqa: ANN001
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began_s) * 1000)

    async def _report(self) -> None:
        while True:
            self._seq += 1
            entry = {
                "service": "desk",
                "addr": self._server.address,
                "zone": self._zone,
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": self._seq,
                "born": self._born,
                "capacity": CAPACITY,
                "labels": ["a", "r1"],
            }
            self._store.put(f"servers/{self.name}", entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _expire(self) -> None:
        """End everything when the lease has lapsed."""
        while True:
            await asyncio.sleep(0.02)
            if self._clock_ms() <= self._lease_ms:
                continue
            for run in self._finished:
                run.is_lapsed = True
            for run in list(self._running.values()):
                run.work.cancel()
                self._end(run, "lapsed")

    async def _handle(self, request: Request) -> Response:
        async with self._served:
            return await self._serve(request)

    async def _serve(self, request: Request) -> Response:
        if not self.is_up:
            # No power: neither an answer nor a reset.
            await asyncio.sleep(3_600)
        if request.headers.get("lagoonshelf-expected-instance", self.name) != self.name:
            return Response(421, {"clock_ms": self._clock_ms()})
        body = request.body
        if body.get("fencing_token", 0) < self._fence:
            self.fenced_orders += 1
            return self._answer(409, reason="fence")
        self._fence = body.get("fencing_token", 0)
        if "deadline_ms" in body:
            limit_ms = self._clock_ms() + MAX_LEASE_MS
            self._lease_ms = max(self._lease_ms, min(body["deadline_ms"], limit_ms))
        call = request.path.removeprefix("/lagoonshelf/")
        if call == "run-start":
            return self._start(body)
        if call == "run-stop":
            return self._stop(body)
        if call == "hold":
            return await self._hold(body)
        return self._answer(200 if call == "pace" else 400)

    def _answer(self, status: int, **fields: object) -> Response:
        return Response(status, {"clock_ms": self._clock_ms(), **fields})

    def _start(self, body: dict) -> Response:
        key = (body["task"], body["attempt"])
        if key in self._running:
            return self._answer(200)
        if body["attempt"] <= self._highest.get(body["task"], 0):
            return self._answer(409, reason="old")
        if body["deadline_ms"] <= self._clock_ms():
            return self._answer(409, reason="late")
        run = Run(*key, self.name, time.monotonic())
        self.history.append(run)
        self._running[key] = run
        run.work_s, how = self._plan(run.task, run.attempt, body["spec"])
        run.work = asyncio.ensure_future(self._work(run, how))
        return self._answer(200)

    async def _work(self, run: Run, how: str) -> None:
        await asyncio.sleep(3_600 if run.work_s is None else run.work_s)
        self._end(run, how)

    def _stop(self, body: dict) -> Response:
        key = (body["task"], body["attempt"])
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        run = self._running.get(key)
        if run is not None:
            run.work.cancel()
            self._spawn(self._kill(run))
        return self._answer(200)

    async def _kill(self, run: Run) -> None:
        await asyncio.sleep(KILL_TIMEOUT_S)
        self._end(run, "stopped")

    def _end(self, run: Run, how: str) -> None:
        if self._running.pop((run.task, run.attempt), None) is None:
            return
        self._ends += 1
        run.ended_s, run.how, run.number = time.monotonic(), how, self._ends
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.attempt)
        self._finished.append(run)

    async def _hold(self, body: dict) -> Response:
        cursor = body.get("ack_cursor", 0)
        for run in self._finished:
            if run.number <= cursor:
                run.acked_s = time.monotonic()
        self._finished = [run for run in self._finished if run.number > cursor]
        until_s = time.monotonic() + min(body.get("wait_ms", 0), 2_000) / 1000
        while not self._finished and time.monotonic() < until_s:
            await asyncio.sleep(0.005)
        running = [[run.task, run.attempt, "", _percent(run), 0] for run in self._running.values()]
        finished = [
            [run.number, run.task, run.attempt, run.how, ""]
            for run in self._finished[:ENDS_PER_ANSWER]
        ]
        return self._answer(200, born=self._born, running=running, finished=finished)


def _percent(run: Run) -> int:
    """Return the progress of a run; one that lasts is at work after half a second."""
    elapsed_s = time.monotonic() - run.started_s
    return min(100, int(100 * elapsed_s / (0.5 if run.work_s is None else run.work_s)))
