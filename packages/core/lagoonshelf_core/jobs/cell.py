"""State of the cell at its leader: jobs, workers and runs, and how events change them."""

from collections import Counter, deque
from collections.abc import Callable

from lagoonshelf_core.health import Health, HealthLimits
from lagoonshelf_core.ids import TaskId, TeamId, WorkerId
from lagoonshelf_core.jobs.arrival_forecast import ArrivalForecast
from lagoonshelf_core.jobs.cold_starts import ColdStarts
from lagoonshelf_core.jobs.commands import Command, StopRun
from lagoonshelf_core.jobs.config import CellConfig, Queue
from lagoonshelf_core.jobs.ended_jobs import EndedJobs
from lagoonshelf_core.jobs.evacuations import Evacuations
from lagoonshelf_core.jobs.job_memory import (
    JobMemory,
    job_bytes,
    occurrence_bytes,
)
from lagoonshelf_core.jobs.job_records import RecordedRun, restore_progress
from lagoonshelf_core.jobs.open_steps import OpenSteps
from lagoonshelf_core.jobs.options import DEFAULT_OPTIONS, SchedulerOptions
from lagoonshelf_core.jobs.past_use import past_use_of
from lagoonshelf_core.jobs.permits import Permits
from lagoonshelf_core.jobs.progress import (
    Job,
    JobState,
    Run,
    RunEnd,
    RunPhase,
    StepRun,
    Task,
)
from lagoonshelf_core.jobs.rates import TeamRates
from lagoonshelf_core.jobs.spec import JobId, JobSpec, Occurrence
from lagoonshelf_core.jobs.worker_speeds import WorkerSpeeds
from lagoonshelf_core.jobs.workers import (
    LossRecord,
    Worker,
    WorkerInfo,
    WorkerLoss,
)
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources

# A worker is quarantined after two consecutive failures of different jobs. On quiet days 2% to 5%
# of the runs fail by chance at both sites.
WORKER_HEALTH_LIMITS = HealthLimits(
    streak=2,
    history=8,
    first_quarantine_ms=4_000,
    max_quarantine_ms=16_000,
    backoff_reset_ms=60_000,
    probes_to_clear=1,
    max_failed_workers=2,
    starts_after_failure=8,
)

# Ends of one member after which the other runs of its gang's attempt are of no use.
_GANG_ENDS = frozenset({RunEnd.DONE, RunEnd.FAILED, RunEnd.LAPSED, RunEnd.ALONE})

# Without a delay, a service whose task ends at once is started as fast as its worker answers. A
# run that lasted is followed by the next one immediately.
SERVICE_RESTART_DELAY_MS = 500
SHORT_SERVICE_RUN_MS = 10_000

# Losses of workers that are remembered.
MAX_LOSS_RECORDS = 500


