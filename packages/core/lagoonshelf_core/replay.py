"""What a partition's journal says, folded entry by entry.

The same fold serves a successor that replays the journal and the snapshot that replaces old
segments, so a snapshot says exactly what the segments said.
"""

from dataclasses import dataclass, field

from lagoonshelf_core.ids import Epoch, MemberId
from lagoonshelf_core.journal import (
    AcceptEntry,
    CancelEntry,
    Entry,
    EpochEntry,
    ForgetEntry,
    IntentEntry,
    OutcomeEntry,
    PartEntry,
    ReleaseEntry,
    VoidEntry,
    join_parts,
)

Key = tuple[str, str]


@dataclass(slots=True)
class JournaledRequest:
    """What the journal says about one request.

    :param accept: the acceptance, none for interactive requests
    :param intents: the last intent of each index that has neither outcome nor void
    :param voids: the last void of each index
    """

    accept: AcceptEntry | None = None
    cancel: CancelEntry | None = None
    intents: dict[int, IntentEntry] = field(default_factory=dict)
    voids: dict[int, VoidEntry] = field(default_factory=dict)
    outcomes: dict[int, OutcomeEntry] = field(default_factory=dict)

    @property
    def is_needed(self) -> bool:
        """Tell whether a successor needs the request.

        A successor gives new task ids to a request of which only voids are known.
        """
        return bool(self.accept or self.intents or self.outcomes)

    def entries(self) -> list[Entry]:
        """Return entries that lead to this state."""
        head = [entry for entry in (self.accept, self.cancel) if entry is not None]
        return [
            *head,
            *self.voids.values(),
            *self.intents.values(),
            *self.outcomes.values(),
        ]


class JournalState:
    """State of a partition after the entries seen so far."""

    def __init__(self) -> None:
        """Begin with an empty journal."""
        self.epoch = Epoch(0)
        self.member = MemberId("")
        self.is_released = True
        self.requests: dict[Key, JournaledRequest] = {}
        self._parts: dict[str, list[PartEntry]] = {}

    def apply(self, entry: Entry) -> None:
        """Take in the next entry."""
        self.is_released = isinstance(entry, ReleaseEntry)
        if isinstance(entry, EpochEntry):
            self.epoch, self.member = max(self.epoch, entry.epoch), entry.member
            self._parts.clear()
        elif isinstance(entry, ForgetEntry):
            self.requests.pop((entry.team, entry.request_key), None)
        elif isinstance(entry, PartEntry):
            self._apply_part(entry)
        elif not isinstance(entry, ReleaseEntry):
            self._apply_request(entry)

    def entries(self) -> list[Entry]:
        """Return a short list of entries that leads to this state."""
        found: list[Entry] = [EpochEntry(self.epoch, self.member)]
        for request in self.requests.values():
            if request.is_needed:
                found += request.entries()
        for parts in self._parts.values():
            found += parts
        return found

    def _apply_part(self, part: PartEntry) -> None:
        parts = self._parts.setdefault(part.name, [])
        parts.append(part)
        if len(parts) == part.total:
            del self._parts[part.name]
            self.apply(join_parts(parts))

    def _apply_request(self, entry: Entry) -> None:
        key = (
            (entry.spec["team"], entry.spec["request_key"])
            if isinstance(entry, AcceptEntry)
            else (entry.team, entry.request_key)
        )
        request = self.requests.setdefault(key, JournaledRequest())
        if isinstance(entry, AcceptEntry):
            request.accept = request.accept or entry
        elif isinstance(entry, CancelEntry):
            request.cancel = entry
        elif isinstance(entry, IntentEntry):
            _apply_intent(request, entry)
        elif isinstance(entry, VoidEntry):
            _apply_void(request, entry)
        elif isinstance(entry, OutcomeEntry):
            request.outcomes.setdefault(entry.index, entry)
            request.intents.pop(entry.index, None)


def _apply_intent(request: JournaledRequest, entry: IntentEntry) -> None:
    if entry.index in request.outcomes:
        return
    void = request.voids.get(entry.index)
    if void is not None and void.task == entry.task and void.attempt >= entry.attempt:
        return
    request.intents[entry.index] = entry


def _apply_void(request: JournaledRequest, entry: VoidEntry) -> None:
    request.voids[entry.index] = entry
    intent = request.intents.get(entry.index)
    if intent is not None and intent.task == entry.task and intent.attempt <= entry.attempt:
        del request.intents[entry.index]
