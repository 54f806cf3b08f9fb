"""Bounds on what all connections of clients hold, and the order in which they are closed."""

from dataclasses import dataclass, field
from typing import Protocol

from lagoonshelf_core.jobs.job_memory import DEFAULT_MEMORY_MB, MB
from lagoonshelf_server.refusals import Reason

# Descriptors of the smallest host, for settings files without them.
DEFAULT_MAX_FDS = 1_638
# The process needs 44 MB without jobs; the remainder is for jobs and the state of the cell.
MEMORY_SHARE = 1 / 8
# Descriptors beyond these shares are kept for the store, the workers and the members.
FD_SHARE = 1 / 2
HANDSHAKE_FD_SHARE = 1 / 8
MAX_HANDSHAKES = 128
# Measured 4 KB for an idle connection; as much again is for an ordinary request.
CONNECTION_BYTES = 8_192
# Clients behind one proxy share an address, so the bound of an address is not far below the total.
ADDRESS_SHARE = 3 / 4
# Freed at once beyond a bound, so that one ordering of the connections serves several evictions.
RELEASE_SHARE = 1 / 32


class Holder(Protocol):
    """A connection as the budget sees it.

    :param held_bytes: estimated memory, set by the budget
    :param waiting_since: time since which it waits for its client
    :param is_protected: an ordinary request is in progress
    """

    address: str
    held_bytes: int
    waiting_since: float
    is_protected: bool

    def evict(self, reason: Reason) -> None:
        """Close the connection and release what it holds."""


@dataclass(slots=True)
class _Usage:
    held_bytes: int = 0
    holders: dict[Holder, None] = field(default_factory=dict)

    def exceeds(self, max_bytes: float, max_connections: float) -> bool:
        return self.held_bytes > max_bytes or len(self.holders) > max_connections


class ConnectionBudget:
    """Bounds of memory and of connections, for each client address and in total."""

    def __init__(
        self, memory_mb: float = DEFAULT_MEMORY_MB, max_fds: int = DEFAULT_MAX_FDS
    ) -> None:
        """Derive the bounds from the limits of the host."""
        self.max_bytes = int(memory_mb * MB * MEMORY_SHARE)
        self.max_connections = max(1, int(max_fds * FD_SHARE))
        self._total = _Usage()
        self._by_address: dict[str, _Usage] = {}

    def add(self, holder: Holder) -> None:
        """Admit a new connection; others, or itself, are closed beyond a bound."""
        holder.held_bytes = CONNECTION_BYTES
        for usage in (self._total, self._by_address.setdefault(holder.address, _Usage())):
            usage.held_bytes += CONNECTION_BYTES
            usage.holders[holder] = None
        self._enforce(holder.address)

    def update(self, holder: Holder, request_bytes: int) -> None:
        """Record what a connection holds now.

        :param request_bytes: memory of its requests and responses
        """
        held_bytes = CONNECTION_BYTES + request_bytes
        growth = held_bytes - holder.held_bytes
        if not growth or holder not in self._total.holders:
            return
        holder.held_bytes = held_bytes
        self._total.held_bytes += growth
        self._by_address[holder.address].held_bytes += growth
        if growth > 0:
            self._enforce(holder.address)

    def remove(self, holder: Holder) -> None:
        """Release what a connection held; may be called again."""
        if holder not in self._total.holders:
            return
        usage = self._by_address[holder.address]
        for part in (self._total, usage):
            part.held_bytes -= holder.held_bytes
            del part.holders[holder]
        if not usage.holders:
            del self._by_address[holder.address]

    def _enforce(self, address: str) -> None:
        self._evict(self._by_address[address], ADDRESS_SHARE, Reason.ADDRESS_LIMIT)
        self._evict(self._total, 1.0, Reason.TOTAL_LIMIT)

    def _evict(self, usage: _Usage, share: float, reason: Reason) -> None:
        """Close connections beyond a share of the bounds.

        The one that holds most and has waited longest is closed first.
        """
        max_bytes, max_connections = self.max_bytes * share, self.max_connections * share
        if not usage.exceeds(max_bytes, max_connections):
            return
        kept_share = 1 - RELEASE_SHARE
        candidates = [holder for holder in usage.holders if not holder.is_protected]
        # Connections with equal values keep the order in which they were opened.
        candidates.sort(key=lambda holder: (-holder.held_bytes, holder.waiting_since))
        for holder in candidates:
            if not usage.exceeds(max_bytes * kept_share, max_connections * kept_share):
                return
            self.remove(holder)
            holder.evict(reason)


def max_handshakes(max_fds: int) -> int:
    """Return how many connections that are not authenticated the members' port may hold."""
    return max(1, min(MAX_HANDSHAKES, int(max_fds * HANDSHAKE_FD_SHARE)))
