"""State charts (finite state machines), read from ``charts/*.toml`` into transition tables."""

import tomllib
from collections.abc import Iterable
from functools import cache
from importlib.resources import files

from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode

PACKAGE = "lagoonshelf_core"
CHARTS_DIR = "charts"
CHART_FIELDS = frozenset({"name", "initial", "states", "final", "transitions"})
TRANSITION_LENGTH = 3

TransitionTable = dict[tuple[str, str], str]


class ChartError(LagoonshelfError):
    """Raised when a chart is not valid or an event may not occur in a state."""

    def __init__(self, message: str) -> None:
        """Create the error.

        :param message: description with the chart and the invalid state or event
        """
        super().__init__(Fault(ResultCode.INTERNAL, message))


class Chart:
    """A validated state chart."""

    __slots__ = ("name", "initial", "states", "final", "_table")

    def __init__(
        self,
        name: str,
        initial: str,
        states: frozenset[str],
        final: frozenset[str],
        table: TransitionTable,
    ) -> None:
        """Create a chart from a table that ``parse_chart`` has validated."""
        self.name = name
        self.initial = initial
        self.states = states
        self.final = final
        self._table = table

    def next(self, state: str, event: str) -> str:
        """Return the state after an event, or raise ``ChartError``."""
        try:
            return self._table[state, event]
        except KeyError:
            raise ChartError(self._describe(state, event)) from None

    def allows(self, state: str, event: str) -> bool:
        """Return whether an event may occur in a state."""
        return (state, event) in self._table

    def events(self, state: str) -> list[str]:
        """Return the sorted events that may occur in a state."""
        return sorted(event for source, event in self._table if source == state)

    def _describe(self, state: str, event: str) -> str:
        if state not in self.states:
            return f"chart {self.name!r} has no state {state!r}"
        possible = ", ".join(self.events(state)) or "none"
        return (
            f"chart {self.name!r}: event {event!r} cannot occur in state {state!r};"
            f" possible events: {possible}"
        )


@cache
def load_chart(name: str) -> Chart:
    """Return a chart of this package, which is read and validated only once.

    :param name: file name without ``.toml``
    """
    path = files(PACKAGE).joinpath(CHARTS_DIR, f"{name}.toml")
    return parse_chart(path.read_text(encoding="utf-8"))


def parse_chart(text: str) -> Chart:
    """Validate a chart and build its transition table, or raise ``ChartError``.

    :param text: TOML with ``name``, ``initial``, ``states``, ``final`` and ``transitions``
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise ChartError(f"chart is not valid TOML: {exc}") from exc
    name = raw.get("name", "without a name")
    _check_fields(name, raw)
    states = _unique_states(name, raw["states"])
    for state in (raw["initial"], *raw["final"]):
        _check_state(name, states, state)
    table = _build_table(name, states, raw["transitions"])
    final = frozenset(raw["final"])
    _check_final_states(name, states, final, table)
    _check_reachable(name, states, raw["initial"], table)
    return Chart(name, raw["initial"], states, final, table)


def _check_fields(name: str, raw: dict) -> None:
    for field in sorted(CHART_FIELDS - raw.keys()):
        raise ChartError(f"chart {name!r}: field {field!r} is missing")
    for field in sorted(raw.keys() - CHART_FIELDS):
        raise ChartError(f"chart {name!r}: field {field!r} is unknown")


def _unique_states(name: str, listed: list[str]) -> frozenset[str]:
    for state in listed:
        if listed.count(state) > 1:
            raise ChartError(f"chart {name!r}: state {state!r} is listed twice")
    return frozenset(listed)


def _check_state(name: str, states: frozenset[str], state: str) -> None:
    if state not in states:
        raise ChartError(f"chart {name!r}: state {state!r} is not listed in states")


def _build_table(
    name: str, states: frozenset[str], transitions: Iterable[list[str]]
) -> TransitionTable:
    table: TransitionTable = {}
    for transition in transitions:
        if len(transition) != TRANSITION_LENGTH:
            raise ChartError(f"chart {name!r}: transition {transition} is not [from, event, to]")
        source, event, target = transition
        _check_state(name, states, source)
        _check_state(name, states, target)
        if (source, event) in table:
            text = f"event {event!r} of state {source!r} has two transitions"
            raise ChartError(f"chart {name!r}: {text}")
        table[source, event] = target
    return table


def _check_final_states(
    name: str, states: frozenset[str], final: frozenset[str], table: TransitionTable
) -> None:
    sources = {source for source, _ in table}
    for state in sorted(sources & final):
        raise ChartError(f"chart {name!r}: final state {state!r} has a transition")
    for state in sorted(states - final - sources):
        raise ChartError(f"chart {name!r}: state {state!r} is not final and has no transition")


def _check_reachable(
    name: str, states: frozenset[str], initial: str, table: TransitionTable
) -> None:
    reached = {initial}
    pending = [initial]
    while pending:
        state = pending.pop()
        targets = {target for (source, _), target in table.items() if source == state}
        pending.extend(targets - reached)
        reached |= targets
    for state in sorted(states - reached):
        raise ChartError(f"chart {name!r}: state {state!r} cannot be reached from {initial!r}")
