"""Stand-in of the service that knows which executors may run a step."""

import asyncio

from tests.platform.standin.http import Request, Response, StubServer

DECISION_MS = 50
PERIOD_MS = 1
HINT = {"decision_ms": DECISION_MS, "period_ms": PERIOD_MS, "validity_ms": 2_000}


class Advice:
    """Allows every executor, one call at a time."""

    def __init__(self) -> None:
        """Set up without listening."""
        self.server = StubServer(self._handle)
        self.steps: list[str] = []
        self._turn = asyncio.Lock()

    async def _handle(self, request: Request) -> Response:
        workers = request.body["workers"]
        self.steps.append(request.body["step"])
        async with self._turn:
            await asyncio.sleep((DECISION_MS + PERIOD_MS * len(workers)) / 1000)
        return Response(200, {"allowed": [[name, f"ticket-{name}"] for name in workers]})
