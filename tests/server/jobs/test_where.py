"""Tests of the question where a job would start, asked of a leader and of a member without one."""

from unittest.mock import patch

import orjson

from lagoonshelf_core.errors import LagoonshelfError
from lagoonshelf_core.ids import FailureDomain, MemberId
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.overload_admission import Refusal
from lagoonshelf_server.jobs import where
from lagoonshelf_server.jobs.heartbeats import NodeSettings
from lagoonshelf_server.jobs.leader import Ports
from lagoonshelf_server.jobs.node import Node
from tests.support.jobs import BATCH, TEAM
from tests.support.terms import TermTestCase

JOB = {"queue": BATCH, "team": TEAM, "steps": [{"count": 2}]}


class WhereTest(TermTestCase):
    """A member that asks its own leader, or knows of none."""

    options = SchedulerOptions(refuses_overload=True)

    async def test_a_leader_reports_and_a_member_without_one_says_so(self) -> None:
        """Guards against an answer without a leader, and a question that stores something."""
        ports = Ports(self.store, self.workers, self.codec)
        cfg = NodeSettings(MemberId("m1"), FailureDomain("d"), "127.0.0.1", 7000, 2_000)
        node = Node(cfg, ports, None, self.clock)
        bad = (b"\xff", b"[]", b'{"queue":1}', orjson.dumps({**JOB, "steps": [{"count": 1e9}]}))
        for question in bad:
            with self.assertRaisesRegex(LagoonshelfError, "BAD_REQUEST"):
                await node.where(question)
        with self.assertRaisesRegex(LagoonshelfError, "NO_OWNER"):
            await node.where(orjson.dumps(JOB))
        node._leader = await self._term("m1")
        node.config = node._leader.config_view
        commits = self.store.commits
        report = orjson.loads(await node.where(orjson.dumps(JOB)))
        self.assertEqual(report["steps"][0]["tasks_starting_now"], 2)
        self.assertEqual(self.store.commits, commits)
        self.assertLess(max(report["ages_ms"].values()), 60_000)
        self.assertIsNone(report["refused"])
        refusal = Refusal(7, None, None, 900, 0)
        with patch.object(where, "find_refusal", return_value=refusal):
            report = orjson.loads(await node.where(orjson.dumps(JOB)))
        self.assertIn("900 ms", report["refused"])
        memory = node._leader.cell.memory
        memory.held_bytes = memory.max_bytes
        report = orjson.loads(await node.where(orjson.dumps(JOB)))
        self.assertIn("no memory", report["refused"])
