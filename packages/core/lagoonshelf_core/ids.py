"""Distinct types for identifiers, so that a type checker finds any that are mixed up."""

import re
from typing import NewType

TeamId = NewType("TeamId", str)
KeyId = NewType("KeyId", str)
QueueId = NewType("QueueId", str)
RequestKey = NewType("RequestKey", str)
TaskId = NewType("TaskId", str)
WorkerId = NewType("WorkerId", str)
MemberId = NewType("MemberId", str)
FailureDomain = NewType("FailureDomain", str)
RackId = NewType("RackId", str)
PartitionId = NewType("PartitionId", int)
Epoch = NewType("Epoch", int)
Revision = NewType("Revision", int)

ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")


def is_valid_id(text: str) -> bool:
    """Return whether a string is a valid identifier.

    :param text: 1 to 64 ASCII letters, digits, dots, underscores or hyphens
    """
    return ID_PATTERN.match(text) is not None


def task_id(partition: PartitionId, epoch: Epoch, sequence: int) -> TaskId:
    """Return a task id that no other owner can create.

    :param partition: home partition of the request
    :param epoch: epoch of the owner that creates the task
    :param sequence: sequence number of the task within the epoch
    """
    return TaskId(f"{partition}.{epoch}.{sequence}")
