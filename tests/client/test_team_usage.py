"""Tests of the past use that is read from metrics pages."""

import unittest

from urllib3.exceptions import HTTPError

from lagoonshelf_client.team_usage import UNKNOWN, find_usage
from lagoonshelf_core.ids import TeamId
from lagoonshelf_core.jobs.past_use import Standing
from lagoonshelf_server import metrics
from lagoonshelf_server.jobs.usage_store import publish


class TeamUsageTest(unittest.TestCase):
    """Pages of a leader, a follower, and a process that does not answer."""

    def read(self, url: str) -> str:
        if url == "leader":
            publish({TeamId('a "b"'): Standing(3e9, 1.5e9, 30_000.0)}, is_known=True)
        elif url == "follower":
            publish({}, is_known=False)
        else:
            raise HTTPError("refused")
        return metrics.render_page()[0].decode()

    def test_figures_are_those_of_the_leader(self) -> None:
        """Guards against figures of a process that does not lead, or zeros for unknown use."""
        found = find_usage(["gone", "follower", "leader"], self.read).unwrap()["usage"]
        figures = {"use_core_ms": 3e9, "entitlement_core_ms": 1.5e9, "penalty_ms": 30_000.0}
        self.assertEqual(found, {'a "b"': figures})
        found = find_usage(["gone", "follower"], self.read).unwrap()
        self.assertEqual(found["usage"], UNKNOWN)
        self.assertIn("gone", find_usage(["gone"], self.read).failure().message)
