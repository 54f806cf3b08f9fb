"""One term of the cell leader: takeover, main loops, and calls from other parts."""

import asyncio
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from dataclasses import dataclass

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import Command, PaceRun, RequestAdvice, StartRun, StopRun
from lagoonshelf_core.jobs.early_cancellations import EarlyCancellations
from lagoonshelf_core.jobs.job_memory import DEFAULT_MEMORY_MB, MemoryReport
from lagoonshelf_core.jobs.load_forecast import LoadForecaster
from lagoonshelf_core.jobs.options import DEFAULT_OPTIONS, SchedulerOptions
from lagoonshelf_core.jobs.planning import TASKS_PLACED, plan, summary
from lagoonshelf_core.jobs.progress import FINAL_STATES, Job, JobState, Run, RunEnd, attempt_floor
from lagoonshelf_core.jobs.spec import JobId, JobSpec
from lagoonshelf_core.jobs.supervision import supervise
from lagoonshelf_server.jobs import job_metrics
from lagoonshelf_server.jobs.advice_router import AdviceRouter
from lagoonshelf_server.jobs.config_view import ConfigView
from lagoonshelf_server.jobs.deferred_jobs import DeferredJob, DeferredJobs
from lagoonshelf_server.jobs.dispatcher import Dispatcher, max_age_ms
from lagoonshelf_server.jobs.evacuation_watcher import EvacuationWatcher
from lagoonshelf_server.jobs.fleet import Fleet, FleetHooks, FleetPorts
from lagoonshelf_server.jobs.job_watcher import JobWatcher
from lagoonshelf_server.jobs.leader_lease import LeaderLease
from lagoonshelf_server.jobs.maintenance import Maintenance
from lagoonshelf_server.jobs.note_log import Line, NoteLog
from lagoonshelf_server.jobs.overload_gate import FORECAST_INTERVAL_MS, Forecasts, report_load
from lagoonshelf_server.jobs.ports import (
    Item,
    MachinePort,
    PlatformCodec,
    Store,
    StoreRevision,
    WorkerPort,
)
from lagoonshelf_server.jobs.progress_writer import ProgressWriter
from lagoonshelf_server.jobs.retention import JobRetention
from lagoonshelf_server.jobs.takeover import TASKS_PER_TURN, CellState, read_cell_state
from lagoonshelf_server.jobs.usage_store import UsageStore
from lagoonshelf_server.logs import logger

# Events that arrive within this time are handled by a single scheduling pass.
PASS_DELAY_S = 0.003
MAX_PASS_DELAY_S = 0.05
# Longest wait for a start to be recorded before checking for a store outage.
RECORD_TIMEOUT_S = 0.15
OUTAGE_RECORD_TIMEOUT_S = 0.02
# Commands and log entries of one turn of the event loop. A wide job has thousands at once, and the
# renewal of the leader lease and the timeouts of calls wait for the end of the turn.
COMMANDS_PER_TURN = 20
NOTES_PER_TURN = 50
REPORT_INTERVAL_S = 1.0
CANCELLATION_CHECK_INTERVAL_S = 10.0
# Time after which nothing of a cancelled job is started, where the platform sets none.
DEFAULT_CANCEL_MS = 3_000

_log = logger("holder")


@dataclass(frozen=True, slots=True)
class Ports:
    """External systems that a leader uses."""

    store: Store
    workers: WorkerPort
    codec: PlatformCodec
    machines: MachinePort | None = None


