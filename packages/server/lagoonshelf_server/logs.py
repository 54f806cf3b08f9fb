"""Logging as JSON lines."""

import os
import sys
import time
from collections import deque

import orjson
from logbook import Handler, Logger, LogRecord, StreamHandler

MAX_FIELD_CHARS = 300
# Token bucket of one process: sustained rate and burst size. Warnings and errors are not
# counted, since they are few and must be the last to be dropped.
LINES_PER_S = 300.0
BURST_LINES = 1_500.0
# Bytes that are buffered while nobody reads the stream.
MAX_PENDING_BYTES = 512 * 1024
# Lines of which a busy leader has hundreds per second; they leave this many tokens to the others.
ROUTINE_MESSAGES = frozenset({"tasks placed", "tasks done", "advised", "runs adopted"})
TOKENS_KEPT = 500.0
# Interval of the lines that tell how many were left out.
LEFT_OUT_INTERVAL_S = 1.0
WARNING_LEVELS = ("warning", "error", "critical")


def line_fields(record: LogRecord) -> dict[str, object]:
    """Return the fields of a log line."""
    line = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "logger": record.channel,
        "message": record.message,
        **{name: _truncate(value) for name, value in record.kwargs.items()},
    }
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return line


def json_line(record: LogRecord, handler: Handler) -> str:
    """Format a log record as one JSON object.

    :param handler: unused; required by logbook
    """
    del handler
    return orjson.dumps(line_fields(record), default=str).decode()


def configure_logging(level: str, member: str) -> None:
    """Write all log records of the process to standard error.

    :param level: minimum level
    :param member: name of the process, added to each line
    """
    handler = StreamHandler(sys.stderr, level=level)
    handler.formatter = lambda record, h: _add_member(json_line(record, h), member)
    handler.push_application()


class BoundedHandler(Handler):
    """Handler that writes lines without blocking and drops lines beyond its limits.

    The rate and the buffered bytes are limited.
    """

    def __init__(self, fd: int, level: str, member: str) -> None:
        """Create the handler.

        :param fd: file descriptor to write to; it is made non-blocking
        :param member: name of the process, added to each line
        """
        super().__init__(level=level)
        os.set_blocking(fd, False)
        self._fd = fd
        self._member = member
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._told_at = -LEFT_OUT_INTERVAL_S
        self.dropped_lines = 0

    def emit(self, record: LogRecord) -> None:
        """Write a record, buffer it, or drop it."""
        if not self._is_allowed(record):
            self.dropped_lines += 1
            return
        self._tell_left_out(record)
        self._add(line_fields(record))
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts."""
        while self._pending:
            data = self._pending[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(data):
                self._pending[0] = data[written:]
                return
            self._pending.popleft()

    def _tell_left_out(self, record: LogRecord) -> None:
        """Write how many lines were left out before a record, once in the interval."""
        now = time.monotonic()
        is_due = now - self._told_at >= LEFT_OUT_INTERVAL_S
        if self.dropped_lines and not self._pending and is_due:
            count, self.dropped_lines, self._told_at = self.dropped_lines, 0, now
            at = record.time.isoformat(timespec="milliseconds")
            line = {"time": at, "level": "warning", "message": "lines left out", "count": count}
            self._add(line)

    def _is_allowed(self, record: LogRecord) -> bool:
        if self._pending_bytes > MAX_PENDING_BYTES:
            return False
        if record.level_name.lower() in WARNING_LEVELS:
            return True
        now = time.monotonic()
        gained = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._refilled_at = now
        kept = TOKENS_KEPT if record.message in ROUTINE_MESSAGES else 0.0
        if self._tokens < 1.0 + kept:
            return False
        self._tokens -= 1.0
        return True

    def _add(self, fields: dict[str, object]) -> None:
        data = orjson.dumps({"member": self._member, **fields}, default=str) + b"\n"
        self._pending.append(data)
        self._pending_bytes += len(data)


def configure_bounded_logging(level: str, member: str) -> BoundedHandler:
    """Write all log records to standard output through a :class:`BoundedHandler`."""
    handler = BoundedHandler(sys.stdout.fileno(), level, member)
    handler.push_application()
    return handler


def logger(name: str) -> Logger:
    """Return the logger of a module.

    :param name: short name of the module
    """
    return Logger(name)


def _add_member(line: str, member: str) -> str:
    return orjson.dumps({"member": member, **orjson.loads(line)}).decode()


def _truncate(value: object) -> object:
    if isinstance(value, str) and len(value) > MAX_FIELD_CHARS:
        return value[:MAX_FIELD_CHARS] + "..."
    return value
