"""Tests of the maintenance waves of a leader term with a fake store and fake machines."""

import asyncio
import unittest
from unittest.mock import patch

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import MemberId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.waves import MachineId, MachineView, WaveSpec
from lagoonshelf_server.jobs import maintenance
from lagoonshelf_server.jobs.leader_lease import LeaderLease
from lagoonshelf_server.jobs.maintenance import Maintenance
from lagoonshelf_server.jobs.ports import MaintenanceOutcome
from tests.support.job_fakes import FakeCodec, FakeStore, eventually
from tests.support.jobs import config


class _Codec(FakeCodec):
    """Codec of waves that are prepared by number."""

    wave_prefix = "waves/"

    def __init__(self) -> None:
        super().__init__()
        self.waves: dict[int, WaveSpec] = {}

    def decode_wave(self, data: bytes) -> WaveSpec | None:
        return self.waves.get(int(data))

    def wave_status_key(self, number: int) -> str:
        return f"status/{number}"

    def encode_wave_status(self, number: int, *, is_complete: bool) -> bytes:
        return b"complete" if is_complete else b"running"

    def is_wave_complete(self, data: bytes) -> bool:
        return data == b"complete"


class _Machines:
    """Machines whose maintenance lasts until it is ended."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.views = {name: MachineView(MachineId(name), True, f"w-{name}") for name in names}
        self.begun: list[tuple[str, int]] = []

    async def list_machines(self) -> list[MachineView]:
        return list(self.views.values())

    async def begin_maintenance(
        self, machine: str, wave: int, leader: str, token: int
    ) -> MaintenanceOutcome:
        self.begun.append((machine, wave))
        self.views[machine] = MachineView(MachineId(machine), False, None)
        return MaintenanceOutcome.BEGUN


class MaintenanceTest(unittest.IsolatedAsyncioTestCase):
    """Waves of one machine each."""

    async def asyncSetUp(self) -> None:
        self.store, self.codec, clock = FakeStore(), _Codec(), Clock()
        self.machines = _Machines(("m1", "m2"))
        lease = LeaderLease(self.store, clock, MemberId("m1"), "a:1")
        await lease._refresh()
        await lease._try_claim()
        for name, value in (("FIRST_COMMAND_DELAY_MS", 0), ("POLL_INTERVAL_S", 0.05)):
            change = patch.object(maintenance, name, value)
            change.start()
            self.addCleanup(change.stop)
        args = (Cell(config()), self.store, self.machines, self.codec, lease, clock)
        for coro in (lease.renew(), Maintenance(*args).run()):
            self.addCleanup(asyncio.ensure_future(coro).cancel)

    def _request(self, number: int, machine: str) -> None:
        self.codec.waves[number] = WaveSpec(number, (MachineId(machine),), 20_000, 1)
        self.store.put(f"waves/{number}", str(number).encode())

    async def test_a_wave_is_found_while_another_is_running(self) -> None:
        """Guards against a wave that is late as an earlier one has a machine that stays down."""
        self._request(1, "m1")
        await eventually(lambda: self.machines.begun == [("m1", 1)])
        self._request(2, "m2")
        await eventually(lambda: self.machines.begun == [("m1", 1), ("m2", 2)])
