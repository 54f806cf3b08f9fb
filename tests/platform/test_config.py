"""End-to-end tests of when a change of the configuration is in force."""

import asyncio
import unittest

from tests.platform.standin.clients import request, submit
from tests.platform.standin.cluster import CONFIG_APPLY_MS, Cluster
from tests.platform.standin.http import ProxyMode
from tests.platform.test_whole_path import new_job

# The shortest bounds of the platform's sites: a change is in force this long after it was
# acknowledged, and a machine counts as undisturbed this long after a disturbance of its links.
APPLY_S = CONFIG_APPLY_MS / 1000
UNDISTURBED_AFTER_S = 3.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
# A small link, and a configuration that takes 1.4 s on it.
LINK_BYTES_PER_S = 400_000
LARGE_QUEUES = 3_000


class ConfigTest(unittest.IsolatedAsyncioTestCase):
    """A cluster of three processes whose connections to the store can be disturbed."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster(processes=3, executors=2, seed=1)
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.process = self.cluster.followers()[0]

    async def _get_status(self, queue: str) -> int:
        status, _ = await request(self.process.address, "GET", f"/{queue}/")
        return status

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
        self.assertEqual(await self._get_status("added"), HTTP_OK, self.cluster.logs())

    async def test_a_change_is_in_force_where_the_store_turns_one_process_away(self) -> None:
        """Guards against a process that answers by an old version, or refuses, in such an outage.

        The leader reads the new version, and the process reaches the leader.
        """
        self.process.store_proxy.mode = ProxyMode.RESET
        self.process.store_proxy.reset_connections()
        await asyncio.sleep(0.5)
        self.cluster.configure(0, ("added",))
        await asyncio.sleep(APPLY_S)
        self.assertEqual(await self._get_status("added"), HTTP_OK, self.cluster.logs())
        status = await submit(self.process.address, new_job(1, "added"), 1.0)
        self.assertEqual(status, HTTP_OK)

    async def test_no_old_version_is_used_in_an_outage_for_all(self) -> None:
        """Guards against answers by a version that may have been replaced, for a whole outage."""
        for process in self.cluster.processes:
            process.store_proxy.mode = ProxyMode.RESET
            process.store_proxy.reset_connections()
        self.cluster.configure(0, ("added",))
        await asyncio.sleep(APPLY_S)
        for queue in ("added", "batch"):
            self.assertEqual(await self._get_status(queue), HTTP_UNAVAILABLE, queue)
        for process in self.cluster.processes:
            process.store_proxy.mode = ProxyMode.OPEN
        async with asyncio.timeout(APPLY_S):
            while await self._get_status("added") != HTTP_OK:
                await asyncio.sleep(0.05)

    async def test_a_large_configuration_is_in_force_on_a_small_link(self) -> None:
        """Guards against a link that is filled by reads of a configuration that has not changed.

        Reads that took longer than their timeout were given up and repeated without an end.
        """
        proxy = self.process.store_proxy
        proxy.bytes_per_s = LINK_BYTES_PER_S
        names = tuple(f"q{number}" for number in range(LARGE_QUEUES))
        self.cluster.configure(0, names)
        async with asyncio.timeout(UNDISTURBED_AFTER_S):
            while await self._get_status(names[-1]) != HTTP_OK:
                await asyncio.sleep(0.05)
        await asyncio.sleep(UNDISTURBED_AFTER_S)
        proxy.response_bytes = 0
        await asyncio.sleep(UNDISTURBED_AFTER_S)
        self.assertLess(proxy.response_bytes, LINK_BYTES_PER_S * UNDISTURBED_AFTER_S / 4)
        self.assertEqual(await self._get_status(names[-1]), HTTP_OK)
