"""Hooks of the scheduling pass and their defaults."""

from collections.abc import Callable
from dataclasses import dataclass

from lagoonshelf_core.ids import WorkerId
from lagoonshelf_core.model import Task, WorkClass
from lagoonshelf_core.resources import Resources

DEFAULT_RUN_MS = 60_000  # assumed for tasks that declare no run time


def declared_run_ms(task: Task) -> int:
    """Return the declared run time, or the default when none is declared."""
    return task.run_ms or DEFAULT_RUN_MS


def declared_class(task: Task, now_ms: int) -> WorkClass:
    """Return the class of the task's queue, which does not depend on the time."""
    return task.work_class


def any_worker(worker: WorkerId, task: Task) -> bool:
    """Allow each ready worker."""
    return True


def declared_size(task: Task) -> Resources:
    """Return the declared size."""
    return task.size


def all_replicas(task: Task, replicas: int) -> int:
    """Return the number of replicas, so that preemption stops none of a service."""
    return replicas


@dataclass(frozen=True, slots=True)
class Hooks:
    """Decisions that other modules make for the scheduling pass.

    :param estimate_ms: corrected run time of a task
    :param effective_class: class of a waiting task at a given time
    :param may_use: whether a task may be placed on a worker, which depends on its health
    :param reserved_size: resources to allocate, read when the task is enqueued
    :param service_minimum: minimum number of replicas of a service under preemption
    """

    estimate_ms: Callable[[Task], int] = declared_run_ms
    effective_class: Callable[[Task, int], WorkClass] = declared_class
    may_use: Callable[[WorkerId, Task], bool] = any_worker
    reserved_size: Callable[[Task], Resources] = declared_size
    service_minimum: Callable[[Task, int], int] = all_replicas
