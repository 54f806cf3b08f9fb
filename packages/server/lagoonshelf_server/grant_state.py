"""State of one team in the grant manager."""

from dataclasses import dataclass, field

from lagoonshelf_core.grants import ZERO_AMOUNT, Amount, GrantDocument


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write whose outcome is not known yet.

    :param amount: grant of the partition after the write
    """

    text: str
    token: str
    serial: int
    amount: Amount


@dataclass(slots=True)
class TeamGrants:
    """Grants of one team as known to this partition.

    :param busy: whether an update of the store is in progress
    :param requested: amount that another owner requested, valid until ``requested_until_ms``
    :param idle_since_ms: since when part of the grant has been idle, none if all of it is in use
    :param peak_need: largest need since then
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
