"""Counts of executed lines: a cost that does not depend on the machine or its load."""

import sys
from collections.abc import Callable
from types import FrameType


def count_lines(call: Callable[[], object]) -> int:
    """Return how many lines of Python a call executes."""
    count = 0

    def trace(frame: FrameType, event: str, arg: object) -> object:
        nonlocal count
        count += event == "line"
        return trace

    former = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(former)
    return count
