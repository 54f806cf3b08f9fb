"""Tests of the counters and log lines of refusals."""

import unittest
from unittest.mock import patch

from logbook import TestHandler

from lagoonshelf_server import refusals
from lagoonshelf_server.refusals import Reason, RefusalLog


class RefusalLogTest(unittest.TestCase):
    """A crowd of clients that are refused for two reasons."""

    def test_each_event_is_counted_and_few_are_logged(self) -> None:
        """Guards against logs that a crowd fills, and events that appear nowhere."""
        log = RefusalLog("test")
        with TestHandler() as handler, patch.object(refusals.time, "monotonic") as now:
            for now_s in (10.0, 10.2, 10.9, 11.1):
                now.return_value = now_s
                log.refuse(Reason.MALFORMED)
                log.close(Reason.IDLE)
        self.assertEqual(
            [(record.kwargs["reason"], record.kwargs["count"]) for record in handler.records],
            [("malformed request", 1), ("idle", 1), ("malformed request", 3), ("idle", 3)],
        )
        labels = {"port": "test", "reason": Reason.MALFORMED.value}
        self.assertEqual(refusals.refused.get(labels), 4)
