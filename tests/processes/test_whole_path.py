"""Tests of the path from a client to a worker and back on separate processes."""

from tests.support.base import CellTestCase, interactive_body


class WholePathTest(CellTestCase):
    """Requests through several API processes."""

    def test_each_client_gets_its_own_answer_through_any_process(self) -> None:
        """Guards against sending the answer of one request to the client of another."""
        for number in range(12):
            key = f"k{number}"
            answer = self.cell.submit(f"d{1 + number % 3}", "fitting", interactive_body(key))
            self.assertEqual(answer["name"], "OK", answer)
            self.assertEqual(answer["result"], f"done:payload of {key}")

    def test_retry_through_another_process_does_not_run_twice(self) -> None:
        """Guards against a second run when a client retries through another process."""
        for daemon in ("d1", "d2", "d3"):
            answer = self.cell.submit(
                daemon, "fitting", interactive_body("same", repeatable=False)
            )
            self.assertEqual(answer["name"], "OK", answer)
        starts = [
            event
            for events in self.cell.history().values()
            for event in events
            if event["event"] == "start" and event["request_key"] == "same"
        ]
        self.assertEqual(len(starts), 1)
