"""Tests of team limits on separate processes, by the start and end events of workers."""

from lagoonshelf_standins.cell import wait_until
from tests.support.base import TASK_SIZE, CellTestCase, interactive_body
from tests.support.runs import Burst, count_running, count_starts, events, peak_usage

LIMIT = 8
LOWERED_LIMIT = 3


def keys(count: int, prefix: str = "b") -> list[str]:
    """Return request keys with a common prefix."""
    return [f"{prefix}{number}" for number in range(count)]


class LimitsTest(CellTestCase):
    """A team whose limit is far below the capacity of the cell."""

    def document(self, tasks: int = LIMIT) -> dict:
        if not hasattr(self, "sample"):
            self.sample = super().document()
        self.sample["teams"]["fitting"]["limit_tasks"] = tasks
        self.sample["teams"]["fitting"]["limit_cpu_milli"] = tasks * TASK_SIZE["cpu_milli"]
        return self.sample

    def check_limits(self, limit: int = LIMIT, since_ms: int = 0) -> None:
        tasks, cpu_milli = peak_usage(self.cell, "fitting", since_ms)
        self.assertLessEqual(tasks, limit)
        self.assertLessEqual(cpu_milli, limit * TASK_SIZE["cpu_milli"])

    def submit_batch(self, key: str, tasks: int, **fields: object) -> None:
        body = interactive_body(key, kind="batch", tasks=tasks, queue="normal", **fields)
        answer = self.cell.submit("d1", "fitting", body)
        self.assertEqual(answer["name"], "ACCEPTED", answer)

    def count_finished(self, key: str) -> int:
        answer = self.cell.lookup("d1", "fitting", key) or {}
        return answer.get("tasks", {}).get("finished", 0)

    def test_burst_through_all_processes(self) -> None:
        """Guards against using the whole limit in each partition."""
        burst = Burst(self.cell, ["d1", "d2", "d3"], keys(60), run_ms=150)
        self.assertEqual(burst.codes(), {"OK": 60})
        self.check_limits()

    def test_owner_killed_while_it_holds_grants(self) -> None:
        """Guards against a successor that does not count the runs of the previous owner."""
        burst = Burst(self.cell, ["d1", "d3"], keys(30), run_ms=600)
        wait_until(
            lambda: count_running(self.cell, "fitting") >= LIMIT // 2, "half the limit used"
        )
        self.cell.kill("d2")
        self.assertEqual(burst.codes(), {"OK": 30})
        self.check_limits()

    def test_limit_lowered_under_load(self) -> None:
        """Guards against starts above a lowered limit and stops of non-repeatable tasks."""
        self.submit_batch("fixed", 2, repeatable=False, run_ms=6000)
        self.submit_batch("many", 12, run_ms=5000)
        wait_until(lambda: count_running(self.cell, "fitting") == LIMIT, "the limit used")
        self.cell.configure(self.document(LOWERED_LIMIT))
        wait_until(
            lambda: count_running(self.cell, "fitting") <= LOWERED_LIMIT,
            "usage within the new limit",
        )
        since_ms = events(self.cell)[-1]["at_ms"]
        for key, count in (("fixed", 2), ("many", 12)):
            wait_until(lambda k=key, n=count: self.count_finished(k) == n, f"{key} finished", 60.0)
        ends = {e["state"] for e in events(self.cell) if e["request_key"] == "fixed"}
        self.assertEqual(ends, {"running", "finished"})
        self.check_limits(LOWERED_LIMIT, since_ms)
        self.check_limits()

    def test_grants_change_while_answers_are_lost(self) -> None:
        """Guards against counting a grant twice when the answer of its write is lost."""
        self.cell.control_store(mode="lose_answers")
        burst = Burst(self.cell, ["d1", "d2", "d3"], keys(40), run_ms=100)
        self.assertEqual(burst.codes(), {"OK": 40})
        self.check_limits()
        self.cell.control_store(mode="up")

    def test_no_start_beyond_grants_in_an_outage(self) -> None:
        """Guards against exceeding the grants while the store is down."""
        warm = Burst(self.cell, ["d1", "d2", "d3"], keys(9), run_ms=50)
        self.assertEqual(warm.codes(), {"OK": 9})
        self.cell.control_store(mode="down")
        burst = Burst(self.cell, ["d1", "d2", "d3"], keys(40, "out"), run_ms=200)
        wait_until(lambda: any(k.startswith("out") for k in count_starts(self.cell)), "a start")
        self.cell.control_store(mode="up")
        self.assertEqual(burst.codes(), {"OK": 40})
        self.check_limits()
