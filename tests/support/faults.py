"""Seeded random fault schedules, and running work while they are applied."""

import itertools
import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from lagoonshelf_standins.cell import Cell, wait_until
from lagoonshelf_standins.clients import Clients, TeamRequest
from tests.support.base import TASK_SIZE

PAUSE_S = 4.5  # longer than the lease of a daemon
OUTAGE_S = 4.0
DELAY_RANGE_S = (0.5, 2.0)
COMPLETION_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule.

    :param delay_s: time to wait before the fault is injected
    :param target: name of a daemon or worker, or ``store``
    """

    delay_s: float
    kind: str
    target: str


def make_schedule(seed: int, count: int, daemons: list[str], workers: list[str]) -> list[Fault]:
    """Return a random schedule of ``count`` faults; equal arguments give equal schedules."""
    rng = random.Random(seed)
    kinds = {
        "kill": daemons,
        "pause": daemons,
        "cut_off": daemons,
        "store_down": ["store"],
        "store_slow": ["store"],
        "store_loses_answers": ["store"],
        "worker_hangs": workers,
        "worker_reboots": workers,
        "worker_loses_answers": workers,
    }
    schedule = []
    for _ in range(count):
        kind = rng.choice(sorted(kinds))
        schedule.append(Fault(rng.uniform(*DELAY_RANGE_S), kind, rng.choice(kinds[kind])))
    return schedule


class FaultInjector:
    """Applies a fault schedule to a cell."""

    def __init__(self, cell: Cell) -> None:
        """Initialize the injector for a cell."""
        self._cell = cell
        self._daemon_numbers = itertools.count(10)
        self._actions: dict[str, Callable[[str], None]] = {
            "kill": self._replace_daemon,
            "pause": self._pause_daemon,
            "cut_off": lambda name: self._disrupt_store(blocked=[name], after={"blocked": []}),
            "store_down": lambda _: self._disrupt_store(mode="down", after={"mode": "up"}),
            "store_slow": lambda _: self._disrupt_store(mode="slow", after={"mode": "up"}),
            "store_loses_answers": lambda _: self._disrupt_store(
                mode="lose_answers", after={"mode": "up"}
            ),
            "worker_hangs": lambda name: self._disrupt_worker(name, "mode", "hang", "up"),
            "worker_reboots": self._reboot_worker,
            "worker_loses_answers": lambda name: self._disrupt_worker(
                name, "lose_start_answers", True, False
            ),
        }

    def run(self, schedule: list[Fault]) -> None:
        """Inject all faults in order, then restore the store."""
        for fault in schedule:
            time.sleep(fault.delay_s)
            self._actions[fault.kind](fault.target)
        self._cell.control_store(mode="up", blocked=[])

    def _replace_daemon(self, name: str) -> None:
        if name not in self._cell.daemons:
            return
        self._cell.kill(name)
        number = next(self._daemon_numbers)
        self._cell.start_daemon(f"d{number}", number)

    def _pause_daemon(self, name: str) -> None:
        daemon = self._cell.daemons.get(name)
        if daemon is None:
            return
        daemon.signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        daemon.signal(signal.SIGCONT)

    def _disrupt_store(self, after: dict, **fault: object) -> None:
        self._cell.control_store(**fault)
        time.sleep(OUTAGE_S)
        self._cell.control_store(**after)

    def _disrupt_worker(self, name: str, fault: str, value: object, normal: object) -> None:
        self._cell.control_workers(workers=[name], set={fault: value})
        time.sleep(OUTAGE_S)
        self._cell.control_workers(workers=[name], set={fault: normal})

    def _reboot_worker(self, name: str) -> None:
        self._cell.control_workers(workers=[name], reboot=True)


def run_under_faults(cell: Cell, schedule: list[Fault], clients: Clients) -> dict[str, dict]:
    """Submit work while a fault schedule runs and return the final states of the batch jobs."""
    jobs = _batch_jobs()
    for work in jobs:
        clients.send(work, COMPLETION_TIMEOUT_S)
    faults = threading.Thread(target=FaultInjector(cell).run, args=(schedule,))
    faults.start()
    batch_number = 0
    while faults.is_alive():
        clients.run(_interactive_requests(batch_number), 8, COMPLETION_TIMEOUT_S)
        batch_number += 1
    faults.join()
    clients.run(_interactive_requests(batch_number), 8, COMPLETION_TIMEOUT_S)
    cell.wait_for_owners()
    return _final_states(cell, jobs)


def _interactive_requests(number: int) -> list[TeamRequest]:
    return [
        TeamRequest(
            ("fitting", "slips")[index % 2],
            {
                "queue": "urgent",
                "request_key": f"wave-{number}-{index}",
                "repeatable": index % 3 != 0,
                "size": TASK_SIZE,
                "run_ms": 50,
                "payload": f"payload {number} {index}",
                "timeout_ms": 15_000,
            },
        )
        for index in range(12)
    ]


def _batch_jobs() -> list[TeamRequest]:
    return [
        TeamRequest(
            "slips",
            {
                "queue": "background",
                "request_key": f"job-{repeatable}",
                "kind": "batch",
                "repeatable": repeatable,
                "size": TASK_SIZE,
                "run_ms": 400,
                "tasks": 60,
                "payload": "job",
            },
        )
        for repeatable in (True, False)
    ]


def _final_states(cell: Cell, jobs: list[TeamRequest]) -> dict[str, dict]:
    found: dict[str, dict] = {}

    def ended() -> bool:
        name = next(iter(cell.daemons))
        for work in jobs:
            key = work.body["request_key"]
            found[key] = cell.lookup(name, work.team, key) or {}
        return all(answer.get("state") in ("finished", "failed") for answer in found.values())

    wait_until(ended, f"all jobs ended: {found}", COMPLETION_TIMEOUT_S)
    return found