class Leader:
    """State and main loops of one leader term."""

    def __init__(
        self,
        ports: Ports,
        leader_lease: LeaderLease,
        config: ConfigView,
        clock: Clock,
        options: SchedulerOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Set up without starting; ``run`` runs the term."""
        self.is_store_troubled: Callable[[], bool] = lambda: False
        self.is_store_down: Callable[[], bool] = lambda: False
        # Memory of the smallest host, which may be the next one to lead.
        self.host_memory_mb: Callable[[], float] = lambda: DEFAULT_MEMORY_MB
        self.cancel_ms = DEFAULT_CANCEL_MS
        # Time after which nothing is started in an evacuated domain, None if there are none.
        self.evacuate_ms: int | None = None
        self._store = ports.store
        self._codec = ports.codec
        self._machines = ports.machines
        self._leader_lease = leader_lease
        self._config = config
        self._clock = clock
        self._pass_requested = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._outbox: deque[Command] = deque()
        self._has_commands = asyncio.Event()
        self._notes: deque[tuple[str, dict[str, object]]] = deque()
        self._has_notes = asyncio.Event()
        self._note_log = NoteLog()
        self.cell = Cell(config.current, options)
        self.forecaster = LoadForecaster(self.cell)
        self.cell.on_end = self._count_end
        self.cell.on_loss = lambda loss: job_metrics.worker_losses.inc({"how": loss.value})
        self.cell.on_give_up = lambda: job_metrics.given_up_tasks.inc({})
        self.progress_writer = ProgressWriter(self._store, leader_lease)
        self.advice_router = AdviceRouter(self.cell, clock, self.request_pass)
        self._job_watcher = JobWatcher(self._store, clock, self.accept, self.cancel)
        hooks = FleetHooks(
            self._spawn, self._after_report, self.request_pass, self._record_changes
        )
        fleet_ports = FleetPorts(ports.store, ports.workers, ports.codec)
        self._fleet = Fleet(
            self.cell, fleet_ports, self.progress_writer, leader_lease, clock, hooks
        )
        sessions = self._fleet.sessions
        self.dispatcher = Dispatcher(
            self.cell, ports.workers, leader_lease, clock, sessions, self.request_pass
        )
        self._usage_store = UsageStore(self.cell, self._store, leader_lease, clock)
        self._evacuations = EvacuationWatcher(
            self.cell, ports.store, ports.codec, clock, self.request_pass
        )
        self._early_cancellations = EarlyCancellations()
        self._deferred = DeferredJobs(self._store, self.cell.memory, self._load_deferred)
        self.progress_writer.on_ended = self._release_job
        self._is_behind = False
        self.dispatcher.may_start = self._may_start
        self.is_ready = False

    async def run(self) -> None:
        """Take over and lead the cell until the lease is lost."""
        lost = asyncio.ensure_future(self._leader_lease.lost.wait())
        term = self._spawn(self._lead())
        try:
            await asyncio.wait((lost, term), return_when=asyncio.FIRST_COMPLETED)
        finally:
            if not self.is_ready:
                self._leader_lease.record_failed_takeover()
            self.is_ready = False
            self._log_notes(len(self._notes))
            self._log_lines(self._note_log.take_due(self._clock.now_ms(), is_last=True))
            lost.cancel()
            for task in list(self._tasks):
                task.cancel()

    async def _lead(self) -> None:
        started_ms = self._clock.now_ms()
        self.cell.memory.set_host_memory(self.host_memory_mb())
        self.cell.attempt_floor = attempt_floor(self._leader_lease.token)
        state = await read_cell_state(
            self._store, self._codec.registry_prefix, self._clock, self.cell.memory
        )
        if self.evacuate_ms:
            self.cell.evacuations.max_age_ms = max_age_ms(self.evacuate_ms)
        await self._restore(state, started_ms)
        if self.evacuate_ms:
            await self._evacuations.take_over()
        self.is_ready = True
        self._leader_lease.record_takeover()
        _log.info(
            "holder ready",
            seat=self._leader_lease.revision,
            jobs=len(self.cell.jobs),
            live=len(self.cell.live_jobs),
            deferred=len(self._deferred),
            workers=len(self.cell.workers),
            took_ms=self._clock.now_ms() - started_ms,
            **self.submission_fields(),
        )
        self._spawn(self.progress_writer.run())
        self._spawn(self._job_watcher.watch())
        self._spawn(self._job_watcher.poll(self._max_submissions_age_ms() // 2))
        for loop in self._evacuations.loops() if self.evacuate_ms else ():
            self._spawn(loop)
        self._fleet.start()
        retention = JobRetention(self._store, self.progress_writer, self._clock, self.cell.jobs)
        retention.on_ended_job_removed = self._forget_ended_job
        retention.on_cancellation_removed = self._early_cancellations.take
        self._spawn(retention.run(state.orphans))
        self._spawn(self._expire_cancellations())
        self._spawn(self._deferred.run())
        if self.cell.past_use is not None:
            self._spawn(self._usage_store.run(self.cell.past_use))
        self._spawn(self._report())
        self._spawn(self._send_loop())
        self._spawn(self._log_loop())
        if self._machines is not None:
            args = (self.cell, self._store, self._machines, self._codec)
            self._spawn(Maintenance(*args, self._leader_lease, self._clock).run())
        await self._plan_loop()

    async def prepare_hand_over(self) -> None:
        """Write what a successor would not know otherwise."""
        if self.may_answer():
            await self._usage_store.write_last()

    def request_pass(self) -> None:
        """Request a scheduling pass soon."""
        self._pass_requested.set()

    def accept(self, spec: JobSpec, created: StoreRevision) -> Job | None:
        """Add a stored job; return ``None`` if it has ended in an earlier term.

        :param created: revision at which its record was stored
        """
        if spec.id in self._deferred:
            return None
        if spec.id not in self.cell.jobs:
            if created <= self._job_watcher.revision:
                # All up to this revision have been known here, and only ended ones are removed.
                _log.info("ended job reported again", request=spec.id, created=created)
                return None
            if not self._deferred.may_load(spec):
                self._defer(spec)
                return None
        job = self.cell.accept(spec, self._clock.now_ms())
        self._cancel_if_announced(spec.id)
        self.request_pass()
        return job

    def cancel(self, job: JobId) -> None:
        """Cancel a job whose cancellation is stored, or later if the job is not known yet.

        Announcements, pages and changes of the store arrive in any order.
        """
        if self.cell.cancel(job, self._clock.wall_ms()):
            _log.info("job cancelled", request=job, **self.submission_fields())
            self.request_pass()
        elif job not in self.cell.jobs:
            self._early_cancellations.add(job, self._clock.now_ms())
            self._deferred.cancel(job)
            _log.info("unknown job cancelled", request=job, **self.submission_fields())

    def _cancel_if_announced(self, job: JobId) -> None:
        if self._early_cancellations.take(job):
            self.cancel(job)

    def state(self, job_id: JobId) -> JobState | None:
        """Return the durable state of a job, which a successor would return as well."""
        if job_id not in self.cell.jobs:
            return None
        return self.progress_writer.durable_states.get(job_id, JobState.QUEUED)

    def pending_by_queue(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue."""
        return Counter(self.cell.pending_by_queue()) + self._deferred.count_by_queue

    def memory_report(self) -> MemoryReport:
        """Return the memory of the jobs here, which members admit new ones by."""
        return self.cell.memory.report(self._deferred.bytes_by_team)

    def _memory_fields(self) -> dict[str, int]:
        memory = self.cell.memory
        return {"held_bytes": memory.held_bytes, "max_bytes": memory.max_bytes}

    def _defer(self, spec: JobSpec) -> None:
        self._deferred.add(DeferredJob.of(spec))
        _log.info("job deferred", request=spec.id, **self._memory_fields())
        self._cancel_if_announced(spec.id)

    def _load_deferred(self, spec: JobSpec) -> None:
        self._restore_job(spec, None, self._clock.now_ms())
        self._cancel_if_announced(spec.id)
        self.request_pass()

    def _release_job(self, job: JobId) -> None:
        self.cell.release_job(job, self._clock.now_ms())

    def may_answer(self) -> bool:
        """Return whether the state here is certainly current.

        A process that was paused may have been replaced without noticing.
        """
        return self.is_ready and self._leader_lease.may_dispatch()

    def forecasts(self) -> Forecasts | None:
        """Return the forecasts of the load and their age, ``None`` if there are none."""
        if not self.cell.options.refuses_overload or not self.may_answer():
            return None
        return self.forecaster.current(self._clock.now_ms(), FORECAST_INTERVAL_MS)

    async def _restore(self, state: CellState, read_ms: int) -> None:
        self._job_watcher.record_reading(state.revision, state.requested_ms)
        lapse_ms = self._fleet.restore(state.registry, state.used_workers, read_ms)
        now_ms = self._clock.now_ms()
        tasks = 0
        for spec in state.jobs:
            self._restore_job(spec, state.progress.get(spec.id), now_ms)
            tasks += sum(step.count for step in spec.steps)
            if tasks >= TASKS_PER_TURN:
                tasks = 0
                await asyncio.sleep(0)
        for job in state.deferred:
            self._deferred.add(job)
        for job in state.cancelled:
            self.cancel(job)
        for spec in state.jobs:
            self._cancel_if_announced(spec.id)
        await self._fleet.add_unverified_runs(lapse_ms)
        await self._fleet.write_used()

    def _restore_job(self, spec: JobSpec, record: Item | None, now_ms: int) -> None:
        waited_ms = max(0, self._clock.wall_ms() - spec.accepted_ms)
        progress = None if record is None else record.value
        try:
            job = self.cell.restore(spec, progress, now_ms - waited_ms)
        except (IndexError, KeyError, TypeError, ValueError) as exc:
            # Without its progress it is unknown which tasks have run, so none is run again.
            _log.error("progress record unreadable", request=spec.id, reason=repr(exc))
            self.cell.suspend_job(spec.id)
            return
        if record is not None:
            self.progress_writer.load_record(spec.id, record.revision, job.state)
        if job.is_final:
            # Its last runs had not ended, or an earlier version kept all records of ended jobs.
            self.progress_writer.add({job})

    async def _plan_loop(self) -> None:
        loop, delay_s = asyncio.get_running_loop(), PASS_DELAY_S
        while self._leader_lease.is_held:
            await self._pass_requested.wait()
            await asyncio.sleep(delay_s)
            self._pass_requested.clear()
            started = loop.time()
            self._run_pass()
            # Other tasks of the process get at least as much time as the passes.
            delay_s = max(PASS_DELAY_S, min(loop.time() - started, MAX_PASS_DELAY_S))

    def _run_pass(self) -> None:
        cell, now_ms = self.cell, self._clock.now_ms()
        cell.cfg = self._config.current
        cell.is_recording = not self.is_store_troubled()
        cell.is_store_down = self.is_store_down()
        cell.held_until_ms = self._leader_lease.held_until_ms
        if self._leader_lease.may_dispatch() and self._is_config_valid():
            supervise(cell, now_ms)
            if self._knows_cancellations():
                budget = self.advice_router.budget()
                if plan(cell, now_ms, self._clock.wall_ms(), budget):
                    self.request_pass()
        commands, cell.commands = cell.commands, []
        starting = {c.run.task.job for c in commands if isinstance(c, StartRun)}
        cell.changed_jobs.update(starting)
        self._record_changes(is_urgent=bool(starting))
        starts = [command for command in commands if isinstance(command, StartRun)]
        if starts:
            job_metrics.submissions_use_age_ms.observe({}, self._job_watcher.age_ms())
            self._spawn(self._start(starts, self.progress_writer.mark()))
        self._send(command for command in commands if not isinstance(command, StartRun))
        notes, cell.notes = cell.notes, []
        for message, fields in notes:
            if message == TASKS_PLACED:
                fields.update(self.submission_fields())
            self._notes.append((message, fields))
        if notes:
            self._has_notes.set()

    def _send(self, commands: Iterable[Command]) -> None:
        """Queue commands for their workers."""
        self._outbox.extend(commands)
        self._has_commands.set()

    async def _send_loop(self) -> None:
        """Carry out the queued commands, a few in each turn of the event loop."""
        async for _ in _turns(self._outbox, self._has_commands):
            for _ in range(min(COMMANDS_PER_TURN, len(self._outbox))):
                self._spawn(self._execute(self._outbox.popleft()))

    async def _log_loop(self) -> None:
        """Log the queued decisions, a few in each turn of the event loop."""
        async for _ in _turns(self._notes, self._has_notes):
            self._log_notes(min(NOTES_PER_TURN, len(self._notes)))

    def _log_notes(self, count: int) -> None:
        for _ in range(count):
            self._log_lines(self._note_log.add(*self._notes.popleft(), self._clock.now_ms()))

    def _log_lines(self, lines: list[Line]) -> None:
        for message, fields in lines:
            _log.info(message, seat=self._leader_lease.revision, **fields)

    def submission_fields(self) -> dict[str, int]:
        """Return how much of the stored jobs and cancellations is known, for the log."""
        watcher = self._job_watcher
        return {"submissions": watcher.revision, "submissions_age_ms": watcher.age_ms()}

    def _is_config_valid(self) -> bool:
        """Return whether limits and queues are certainly those in force.

        In an outage that all members see, nobody can change them.
        """
        return self._config.is_fresh() or self.is_store_down()

    def _may_start(self) -> bool:
        """Return whether a start that was planned some time ago may be sent now."""
        return self._is_config_valid() and self._knows_cancellations()

    def _knows_cancellations(self) -> bool:
        """Return whether the cancellations that count at the moment of a start are known here.

        In an outage that all members see nobody can store one.
        """
        is_recent = self._job_watcher.age_ms() < self._max_submissions_age_ms()
        if not is_recent and not self._is_behind:
            _log.warning("cancellations may be unknown", **self.submission_fields())
        self._is_behind = not is_recent
        return is_recent or self.is_store_down()

    def _max_submissions_age_ms(self) -> int:
        """Return the age up to which starts may go by the known cancellations."""
        return max_age_ms(self.cancel_ms)

    def _after_report(self) -> None:
        self._record_changes()
        self.request_pass()

    def _record_changes(self, *, is_urgent: bool = False) -> None:
        """Queue changed jobs for writing; run ends may be acknowledged once they are durable."""
        is_urgent = is_urgent or any(job.is_final for job in self.cell.changed_jobs)
        for job in self.cell.changed_jobs:
            if job.state in FINAL_STATES and not job.ended_wall_ms:
                job.ended_wall_ms = self._clock.wall_ms()
                waited_ms = self._clock.now_ms() - job.received_ms
                job_metrics.job_ms.observe({"state": job.state.value}, waited_ms)
                fields = {"reason": job.failure} if job.failure else {}
                if job.state is not JobState.COMPLETE:
                    self._note_log.mark_bad(job.id)
                _log.info(
                    "job ended",
                    request=job.id,
                    state=job.state.value,
                    after_ms=waited_ms,
                    **fields,
                )
        self.progress_writer.add(self.cell.changed_jobs, is_urgent=is_urgent)
        self.cell.changed_jobs = set()

    def _execute(self, command: Command) -> Coroutine:
        if isinstance(command, StartRun):
            return self.dispatcher.start(command)
        if isinstance(command, StopRun):
            return self.dispatcher.stop(command)
        if isinstance(command, PaceRun):
            return self.dispatcher.pace(command)
        assert isinstance(command, RequestAdvice)
        return self.advice_router.request(command)

    async def _start(self, commands: list[StartRun], mark: int) -> None:
        """Start runs once their records are durable, so that a successor knows of them.

        If the store is troubled for all members, work starts without a record; a successor
        then waits for the leases of the workers that it cannot reach to expire.
        """
        wait_s = OUTAGE_RECORD_TIMEOUT_S if self.is_store_troubled() else RECORD_TIMEOUT_S
        while not await self.progress_writer.wait_durable(mark, wait_s):
            if self.is_store_troubled():
                commands = self._keep_unrecorded(commands)
                break
        self._send(commands)

    def _keep_unrecorded(self, commands: list[StartRun]) -> list[StartRun]:
        """Return the starts that are sent without a record, and withdraw the others.

        A successor could not count the crashes of a task that it does not know to be started.
        """
        kept = []
        for command in commands:
            if command.run.task.step.has_suspects:
                self.cell.note("start withdrawn", command.run, reason="not recorded")
                self.cell.start_rejected(command.run)
            else:
                self.cell.note("start not recorded", command.run)
                kept.append(command)
        return kept

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            fields = summary(self.cell, self._clock.now_ms())
            for band, count in fields["open_steps"].items():
                job_metrics.open_steps.set({"band": band}, count)
            job_metrics.live_jobs.set({}, len(self.cell.live_jobs))
            if self.cell.speeds is not None:
                job_metrics.report_speeds(self.cell.speeds)
            if self.evacuate_ms:
                fields.update(self._evacuations.report())
            self._update_memory()
            fields.update(deferred=len(self._deferred), **self._memory_fields())
            report_load(self.cell, self.forecasts(), self._clock.now_ms())
            _log.info("cell", **fields)
            self._log_lines(self._note_log.take_due(self._clock.now_ms()))

    def _update_memory(self) -> None:
        memory = self.cell.memory
        memory.set_host_memory(self.host_memory_mb())
        self.cell.forget_ended_jobs(self._clock.now_ms())
        job_metrics.job_bytes.set({}, memory.held_bytes)
        job_metrics.max_job_bytes.set({}, memory.max_bytes)
        job_metrics.deferred_jobs.set({}, len(self._deferred))

    async def _expire_cancellations(self) -> None:
        while True:
            await asyncio.sleep(CANCELLATION_CHECK_INTERVAL_S)
            self._early_cancellations.take_expired(self._clock.now_ms())

    def _count_end(self, run: Run, end: RunEnd, now_ms: int) -> None:
        job_metrics.count_run_end(run, end, now_ms)
        self.forecaster.record_end(run, end)

    def _forget_ended_job(self, job: JobId) -> None:
        self.progress_writer.forget(job)
        self.cell.remove_job(job)

    def _spawn(self, coro: Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(self._guard(coro))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _guard(self, coro: Coroutine) -> None:
        """Step down if a task of the term fails, instead of leading with a part missing."""
        try:
            await coro
        except asyncio.CancelledError:
            raise
        except Exception:
            _log.error("task of the leader term failed", exc_info=True)
            self._leader_lease.step_down("a task of the leader term failed")


async def _turns(queue: deque, is_filled: asyncio.Event) -> AsyncIterator[None]:
    """Yield once in each turn of the event loop while a queue is not empty."""
    while True:
        await is_filled.wait()
        is_filled.clear()
        while queue:
            yield
            await asyncio.sleep(0)
