"""Routing of requests and workers to partitions, and assignment of partitions to members."""

import math
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from lagoonshelf_core.ids import MemberId, PartitionId, RequestKey, TeamId, WorkerId


def partition_of_request(team: TeamId, key: RequestKey, partitions: int) -> PartitionId:
    """Return the partition whose owner handles a request.

    :param partitions: number of partitions in the cell
    """
    return PartitionId(xxh3_64_intdigest(f"{team}/{key}".encode()) % partitions)


def partition_of_worker(worker: WorkerId, partitions: int) -> PartitionId:
    """Return the partition that a worker belongs to.

    :param partitions: number of partitions in the cell
    """
    return PartitionId(xxh3_64_intdigest(f"worker/{worker}".encode()) % partitions)


def preferred_owners(members: Iterable[MemberId], partitions: int) -> dict[PartitionId, MemberId]:
    """Assign each partition to a member by rendezvous hashing with bounded load.

    :param members: live members that are not draining
    :param partitions: number of partitions in the cell
    """
    names = sorted(members)
    if not names:
        return {}
    max_load = math.ceil(partitions / len(names))
    load = dict.fromkeys(names, 0)
    owners: dict[PartitionId, MemberId] = {}
    for number in range(partitions):
        partition = PartitionId(number)
        ranked = sorted(names, key=lambda name: _weight(name, partition), reverse=True)
        owner = next(name for name in ranked if load[name] < max_load)
        load[owner] += 1
        owners[partition] = owner
    return owners


def _weight(member: MemberId, partition: PartitionId) -> int:
    return xxh3_64_intdigest(f"{partition}@{member}".encode())
