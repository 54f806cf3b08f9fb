"""Tests of many requests while owners, workers and the store fail in random combinations."""

import random
import signal
import threading
import time
from collections import Counter

from lagoonshelf_standins.cell import wait_until
from tests.support.base import CellTestCase, interactive_body
from tests.support.failures import max_concurrent_runs, pause_daemon

SEED = 7
CLIENTS = 12
ROUNDS = 8
# Each flag has half of its default, which keeps the ratios.
HALVED_FLAGS = {
    "lease_ttl_ms": 1500,
    "lease_margin_ms": 250,
    "lease_renew_ms": 500,
    "takeover_margin_ms": 350,
    "task_lease_ms": 3000,
    "task_renew_ms": 1000,
    "start_timeout_ms": 1000,
    "hosts_ms": 500,
}


class CombinedFailuresTest(CellTestCase):
    """Clients that submit continuously, each with its own request keys."""

    workers = 8

    def setUp(self) -> None:
        super().setUp()
        for name in list(self.cell.daemons):
            self.cell.kill(name)
        self.cell.set_daemon_flags(**HALVED_FLAGS)
        for number in range(1, self.daemons + 1):
            self.cell.start_daemon(f"d{number}", number)
        self.cell.wait_healthy()
        self.cell.wait_for_owners()
        self.rng = random.Random(SEED)
        self.answers: dict[str, list[dict | None]] = {}
        self.stop = threading.Event()

    def submit_until_stopped(self, client: int) -> None:
        """Submit requests until the test stops, each with up to three attempts for an answer."""
        rng = random.Random(SEED * 1000 + client)
        number = 0
        while not self.stop.is_set():
            key = f"c{client}-{number}"
            number += 1
            repeatable = bool(rng.getrandbits(1))
            body = interactive_body(
                key, repeatable=repeatable, run_ms=rng.choice((5, 50, 400)), timeout_ms=8000
            )
            self.answers[key] = []
            for _ in range(3):
                name = f"d{rng.randint(1, self.daemons)}"
                if name not in self.cell.daemons:
                    continue
                answer = self.cell.submit(name, "fitting", body)
                self.answers[key].append(answer)
                if answer is not None:
                    break

    def replace_daemon(self) -> None:
        name = self.rng.choice(sorted(self.cell.daemons))
        self.cell.kill(name)
        time.sleep(self.rng.uniform(0.5, 3))
        self.cell.start_daemon(name, int(name[1:]))

    def pause_random_daemon(self) -> None:
        resume = pause_daemon(self.cell, self.rng.choice(sorted(self.cell.daemons)))
        time.sleep(self.rng.uniform(1, 4))
        resume()

    def disrupt_workers(self) -> None:
        names = self.rng.sample([f"w{number:03d}" for number in range(self.workers)], 3)
        fault = self.rng.choice(("hang", "down", "lose", "reboot"))
        if fault == "reboot":
            self.cell.control_workers(workers=names, reboot=True)
            return
        settings = {"lose_start_answers": True} if fault == "lose" else {"mode": fault}
        self.cell.control_workers(workers=names, set=settings)
        time.sleep(self.rng.uniform(0.5, 6))
        self.cell.control_workers(workers=names, set={"lose_start_answers": False, "mode": "up"})

    def disrupt_store(self) -> None:
        self.cell.control_store(mode=self.rng.choice(("down", "slow", "lose_answers")))
        time.sleep(self.rng.uniform(0.3, 3))
        self.cell.control_store(mode="up")

    def test_no_request_is_lost_duplicated_or_wrongly_refused(self) -> None:
        """Guards against lost, duplicate and wrongly refused requests when two faults coincide."""
        clients = [
            threading.Thread(target=self.submit_until_stopped, args=(client,), daemon=True)
            for client in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        faults = (
            self.replace_daemon,
            self.pause_random_daemon,
            self.disrupt_workers,
            self.disrupt_store,
        )
        for _ in range(ROUNDS):
            first, second = self.rng.sample(faults, 2)
            other = threading.Thread(target=second)
            other.start()
            first()
            other.join()
        self.stop.set()
        for daemon in self.cell.daemons.values():
            daemon.signal(signal.SIGCONT)
        self.cell.wait_for_owners()
        for client in clients:
            client.join()
        wait_until(self.all_runs_ended, "all runs ended")
        self.check()

    def all_runs_ended(self) -> bool:
        events = [event for history in self.cell.history().values() for event in history]
        return sum(1 if event["event"] == "start" else -1 for event in events) == 0

    def check(self) -> None:
        """Compare the answers to clients with the events of the workers."""
        events = [event for history in self.cell.history().values() for event in history]
        starts = [event for event in events if event["event"] == "start"]
        self.starts = Counter(event["request_key"] for event in starts)
        repeated = [key for key, number in self.starts.items() if number > 1]
        non_repeatable = {event["request_key"] for event in starts if not event["repeatable"]}
        self.assertEqual(non_repeatable.intersection(repeated), set())
        self.assertEqual([key for key in repeated if max_concurrent_runs(self.cell, key) > 1], [])
        self.assertGreater(sum(map(self.check_answers, self.answers)), 0)

    def check_answers(self, key: str) -> int:
        """Check the answers for a request key and return 1 if there is a result, otherwise 0."""
        for answer in filter(None, self.answers[key]):
            if answer["name"] == "OK":
                self.assertEqual(answer["result"], f"done:payload of {key}")
                return 1
            # If the first connection broke, the request may have run even if a retry is refused.
            if answer["effect"] == "not_run" and answer is self.answers[key][0]:
                self.assertEqual(self.starts.get(key, 0), 0, (key, answer))
        return 0
