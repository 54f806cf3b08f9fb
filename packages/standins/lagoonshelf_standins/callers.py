"""Callers that send the same request again elsewhere when a connection breaks."""

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from lagoonshelf_standins.cell import Cell
from lagoonshelf_standins.checker import CallerAnswer
from lagoonshelf_standins.workers import now_ms

RETRY_PAUSE_S = 0.2
TEMPORARY = frozenset(
    {"NO_OWNER", "STORE_UNAVAILABLE", "CONFIG_STALE", "DRAINING", "QUEUE_FULL", "OVERLOADED"}
)


@dataclass(frozen=True, slots=True)
class Work:
    """One request of a team.

    :param body: as sent to the interface; holds a request key
    """

    team: str
    body: dict


@dataclass(slots=True)
class Callers:
    """Sends work from several threads and keeps each call for the checker."""

    cell: Cell
    calls: list[CallerAnswer] = field(default_factory=list)
    finals: dict[tuple[str, str], dict] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _turn: itertools.count = field(default_factory=itertools.count)

    def run(self, works: list[Work], threads: int, patience_s: float) -> None:
        """Send all work and return when each request has its last answer.

        :param patience_s: how long one request is sent again
        """
        with ThreadPoolExecutor(threads) as pool:
            list(pool.map(lambda work: self.send(work, patience_s), works))

    def send(self, work: Work, patience_s: float) -> dict | None:
        """Send one request until it has an answer that is not temporary."""
        end = time.monotonic() + patience_s
        while True:
            answer = self._call(work)
            if answer is not None and answer["name"] not in TEMPORARY:
                break
            if time.monotonic() > end:
                break
            time.sleep(RETRY_PAUSE_S)
        with self._lock:
            self.finals[(work.team, work.body["request_key"])] = answer or {}
        return answer

    def _call(self, work: Work) -> dict | None:
        names = list(self.cell.daemons)
        name = names[next(self._turn) % len(names)]
        sent_ms = now_ms()
        try:
            answer = self.cell.submit(name, work.team, work.body)
        except KeyError:
            answer = None
        call = CallerAnswer(
            work.team, work.body["request_key"], work.body["payload"], sent_ms, now_ms(), answer
        )
        with self._lock:
            self.calls.append(call)
        return answer
