"""Tests of the exit codes and the output of the operator command."""

import io
import unittest

import orjson
from returns.result import Failure, Success

from lagoonshelf_client.reporting import Reporter, exit_code_of
from lagoonshelf_core.errors import Effect, Fault, ResultCode


class ReportingTest(unittest.TestCase):
    """Output and exit codes that scripts depend on."""

    def test_exit_code_never_hides_work_that_may_have_run(self) -> None:
        """Guards against a script that treats an unknown outcome as "not run"."""
        for code in ResultCode:
            if code.effect is Effect.MAY_HAVE_RUN:
                self.assertEqual(exit_code_of(code), 4, code)
            elif code.effect is Effect.NOT_RUN:
                self.assertIn(exit_code_of(code), (2, 3), code)

    def test_fault_is_one_line_of_json_on_request(self) -> None:
        """Guards against output that scripts cannot read."""
        out = io.StringIO()
        reporter = Reporter(True, out, io.StringIO())
        reporter(Failure(Fault(ResultCode.QUEUE_FULL, "queue 'q' is full", 2000)))
        line = orjson.loads(out.getvalue())
        self.assertEqual((line["name"], line["effect"]), ("QUEUE_FULL", "not_run"))
        self.assertEqual((line["retry_after_ms"], reporter.exit_code), (2000, 3))

    def test_answer_with_a_failure_code_gives_its_exit_code(self) -> None:
        """Guards against exit code 0 for work that failed."""
        reporter = Reporter(True, io.StringIO(), io.StringIO())
        reporter(Success({"code": ResultCode.TASK_FAILED.number}))
        self.assertEqual(reporter.exit_code, 1)
