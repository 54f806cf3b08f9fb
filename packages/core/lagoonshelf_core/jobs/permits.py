"""Permissions of the placement policy: which workers may run a step, and until when."""

from dataclasses import dataclass, field

from lagoonshelf_core.ids import WorkerId

# A permission is not used this close to its end, as the order takes time to arrive.
EXPIRY_MARGIN_MS = 150
# A permission is renewed this long before its end, beside the time that asking takes.
RENEW_AHEAD_MS = 300
RETRY_MS = 200


@dataclass(slots=True)
class _StepPermits:
    """What is known of one step.

    :param allowed: workers that the policy allows, also those without a valid permit
    """

    allowed: set[WorkerId] = field(default_factory=set)
    permits: dict[WorkerId, str] = field(default_factory=dict)
    expires_ms: int = 0
    asked: set[WorkerId] = field(default_factory=set)
    is_asking: bool = False
    next_ask_ms: int = 0


class Permits:
    """Permissions by step; what the policy allows for a step does not change."""

    def __init__(self) -> None:
        """Start without permissions."""
        self._steps: dict[str, _StepPermits] = {}

    def valid(self, step: str, now_ms: int) -> dict[WorkerId, str]:
        """Return the permits of a step by worker, empty when they have ended."""
        entry = self._steps.get(step)
        if entry is None or now_ms >= entry.expires_ms - EXPIRY_MARGIN_MS:
            return {}
        return entry.permits

    def is_due(self, step: str, cost_ms: float, now_ms: int) -> bool:
        """Tell whether the policy should be asked now, so that permits are at hand in time."""
        entry = self._steps.get(step)
        if entry is None:
            return True
        if entry.is_asking or now_ms < entry.next_ask_ms:
            return False
        return now_ms >= entry.expires_ms - RENEW_AHEAD_MS - cost_ms

    def is_known(self, step: str) -> bool:
        """Tell whether the policy has answered for a step before."""
        entry = self._steps.get(step)
        return entry is not None and bool(entry.asked)

    def to_ask(self, step: str, workers: list[WorkerId]) -> list[WorkerId]:
        """Return the workers to name: those allowed before, and those not asked about."""
        entry = self._steps.get(step)
        if entry is None:
            return workers
        return [name for name in workers if name in entry.allowed or name not in entry.asked]

    def asking(self, step: str) -> None:
        """Note that a question is under way."""
        self._steps.setdefault(step, _StepPermits()).is_asking = True

    def answered(
        self, step: str, named: tuple[WorkerId, ...], permits: dict[WorkerId, str], expires_ms: int
    ) -> None:
        """Note an answer; permits of workers that it does not name have ended."""
        entry = self._steps.setdefault(step, _StepPermits())
        entry.is_asking = False
        entry.asked.update(named)
        entry.allowed.difference_update(named)
        entry.allowed.update(permits)
        entry.permits = permits
        entry.expires_ms = expires_ms

    def unanswered(self, step: str, now_ms: int) -> None:
        """Note that no answer came."""
        entry = self._steps.setdefault(step, _StepPermits())
        entry.is_asking = False
        entry.next_ask_ms = now_ms + RETRY_MS

    def refused(self, step: str, worker: WorkerId) -> None:
        """Note that a worker did not accept its permit."""
        entry = self._steps.get(step)
        if entry is not None:
            entry.permits.pop(worker, None)
            entry.allowed.discard(worker)
            entry.asked.discard(worker)
            entry.expires_ms = 0

    def forget(self, step: str) -> None:
        """Drop a step that needs no permits any more."""
        self._steps.pop(step, None)
