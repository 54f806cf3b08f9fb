"""Log lines of a leader's decisions: which are merged, and which go first under load."""

from collections import deque

from lagoonshelf_core.jobs.planning import TASKS_PLACED
from lagoonshelf_core.jobs.worker_reports import TASKS_DONE

Line = tuple[str, dict[str, object]]

# Lines of placements and done tasks that are written in a second; beyond them those of a step are
# merged. A third of what a process writes, so that they leave room for all other lines.
LINES_PER_S = 100
FLUSH_INTERVAL_MS = 1_000
# Steps whose lines are kept for the next second; with more, the oldest are left out and counted.
MAX_MERGED_LINES = 1_000
MAX_TASKS_PER_LINE = 500
# Requests with a run or job that ended badly that are remembered, so that their lines go first.
MAX_BAD_REQUESTS = 1_000
MERGED_MESSAGES = frozenset({TASKS_PLACED, TASKS_DONE})
# Notes after which the lines of a request are of interest.
BAD_MESSAGES = frozenset({"run ended", "run lost", "run missing", "run stalled", "run superseded"})


class NoteLog:
    """Limits the lines of decisions that are taken many times in a second."""

    def __init__(self) -> None:
        """Set up without lines."""
        self._merged: dict[tuple[str, object], dict[str, object]] = {}
        self._since_ms = 0
        self._written = 0
        self._left_out = 0
        self._bad: deque[object] = deque(maxlen=MAX_BAD_REQUESTS)

    def add(self, message: str, fields: dict[str, object], now_ms: int) -> list[Line]:
        """Return the lines to write now for a note; one that is merged is written later."""
        if message not in MERGED_MESSAGES:
            if message in BAD_MESSAGES:
                self.mark_bad(fields.get("request"))
            return [(message, fields)]
        due = self.take_due(now_ms)
        if self._written < LINES_PER_S and not self._merged:
            self._written += 1
            return [*due, (message, fields)]
        self._merge(message, fields)
        return due

    def mark_bad(self, request: object) -> None:
        """Let the lines of a request go first, as it has ended badly or may."""
        if request not in self._bad:
            self._bad.append(request)

    def take_due(self, now_ms: int, *, is_last: bool = False) -> list[Line]:
        """Return merged lines once in a second, those of requests that ended badly first.

        :param is_last: return all, as there will be no further call
        """
        if not is_last and 0 <= now_ms - self._since_ms < FLUSH_INTERVAL_MS:
            return []
        self._since_ms = now_ms
        bad = set(self._bad)
        keys = sorted(self._merged, key=lambda key: self._merged[key]["request"] not in bad)
        keys = keys if is_last else keys[:LINES_PER_S]
        lines = [(key[0], self._merged.pop(key)) for key in keys]
        self._written = len(lines)
        if self._left_out:
            lines.append(("placements left out", {"count": self._left_out}))
            self._left_out = 0
        return lines

    def _merge(self, message: str, fields: dict[str, object]) -> None:
        """Add a note to the line of its step, with the tasks by worker."""
        key = (message, fields["step"])
        tasks = fields.get("workers") or {fields["worker"]: fields["tasks"]}
        line = self._merged.get(key)
        if line is None:
            self._drop_oldest()
            rest = {name: fields[name] for name in fields if name not in ("worker", "tasks")}
            line = self._merged[key] = {**rest, "workers": {}, "notes": 0}
        line["notes"] += 1
        if isolated := fields.get("isolated"):
            line["isolated"] = list({*line.get("isolated", ()), *isolated})
        left = MAX_TASKS_PER_LINE - sum(map(len, line["workers"].values()))
        for worker, added in tasks.items():
            kept = added[: max(0, left)]
            left -= len(kept)
            if kept:
                line["workers"][worker] = [*line["workers"].get(worker, ()), *kept]
            if len(kept) < len(added):
                line["more"] = line.get("more", 0) + len(added) - len(kept)

    def _drop_oldest(self) -> None:
        """Leave out the oldest line of a request that has not ended badly, if there are many."""
        if len(self._merged) < MAX_MERGED_LINES:
            return
        bad = set(self._bad)
        lines = self._merged.items()
        key = next((key for key, line in lines if line["request"] not in bad), None)
        self._left_out += self._merged.pop(key or next(iter(self._merged)))["notes"]
