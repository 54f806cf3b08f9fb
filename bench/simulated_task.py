"""Tasks of a replay with the state that is hidden from the policy."""

from dataclasses import dataclass

from bench.workloads import Arrival, Workload
from lagoonshelf_core.clock import Clock
from lagoonshelf_core.deadlines import next_deadline
from lagoonshelf_core.ids import Epoch, PartitionId, WorkerId, task_id
from lagoonshelf_core.model import Task, WorkClass, WorkKind

HOME = PartitionId(0)
EPOCH = Epoch(1)


@dataclass(slots=True)
class SimulatedTask:
    """State of a task in the replay that is hidden from the policy.

    :param remaining_ms: remaining run time at full speed
    :param starts: number of starts
    :param started_ms: start time of the current attempt on a warm target
    :param progress_from_ms: time from which progress is not yet subtracted from ``remaining_ms``;
        in the future while the target warms up
    :param speed_percent: percentage of full speed, below 100 while the task is throttled
    :param end_version: incremented to invalidate a scheduled end event
    :param is_progressing: False for gang members that wait until the whole gang has started
    """

    task: Task
    arrival: Arrival
    remaining_ms: int
    worker: WorkerId | None = None
    starts: int = 0
    started_ms: int = 0
    progress_from_ms: int = 0
    speed_percent: int = 100
    end_version: int = 0
    is_progressing: bool = False
    is_cancelled: bool = False


def new_task(
    workload: Workload, arrival: Arrival, index: int, sequence: int, clock: Clock
) -> Task:
    """Return a task of a request as the owner of its partition would create it.

    :param index: index of the task in the request
    :param sequence: number that makes the task id unique
    """
    spec = arrival.spec
    queue = workload.queues[spec.queue]
    deadline_wall_ms = (
        0 if queue.finish_by is None else next_deadline(queue.finish_by, clock.wall_ms())
    )
    return Task(
        task=task_id(HOME, EPOCH, sequence),
        team=spec.team,
        queue=spec.queue,
        request_key=spec.request_key,
        kind=spec.kind,
        work_class=WorkClass[queue.work_class.upper()],
        repeatable=spec.repeatable,
        size=spec.size,
        run_ms=spec.run_ms,
        index=index,
        queued_ms=clock.now_ms(),
        home=HOME,
        epoch=EPOCH,
        gang_size=spec.tasks if spec.kind is WorkKind.GANG else 1,
        deadline_wall_ms=deadline_wall_ms,
    )
