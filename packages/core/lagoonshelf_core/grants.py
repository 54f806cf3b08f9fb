"""Division of a team's upper limit into grants, one for each partition.

All grants of a team are stored in one document. An owner changes only the entry of its own
partition and runs no more than that entry allows, so the sum of the entries bounds what the team
runs.
"""

from dataclasses import dataclass, field, replace

import orjson

from lagoonshelf_core.ids import Epoch, PartitionId, Revision, TeamId

GRANT_PREFIX = "grants/"
STEPS_PER_LIMIT = 8
# Base grants take up half of the limit. The other half stays unallocated, so that most needs are
# met without a request to other partitions.
BASE_GRANT_DIVISOR = 2


@dataclass(frozen=True, slots=True)
class Amount:
    """Number of tasks and amount of processor, in thousandths of a core."""

    tasks: int = 0
    cpu_milli: int = 0

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(self.tasks + other.tasks, self.cpu_milli + other.cpu_milli)

    def __sub__(self, other: "Amount") -> "Amount":
        """Subtract each component, with zero as the lower bound."""
        return Amount(max(0, self.tasks - other.tasks), max(0, self.cpu_milli - other.cpu_milli))

    def scaled(self, factor: int) -> "Amount":
        """Return the amount multiplied by a whole number."""
        return Amount(self.tasks * factor, self.cpu_milli * factor)

    def fits_in(self, available: "Amount") -> bool:
        """Return whether no component exceeds that of ``available``."""
        return self.tasks <= available.tasks and self.cpu_milli <= available.cpu_milli

    def minimum(self, other: "Amount") -> "Amount":
        """Return the lower value of each component."""
        return Amount(min(self.tasks, other.tasks), min(self.cpu_milli, other.cpu_milli))

    def maximum(self, other: "Amount") -> "Amount":
        """Return the higher value of each component."""
        return Amount(max(self.tasks, other.tasks), max(self.cpu_milli, other.cpu_milli))


ZERO_AMOUNT = Amount()


@dataclass(frozen=True, slots=True)
class GrantEntry:
    """The grant of one partition.

    :param epoch: epoch of the owner that may use the grant; a new owner first writes its own
    :param token: writer token of the last change to this entry
    """

    amount: Amount
    epoch: Epoch
    token: str


@dataclass(frozen=True, slots=True)
class GrantDocument:
    """All grants of a team.

    :param limit: upper limit in the newest configuration that any writer had
    :param revision: configuration revision of that limit
    :param serial: number of changes; the newer of two copies has the higher one
    :param total: sum of all grants, computed from the entries
    """

    limit: Amount = ZERO_AMOUNT
    revision: Revision = Revision(0)
    serial: int = 0
    entries: dict[PartitionId, GrantEntry] = field(default_factory=dict)
    total: Amount = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Compute the sum of the grants once, since it is read before each task start."""
        total = sum((entry.amount for entry in self.entries.values()), ZERO_AMOUNT)
        object.__setattr__(self, "total", total)

    def amount(self, partition: PartitionId) -> Amount:
        """Return the grant of a partition, regardless of its owner's epoch."""
        entry = self.entries.get(partition)
        return entry.amount if entry else ZERO_AMOUNT

    def usable(self, partition: PartitionId, epoch: Epoch) -> Amount:
        """Return the grant of a partition if its entry has the given epoch, else zero."""
        entry = self.entries.get(partition)
        return entry.amount if entry and entry.epoch == epoch else ZERO_AMOUNT


@dataclass(frozen=True, slots=True)
class KnownLimit:
    """A team's upper limit in a configuration revision; zero for a removed team."""

    amount: Amount
    revision: Revision


def grant_key(team: TeamId) -> str:
    """Return the store key of a team's grants."""
    return GRANT_PREFIX + team


def limit_in_force(doc: GrantDocument, known: KnownLimit) -> Amount:
    """Return the limit of the newer revision, the document's or the owner's own."""
    return doc.limit if doc.revision > known.revision else known.amount


def prorated_grant(doc: GrantDocument, partition: PartitionId, limit: Amount) -> Amount:
    """Return the part of its grant that a partition keeps under a limit.

    A limit below the sum of grants leaves each partition ``floor(grant x limit / sum)``.
    """
    grant, total = doc.amount(partition), doc.total
    return Amount(
        _scale(grant.tasks, limit.tasks, total.tasks),
        _scale(grant.cpu_milli, limit.cpu_milli, total.cpu_milli),
    )


