"""Tests with unschedulable jobs, failing workers, floods of tasks and mass cancellation."""

import re
from concurrent.futures import ThreadPoolExecutor

from lagoonshelf_standins.cell import wait_until
from tests.support.base import TASK_SIZE, CellTestCase, interactive_body

CELL_SLOTS = 24 * 8
URGENT_LIMIT_MS = 1_000  # requirement for the start of urgent work


class AdverseLoadTest(CellTestCase):
    """A cell with several workers in each partition."""

    workers = CELL_SLOTS // 8

    def count_starts(self, worker: str | None = None) -> int:
        """Return the number of starts on a worker, or on all workers."""
        events = self.cell.history()
        names = [worker] if worker else list(events)
        return sum(event["event"] == "start" for name in names for event in events[name])

    def batch_body(self, key: str, tasks: int, run_ms: int) -> dict:
        """Return the body of a background batch job."""
        return {
            "queue": "background",
            "request_key": key,
            "kind": "batch",
            "repeatable": True,
            "size": TASK_SIZE,
            "run_ms": run_ms,
            "tasks": tasks,
            "payload": "part of a job",
            "timeout_ms": 20_000,
        }

    def test_job_that_can_never_run_is_refused_with_the_reason(self) -> None:
        """Guards against accepting a task that is too large for every worker and would wait."""
        body = interactive_body("huge", size={"cpu_milli": 10**6, "memory_mib": 1})
        answer = self.cell.submit("d1", "fitting", body)
        self.assertEqual(answer["name"], "NEVER_FITS", answer)
        self.assertIn("the largest worker has 64000", answer["message"])
        self.assertEqual(self.count_starts(), 0)

    def test_failing_worker_gets_few_starts(self) -> None:
        """Guards against placing most tasks on a worker that fails them and so looks idle."""
        self.cell.control_workers(workers=["w000"], set={"fail_everything": True})
        with ThreadPoolExecutor(8) as pool:
            answers = list(
                pool.map(
                    lambda n: self.cell.submit("d1", "fitting", interactive_body(f"k{n}")),
                    range(200),
                )
            )
        self.assertEqual({answer["name"] for answer in answers}, {"OK"})
        self.assertLess(self.count_starts("w000"), 200 // 10)

    def test_flood_of_one_team_does_not_delay_urgent_work(self) -> None:
        """Guards against urgent work waiting until another team's background tasks end."""
        for number in range(8):
            body = self.batch_body(f"flood{number}", 100, 3000)
            self.assertEqual(self.cell.submit("d1", "slips", body)["name"], "ACCEPTED")
        wait_until(lambda: self.count_starts() >= CELL_SLOTS, "the flood fills the cell")
        waited = []
        for number in range(30):
            answer = self.cell.submit("d2", "fitting", interactive_body(f"u{number}"))
            self.assertEqual(answer["name"], "OK", answer)
            waited.append(answer["waited_ms"])
        self.assertLess(max(waited), URGENT_LIMIT_MS, sorted(waited))

    def test_cancelled_jobs_end_and_free_their_slots(self) -> None:
        """Guards against cancelled tasks that keep running or stay in the queue."""
        keys = [f"wave{number}" for number in range(10)]
        for key in keys:
            answer = self.cell.submit("d1", "slips", self.batch_body(key, 100, 60_000))
            self.assertEqual(answer["name"], "ACCEPTED", answer)
        url = self.cell.daemons["d2"].url + "/v1/requests/"
        with ThreadPoolExecutor(10) as pool:
            list(pool.map(lambda k: self.cell.call(url + k, team="slips", method="DELETE"), keys))
        for key in keys:
            wait_until(lambda key=key: self.count_ended(key) == 100, f"{key} ended")
        answer = self.cell.submit("d1", "slips", interactive_body("after"))
        self.assertEqual(answer["name"], "OK", answer)

    def count_ended(self, key: str) -> int:
        """Return the number of tasks of a job that have ended."""
        answer = self.cell.lookup("d3", "slips", key)
        return answer["tasks"]["finished"] + answer["tasks"]["failed"] if answer else 0

    def test_metrics_show_traffic_by_peer(self) -> None:
        """Guards against control plane traffic that is missing from the metrics."""
        self.assertEqual(self.cell.submit("d1", "fitting", interactive_body("one"))["name"], "OK")
        pages = [
            self.cell.http.request("GET", daemon.url + "/metrics").data.decode()
            for daemon in self.cell.daemons.values()
        ]
        for peer in ("peers", "store", "workers"):
            for direction in ("sent", "received"):
                pattern = rf'bytes_total{{direction="{direction}",peer="{peer}"}} [1-9]'
                self.assertTrue(any(re.search(pattern, page) for page in pages), pattern)
        for name in ("store_calls_total{", "starts_total{", "queued_tasks{", "running_tasks{"):
            self.assertTrue(any("lagoonshelf_" + name in page for page in pages), name)
