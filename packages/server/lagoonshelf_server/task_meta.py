"""Conversion between tasks and the metadata that workers keep of them."""

from lagoonshelf_core.ids import Epoch, PartitionId, QueueId, RequestKey, TaskId, TeamId
from lagoonshelf_core.model import RequestSpec, Task, WorkClass, WorkKind
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.messages import TaskMeta


def meta_from_task(task: Task, digest: str) -> TaskMeta:
    """Return the metadata that a worker keeps of a task.

    :param digest: content hash of the request
    """
    return TaskMeta(
        task=task.task,
        attempt=task.attempt,
        home=task.home,
        epoch=task.epoch,
        team=task.team,
        queue=task.queue,
        request_key=task.request_key,
        kind=task.kind.value,
        work_class=task.work_class.value,
        repeatable=task.repeatable,
        cpu_milli=task.size.cpu_milli,
        memory_mib=task.size.memory_mib,
        accelerators=task.size.accelerators,
        run_ms=task.run_ms,
        index=task.index,
        digest=digest,
    )


def task_from_meta(meta: TaskMeta, now_ms: int) -> Task:
    """Return the task that a worker reported.

    :param now_ms: used as the time of queueing and start, which are not known
    """
    return Task(
        task=TaskId(meta.task),
        team=TeamId(meta.team),
        queue=QueueId(meta.queue),
        request_key=RequestKey(meta.request_key),
        kind=WorkKind(meta.kind),
        work_class=WorkClass(meta.work_class),
        repeatable=meta.repeatable,
        size=Resources(meta.cpu_milli, meta.memory_mib, meta.accelerators, 1),
        run_ms=meta.run_ms,
        index=meta.index,
        queued_ms=now_ms,
        home=PartitionId(meta.home),
        epoch=Epoch(meta.epoch),
        attempt=meta.attempt,
        started_ms=now_ms,
    )


def spec_from_meta(meta: TaskMeta) -> RequestSpec:
    """Return the request as far as the metadata of a task has it; the payload is empty."""
    return RequestSpec(
        team=TeamId(meta.team),
        queue=QueueId(meta.queue),
        request_key=RequestKey(meta.request_key),
        kind=WorkKind(meta.kind),
        repeatable=meta.repeatable,
        size=Resources(meta.cpu_milli, meta.memory_mib, meta.accelerators, 1),
        run_ms=meta.run_ms,
        tasks=1,
        payload="",
        timeout_ms=0,
    )
