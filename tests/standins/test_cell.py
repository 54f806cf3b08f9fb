"""Tests of the cell of processes that the demo and the tests start."""

import os
import socket
import unittest
from unittest.mock import patch

from lagoonshelf_standins.cell import new_cell


class EndedProcessTest(unittest.TestCase):
    """A process that ends while the cell waits for it."""

    def setUp(self) -> None:
        self.cell = new_cell()
        self.addCleanup(self.cell.close)

    def test_a_daemon_that_cannot_open_its_port_is_named(self) -> None:
        """Guards against an empty log and "not within 30.0 s: d1 healthy"."""
        with socket.create_server(("127.0.0.2", 0)) as sock:
            flags = {"http_port": sock.getsockname()[1], "store_url": "http://127.0.0.1:9"}
            daemon = self.cell.start_daemon("d1", 1, **flags)
            with self.assertRaisesRegex(ChildProcessError, "PORT_UNAVAILABLE.*127.0.0.2"):
                self.cell.wait_healthy()
        self.assertEqual(daemon.process.returncode, 4)

    def test_a_stand_in_that_ends_is_named(self) -> None:
        """Guards against "not within 30.0 s: store" in place of the error of the store."""
        with (
            patch.dict(os.environ, {"PYTHONHOME": os.devnull}),
            self.assertRaisesRegex(ChildProcessError, "store ended with exit code 1"),
        ):
            self.cell.start_platform()
