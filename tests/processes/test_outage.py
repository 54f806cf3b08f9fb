"""Tests of store outages on separate processes."""

import signal
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from threading import Event

from lagoonshelf_standins.cell import wait_until
from tests.support.base import CellTestCase, interactive_body

NAMES = ("d1", "d2", "d3")
OUTAGE_S = 10.0  # more than three times the lease duration


class OutageTest(CellTestCase):
    """Three processes whose store fails."""

    def stop_store(self) -> None:
        """Start an outage and wait until every process has detected it."""
        self.cell.control_store(mode="down")
        for name in self.cell.daemons:
            wait_until(lambda n=name: not self.cell.state(n)["store_reached"], f"{name} noticed")

    def count_starts(self) -> Counter:
        """Return the number of starts by request key."""
        return Counter(
            event["request_key"]
            for events in self.cell.history().values()
            for event in events
            if event["event"] == "start"
        )

    def submit_everywhere(self, prefix: str, number: int = 8, **fields: object) -> list[dict]:
        """Submit requests through all processes concurrently and return the answers."""
        calls = [
            (name, interactive_body(f"{prefix}-{name}-{n}", **fields))
            for name in self.cell.daemons
            for n in range(number)
        ]
        with ThreadPoolExecutor(len(calls)) as pool:
            return list(
                pool.map(lambda call: self.cell.submit(call[0], "fitting", call[1]), calls)
            )

    def check_all_ok(self, prefix: str, **fields: object) -> None:
        answers = self.submit_everywhere(prefix, **fields)
        self.assertEqual({answer["name"] for answer in answers}, {"OK"}, answers)

    def test_work_goes_on_and_what_needs_the_store_is_refused(self) -> None:
        """Guards against refusing all work in an outage or accepting work that needs the store."""
        self.stop_store()
        end = time.monotonic() + OUTAGE_S
        rounds = 0
        while time.monotonic() < end:
            self.check_all_ok(f"r{rounds}")
            rounds += 1
        for name in NAMES:
            batch = interactive_body(f"batch-{name}", kind="batch", tasks=2)
            non_repeatable = interactive_body(f"hold-{name}", repeatable=False)
            for body in (batch, non_repeatable):
                answer = self.cell.submit(name, "fitting", body)
                self.assertEqual(answer["name"], "STORE_UNAVAILABLE", answer)
                self.assertEqual(answer["effect"], "not_run")
            url = self.cell.daemons[name].url + "/v1/config"
            seen = self.cell.call(url, operator=True)
            body = {"base_revision": seen["revision"], "document": seen["document"]}
            answer = self.cell.call(url, body, operator=True)
            self.assertEqual(answer["name"], "STORE_UNAVAILABLE", answer)
        refused = [key for key in self.count_starts() if key.startswith(("batch", "hold"))]
        self.assertEqual(refused, [])

    def test_a_slow_store_changes_no_owner(self) -> None:
        """Guards against expired leases and lost ownership when renewals queue up."""
        before = self.owners()
        self.cell.control_store(mode="slow")
        end = time.monotonic() + OUTAGE_S
        while time.monotonic() < end:
            self.check_all_ok(f"s{end - time.monotonic():.3f}")
        self.assertEqual(self.owners(), before)

    def owners(self) -> dict[str, tuple[str, int, str]]:
        """Return the member, epoch and state of the owner by partition."""
        return {
            partition: (name, owner["epoch"], owner["state"])
            for name in NAMES
            for partition, owner in self.cell.state(name)["partitions"].items()
        }

    def test_all_works_again_after_the_outage_and_nothing_ran_twice(self) -> None:
        """Guards against two owners and lost or duplicate runs when the store recovers.

        The store is down, then slow, then loses answers, then works again.
        """
        self.stop_store()
        time.sleep(5)
        self.check_all_ok("down")
        old = {name: self.cell.state(name)["lease"] for name in NAMES}
        self.cell.control_store(mode="slow")
        for name in NAMES:
            wait_until(lambda n=name: self.cell.state(n)["lease"] not in (None, old[n]), name)
        self.check_all_ok("slow", timeout_ms=60_000)
        self.cell.control_store(mode="lose_answers")
        self.check_all_ok("losing", timeout_ms=60_000)
        self.check_all_ok("hold-losing", timeout_ms=60_000, repeatable=False, number=2)
        self.cell.control_store(mode="up")
        self.cell.wait_healthy()
        self.cell.wait_for_owners()
        self.check_all_ok("up", timeout_ms=60_000)
        self.check_all_ok("hold-up", timeout_ms=60_000, repeatable=False)
        duplicates = {key: count for key, count in self.count_starts().items() if count > 1}
        self.assertEqual(duplicates, {})
        self.check_epochs_in_order()

    def test_a_takeover_when_every_write_loses_its_answer(self) -> None:
        """Guards against a claimed partition that stays inactive when the claim answer is lost."""
        self.check_all_ok("before")
        self.cell.control_store(mode="lose_answers")
        self.cell.kill("d1")
        wait_until(lambda: len(self.owned_by(NAMES[1:])) == 4, "d2 and d3 own all partitions")
        self.check_all_ok("after")
        self.cell.control_store(mode="up")
        self.check_all_ok("up")
        self.assertEqual([key for key, count in self.count_starts().items() if count > 1], [])

    def test_a_member_that_dies_in_an_outage_stops_placement(self) -> None:
        """Guards against placing tasks while an unreachable member may have taken over."""
        self.stop_store()
        self.check_all_ok("before")
        self.cell.kill("d3")
        for name in ("d1", "d2"):
            wait_until(lambda n=name: not self.cell.state(n)["may_act"], f"{name} stopped")
        before = self.count_starts()
        answers = self.submit_everywhere("after", 4, timeout_ms=3000)
        for answer in answers:
            self.assertIn(answer["name"], ("NO_OWNER", "CONFIG_STALE"), answer)
            self.assertEqual(answer["effect"], "not_run")
        self.assertEqual(self.count_starts(), before)
        self.cell.control_store(mode="up")
        self.cell.wait_healthy()
        self.cell.wait_for_owners()
        self.check_all_ok("back", timeout_ms=60_000)
        duplicates = {key: count for key, count in self.count_starts().items() if count > 1}
        self.assertEqual(duplicates, {})

    def test_the_store_is_back_for_one_member_only(self) -> None:
        """Guards against owners that stay active by promises while another member takes over.

        The store recovers for that member only.
        """
        self.stop_store()
        self.check_all_ok("down")
        time.sleep(4)
        stop = Event()
        with ThreadPoolExecutor(3) as pool:
            submitters = [pool.submit(self.submit_until, stop, name) for name in NAMES]
            self.cell.control_store(mode="up", blocked=["d2", "d3"])
            wait_until(lambda: len(self.owned_by(("d1",))) == 4, "d1 owns all partitions")
            time.sleep(2)
            stop.set()
            answers = [answer for submitter in submitters for answer in submitter.result()]
        self.assertEqual({answer["name"] for answer in answers}, {"OK"})
        self.check_epochs_in_order()
        self.assertEqual([key for key, count in self.count_starts().items() if count > 1], [])

    def submit_until(self, stop: Event, name: str) -> list[dict]:
        """Submit requests one by one through a process until the event is set."""
        answers = []
        while not stop.is_set():
            body = interactive_body(f"{name}-{len(answers)}", timeout_ms=30_000)
            answers.append(self.cell.submit(name, "fitting", body))
        return answers

    def check_epochs_in_order(self) -> None:
        """Check that no old owner started a task of a partition after a newer owner did."""
        events = [event for events in self.cell.history().values() for event in events]
        newest: dict[int, int] = {}
        for event in sorted(events, key=lambda event: event["at_ms"]):
            if event["event"] != "start":
                continue
            partition, epoch, _ = map(int, event["task"].split("."))
            self.assertGreaterEqual(epoch, newest.get(partition, 0), event)
            newest[partition] = epoch

    def test_a_paused_owner_sends_nothing_after_another_took_over(self) -> None:
        """Guards against an owner that acts again when it resumes in an outage.

        Contact with its successor must not extend its ownership.
        """
        self.cell.daemons["d1"].signal(signal.SIGSTOP)
        wait_until(lambda: len(self.owned_by(NAMES[1:])) == 4, "others own all partitions")
        self.cell.control_store(mode="down")
        self.cell.daemons["d1"].signal(signal.SIGCONT)
        end = time.monotonic() + 6
        while time.monotonic() < end:
            state = self.cell.state("d1")
            self.assertFalse(state["may_act"] and state["partitions"], state)
            time.sleep(0.05)
        self.assertEqual(state["partitions"], {})

    def owned_by(self, names: tuple[str, ...]) -> set[str]:
        """Return the partitions with an active owner among the given processes."""
        states = [self.cell.state(name) or {"partitions": {}} for name in names]
        return {
            partition
            for state in states
            for partition, owner in state["partitions"].items()
            if owner["state"] == "active"
        }
