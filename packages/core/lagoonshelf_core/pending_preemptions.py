"""Preemptions in progress: capacity reserved for waiting tasks while others are preempted."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

from lagoonshelf_core.allocation import Allocation
from lagoonshelf_core.ids import TaskId, TeamId, WorkerId
from lagoonshelf_core.model import Task, WorkClass, WorkKind
from lagoonshelf_core.pass_state import PassState
from lagoonshelf_core.preemption import (
    PreemptionStep,
    VictimSelection,
    may_reclaim,
    select_victims,
    select_victims_by,
)
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources
from lagoonshelf_core.throttles import THROTTLE_TIMEOUT_MS, Throttles
from lagoonshelf_core.waiting_tasks import Bucket

# Urgent work starts within 1 s: the timeouts of throttle and checkpoint add up to 750 ms.
CHECKPOINT_TIMEOUT_MS = 500
STOP_TIMEOUT_MS = 5_000  # then another worker is selected
RECLAIM_TIMEOUT_MS = 30_000
STEP_TIMEOUT_MS = {
    PreemptionStep.THROTTLE: THROTTLE_TIMEOUT_MS,
    PreemptionStep.CHECKPOINT: CHECKPOINT_TIMEOUT_MS,
    PreemptionStep.STOP: STOP_TIMEOUT_MS,
    PreemptionStep.RECLAIM: RECLAIM_TIMEOUT_MS,
}
MAX_PENDING = 64  # preemptions in progress at the same time
# A step that finds no victims reads all running tasks, so it is not repeated at once. Without
# this limit, a pass for 64 urgent tasks in a full cell of 1,200 workers took 11 s.
MAX_FAILED_STEPS_PER_PASS = 8
SELECTION_RETRY_MS = 100
MAX_REMEMBERED_FAILURES = 1_000
RECLAIM_AFTER_MS = 10_000  # waiting time after which a team's lent share is reclaimed
FailedStep = tuple[Resources, WorkClass, bool, PreemptionStep]
SINGLE_KINDS = (WorkKind.INTERACTIVE, WorkKind.BATCH)


@dataclass(slots=True)
class PendingPreemption:
    """A preemption in progress on behalf of a waiting task.

    :param size: resources reserved on the worker
    :param since_ms: start time of the current step
    :param victims: tasks being preempted
    """

    task: Task
    worker: WorkerId
    size: Resources
    step: PreemptionStep
    since_ms: int
    victims: tuple[TaskId, ...]


class PendingPreemptions:
    """Preemptions in progress in a partition, oldest first."""

    def __init__(self, state: PassState, throttles: Throttles) -> None:
        """Initialize without entries."""
        self._state = state
        self._throttles = throttles
        self._pending: dict[TaskId, PendingPreemption] = {}
        self._failed_ms: dict[FailedStep, int] = {}
        self._failed_steps = 0

    def __len__(self) -> int:
        return len(self._pending)

    def advance(self) -> None:
        """Start tasks whose reserved capacity is free; escalate preemptions that timed out."""
        self._failed_steps = 0
        for pending in list(self._pending.values()):
            if not self._state.resources.is_ready(pending.worker):
                self.cancel(pending.task.task)
            elif self._can_start(pending):
                self.cancel(pending.task.task)
                if self._state.may_start(pending.task):
                    self._state.start(pending.task, pending.worker)
            elif self._state.now_ms - pending.since_ms >= STEP_TIMEOUT_MS[pending.step]:
                self._escalate(pending)

    def cancel(self, task: TaskId) -> None:
        """Cancel the preemption for a task, if there is one."""
        pending = self._pending.pop(task, None)
        if pending is not None:
            self._state.resources.unreserve(pending.worker, pending.size)

    def preempt_for_urgent(self, blocked: Iterable[Bucket]) -> None:
        """Preempt tasks for urgent tasks that do not fit.

        :param blocked: buckets whose oldest task does not fit
        """
        for bucket in blocked:
            if len(self._pending) >= MAX_PENDING:
                return
            if bucket.key.kind in SINGLE_KINDS:
                self._preempt_for_bucket(bucket)

    def reclaim_lent_share(self, blocked: Iterable[Bucket]) -> None:
        """Checkpoint tasks of teams above their share for waiting teams below theirs."""
        entitled_shares = self._entitled_shares()
        for bucket in blocked:
            task = bucket.head()
            waited_ms = self._state.now_ms - task.queued_ms
            if bucket.key.kind not in SINGLE_KINDS or waited_ms < RECLAIM_AFTER_MS:
                continue
            if any(pending.step is PreemptionStep.RECLAIM for pending in self._pending.values()):
                return
            after = self._dominant_share_with(task.team, bucket.key.size)
            if after <= entitled_shares[task.team] and self._state.may_start(task):
                self._reclaim(task, bucket, entitled_shares)

    def next_due_ms(self) -> int | None:
        """Return when the next step times out or a failed one may be retried, or none."""
        times = [
            pending.since_ms + STEP_TIMEOUT_MS[pending.step] for pending in self._pending.values()
        ]
        times += [failed_ms + SELECTION_RETRY_MS for failed_ms in self._failed_ms.values()]
        now_ms = self._state.now_ms
        return min((time for time in times if time > now_ms), default=None)

    def _preempt_for_bucket(self, bucket: Bucket) -> None:
        """Preempt tasks for the tasks of a bucket until no more victims are found."""
        for _, task in list(islice(bucket.tasks.values(), MAX_PENDING)):
            if len(self._pending) >= MAX_PENDING:
                return
            if task.task in self._pending:
                continue
            if not self._state.may_start(task) or not self._preempt_for(task, bucket.key.size):
                return

    def _has_failed(self, failed: FailedStep) -> bool:
        if self._failed_steps >= MAX_FAILED_STEPS_PER_PASS:
            return True
        failed_ms = self._failed_ms.get(failed)
        return failed_ms is not None and self._state.now_ms - failed_ms < SELECTION_RETRY_MS

    def _remember_failure(self, failed: FailedStep) -> None:
        if len(self._failed_ms) >= MAX_REMEMBERED_FAILURES:
            self._failed_ms.clear()
        self._failed_ms[failed] = self._state.now_ms
        self._failed_steps += 1

    def _can_start(self, pending: PendingPreemption) -> bool:
        worker_resources = self._state.resources.get(pending.worker)
        return pending.size.fits_in(worker_resources.info.capacity - worker_resources.allocated)

    def _escalate(self, pending: PendingPreemption) -> None:
        state = self._state
        if pending.step is not PreemptionStep.CHECKPOINT:
            self.cancel(pending.task.task)
            if pending.step is PreemptionStep.THROTTLE:
                self._discount_throttles(pending)
                self._preempt_for(pending.task, pending.size, PreemptionStep.CHECKPOINT)
            return
        for victim in pending.victims:
            allocation = state.allocations.get(victim)
            if allocation is not None:
                state.stop(allocation, False)
        pending.step = PreemptionStep.STOP
        pending.since_ms = state.now_ms

    def _discount_throttles(self, pending: PendingPreemption) -> None:
        """Stop expecting capacity from throttles that the worker has not confirmed in time."""
        for victim in pending.victims:
            allocation = self._state.allocations.get(victim)
            if allocation is not None and not allocation.requeue:
                self._state.allocations.set_releasing(allocation, ZERO_RESOURCES)

    def _preempt_for(
        self, task: Task, size: Resources, first: PreemptionStep = PreemptionStep.THROTTLE
    ) -> bool:
        work_class = self._state.waiting.bucket_of(task.task).work_class
        for step in (PreemptionStep.THROTTLE, PreemptionStep.CHECKPOINT, PreemptionStep.STOP):
            failed = (size, work_class, task.repeatable, step)
            if step < first or self._has_failed(failed):
                continue
            selection = select_victims(self._state, size, self._may_use(task), work_class, step)
            if selection is not None:
                self._execute(task, size, selection)
                return True
            self._remember_failure(failed)
        return False

    def _reclaim(self, task: Task, bucket: Bucket, entitled_shares: dict[TeamId, float]) -> None:
        def may_preempt(allocation: Allocation) -> bool:
            is_not_higher = allocation.work_class.value >= bucket.work_class.value
            return is_not_higher and stays_above_share(allocation.task.team, allocation.size)

        def stays_above_share(team: TeamId, size: Resources) -> bool:
            return self._dominant_share_with(team, size.scaled(-1)) >= entitled_shares[team]

        def may_checkpoint(allocation: Allocation) -> bool:
            return may_preempt(allocation) and may_reclaim(self._state, allocation)

        size = bucket.key.size
        may_use = self._may_use(task)
        selection = select_victims_by(
            self._state, size, may_use, may_checkpoint, PreemptionStep.RECLAIM
        )
        if selection is None:
            return
        freed: dict[TeamId, Resources] = {}
        for victim in selection.victims:
            team = victim.task.team
            freed[team] = freed.get(team, Resources()) + victim.size
        if all(stays_above_share(team, total) for team, total in freed.items()):
            self._execute(task, size, selection)

    def _execute(self, task: Task, size: Resources, selection: VictimSelection) -> None:
        state = self._state
        for victim in selection.victims:
            if selection.step is PreemptionStep.THROTTLE:
                self._throttles.request(victim)
            else:
                state.stop(victim, selection.step is not PreemptionStep.STOP)
        victims = tuple(victim.task.task for victim in selection.victims)
        pending = PendingPreemption(
            task, selection.worker, size, selection.step, state.now_ms, victims
        )
        self._pending[task.task] = pending
        state.resources.reserve(selection.worker, size)

    def _may_use(self, task: Task) -> Callable[[WorkerId], bool]:
        return lambda worker: self._state.hooks.may_use(worker, task)

    def _dominant_share_with(self, team: TeamId, added: Resources) -> float:
        _, allocated = self._state.fairness.allocated(team)
        return (allocated + added).dominant_share(self._state.resources.capacity)

    def _entitled_shares(self) -> dict[TeamId, float]:
        """Return the fraction of the capacity to which each active team is entitled."""
        fairness = self._state.fairness
        teams = self._state.waiting.teams() | set(fairness.active_teams())
        total = sum(fairness.share(team) for team in teams)
        return {team: fairness.share(team) / total for team in teams}
