"""Helpers for tests that let processes and workers fail."""

import signal
import threading
from collections.abc import Callable

from lagoonshelf_core.routing import partition_of_request
from lagoonshelf_standins.cell import Cell, wait_until

PARTITIONS = 4


def owner_of(cell: Cell, team: str, key: str) -> str:
    """Return the daemon that owns a request's partition."""
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
    """Return another daemon."""
    return next(other for other in cell.daemons if other != name)


def key_owned_by(cell: Cell, team: str, name: str, prefix: str = "key") -> str:
    """Return a request key whose partition a daemon owns."""
    owned = {int(p) for p in cell.state(name)["partitions"]}
    keys = (f"{prefix}{number}" for number in range(1000))
    return next(key for key in keys if partition_of_request(team, key, PARTITIONS) in owned)


def events_of(cell: Cell, key: str) -> list[dict]:
    """Return what happened on all workers for a request, in order of time."""
    events = [event for history in cell.history().values() for event in history]
    mine = (event for event in events if event["request_key"] == key)
    return sorted(mine, key=lambda event: (event["at_ms"], event["event"] == "start"))


def starts_of(cell: Cell, key: str) -> list[dict]:
    """Return the starts of a request on all workers."""
    return [event for event in events_of(cell, key) if event["event"] == "start"]


def max_concurrent_runs(cell: Cell, key: str) -> int:
    """Return the largest number of runs of one task index at the same time."""
    most = 0
    running: dict[int, int] = {}
    for event in events_of(cell, key):
        index = event["index"]
        running[index] = running.get(index, 0) + (1 if event["event"] == "start" else -1)
        most = max(most, running[index])
    return most


def pause_daemon(cell: Cell, name: str) -> Callable[[], None]:
    """Stop a daemon's process and return what lets it go on."""
    daemon = cell.daemons[name]
    daemon.signal(signal.SIGSTOP)
    return lambda: daemon.signal(signal.SIGCONT)


class BackgroundCall:
    """A call on a thread of its own."""

    def __init__(self, call: Callable[[], dict | None]) -> None:
        self.answer: dict | None = None
        self._thread = threading.Thread(target=self._run, args=(call,), daemon=True)
        self._thread.start()

    def join(self) -> dict | None:
        """Return the answer, none when there was none."""
        self._thread.join(90)
        return self.answer

    def _run(self, call: Callable[[], dict | None]) -> None:
        self.answer = call()
