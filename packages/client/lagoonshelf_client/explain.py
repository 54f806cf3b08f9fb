"""Collection of the log lines that explain the outcome of a request, from several processes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

import orjson

# Changes of state that affect every request in the cell. Lines about a worker are included only if
# the request ran on that worker.
CELL_WIDE_MESSAGES = frozenset(
    {
        "seat taken",
        "seat lost",
        "seat offered",
        "seat is free",
        "holder ready",
        "term ended",
        "store lost",
        "store regained",
        "process started",
        "process stopping",
        "configuration in force",
        "lines left out",
    }
)
# Lines of context are taken from this long before the first line of a request to this long after
# its last one.
CONTEXT_MS = 2_000
HIDDEN_FIELDS = ("time", "level", "logger", "message", "member", "request")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    :param at_ms: milliseconds since the Unix epoch, by the clock of the process that wrote it
    """

    at_ms: int
    fields: dict[str, object]

    @property
    def message(self) -> str:
        """Return the log message."""
        return str(self.fields.get("message", ""))


def read_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Return the log lines of files, without any other lines."""
    for path in paths:
        with Path(path).open("rb") as file:
            for raw in file:
                line = _parse(raw)
                if line is not None:
                    yield line


def explain(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request and their context, in order of time."""
    ordered = sorted(lines, key=lambda line: line.at_ms)
    own = [line for line in ordered if _is_about(line, request)]
    if not own:
        return []
    workers = {line.fields["worker"] for line in own if "worker" in line.fields}
    workers.update(worker for line in own for worker in line.fields.get("workers", ()))
    first_ms, last_ms = own[0].at_ms - CONTEXT_MS, own[-1].at_ms + CONTEXT_MS
    return [
        line
        for line in ordered
        if _is_about(line, request)
        or (first_ms <= line.at_ms <= last_ms and _is_context(line, workers))
    ]


def format_line(line: LogLine, first_ms: int) -> str:
    """Format a line for display: time since the first line, process, message and fields."""
    rest = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in HIDDEN_FIELDS
    )
    member = line.fields.get("member", "?")
    return f"{line.at_ms - first_ms:+8d} ms  {member}  {line.message}  {rest}".rstrip()


def _is_about(line: LogLine, request: str) -> bool:
    return line.fields.get("request") == request


def _is_context(line: LogLine, workers: set[object]) -> bool:
    if line.message in CELL_WIDE_MESSAGES:
        return True
    return "request" not in line.fields and line.fields.get("worker") in workers


def _parse(raw: bytes) -> LogLine | None:
    """Parse a line, ignoring any text before its JSON object."""
    start = raw.find(b"{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(raw[start:])
        return LogLine(_epoch_ms(fields["time"]), fields)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None


def _epoch_ms(text: str) -> int:
    moment = datetime.fromisoformat(text).replace(tzinfo=UTC)
    return round(moment.timestamp() * 1000)
