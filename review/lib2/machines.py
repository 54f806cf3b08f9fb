"""Stand-in of the platform's machine inventory."""

import asyncio
from collections.abc import Callable, Sequence

from review.lib2.executor import CAPACITY, Executor
from tests.platform.standin.http import Request, Response, StubServer

MAINTENANCE_S = 2.0


class Machines:
    """Lists machines and begins their upkeep, as ``PROTOCOL.md`` says."""

    def __init__(self, executors: Sequence[Executor], record: Callable[[str], None]) -> None:
        """Set up without listening."""
        self.server = StubServer(self._handle)
        self._executors = {executor.machine: executor for executor in executors}
        self._record = record
        self._begun: set[tuple[str, int]] = set()
        self.upkeeps: list[tuple[float, str]] = []
        self._tasks: set[asyncio.Task] = set()

    async def _handle(self, request: Request) -> Response:
        await asyncio.sleep(0.004)
        if request.method == "GET":
            rows = [self._row(executor) for executor in self._executors.values()]
            return Response(200, {"machines": rows, "next_token": None})
        machine, wave = request.body["machine"], request.body["wave"]
        executor = self._executors.get(machine)
        if executor is None:
            return Response(400)
        if (machine, wave) in self._begun:
            return Response(200)
        if executor.state != "up":
            return Response(409, {"reason": "busy"})
        self._begun.add((machine, wave))
        self.upkeeps.append((asyncio.get_running_loop().time(), machine))
        task = asyncio.ensure_future(executor.maintain(MAINTENANCE_S, wave))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return Response(200)

    @staticmethod
    def _row(executor: Executor) -> dict:
        return {
            "machine": executor.machine,
            "pool": "desk",
            "state": executor.state,
            "zone": "z1",
            "labels": executor.labels,
            "capacity": CAPACITY,
            "id": "" if executor.life is None else executor.life.id,
        }
