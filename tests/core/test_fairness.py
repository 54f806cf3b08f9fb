"""Tests of fair sharing, compared with a computation from the whole history."""

import unittest
from math import exp

from hypothesis import given
from hypothesis import strategies as st

from lagoonshelf_core.commands import Stop
from lagoonshelf_core.document import QueueConfig, TeamConfig
from lagoonshelf_core.fairness import CURRENT_WEIGHT, TIME_CONSTANT_MS, Fairness
from lagoonshelf_core.model import WorkClass
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.scheduler import Scheduler
from tests.support.scheduling import SLOT, cell, enqueue, run, started, stopped, task

CAPACITY = Resources(64_000, 65_536, 4, 64)
TEAMS = ("a", "b", "c")
SIZES = (SLOT, Resources(8000, 512, 0, 1), Resources(500, 8192, 0, 1), Resources(100, 64, 1, 1))


def policy(**shares: int) -> dict:
    """Return the teams of a configuration document."""
    return {
        name: TeamConfig(share=share, limit_tasks=1000, limit_cpu_milli=1_000_000)
        for name, share in shares.items()
    }


class WindowTest(unittest.TestCase):
    """Moving average of usage."""

    @given(st.lists(st.tuples(st.integers(0, 90_000), st.integers(0, 3)), max_size=20))
    def test_same_share_as_the_integral(self, events) -> None:
        """Guards against usage that is lost or counted twice between two passes."""
        fairness, now_ms, history = Fairness(), 0, []
        for step_ms, which in events:
            now_ms += step_ms
            fairness.update_averages(now_ms)
            fairness.add_usage("a", SIZES[which], 1)
            fairness.update_averages(now_ms)
            history.append((now_ms, SIZES[which]))
        now_ms += 10_000
        fairness.add_usage("b", SLOT, 1)
        fairness.update_averages(now_ms)
        parts = [1 - exp(-(now_ms - since) / TIME_CONSTANT_MS) for since, _ in history]
        shares = [
            sum(part * getattr(size, name) for part, (_, size) in zip(parts, history, strict=True))
            / getattr(CAPACITY, name)
            for name in ("cpu_milli", "memory_mib", "accelerators", "slots")
        ]
        self.assertAlmostEqual(fairness.window_share("a", CAPACITY), max(shares), places=9)


class OrderTest(unittest.TestCase):
    """Order of teams."""

    @given(
        st.lists(
            st.tuples(st.sampled_from(TEAMS), st.sampled_from(SIZES), st.sampled_from(WorkClass)),
            max_size=40,
        ),
        st.tuples(st.integers(1, 4), st.integers(1, 4), st.integers(1, 4)),
        st.integers(0, 6),
    )
    def test_same_order_as_a_full_search(self, wanted, weights, limit) -> None:
        """Guards against starts before a team further below its share, or above a limit."""
        shares = dict(zip(TEAMS, weights, strict=True))
        scheduler = cell(1, CAPACITY)
        scheduler.set_policy(policy(**shares), {})
        tasks = [
            task(team=t, size=s, work_class=c, queued_ms=n) for n, (t, s, c) in enumerate(wanted)
        ]
        enqueue(scheduler, tasks)
        commands = run(scheduler, 100, lambda t: scheduler.team_allocated(t.team)[0] < limit)
        self.assertEqual(started(commands), naive_order(tasks, shares, limit))

    def test_window_counts_after_the_work_has_ended(self) -> None:
        """Guards against a team that gets priority again as soon as its burst has ended."""
        scheduler = cell(1, Resources(4000, 4096, 0, 4))
        burst = [task(team="a") for _ in range(4)]
        enqueue(scheduler, burst)
        run(scheduler, 0)
        for item in burst:
            scheduler.release(item.task)
        late = [task(team="a", queued_ms=1), task(team="b", queued_ms=2)]
        enqueue(scheduler, late)
        self.assertEqual(started(run(scheduler, 60_000))[0], late[1].task)