def start_limit(doc: GrantDocument, partition: PartitionId, limit: Amount) -> Amount:
    """Return the most that a partition may run after it starts another task.

    While the grants exceed a lowered limit, other partitions may still run up to their grants, so
    the prorated grant is capped at what those grants leave of the limit.
    """
    others = doc.total - doc.amount(partition)
    return prorated_grant(doc, partition, limit).minimum(limit - others)


def grant_step(limit: Amount) -> Amount:
    """Return the unit in which grants are raised and reduced, to avoid a write per task."""
    return Amount(-(-limit.tasks // STEPS_PER_LIMIT), -(-limit.cpu_milli // STEPS_PER_LIMIT))


def base_grant(limit: Amount, partitions: int) -> Amount:
    """Return the grant that a partition keeps without demand.

    Grants cannot change during a store outage, so each partition holds this much in advance.

    :param partitions: number of partitions in the cell
    """
    divisor = BASE_GRANT_DIVISOR * partitions
    return Amount(limit.tasks // divisor, limit.cpu_milli // divisor)


def raised_grant(
    doc: GrantDocument, partition: PartitionId, need: Amount, known: KnownLimit
) -> Amount:
    """Return a partition's grant after raising it from the unallocated amount to cover a need.

    The first grant of a partition is allocated in the same way.

    :param need: what the partition would run
    """
    grant = doc.amount(partition)
    if known.revision < doc.revision or need.fits_in(grant):
        return grant
    free = known.amount - doc.total
    wanted = (need - grant).maximum(_step_where_needed(grant_step(known.amount), need, grant))
    if not doc.total.fits_in(known.amount):
        return grant
    return grant + wanted.minimum(free)


def amount_to_request(
    doc: GrantDocument, partition: PartitionId, need: Amount, limit: Amount
) -> Amount:
    """Return the amount that a partition requests from others to cover a need.

    It includes at least one step of each component of which the grant is too low.
    """
    grant = doc.amount(partition)
    return (need - grant).maximum(_step_where_needed(grant_step(limit), need, grant))


def reduced_grant(grant: Amount, need: Amount, limit: Amount) -> Amount:
    """Return the grant after releasing its idle part, rounded up to whole steps.

    :param need: highest amount that the partition recently ran or had waiting
    """
    unit = grant_step(limit)
    return Amount(
        min(grant.tasks, _round_up(need.tasks, unit.tasks)),
        min(grant.cpu_milli, _round_up(need.cpu_milli, unit.cpu_milli)),
    )


def grant_after_lowering(
    doc: GrantDocument, partition: PartitionId, usage: Amount, limit: Amount
) -> Amount:
    """Return the grant under a lowered limit: the prorated grant, or the usage if higher."""
    return prorated_grant(doc, partition, limit).maximum(usage).minimum(doc.amount(partition))


def with_entry(
    doc: GrantDocument, partition: PartitionId, entry: GrantEntry, known: KnownLimit
) -> GrantDocument:
    """Return the document with one partition's entry replaced."""
    entries = {**doc.entries, partition: entry}
    changed = replace(doc, entries=entries, serial=doc.serial + 1)
    if known.revision < doc.revision:
        return changed
    return replace(changed, limit=known.amount, revision=known.revision)


def encode_grants(doc: GrantDocument) -> str:
    """Encode a grant document as JSON text."""
    body = {
        "limit": [doc.limit.tasks, doc.limit.cpu_milli],
        "revision": doc.revision,
        "serial": doc.serial,
        "grants": {
            str(partition): [
                entry.amount.tasks,
                entry.amount.cpu_milli,
                entry.epoch,
                entry.token,
            ]
            for partition, entry in doc.entries.items()
        },
    }
    return orjson.dumps(body).decode()


def decode_grants(text: str | None) -> GrantDocument:
    """Decode a grant document from JSON text; ``None`` gives an empty document."""
    if text is None:
        return GrantDocument()
    body = orjson.loads(text)
    entries = {
        PartitionId(int(name)): GrantEntry(Amount(tasks, cpu_milli), Epoch(epoch), token)
        for name, (tasks, cpu_milli, epoch, token) in body["grants"].items()
    }
    return GrantDocument(
        Amount(*body["limit"]), Revision(body["revision"]), body["serial"], entries
    )


def _scale(grant: int, limit: int, total: int) -> int:
    return grant if total <= limit else grant * limit // total


def _round_up(value: int, unit: int) -> int:
    return -(-value // unit) * unit if unit else value


def _step_where_needed(unit: Amount, need: Amount, grant: Amount) -> Amount:
    return Amount(
        unit.tasks if need.tasks > grant.tasks else 0,
        unit.cpu_milli if need.cpu_milli > grant.cpu_milli else 0,
    )
