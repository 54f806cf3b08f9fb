"""Permits of the placement policy: which workers may run a step, and until when."""

from dataclasses import dataclass, field

from lagoonshelf_core.ids import QueueId, WorkerId

# A permit is not used this close to its expiry, because the start command takes time to arrive.
# The margin grows with each start that arrives too late, up to a share of the validity, and
# shrinks with the others.
EXPIRY_MARGIN_MS = 150
MAX_MARGIN_SHARE = 0.6
MAX_MARGIN_MS = 2_000
MARGIN_GROWTH = 1.5
MARGIN_DECAY = 0.99
# A start is not sent this close to the expiry of its permit.
SEND_MARGIN_MS = 50
# A permit is renewed this long before it is no longer used, plus the time that the request takes.
RENEWAL_MARGIN_MS = 150
RETRY_MS = 200
# Share of workers that the policy is assumed to allow before its first response, lower bound of
# the share, and weight of one response in its exponential moving average.
INITIAL_ALLOWED_SHARE = 0.4
MIN_ALLOWED_SHARE = 0.05
ALLOWED_SHARE_WEIGHT = 0.1


@dataclass(slots=True)
class _StepPermits:
    """Permits and pending request of one step.

    :param allowed: workers that the policy allows, with or without a valid permit
    :param requested: workers that the policy has decided on
    :param is_requested: a request is in progress
    """

    allowed: set[WorkerId] = field(default_factory=set)
    permits: dict[WorkerId, str] = field(default_factory=dict)
    expires_ms: int = 0
    validity_ms: int = 0
    requested: set[WorkerId] = field(default_factory=set)
    is_requested: bool = False
    next_request_ms: int = 0


class Permits:
    """Permits by step; the set of workers that the policy allows for a step does not change."""

    def __init__(self) -> None:
        """Initialize without permits."""
        self._steps: dict[str, _StepPermits] = {}
        self._shares: dict[QueueId, float] = {}
        self._margin_ms = float(EXPIRY_MARGIN_MS)

    def valid(self, step: str, now_ms: int) -> dict[WorkerId, str]:
        """Return the permits of a step by worker, empty when they have expired."""
        entry = self._steps.get(step)
        if entry is None or now_ms >= self._usable_until_ms(entry):
            return {}
        return entry.permits

    def _usable_until_ms(self, entry: _StepPermits) -> float:
        return entry.expires_ms - min(self._margin_ms, MAX_MARGIN_SHARE * entry.validity_ms)

    def find(self, step: str, worker: WorkerId, now_ms: int) -> str:
        """Return a permit with which a start may be sent now, "" if there is none."""
        entry = self._steps.get(step)
        if entry is None or now_ms >= entry.expires_ms - SEND_MARGIN_MS:
            return ""
        return entry.permits.get(worker, "")

    def expires_ms(self, step: str) -> int:
        """Return when the permits of a step expire."""
        entry = self._steps.get(step)
        return 0 if entry is None else entry.expires_ms

    def allowed(self, step: str) -> set[WorkerId]:
        """Return the workers that the policy allows for a step, with or without valid permits."""
        entry = self._steps.get(step)
        return set() if entry is None else entry.allowed

    def is_request_due(self, step: str, cost_ms: float, now_ms: int) -> bool:
        """Return whether advice must be requested now to have valid permits without a gap.

        :param cost_ms: time that the request takes
        """
        entry = self._steps.get(step)
        if entry is None:
            return True
        if entry.is_requested or now_ms < entry.next_request_ms:
            return False
        return now_ms >= self._usable_until_ms(entry) - RENEWAL_MARGIN_MS - cost_ms

    def is_in_use(self, step: str, now_ms: int) -> bool:
        """Return whether a request for a step is in progress or its permits are valid."""
        entry = self._steps.get(step)
        return entry is not None and (entry.is_requested or bool(self.valid(step, now_ms)))

    def allow_probability(self, step: str, worker: WorkerId, share: float) -> float:
        """Return the probability that the policy allows a worker for a step.

        :param share: probability for a worker that the policy has not decided on
        """
        entry = self._steps.get(step)
        if entry is None or worker not in entry.requested:
            return share
        return 1.0 if worker in entry.allowed else 0.0

    def allowed_share(self, queue: QueueId) -> float:
        """Return the recent share of workers that the policy allowed for a queue's steps."""
        return self._shares.get(queue, INITIAL_ALLOWED_SHARE)

    def request_sent(self, step: str) -> None:
        """Record that a request for a step is in progress."""
        self._steps.setdefault(step, _StepPermits()).is_requested = True

    def response_received(
        self,
        step: str,
        queue: QueueId,
        requested: tuple[WorkerId, ...],
        permits: dict[WorkerId, str],
        now_ms: int,
        validity_ms: int,
    ) -> None:
        """Record the response to a request; it replaces all permits of the step.

        :param requested: workers that the request listed
        """
        entry = self._steps.setdefault(step, _StepPermits())
        entry.is_requested = False
        newly_requested = [name for name in requested if name not in entry.requested]
        if newly_requested:
            newly_allowed_share = sum(name in permits for name in newly_requested) / len(
                newly_requested
            )
            previous = self.allowed_share(queue)
            self._shares[queue] = max(
                MIN_ALLOWED_SHARE,
                previous + ALLOWED_SHARE_WEIGHT * (newly_allowed_share - previous),
            )
        entry.requested.update(requested)
        entry.allowed.difference_update(requested)
        entry.allowed.update(permits)
        entry.permits = permits
        entry.expires_ms = now_ms + validity_ms
        entry.validity_ms = validity_ms

    def request_failed(self, step: str, now_ms: int) -> None:
        """Record that a request got no response."""
        entry = self._steps.setdefault(step, _StepPermits())
        entry.is_requested = False
        entry.next_request_ms = now_ms + RETRY_MS

    def permit_accepted(self) -> None:
        """Record that a start arrived in time."""
        self._margin_ms = max(EXPIRY_MARGIN_MS, MARGIN_DECAY * self._margin_ms)

    def permit_rejected(self, step: str, worker: WorkerId) -> None:
        """Record that a worker rejected its permit."""
        self._margin_ms = min(MAX_MARGIN_MS, MARGIN_GROWTH * self._margin_ms)
        entry = self._steps.get(step)
        if entry is not None:
            entry.permits.pop(worker, None)
            entry.allowed.discard(worker)
            entry.requested.discard(worker)
            entry.expires_ms = 0

    def defer_request(self, step: str, at_ms: int) -> None:
        """Defer the next request for a step."""
        self._steps.setdefault(step, _StepPermits()).next_request_ms = at_ms

    def remove(self, step: str) -> None:
        """Remove a step that no longer needs permits."""
        self._steps.pop(step, None)
