"""Measures the resource usage of a daemon process, idle and under load, in small test cells.

Usage: python -m bench capacity
"""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import psutil

from lagoonshelf_standins.cell import Cell, new_cell, sample_document
from lagoonshelf_standins.clients import Clients, TeamRequest

SETTLE_S = 4.0
MEASURE_S = 10.0
CLIENT_THREADS = 24
RETRY_TIMEOUT_S = 20.0
SIZE = {"cpu_milli": 500, "memory_mib": 256}
CELLS = ((2, 12), (4, 12), (8, 12), (4, 24), (4, 48), (4, 96))
RATES = (10, 30, 60)


@dataclass(frozen=True, slots=True)
class Cost:
    """Mean resource usage of one daemon process, and the store calls of the whole cell.

    :param cpu_percent: processor time as a percentage of one core
    :param rss_mib: resident memory
    :param store_calls: calls per second of all processes; a watch that waits counts once
    :param store_writes: compare-and-swap calls per second of all processes
    :param peer_bytes: bytes per second that one process sends to its peers
    """

    cpu_percent: float
    rss_mib: float
    store_calls: float
    store_writes: float
    peer_bytes: float


@dataclass(frozen=True, slots=True)
class Sample:
    """Counters of a cell at one time."""

    at_s: float
    cpu_s: float
    calls: int
    writes: int
    peer_bytes: float


def measure_idle(members: int, workers: int) -> Cost:
    """Return the cost of a cell without requests."""
    return _with_cell(members, workers, lambda cell: _measure(cell, MEASURE_S))


def measure_loaded(members: int, workers: int, rate: int) -> Cost:
    """Return the cost while interactive requests arrive at a constant rate.

    :param rate: requests per second of the whole cell
    """

    def run(cell: Cell) -> Cost:
        clients = Clients(cell)
        stop = threading.Event()
        threads = [
            threading.Thread(target=_send_requests, args=(clients, number, rate, stop))
            for number in range(CLIENT_THREADS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(SETTLE_S)
        cost = _measure(cell, MEASURE_S)
        stop.set()
        for thread in threads:
            thread.join()
        return cost

    return _with_cell(members, workers, run)


def run() -> list[str]:
    """Measure all cells and return a header and one line for each cell."""
    header = f"{'members':>8}{'workers':>8}{'rate/s':>8}{'cpu %':>8}{'rss MiB':>9}"
    lines = [header + f"{'store/s':>9}{'writes/s':>9}{'peer B/s':>10}"]
    for members, workers in CELLS:
        lines.append(_line(members, workers, 0, measure_idle(members, workers)))
    for rate in RATES:
        lines.append(_line(4, 24, rate, measure_loaded(4, 24, rate)))
    return lines


def _line(members: int, workers: int, rate: int, cost: Cost) -> str:
    return (
        f"{members:>8}{workers:>8}{rate:>8}{cost.cpu_percent:>8.2f}{cost.rss_mib:>9.1f}"
        f"{cost.store_calls:>9.1f}{cost.store_writes:>9.2f}{cost.peer_bytes:>10.0f}"
    )


def _with_cell(members: int, workers: int, work: Callable[[Cell], Cost]) -> Cost:
    cell = new_cell()
    try:
        cell.start_platform(workers)
        for number in range(1, members + 1):
            cell.start_daemon(f"m{number}", number)
        cell.configure(sample_document(cell))
        cell.wait_healthy()
        cell.wait_for_owners()
        time.sleep(SETTLE_S)
        return work(cell)
    finally:
        cell.close()


def _measure(cell: Cell, seconds: float) -> Cost:
    first = _sample(cell)
    time.sleep(seconds)
    last = _sample(cell)
    took_s = last.at_s - first.at_s
    members = len(cell.daemons)
    rss = sum(psutil.Process(d.process.pid).memory_info().rss for d in cell.daemons.values())
    return Cost(
        (last.cpu_s - first.cpu_s) / took_s / members * 100,
        rss / members / 2**20,
        (last.calls - first.calls) / took_s,
        (last.writes - first.writes) / took_s,
        (last.peer_bytes - first.peer_bytes) / took_s / members,
    )


def _sample(cell: Cell) -> Sample:
    times = [psutil.Process(d.process.pid).cpu_times() for d in cell.daemons.values()]
    counters = cell.call(cell.store_url + "/counters")
    return Sample(
        time.monotonic(),
        sum(usage.user + usage.system for usage in times),
        sum(counters.values()),
        counters.get("/cas", 0),
        sum(_peer_bytes(cell, name) for name in cell.daemons),
    )


def _peer_bytes(cell: Cell, name: str) -> float:
    text = cell.http.request("GET", cell.daemons[name].url + "/metrics", timeout=5).data.decode()
    total = 0.0
    for line in text.splitlines():
        is_sent = line.startswith("lagoonshelf_bytes_total") and 'direction="sent"' in line
        if is_sent and 'peer="peers"' in line:
            total += float(line.rpartition(" ")[2])
    return total


def _send_requests(clients: Clients, thread: int, rate: int, stop: threading.Event) -> None:
    pause_s = CLIENT_THREADS / rate
    number = 0
    while not stop.wait(pause_s):
        number += 1
        body = {
            "queue": "urgent",
            "request_key": f"load-{thread}-{number}",
            "repeatable": True,
            "size": SIZE,
            "run_ms": 100,
            "payload": "x" * 200,
            "timeout_ms": 10_000,
        }
        clients.send(TeamRequest("fitting", body), RETRY_TIMEOUT_S)
