"""A random schedule of faults by seed, and a run of work under it."""

import itertools
import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from lagoonshelf_standins.cell import Cell, wait_until
from lagoonshelf_standins.clients import Clients, TeamRequest
from tests.support.base import SIZE

PAUSE_LONGER_THAN_LEASE_S = 4.5
OUTAGE_S = 4.0
GAP_S = (0.5, 2.0)
SETTLE_S = 60.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One step of a schedule.

    :param wait_s: time before it
    """

    wait_s: float
    kind: str
    target: str


def make_schedule(seed: int, steps: int, daemons: list[str], workers: list[str]) -> list[Fault]:
    """Return a schedule that depends on the seed only."""
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
    for _ in range(steps):
        kind = rng.choice(sorted(kinds))
        schedule.append(Fault(rng.uniform(*GAP_S), kind, rng.choice(kinds[kind])))
    return schedule


class FaultRunner:
    """Carries out a schedule on a cell."""

    def __init__(self, cell: Cell) -> None:
        """Set up."""
        self._cell = cell
        self._numbers = itertools.count(10)
        self._steps: dict[str, Callable[[str], None]] = {
            "kill": self._kill,
            "pause": self._pause,
            "cut_off": lambda name: self._store(blocked=[name], after={"blocked": []}),
            "store_down": lambda _: self._store(mode="down", after={"mode": "up"}),
            "store_slow": lambda _: self._store(mode="slow", after={"mode": "up"}),
            "store_loses_answers": lambda _: self._store(
                mode="lose_answers", after={"mode": "up"}
            ),
            "worker_hangs": lambda name: self._worker(name, "mode", "hang", "up"),
            "worker_reboots": self._reboot,
            "worker_loses_answers": lambda name: self._worker(
                name, "lose_start_answers", True, False
            ),
        }

    def run(self, schedule: list[Fault]) -> None:
        """Carry out the schedule, then heal everything."""
        for fault in schedule:
            time.sleep(fault.wait_s)
            self._steps[fault.kind](fault.target)
        self._cell.control_store(mode="up", blocked=[])

    def _kill(self, name: str) -> None:
        if name not in self._cell.daemons:
            return
        self._cell.kill(name)
        number = next(self._numbers)
        self._cell.start_daemon(f"d{number}", number)

    def _pause(self, name: str) -> None:
        daemon = self._cell.daemons.get(name)
        if daemon is None:
            return
        daemon.signal(signal.SIGSTOP)
        time.sleep(PAUSE_LONGER_THAN_LEASE_S)
        daemon.signal(signal.SIGCONT)

    def _store(self, after: dict, **fault: object) -> None:
        self._cell.control_store(**fault)
        time.sleep(OUTAGE_S)
        self._cell.control_store(**after)

    def _worker(self, name: str, fault: str, value: object, healed: object) -> None:
        self._cell.control_workers(workers=[name], set={fault: value})
        time.sleep(OUTAGE_S)
        self._cell.control_workers(workers=[name], set={fault: healed})

    def _reboot(self, name: str) -> None:
        self._cell.control_workers(workers=[name], reboot=True)


def run_under_faults(cell: Cell, schedule: list[Fault], callers: Clients) -> dict[str, dict]:
    """Send work while a schedule runs; return the final state of each job."""
    jobs = _jobs()
    for work in jobs:
        callers.send(work, SETTLE_S)
    faults = threading.Thread(target=FaultRunner(cell).run, args=(schedule,))
    faults.start()
    wave = 0
    while faults.is_alive():
        callers.run(_wave(wave), 8, SETTLE_S)
        wave += 1
    faults.join()
    callers.run(_wave(wave), 8, SETTLE_S)
    cell.wait_for_owners()
    return _final_states(cell, jobs)


def _wave(number: int) -> list[TeamRequest]:
    return [
        TeamRequest(
            ("fitting", "slips")[index % 2],
            {
                "queue": "urgent",
                "request_key": f"wave-{number}-{index}",
                "repeatable": index % 3 != 0,
                "size": SIZE,
                "run_ms": 50,
                "payload": f"payload {number} {index}",
                "timeout_ms": 15_000,
            },
        )
        for index in range(12)
    ]


def _jobs() -> list[TeamRequest]:
    return [
        TeamRequest(
            "slips",
            {
                "queue": "background",
                "request_key": f"job-{repeatable}",
                "kind": "batch",
                "repeatable": repeatable,
                "size": SIZE,
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

    wait_until(ended, f"all jobs ended: {found}", SETTLE_S)
    return found
