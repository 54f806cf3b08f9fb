"""What the stand-in workers' histories say about runs."""

from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor

from lagoonshelf_standins.cell import Cell
from tests.support.base import interactive_body


def events(cell: Cell) -> list[dict]:
    """Return start and end events of all workers in order; ends go first within a millisecond."""
    found = [event for events in cell.history().values() for event in events]
    return sorted(found, key=lambda event: (event["at_ms"], event["event"] == "start"))


def count_starts(cell: Cell) -> Counter[str]:
    """Return the number of starts of each request."""
    return Counter(e["request_key"] for e in events(cell) if e["event"] == "start")


def peak_usage(cell: Cell, team: str, since_ms: int = 0) -> tuple[int, int]:
    """Return the most tasks and processor thousandths of a team right after any of its starts.

    :param since_ms: starts before this time are counted, but not judged
    """
    tasks = cpu_milli = 0
    most = (0, 0)
    for event in events(cell):
        if event["team"] != team:
            continue
        sign = 1 if event["event"] == "start" else -1
        tasks += sign
        cpu_milli += sign * event["cpu_milli"]
        if sign > 0 and event["at_ms"] >= since_ms:
            most = (max(most[0], tasks), max(most[1], cpu_milli))
    return most


def count_running(cell: Cell, team: str) -> int:
    """Return how many tasks of a team run now."""
    kinds = Counter(event["event"] for event in events(cell) if event["team"] == team)
    return kinds["start"] - kinds["end"]


class Burst:
    """Interactive requests sent at once through several daemons."""

    def __init__(self, cell: Cell, daemons: list[str], keys: list[str], **fields: object) -> None:
        """Begin to send one request for each key."""
        self._pool = ThreadPoolExecutor(len(keys))
        self._answers: list[Future] = []
        for number, key in enumerate(keys):
            name = daemons[number % len(daemons)]
            body = interactive_body(key, **{"timeout_ms": 40_000, **fields})
            self._answers.append(self._pool.submit(cell.submit, name, "fitting", body))

    def results(self) -> set[str]:
        """Wait for all answers and return their results."""
        return {fut.result()["result"] for fut in self._answers}

    def codes(self) -> Counter[str]:
        """Wait for all answers and count their codes."""
        answers = [fut.result() for fut in self._answers]
        self._pool.shutdown()
        return Counter(answer["name"] if answer else "none" for answer in answers)
