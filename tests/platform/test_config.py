"""End-to-end tests of when a change of the configuration is in force."""

import asyncio
import unittest

from tests.platform.standin.clients import request, submit
from tests.platform.standin.cluster import Cluster
from tests.platform.test_whole_path import new_job

# The shortest bounds of the platform's sites: a change is in force this long after it was
# acknowledged, and a machine counts as undisturbed this long after a disturbance of its links.
APPLY_S = 2.0
UNDISTURBED_AFTER_S = 3.0
HTTP_OK = 200


class ConfigTest(unittest.IsolatedAsyncioTestCase):
    """A cluster of three processes whose connections to the store can be disturbed."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster(processes=3, executors=2, seed=1)
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.process = self.cluster.processes[2]

    async def _serves(self, queue: str) -> bool:
        status, _ = await request(self.process.address, "GET", f"/{queue}/")
        return status == HTTP_OK

    async def test_a_change_is_in_force_after_all_connections_went_silent(self) -> None:
        """Guards against an old configuration after open connections to the store went silent.

        Calls took one silent connection after the other from the pool, each until its timeout.
        """
        jobs = [new_job(number) for number in range(20)]
        statuses = await asyncio.gather(*(submit(self.process.address, job, 1.0) for job in jobs))
        self.assertEqual(statuses, [HTTP_OK] * len(jobs))
        self.process.store_proxy.silence_connections()
        self.cluster.configure(0, ("added",))
        await asyncio.sleep(max(APPLY_S, UNDISTURBED_AFTER_S))
        self.assertTrue(await self._serves("added"), self.cluster.logs())
