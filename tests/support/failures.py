"""Helpers for failure tests: partition owners, worker events, paused daemons, pending calls."""

import signal
import threading
from collections.abc import Callable

from lagoonshelf_core.routing import partition_of_request
from lagoonshelf_standins.cell import Cell, wait_until

PARTITIONS = 4


def owner_of(cell: Cell, team: str, key: str) -> str:
    """Wait for an active owner of the partition of a request and return the daemon's name."""
    partition = str(partition_of_request(team, key, PARTITIONS))
    found: list[str] = []

    def check() -> bool:
        for name in cell.daemons:
            owned = (cell.state(name) or {"partitions": {}})["partitions"]
            if owned.get(partition, {}).get("state") == "active":
                found.append(name)
        return bool(found)

    wait_until(check, f"an owner of {key}")
    return found[0]


def other_daemon(cell: Cell, name: str) -> str:
    """Return the name of any other daemon."""
    return next(other for other in cell.daemons if other != name)


def key_owned_by(cell: Cell, team: str, name: str, prefix: str = "key") -> str:
    """Return a request key of a partition that the daemon owns."""
    owned = {int(p) for p in cell.state(name)["partitions"]}
    keys = (f"{prefix}{number}" for number in range(1000))
    return next(key for key in keys if partition_of_request(team, key, PARTITIONS) in owned)


def events_of(cell: Cell, key: str) -> list[dict]:
    """Return the start and end events of a request on all workers by time, ends first."""
    events = [event for history in cell.history().values() for event in history]
    matching = (event for event in events if event["request_key"] == key)
    return sorted(matching, key=lambda event: (event["at_ms"], event["event"] == "start"))


def starts_of(cell: Cell, key: str) -> list[dict]:
    """Return the start events of a request on all workers."""
    return [event for event in events_of(cell, key) if event["event"] == "start"]


def max_concurrent_runs(cell: Cell, key: str) -> int:
    """Return the largest number of concurrent runs of one task of a request."""
    peak = 0
    running: dict[int, int] = {}
    for event in events_of(cell, key):
        index = event["index"]
        running[index] = running.get(index, 0) + (1 if event["event"] == "start" else -1)
        peak = max(peak, running[index])
    return peak


def pause_daemon(cell: Cell, name: str) -> Callable[[], None]:
    """Suspend the process of a daemon and return a function that resumes it."""
    daemon = cell.daemons[name]
    daemon.signal(signal.SIGSTOP)
    return lambda: daemon.signal(signal.SIGCONT)


class BackgroundCall:
    """Runs a function in a background thread and keeps what it returns."""

    def __init__(self, call: Callable[[], dict | None]) -> None:
        self.answer: dict | None = None
        self._thread = threading.Thread(target=self._run, args=(call,), daemon=True)
        self._thread.start()

    def join(self) -> dict | None:
        """Wait up to 90 s and return the answer, or ``None`` if there is none."""
        self._thread.join(90)
        return self.answer

    def _run(self, call: Callable[[], dict | None]) -> None:
        self.answer = call()
