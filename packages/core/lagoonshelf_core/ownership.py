"""Rules for when a process may act as partition owner and when it may take over a partition.

While a process cannot reach the store, it answers pings with a promise: it takes over no
partition for ``promise_ms``. An owner with such promises from all other members keeps its
partitions past the end of its lease.
"""

from dataclasses import dataclass

from lagoonshelf_core.membership import NEVER, Membership, promised_until

UNPREFERRED_CLAIM_DELAY_MS = 1000


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations of leases and promises; all processes of the cell use the same values.

    :param margin_ms: how long before the end of a lease or promise the owner stops acting
    """

    lease_ttl_ms: int
    margin_ms: int
    promise_ms: int


@dataclass(slots=True)
class LeaseState:
    """Deadlines of this process's lease and of the promises that it gave.

    :param lease_until_ms: time until which the last successful renewal lets the process act
    :param extended_until_ms: time until which the promises of all known members let it act
    :param last_deadline_ms: latest of these deadlines under the current lease
    :param no_takeover_until_ms: time before which this process takes over no partition
    :param reclaim_until_ms: time until which it may reclaim the partitions of its expired lease
    """

    lease_until_ms: int = NEVER
    extended_until_ms: int = NEVER
    last_deadline_ms: int = NEVER
    no_takeover_until_ms: int = NEVER
    reclaim_until_ms: int = NEVER


def record_renewal(lease: LeaseState, timing: LeaseTiming, sent_ms: int) -> None:
    """Record a successful lease renewal.

    :param sent_ms: time at which the renewal was sent
    """
    until_ms = sent_ms + timing.lease_ttl_ms - timing.margin_ms
    lease.lease_until_ms = max(lease.lease_until_ms, until_ms)
    lease.last_deadline_ms = max(lease.last_deadline_ms, lease.lease_until_ms)


def record_lease_loss(lease: LeaseState, timing: LeaseTiming) -> None:
    """Record that the lease has expired; promises given to other members remain in force.

    No other member claims the lost partitions before the last deadline, and a later claim lasts
    for at least one lease. Until one lease after that deadline, a missing owner key therefore
    proves that no other member has owned the partition, and this process may reclaim it at once.
    """
    if lease.last_deadline_ms != NEVER:
        lease.reclaim_until_ms = lease.last_deadline_ms + timing.lease_ttl_ms
    lease.lease_until_ms = NEVER
    lease.extended_until_ms = NEVER
    lease.last_deadline_ms = NEVER


def extend_by_promises(
    lease: LeaseState, timing: LeaseTiming, members: Membership, now_ms: int
) -> None:
    """Set the extended deadline from the promises of all known members.

    When the last deadline passed more than one lease ago, another member may have owned and lost
    the same partition without any sign of it in its pongs. Promises then no longer extend the
    deadline, and ownership depends on the store alone.
    """
    if lease.last_deadline_ms == NEVER:
        return
    if now_ms - lease.last_deadline_ms > timing.lease_ttl_ms:
        lease.extended_until_ms = NEVER
        return
    promised_ms = promised_until(members, now_ms, timing.promise_ms)
    until_ms = NEVER if promised_ms == NEVER else promised_ms - timing.margin_ms
    lease.extended_until_ms = until_ms
    lease.last_deadline_ms = max(lease.last_deadline_ms, until_ms)


def may_act(lease: LeaseState, now_ms: int) -> bool:
    """Return whether this process may send commands and answers as an owner."""
    return now_ms < max(lease.lease_until_ms, lease.extended_until_ms)


def holds_lease(lease: LeaseState, now_ms: int) -> bool:
    """Return whether the lease alone allows this process to act, without promises."""
    return now_ms < lease.lease_until_ms


def give_promise(lease: LeaseState, timing: LeaseTiming, store_reached: bool, now_ms: int) -> int:
    """Give a promise and return its length for the pong, 0 when none is given.

    :param store_reached: whether this process reached the store recently
    """
    if store_reached:
        return 0
    lease.no_takeover_until_ms = max(lease.no_takeover_until_ms, now_ms + timing.promise_ms)
    return timing.promise_ms


def defer_takeover(lease: LeaseState, timing: LeaseTiming, now_ms: int) -> None:
    """Delay takeovers by ``promise_ms`` after the store was unreachable for longer than a lease.

    Owners that no longer list this process need no promise from it to go on. During the delay
    its pings tell them that it reaches the store, so they stop before it takes over.
    """
    lease.no_takeover_until_ms = max(lease.no_takeover_until_ms, now_ms + timing.promise_ms)


def may_take_over(lease: LeaseState, now_ms: int) -> bool:
    """Return whether all promises and delays that bar this process from takeovers are over."""
    return now_ms >= lease.no_takeover_until_ms


def should_claim(free_since_ms: int, preferred: bool, now_ms: int) -> bool:
    """Return whether this process should claim a free partition now.

    :param free_since_ms: time at which the partition was first seen without an owner
    :param preferred: whether this process is the partition's preferred owner
    """
    return preferred or now_ms - free_since_ms > UNPREFERRED_CLAIM_DELAY_MS
