"""Stand-in executor: what ``PROTOCOL.md`` says of running tasks, and what its tasks do."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson

from review.lib2.store import Store
from tests.platform.standin.http import Request, Response, StubServer

CAPACITY = {"cpu": 64_000, "mem_mb": 131_072, "gpu": 0}
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_S = 0.3
MAX_ENDS_LISTED = 500
MAX_WAIT_MS = 2_000
ENTRY_LIFE_S = 3 * HEARTBEAT_S


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task, as its executor saw it.

    :param ended_s: 0 while it runs
    :param number: number of its end in its executor's life
    :param noted_s: when ``ack_cursor`` reached its end, 0 before
    :param has_lapsed: the lease of the executor lapsed between its end and that moment
    """

    task: str
    attempt: int
    executor: str
    token: int
    behaviour: dict
    started_s: float
    ended_s: float = 0.0
    end: str = ""
    number: int = 0
    noted_s: float = 0.0
    has_lapsed: bool = False
    timer: asyncio.Task | None = None
    is_stopping: bool = False

    def is_at_work(self, now_s: float) -> bool:
        """Return whether it runs and has started up."""
        return (
            not self.ended_s
            and now_s >= self.started_s + self.behaviour.get("startup_ms", 0) / 1e3
        )

    def percent(self, now_s: float) -> int:
        """Return its progress."""
        if "startup_ms" in self.behaviour:
            return 100 if self.is_at_work(now_s) else 0
        length_ms = self.behaviour.get("run_ms") or 1_000
        return min(99, int(100 * (now_s - self.started_s) * 1000 / length_ms))


