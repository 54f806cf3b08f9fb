"""Demo: requests of two teams through three API processes, one of which is killed midway.

Run as ``python -m lagoonshelf_standins.demo``.
"""

import random
import shutil
import sys
import threading
import time
from collections import defaultdict

from lagoonshelf_core.errors import ResultCode
from lagoonshelf_standins.cell import Cell, new_cell, sample_document, wait_until
from lagoonshelf_standins.checker import Violation, check_all
from lagoonshelf_standins.clients import Clients, TeamRequest
from lagoonshelf_standins.workers import DEFAULT_CAPACITY

SEED = 7
WORKERS = 12
CLIENT_THREADS = 40
KILL_AFTER_S = 2.0
RETRY_TIMEOUT_S = 40.0
JOB_TIMEOUT_S = 60.0
TEAM_LIMIT = 60
SIZE = {"cpu_milli": 1000, "memory_mib": 1024}


def interactive_requests(rng: random.Random) -> list[TeamRequest]:
    """Return the interactive requests of both teams in random order."""
    requests = []
    for number in range(150):
        requests.append(
            _interactive_request("fitting", "urgent", f"scalp-map-{number}", True, rng)
        )
        requests.append(
            _interactive_request("fitting", "normal", f"cap-match-{number}", True, rng)
        )
        requests.append(_interactive_request("slips", "urgent", f"preview-{number}", True, rng))
    for number in range(60):
        requests.append(_interactive_request("fitting", "urgent", f"hold-{number}", False, rng))
    rng.shuffle(requests)
    return requests


def job_requests() -> list[TeamRequest]:
    """Return two batches, a gang and a service."""
    return [
        _job_request("slips", "background", "month-end", "batch", False, 60, 300),
        _job_request("slips", "background", "reprint", "batch", True, 60, 300),
        _job_request("fitting", "normal", "refit-all", "gang", True, 4, 800),
        _job_request("fitting", "normal", "map-server", "service", True, 3, 0),
    ]


def main() -> int:
    """Run the demo; return 0 if nothing was lost or incomplete and every invariant held."""
    cell = new_cell()
    try:
        _start(cell)
        clients = Clients(cell)
        jobs = job_requests()
        for request in jobs:
            clients.send(request, RETRY_TIMEOUT_S)
        killer = threading.Timer(KILL_AFTER_S, _kill_daemon, (cell,))
        killer.start()
        clients.run(interactive_requests(random.Random(SEED)), CLIENT_THREADS, RETRY_TIMEOUT_S)
        killer.join()
        finished = _wait_jobs(cell, jobs[:3])
        violations = check_all(cell.history(), DEFAULT_CAPACITY, _limits(), clients.calls)
        _print_table(cell, clients, finished)
        return _print_result(clients, finished, violations)
    finally:
        cell.close()
        shutil.rmtree(cell.folder, ignore_errors=True)


def _start(cell: Cell) -> None:
    print(f"starting a store, {WORKERS} workers and 3 API processes on loopback")
    cell.start_platform(WORKERS)
    for number in (1, 2, 3):
        cell.start_daemon(f"entry-{number}", number)
    document = sample_document(cell)
    for team in document["teams"].values():
        team["limit_tasks"] = TEAM_LIMIT
    cell.configure(document)
    cell.wait_healthy()
    cell.wait_for_owners()


def _kill_daemon(cell: Cell) -> None:
    print("killing entry-2 while requests are in progress")
    cell.kill("entry-2")


def _wait_jobs(cell: Cell, jobs: list[TeamRequest]) -> dict[str, dict]:
    found: dict[str, dict] = {}

    def ended() -> bool:
        for request in jobs:
            key = request.body["request_key"]
            found[key] = cell.lookup("entry-1", request.team, key) or {}
        return all(answer.get("state") in ("finished", "failed") for answer in found.values())

    wait_until(ended, "all jobs ended", JOB_TIMEOUT_S)
    return found


def _print_table(cell: Cell, clients: Clients, finished: dict[str, dict]) -> None:
    waits: dict[str, list[int]] = defaultdict(list)
    for (_, key), answer in clients.final_answers.items():
        if answer.get("name") == ResultCode.OK.name:
            waits[key.rpartition("-")[0]].append(answer["waited_ms"])
    print(f"\n{'work':<12}{'answered':>9}{'wait p50':>10}{'p99':>8}{'max':>8}  ms")
    for name in sorted(waits):
        values = sorted(waits[name])
        p50, p99 = values[len(values) // 2], values[len(values) * 99 // 100]
        print(f"{name:<12}{len(values):>9}{p50:>10}{p99:>8}{values[-1]:>8}")
    for name, answer in finished.items():
        tasks = answer["tasks"]
        print(f"{name:<12}{tasks['finished']:>5}/{tasks['total']} tasks  {answer['name']}")
    history = cell.history()
    starts = [sum(e["event"] == "start" for e in events) for events in history.values()]
    print(
        f"placements: {sum(starts)} on {len(starts)} workers, {min(starts)} to {max(starts)} each"
    )


def _print_result(clients: Clients, finished: dict[str, dict], violations: list[Violation]) -> int:
    lost = [key for key, answer in clients.final_answers.items() if not answer]
    unknown = [
        key
        for (_, key), answer in clients.final_answers.items()
        if answer.get("name") == ResultCode.OUTCOME_UNKNOWN.name
    ]
    broken = sum(call.answer is None for call in clients.calls)
    print(f"connections broken by the kill and retried with the same key: {broken}")
    print(
        f"lost: {len(lost)}  outcome unknown: {len(unknown)}  run twice: "
        f"{sum(v.invariant in ('I2', 'I8') for v in violations)}"
    )
    for violation in violations:
        print(f"VIOLATION {violation.invariant}: {violation.text}")
    incomplete = [k for k, a in finished.items() if a["tasks"]["finished"] < a["tasks"]["total"]]
    for key in incomplete:
        print(f"INCOMPLETE: {key}")
    passed = not lost and not violations and not incomplete
    print("every invariant held" if passed else "an invariant was broken")
    return 0 if passed else 1


def _limits() -> dict[str, int]:
    return {"fitting": TEAM_LIMIT, "slips": TEAM_LIMIT}


def _interactive_request(
    team: str, queue: str, key: str, repeatable: bool, rng: random.Random
) -> TeamRequest:
    body = {
        "queue": queue,
        "request_key": key,
        "repeatable": repeatable,
        "size": SIZE,
        "run_ms": rng.randint(20, 250),
        "payload": f"payload of {key}",
        "timeout_ms": 20_000,
    }
    return TeamRequest(team, body)


def _job_request(
    team: str, queue: str, key: str, kind: str, repeatable: bool, tasks: int, run_ms: int
) -> TeamRequest:
    body = {
        "queue": queue,
        "request_key": key,
        "kind": kind,
        "repeatable": repeatable,
        "size": SIZE,
        "run_ms": run_ms,
        "tasks": tasks,
        "payload": f"payload of {key}",
    }
    return TeamRequest(team, body)


if __name__ == "__main__":
    start = time.monotonic()
    code = main()
    print(f"the demo took {time.monotonic() - start:.0f} s")
    sys.exit(code)
