"""Queries on the event histories of the stand-in workers, and bursts of requests."""

from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor

from lagoonshelf_standins.cell import Cell
from tests.support.base import interactive_body


def events(cell: Cell) -> list[dict]:
    """Return the start and end events of all workers by time; ends first within a millisecond."""
    found = [event for events in cell.history().values() for event in events]
    return sorted(found, key=lambda event: (event["at_ms"], event["event"] == "start"))


def count_starts(cell: Cell) -> Counter[str]:
    """Return the number of starts by request key."""
    return Counter(e["request_key"] for e in events(cell) if e["event"] == "start")


def peak_usage(cell: Cell, team: str, since_ms: int = 0) -> tuple[int, int]:
    """Return the peak number of tasks and of CPU millicores of a team, measured at starts.

    :param since_ms: starts before this time add to the usage, but are not peaks themselves
    """
    tasks = cpu_milli = 0
    peak = (0, 0)
    for event in events(cell):
        if event["team"] != team:
            continue
        sign = 1 if event["event"] == "start" else -1
        tasks += sign
        cpu_milli += sign * event["cpu_milli"]
        if sign > 0 and event["at_ms"] >= since_ms:
            peak = (max(peak[0], tasks), max(peak[1], cpu_milli))
    return peak


def count_running(cell: Cell, team: str) -> int:
    """Return the number of running tasks of a team."""
    kinds = Counter(event["event"] for event in events(cell) if event["team"] == team)
    return kinds["start"] - kinds["end"]


class Burst:
    """Concurrent interactive requests, spread over several daemons."""

    def __init__(self, cell: Cell, daemons: list[str], keys: list[str], **fields: object) -> None:
        """Start to send one request for each key."""
        self._pool = ThreadPoolExecutor(len(keys))
        self._answers: list[Future] = []
        for number, key in enumerate(keys):
            name = daemons[number % len(daemons)]
            body = interactive_body(key, **{"timeout_ms": 40_000, **fields})
            self._answers.append(self._pool.submit(cell.submit, name, "fitting", body))

    def results(self) -> set[str]:
        """Wait for all answers and return the set of their results."""
        return {fut.result()["result"] for fut in self._answers}

    def codes(self) -> Counter[str]:
        """Wait for all answers and return the number of answers by code name."""
        answers = [fut.result() for fut in self._answers]
        self._pool.shutdown()
        return Counter(answer["name"] if answer else "none" for answer in answers)
