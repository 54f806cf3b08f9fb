"""Carries out the commands of scheduling passes, each until its effect is known."""

import asyncio
from collections.abc import Callable
from weakref import WeakValueDictionary

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import TaskId, WorkerId
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import PaceRun, StartRun, StopRun
from lagoonshelf_core.jobs.permits import SEND_MARGIN_MS
from lagoonshelf_core.jobs.progress import ATTEMPTS_SKIPPED, UNKNOWN_PACE_PERCENT, Run, RunPhase
from lagoonshelf_core.jobs.workers import Worker
from lagoonshelf_core.resources import ZERO_RESOURCES
from lagoonshelf_server.jobs import job_metrics
from lagoonshelf_server.jobs.leader_lease import LeaderLease
from lagoonshelf_server.jobs.ports import (
    NoAnswerError,
    StartOutcome,
    StartRequest,
    StopOutcome,
    WorkerPort,
    WorkerReply,
    WorkerUnreachableError,
)
from lagoonshelf_server.jobs.worker_session import WorkerSession

# Timeouts of successive start attempts; a worker usually answers within milliseconds.
START_TIMEOUTS_MS = (200, 300, 600)
SUSPECT_START_TIMEOUTS_MS = (600,)
COMMAND_TIMEOUT_MS = 500
RETRY_S = 0.1
# Calls to one worker at a time. More would each need a connection, and wait for one another at the
# worker until they time out.
CALLS_PER_WORKER = 16
# Pauses between unanswered stops of a run grow up to this.
MAX_STOP_RETRY_S = 0.5


