"""Executors: fences, attempts, leases on a clock of their own, and a record of all runs."""

import asyncio
from dataclasses import dataclass
from random import Random

from tests.platform.standin.http import Call, Link, Proxy, Reply, StubServer
from tests.platform.standin.store import StubStore

CAPACITY = {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}
MAX_HOLD_MS = 10_000
STOP_S = 0.1


@dataclass(slots=True)
class RunRecord:
    """One run as the executor saw it; ``ended_s`` is 0 while it runs.

    :param is_forgotten: the executor started again or was cut off before its end was acknowledged
    """

    task: str
    attempt: int
    executor: str
    cpu: int
    began_s: float
    ended_s: float = 0.0
    how: str = ""
    is_forgotten: bool = False


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
        self._server = StubServer(self._answer)
        self._rate = rng.uniform(0.98, 1.0)
        self._offset_ms = rng.randrange(1_000_000)
        self._began_s = 0.0
        self._born_ms = 1
        self._token = 0
        self._until_ms = 0.0
        self._running: dict[tuple[str, int], tuple[RunRecord, asyncio.Task]] = {}
        self._finished: list[list] = []
        self._unacknowledged: dict[int, RunRecord] = {}
        self._count = 0
        self._highest: dict[str, int] = {}
        self._tasks: set[asyncio.Task] = set()
        self.fail_share = 0.02
        self.proxy: Proxy | None = None

    async def begin(self) -> None:
        """Open its ports and register it."""
        self._began_s = self._now()
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
            "born": self._born_ms,
        }
        self._store.put(f"servers/{self.name}", entry)

    async def close(self) -> None:
        """End it with all its runs."""
        self._kill_all("crashed")
        for task in list(self._tasks):
            task.cancel()
        await self._server.close()
        await self.proxy.close()

    def restart(self) -> None:
        """Crash and start again under the same id: it holds and knows nothing."""
        self._kill_all("crashed")
        self._forget_unread()
        self._unacknowledged.clear()
        self._finished.clear()
        self._highest.clear()
        self._token = self._count = 0
        self._until_ms = 0.0
        self._born_ms += 1
        self._register()

    def set_link(self, link: Link) -> None:
        """Set the state of all connections to it."""
        self.proxy.link = link
        if link is not Link.OPEN:
            self._forget_unread()

    def _forget_unread(self) -> None:
        for record in self._unacknowledged.values():
            record.is_forgotten = True

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _clock_ms(self) -> int:
        return int((self._now() - self._began_s) * 1000 * self._rate) + self._offset_ms

    async def run_leases(self) -> None:
        """Kill what a lapsed lease held, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if self._running and self._clock_ms() > self._until_ms:
                for record, task in list(self._running.values()):
                    task.cancel()
                    self._end(record, "lapsed")

    async def _answer(self, call: Call) -> Reply:
        expected = call.headers.get("lagoonshelf-expected-instance")
        if expected != self.name:
            return Reply(421)
        name = call.path.removeprefix("/lagoonshelf/")
        if call.body.get("fencing_token", 0) < self._token:
            return Reply(409, {"reason": "fence", "clock_ms": self._clock_ms()})
        self._token = call.number("fencing_token")
        if "deadline_ms" in call.body:
            self._renew(call.body["deadline_ms"])
        if name == "run-start":
            return self._start(call.body)
        if name == "run-stop":
            return self._stop(call.body)
        if name == "hold":
            return await self._hold(call)
        return Reply(404)

    def _renew(self, until_ms: int) -> None:
        until_ms = min(until_ms, self._clock_ms() + MAX_HOLD_MS)
        self._until_ms = max(self._until_ms, until_ms)

    def _start(self, body: dict) -> Reply:
        key = (body["task"], body["attempt"])
        clock = {"clock_ms": self._clock_ms()}
        if key in self._running:
            return Reply(200, clock)
        if body["attempt"] <= self._highest.get(body["task"], 0):
            return Reply(409, {"reason": "old", **clock})
        if body["deadline_ms"] <= self._clock_ms():
            return Reply(409, {"reason": "late", **clock})
        run_ms, cpu = (int(part) for part in body["spec"].split())
        record = RunRecord(*key, self.name, cpu, self._now())
        self._history.append(record)
        task = asyncio.ensure_future(self._work(record, run_ms / 1000))
        self._running[key] = (record, task)
        return Reply(200, clock)

    async def _work(self, record: RunRecord, run_s: float) -> None:
        await asyncio.sleep(run_s)
        self._end(record, "failed" if self._rng.random() < self.fail_share else "done")

    def _end(self, record: RunRecord, how: str) -> None:
        if self._running.pop((record.task, record.attempt), None) is None:
            return
        record.ended_s, record.how = self._now(), how
        record.is_forgotten = self.proxy.link is not Link.OPEN
        self._highest[record.task] = max(self._highest.get(record.task, 0), record.attempt)
        self._count += 1
        self._finished.append([self._count, record.task, record.attempt, how, ""])
        self._unacknowledged[self._count] = record

    def _kill_all(self, how: str) -> None:
        for record, task in list(self._running.values()):
            task.cancel()
            self._end(record, how)

    def _stop(self, body: dict) -> Reply:
        task, attempt = body["task"], body["attempt"]
        self._highest[task] = max(self._highest.get(task, 0), attempt)
        entry = self._running.get((task, attempt))
        if entry is not None:
            entry[1].cancel()
            stopping = asyncio.ensure_future(self._finish_stop(entry[0]))
            self._tasks.add(stopping)
            stopping.add_done_callback(self._tasks.discard)
        return Reply(200, {"clock_ms": self._clock_ms()})

    async def _finish_stop(self, record: RunRecord) -> None:
        await asyncio.sleep(STOP_S)
        self._end(record, "stopped")

    async def _hold(self, call: Call) -> Reply:
        born = self._born_ms
        cursor = call.number("ack_cursor")
        self._finished = [row for row in self._finished if row[0] > cursor]
        for number in [number for number in self._unacknowledged if number <= cursor]:
            del self._unacknowledged[number]
        ends = self._now() + call.number("wait_ms") / 1000
        while not self._finished and self._now() < ends and born == self._born_ms:
            await asyncio.sleep(0.01)
        running = [
            [record.task, record.attempt, "", int(50 + self._now() * 10) % 100, 0]
            for record, _ in self._running.values()
        ]
        return Reply(
            200,
            {
                "clock_ms": self._clock_ms(),
                "born": self._born_ms,
                "running": running,
                "finished": self._finished,
            },
        )
