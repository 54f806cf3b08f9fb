"""Tests of listening sockets."""

import socket
import unittest

from lagoonshelf_core.errors import LagoonshelfError, ResultCode
from lagoonshelf_server.listeners import check_port, open_listener


class ListenerTest(unittest.TestCase):
    """A port that is in use, and one that is free."""

    def test_a_port_in_use_is_named_with_the_error_of_the_system(self) -> None:
        """Guards against a daemon that ends without a message as its port is in use."""
        with socket.create_server(("127.0.0.1", 0)) as sock:
            port = sock.getsockname()[1]
            for function in (check_port, open_listener):
                with (
                    self.subTest(function=function),
                    self.assertRaises(LagoonshelfError) as caught,
                ):
                    function("127.0.0.1", port)
                fault = caught.exception.fault
                self.assertEqual(fault.code, ResultCode.PORT_UNAVAILABLE)
                self.assertIn(f"127.0.0.1:{port}: [Errno 98]", fault.message)

    def test_a_checked_port_stays_free(self) -> None:
        """Guards against a check that takes the port from the server that it precedes."""
        with socket.create_server(("127.0.0.1", 0)) as sock:
            port = sock.getsockname()[1]
        check_port("127.0.0.1", port)
        open_listener("127.0.0.1", port).close()
