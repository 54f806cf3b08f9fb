"""Tests of state charts."""

import unittest

from lagoonshelf_core.charts import ChartError, load_chart, parse_chart
from lagoonshelf_core.model import TaskState

VALID_CHART = """
name = "door"
initial = "open"
states = ["open", "closed", "gone"]
final = ["gone"]
transitions = [["open", "close", "closed"], ["closed", "open", "open"], ["closed", "rot", "gone"]]
"""


class ParseTest(unittest.TestCase):
    """Validation of charts."""

    def test_invalid_charts_are_rejected(self) -> None:
        """Guards against a typing error in a chart that is first noticed in production."""
        cases = [
            ('"gone"]]', '"away"]]', "state 'away' is not listed"),
            ('["closed", "rot"', '["shut", "rot"', "state 'shut' is not listed"),
            ('initial = "open"', 'initial = "ajar"', "state 'ajar' is not listed"),
            ('final = ["gone"]', 'final = ["past"]', "state 'past' is not listed"),
            ('"rot", "gone"', '"open", "gone"', "event 'open' of state 'closed' has two"),
            (', ["closed", "rot", "gone"]', "", "'gone' cannot be reached from 'open'"),
            (', "gone"]\n', ', "gone", "gone"]\n', "state 'gone' is listed twice"),
            ('final = ["gone"]', "final = []", "state 'gone' is not final and has no"),
            ('final = ["gone"]', 'final = ["closed"]', "final state 'closed' has a transition"),
            ('["open", "close", "closed"]', '["open", "closed"]', "is not [from, event, to]"),
            ('name = "door"', "", "field 'name' is missing"),
            ('name = "door"', 'name = "door"\nstart = 1', "field 'start' is unknown"),
            ('name = "door"', "name =", "not valid TOML"),
        ]
        for old, new, part in cases:
            with self.subTest(part), self.assertRaises(ChartError) as caught:
                self.assertIn(old, VALID_CHART)
                parse_chart(VALID_CHART.replace(old, new))
            self.assertIn(part, str(caught.exception))


class NextTest(unittest.TestCase):
    """Transitions of a chart."""

    def test_invalid_event_is_an_error(self) -> None:
        """Guards against a state change that the chart does not allow."""
        chart = parse_chart(VALID_CHART)
        self.assertEqual(chart.next("open", "close"), "closed")
        for state, event, part in [
            ("open", "rot", "event 'rot' cannot occur in state 'open'; possible events: close"),
            ("ajar", "rot", "has no state 'ajar'"),
            ("gone", "open", "possible events: none"),
        ]:
            with self.assertRaises(ChartError) as caught:
                chart.next(state, event)
            self.assertIn(part, str(caught.exception))


class PackagedTest(unittest.TestCase):
    """The charts of the package."""

    def test_task_chart_matches_the_model(self) -> None:
        """Guards against a task state that only the chart or only the code has."""
        chart = load_chart("task")
        self.assertEqual(chart.states, {state.value for state in TaskState})
        self.assertIs(load_chart("task"), chart)

    def test_finished_task_never_runs_again(self) -> None:
        """Guards against a second run after a late event (I2, I8)."""
        chart = load_chart("task")
        for state in chart.final:
            self.assertEqual(chart.events(state), [])
        self.assertFalse(chart.allows("unknown", "place"))

    def test_other_charts_have_the_designed_states(self) -> None:
        """Guards against an unintended change of a chart's states or transitions."""
        expected = {
            "lease": {"none", "held", "extended", "expired", "released"},
            "membership": {"joining", "active", "draining", "left"},
            "drain": {"serving", "releasing", "waiting", "done"},
        }
        for name, states in expected.items():
            self.assertEqual(load_chart(name).states, states)
        self.assertFalse(load_chart("lease").allows("expired", "extend"))
        self.assertFalse(load_chart("drain").allows("serving", "all_answered"))
