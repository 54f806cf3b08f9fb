"""Tests of authorization by key and queue."""

import unittest

from lagoonshelf_core.authorization import authorize_work
from lagoonshelf_core.document import Document
from lagoonshelf_core.ids import KeyId, QueueId, TeamId
from lagoonshelf_core.keys import new_key


class AuthorizeWorkTest(unittest.TestCase):
    """Two teams, one of which has a queue of its own."""

    def test_each_rejection_has_its_code(self) -> None:
        """Guards against work that is accepted because another member let it pass (I3, I4)."""
        team = {"limit_tasks": 1, "limit_cpu_milli": 1}
        keys = {f"key-{name}": new_key(KeyId(name), TeamId(name))[1] for name in ("a", "b")}
        document = Document.model_validate(
            {
                "teams": {"a": team, "b": team},
                "keys": keys,
                "queues": {"open": {}, "only-a": {"team": "a"}},
            }
        )
        cases = {
            ("a", "key-a", "only-a"): "",
            ("b", "key-b", "open"): "",
            ("a", "withdrawn", "open"): "KEY_INVALID",
            ("b", "key-a", "open"): "TEAM_FORBIDDEN",
            ("b", "key-b", "only-a"): "TEAM_FORBIDDEN",
            ("a", "key-a", "missing"): "BAD_REQUEST",
        }
        for (team_id, key, queue), expected in cases.items():
            result = authorize_work(document, TeamId(team_id), KeyId(key), QueueId(queue))
            found = result.swap().value_or(None)
            self.assertEqual(found.code.name if found else "", expected, (team_id, key, queue))
