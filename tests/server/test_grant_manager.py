"""Tests of the grant manager against an in-memory store with faults."""

import asyncio
import unittest

from lagoonshelf_core.clock import ManualClock
from lagoonshelf_core.grants import Amount, KnownLimit, decode_grants
from lagoonshelf_core.model import Task, TaskState, WorkClass, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.grant_manager import GrantHooks, GrantManager
from lagoonshelf_server.messages import GrantAsk
from lagoonshelf_server.store import Item, StoreError

CPU = 100
KEY = "grants/fitting"


class FakeStore:
    """A store in memory.

    Reads return before any write of the same cycle, so that writers race.

    :param fault: none, "lose" (write done, answer lost), "drop" (write delayed) or "down"
    :param delayed_writes: dropped writes, which a test may apply later
    """

    def __init__(self) -> None:
        self.values: dict[str, tuple[str, int]] = {}
        self.fault = ""
        self.writes = 0
        self.delayed_writes: list[tuple[str, str, int]] = []

    async def get(self, key: str) -> Item:
        self._raise_if_down()
        item = Item(key, *self.values.get(key, (None, 0)))
        await asyncio.sleep(0)
        return item

    async def list_keys(self, prefix: str) -> tuple[list[Item], int]:
        self._raise_if_down()
        return [Item(k, *v) for k, v in self.values.items() if k.startswith(prefix)], 0

    async def cas(self, key: str, value: str, version: int) -> bool:
        self._raise_if_down()
        if self.fault == "drop":
            self.delayed_writes.append((key, value, version))
            raise StoreError("not written")
        done = self.put(key, value, version)
        if self.fault == "lose":
            raise StoreError("answer lost")
        return done

    def put(self, key: str, value: str, version: int) -> bool:
        if self.values.get(key, (None, 0))[1] != version:
            return False
        self.values[key] = (value, version + 1)
        self.writes += 1
        return True

    def grants(self) -> dict[int, int]:
        doc = decode_grants(self.values.get(KEY, (None, 0))[0])
        return {p: e.amount.tasks for p, e in doc.entries.items() if e.amount.tasks}

    def _raise_if_down(self) -> None:
        if self.fault == "down":
            raise StoreError("down")


BASE_GRANT = 2  # half of an equal share of 16 tasks in 4 partitions


class FakePartition:
    """A grant manager with the tasks of its partition."""

    def __init__(self, test: "GrantManagerTest", number: int, epoch: int = 1) -> None:
        self.test, self.number, self.epoch = test, number, epoch
        self.tasks: dict[str, Task] = {}
        self.inventory_known = True
        self.stops: list = []
        hooks = GrantHooks(
            limit_of=lambda team: test.known if team == "fitting" else None,
            teams=lambda: ["fitting"],
            may_act=lambda: True,
            is_inventory_known=lambda: self.inventory_known,
            tasks=lambda: list(self.tasks.values()),
            request_grant=self._request_grant,
            stop=self._stop,
            request_pass=lambda: None,
            spawn=test.spawn,
        )
        self.manager = GrantManager(number, 4, test.clock, test.store, hooks)

    async def _request_grant(self, partition: int, request: GrantAsk) -> None:
        if partition in self.test.partitions:
            self.test.partitions[partition].manager.on_grant_request(request)

    async def _stop(self, stops: list) -> None:
        self.stops += stops

    def add(self, name: str, **fields: object) -> Task:
        task = Task(
            name, "fitting", "q", name, WorkKind.BATCH, WorkClass.NORMAL, True,
            Resources(CPU, 1, 0, 1), 0, 0, 0, self.number, self.epoch,
        )  # fmt: skip
        for field, value in fields.items():
            setattr(task, field, value)
        self.tasks[name] = task
        return task

    def run_pass(self) -> int:
        """Run one scheduling pass; return how many tasks run afterwards."""
        self.manager.begin_pass()
        for task in self.tasks.values():
            if task.worker is None and self.manager.may_start(task):
                task.worker, task.state = "w", TaskState.RUNNING
        return self.running

    @property
    def running(self) -> int:
        return sum(task.worker is not None for task in self.tasks.values())


