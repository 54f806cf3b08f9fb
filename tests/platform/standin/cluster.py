"""Stand-in platform on loopback that runs real server processes."""

import asyncio
import ctypes
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import monotonic

import orjson

from tests.platform.standin.executors import RunRecord, StubExecutor
from tests.platform.standin.http import Proxy, ProxyMode, Request, Response, StubServer
from tests.platform.standin.ports import free_ports, raise_if_local
from tests.platform.standin.store import CALL_DELAY_S, StubStore

ROOT = Path(__file__).parent.parent.parent.parent
HOST = "desk.example"
KEY = "key-1"
GRACE_S = 3.0
CONFIG_APPLY_MS = 2_000
# A start may go by the former capacity of an executor for the sum of these.
TOUCH_MS = 1_000
HEARTBEAT_MS = 1_000
# From the sites' pages.
CANCEL_MS = 3_000
# Interval at which the state of the faults is recorded.
FAULT_POLL_S = 0.02
READY_TIMEOUT_S = 20.0
# From <linux/prctl.h>.
PR_SET_PDEATHSIG = 1
# Queues by name: priority, allowed failures, whether the advice service is used.
QUEUES = {"urgent": (0, 3, False), "batch": (2, 3, False), "advised": (1, 3, True)}


def config(version: int, cap_cpu: int) -> dict:
    """Return a configuration in the platform's format.

    :param cap_cpu: CPU limit of the only tenant, 0 for none
    """
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "service": "desk",
            "priority": priority,
            "attempts": attempts,
            "slack_factor": 3.0,
            "target_latency_ms": 1_000,
        }
        for name, (priority, attempts, _) in QUEUES.items()
    ]
    routes[2]["hint"] = {"decision_ms": 10, "period_ms": 0.2, "validity_ms": 2_000}
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "desk"}],
        "tenants": [{"name": "t1", "keys": [KEY], "weight": 100, "cap": {"cpu": cap_cpu}}],
        "limits": {},
    }


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """A version of the configuration that the store has acknowledged.

    :param queues: queues beside those that always exist
    """

    acknowledged_s: float
    queues: tuple[str, ...]


def _end_with_parent() -> None:
    """Let the kernel kill this process when its parent ends.

    A process that outlives an aborted test joins a later cluster that uses the same port.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """A server process and its proxy to the store."""

    def __init__(self, name: str, number: int, cluster: "Cluster") -> None:
        """Initialize without starting the program."""
        self.name = name
        self._cluster = cluster
        self._number = number
        self._popen: asyncio.subprocess.Process | None = None
        self.store_proxy = Proxy(cluster.store.server)
        front, ready, first, _ = free_ports(4)
        self.address = f"127.0.0.1:{front}"
        self._ready_address = f"127.0.0.1:{ready}"
        self._first_port = first
        self.is_paused = False
        self._start_lock = asyncio.Lock()
        # Moments at which it, or its link to the store, was disturbed.
        self.disturbed_at_s: list[float] = []

    @property
    def is_disturbed(self) -> bool:
        """Return whether a fault holds for the program or its link to the store."""
        proxy = self.store_proxy
        is_link_sound = proxy.mode is ProxyMode.OPEN and not proxy.bytes_per_s
        return not self.is_running or self.is_paused or not is_link_sound

    @property
    def pid(self) -> int:
        """Return the id of the running program."""
        return self._popen.pid

    @property
    def peer_address(self) -> str:
        """Return the address for other members."""
        return f"127.0.0.1:{self._first_port}"

    @property
    def side_addresses(self) -> tuple[str, str]:
        """Return the addresses of the readiness check and of the metrics."""
        return self._ready_address, f"127.0.0.1:{self._first_port + 1}"

    @property
    def is_running(self) -> bool:
        """Return whether the program is running."""
        return self._popen is not None and self._popen.returncode is None

    async def start(self) -> None:
        """Start the program with its own settings file unless it runs."""
        # Of two faults that start it again at the same moment, one has nothing left to do.
        async with self._start_lock:
            if not self.is_running:
                await self._start()

    async def _start(self) -> None:
        if not self.store_proxy.address:
            await self.store_proxy.listen()
        settings = {
            "node_id": self.name,
            "ip": "127.0.0.1",
            "zone": f"z{self._number % 3}",
            "listen": {"frontend_addr": self.address, "readiness": self._ready_address},
            "port_range": [self._first_port, self._first_port + 1],
            "platform": {"addr": self.store_proxy.address},
            "hint": self._cluster.advice.address,
            "bounds": {
                "grace_s": GRACE_S,
                "config_apply_ms": CONFIG_APPLY_MS,
                "touch_ms": TOUCH_MS,
                **self._cluster.bounds,
            },
            "heartbeat_ms": HEARTBEAT_MS,
            "limits": {"cpu_share": 1.0, "cores": 2.0, **self._cluster.host_limits},
        }
        path = Path(self._cluster.folder.name) / f"{self.name}.json"
        path.write_bytes(orjson.dumps(settings))
        log = open(path.with_suffix(".log"), "ab")  # noqa: SIM115
        self._popen = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "start.py"),
            stdout=log,
            stderr=log,
            env={**os.environ, **self._cluster.env, "LAGOONSHELF_SETTINGS": str(path)},
            preexec_fn=_end_with_parent,
        )
        log.close()
        self.is_paused = False
        self.disturbed_at_s.append(monotonic())

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        if self.is_running:
            self._popen.send_signal(number)
            self.is_paused = number == signal.SIGSTOP
            self.disturbed_at_s.append(monotonic())

    def silence_store_connections(self) -> None:
        """Silence the open connections to the store; new ones work."""
        self.store_proxy.silence_connections()
        self.disturbed_at_s.append(monotonic())

    async def kill(self) -> None:
        """Kill the program and wait until it has exited."""
        if self.is_running:
            self._popen.kill()
        if self._popen is not None:
            await self._popen.wait()

    async def wait_stopped(self, timeout_s: float) -> bool:
        """Wait until the program exits; return whether it did so in time."""
        try:
            await asyncio.wait_for(self._popen.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds.

        :raises PortError: if the system refuses the connection on this side
        """
        try:
            async with asyncio.timeout(0.5):
                host, _, port = self._ready_address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /lagoonshelf/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except OSError as exc:
            raise_if_local(f"cannot connect to {self._ready_address}", exc)
            return False
        return b" 200 " in line


