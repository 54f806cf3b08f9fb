"""Replay of a partition's journal into its state.

A new owner that replays the journal and the snapshot that replaces old segments use the same
code, so a snapshot is equivalent to the segments it replaces.
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
    """Journaled state of one request.

    :param accept: accept entry, none for interactive requests
    :param intents: last intent of each task index without outcome and void
    :param voids: last void of each task index
    """

    accept: AcceptEntry | None = None
    cancel: CancelEntry | None = None
    intents: dict[int, IntentEntry] = field(default_factory=dict)
    voids: dict[int, VoidEntry] = field(default_factory=dict)
    outcomes: dict[int, OutcomeEntry] = field(default_factory=dict)

    @property
    def is_needed(self) -> bool:
        """Return whether the next owner needs the request.

        The next owner assigns new task ids to a request with voids only.
        """
        return bool(self.accept or self.intents or self.outcomes)

    def entries(self) -> list[Entry]:
        """Return the entries that reproduce this state."""
        head = [entry for entry in (self.accept, self.cancel) if entry is not None]
        return [
            *head,
            *self.voids.values(),
            *self.intents.values(),
            *self.outcomes.values(),
        ]


class JournalState:
    """State of a partition after the entries applied so far."""

    def __init__(self) -> None:
        """Initialize the state of an empty journal."""
        self.epoch = Epoch(0)
        self.member = MemberId("")
        self.is_released = True
        self.requests: dict[Key, JournaledRequest] = {}
        self._parts: dict[str, list[PartEntry]] = {}

    def apply(self, entry: Entry) -> None:
        """Apply the next entry."""
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
        """Return a compact list of entries that reproduces this state."""
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
