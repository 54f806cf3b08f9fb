"""Tests of accepted work when all daemons are killed and restarted, on separate processes."""

from lagoonshelf_core.routing import partition_of_request
from lagoonshelf_standins.cell import wait_until
from tests.support.base import CellTestCase, interactive_body
from tests.support.failures import PARTITIONS, max_concurrent_runs, starts_of


class RecoveryTest(CellTestCase):
    """Daemons whose task leases are long enough for a restart of all daemons."""

    workers = 8

    def setUp(self) -> None:
        super().setUp()
        for name in list(self.cell.daemons):
            self.cell.kill(name)
        self.cell.set_daemon_flags(task_lease_ms=20_000, task_renew_ms=1000)
        self.start_daemons()

    def start_daemons(self) -> None:
        for number in range(1, self.daemons + 1):
            self.cell.start_daemon(f"d{number}", number)
        self.cell.wait_healthy()
        self.cell.wait_for_owners()

    def restart_all(self) -> None:
        for name in list(self.cell.daemons):
            self.cell.kill(name)
        self.start_daemons()

    def submit_accepted(self, key: str, **fields: object) -> None:
        answer = self.cell.submit("d1", "fitting", interactive_body(key, **fields))
        self.assertEqual(answer["name"], "ACCEPTED", answer)

    def final_answer(self, key: str) -> dict | None:
        """Return the answer for a request that has ended, ``None`` before."""
        answer = self.cell.lookup("d1", "fitting", key)
        return answer if answer and answer["state"] in ("finished", "failed") else None

    def test_jobs_survive_all_daemons(self) -> None:
        """Guards against losing, duplicating or stopping accepted work when all daemons die."""
        kinds = {
            "batch": {"kind": "batch", "tasks": 6},
            "once": {"kind": "batch", "tasks": 3, "repeatable": False},
            "gang": {"kind": "gang", "tasks": 4},
        }
        for key, fields in kinds.items():
            self.submit_accepted(key, run_ms=12_000, **fields)
        for key, fields in kinds.items():
            wait_until(lambda key=key, n=fields["tasks"]: len(starts_of(self.cell, key)) == n, key)
        self.restart_all()
        for key, fields in kinds.items():
            wait_until(lambda key=key: self.final_answer(key), f"{key} ended")
            answer = self.final_answer(key)
            self.assertEqual(answer["name"], "OK", answer)
            self.assertEqual(answer["tasks"]["finished"], fields["tasks"])
            self.assertEqual(len(starts_of(self.cell, key)), fields["tasks"])

    def test_service_survives_all_daemons_and_ends_by_cancel(self) -> None:
        """Guards against services that are lost, duplicate or not cancellable after a takeover."""
        self.submit_accepted("web", kind="service", tasks=3)
        wait_until(lambda: len(starts_of(self.cell, "web")) == 3, "replicas")
        self.restart_all()
        self.assertEqual(len(starts_of(self.cell, "web")), 3)
        url = f"{self.cell.daemons['d1'].url}/v1/requests/web"
        self.cell.call(url, team="fitting", method="DELETE")
        wait_until(lambda: self.final_answer("web"), "cancelled")
        self.assertEqual(max_concurrent_runs(self.cell, "web"), 1)

    def test_results_of_repeatable_requests_survive_all_daemons(self) -> None:
        """Guards against rerunning a request whose result a worker still keeps."""
        body = interactive_body("kept")
        first = self.cell.submit("d1", "fitting", body)
        self.restart_all()
        second = self.cell.submit("d2", "fitting", body)
        self.assertEqual(second["result"], first["result"], second)
        self.assertEqual(len(starts_of(self.cell, "kept")), 1)
        other = self.cell.submit("d2", "fitting", {**body, "payload": "other"})
        self.assertEqual(other["name"], "KEY_REUSED", other)

    def test_answers_survive_in_a_snapshot(self) -> None:
        """Guards against lost answers and growing journals when a snapshot replaces segments."""
        partition = partition_of_request("fitting", "seed", PARTITIONS)
        names = (f"once{number}" for number in range(1000))
        keys = [k for k in names if partition_of_request("fitting", k, PARTITIONS) == partition]
        keys = keys[:45]
        for key in keys:
            body = interactive_body(key, repeatable=False, run_ms=1)
            self.assertEqual(self.cell.submit("d1", "fitting", body)["name"], "OK")
        wait_until(lambda: self.stored_items(f"snapshot/{partition}/current"), "snapshot")
        wait_until(lambda: len(self.stored_items(f"journal/{partition}/")) <= 64, "short journal")
        self.restart_all()
        for key in (keys[0], keys[-1]):
            body = interactive_body(key, repeatable=False, run_ms=1)
            answer = self.cell.submit("d2", "fitting", body)
            self.assertEqual(answer["result"], f"done:payload of {key}")
            self.assertEqual(len(starts_of(self.cell, key)), 1)

    def stored_items(self, prefix: str) -> list[dict]:
        """Return the items of the store whose keys have a prefix."""
        return self.cell.call(f"{self.cell.store_url}/list", {"prefix": prefix})["items"]
