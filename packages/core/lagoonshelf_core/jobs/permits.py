"""Permissions of the placement policy: which workers may run a step, and until when."""

from dataclasses import dataclass, field

from lagoonshelf_core.ids import QueueId, WorkerId

# A permission is not used this close to its end, as the order takes time to arrive.
EXPIRY_MARGIN_MS = 150
# A permission is renewed this long before its end, beside the time that asking takes.
RENEWAL_MARGIN_MS = 300
RETRY_MS = 200
# Share of workers that the policy is taken to allow before it has answered, the least share that
# is reckoned with, and the weight of one answer in its moving average.
INITIAL_ALLOWED_SHARE = 0.4
MIN_ALLOWED_SHARE = 0.05
ALLOWED_SHARE_WEIGHT = 0.1


@dataclass(slots=True)
class _StepPermits:
    """What is known of one step.

    :param allowed: workers that the policy allows, also those without a valid permit
    """

    allowed: set[WorkerId] = field(default_factory=set)
    permits: dict[WorkerId, str] = field(default_factory=dict)
    expires_ms: int = 0
    requested: set[WorkerId] = field(default_factory=set)
    is_requested: bool = False
    next_request_ms: int = 0


class Permits:
    """Permissions by step; what the policy allows for a step does not change."""

    def __init__(self) -> None:
        """Start without permissions."""
        self._steps: dict[str, _StepPermits] = {}
        self._shares: dict[QueueId, float] = {}

    def valid(self, step: str, now_ms: int) -> dict[WorkerId, str]:
        """Return the permits of a step by worker, empty when they have ended."""
        entry = self._steps.get(step)
        if entry is None or now_ms >= entry.expires_ms - EXPIRY_MARGIN_MS:
            return {}
        return entry.permits

    def is_request_due(self, step: str, cost_ms: float, now_ms: int) -> bool:
        """Tell whether the policy should be asked now, so that permits are at hand in time."""
        entry = self._steps.get(step)
        if entry is None:
            return True
        if entry.is_requested or now_ms < entry.next_request_ms:
            return False
        return now_ms >= entry.expires_ms - RENEWAL_MARGIN_MS - cost_ms

    def is_in_use(self, step: str, now_ms: int) -> bool:
        """Tell whether a question about a step is under way, or its permits are valid."""
        entry = self._steps.get(step)
        return entry is not None and (entry.is_requested or bool(self.valid(step, now_ms)))

    def allow_probability(self, step: str, worker: WorkerId, share: float) -> float:
        """Return how likely the policy allows a worker for a step.

        :param share: of the workers that it has not been asked about
        """
        entry = self._steps.get(step)
        if entry is None or worker not in entry.requested:
            return share
        return 1.0 if worker in entry.allowed else 0.0

    def allowed_share(self, queue: QueueId) -> float:
        """Return the share of workers that the policy has allowed for a queue's steps lately."""
        return self._shares.get(queue, INITIAL_ALLOWED_SHARE)

    def request_sent(self, step: str) -> None:
        """Note that a question is under way."""
        self._steps.setdefault(step, _StepPermits()).is_requested = True

    def response_received(
        self,
        step: str,
        queue: QueueId,
        requested: tuple[WorkerId, ...],
        permits: dict[WorkerId, str],
        expires_ms: int,
    ) -> None:
        """Note an answer; permits of workers that it does not name have ended."""
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
        entry.expires_ms = expires_ms

    def request_failed(self, step: str, now_ms: int) -> None:
        """Note that no answer came."""
        entry = self._steps.setdefault(step, _StepPermits())
        entry.is_requested = False
        entry.next_request_ms = now_ms + RETRY_MS

    def permit_rejected(self, step: str, worker: WorkerId) -> None:
        """Note that a worker did not accept its permit."""
        entry = self._steps.get(step)
        if entry is not None:
            entry.permits.pop(worker, None)
            entry.allowed.discard(worker)
            entry.requested.discard(worker)
            entry.expires_ms = 0

    def defer_request(self, step: str, at_ms: int) -> None:
        """Put off the next question about a step."""
        self._steps.setdefault(step, _StepPermits()).next_request_ms = at_ms

    def remove(self, step: str) -> None:
        """Drop a step that needs no permits any more."""
        self._steps.pop(step, None)