class Dispatcher:
    """Sends the commands of one leader to its workers."""

    def __init__(
        self,
        cell: Cell,
        port: WorkerPort,
        leader_lease: LeaderLease,
        clock: Clock,
        sessions: dict[str, WorkerSession],
        on_change: Callable[[], None],
    ) -> None:
        """Set up without commands.

        :param sessions: sessions by worker id
        :param on_change: called when a scheduling pass is needed
        """
        self._cell = cell
        self._port = port
        self._leader_lease = leader_lease
        self._clock = clock
        self._sessions = sessions
        self._on_change = on_change
        self._slots: WeakValueDictionary[WorkerId, asyncio.Semaphore] = WeakValueDictionary()
        self.may_start: Callable[[], bool] = lambda: True

    async def start(self, command: StartRun) -> None:
        """Start a run; repeat an unanswered command, then cancel it with a stop."""
        async with self._slots_of(command.run.worker):
            await self._start(command)

    def _slots_of(self, worker: WorkerId) -> asyncio.Semaphore:
        """Return what limits the calls to a worker; it exists as long as a call needs it."""
        slots = self._slots.get(worker)
        if slots is None:
            slots = self._slots[worker] = asyncio.Semaphore(CALLS_PER_WORKER)
        return slots

    async def _start(self, command: StartRun) -> None:
        run = command.run
        is_uncertain = False
        # A worker that crashed is not to be crashed again by the same attempt.
        is_suspect = run.task is not None and run.task.is_suspect
        for timeout_ms in SUSPECT_START_TIMEOUTS_MS if is_suspect else START_TIMEOUTS_MS:
            worker = self._cell.workers.get(run.worker)
            if worker is None or not self._leader_lease.may_dispatch():
                break
            if run.phase is not RunPhase.STARTING:
                return
            reason = self._find_obstacle(command, worker)
            if reason and not is_uncertain:
                self._withdraw(run, reason)
                return
            request = None if reason else self._start_request(command)
            if request is None:
                break
            try:
                answer = await self._send_start(run, worker, request, timeout_ms)
            except NoAnswerError as exc:
                self._cell.note("start not answered", run, reason=str(exc))
                is_uncertain = True
                continue
            if answer is not None:
                self._apply_start(run, answer, is_uncertain=is_uncertain)
                return
        if run.phase is RunPhase.STARTING:
            self._cell.stop_run(run, "start not answered")
            self._on_change()

    def _start_request(self, command: StartRun) -> StartRequest | None:
        """Return a start that can be sent now, ``None`` while the worker's clock is unknown."""
        run = command.run
        session = self._sessions.get(run.worker)
        lease_end_ms = None if session is None else session.lease_end_ms()
        if lease_end_ms is None:
            return None
        return StartRequest(
            run.name,
            run.attempt,
            command.payload,
            lease_end_ms,
            session.token(),
            command.checkpoint,
            self._find_permit(command),
        )

    async def _send_start(
        self, run: Run, worker: Worker, request: StartRequest, timeout_ms: int
    ) -> WorkerReply | None:
        """Send a start; return ``None`` if it certainly had no effect and may be repeated.

        :raises NoAnswerError: if it may take effect
        """
        session = self._sessions[run.worker]
        try:
            answer = await self._port.start(worker.info, request, timeout_ms)
        except WorkerUnreachableError as exc:
            self._cell.note("start not sent", run, reason=str(exc))
            return None
        if answer.outcome is StartOutcome.FENCED and request.token < self._token(worker):
            self._cell.note("start refused", run, reason="sent to a former incarnation")
            return None
        if self._sessions.get(run.worker) is session:
            session.record_clock(answer.worker_clock_ms)
        return answer

    async def stop(self, command: StopRun) -> None:
        """Stop a run; repeat until the worker has accepted it or the run has ended."""
        run = command.run
        failures = 0
        while self._is_current(run):
            worker = self._cell.workers[run.worker]
            try:
                async with self._slots_of(run.worker):
                    token = self._token(worker)
                    answer = await self._port.stop(
                        worker.info, run.name, run.attempt, token, COMMAND_TIMEOUT_MS
                    )
            except (WorkerUnreachableError, NoAnswerError) as exc:
                failure, reason = "stop not answered", str(exc)
            else:
                if answer.outcome is StopOutcome.FENCED and token >= self._token(worker):
                    self._leader_lease.step_down(f"fenced at worker {run.worker}")
                    return
                if answer.outcome is StopOutcome.DONE:
                    break
                failure, reason = "stop refused", answer.outcome.value
            failures += 1
            if failures == 1:
                self._cell.note(failure, run, reason=reason)
            await asyncio.sleep(min(RETRY_S * failures, MAX_STOP_RETRY_S))
        if self._is_current(run):
            # A run that never started has no end; the next list without it frees its allocation.
            run.confirmed_ms = run.confirmed_ms or self._clock.now_ms()

    async def pace(self, command: PaceRun) -> None:
        """Set the share of full speed of a run; a scheduling pass repeats a lost command."""
        run = command.run
        if not self._is_current(run):
            return
        worker = self._cell.workers[run.worker]
        try:
            await self._port.pace(
                worker.info,
                run.name,
                run.attempt,
                command.percent,
                self._token(worker),
                COMMAND_TIMEOUT_MS,
            )
        except (WorkerUnreachableError, NoAnswerError) as exc:
            self._cell.note("pace not answered", run, reason=str(exc))
            run.pace_percent, run.paced_at_ms = UNKNOWN_PACE_PERCENT, 0

    def _token(self, worker: Worker) -> int:
        return worker.token(self._leader_lease.token)

    def _is_current(self, run: Run) -> bool:
        worker = self._cell.workers.get(run.worker)
        return (
            self._leader_lease.is_held
            and worker is not None
            and worker.runs.get((run.name, run.attempt)) is run
        )

    def _apply_start(self, run: Run, answer: WorkerReply, *, is_uncertain: bool) -> None:
        """Apply the answer to a start.

        :param is_uncertain: an earlier start command of this run may still take effect, so that
            a refused run has to be stopped
        """
        outcome = answer.outcome
        job_metrics.start_ms.observe({}, self._clock.now_ms() - run.started_ms)
        if outcome is StartOutcome.STARTED:
            self._observe_first_start(run)
            self._cell.start_confirmed(run, self._clock.now_ms())
            self._cell.permits.permit_accepted()
            return
        if outcome is StartOutcome.FENCED:
            self._leader_lease.step_down(f"fenced at worker {run.worker}")
            return
        self._cell.note("start refused", run, reason=outcome.value)
        worker = self._cell.workers.get(run.worker)
        if run.phase is RunPhase.STARTING:
            if is_uncertain:
                self._cell.stop_run(run, "refused after an unanswered start")
            else:
                self._cell.start_rejected(run)
            self._handle_refusal(run, outcome, worker)
        self._on_change()

    def _find_permit(self, command: StartRun) -> str:
        """Return the permit of a start, or a newer one; "" if it has expired or none is required.

        A start may have waited for its record, or for a turn of a late process.
        """
        if not command.permit:
            return ""
        now_ms, run = self._clock.now_ms(), command.run
        newer = self._cell.permits.find(run.task.step.name, run.worker, now_ms)
        if newer or now_ms >= command.permit_expires_ms - SEND_MARGIN_MS:
            return newer
        return command.permit

    def _find_obstacle(self, command: StartRun, worker: Worker) -> str:
        """Return why a worker may not be given a start that was planned for it, "" if it may.

        The start may have waited for its record, or for a turn of a late process, for any time.
        """
        run = command.run
        if command.permit and not self._find_permit(command):
            return "its permit has expired"
        if not self.may_start():
            return "the configuration or the cancellations may have changed"
        if run.team is not None and not self._cell.is_within_limit(run.team, ZERO_RESOURCES):
            return "the limit of its team was lowered"
        if not worker.is_read:
            return "its worker does not answer"
        if worker.info.is_draining:
            return "its worker is draining"
        if not self._cell.may_use_registry(self._clock.now_ms()):
            return "its worker may be draining"
        if worker.is_overfull:
            return "its worker has shrunk"
        if not self._cell.may_use_capacity(worker, self._clock.now_ms()):
            return "the capacity of its worker may be outdated"
        now_ms, is_store_down = self._clock.now_ms(), self._cell.is_store_down
        domain, evacuations = worker.info.domain, self._cell.evacuations
        return evacuations.find_obstacle(domain, now_ms, is_store_down=is_store_down)

    def _withdraw(self, run: Run, reason: str) -> None:
        """End a run whose start has not been sent."""
        self._cell.note("start withdrawn", run, reason=reason)
        self._cell.start_rejected(run)
        if run.task is not None and run.task.step.spec.is_gang:
            self._cell.stop_gang_attempt(run.task.step, run.attempt)
        self._on_change()

    def _observe_first_start(self, run: Run) -> None:
        job = None if run.task is None else run.task.job
        if job is not None and not job.has_started:
            waited_ms = self._clock.now_ms() - job.received_ms
            job_metrics.first_start_ms.observe({"queue": job.spec.queue}, waited_ms)

    def _handle_refusal(self, run: Run, outcome: StartOutcome, worker: Worker | None) -> None:
        """Update the task and its worker after a refused start."""
        task = run.task
        if task is None:
            return
        if outcome is StartOutcome.ATTEMPT_TOO_LOW:
            task.attempt = max(task.attempt, self._cell.attempt_floor) + ATTEMPTS_SKIPPED
        elif outcome is StartOutcome.PERMIT_REFUSED:
            self._cell.permits.permit_rejected(task.step.name, run.worker)
        elif outcome is StartOutcome.OTHER_INCARNATION and worker is not None:
            worker.is_read = False
        elif outcome is StartOutcome.NO_ROOM and worker is not None:
            worker.is_full = True
        elif outcome is StartOutcome.UNHEALTHY:
            self._cell.health.failed(run.worker, TaskId(task.job.id), self._clock.now_ms())
        if task.step.spec.is_gang:
            self._cell.stop_gang_attempt(task.step, run.attempt)


def max_age_ms(bound_ms: int) -> int:
    """Return the age up to which starts may go by what is known of something.

    A start may reach its worker as late as its command times out.

    :param bound_ms: time after which a change has to be in force
    """
    return max(bound_ms // 2, bound_ms - max(START_TIMEOUTS_MS))
