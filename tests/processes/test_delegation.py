"""Tasks that run in another partition than that of their request."""

import signal

from lagoonshelf_core.routing import partition_of_request, partition_of_worker
from lagoonshelf_standins.cell import wait_until
from tests.support.base import CellTestCase
from tests.support.runs import Burst, count_starts, events

PARTITIONS = 4
PARTITION_WITHOUT_WORKERS = 0  # no stand-in worker hashes to this partition
MANY_TASKS = 30  # enough to use all partitions that have workers, whoever owns them
PARTITION_WITH_ONE_WORKER = 1  # holds one worker with 8 slots


class DelegationTest(CellTestCase):
    """Requests whose home partition has no room."""

    def keys(self, home: int, count: int) -> list[str]:
        """Return new request keys that belong to a partition."""
        found: list[str] = []
        while len(found) < count:
            self.tried = getattr(self, "tried", 0) + 1
            if partition_of_request("fitting", f"k{self.tried}", PARTITIONS) == home:
                found.append(f"k{self.tried}")
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

    def send(self, entry: str, home: int, count: int, **fields: object) -> Burst:
        return Burst(self.cell, [entry], self.keys(home, count), **fields)

    def assert_each_ran_once(self, count: int) -> None:
        runs = count_starts(self.cell)
        self.assertEqual((len(runs), set(runs.values())), (count, {1}), runs)

    def test_full_home_partition(self) -> None:
        """Guards against waiting for a full partition while others have room."""
        filling = self.send("d1", PARTITION_WITH_ONE_WORKER, 8, run_ms=8000)
        self.wait_started(8)
        more = self.send("d2", PARTITION_WITH_ONE_WORKER, 5, run_ms=50)
        self.assertEqual(more.codes(), {"OK": 5})
        self.assertEqual(filling.codes(), {"OK": 8})
        self.assertGreater(len(self.partitions_used()), 1)
        self.assert_each_ran_once(13)

    def test_other_owner_killed(self) -> None:
        """Guards against a second run when the owner that runs a delegated task dies."""
        entry = self.owner_of(PARTITION_WITHOUT_WORKERS)
        holds = self.send(
            entry, PARTITION_WITHOUT_WORKERS, MANY_TASKS // 2, run_ms=6000, repeatable=False
        )
        maps = self.send(entry, PARTITION_WITHOUT_WORKERS, MANY_TASKS // 2, run_ms=6000)
        self.wait_started(MANY_TASKS)
        victims = {self.owner_of(p) for p in self.partitions_used()} - {entry}
        self.cell.kill(victims.pop())
        self.assertEqual(holds.codes(), {"OK": MANY_TASKS // 2})
        self.assertEqual(maps.codes(), {"OK": MANY_TASKS // 2})
        self.assert_each_ran_once(MANY_TASKS)

    def test_other_owner_paused(self) -> None:
        """Guards against an owner that goes on after a pause beside its successor."""
        entry = self.owner_of(PARTITION_WITHOUT_WORKERS)
        holds = self.send(
            entry, PARTITION_WITHOUT_WORKERS, MANY_TASKS, run_ms=7000, repeatable=False
        )
        self.wait_started(MANY_TASKS)
        victims = {self.owner_of(p) for p in self.partitions_used()} - {entry}
        paused = self.cell.daemons.pop(victims.pop())
        paused.signal(signal.SIGSTOP)
        try:
            self.cell.wait_owned()
        finally:
            self.cell.daemons[paused.name] = paused
            paused.signal(signal.SIGCONT)
        self.assertEqual(holds.codes(), {"OK": MANY_TASKS})
        self.assert_each_ran_once(MANY_TASKS)

    def test_home_owner_killed(self) -> None:
        """Guards against a successor that does not know what runs in other partitions."""
        home = self.owner_of(PARTITION_WITHOUT_WORKERS)
        entry = next(name for name in self.cell.daemons if name != home)
        holds = self.send(entry, PARTITION_WITHOUT_WORKERS, 4, run_ms=6000, repeatable=False)
        self.wait_started(4)
        self.cell.kill(home)
        self.assertEqual(holds.codes(), {"OK": 4})
        self.assert_each_ran_once(4)

    def test_adopted_task_that_must_run_again(self) -> None:
        """Guards against a second start without the payload, which no worker gives back."""
        home = self.owner_of(PARTITION_WITHOUT_WORKERS)
        entry = next(name for name in self.cell.daemons if name != home)
        burst = self.send(entry, PARTITION_WITHOUT_WORKERS, 2, run_ms=8000, payload="scalp")
        self.wait_started(2)
        self.cell.kill(home)
        self.cell.wait_owned()
        self.cell.control_workers(reboot=True)
        self.assertEqual(burst.codes(), {"OK": 2})
        self.assertEqual(burst.results(), {"done:scalp"})

    def test_home_and_other_owner_killed_together(self) -> None:
        """Guards against a successor that goes on before the other partition is read."""
        home = self.owner_of(PARTITION_WITHOUT_WORKERS)
        entry = next(name for name in self.cell.daemons if name != home)
        holds = self.send(entry, PARTITION_WITHOUT_WORKERS, 6, run_ms=9000, repeatable=False)
        self.wait_started(6)
        for victim in {home, *map(self.owner_of, self.partitions_used())} - {entry}:
            self.cell.kill(victim)
        self.assertEqual(holds.codes(), {"OK": 6})
        self.assert_each_ran_once(6)

    def test_lost_answers_of_workers_and_store(self) -> None:
        """Guards against a second start after a lost answer."""
        self.cell.control_workers(set={"lose_start_answers": True})
        self.cell.control_store(mode="lose_answers")
        holds = self.send("d1", PARTITION_WITHOUT_WORKERS, 5, run_ms=300, repeatable=False)
        self.wait_started(5)
        self.cell.control_store(mode="up")
        self.cell.control_workers(set={"lose_start_answers": False})
        self.assertEqual(holds.codes(), {"OK": 5})
        self.assert_each_ran_once(5)

    def test_cancelled_while_delegated(self) -> None:
        """Guards against a delegated task that goes on after its request was cancelled."""
        holds = self.send("d1", PARTITION_WITHOUT_WORKERS, 1, run_ms=30_000)
        self.wait_started(1)
        key = next(iter(count_starts(self.cell)))
        url = f"{self.cell.daemons['d2'].url}/v1/requests/{key}"
        self.cell.call(url, team="fitting", method="DELETE")
        self.assertEqual(holds.codes(), {"CANCELLED_RUNNING": 1})
        self.assertEqual(events(self.cell)[-1]["state"], "stopped")