class Cluster:
    """Store, executors, advice service and server processes."""

    def __init__(self, processes: int, executors: int, seed: int) -> None:
        """Initialize without starting anything."""
        self.rng = Random(seed)
        self.folder = TemporaryDirectory(prefix="lagoonshelf-")
        self.store = StubStore()
        self.advice = StubServer(self._advise)
        self.history: list[RunRecord] = []
        self.crashed_by: list[tuple[str, int]] = []
        self.executors = [
            StubExecutor(
                f"i-{number}", self.store, Random(seed + number), self.history, self.crashed_by
            )
            for number in range(executors)
        ]
        self._process_count = processes
        self.processes: list[Process] = []
        self._background_tasks: list[asyncio.Task] = []
        self._store_disturbed_at_s: list[float] = []
        self.version = 1
        # Additions to the settings file's ``limits`` and ``bounds``, and to the configuration's
        # ``limits``.
        self.host_limits: dict[str, int] = {}
        self.http_limits: dict[str, int] = {}
        self.bounds: dict[str, int] = {}
        # Tenants beside the one that always exists, by name with their keys.
        self.more_tenants: dict[str, str] = {}
        # Environment variables of the processes beside their settings file.
        self.env: dict[str, str] = {}
        self.config_changes: list[ConfigChange] = []

    async def start(self) -> None:
        """Start everything and wait until each process is ready.

        :raises PortError: if the system refuses a port or a connection
        """
        await self.store.server.listen()
        await self.advice.listen()
        self.configure(0)
        for executor in self.executors:
            await executor.start()
            self._background_tasks.append(asyncio.ensure_future(executor.expire_leases()))
            self._background_tasks.append(asyncio.ensure_future(executor.report()))
        self._background_tasks.append(asyncio.ensure_future(self.store.expire_leases()))
        self.processes = [
            Process(f"m{number}", number, self) for number in range(self._process_count)
        ]
        for process in self.processes:
            await process.start()
        self._background_tasks.append(asyncio.ensure_future(self._watch_faults()))
        deadline_s = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while not all([await process.is_ready() for process in self.processes]):
            ended = [process.name for process in self.processes if not process.is_running]
            if ended:
                raise AssertionError(f"ended while starting: {ended}:\n{self.logs()}")
            if asyncio.get_running_loop().time() > deadline_s:
                raise AssertionError(f"not ready in {READY_TIMEOUT_S} s:\n{self.logs()}")
            await asyncio.sleep(0.05)

    def configure(self, cap_cpu: int, new_queues: tuple[str, ...] = ()) -> None:
        """Write the next version of the configuration.

        :param new_queues: queues beside those that always exist
        """
        self.version += 1
        fields = config(self.version, cap_cpu)
        fields["limits"] = self.http_limits
        fields["tenants"] += [
            {**fields["tenants"][0], "name": name, "keys": [key]}
            for name, key in self.more_tenants.items()
        ]
        for name in new_queues:
            fields["routes"].append({**fields["routes"][0], "name": name, "prefix": f"/{name}/"})
        self.store.put("op/config", fields)
        self.config_changes.append(ConfigChange(monotonic(), new_queues))

    def capacity_changes(self) -> dict[str, list[tuple[float, int]]]:
        """Return the changes of capacity by executor, by the name that it had first."""
        return {
            executor.name.partition("+")[0]: executor.capacity_changes
            for executor in self.executors
        }

    async def _watch_faults(self) -> None:
        """Record when the store and the processes are disturbed, until cancelled."""
        while True:
            now_s = monotonic()
            if self.store.delay_s > CALL_DELAY_S:
                self._store_disturbed_at_s.append(now_s)
            for process in self.processes:
                if process.is_disturbed:
                    process.disturbed_at_s.append(now_s)
            await asyncio.sleep(FAULT_POLL_S)

    def disturbances(self) -> dict[int, list[float]]:
        """Return by fencing token when its leader, its link or the store was disturbed."""
        names = {process.name: process.disturbed_at_s for process in self.processes}
        return {
            token: sorted(names.get(value["member"], []) + self._store_disturbed_at_s)
            for token, value in self.store.values("cell/holder").items()
        }

    def followers(self) -> list[Process]:
        """Return the processes that do not hold the leader lease."""
        leader = self.store.read("cell/holder")["member"]
        return [process for process in self.processes if process.name != leader]

    async def close(self) -> None:
        """Stop everything that was started."""
        for process in self.processes:
            await process.kill()
            await process.store_proxy.close()
        for task in self._background_tasks:
            task.cancel()
        for executor in self.executors:
            await executor.close()
        await self.advice.close()
        await self.store.server.close()
        self.folder.cleanup()

    def logs(self) -> str:
        """Return the logs of all processes."""
        paths = sorted(Path(self.folder.name).glob("*.log"))
        return "\n".join(f"== {path.name}\n{path.read_text()}" for path in paths)

    async def _advise(self, request: Request) -> Response:
        await asyncio.sleep(0.01)
        return Response(
            200, {"allowed": [[name, f"t-{name}"] for name in request.body["workers"]]}
        )
