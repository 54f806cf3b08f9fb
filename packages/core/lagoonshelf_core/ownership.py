"""When this process may act as an owner, and when it may take over a free partition."""

from dataclasses import dataclass

from lagoonshelf_core.membership import NEVER, Membership, promised_until

UNPREFERRED_CLAIM_DELAY_MS = 1000


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Lengths of leases and promises, the same on all processes.

    :param margin_ms: how long before the end of a lease or promise the owner stops
    """

    lease_ttl_ms: int
    margin_ms: int
    promise_ms: int


@dataclass(slots=True)
class LeaseState:
    """Until when this process may act, and which promises it gave.

    :param lease_until_ms: deadline by the last successful lease renewal
    :param extended_until_ms: deadline by the promises of all known members
    :param covered_until_ms: latest deadline that ever held for the current lease
    :param bound_until_ms: this process takes over nothing before this time
    :param reclaim_until_ms: until when partitions of the lapsed lease may be claimed again
    """

    lease_until_ms: int = NEVER
    extended_until_ms: int = NEVER
    last_deadline_ms: int = NEVER
    no_takeover_until_ms: int = NEVER
    reclaim_until_ms: int = NEVER


def record_renewal(lease: LeaseState, timing: LeaseTiming, sent_ms: int) -> None:
    """Take in a successful renewal.

    :param sent_ms: when the renewal was sent
    """
    until_ms = sent_ms + timing.lease_ttl_ms - timing.margin_ms
    lease.lease_until_ms = max(lease.lease_until_ms, until_ms)
    lease.last_deadline_ms = max(lease.last_deadline_ms, lease.lease_until_ms)


def record_lease_loss(lease: LeaseState, timing: LeaseTiming) -> None:
    """Take in that the lease has lapsed; promises that were given stay binding.

    No other member claims the lost partitions before the last deadline, and a claim after it
    lives for a lease at least. Until one lease later, an absent owner key thus proves that
    nobody else has owned the partition, and this process may claim it again at once.
    """
    if lease.last_deadline_ms != NEVER:
        lease.reclaim_until_ms = lease.last_deadline_ms + timing.lease_ttl_ms
    lease.lease_until_ms = NEVER
    lease.extended_until_ms = NEVER
    lease.last_deadline_ms = NEVER


def extend_by_promises(
    lease: LeaseState, timing: LeaseTiming, members: Membership, now_ms: int
) -> None:
    """Set the deadline by the promises of all known members.

    After a gap longer than a lease another member may have owned and lost the same partition
    without a trace in its pongs, so promises no longer extend; only the store decides then.
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
    """Tell whether commands and answers may leave now."""
    return now_ms < max(lease.lease_until_ms, lease.extended_until_ms)


def holds_lease(lease: LeaseState, now_ms: int) -> bool:
    """Tell whether the lease alone allows to act, without promises of others."""
    return now_ms < lease.lease_until_ms


def give_promise(lease: LeaseState, timing: LeaseTiming, store_reached: bool, now_ms: int) -> int:
    """Return the length of the promise to put into a pong, 0 for none.

    :param store_reached: whether this process reached the store recently
    """
    if store_reached:
        return 0
    lease.no_takeover_until_ms = max(lease.no_takeover_until_ms, now_ms + timing.promise_ms)
    return timing.promise_ms


def defer_takeover(lease: LeaseState, timing: LeaseTiming, now_ms: int) -> None:
    """Wait as long as a promise after the store was away longer than a lease.

    Members that no longer know this process ask it for no promise, but its pings tell them to
    stop before it may take over.
    """
    lease.no_takeover_until_ms = max(lease.no_takeover_until_ms, now_ms + timing.promise_ms)


def may_take_over(lease: LeaseState, now_ms: int) -> bool:
    """Tell whether all promises that this process gave have run out."""
    return now_ms >= lease.no_takeover_until_ms


def should_claim(free_since_ms: int, preferred: bool, now_ms: int) -> bool:
    """Tell whether a free partition should be claimed now.

    :param free_since_ms: when the partition was first seen without an owner
    :param preferred: whether this process is its preferred owner
    """
    return preferred or now_ms - free_since_ms > UNPREFERRED_CLAIM_DELAY_MS
