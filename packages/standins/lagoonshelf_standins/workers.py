"""Stand-in workers: several in one process, each served under its own path.

Run as ``python -m lagoonshelf_standins.workers --port 7100 --count 25 --store URL``.
"""

import heapq
import secrets
import threading
import time
from dataclasses import dataclass, field

import orjson
import urllib3
from fire import Fire
from xxhash import xxh3_64_hexdigest

from lagoonshelf_standins.http import make_server

SERVER_THREADS = 128
RESULT_RETENTION_S = 60.0
MAX_REPORTS = 20_000
DEFAULT_CAPACITY = {"cpu_milli": 64_000, "memory_mib": 131_072, "accelerators": 2, "slots": 8}


def now_ms() -> int:
    """Return the clock of the workers in milliseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


@dataclass(slots=True)
class _Run:
    meta: dict
    payload: str
    lease_end_ms: int
    lease_ms: int
    state: str = "running"
    result: str = ""
    percent: int = 100
    ended_at: float = 0.0
    acked: bool = False
    progress_ms: int = 0


@dataclass(slots=True)
class _InjectedFaults:
    """Injected faults; the fields are set by ``/control`` calls."""

    mode: str = "up"
    leaving: bool = False
    fail_everything: bool = False
    answer_twice: bool = False
    lose_start_answers: bool = False


@dataclass(slots=True)
class StandinWorker:
    """One worker: its task runs, reports, event history and injected faults."""

    name: str
    info: dict
    boot_id: str = field(default_factory=lambda: secrets.token_hex(4))
    epochs: dict[int, int] = field(default_factory=dict)
    runs: dict[str, _Run] = field(default_factory=dict)
    reports: list[dict] = field(default_factory=list)
    first_report: int = 0
    history: list[dict] = field(default_factory=list)
    faults: _InjectedFaults = field(default_factory=_InjectedFaults)
    warm: dict[str, int] = field(default_factory=dict)


class Fleet:
    """All workers of this process, and the timers that end their tasks."""

    def __init__(self) -> None:
        """Start with no workers."""
        self.workers: dict[str, StandinWorker] = {}
        self._changed = threading.Condition()
        self._timers: list[tuple[float, int, StandinWorker, str]] = []
        self._timer_number = 0

    def add(self, name: str, info: dict) -> None:
        """Add a worker.

        :param info: its entry in the host list of the platform
        """
        worker = StandinWorker(name, info)
        info["boot_id"] = worker.boot_id
        self.workers[name] = worker

    def handle(self, path: str, body: dict) -> tuple[int, object]:
        """Handle a call to ``/w/<worker>/<call>``, ``/control`` or ``/history``."""
        if path == "/control":
            return self._control(body)
        if path == "/history":
            return 200, {name: worker.history for name, worker in self.workers.items()}
        _, _, name, call = path.split("/", 3)
        worker = self.workers.get(name)
        if worker is None or worker.faults.mode == "down":
            return 503, {"error": "no such worker"}
        while worker.faults.mode == "hang":
            time.sleep(0.05)
        calls = {
            "start": self._start,
            "renew": self._renew,
            "stop": self._stop,
            "throttle": self._throttle,
            "warm": self._warm,
            "inventory": self._inventory,
            "report": self._report,
            "ack": self._ack,
        }
        if call not in calls:
            return 404, {"error": f"no such call: {call}"}
        return calls[call](worker, body)

    def run_timers(self) -> None:
        """End tasks whose run time or lease has expired; never return."""
        while True:
            time.sleep(0.005)
            with self._changed:
                self._end_due_tasks()

    def _end_due_tasks(self) -> None:
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            _, _, worker, task = heapq.heappop(self._timers)
            run = worker.runs.get(task)
            if run is not None and run.state == "running":
                self._finish_run(worker, task, run)
        clock = now_ms()
        for worker in self.workers.values():
            for task, run in list(worker.runs.items()):
                if run.state == "running" and run.lease_end_ms <= clock:
                    self._end_run(worker, task, run, "lapsed", "")
                elif run.acked and run.ended_at + RESULT_RETENTION_S < now:
                    del worker.runs[task]

    def _finish_run(self, worker: StandinWorker, task: str, run: _Run) -> None:
        if worker.faults.fail_everything or _directives(run.payload).get("fail"):
            self._end_run(worker, task, run, "failed", "task failed")
        else:
            self._end_run(worker, task, run, "finished", f"done:{run.payload}")

    def _end_run(
        self, worker: StandinWorker, task: str, run: _Run, state: str, result: str
    ) -> None:
        run.state, run.result, run.ended_at = state, result, time.monotonic()
        worker.history.append(_event("end", worker, run, state))
        report = {
            "task": task,
            "attempt": run.meta["attempt"],
            "state": state,
            "result": result,
            "length": len(result),
            "checksum": xxh3_64_hexdigest(result.encode()),
            "peak": _directives(run.payload).get("peak", {}),
            "ran_ms": now_ms() - run.meta["began_ms"],
            "meta": run.meta,
        }
        worker.reports.append(report)
        if worker.faults.answer_twice:
            worker.reports.append(report)
        if len(worker.reports) > MAX_REPORTS:
            drop = MAX_REPORTS // 2
            del worker.reports[:drop]
            worker.first_report += drop
        self._changed.notify_all()

    def _control(self, body: dict) -> tuple[int, object]:
        with self._changed:
            names = body.get("workers") or list(self.workers)
            for name in names:
                worker = self.workers[name]
                for fault, value in body.get("set", {}).items():
                    setattr(worker.faults, fault, value)
                if body.get("reboot"):
                    worker.boot_id = secrets.token_hex(4)
                    worker.info["boot_id"] = worker.boot_id
                    for run in worker.runs.values():
                        if run.state == "running":
                            worker.history.append(_event("end", worker, run, "rebooted"))
                    worker.runs.clear()
                    worker.reports.clear()
                    worker.first_report = 0
                    worker.epochs.clear()
            self._changed.notify_all()
        return 200, {"hosts": [worker.info for worker in self.workers.values()]}

    def _is_fenced(self, worker: StandinWorker, body: dict) -> bool:
        partition, epoch = body["partition"], body["epoch"]
        if epoch < worker.epochs.get(partition, 0):
            return True
        worker.epochs[partition] = epoch
        return False

    def _start(self, worker: StandinWorker, body: dict) -> tuple[int, object]:
        with self._changed:
            if self._is_fenced(worker, body):
                return 409, {"error": "stale_epoch"}
            answers = [self._start_one(worker, task, body) for task in body["tasks"]]
        if worker.faults.lose_start_answers:
            return 504, {"error": "answer lost"}
        return 200, {"answers": answers, "clock_ms": now_ms()}

    def _start_one(self, worker: StandinWorker, task: dict, body: dict) -> str:
        name = task["meta"]["task"]
        known = worker.runs.get(name)
        if known is not None and known.meta["attempt"] >= task["meta"]["attempt"]:
            return "known"
        if known is not None and known.state == "running":
            return "known"
        if body["expires_ms"] < now_ms():
            return "expired"
        if worker.faults.leaving:
            return "leaving"
        meta = {**task["meta"], "began_ms": now_ms()}
        run = _Run(meta, task["payload"], now_ms() + body["lease_ms"], body["lease_ms"])
        worker.runs[name] = run
        worker.history.append(_event("start", worker, run, "running"))
        directives = _directives(run.payload)
        run_ms = directives.get("run_ms", meta["run_ms"])
        if worker.faults.fail_everything:
            run_ms = 1
        if meta["kind"] != "service":
            self._timer_number += 1
            end = time.monotonic() + run_ms / 1000
            heapq.heappush(self._timers, (end, self._timer_number, worker, name))
        return "started"

    def _renew(self, worker: StandinWorker, body: dict) -> tuple[int, object]:
        with self._changed:
            if self._is_fenced(worker, body):
                return 409, {"error": "stale_epoch"}
            if body.get("expires_ms", now_ms()) < now_ms():
                return 408, {"error": "expired"}
            missing = []
            for name in body["tasks"]:
                run = worker.runs.get(name)
                if run is None:
                    missing.append(name)
                elif run.state == "running":
                    run.lease_end_ms = now_ms() + run.lease_ms
        return 200, {"missing": missing, "clock_ms": now_ms(), "boot_id": worker.boot_id}

    def _stop(self, worker: StandinWorker, body: dict) -> tuple[int, object]:
        with self._changed:
            if self._is_fenced(worker, body):
                return 409, {"error": "stale_epoch"}
            for name in body["tasks"]:
                run = worker.runs.get(name)
                if run is not None and run.state == "running":
                    state = "checkpointed" if body.get("checkpoint") else "stopped"
                    self._end_run(worker, name, run, state, "")
        return 200, {}

    def _throttle(self, worker: StandinWorker, body: dict) -> tuple[int, object]:
        with self._changed:
            if self._is_fenced(worker, body):
                return 409, {"error": "stale_epoch"}
            run = worker.runs.get(body["task"])
            if run is not None:
                run.percent = body["percent"]
        return 200, {}

    def _warm(self, worker: StandinWorker, body: dict) -> tuple[int, object]:
        with self._changed:
            worker.warm[body["queue"]] = body["slots"]
        return 200, {}

    def _inventory(self, worker: StandinWorker, body: dict) -> tuple[int, object]:
        with self._changed:
            if self._is_fenced(worker, body):
                return 409, {"error": "stale_epoch"}
            tasks = [
                {"meta": run.meta, "state": run.state, "result": run.result}
                for run in worker.runs.values()
            ]
            cursor = worker.first_report + len(worker.reports)
        return 200, {
            "tasks": tasks,
            "cursor": cursor,
            "boot_id": worker.boot_id,
            "clock_ms": now_ms(),
            "leaving": worker.faults.leaving,
        }

    def _report(self, worker: StandinWorker, body: dict) -> tuple[int, object]:
        end = time.monotonic() + body["wait_ms"] / 1000
        with self._changed:
            while True:
                index = body["cursor"] - worker.first_report
                if worker.boot_id != body["boot_id"] or index < 0:
                    return 200, {"reset": True}
                found = worker.reports[index : index + 1000]
                left = end - time.monotonic()
                if found or left <= 0 or worker.faults.mode != "up":
                    break
                self._changed.wait(left)
            return 200, {
                "reset": False,
                "reports": found,
                "cursor": body["cursor"] + len(found),
                "clock_ms": now_ms(),
                "leaving": worker.faults.leaving,
            }

    def _ack(self, worker: StandinWorker, body: dict) -> tuple[int, object]:
        with self._changed:
            for name in body["tasks"]:
                run = worker.runs.get(name)
                if run is not None:
                    run.acked = True
        return 200, {}


def _event(kind: str, worker: StandinWorker, run: _Run, state: str) -> dict:
    keys = ("task", "attempt", "team", "request_key", "index", "repeatable", "kind")
    size = {name: run.meta[name] for name in ("cpu_milli", "memory_mib", "accelerators")}
    known = {name: run.meta[name] for name in keys}
    return {
        "event": kind,
        "worker": worker.name,
        "at_ms": now_ms(),
        "state": state,
        **known,
        **size,
    }


def _directives(payload: str) -> dict:
    """Return the directives for the stand-in in a payload that starts with ``{"standin"``."""
    if not payload.startswith('{"standin"'):
        return {}
    return orjson.loads(payload)["standin"]


def serve(
    store: str,
    host: str = "127.0.0.1",
    port: int = 7100,
    count: int = 25,
    domains: int = 3,
    prefix: str = "w",
) -> None:
    """Serve the workers until the process is terminated.

    :param store: base URL of the stand-in store, in which the host list is set
    :param count: number of workers
    :param domains: number of failure domains
    """
    fleet = Fleet()
    for number in range(count):
        name = f"{prefix}{number:03d}"
        info = {
            "worker": name,
            "address": f"http://{host}:{port}/w/{name}",
            "failure_domain": f"fd{number % domains}",
            "rack": f"fd{number % domains}-r{number // (8 * domains)}",
            "capacity": dict(DEFAULT_CAPACITY),
            "leaving": False,
            "fencing": True,
        }
        fleet.add(name, info)
    threading.Thread(target=fleet.run_timers, daemon=True).start()
    hosts = [worker.info for worker in fleet.workers.values()]
    urllib3.PoolManager().request("POST", f"{store}/control", json={"hosts": hosts}, retries=10)
    make_server(host, port, fleet.handle, SERVER_THREADS).safe_start()


if __name__ == "__main__":
    Fire(serve)
