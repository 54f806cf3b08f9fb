"""Room that is being made for waiting tasks: who waits for which worker, and until when."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

from lagoonshelf_core.holding import Holding
from lagoonshelf_core.ids import TaskId, TeamId, WorkerId
from lagoonshelf_core.model import Task, WorkClass, WorkKind
from lagoonshelf_core.pass_state import PassState
from lagoonshelf_core.preemption import (
    Choice,
    Step,
    choose,
    choose_by,
    may_checkpoint,
)
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources
from lagoonshelf_core.throttles import THROTTLE_WAIT_MS, Throttles
from lagoonshelf_core.waiting import Bucket

# Urgent work starts within 1 s: the waits for a throttle and a checkpoint add up to 750 ms.
CHECKPOINT_WAIT_MS = 500
STOP_WAIT_MS = 5_000  # then another worker is chosen
RECLAIM_WAIT_MS = 30_000
WAIT_MS = {
    Step.THROTTLE: THROTTLE_WAIT_MS,
    Step.CHECKPOINT: CHECKPOINT_WAIT_MS,
    Step.STOP: STOP_WAIT_MS,
    Step.RECLAIM: RECLAIM_WAIT_MS,
}
MOST_CLAIMS = 64  # tasks for which room is being made at the same time
# A step that finds nobody to yield reads all running tasks, so it is not repeated at once: for
# 64 urgent tasks in a full cell of 1,200 workers a pass took 11 s when it was.
FAILED_STEPS_PER_PASS = 8
CHOICE_RETRY_MS = 100
MOST_REMEMBERED = 1_000
RECLAIM_AFTER_MS = 10_000  # waiting time after which a team asks for its lent share back
FailedStep = tuple[Resources, WorkClass, bool, Step]
SINGLE_KINDS = (WorkKind.INTERACTIVE, WorkKind.BATCH)


@dataclass(slots=True)
class Claim:
    """A waiting task's claim on the room that others give up.

    :param size: room promised on the worker
    :param since_ms: when the step began
    :param victims: tasks that were asked to yield
    """

    task: Task
    worker: WorkerId
    size: Resources
    step: Step
    since_ms: int
    victims: tuple[TaskId, ...]


class Claims:
    """All claims of a partition, oldest first."""

    def __init__(self, state: PassState, throttles: Throttles) -> None:
        """Start empty."""
        self._state = state
        self._throttles = throttles
        self._claims: dict[TaskId, Claim] = {}
        self._failed_ms: dict[FailedStep, int] = {}
        self._failed_steps = 0

    def __len__(self) -> int:
        return len(self._claims)

    def keep(self) -> None:
        """Start tasks whose room is free; go on to the next step for those that waited."""
        self._failed_steps = 0
        for claim in list(self._claims.values()):
            if not self._state.room.is_ready(claim.worker):
                self.drop(claim.task.task)
            elif self._is_free(claim):
                self.drop(claim.task.task)
                if self._state.may_start(claim.task):
                    self._state.start(claim.task, claim.worker)
            elif self._state.now_ms - claim.since_ms >= WAIT_MS[claim.step]:
                self._escalate(claim)

    def drop(self, task: TaskId) -> None:
        """End a task's claim, if it has one."""
        claim = self._claims.pop(task, None)
        if claim is not None:
            self._state.room.withdraw(claim.worker, claim.size)

    def for_urgent(self, blocked: Iterable[Bucket]) -> None:
        """Make room for urgent tasks that found none.

        :param blocked: buckets whose oldest task found no room
        """
        for bucket in blocked:
            if len(self._claims) >= MOST_CLAIMS:
                return
            if bucket.key.kind in SINGLE_KINDS:
                self._claim_all(bucket)

    def for_lent_share(self, blocked: Iterable[Bucket]) -> None:
        """Checkpoint work of teams above their share for teams that wait below theirs."""
        fractions = self._fractions()
        for bucket in blocked:
            task = bucket.head()
            waited_ms = self._state.now_ms - task.queued_ms
            if bucket.key.kind not in SINGLE_KINDS or waited_ms < RECLAIM_AFTER_MS:
                continue
            if any(claim.step is Step.RECLAIM for claim in self._claims.values()):
                return
            after = self._held_share(task.team, bucket.key.size)
            if after <= fractions[task.team] and self._state.may_start(task):
                self._reclaim(task, bucket, fractions)

    def next_ms(self) -> int | None:
        """Return when a claim goes on to its next step, or none."""
        times = [claim.since_ms + WAIT_MS[claim.step] for claim in self._claims.values()]
        times += [failed_ms + CHOICE_RETRY_MS for failed_ms in self._failed_ms.values()]
        now_ms = self._state.now_ms
        return min((time for time in times if time > now_ms), default=None)

    def _claim_all(self, bucket: Bucket) -> None:
        """Make room for the tasks of a bucket until nobody yields any more."""
        for _, task in list(islice(bucket.tasks.values(), MOST_CLAIMS)):
            if len(self._claims) >= MOST_CLAIMS:
                return
            if task.task in self._claims:
                continue
            if not self._state.may_start(task) or not self._claim(task, bucket.key.size):
                return

    def _has_failed(self, failed: FailedStep) -> bool:
        if self._failed_steps >= FAILED_STEPS_PER_PASS:
            return True
        failed_ms = self._failed_ms.get(failed)
        return failed_ms is not None and self._state.now_ms - failed_ms < CHOICE_RETRY_MS

    def _remember_failure(self, failed: FailedStep) -> None:
        if len(self._failed_ms) >= MOST_REMEMBERED:
            self._failed_ms.clear()
        self._failed_ms[failed] = self._state.now_ms
        self._failed_steps += 1

    def _is_free(self, claim: Claim) -> bool:
        account = self._state.room.account(claim.worker)
        return claim.size.fits_in(account.info.capacity - account.held)

    def _escalate(self, claim: Claim) -> None:
        state = self._state
        if claim.step is not Step.CHECKPOINT:
            self.drop(claim.task.task)
            if claim.step is Step.THROTTLE:
                self._give_up_throttles(claim)
                self._claim(claim.task, claim.size, Step.CHECKPOINT)
            return
        for victim in claim.victims:
            holding = state.holdings.get(victim)
            if holding is not None:
                state.stop(holding, False)
        claim.step = Step.STOP
        claim.since_ms = state.now_ms

    def _give_up_throttles(self, claim: Claim) -> None:
        """Count no more on limits that the worker has not confirmed in time."""
        for victim in claim.victims:
            holding = self._state.holdings.get(victim)
            if holding is not None and not holding.requeue:
                self._state.holdings.ask(holding, ZERO_RESOURCES)

    def _claim(self, task: Task, size: Resources, first: Step = Step.THROTTLE) -> bool:
        work_class = self._state.waiting.bucket_of(task.task).work_class
        for step in (Step.THROTTLE, Step.CHECKPOINT, Step.STOP):
            failed = (size, work_class, task.repeatable, step)
            if step < first or self._has_failed(failed):
                continue
            choice = choose(self._state, size, self._may_use(task), work_class, step)
            if choice is not None:
                self._carry_out(task, size, choice)
                return True
            self._remember_failure(failed)
        return False

    def _reclaim(self, task: Task, bucket: Bucket, fractions: dict[TeamId, float]) -> None:
        def may_yield(holding: Holding) -> bool:
            is_lower = holding.work_class.value >= bucket.work_class.value
            return is_lower and is_above(holding.task.team, holding.size)

        def is_above(team: TeamId, size: Resources) -> bool:
            return self._held_share(team, size.scaled(-1)) >= fractions[team]

        def may_checkpoint_lent(holding: Holding) -> bool:
            return may_yield(holding) and may_checkpoint(self._state, holding)

        size = bucket.key.size
        may_use = self._may_use(task)
        choice = choose_by(self._state, size, may_use, may_checkpoint_lent, Step.RECLAIM)
        if choice is None:
            return
        given: dict[TeamId, Resources] = {}
        for victim in choice.victims:
            team = victim.task.team
            given[team] = given.get(team, Resources()) + victim.size
        if all(is_above(team, total) for team, total in given.items()):
            self._carry_out(task, size, choice)

    def _carry_out(self, task: Task, size: Resources, choice: Choice) -> None:
        state = self._state
        for victim in choice.victims:
            if choice.step is Step.THROTTLE:
                self._throttles.ask(victim)
            else:
                state.stop(victim, choice.step is not Step.STOP)
        victims = tuple(victim.task.task for victim in choice.victims)
        claim = Claim(task, choice.worker, size, choice.step, state.now_ms, victims)
        self._claims[task.task] = claim
        state.room.promise(choice.worker, size)

    def _may_use(self, task: Task) -> Callable[[WorkerId], bool]:
        return lambda worker: self._state.hooks.may_use(worker, task)

    def _held_share(self, team: TeamId, more: Resources) -> float:
        _, held = self._state.fairness.held(team)
        return (held + more).dominant_share(self._state.room.capacity)

    def _fractions(self) -> dict[TeamId, float]:
        """Return each active team's part of the capacity when the partition is full."""
        fairness = self._state.fairness
        teams = self._state.waiting.teams() | set(fairness.holding_teams())
        total = sum(fairness.share(team) for team in teams)
        return {team: fairness.share(team) / total for team in teams}
