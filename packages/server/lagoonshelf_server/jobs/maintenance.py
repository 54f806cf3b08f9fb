"""Runs maintenance waves: one command per machine, few at once, and a status for the operator."""

import asyncio

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.waves import MachineId, MachineView, Wave
from lagoonshelf_server.jobs.keys import LEADER_KEY
from lagoonshelf_server.jobs.leader_lease import LeaderLease
from lagoonshelf_server.jobs.ports import (
    MachinePort,
    MaintenanceOutcome,
    NoAnswerError,
    PlatformCodec,
    Put,
    Store,
    StoreUnavailableError,
    StoreUncertainError,
)
from lagoonshelf_server.logs import logger

POLL_INTERVAL_S = 1.0
ADVANCE_INTERVAL_S = 0.2
# A new leader commands no machine for this long, as its predecessor may just have done so.
FIRST_COMMAND_DELAY_MS = 3_500
# Assumed duration per machine for the plan of a wave; the platform reports the actual end.
MAINTENANCE_MS = 2_000

_log = logger("upkeep")


class Maintenance:
    """Maintenance waves of one leader term."""

    def __init__(
        self,
        cell: Cell,
        store: Store,
        machines: MachinePort,
        codec: PlatformCodec,
        leader_lease: LeaderLease,
        clock: Clock,
    ) -> None:
        """Set up without waves."""
        self._cell = cell
        self._store = store
        self._machines = machines
        self._codec = codec
        self._leader_lease = leader_lease
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._waves: dict[int, Wave] = {}
        self._reported: dict[int, bool] = {}

    async def run(self) -> None:
        """Poll for waves and run them until cancelled."""
        read_at_s = 0.0
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= read_at_s:
                read_at_s = loop.time() + POLL_INTERVAL_S
                await self._find_waves()
            try:
                if any(not self._reported.get(number) for number in self._waves):
                    await self._advance()
                    await asyncio.sleep(ADVANCE_INTERVAL_S)
                    continue
            except (StoreUnavailableError, StoreUncertainError, NoAnswerError) as exc:
                _log.info("maintenance is waiting", reason=str(exc))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _find_waves(self) -> None:
        try:
            await self._load_waves()
        except (StoreUnavailableError, StoreUncertainError) as exc:
            _log.info("maintenance waves not read", reason=str(exc))

    async def _load_waves(self) -> None:
        items, _ = await self._store.read_all(self._codec.wave_prefix, stale=True)
        for item in items:
            spec = self._codec.decode_wave(item.value)
            if spec is None or spec.number in self._waves:
                continue
            status = await self._store.read(self._codec.wave_status_key(spec.number))
            if status is not None and self._codec.is_wave_complete(status.value):
                self._reported[spec.number] = True
            self._waves[spec.number] = Wave(spec, self._clock.now_ms(), MAINTENANCE_MS)
            if not self._reported.get(spec.number):
                _log.info("maintenance wave found", wave=spec.number, machines=len(spec.machines))

    async def _advance(self) -> None:
        views = {view.id: view for view in await self._machines.list_machines()}
        busy = {worker.id for worker in self._cell.workers.values() if worker.runs}
        leaving = set()
        for wave in self._waves.values():
            if self._reported.get(wave.spec.number):
                continue
            for machine in wave.advance(views, busy, self._clock.now_ms()):
                await self._begin(wave, machine, views[machine])
            leaving |= wave.draining_workers()
            await self._report(wave)
        for worker in self._cell.workers.values():
            worker.is_maintenance_due = worker.id in leaving

    async def _begin(self, wave: Wave, machine: MachineId, view: MachineView) -> None:
        now_ms = self._clock.now_ms()
        if (
            now_ms - self._started_ms < FIRST_COMMAND_DELAY_MS
            or not self._leader_lease.may_dispatch()
        ):
            return
        outcome = await self._machines.begin_maintenance(
            machine, wave.spec.number, self._leader_lease.member, self._leader_lease.token
        )
        _log.info(
            "machine maintenance requested",
            machine=machine,
            worker=view.worker,
            wave=wave.spec.number,
            outcome=outcome.value,
        )
        if outcome is MaintenanceOutcome.BEGUN:
            wave.maintenance_started(machine, now_ms)
        elif outcome is MaintenanceOutcome.FENCED:
            self._leader_lease.step_down(f"fenced at machine {machine}")

    async def _report(self, wave: Wave) -> None:
        number, is_complete = wave.spec.number, wave.is_complete
        if self._reported.get(number) == is_complete:
            return
        value = self._codec.encode_wave_status(number, is_complete=is_complete)
        put = Put(self._codec.wave_status_key(number), value)
        if await self._store.commit({LEADER_KEY: self._leader_lease.token}, [put]) is not None:
            self._reported[number] = is_complete
            _log.info("maintenance wave status written", wave=number, complete=is_complete)
