"""What a grant keeper knows of one team."""

from dataclasses import dataclass, field

from lagoonshelf_core.grants import ZERO_AMOUNT, Amount, GrantDocument


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write whose outcome is not known yet."""

    text: str
    token: str
    serial: int
    amount: Amount


@dataclass(slots=True)
class TeamGrants:
    """What is known of one team's grants.

    :param asked: what other owners asked for until ``asked_until_ms``
    :param idle_since_ms: since when part of the grant is idle, none when it is not
    :param peak: largest need since then
    """

    doc: GrantDocument = field(default_factory=GrantDocument)
    pending: PendingWrite | None = None
    busy: bool = False
    next_write_ms: int = 0
    next_request_ms: int = 0
    requested: Amount = ZERO_AMOUNT
    requested_until_ms: int = -1
    idle_since_ms: int | None = None
    peak_need: Amount = ZERO_AMOUNT