class LentShareTest(unittest.TestCase):
    """Lending and reclaiming of idle share."""

    def cell_with_lent_share(self, repeatable: bool):
        """Return a cell filled by one team, and a waiting task of another team."""
        scheduler = cell(1, Resources(4000, 4096, 0, 4))
        scheduler.set_policy(policy(a=1, b=1), {"q": QueueConfig()})
        enqueue(scheduler, [task(team="a", repeatable=repeatable) for _ in range(4)])
        self.assertEqual(len(started(run(scheduler))), 4)
        waiting = task(team="b", queued_ms=1000)
        scheduler.enqueue(waiting)
        return scheduler, waiting

    def test_lent_share_is_reclaimed_by_checkpoint(self) -> None:
        """Guards against a team that keeps lent share for as long as its tasks run."""
        scheduler, waiting = self.cell_with_lent_share(repeatable=True)
        self.assertEqual(run(scheduler, 5000), [])
        (stop,) = run(scheduler, 20_000)
        self.assertIsInstance(stop, Stop)
        self.assertTrue(stop.checkpoint and stop.requeue)
        self.assertTrue(scheduler.should_requeue(stop.task))
        scheduler.release(stop.task)
        self.assertEqual(started(run(scheduler, 20_100)), [waiting.task])

    def test_does_not_stop_what_may_not_be_repeated(self) -> None:
        """Guards against a second run of a non-repeatable task."""
        scheduler, _ = self.cell_with_lent_share(repeatable=False)
        self.assertEqual(stopped(run(scheduler, 20_000)), [])

    def test_stops_nothing_for_a_team_at_its_share(self) -> None:
        """Guards against teams at their share that preempt each other in turn."""
        scheduler = cell(1, Resources(4000, 4096, 0, 4))
        scheduler.set_policy(policy(a=1, b=1), {})
        enqueue(scheduler, [task(team=t) for t in "aabb"])
        run(scheduler)
        enqueue(scheduler, [task(team="a"), task(team="b")])
        self.assertEqual(run(scheduler, 60_000), [])

    def cell_with_order(self, order: str) -> Scheduler:
        """Return a full cell of six slots whose tasks were started in the given order of teams."""
        scheduler = cell(1, Resources(6000, 6144, 0, 6))
        for now_ms, team in enumerate(order):
            scheduler.enqueue(task(team=team))
            run(scheduler, now_ms)
        return scheduler

    def test_takes_only_from_teams_above_their_share(self) -> None:
        """Guards against preempting a team at its share because its tasks started last."""
        scheduler = self.cell_with_order("bbbbaa")
        scheduler.enqueue(task(team="c"))
        (stop,) = run(scheduler, 20_000)
        self.assertEqual(scheduler.tasks[stop.task].team, "b")

    def test_reclaims_nothing_beyond_the_share(self) -> None:
        """Guards against preempting other teams for a team that is at its share."""
        scheduler = self.cell_with_order("aaaabb")
        enqueue(scheduler, [task(team="b"), task(team="c", size=Resources(1, 1, 1, 1))])
        self.assertEqual(run(scheduler, 20_000), [])


def naive_order(tasks: list, shares: dict, limit: int) -> list[str]:
    """Return the starts on one worker, computed by a search of all waiting tasks for each."""
    free, order = CAPACITY, []
    allocated = dict.fromkeys(TEAMS, Resources())
    count = dict.fromkeys(TEAMS, 0)
    for work_class in WorkClass:
        left = [t for t in tasks if t.work_class is work_class]
        passed: list = []  # tasks that did not fit in their team's turn
        while True:
            able = [t for t in left if t.size.fits_in(free) and count[t.team] < limit]
            if not able:
                break
            chosen = min(
                able,
                key=lambda t: (
                    CURRENT_WEIGHT * allocated[t.team].dominant_share(CAPACITY) / shares[t.team],
                    min(o.queued_ms for o in left if o.team == t.team and o not in passed),
                    t.queued_ms,
                ),
            )
            left.remove(chosen)
            passed += [t for t in left if t.team == chosen.team and t.queued_ms < chosen.queued_ms]
            order.append(chosen.task)
            free -= chosen.size
            allocated[chosen.team] += chosen.size
            count[chosen.team] += 1
    return order
