"""Tests of tasks that run in another partition than the home partition of their request."""

import signal

from lagoonshelf_core.routing import partition_of_request, partition_of_worker
from lagoonshelf_standins.cell import wait_until
from tests.support.base import CellTestCase
from tests.support.runs import Burst, count_starts, events

PARTITIONS = 4
PARTITION_WITHOUT_WORKERS = 0  # no stand-in worker hashes to this partition
MANY_TASKS = 30  # enough for all partitions that have workers, whichever daemons own them
PARTITION_WITH_ONE_WORKER = 1  # has one worker with 8 slots


class DelegationTest(CellTestCase):
    """Requests whose home partition has no free capacity."""

    def keys(self, home: int, count: int) -> list[str]:
        """Return unused request keys of a home partition."""
        found: list[str] = []
        while len(found) < count:
            self.key_number = getattr(self, "key_number", 0) + 1
            if partition_of_request("fitting", f"k{self.key_number}", PARTITIONS) == home:
                found.append(f"k{self.key_number}")
        return found

    def owner_of(self, partition: int) -> str:
        for name in self.cell.daemons:
            if str(partition) in self.cell.state(name)["partitions"]:
                return name
        raise AssertionError(f"partition {partition} has no owner")

    def partitions_used(self) -> set[int]:
        workers = {e["worker"] for e in events(self.cell) if e["event"] == "start"}
        return {partition_of_worker(worker, PARTITIONS) for worker in workers}

    def wait_started(self, count: int) -> None:
        wait_until(lambda: len(count_starts(self.cell)) >= count, f"{count} started")

    def send(self, api_daemon: str, home: int, count: int, **fields: object) -> Burst:
        return Burst(self.cell, [api_daemon], self.keys(home, count), **fields)

    def assert_each_ran_once(self, count: int) -> None:
        runs = count_starts(self.cell)
        self.assertEqual((len(runs), set(runs.values())), (count, {1}), runs)

    def test_full_home_partition(self) -> None:
        """Guards against waiting for a full partition while others have free capacity."""
        first = self.send("d1", PARTITION_WITH_ONE_WORKER, 8, run_ms=8000)
        self.wait_started(8)
        second = self.send("d2", PARTITION_WITH_ONE_WORKER, 5, run_ms=50)
        self.assertEqual(second.codes(), {"OK": 5})
        self.assertEqual(first.codes(), {"OK": 8})
        self.assertGreater(len(self.partitions_used()), 1)
        self.assert_each_ran_once(13)

    def test_other_owner_killed(self) -> None:
        """Guards against running a delegated task twice when the owner that runs it dies."""
        api_daemon = self.owner_of(PARTITION_WITHOUT_WORKERS)
        non_repeatable = self.send(
            api_daemon, PARTITION_WITHOUT_WORKERS, MANY_TASKS // 2, run_ms=6000, repeatable=False
        )
        repeatable = self.send(api_daemon, PARTITION_WITHOUT_WORKERS, MANY_TASKS // 2, run_ms=6000)
        self.wait_started(MANY_TASKS)
        others = {self.owner_of(p) for p in self.partitions_used()} - {api_daemon}
        self.cell.kill(others.pop())
        self.assertEqual(non_repeatable.codes(), {"OK": MANY_TASKS // 2})
        self.assertEqual(repeatable.codes(), {"OK": MANY_TASKS // 2})
        self.assert_each_ran_once(MANY_TASKS)

    def test_other_owner_paused(self) -> None:
        """Guards against two active owners of a partition.

        The owner that runs delegated tasks is paused until it has a successor, and then resumes.
        """
        api_daemon = self.owner_of(PARTITION_WITHOUT_WORKERS)
        burst = self.send(
            api_daemon, PARTITION_WITHOUT_WORKERS, MANY_TASKS, run_ms=7000, repeatable=False
        )
        self.wait_started(MANY_TASKS)
        others = {self.owner_of(p) for p in self.partitions_used()} - {api_daemon}
        paused = self.cell.daemons.pop(others.pop())
        paused.signal(signal.SIGSTOP)
        try:
            self.cell.wait_for_owners()
        finally:
            self.cell.daemons[paused.name] = paused
            paused.signal(signal.SIGCONT)
        self.assertEqual(burst.codes(), {"OK": MANY_TASKS})
        self.assert_each_ran_once(MANY_TASKS)

    def test_home_owner_killed(self) -> None:
        """Guards against running tasks twice.

        The home owner dies, and its successor must learn what runs in other partitions.
        """
        home = self.owner_of(PARTITION_WITHOUT_WORKERS)
        api_daemon = next(name for name in self.cell.daemons if name != home)
        burst = self.send(api_daemon, PARTITION_WITHOUT_WORKERS, 4, run_ms=6000, repeatable=False)
        self.wait_started(4)
        self.cell.kill(home)
        self.assertEqual(burst.codes(), {"OK": 4})
        self.assert_each_ran_once(4)

    def test_adopted_task_that_must_run_again(self) -> None:
        """Guards against restarting a task without its payload.

        The successor of the home owner adopts the run, but workers do not return payloads.
        """
        home = self.owner_of(PARTITION_WITHOUT_WORKERS)
        api_daemon = next(name for name in self.cell.daemons if name != home)
        burst = self.send(api_daemon, PARTITION_WITHOUT_WORKERS, 2, run_ms=8000, payload="scalp")
        self.wait_started(2)
        self.cell.kill(home)
        self.cell.wait_for_owners()
        self.cell.control_workers(reboot=True)
        self.assertEqual(burst.codes(), {"OK": 2})
        self.assertEqual(burst.results(), {"done:scalp"})

    def test_home_and_other_owner_killed_together(self) -> None:
        """Guards against a successor that places tasks before it has read the other partition."""
        home = self.owner_of(PARTITION_WITHOUT_WORKERS)
        api_daemon = next(name for name in self.cell.daemons if name != home)
        burst = self.send(api_daemon, PARTITION_WITHOUT_WORKERS, 6, run_ms=9000, repeatable=False)
        self.wait_started(6)
        for name in {home, *map(self.owner_of, self.partitions_used())} - {api_daemon}:
            self.cell.kill(name)
        self.assertEqual(burst.codes(), {"OK": 6})
        self.assert_each_ran_once(6)

    def test_lost_answers_of_workers_and_store(self) -> None:
        """Guards against starting a task twice when answers of workers and the store are lost."""
        self.cell.control_workers(set={"lose_start_answers": True})
        self.cell.control_store(mode="lose_answers")
        burst = self.send("d1", PARTITION_WITHOUT_WORKERS, 5, run_ms=300, repeatable=False)
        self.wait_started(5)
        self.cell.control_store(mode="up")
        self.cell.control_workers(set={"lose_start_answers": False})
        self.assertEqual(burst.codes(), {"OK": 5})
        self.assert_each_ran_once(5)

    def test_cancelled_while_delegated(self) -> None:
        """Guards against a delegated task that keeps running after its request is cancelled."""
        burst = self.send("d1", PARTITION_WITHOUT_WORKERS, 1, run_ms=30_000)
        self.wait_started(1)
        key = next(iter(count_starts(self.cell)))
        url = f"{self.cell.daemons['d2'].url}/v1/requests/{key}"
        self.cell.call(url, team="fitting", method="DELETE")
        self.assertEqual(burst.codes(), {"CANCELLED_RUNNING": 1})
        self.assertEqual(events(self.cell)[-1]["state"], "stopped")
