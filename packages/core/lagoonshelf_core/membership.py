"""What a member knows of the others, and how long its configuration counts as fresh.

All times are of this process's own clock. Where another process is heard, the time at which
this process sent the question counts, so that a slow answer never makes knowledge look newer.
"""

from dataclasses import dataclass, field

from lagoonshelf_core.ids import MemberId

NEVER = -1


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What a member says of itself in a ping or a pong.

    :param store_reached: whether it reached the store recently
    :param revision: its configuration revision
    :param promise_ms: how long it takes over nothing, 0 for no promise
    :param fresh_ms: how long its configuration still counts as fresh, 0 when it is stale
    :param draining: whether it is leaving and takes over nothing any more
    """

    store_reached: bool
    revision: int
    promise_ms: int = 0
    fresh_ms: int = 0
    draining: bool = False


@dataclass(slots=True)
class Peer:
    """Another member that the store has listed.

    :param heard_ms: send time of the last ping that it answered
    :param promised_until_ms: it takes over nothing before this time
    :param store_reached: true until it says otherwise, which is the safe assumption
    """

    last_contact_ms: int = NEVER
    promised_until_ms: int = NEVER
    store_reached: bool = True
    revision: int = 0
    draining: bool = False


@dataclass(slots=True)
class Membership:
    """The members known when the store was last reached, and the sources of freshness.

    :param complete: whether the member list was ever read from the store
    :param store_fresh_until_ms: by reads of the configuration in the store
    :param peer_fresh_until_ms: by members whose configuration was fresh
    :param outsider_reached_ms: when a member that is not listed said that it reaches the store
    """

    peers: dict[MemberId, Peer] = field(default_factory=dict)
    loaded: bool = False
    store_fresh_until_ms: int = NEVER
    peer_fresh_until_ms: int = NEVER
    unlisted_reached_ms: int = NEVER


def set_members(state: Membership, names: set[MemberId]) -> None:
    """Take in the full list of the other members as the store holds it."""
    state.peers = {name: state.peers.get(name, Peer()) for name in names}
    state.loaded = True


def record_pong(
    state: Membership, name: MemberId, report: PeerReport, sent_ms: int, own_revision: int
) -> None:
    """Take in the answer to a ping.

    :param sent_ms: when the ping was sent
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
    """Take in a ping of another member; its time of sending is unknown, so it promises nothing."""
    peer = state.peers.get(name)
    if peer is None:
        _record_unlisted(state, report, now_ms)
        return
    peer.store_reached = peer.store_reached or report.store_reached
    peer.revision = max(peer.revision, report.revision)
    peer.draining = report.draining


def record_store_read(state: Membership, sent_ms: int, fresh_ms: int) -> None:
    """Note that the store confirmed the configuration.

    :param sent_ms: when the confirming read was sent
    :param fresh_ms: how long a configuration counts as fresh
    """
    state.store_fresh_until_ms = max(state.store_fresh_until_ms, sent_ms + fresh_ms)


def promised_until(state: Membership, now_ms: int, promise_ms: int) -> int:
    """Return until when no known member takes over anything, ``NEVER`` when one may.

    Members that are leaving take over nothing and are not counted.
    """
    outsider_ms = state.unlisted_reached_ms
    if not state.loaded or (outsider_ms != NEVER and now_ms - outsider_ms < promise_ms):
        return NEVER
    counted = [peer for peer in state.peers.values() if not peer.draining]
    if any(peer.store_reached for peer in counted):
        return NEVER
    return min((peer.promised_until_ms for peer in counted), default=now_ms + promise_ms)


def fresh_until(state: Membership, own_revision: int, now_ms: int, fresh_ms: int) -> int:
    """Return until when the configuration counts as fresh.

    :param own_revision: revision in force here
    """
    unanimous_ms = _unchanged_until(state, own_revision, now_ms, fresh_ms)
    return max(state.store_fresh_until_ms, state.peer_fresh_until_ms, unanimous_ms)


def _unchanged_until(state: Membership, own_revision: int, now_ms: int, fresh_ms: int) -> int:
    """Return until when it is certain that nobody can have accepted a configuration.

    A leaving member may be gone, so it need not be heard; it must not reach the store either.
    """
    peers = state.peers.values()
    if not state.loaded or any(peer.revision > own_revision for peer in peers):
        return NEVER
    if any(
        peer.store_reached for peer in peers if not peer.draining or peer.last_contact_ms != NEVER
    ):
        return NEVER
    heard = [peer.last_contact_ms for peer in peers if not peer.draining]
    oldest_ms = min(heard, default=now_ms)
    return NEVER if oldest_ms == NEVER else oldest_ms + fresh_ms


def _record_unlisted(state: Membership, report: PeerReport, now_ms: int) -> None:
    if report.store_reached and not report.draining:
        state.unlisted_reached_ms = max(state.unlisted_reached_ms, now_ms)