@dataclass(slots=True)
class Life:
    """What an executor knows, from one start to its end."""

    id: str
    born_ms: int
    started_s: float
    clock_offset_ms: int
    token: int = 0
    lease_end_ms: int = 0
    last_end: int = 0
    running: dict[tuple[str, int], Run] = field(default_factory=dict)
    finished: list[Run] = field(default_factory=list)
    highest_attempt: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Executor:
    """One machine and the executor on it.

    The ``spec`` of a task is JSON: ``run_ms`` for a task that ends as done, ``startup_ms`` for one
    that lasts; ``fail_ms`` fails it and ``crash_ms`` crashes its executor so long after its start.
    """

    def __init__(
        self,
        number: int,
        store: Store,
        runs: list[Run],
        record: Callable[[str], None],
    ) -> None:
        """Set up without starting.

        :param runs: receives each run of any executor
        :param record: writes a line of the record
        """
        self.number = number
        self.machine = f"m-{number}"
        self.state = "up"
        self._store = store
        self._runs = runs
        self._record = record
        self._server = StubServer(self._handle)
        self._port = 0
        self._lives = 0
        self._seq = 0
        self._tasks: list[asyncio.Task] = []
        self.life: Life | None = None
        self.crashes: list[tuple[float, str]] = []

    @property
    def labels(self) -> list[str]:
        """Return kind and rack; two of eight are of the second kind."""
        return ["b" if self.number % 4 == 3 else "a", f"r{1 + self.number // 8}"]

    async def start(self) -> None:
        """Begin a life: a new id at the same address."""
        self._lives += 1
        now_s = _now()
        offset_ms = 400_000 + 1_000 * self.number
        born_ms = time.time_ns() // 1_000_000
        self.life = Life(f"i-{self.number}-{self._lives}", born_ms, now_s, offset_ms)
        self._server = StubServer(self._handle)
        await self._server.listen(self._port)
        self._port = int(self._server.address.rpartition(":")[2])
        self.state = "up"
        self._tasks = [
            asyncio.ensure_future(self._report()),
            asyncio.ensure_future(self._expire_lease()),
        ]

    async def end(self, reason: str, *, is_leaving: bool = False) -> None:
        """End the life and all that runs.

        :param is_leaving: its entry is removed at once, not after three intervals of silence
        """
        life, self.life = self.life, None
        if life is None:
            return
        for run in list(life.running.values()):
            self._cancel_timer(run)
            run.ended_s, run.end = _now(), reason
            self._record(f"{life.id} {reason} under {run.task} attempt {run.attempt}")
        life.changed.set()
        for task in self._tasks:
            task.cancel()
        await self._server.close()
        asyncio.get_running_loop().call_later(
            0 if is_leaving else ENTRY_LIFE_S, self._store.delete, f"servers/{life.id}"
        )

    async def crash(self, down_s: float, cause: str) -> None:
        """Crash, and be back under a new id after some time."""
        if self.life is None:
            return
        self.crashes.append((_now(), cause))
        self._record(f"{self.life.id} crashes, {cause}")
        self.state = "down"
        await self.end("crashed")
        if down_s:
            await asyncio.sleep(down_s)
            await self.start()

    async def maintain(self, down_s: float, wave: int) -> None:
        """Go down for an upkeep and join again with a new life."""
        self._record(f"{self.machine} begins its upkeep, wave {wave}")
        self.state = "upkeep"
        await self.end("upkeep", is_leaving=True)
        await asyncio.sleep(down_s)
        await self.start()

    async def _report(self) -> None:
        life = self.life
        while True:
            if not self._store.is_down:
                self._seq += 1
                entry = {
                    "service": "desk",
                    "addr": self._server.address,
                    "zone": "z1",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "capacity": CAPACITY,
                    "labels": self.labels,
                    "machine": self.machine,
                    "born": life.born_ms,
                    "seq": self._seq,
                }
                self._store.put(f"servers/{life.id}", entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _expire_lease(self) -> None:
        life = self.life
        while True:
            await asyncio.sleep(0.02)
            if life.lease_end_ms and self._clock_ms(life) > life.lease_end_ms:
                for run in life.finished:
                    run.has_lapsed = True
                for run in list(life.running.values()):
                    self._finish(life, run, "lapsed")

    def _clock_ms(self, life: Life) -> int:
        return int((_now() - life.started_s) * 1000) + life.clock_offset_ms

    async def _handle(self, request: Request) -> Response:
        life = self.life
        if life is None or request.headers.get("lagoonshelf-expected-instance") != life.id:
            return Response(421)
        clock = {"clock_ms": self._clock_ms(life)}
        token = request.get_int("fencing_token")
        if token < life.token:
            return Response(409, {"reason": "fence", **clock})
        life.token = token
        if "deadline_ms" in request.body:
            longest_ms = self._clock_ms(life) + MAX_HOLD_MS
            wanted_ms = min(request.body["deadline_ms"], longest_ms)
            life.lease_end_ms = max(life.lease_end_ms, wanted_ms)
        name = request.path.removeprefix("/lagoonshelf/")
        if name == "run-start":
            return self._start_run(life, request.body, clock)
        if name == "run-stop":
            self._stop_run(life, request.body)
            return Response(200, clock)
        if name == "pace":
            return Response(200, clock)
        return await self._hold(life, request)

    def _start_run(self, life: Life, body: dict, clock: dict) -> Response:
        key = (body["task"], body["attempt"])
        if key in life.running:
            return Response(200, clock)
        if body["attempt"] <= life.highest_attempt.get(body["task"], 0):
            return Response(409, {"reason": "old", **clock})
        if body["deadline_ms"] <= self._clock_ms(life):
            return Response(409, {"reason": "late", **clock})
        behaviour = orjson.loads(body["spec"])
        run = Run(*key, life.id, body["fencing_token"], behaviour, _now())
        life.running[key] = run
        self._runs.append(run)
        self._record(f"{life.id} starts {run.task} attempt {run.attempt}")
        run.timer = asyncio.ensure_future(self._behave(life, run))
        return Response(200, clock)

    async def _behave(self, life: Life, run: Run) -> None:
        named = [name for name in ("crash_ms", "fail_ms", "run_ms") if name in run.behaviour]
        if not named:
            return
        await asyncio.sleep(run.behaviour[named[0]] / 1000)
        run.timer = None
        if named[0] == "crash_ms":
            asyncio.ensure_future(self.crash(run.behaviour["down_ms"] / 1000, run.task))
        else:
            self._finish(life, run, "failed" if named[0] == "fail_ms" else "done")

    def _stop_run(self, life: Life, body: dict) -> None:
        task, attempt = body["task"], body["attempt"]
        life.highest_attempt[task] = max(life.highest_attempt.get(task, 0), attempt)
        run = life.running.get((task, attempt))
        if run is None or run.is_stopping:
            return
        run.is_stopping = True
        self._record(f"{life.id} is told to stop {task} attempt {attempt}")
        self._cancel_timer(run)
        asyncio.get_running_loop().call_later(STOP_S, self._finish, life, run, "stopped")

    @staticmethod
    def _cancel_timer(run: Run) -> None:
        if run.timer is not None:
            run.timer.cancel()
            run.timer = None

    def _finish(self, life: Life, run: Run, end: str) -> None:
        if life.running.pop((run.task, run.attempt), None) is None or self.life is not life:
            return
        self._cancel_timer(run)
        life.last_end += 1
        run.ended_s, run.end, run.number = _now(), end, life.last_end
        life.highest_attempt[run.task] = max(life.highest_attempt.get(run.task, 0), run.attempt)
        life.finished.append(run)
        self._record(f"{life.id} ends {run.task} attempt {run.attempt} as {end}, N {run.number}")
        life.changed.set()

    async def _hold(self, life: Life, request: Request) -> Response:
        cursor = request.get_int("ack_cursor")
        for run in life.finished:
            if run.number <= cursor:
                run.noted_s = _now()
        life.finished = [run for run in life.finished if run.number > cursor]
        end_s = _now() + min(request.get_int("wait_ms"), MAX_WAIT_MS) / 1000
        while not life.finished and self.life is life and _now() < end_s:
            life.changed.clear()
            try:
                async with asyncio.timeout(max(0.0, end_s - _now())):
                    await life.changed.wait()
            except TimeoutError:
                break
        now_s = _now()
        running = [
            [run.task, run.attempt, "", run.percent(now_s), 0] for run in life.running.values()
        ]
        finished = [
            [run.number, run.task, run.attempt, run.end, ""]
            for run in life.finished[:MAX_ENDS_LISTED]
        ]
        fields = {"clock_ms": self._clock_ms(life), "born": life.born_ms}
        return Response(200, {**fields, "running": running, "finished": finished})


def _now() -> float:
    return asyncio.get_running_loop().time()
