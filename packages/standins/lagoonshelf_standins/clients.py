"""Clients that resend a request to another daemon after a broken connection."""

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from lagoonshelf_standins.cell import Cell
from lagoonshelf_standins.checker import ClientCall
from lagoonshelf_standins.workers import now_ms

RETRY_DELAY_S = 0.2
TEMPORARY_ERRORS = frozenset(
    {"NO_OWNER", "STORE_UNAVAILABLE", "CONFIG_STALE", "DRAINING", "QUEUE_FULL", "OVERLOADED"}
)


@dataclass(frozen=True, slots=True)
class TeamRequest:
    """One request of a team.

    :param body: body of the HTTP request, including a request key
    """

    team: str
    body: dict


@dataclass(slots=True)
class Clients:
    """Clients on several threads; each call is recorded for the checker."""

    cell: Cell
    calls: list[ClientCall] = field(default_factory=list)
    final_answers: dict[tuple[str, str], dict] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _call_number: itertools.count = field(default_factory=itertools.count)

    def run(self, requests: list[TeamRequest], threads: int, retry_timeout_s: float) -> None:
        """Send all requests and return when each has its final answer.

        :param retry_timeout_s: how long each request is retried
        """
        with ThreadPoolExecutor(threads) as pool:
            list(pool.map(lambda request: self.send(request, retry_timeout_s), requests))

    def send(self, request: TeamRequest, retry_timeout_s: float) -> dict | None:
        """Send a request until its answer is not a temporary error; return the last answer."""
        end = time.monotonic() + retry_timeout_s
        while True:
            answer = self._call(request)
            if answer is not None and answer["name"] not in TEMPORARY_ERRORS:
                break
            if time.monotonic() > end:
                break
            time.sleep(RETRY_DELAY_S)
        with self._lock:
            self.final_answers[(request.team, request.body["request_key"])] = answer or {}
        return answer

    def _call(self, request: TeamRequest) -> dict | None:
        names = list(self.cell.daemons)
        name = names[next(self._call_number) % len(names)]
        sent_ms = now_ms()
        try:
            answer = self.cell.submit(name, request.team, request.body)
        except KeyError:
            answer = None
        call = ClientCall(
            request.team,
            request.body["request_key"],
            request.body["payload"],
            sent_ms,
            now_ms(),
            answer,
        )
        with self._lock:
            self.calls.append(call)
        return answer
