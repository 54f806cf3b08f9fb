"""Logs as JSON lines."""

import sys
from typing import TextIO

import orjson
from logbook import Handler, Logger, LogRecord, StreamHandler

MAX_FIELD_CHARS = 300


def json_line(record: LogRecord, handler: Handler) -> str:
    """Format a log record as one JSON object.

    :param handler: not used; required by logbook
    """
    del handler
    line = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "logger": record.channel,
        "message": record.message,
        **{name: _short(value) for name, value in record.kwargs.items()},
    }
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return orjson.dumps(line, default=str).decode()


def set_up_logs(level: str, member: str, stream: TextIO | None = None) -> None:
    """Send all log records of the process to one stream.

    :param level: least level
    :param member: name of the process, put into each line
    :param stream: standard error when none is given
    """
    handler = StreamHandler(stream or sys.stderr, level=level)
    handler.formatter = lambda record, h: _with_member(json_line(record, h), member)
    handler.push_application()


def logger(name: str) -> Logger:
    """Return the logger of a module.

    :param name: short name of the module
    """
    return Logger(name)


def _with_member(line: str, member: str) -> str:
    return orjson.dumps({"member": member, **orjson.loads(line)}).decode()


def _short(value: object) -> object:
    if isinstance(value, str) and len(value) > MAX_FIELD_CHARS:
        return value[:MAX_FIELD_CHARS] + "..."
    return value
