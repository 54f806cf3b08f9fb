"""One term of the cell's holder: takeover, the loops of the term, and what others ask of it."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import Command, PaceRun, RequestAdvice, StartRun, StopRun
from lagoonshelf_core.jobs.planning import plan, summary
from lagoonshelf_core.jobs.progress import FINAL_STATES, Job, JobState, Run, RunEnd
from lagoonshelf_core.jobs.spec import JobId, JobSpec
from lagoonshelf_core.jobs.supervision import supervise
from lagoonshelf_server.jobs import figures
from lagoonshelf_server.jobs.advisors import Advisors
from lagoonshelf_server.jobs.config_view import ConfigView
from lagoonshelf_server.jobs.fleet import Fleet, FleetHooks, FleetPorts
from lagoonshelf_server.jobs.intake import Intake, read_cancel, read_job
from lagoonshelf_server.jobs.keys import INTAKE_PREFIX, PROGRESS_PREFIX, USED_WORKERS
from lagoonshelf_server.jobs.ledger import Ledger
from lagoonshelf_server.jobs.orders import Orders
from lagoonshelf_server.jobs.ports import (
    Item,
    MachinePort,
    PlatformViews,
    Store,
    StoreUnavailableError,
    StoreUncertainError,
    WorkerPort,
)
from lagoonshelf_server.jobs.seat import Seat
from lagoonshelf_server.jobs.upkeep import Upkeep
from lagoonshelf_server.logs import logger

RETRY_S = 0.1
# Events that come together are answered by one pass.
PLAN_PAUSE_S = 0.003
# States are promised to callers for 120 s after the end.
FORGET_AFTER_MS = 150_000
FORGET_EACH_S = 10.0
# Longest wait for the record of a start before the state of the store is looked at.
RECORD_WAIT_S = 0.15
TROUBLED_WAIT_S = 0.02
REPORT_S = 1.0

_log = logger("holder")


@dataclass(frozen=True, slots=True)
class Ports:
    """Outside systems that a holder uses."""

    store: Store
    workers: WorkerPort
    views: PlatformViews
    machines: MachinePort | None = None


class Holder:
    """State and loops of one term."""

    def __init__(self, ports: Ports, seat: Seat, config: ConfigView, clock: Clock) -> None:
        """Set up; ``run`` does the rest."""
        self.is_store_troubled: Callable[[], bool] = lambda: False
        self._store = ports.store
        self._views = ports.views
        self._machines = ports.machines
        self._seat = seat
        self._config = config
        self._clock = clock
        self._kicked = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self.cell = Cell(config.current)
        self.cell.on_end = _count_end
        self.ledger = Ledger(self._store, seat)
        self.advisors = Advisors(self.cell, clock, self.kick)
        self._intake = Intake(self._store, self.accept, self.cancel)
        hooks = FleetHooks(self._spawn, self._after_report, self.kick)
        fleet_ports = FleetPorts(ports.store, ports.workers, ports.views)
        self._fleet = Fleet(self.cell, fleet_ports, self.ledger, seat, clock, hooks)
        contacts = self._fleet.contacts
        self.orders = Orders(self.cell, ports.workers, seat, clock, contacts, self.kick)
        self.is_ready = False

    async def run(self) -> None:
        """Take over and hold the cell until the seat is lost."""
        try:
            self._spawn(self._until_lost())
            started_ms = self._clock.now_ms()
            await self._take_over()
            self.is_ready = True
            _log.info(
                "holder ready",
                seat=self._seat.revision,
                jobs=len(self.cell.jobs),
                live=len(self.cell.live_jobs),
                workers=len(self.cell.workers),
                took_ms=self._clock.now_ms() - started_ms,
            )
            self._spawn(self.ledger.run())
            self._spawn(self._intake.follow())
            self._fleet.begin()
            self._spawn(self._forget())
            self._spawn(self._report())
            if self._machines is not None:
                args = (self.cell, self._store, self._machines, self._views)
                self._spawn(Upkeep(*args, self._seat, self._clock).run())
            await self._plan_loop()
        finally:
            self.is_ready = False
            for task in list(self._tasks):
                task.cancel()

    def kick(self) -> None:
        """Ask for a planning pass soon."""
        self._kicked.set()

    def accept(self, spec: JobSpec) -> Job:
        """Take in a job that is stored."""
        job = self.cell.accept(spec, self._clock.now_ms())
        self.kick()
        return job

    def cancel(self, job: JobId) -> None:
        """Cancel a job whose cancellation is stored."""
        if self.cell.cancel(job, self._clock.wall_ms()):
            _log.info("job cancelled", request=job)
            self.kick()

    def state(self, job_id: JobId) -> JobState | None:
        """Return the state to show for a job, as a successor would show it too."""
        if job_id not in self.cell.jobs:
            return None
        return self.ledger.shown.get(job_id, JobState.QUEUED)

    def may_answer(self) -> bool:
        """Tell whether what is known here is surely the newest.

        A process that was paused may have been replaced without knowing it.
        """
        return self.is_ready and self._seat.may_order()

    async def _take_over(self) -> None:
        while True:
            try:
                await self._read_all()
                return
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.info("takeover waits for the store", reason=str(exc))
                await asyncio.sleep(RETRY_S)

    async def _read_all(self) -> None:
        intake, progress, registry, used = await asyncio.gather(
            self._store.read_all(INTAKE_PREFIX),
            self._store.read_all(PROGRESS_PREFIX),
            self._store.read_all(self._views.registry_prefix),
            self._store.read(USED_WORKERS),
        )
        self._intake.revision = intake[1]
        lapse_ms = self._fleet.restore(registry[0], used)
        self._restore_jobs(intake[0], progress[0])
        self._fleet.suspect_runs(lapse_ms)
        await self._fleet.write_used()

    def _restore_jobs(self, intake: list[Item], progress: list[Item]) -> None:
        now_ms = self._clock.now_ms()
        records = {item.key.removeprefix(PROGRESS_PREFIX): item for item in progress}
        for item in intake:
            spec = read_job(item)
            if spec is not None:
                self._restore_job(spec, records.get(spec.id), now_ms)
        for item in intake:
            cancelled = read_cancel(item)
            if cancelled is not None:
                self.cancel(cancelled)

    def _restore_job(self, spec: JobSpec, record: Item | None, now_ms: int) -> None:
        waited_ms = max(0, self._clock.wall_ms() - spec.accepted_ms)
        progress = None if record is None else record.value
        try:
            job = self.cell.restore(spec, progress, now_ms - waited_ms)
        except (IndexError, KeyError, TypeError, ValueError) as exc:
            # Without its progress nobody knows what of it has run, so none of it is run again.
            _log.error("progress record unreadable", request=spec.id, reason=repr(exc))
            self.cell.suspend_job(spec.id)
            return
        if record is not None:
            self.ledger.known(spec.id, record.revision, job.state)

    async def _until_lost(self) -> None:
        await self._seat.lost.wait()
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()
        self.kick()

    async def _plan_loop(self) -> None:
        while self._seat.is_held:
            await self._kicked.wait()
            await asyncio.sleep(PLAN_PAUSE_S)
            self._kicked.clear()
            self._pass()

    def _pass(self) -> None:
        cell, now_ms = self.cell, self._clock.now_ms()
        cell.cfg = self._config.current
        if self._seat.may_order():
            supervise(cell, now_ms)
            plan(cell, now_ms, self._clock.wall_ms(), self.advisors.budget_ms())
        commands, cell.commands = cell.commands, []
        starting = {c.run.task.job for c in commands if isinstance(c, StartRun)}
        cell.changed_jobs.update(starting)
        self._record_changes(is_urgent=bool(starting))
        mark = self.ledger.mark()
        for command in commands:
            self._spawn(self._carry_out(command, mark))
        notes, cell.notes = cell.notes, []
        for message, fields in notes:
            _log.info(message, seat=self._seat.revision, **fields)

    def _after_report(self) -> None:
        self._record_changes()
        self.kick()

    def _record_changes(self, *, is_urgent: bool = False) -> None:
        """Hand the changed jobs to the ledger; their ends may be acknowledged once durable."""
        is_urgent = is_urgent or any(job.is_final for job in self.cell.changed_jobs)
        for job in self.cell.changed_jobs:
            if job.state in FINAL_STATES and not job.ended_wall_ms:
                job.ended_wall_ms = self._clock.wall_ms()
                waited_ms = self._clock.now_ms() - job.received_ms
                figures.job_ms.observe({"state": job.state.value}, waited_ms)
                _log.info("job ended", request=job.id, state=job.state.value, after_ms=waited_ms)
        self.ledger.add(self.cell.changed_jobs, is_urgent=is_urgent)
        self.cell.changed_jobs = set()

    def _carry_out(self, command: Command, mark: int) -> Coroutine:
        if isinstance(command, StartRun):
            return self._start(command, mark)
        if isinstance(command, StopRun):
            return self.orders.stop(command)
        if isinstance(command, PaceRun):
            return self.orders.pace(command)
        assert isinstance(command, RequestAdvice)
        return self.advisors.ask(command)

    async def _start(self, command: StartRun, mark: int) -> None:
        """Start a run once a successor would know of it.

        While no member has the store working as usual, work goes on without a record; a
        successor then waits for the leases of workers that it cannot read.
        """
        wait_s = TROUBLED_WAIT_S if self.is_store_troubled() else RECORD_WAIT_S
        while not await self.ledger.wait_durable(mark, wait_s):
            if self.is_store_troubled():
                self.cell.note("start not recorded", command.run)
                break
        await self.orders.start(command)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            fields = summary(self.cell, self._clock.now_ms())
            for band, count in fields["open_steps"].items():
                figures.open_steps.set({"band": band}, count)
            figures.live_jobs.set({}, len(self.cell.live_jobs))
            _log.info("cell", **fields)

    async def _forget(self) -> None:
        """Delete the records of jobs that ended long ago."""
        while True:
            await asyncio.sleep(FORGET_EACH_S)
            limit_ms = self._clock.wall_ms() - FORGET_AFTER_MS
            old = [
                job.id
                for job in self.cell.jobs.values()
                if job.is_final and 0 < job.ended_wall_ms < limit_ms
            ]
            try:
                await self.ledger.forget(old)
            except (StoreUnavailableError, StoreUncertainError) as exc:
                _log.info("old jobs not deleted", reason=str(exc))
                continue
            for job_id in old:
                self.cell.remove_job(job_id)

    def _spawn(self, coro: Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(self._guard(coro))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _guard(self, coro: Coroutine) -> None:
        """Give the seat back when a part of the term fails, instead of holding it half dead."""
        try:
            await coro
        except asyncio.CancelledError:
            raise
        except Exception:
            _log.error("part of the term failed", exc_info=True)
            self._seat.step_down("a part of the term failed")


def _count_end(run: Run, how: RunEnd, now_ms: int) -> None:
    figures.run_ends.inc({"how": how.value})
    if how is not RunEnd.DONE:
        core_ms = run.size.cpu_milli * (now_ms - run.started_ms) / 1000
        figures.wasted_core_ms.add({"how": how.value}, core_ms)
