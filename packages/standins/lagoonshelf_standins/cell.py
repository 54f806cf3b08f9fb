"""Small cell of separate processes on loopback, for the demo and the tests."""

import hashlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from lagoonshelf_core.grants import BASE_GRANT_DIVISOR
from lagoonshelf_core.ids import KeyId, MemberId, TeamId
from lagoonshelf_core.keys import new_key
from lagoonshelf_core.routing import preferred_owners

OPERATOR_KEY = "operator-key-of-the-stand-in-cell"
CLUSTER_SECRET = "secret-of-the-stand-in-cell"
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
# Part of the log of a process that ends unexpectedly, for the error.
LOG_TAIL_CHARS = 1_000


def free_port(host: str) -> int:
    """Return a port that is currently free.

    :param host: loopback address
    """
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def wait_until(
    check: Callable[[], bool], condition: str, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Poll until a condition holds.

    :param condition: name of the condition in the error message
    :raises TimeoutError: if the condition does not hold in time
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if check():
            return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"not within {timeout_s} s: {condition}")


@dataclass(slots=True)
class Daemon:
    """One ``lagoonshelfd`` process.

    :param url: base URL of its HTTP API
    """

    name: str
    host: str
    url: str
    process: subprocess.Popen
    log_path: Path

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


@dataclass(slots=True)
class Cell:
    """A cell: its processes and the keys of its teams."""

    folder: Path
    store_url: str = ""
    workers_url: str = ""
    daemons: dict[str, Daemon] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(maxsize=64, retries=False)
    )
    _platform_processes: list[subprocess.Popen] = field(default_factory=list)
    _daemon_flags: dict[str, object] = field(default_factory=dict)

    def start_platform(self, workers: int = 6, domains: int = 3) -> None:
        """Start the stand-in store and workers.

        :raises ChildProcessError: if one of them ends, with the end of its log
        """
        host = "127.0.0.1"
        port = free_port(host)
        self.store_url = f"http://{host}:{port}"
        process = self._spawn("store", "lagoonshelf_standins.store", f"--port={port}")
        self._wait_for(
            "store", process, lambda: self.call(self.store_url + "/counters") is not None
        )
        port = free_port(host)
        self.workers_url = f"http://{host}:{port}"
        process = self._spawn(
            "workers",
            "lagoonshelf_standins.workers",
            f"--port={port}",
            f"--count={workers}",
            f"--domains={domains}",
            f"--store={self.store_url}",
        )
        self._wait_for(
            "workers", process, lambda: self.call(self.workers_url + "/history") is not None
        )

    def start_daemon(self, name: str, number: int, **flags: object) -> Daemon:
        """Start a daemon on its own loopback address.

        :param number: 1 to 200; determines the address and the failure domain
        :param flags: settings that add to or override those of the cell
        """
        host = f"127.0.0.{number + 1}"
        http_port, peer_port = free_port(host), free_port(host)
        settings = {
            "member": name,
            "failure_domain": f"fd{number % 3}",
            "host": host,
            "http_port": http_port,
            "peer_port": peer_port,
            "store_url": self.store_url,
            "cluster_secret": CLUSTER_SECRET,
            "operator_key_sha256": hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
            **self._daemon_flags,
            **flags,
        }
        arguments = [f"--{key}={value}" for key, value in settings.items()]
        process = self._spawn(name, "lagoonshelf_server.cmd.lagoonshelfd", *arguments)
        url = f"http://{host}:{http_port}"
        daemon = Daemon(name, host, url, process, self.folder / f"{name}.log")
        self.daemons[name] = daemon
        return daemon

    def set_daemon_flags(self, **flags: object) -> None:
        """Set settings for all daemons that are started later."""
        self._daemon_flags.update(flags)

    def wait_healthy(self, *names: str) -> None:
        """Wait until the named daemons, or all, report that they are healthy.

        :raises ChildProcessError: if one has ended, with the end of its log
        """
        for name in names or self.daemons:
            daemon = self.daemons[name]
            self._wait_for(
                name,
                daemon.process,
                lambda url=daemon.url: self._http_status(url + "/healthz") == 200,
            )

    def _wait_for(
        self, name: str, process: subprocess.Popen, is_healthy: Callable[[], bool]
    ) -> None:
        """Wait until a process that has been started is healthy, or raise once it has ended."""

        def check() -> bool:
            if process.poll() is None:
                return is_healthy()
            log = (self.folder / f"{name}.log").read_text()[-LOG_TAIL_CHARS:]
            raise ChildProcessError(f"{name} ended with exit code {process.returncode}: {log}")

        wait_until(check, f"{name} healthy")

    def wait_for_owners(self, partitions: int = 4) -> None:
        """Wait until each partition is active at its preferred owner, so that none moves later."""

        def all_active() -> bool:
            active = {name: self._active_partitions(name) for name in self.daemons}
            live = [MemberId(name) for name, owned in active.items() if owned is not None]
            wanted = preferred_owners(live, partitions)
            return bool(wanted) and all(str(p) in active[name] for p, name in wanted.items())

        wait_until(all_active, "all partitions active at their preferred owners")

    def wait_for_grants(self, document: dict, partitions: int = 4) -> None:
        """Wait until each partition has its base grants, without which it starts no tasks.

        :param document: configuration in force; teams with a small limit have no base grant
        """
        min_limit = BASE_GRANT_DIVISOR * partitions
        teams = [n for n, team in document["teams"].items() if team["limit_tasks"] >= min_limit]
        wait_until(lambda: all(self._has_base_grants(n, partitions) for n in teams), "base grants")

    def _has_base_grants(self, team: str, partitions: int) -> bool:
        found = self.call(self.store_url + "/get", {"key": f"grants/{team}"}) or {}
        entries = orjson.loads(found.get("value") or '{"grants": {}}')["grants"]
        epochs = {
            partition: owner["epoch"]
            for name in self.daemons
            for partition, owner in (self.state(name) or {"partitions": {}})["partitions"].items()
        }
        granted = {p for p, (_, _, epoch, _) in entries.items() if epochs.get(p) == epoch}
        return len(granted) == partitions

    def configure(self, document: dict) -> int:
        """Store a document on top of the current revision; return the new revision."""
        name = next(iter(self.daemons))
        url = self.daemons[name].url
        wait_until(lambda: self.call(url + "/v1/config", operator=True) is not None, "config")
        base = self.call(url + "/v1/config", operator=True)["revision"]
        body = {"base_revision": base, "document": document}
        return self.call(url + "/v1/config", body, operator=True)["revision"]

    def make_key(self, team: str) -> dict:
        """Create a key for a team and return its configuration entry."""
        text, entry = new_key(KeyId(f"key-{team}"), TeamId(team))
        self.keys[team] = text
        return entry.model_dump()

    def call(
        self,
        url: str,
        body: object = None,
        team: str | None = None,
        operator: bool = False,
        method: str | None = None,
        timeout_s: float = 60.0,
    ) -> dict | None:
        """Make a JSON call; return none if there is no valid answer.

        :param team: team whose key is sent
        """
        key = OPERATOR_KEY if operator else self.keys.get(team or "", "")
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        data = None if body is None else orjson.dumps(body)
        verb = method or ("GET" if body is None else "POST")
        try:
            resp = self.http.request(verb, url, body=data, headers=headers, timeout=timeout_s)
            return orjson.loads(resp.data)
        except (HTTPError, ValueError):
            return None

    def submit(self, daemon: str, team: str, body: dict, timeout_s: float = 60.0) -> dict | None:
        """Submit a request through a daemon."""
        return self.call(
            self.daemons[daemon].url + "/v1/requests", body, team, timeout_s=timeout_s
        )

    def lookup(self, daemon: str, team: str, key: str) -> dict | None:
        """Read the state of a request through a daemon."""
        return self.call(f"{self.daemons[daemon].url}/v1/requests/{key}", team=team)

    def control_store(self, **body: object) -> None:
        """Control the stand-in store, for example to inject a fault."""
        self.call(self.store_url + "/control", body)

    def control_workers(self, **body: object) -> None:
        """Control the stand-in workers, for example to inject a fault."""
        self.call(self.workers_url + "/control", body)

    def history(self) -> dict[str, list[dict]]:
        """Return the start and end events by worker."""
        return self.call(self.workers_url + "/history")

    def state(self, daemon: str) -> dict | None:
        """Return the state dump of a daemon."""
        return self.call(self.daemons[daemon].url + "/v1/state", operator=True, timeout_s=2)

    def kill(self, name: str) -> None:
        """Kill a daemon with SIGKILL."""
        daemon = self.daemons.pop(name)
        daemon.signal(signal.SIGKILL)
        daemon.process.wait()

    def close(self) -> None:
        """Kill all processes that this cell started."""
        processes = [daemon.process for daemon in self.daemons.values()] + self._platform_processes
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()

    def _active_partitions(self, name: str) -> set[str] | None:
        """Return the active partitions of a daemon, or none if it does not answer."""
        state = self.state(name)
        if state is None:
            return None
        owners = state["partitions"].items()
        return {partition for partition, owner in owners if owner["state"] == "active"}

    def _http_status(self, url: str) -> int:
        try:
            return self.http.request("GET", url, timeout=2).status
        except HTTPError:
            return 0

    def _spawn(self, name: str, module: str, *arguments: str) -> subprocess.Popen:
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        if module != "lagoonshelf_server.cmd.lagoonshelfd":
            self._platform_processes.append(process)
        return process


def new_cell() -> Cell:
    """Return a cell with a new log directory and no processes."""
    return Cell(Path(tempfile.mkdtemp(prefix="lagoonshelf-")))


def sample_document(cell: Cell) -> dict:
    """Return a configuration with two teams and a queue of each work class."""
    return {
        "teams": {
            "fitting": {"share": 2, "limit_tasks": 200, "limit_cpu_milli": 1_000_000},
            "slips": {"share": 1, "limit_tasks": 200, "limit_cpu_milli": 1_000_000},
        },
        "keys": {f"key-{team}": cell.make_key(team) for team in ("fitting", "slips")},
        "queues": {
            "urgent": {"work_class": "urgent"},
            "normal": {},
            "background": {"work_class": "background"},
            "fitting-only": {"team": "fitting"},
        },
    }
