"""Tests of the past use that is read from metrics pages."""

import unittest

from urllib3.exceptions import HTTPError

from lagoonshelf_client.team_usage import UNKNOWN, find_usage
from lagoonshelf_core.ids import TeamId
from lagoonshelf_core.jobs.past_use import Standing
from lagoonshelf_server import metrics
from lagoonshelf_server.jobs.usage_store import publish


def read(url: str) -> str:
    """Return the metrics page of a leader or a follower."""
    if url == "gone":
        raise HTTPError("refused")
    use = {TeamId('a "b"'): Standing(3e9, 1.5e9, 30_000.0)} if url == "leader" else {}
    publish(use, is_known=url == "leader")
    return metrics.render_page()[0].decode()


class TeamUsageTest(unittest.TestCase):
    """Pages of a leader, a follower, and a process that does not answer."""

    def test_figures_are_those_of_the_leader(self) -> None:
        """Guards against figures of a process that does not lead, or zeros for unknown use."""
        found = find_usage(["gone", "follower", "leader"], read).unwrap()["usage"]
        figures = {"use_core_ms": 3e9, "entitlement_core_ms": 1.5e9, "penalty_ms": 30_000.0}
        self.assertEqual(found, {'a "b"': figures})
        self.assertEqual(find_usage(["gone", "follower"], read).unwrap()["usage"], UNKNOWN)
        self.assertIn("gone", find_usage(["gone"], read).failure().message)
