"""Base class for tests that run a cell of separate processes."""

import unittest

from lagoonshelf_standins.cell import Cell, new_cell, sample_document

TASK_SIZE = {"cpu_milli": 1000, "memory_mib": 512}


class CellTestCase(unittest.TestCase):
    """Starts the stand-in platform and the daemons before each test and stops them after it."""

    workers = 6
    daemons = 3

    def setUp(self) -> None:
        """Start and configure a cell; wait until all partitions have owners and base grants."""
        self.cell: Cell = new_cell()
        self.addCleanup(self.cell.close)
        self.cell.start_platform(self.workers)
        for number in range(1, self.daemons + 1):
            self.cell.start_daemon(f"d{number}", number)
        self.cell.configure(self.document())
        self.cell.wait_healthy()
        self.cell.wait_for_owners()
        self.cell.wait_for_grants(self.current_document())

    def current_document(self) -> dict:
        """Return the configuration document that a daemon applies now."""
        url = next(iter(self.cell.daemons.values())).url
        return self.cell.call(url + "/v1/config", operator=True)["document"]

    def document(self) -> dict:
        """Return the configuration document that ``setUp`` applies."""
        return sample_document(self.cell)


def interactive_body(key: str, **fields: object) -> dict:
    """Return the body of an interactive request that runs for 20 ms.

    :param fields: members to add or replace
    """
    body = {
        "queue": "urgent",
        "request_key": key,
        "repeatable": True,
        "size": TASK_SIZE,
        "run_ms": 20,
        "payload": f"payload of {key}",
        "timeout_ms": 10_000,
    }
    return {**body, **fields}
