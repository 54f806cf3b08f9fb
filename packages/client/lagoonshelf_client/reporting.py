"""Printing of results and the exit codes of ``lagoonshelf``."""

import sys
from typing import TextIO

import orjson
from returns.result import Failure, Result

from lagoonshelf_core.errors import CODES_BY_NUMBER, Effect, Fault, ResultCode

EXIT_OK = 0
EXIT_RAN_AND_FAILED = 1
EXIT_USAGE_ERROR = 2
EXIT_NOT_RUN = 3
EXIT_MAY_HAVE_RUN = 4
FIRST_NON_USAGE_CODE = 200


class Reporter:
    """Printer of results; ``exit_code`` is the process exit code for the last one."""

    def __init__(self, as_json: bool, out: TextIO = sys.stdout, err: TextIO = sys.stderr) -> None:
        """Create a reporter.

        :param as_json: whether to print one line of JSON instead of text
        """
        self.exit_code = EXIT_OK
        self._as_json = as_json
        self._out = out
        self._err = err

    def __call__(self, result: Result) -> None:
        """Print a result."""
        if isinstance(result, Failure):
            self._print_fault(result.failure())
            return
        answer = result.unwrap()
        option = 0 if self._as_json else orjson.OPT_INDENT_2
        print(orjson.dumps(answer, option=option).decode(), file=self._out)
        code = CODES_BY_NUMBER.get(answer.get("code", 0)) if isinstance(answer, dict) else None
        self.exit_code = exit_code_of(code or ResultCode.DONE)

    def _print_fault(self, fault: Fault) -> None:
        self.exit_code = exit_code_of(fault.code)
        if self._as_json:
            body = {
                "code": fault.code.number,
                "name": fault.code.name,
                "effect": fault.code.effect.value,
                "message": fault.message,
                "retry_after_ms": fault.retry_after_ms,
            }
            print(orjson.dumps(body).decode(), file=self._out)
            return
        effect = fault.code.effect.value.replace("_", " ")
        line = f"{fault.code.name} ({fault.code.number}), {effect}: {fault.message}"
        print(line, file=self._err)


def exit_code_of(code: ResultCode) -> int:
    """Return the process exit code for a result code."""
    if code in (ResultCode.OK, ResultCode.ACCEPTED, ResultCode.DONE):
        return EXIT_OK
    if code.number < FIRST_NON_USAGE_CODE:
        return EXIT_USAGE_ERROR
    return {
        Effect.RAN: EXIT_RAN_AND_FAILED,
        Effect.MAY_HAVE_RUN: EXIT_MAY_HAVE_RUN,
    }.get(code.effect, EXIT_NOT_RUN)
