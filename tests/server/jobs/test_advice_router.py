"""Tests of the distribution of advice requests over members.

The load: wide steps whose requests take 550 ms each keep every member busy, while small urgent
steps arrive whose requests take 11 ms.
"""

import asyncio
import unittest

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import MemberId, WorkerId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import RequestAdvice
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_server.jobs.advice_router import AdviceRouter
from tests.support.jobs import config, make_job

LONG_MS, SHORT_MS = 550.0, 11.0
MEMBERS = 16


class AdviceLanesTest(unittest.IsolatedAsyncioTestCase):
    """Requests of 16 members."""

    def _router(self, **options: bool) -> AdviceRouter:
        self.cell = Cell(config(), SchedulerOptions(**options))
        router = AdviceRouter(self.cell, Clock(), lambda: None)
        self.calls: list[tuple[str, str]] = []
        for number in range(MEMBERS):
            name = MemberId(f"m{number}")
            router.record_heartbeat(name, lambda step, _, name=name: self._call(name, step))
        return router

    async def _call(self, member: str, step: str) -> dict[WorkerId, str]:
        self.calls.append((member, step))
        await asyncio.sleep(3600)
        return {}

    async def _request(self, router: AdviceRouter, cost_ms: float) -> None:
        step = self.cell.accept(make_job(), 0).steps[(0, 0)]
        command = RequestAdvice(step, (), cost_ms)
        task = asyncio.ensure_future(router.request(command))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def test_short_requests_wait_behind_no_long_one(self) -> None:
        """Guards against urgent steps that are late before they have a permit."""
        router = self._router(reserves_advice_lanes=True)
        for _ in range(2 * MEMBERS):
            await self._request(router, LONG_MS)
        busy = {member for member, _ in self.calls}
        await self._request(router, SHORT_MS)
        self.assertNotIn(self.calls[-1][0], busy)

    async def test_long_requests_use_no_time_of_the_short_lanes(self) -> None:
        """Guards against requests that are planned for members that do not carry them."""
        budget = self._router(reserves_advice_lanes=True).budget()
        while budget.allows(LONG_MS):
            budget.take(LONG_MS)
        self.assertTrue(budget.allows(SHORT_MS))
        self.assertGreaterEqual(budget.total_ms, 2 * 700.0)

    async def test_all_members_carry_long_requests_by_default(self) -> None:
        """Guards against lanes in a deployment that has not asked for them."""
        router = self._router()
        for _ in range(MEMBERS):
            await self._request(router, LONG_MS)
        self.assertEqual(len({member for member, _ in self.calls}), MEMBERS)
        self.assertIsNone(router.budget().long_ms)

    async def test_a_cell_of_few_members_has_no_lanes(self) -> None:
        """Guards against long requests that wait in a small cell for some of its few members."""
        router = self._router(reserves_advice_lanes=True)
        router._members.pop(MemberId("m0"))
        self.assertIsNone(router.budget().long_ms)