class Cell:
    """Jobs, workers and runs of the cell.

    Its methods apply events; they collect changed jobs, commands and log entries for the process.
    """

    def __init__(self, cfg: CellConfig, options: SchedulerOptions = DEFAULT_OPTIONS) -> None:
        """Create an empty cell.

        :param cfg: configuration in force
        :param options: optional parts of the scheduler
        """
        self.cfg = cfg
        self.options = options
        self.jobs: dict[JobId, Job] = {}
        self.live_jobs: dict[JobId, Job] = {}
        self.memory = JobMemory()
        self.ended_jobs = EndedJobs(self.memory)
        self.open_steps = OpenSteps()
        self.workers: dict[WorkerId, Worker] = {}
        self.team_allocations: dict[TeamId, Resources] = {}
        self.permits = Permits()
        self.health = Health(WORKER_HEALTH_LIMITS)
        self.rates = TeamRates()
        self.speeds = WorkerSpeeds() if options.models_worker_speed else None
        self.past_use = past_use_of(options)
        self.arrivals = ArrivalForecast()
        self.changed_jobs: set[Job] = set()
        self.commands: list[Command] = []
        self.notes: list[tuple[str, dict[str, object]]] = []
        self.recorded_runs: list[RecordedRun] = []
        # Time until which the leader lease has certainly not lapsed, None for no limit.
        self.held_until_ms: int | None = None
        # Starts of inherited jobs are numbered above it, see ``attempt_floor``.
        self.attempt_floor = 0
        # Whether starts are recorded before they are sent; not in an outage of the store.
        self.is_recording = True
        # Whether the store answers no member, so that nothing in it changes.
        self.is_store_down = False
        # Age from which the capacity of a worker may be outdated, 0 for none.
        self.max_capacity_age_ms = 0
        # Time at which the workers known here were those in the registry, and the age from which
        # one may have reported since that it is draining, 0 for none.
        self.registry_ms = 0
        self.max_registry_age_ms = 0
        self.evacuations = Evacuations()
        self.cold_starts = ColdStarts()
        self.losses: deque[LossRecord] = deque(maxlen=MAX_LOSS_RECORDS)
        self.last_supervised_ms = 0
        self.on_end: Callable[[Run, RunEnd, int], None] = lambda run, end, now_ms: None
        self.on_loss: Callable[[WorkerLoss], None] = lambda loss: None
        self.on_give_up: Callable[[], None] = lambda: None

    # Jobs

    def accept(self, spec: JobSpec, now_ms: int, *, is_inherited: bool = False) -> Job:
        """Add a stored job and return it; return a known job unchanged."""
        if spec.id in self.jobs:
            return self.jobs[spec.id]
        job = Job(spec, now_ms, is_inherited=is_inherited)
        job.attempt_floor = self.attempt_floor if is_inherited else 0
        team = self.cfg.teams.get(spec.team)
        job.is_excess = team is not None and not self.rates.admit(team, now_ms)
        self.jobs[spec.id] = job
        self.live_jobs[spec.id] = job
        self.memory.update(spec, job_bytes(spec))
        if self.options.forecasts_reserve and not is_inherited:
            self.arrivals.record_job(self.cfg.queues.get(spec.queue), spec, now_ms)
        if not spec.occurrences:
            self.open_occurrence(job, Occurrence(0))
        return job

    def restore(self, spec: JobSpec, progress: bytes | None, now_ms: int) -> Job:
        """Add a job and apply the durable record of its progress.

        :raises ValueError: when the record cannot be read
        """
        job = self.accept(spec, now_ms, is_inherited=True)
        job.is_excess = False
        if progress is not None:
            self.recorded_runs += restore_progress(job, progress)
            self.update_memory(job)
        if job.is_final:
            self._close(job)
        for step in job.steps.values():
            self.update_open_step(step)
        return job

    def cancel(self, job_id: JobId, now_wall_ms: int) -> bool:
        """Cancel a job; return whether it was known and not final."""
        job = self.jobs.get(job_id)
        if job is None or job.is_final:
            return False
        self._finish(job, JobState.CANCELLED, now_wall_ms)
        return True

    def fail_job(self, job: Job, reason: str) -> None:
        """End a job as failed.

        :param reason: text for the log and the record of the job
        """
        job.failure = reason
        self._finish(job, JobState.FAILED, 0)

    def suspend_job(self, job_id: JobId) -> None:
        """Keep a job but start none of its tasks."""
        job = self.jobs[job_id]
        self.live_jobs.pop(job_id, None)
        self.changed_jobs.discard(job)
        self.open_steps.discard_all(job.steps.values())

    def remove_job(self, job_id: JobId) -> None:
        """Remove a final job."""
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self.live_jobs.pop(job_id, None)
            self.changed_jobs.discard(job)
            self.ended_jobs.discard(job)
            self.memory.update(job.spec, 0)

    def release_job(self, job_id: JobId, now_ms: int) -> None:
        """Drop the tasks of a job whose final state is durable and that has no runs."""
        job = self.jobs.get(job_id)
        if job is not None and not job.has_runs and job_id not in self.ended_jobs:
            self.ended_jobs.add(job, now_ms)

    def forget_ended_jobs(self, now_ms: int) -> None:
        """Remove the jobs that ended first, as far as ended ones hold too much memory."""
        for job_id in self.ended_jobs.excess(now_ms):
            self.remove_job(job_id)

    def queue_of(self, job: Job) -> Queue | None:
        """Return the queue of a job, or None when the configuration no longer has it."""
        return self.cfg.queues.get(job.spec.queue)

    def pending_by_queue(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue."""
        waiting = (job for job in self.live_jobs.values() if not job.has_started)
        return Counter(job.spec.queue for job in waiting)

    def update_open_step(self, step: StepRun) -> None:
        """Update whether a step has tasks that can start."""
        job = step.job
        if step.waiting and not job.is_final and job.is_ready(step):
            self.open_steps.add(step)
        else:
            self.open_steps.discard(step)

    def update_memory(self, job: Job) -> None:
        """Record the memory of a job that has not ended by its open occurrences."""
        if job.id not in self.jobs or job.id in self.ended_jobs:
            return
        further = max(0, len(job.steps) // len(job.spec.steps) - 1)
        size_bytes = job_bytes(job.spec) + further * occurrence_bytes(job.spec)
        self.memory.update(job.spec, size_bytes)

    def open_occurrence(self, job: Job, occurrence: Occurrence) -> None:
        """Create the steps of an occurrence, unless it has them."""
        for step in job.occurrence_steps(occurrence):
            self.update_open_step(step)

    # Workers

    def update_worker(self, info: WorkerInfo, now_ms: int) -> Worker:
        """Add or update a worker from its registry entry; ignore an older incarnation's entry.

        A new incarnation has none of the old runs, but it may have received the last starts; its
        first report shows which.
        """
        worker = self.workers.get(info.id)
        if worker is not None and info.born_ms < worker.info.born_ms:
            return worker
        if worker is None:
            worker = self.workers[info.id] = Worker(info)
        elif worker.info.born_ms != info.born_ms:
            self.mark_runs_unverified(worker, now_ms)
            worker.is_recorded = False
            self.health.forget_worker(info.id)
        if info.is_draining and not worker.info.is_draining:
            worker.drain_end_ms = now_ms + info.remaining_ms
        worker.info = info
        if self.evacuations.max_age_ms:
            worker.record_cold(now_ms)
        worker.is_listed = True
        worker.is_full = False
        return worker

    def is_available(self, worker: Worker, now_ms: int) -> bool:
        """Return whether a worker may get tasks, as far as its own state and domain allow it."""
        return (
            worker.is_usable
            and worker.info.domain not in self.evacuations.domains
            and not self.health.is_quarantined(worker.id, now_ms)
        )

    def may_use_capacity(self, worker: Worker, now_ms: int) -> bool:
        """Return whether what a worker has reported of its capacity is recent enough."""
        if not self.max_capacity_age_ms:
            return True
        return now_ms - worker.registered_ms <= self.max_capacity_age_ms

    def may_use_registry(self, now_ms: int) -> bool:
        """Return whether it is recent enough what is known of the registry.

        In an outage that all members see, no worker can report that it is draining.
        """
        if not self.max_registry_age_ms or self.is_store_down:
            return True
        return now_ms - self.registry_ms <= self.max_registry_age_ms

    def may_have_other_leader(self, job: Job) -> bool:
        """Return whether a job may have been stored in the term of another leader.

        In an outage of the store this leader goes on after its lease has lapsed. A job that it
        receives then shows that the store is back, so that there may be a successor.
        """
        if self.held_until_ms is None or job.is_inherited:
            return False
        return job.received_ms >= self.held_until_ms

    def has_too_many_runs(self) -> bool:
        """Return whether the runs take the memory that is meant for them.

        The capacity of the workers does not bound them: a task may need none.
        """
        return sum(len(worker.runs) for worker in self.workers.values()) >= self.memory.max_runs

    def remove_worker(self, worker: Worker) -> None:
        """Remove a worker on which nothing can run any more."""
        self.workers.pop(worker.id, None)

    def mark_runs_unverified(self, worker: Worker, now_ms: int) -> None:
        """Mark the runs of a worker that has restarted: the new incarnation may run some."""
        worker.is_read = False
        worker.record_restart(now_ms)
        for run in worker.runs.values():
            run.is_unverified = True

    def end_worker_runs(self, worker: Worker, now_ms: int, reason: str) -> None:
        """End all runs of a worker that no longer has them."""
        for run in list(worker.runs.values()):
            self.note("run lost", run, reason=reason, alive_ms=worker.alive_ms(run))
            self.end_run(run, RunEnd.LAPSED, run.checkpoint, now_ms)

    # Runs

    def find_task(self, name: str) -> Task | None:
        """Return a task by its name, or None when it is not known here."""
        parts = name.split(".")
        job = self.jobs.get(JobId(parts[0]))
        if job is None or len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
            return None
        occurrence, step, index = (int(part) for part in parts[1:])
        return job.find_task(occurrence, step, index)

    def begin_run(self, task: Task, worker: Worker, attempt: int, now_ms: int) -> Run:
        """Create a run that is about to be started and allocate its resources."""
        spec = task.step.spec
        run = Run(
            task.name,
            attempt,
            worker.id,
            spec.size,
            task.job.spec.team,
            task,
            RunPhase.STARTING,
            now_ms,
            is_filler=spec.is_filler,
            is_service=spec.is_service,
            progressed_ms=now_ms,
        )
        task.assign(run)
        task.attempt = attempt
        self.allocate(worker, run)
        self.health.started(worker.id, TaskId(task.job.id))
        return run

    def start_confirmed(self, run: Run, now_ms: int) -> None:
        """Record that a worker has started a run."""
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        run.has_started = True
        run.confirmed_ms = now_ms
        run.progressed_ms = now_ms
        if run.task is not None and not run.task.job.has_started:
            job = run.task.job
            job.has_started = True
            if job.state is JobState.QUEUED:
                job.state = JobState.RUNNING
                self.changed_jobs.add(job)

    def record_at_work(self, run: Run, now_ms: int) -> None:
        """Record that a run of a service is at work, which shows that its worker is sound.

        Such a run ends only with its job, so that its start would otherwise stay without outcome.
        """
        run.has_served = True
        self.health.succeeded(run.worker, TaskId(run.task.job.id), now_ms)

    def start_rejected(self, run: Run) -> None:
        """Record that a worker has not started a run and never will."""
        self._release(run)
        self.health.dropped(run.worker, TaskId(run.name.partition(".")[0]))
        if run.task is not None and run.task.run is run:
            run.task.assign(None)
            self.update_open_step(run.task.step)

    def stop_run(self, run: Run, reason: str) -> None:
        """Add a command to stop a run; its resources stay allocated until its end is reported."""
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        self.commands.append(StopRun(run, reason))

    def end_run(self, run: Run, end: RunEnd, checkpoint: str, now_ms: int) -> None:
        """Apply the end of a run."""
        if self.past_use is not None:
            self.past_use.charge_end(self.workers, run, end, now_ms)
        if self.options.forecasts_reserve:
            self.arrivals.record_end(self.workers.get(run.worker), run, now_ms)
        self._release(run)
        self.on_end(run, end, now_ms)
        task = run.task
        if task is None:
            return
        job_id = TaskId(task.job.id)
        if end is RunEnd.DONE:
            self.health.succeeded(run.worker, job_id, now_ms)
        elif end is RunEnd.FAILED:
            self.health.failed(run.worker, job_id, now_ms)
        else:
            self.health.dropped(run.worker, job_id)
        if task.run is run:
            task.assign(None)
            self.update_open_step(task.step)
        is_short = now_ms - run.started_ms < SHORT_SERVICE_RUN_MS
        if run.is_service and is_short and end in (RunEnd.DONE, RunEnd.FAILED):
            task.restart_ms = now_ms + SERVICE_RESTART_DELAY_MS
        is_counted = self.count_end(task, run.attempt, end, checkpoint)
        if not is_counted and not task.is_done:
            self.note("run end not counted", run, how=end.value)

    def count_end(self, task: Task, attempt: int, end: RunEnd, checkpoint: str) -> bool:
        """Count the end of an attempt once for its task, gang and job.

        :return: whether it was counted now; not if the task is done or the attempt was counted
        """
        step, job = task.step, task.job
        if task.is_done or attempt in task.counted_attempts:
            return False
        if step.spec.is_service and attempt < max(task.counted_attempts, default=0):
            return False
        task.count_attempt(attempt)
        if checkpoint:
            task.checkpoint = checkpoint
        # A task of a service is never done: however its run ends, it starts again.
        is_done = end is RunEnd.DONE and not step.spec.is_service
        if is_done:
            self._mark_done(task, attempt)
        elif end is RunEnd.FAILED:
            task.count_failure(attempt)
        if step.spec.is_gang and not is_done and end in _GANG_ENDS:
            self.stop_gang_attempt(step, attempt)
        self.changed_jobs.add(job)
        self.update_job_state(job)
        return True

    def _mark_done(self, task: Task, attempt: int) -> None:
        """Mark a task as done; one done member completes all tasks of its gang."""
        members = task.step.tasks if task.step.spec.is_gang else [task]
        for member in members:
            member.mark_done()
            run = member.run
            if run is not None and run.attempt != attempt:
                self.stop_run(run, "another run of the task is done")
        if task.step.is_done:
            self._close_step(task.step)

    def _close_step(self, step: StepRun) -> None:
        """Open the steps that waited for a step, or close its occurrence."""
        closed = step.job.close_occurrence(step.occurrence)
        for done in closed:
            self.open_steps.discard(done)
            self.permits.remove(done.name)
        if not closed:
            self.open_occurrence(step.job, step.occurrence)
        elif step.job.spec.occurrences:
            self.update_memory(step.job)

    def stop_gang_attempt(self, step: StepRun, attempt: int) -> None:
        """Stop the remaining runs of a gang's attempt; their workers may not know of its end."""
        for member in step.running.values():
            if member.run.attempt == attempt:
                self.stop_run(member.run, "another member of its gang ended")

    def update_job_state(self, job: Job) -> None:
        """Update the state of a job after one of its runs was adopted or ended."""
        if job.is_final:
            return
        queue = self.queue_of(job)
        if queue is not None and job.failure_counts.reaches(queue.max_failures):
            self.fail_job(job, f"a task or gang has failed {queue.max_failures} times")
        elif job.is_complete():
            self._finish(job, JobState.COMPLETE, 0)
        elif job.has_started and job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self.changed_jobs.add(job)

    def _finish(self, job: Job, state: JobState, now_wall_ms: int) -> None:
        job.state = state
        job.ended_wall_ms = now_wall_ms
        self._close(job)
        self.changed_jobs.add(job)
        for step in job.steps.values():
            for task in step.running.values():
                if not task.is_done:
                    self.stop_run(task.run, f"job is {state.value}")

    def _close(self, job: Job) -> None:
        self.live_jobs.pop(job.id, None)
        self.open_steps.discard_all(job.steps.values())
        for step in job.steps.values():
            self.permits.remove(step.name)

    def allocate(self, worker: Worker, run: Run) -> None:
        """Allocate the resources of a run on its worker and for its team."""
        worker.add_run(run)
        if self.speeds is not None:
            self.speeds.track(worker, run)
        if run.team is not None:
            used = self.team_allocations.get(run.team, ZERO_RESOURCES)
            self.team_allocations[run.team] = used + run.size

    def _release(self, run: Run) -> None:
        worker = self.workers.get(run.worker)
        if worker is None or worker.runs.get((run.name, run.attempt)) is not run:
            return
        worker.remove_run(run)
        if run.task is not None and run.task.job.is_final:
            self.changed_jobs.add(run.task.job)
        if run.is_duplicate and run.task is not None:
            run.is_duplicate = False
            run.task.remove_duplicate()
            self.update_open_step(run.task.step)
        if run.team is not None:
            self.team_allocations[run.team] = self.team_allocations[run.team] - run.size

    def is_within_limit(self, team_id: TeamId, additional: Resources) -> bool:
        """Return whether a team stays within its limit with more resources allocated."""
        team = self.cfg.teams.get(team_id)
        if team is None:
            return True
        allocated = self.team_allocations.get(team_id, ZERO_RESOURCES) + additional
        limit = team.limit
        return (
            (limit.cpu_milli == 0 or allocated.cpu_milli <= limit.cpu_milli)
            and (limit.memory_mib == 0 or allocated.memory_mib <= limit.memory_mib)
            and (limit.accelerators == 0 or allocated.accelerators <= limit.accelerators)
        )

    def note(self, message: str, run: Run, **fields: object) -> None:
        """Add a log entry about a decision."""
        fields.update(request=run.name.partition(".")[0], task=run.name, attempt=run.attempt)
        fields["worker"] = run.worker
        self.notes.append((message, fields))
