"""Grant usage in one partition: what each team runs, and what lacks grant."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lagoonshelf_core.commands import Stop
from lagoonshelf_core.grants import ZERO_AMOUNT, Amount
from lagoonshelf_core.ids import RequestKey, TaskId, TeamId
from lagoonshelf_core.model import Task, TaskState, WorkKind

SHORTAGE_VALIDITY_MS = 2000
STOP_REPEAT_MS = 2000


@dataclass(frozen=True, slots=True)
class _Shortage:
    """A task or gang that lacked grant.

    :param task: the task, or a member of the gang
    :param until_ms: end of validity if the task does not wait in this partition
    """

    task: TaskId
    amount: Amount
    until_ms: int


class GrantUsage:
    """Counts running tasks, starts approved in the current pass, and shortages."""

    def __init__(self, tasks: Callable[[], Iterable[Task]]) -> None:
        """Initialize with nothing running.

        :param tasks: tasks of the partition's scheduler
        """
        self._tasks = tasks
        self._running: dict[TeamId, Amount] = {}
        self._gangs: dict[tuple[TeamId, RequestKey], int] = {}
        self._approved: set[object] = set()
        self._shortages: dict[TeamId, dict[object, _Shortage]] = defaultdict(dict)
        self._stopped_ms: dict[TaskId, int] = {}

    def scan(self) -> None:
        """Count the tasks that are assigned to a worker."""
        tasks: dict[TeamId, int] = defaultdict(int)
        cpu_milli: dict[TeamId, int] = defaultdict(int)
        gangs: dict[tuple[TeamId, RequestKey], int] = defaultdict(int)
        for task in self._tasks():
            if task.worker is None:
                continue
            tasks[task.team] += 1
            cpu_milli[task.team] += task.size.cpu_milli
            if task.kind is WorkKind.GANG:
                gangs[(task.team, task.request_key)] += 1
        self._running = {team: Amount(count, cpu_milli[team]) for team, count in tasks.items()}
        self._gangs = gangs
        self._approved.clear()

    def running(self, team: TeamId) -> Amount:
        """Return what a team ran at the last scan plus what has been approved since."""
        return self._running.get(team, ZERO_AMOUNT)

    def need(self, team: TeamId) -> Amount:
        """Return what a team runs plus what lacks grant."""
        return sum((shortage.amount for shortage in self._shortages_of(team)), self.running(team))

    def fitting_need(self, team: TeamId, available: Amount) -> Amount:
        """Return what runs plus the whole tasks and gangs that lack grant and fit an amount."""
        total = self.running(team)
        for shortage in self._shortages_of(team):
            if (total + shortage.amount).fits_in(available):
                total += shortage.amount
        return total

    def could_start(self, team: TeamId, allowed: Amount) -> bool:
        """Return whether a task or gang that lacked grant fits now."""
        running = self.running(team)
        return any(
            (running + shortage.amount).fits_in(allowed) for shortage in self._shortages_of(team)
        )

    def lacks_grant(self, task: Task) -> bool:
        """Return whether a task has lacked grant recently."""
        return _unit(task) in self._shortages.get(task.team, ())

    def approve(self, task: Task, allowed: Amount) -> bool:
        """Count a start if it fits the allowed amount; a gang counts as a whole."""
        unit = _unit(task)
        if unit in self._approved:
            return True
        total = self.running(task.team) + self.required(task)
        if not total.fits_in(allowed):
            return False
        self._running[task.team] = total
        self._approved.add(unit)
        return True

    def required(self, task: Task) -> Amount:
        """Return what the start of a task needs, for a gang including all waiting members."""
        count = 1
        if task.kind is WorkKind.GANG:
            count = max(1, task.gang_size - self._gangs.get(_unit(task), 0))
        return amount_of(task).scaled(count)

    def record_shortage(self, task: Task, now_ms: int) -> None:
        """Record that a task lacks grant; a gang is recorded once for all its members."""
        until_ms = now_ms + SHORTAGE_VALIDITY_MS
        self._shortages[task.team][_unit(task)] = _Shortage(
            task.task, self.required(task), until_ms
        )

    def begin_pass(self) -> None:
        """Rescan and clear the shortages of all tasks; the scheduling pass records them again."""
        self.scan()
        for task in self._tasks():
            self._shortages[task.team].pop(_unit(task), None)

    def drop_expired_shortages(self, now_ms: int) -> None:
        """Discard expired shortages of tasks that no longer wait here."""
        waiting = {task.task for task in self._tasks() if task.state is TaskState.QUEUED}
        for team, shortages in list(self._shortages.items()):
            self._shortages[team] = {
                unit: shortage
                for unit, shortage in shortages.items()
                if shortage.task in waiting or shortage.until_ms > now_ms
            }

    def excess_stops(self, team: TeamId, allowed: Amount, now_ms: int) -> list[Stop]:
        """Return stops for a team's newest repeatable work above an amount.

        A stop of the same task is repeated after ``STOP_REPEAT_MS`` at the earliest.

        :param allowed: amount that may continue to run
        """
        excess = self.running(team) - allowed
        if excess == ZERO_AMOUNT:
            return []
        stops: list[Stop] = []
        for task in self._stoppable(team):
            if excess == ZERO_AMOUNT:
                break
            excess -= amount_of(task)
            if now_ms - self._stopped_ms.get(task.task, now_ms - STOP_REPEAT_MS) >= STOP_REPEAT_MS:
                self._stopped_ms[task.task] = now_ms
                stops.append(Stop(task.task, task.worker, requeue=True, checkpoint=True))
        return stops

    def _shortages_of(self, team: TeamId) -> Iterable[_Shortage]:
        return self._shortages[team].values() if team in self._shortages else ()

    def _stoppable(self, team: TeamId) -> list[Task]:
        running = {t.task: t for t in self._tasks() if t.state is TaskState.RUNNING}
        self._stopped_ms = {n: at for n, at in self._stopped_ms.items() if n in running}
        tasks = [task for task in running.values() if task.team == team and task.repeatable]
        return sorted(tasks, key=lambda task: task.started_ms, reverse=True)


def amount_of(task: Task) -> Amount:
    """Return how much one task counts against its team's limit."""
    return Amount(1, task.size.cpu_milli)


def _unit(task: Task) -> object:
    return (task.team, task.request_key) if task.kind is WorkKind.GANG else task.task