class GrantManagerTest(unittest.IsolatedAsyncioTestCase):
    """Raising, returning and requesting grants, lost answers and lowered limits."""

    async def asyncSetUp(self) -> None:
        self.clock, self.store = ManualClock(1000), FakeStore()
        self.known = KnownLimit(Amount(16, 16 * CPU), 1)
        self.spawned: list[asyncio.Task] = []
        self.partitions: dict[int, FakePartition] = {}

    def spawn(self, coro) -> None:
        self.spawned.append(asyncio.ensure_future(coro))

    async def add_partition(self, number: int, epoch: int = 1, tasks: int = 0) -> FakePartition:
        part = self.partitions[number] = FakePartition(self, number, epoch)
        await part.manager.load(epoch)
        for index in range(tasks):
            part.add(f"t{number}.{index}")
        return part

    async def run_cycle(self, seconds: float = 1.1, watch: bool = True) -> None:
        """Run a pass and a tick, finish all calls, notify the watches, and advance the clock."""
        for part in self.partitions.values():
            part.run_pass()
            await part.manager.tick()
        while self.spawned:
            await self.spawned.pop()
        if watch and self.store.fault != "down" and KEY in self.store.values:
            for part in self.partitions.values():
                part.manager.apply("fitting", self.store.values[KEY][0])
        self.clock.advance(int(seconds * 1000))

    def total_running(self) -> int:
        return sum(part.running for part in self.partitions.values())

    async def run_cycles(self, count: int, limit: int = 16) -> None:
        for _ in range(count):
            await self.run_cycle()
            self.assertLessEqual(self.total_running(), limit)

    async def test_burst_in_all_partitions_stays_within_the_limit(self) -> None:
        """Guards against grants that exceed the limit in total, or leave part of it unused."""
        for number in range(4):
            await self.add_partition(number, tasks=20)
        await self.run_cycles(6)
        self.assertEqual(self.total_running(), 16)
        self.assertLessEqual(self.store.writes, 6 * 4)

    async def test_one_write_per_second(self) -> None:
        """Guards against one store write per started task."""
        part = await self.add_partition(0, tasks=16)
        for _ in range(10):
            await self.run_cycle(seconds=0.09)
            part.add(f"more{self.clock.now_ms()}")
        self.assertEqual(self.store.writes, 1)

    async def test_raise_with_lost_answer_counts_after_it_is_read(self) -> None:
        """Guards against counting a grant twice or never when the answer to its write is lost."""
        part = await self.add_partition(0, tasks=2)
        self.store.fault = "lose"
        await self.run_cycle(watch=False)
        self.assertEqual(part.run_pass(), 0)
        self.store.fault = ""
        await self.run_cycles(2)
        self.assertEqual((part.running, self.store.grants(), self.store.writes), (2, {0: 2}, 1))

    async def test_delayed_write_cannot_take_effect_after_a_later_one(self) -> None:
        """Guards against repeating a write with a new token while the first one is in flight."""
        part = await self.add_partition(0, tasks=2)
        self.store.fault = "drop"
        await self.run_cycle()
        self.store.fault = ""
        await self.run_cycles(2)
        self.assertFalse(self.store.put(*self.store.delayed_writes[0]))
        self.assertEqual((part.running, self.store.grants()), (2, {0: 2}))

    async def test_lower_value_counts_while_outcome_of_a_reduction_is_unknown(self) -> None:
        """Guards against starts on a grant that another owner may already have.

        A reduction whose answer was lost may have taken effect.
        """
        part = await self.add_partition(0, tasks=4)
        await self.run_cycles(2)
        part.tasks.clear()
        await self.run_cycles(5)
        self.store.fault = "lose"
        await self.run_cycle(watch=False)
        for index in range(4):
            part.add(f"late{index}")
        self.assertEqual(part.run_pass(), BASE_GRANT)

    async def test_racing_writers_never_exceed_the_limit(self) -> None:
        """Guards against a write based on an outdated copy of the document."""
        first = await self.add_partition(0, tasks=16)
        second = await self.add_partition(1, tasks=16)

        await self.run_cycles(4)
        self.assertEqual(sum(self.store.grants().values()), 16)
        self.assertEqual(first.running + second.running, 16)

    async def test_idle_grant_is_returned(self) -> None:
        """Guards against grant that stays with a partition that no longer needs it."""
        first = await self.add_partition(0, tasks=16)
        await self.run_cycles(3)
        first.tasks.clear()
        await self.run_cycles(6)
        self.assertEqual(self.store.grants(), {0: BASE_GRANT})

    async def test_partition_without_work_can_start_some_in_an_outage(self) -> None:
        """Guards against an idle partition that can start nothing once the store is down."""
        part = await self.add_partition(0)
        await self.run_cycles(2)
        self.store.fault = "down"
        for index in range(4):
            part.add(f"late{index}")
        await self.run_cycles(2)
        self.assertEqual(part.running, BASE_GRANT)

    async def test_request_moves_grant_at_once(self) -> None:
        """Guards against holding grant for the idle time while another owner lacks it."""
        first = await self.add_partition(0, tasks=16)
        await self.run_cycles(3)
        first.tasks.clear()
        second = await self.add_partition(1, tasks=3)
        for _ in range(6):
            await self.run_cycle(seconds=0.3)
        self.assertEqual(second.running, 3)

    async def test_busy_owner_does_not_starve_another(self) -> None:
        """Guards against a partition that reuses its whole grant forever while another waits."""
        first = await self.add_partition(0, tasks=40)
        await self.run_cycles(3)
        second = await self.add_partition(1, tasks=4)
        for _ in range(6):
            for name in [t.task for t in first.tasks.values() if t.worker][:8]:
                del first.tasks[name]
            await self.run_cycles(1)
        self.assertGreater(second.running, 0)

    async def test_grants_stay_unchanged_and_usable_in_an_outage(self) -> None:
        """Guards against starts beyond the grant, or none at all, while the store is down."""
        part = await self.add_partition(0, tasks=2)
        await self.run_cycles(2)
        part.tasks.clear()
        self.store.fault = "down"
        for index in range(6):
            part.add(f"out{index}")
        await self.run_cycles(8)
        self.assertEqual((part.running, self.store.grants()), (2, {0: 2}))

    async def test_successor_claims_the_grant_and_counts_adopted_tasks(self) -> None:
        """Guards against a successor that does not count adopted tasks against its grant."""
        old = await self.add_partition(0, tasks=16)
        await self.run_cycles(3)
        new = await self.add_partition(0, epoch=2, tasks=20)
        new.tasks.update(dict(list(old.tasks.items())[:10]))
        self.assertEqual(new.run_pass(), 10)
        await self.run_cycles(3)
        self.assertEqual(new.running, 16)

    async def test_nothing_starts_before_all_workers_are_read(self) -> None:
        """Guards against a successor that misses running tasks of workers it has not read."""
        await self.add_partition(0, tasks=16)
        await self.run_cycles(3)
        new = await self.add_partition(0, epoch=2, tasks=20)
        new.inventory_known = False
        await self.run_cycles(3, limit=0)
        new.inventory_known = True
        await self.run_cycles(1)
        self.assertEqual(new.running, 16)

    async def test_delayed_write_cannot_lower_the_successors_grant(self) -> None:
        """Guards against a delayed reduction by the predecessor that takes effect too late.

        The successor already counts the grant by then.
        """
        old = await self.add_partition(0, tasks=4)
        await self.run_cycles(2)
        old.tasks.clear()
        await self.run_cycles(5)
        self.store.fault = "drop"
        await self.run_cycle()
        self.store.fault = ""
        self.assertTrue(self.store.delayed_writes)
        await self.add_partition(0, epoch=2, tasks=4)
        await self.run_cycles(1)
        self.assertFalse(self.store.put(*self.store.delayed_writes[-1]))

    async def test_lowered_limit_stops_only_repeatable_work(self) -> None:
        """Guards against work above a lowered limit, and stops of non-repeatable tasks."""
        part = await self.add_partition(0, tasks=16)
        for name in ("t0.14", "t0.15"):
            part.tasks[name].repeatable = False
        await self.run_cycles(3)
        self.known = KnownLimit(Amount(8, 8 * CPU), 2)
        part.add("new")
        self.assertEqual(part.run_pass(), 16)
        await self.run_cycle()
        stopped = {stop.task for stop in part.stops}
        self.assertEqual(len(stopped), 8)
        self.assertTrue(all(stop.requeue and stop.checkpoint for stop in part.stops))
        self.assertFalse(stopped & {"t0.14", "t0.15"})
        for name in stopped:
            del part.tasks[name]
        await self.run_cycles(3, limit=8)
        self.assertEqual(self.store.grants(), {0: 8})

    async def test_removed_team_starts_nothing(self) -> None:
        """Guards against starts on the grant of a team that was removed."""
        part = await self.add_partition(0, tasks=1)
        await self.run_cycles(2)
        part.tasks.clear()
        self.known = KnownLimit(Amount(), 2)
        part.add("late")
        await self.run_cycles(3, limit=0)
        self.assertEqual(self.store.grants(), {})

    async def test_gang_needs_the_grant_of_all_its_tasks(self) -> None:
        """Guards against a gang that starts partly and holds grant while it waits for the rest."""
        part = await self.add_partition(0, tasks=1)
        await self.run_cycles(2)
        for index in range(5):
            part.add(f"g{index}", kind=WorkKind.GANG, request_key="g", gang_size=5)
        self.assertEqual(part.run_pass(), 1)
        await self.run_cycles(3)
        self.assertEqual(part.running, 6)

    async def test_two_gangs_do_not_hold_half_of_the_limit_each(self) -> None:
        """Guards against a deadlock of two gangs that each hold part of the limit."""
        for number in range(2):
            part = await self.add_partition(number)
            for index in range(12):
                name = f"g{number}.{index}"
                part.add(name, kind=WorkKind.GANG, request_key=f"g{number}", gang_size=12)
        await self.run_cycles(6)
        self.assertEqual(self.total_running(), 12)

    async def test_grant_for_part_of_a_task_is_not_kept(self) -> None:
        """Guards against a limit that is split into grants too small for any task."""
        self.known = KnownLimit(Amount(16, 3 * CPU), 1)
        for number in range(4):
            await self.add_partition(number, tasks=2)
        await self.run_cycles(6)
        self.assertEqual(self.total_running(), 3)
