"""Division of a team's upper limit across partitions.

The grants of a team are one document. An owner changes only the entry of its own partition, and
each entry covers what runs in its partition, so the sum of the entries bounds what the team runs.
"""

from dataclasses import dataclass, field, replace

import orjson

from lagoonshelf_core.ids import Epoch, PartitionId, Revision, TeamId

GRANT_PREFIX = "grants/"
STEPS_PER_LIMIT = 8
# Half of the limit stays unallocated, so that most needs are met without asking others.
BASE_GRANT_DIVISOR = 2


@dataclass(frozen=True, slots=True)
class Amount:
    """An amount of work: tasks and processor thousandths."""

    tasks: int = 0
    cpu_milli: int = 0

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(self.tasks + other.tasks, self.cpu_milli + other.cpu_milli)

    def __sub__(self, other: "Amount") -> "Amount":
        """Subtract; a component never falls below zero."""
        return Amount(max(0, self.tasks - other.tasks), max(0, self.cpu_milli - other.cpu_milli))

    def scaled(self, factor: int) -> "Amount":
        """Return the amount multiplied by a whole number."""
        return Amount(self.tasks * factor, self.cpu_milli * factor)

    def fits_in(self, available: "Amount") -> bool:
        """Tell whether each component is at most that of ``room``."""
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

    :param epoch: owner that may use it; a successor first writes its own epoch
    :param token: writer token of the last change of this entry
    """

    amount: Amount
    epoch: Epoch
    token: str


@dataclass(frozen=True, slots=True)
class GrantDocument:
    """The grants of a team.

    :param limit: upper limit that the writer with the newest configuration knew
    :param revision: configuration revision of that limit
    :param serial: number of changes, tells the newer of two copies
    :param total: sum of all grants, computed
    """

    limit: Amount = ZERO_AMOUNT
    revision: Revision = Revision(0)
    serial: int = 0
    entries: dict[PartitionId, GrantEntry] = field(default_factory=dict)
    total: Amount = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Add up the grants once, since each check before a start needs the sum."""
        total = sum((entry.amount for entry in self.entries.values()), ZERO_AMOUNT)
        object.__setattr__(self, "total", total)

    def amount(self, partition: PartitionId) -> Amount:
        """Return the grant of a partition, whoever may use it."""
        entry = self.entries.get(partition)
        return entry.amount if entry else ZERO_AMOUNT

    def usable(self, partition: PartitionId, epoch: Epoch) -> Amount:
        """Return the grant of a partition that the owner of an epoch may use."""
        entry = self.entries.get(partition)
        return entry.amount if entry and entry.epoch == epoch else ZERO_AMOUNT


@dataclass(frozen=True, slots=True)
class KnownLimit:
    """A team's upper limit as a configuration revision gives it; nothing for a removed team."""

    amount: Amount
    revision: Revision


def grant_key(team: TeamId) -> str:
    """Return the store key of a team's grants."""
    return GRANT_PREFIX + team


def limit_in_force(doc: GrantDocument, known: KnownLimit) -> Amount:
    """Return the limit of the newer of the document and the own configuration."""
    return doc.limit if doc.revision > known.revision else known.amount


def prorated_grant(doc: GrantDocument, partition: PartitionId, limit: Amount) -> Amount:
    """Return what a partition keeps of its grant under a limit.

    A limit below the sum of grants leaves each partition ``floor(grant x limit / sum)``.
    """
    held, total = doc.amount(partition), doc.total
    return Amount(
        _scale(held.tasks, limit.tasks, total.tasks),
        _scale(held.cpu_milli, limit.cpu_milli, total.cpu_milli),
    )


def start_limit(doc: GrantDocument, partition: PartitionId, limit: Amount) -> Amount:
    """Return how much a partition may run when it starts another task.

    While the grants exceed a lowered limit, other partitions may still run up to their grant,
    so the share counts only as far as their grants leave room below the limit.
    """
    others = doc.total - doc.amount(partition)
    return prorated_grant(doc, partition, limit).minimum(limit - others)


def grant_step(limit: Amount) -> Amount:
    """Return the least amount that is worth a write."""
    return Amount(-(-limit.tasks // STEPS_PER_LIMIT), -(-limit.cpu_milli // STEPS_PER_LIMIT))


def base_grant(limit: Amount, partitions: int) -> Amount:
    """Return what a partition keeps without need, since no grant moves in a store outage.

    :param partitions: number of partitions of the cell
    """
    divisor = BASE_GRANT_DIVISOR * partitions
    return Amount(limit.tasks // divisor, limit.cpu_milli // divisor)


def raised_grant(
    doc: GrantDocument, partition: PartitionId, need: Amount, known: KnownLimit
) -> Amount:
    """Return the grant after taking unallocated amounts for a need, also at the first use.

    :param need: what the partition would run
    """
    held = doc.amount(partition)
    if known.revision < doc.revision or need.fits_in(held):
        return held
    free = known.amount - doc.total
    wanted = (need - held).maximum(_step_where_needed(grant_step(known.amount), need, held))
    if not doc.total.fits_in(known.amount):
        return held
    return held + wanted.minimum(free)


def amount_to_request(
    doc: GrantDocument, partition: PartitionId, need: Amount, limit: Amount
) -> Amount:
    """Return what a partition asks of others: at least a step of each component it lacks."""
    held = doc.amount(partition)
    return (need - held).maximum(_step_where_needed(grant_step(limit), need, held))


def reduced_grant(held: Amount, need: Amount, limit: Amount) -> Amount:
    """Return the grant after giving back what is idle; whole steps are kept.

    :param need: most that the partition ran or waited to run lately
    """
    unit = grant_step(limit)
    return Amount(
        min(held.tasks, _round_up(need.tasks, unit.tasks)),
        min(held.cpu_milli, _round_up(need.cpu_milli, unit.cpu_milli)),
    )


def grant_after_lowering(
    doc: GrantDocument, partition: PartitionId, usage: Amount, limit: Amount
) -> Amount:
    """Return the grant that a lowered limit leaves: the share, but never below what runs."""
    return prorated_grant(doc, partition, limit).maximum(usage).minimum(doc.amount(partition))


def with_entry(
    doc: GrantDocument, partition: PartitionId, entry: GrantEntry, known: KnownLimit
) -> GrantDocument:
    """Return the document after one partition's change."""
    entries = {**doc.entries, partition: entry}
    changed = replace(doc, entries=entries, serial=doc.serial + 1)
    if known.revision < doc.revision:
        return changed
    return replace(changed, limit=known.amount, revision=known.revision)


def encode_grants(doc: GrantDocument) -> str:
    """Return a document as JSON text."""
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
    """Return the document of a JSON text; none stands for a team without grants."""
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


def _scale(held: int, limit: int, total: int) -> int:
    return held if total <= limit else held * limit // total


def _round_up(value: int, unit: int) -> int:
    return -(-value // unit) * unit if unit else value


def _step_where_needed(unit: Amount, need: Amount, held: Amount) -> Amount:
    return Amount(
        unit.tasks if need.tasks > held.tasks else 0,
        unit.cpu_milli if need.cpu_milli > held.cpu_milli else 0,
    )
