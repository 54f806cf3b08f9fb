"""A member's view of the other members, and how long its configuration counts as fresh.

All times are read from this process's own clock. An answer from another process is dated by the
time at which the request was sent, so that a slow answer never looks newer than it is.
"""

from dataclasses import dataclass, field

from lagoonshelf_core.ids import MemberId

NEVER = -1


@dataclass(frozen=True, slots=True)
class PeerReport:
    """State that a member reports about itself in a ping or a pong.

    :param store_reached: whether it reached the store recently
    :param revision: its configuration revision
    :param promise_ms: how long it promises to take over no partition, 0 for no promise
    :param fresh_ms: how long its configuration still counts as fresh, 0 when it is stale
    :param draining: whether it is shutting down and takes over no more partitions
    """

    store_reached: bool
    revision: int
    promise_ms: int = 0
    fresh_ms: int = 0
    draining: bool = False


@dataclass(slots=True)
class Peer:
    """Another member on the member list in the store.

    :param last_contact_ms: send time of the last ping that it answered
    :param promised_until_ms: time before which it promised to take over no partition
    :param store_reached: true until it reports otherwise, which is the safe assumption
    """

    last_contact_ms: int = NEVER
    promised_until_ms: int = NEVER
    store_reached: bool = True
    revision: int = 0
    draining: bool = False


@dataclass(slots=True)
class Membership:
    """The last member list read from the store, and until when the configuration is fresh.

    :param loaded: whether the member list has been read from the store at least once
    :param store_fresh_until_ms: freshness deadline from reads of the configuration in the store
    :param peer_fresh_until_ms: freshness deadline from members whose configuration was fresh
    :param unlisted_reached_ms: time at which a member outside the list last reported that it
        reaches the store
    """

    peers: dict[MemberId, Peer] = field(default_factory=dict)
    loaded: bool = False
    store_fresh_until_ms: int = NEVER
    peer_fresh_until_ms: int = NEVER
    unlisted_reached_ms: int = NEVER


def set_members(state: Membership, names: set[MemberId]) -> None:
    """Replace the list of other members by the one read from the store."""
    state.peers = {name: state.peers.get(name, Peer()) for name in names}
    state.loaded = True


def record_pong(
    state: Membership, name: MemberId, report: PeerReport, sent_ms: int, own_revision: int
) -> None:
    """Record the answer to a ping.

    :param sent_ms: time at which the ping was sent
    """
    if report.fresh_ms > 0 and report.revision <= own_revision:
        until_ms = sent_ms + report.fresh_ms
        state.peer_fresh_until_ms = max(state.peer_fresh_until_ms, until_ms)
    peer = state.peers.get(name)
    if peer is None:
        _record_unlisted(state, report, sent_ms)
        return
    peer.last_contact_ms = max(peer.last_contact_ms, sent_ms)
    peer.store_reached = report.store_reached
    peer.revision = max(peer.revision, report.revision)
    peer.draining = report.draining
    if report.promise_ms > 0:
        peer.promised_until_ms = max(peer.promised_until_ms, sent_ms + report.promise_ms)


def record_ping(state: Membership, name: MemberId, report: PeerReport, now_ms: int) -> None:
    """Record a ping from another member.

    The time at which it was sent is unknown, so it renews neither promises nor freshness.
    """
    peer = state.peers.get(name)
    if peer is None:
        _record_unlisted(state, report, now_ms)
        return
    peer.store_reached = peer.store_reached or report.store_reached
    peer.revision = max(peer.revision, report.revision)
    peer.draining = report.draining


def record_store_read(state: Membership, sent_ms: int, fresh_ms: int) -> None:
    """Record that a read of the store confirmed the configuration.

    :param sent_ms: time at which the read was sent
    :param fresh_ms: how long a confirmed configuration counts as fresh
    """
    state.store_fresh_until_ms = max(state.store_fresh_until_ms, sent_ms + fresh_ms)


def promised_until(state: Membership, now_ms: int, promise_ms: int) -> int:
    """Return the time until which no member takes over a partition, ``NEVER`` when one may.

    Draining members take over no partitions and are not counted.
    """
    unlisted_ms = state.unlisted_reached_ms
    if not state.loaded or (unlisted_ms != NEVER and now_ms - unlisted_ms < promise_ms):
        return NEVER
    counted = [peer for peer in state.peers.values() if not peer.draining]
    if any(peer.store_reached for peer in counted):
        return NEVER
    return min((peer.promised_until_ms for peer in counted), default=now_ms + promise_ms)


def fresh_until(state: Membership, own_revision: int, now_ms: int, fresh_ms: int) -> int:
    """Return the time until which the configuration counts as fresh.

    :param own_revision: configuration revision in force on this process
    """
    unchanged_ms = _unchanged_until(state, own_revision, now_ms, fresh_ms)
    return max(state.store_fresh_until_ms, state.peer_fresh_until_ms, unchanged_ms)


def _unchanged_until(state: Membership, own_revision: int, now_ms: int, fresh_ms: int) -> int:
    """Return the time until which no member can have accepted a newer configuration.

    This holds while all members answer pings and none reaches the store. A draining member may
    have exited and need not answer, but if it has answered, it must not reach the store either.
    """
    peers = state.peers.values()
    if not state.loaded or any(peer.revision > own_revision for peer in peers):
        return NEVER
    if any(
        peer.store_reached for peer in peers if not peer.draining or peer.last_contact_ms != NEVER
    ):
        return NEVER
    contacts = [peer.last_contact_ms for peer in peers if not peer.draining]
    oldest_ms = min(contacts, default=now_ms)
    return NEVER if oldest_ms == NEVER else oldest_ms + fresh_ms


def _record_unlisted(state: Membership, report: PeerReport, now_ms: int) -> None:
    if report.store_reached and not report.draining:
        state.unlisted_reached_ms = max(state.unlisted_reached_ms, now_ms)
