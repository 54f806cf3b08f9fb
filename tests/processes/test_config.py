"""Tests of configuration changes on separate processes."""

import asyncio
import copy
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import orjson

from lagoonshelf_core.errors import CODES_BY_NUMBER
from lagoonshelf_core.ids import KeyId, TeamId
from lagoonshelf_core.keys import new_key
from lagoonshelf_server.messages import Hello, Submit
from lagoonshelf_server.peers import PeerNet, hello_proof
from lagoonshelf_standins.cell import CLUSTER_SECRET, wait_until
from tests.support.base import CellTestCase, interactive_body

PROPAGATION_LIMIT_S = 6.0  # design bound for a change to take effect on all processes
NAMES = ("d1", "d2", "d3")


class ConfigTest(CellTestCase):
    """Three processes; most tests withdraw the key of team slips."""

    def config(self, name: str) -> dict:
        return self.cell.call(f"{self.cell.daemons[name].url}/v1/config", operator=True)

    def propose(self, name: str, document: dict, base: int | None = None) -> dict:
        """Propose a document through a process.

        :param base: base revision; the process's current revision by default
        """
        base = self.config(name)["revision"] if base is None else base
        body = {"base_revision": base, "document": document}
        return self.cell.call(f"{self.cell.daemons[name].url}/v1/config", body, operator=True)

    def without_key(self) -> dict:
        document = copy.deepcopy(self.config("d1")["document"])
        del document["keys"]["key-slips"]
        return document

    def withdraw(self) -> float:
        """Withdraw the key of team slips through d1 and return the time of acceptance."""
        answer = self.propose("d1", self.without_key())
        self.assertEqual(answer.get("code"), 2, answer)
        return time.monotonic()

    def submit_for_code(self, daemon: str, team: str = "slips", timeout_s: float = 30) -> str:
        """Submit a request and return the code name of its answer, empty if there is none."""
        self.request_count = getattr(self, "request_count", 0) + 1
        body = interactive_body(f"k{self.request_count}")
        return (self.cell.submit(daemon, team, body, timeout_s) or {"name": ""})["name"]

    def check_withdrawn(self, daemon: str, accepted: float) -> None:
        """Check that the key is refused within the time bound and stays refused."""
        while time.monotonic() < accepted + PROPAGATION_LIMIT_S:
            if self.submit_for_code(daemon) != "OK":
                break
            time.sleep(0.05)
        for _ in range(10):
            self.assertIn(self.submit_for_code(daemon), ("KEY_INVALID", "CONFIG_STALE"))
        wait_until(
            lambda: self.submit_for_code(daemon) == "KEY_INVALID", f"{daemon} applies the change"
        )

    def peer_addresses(self) -> str:
        """Return the peer addresses of all processes as listed in the store, comma-separated."""
        body = {"prefix": "members/"}
        items = self.cell.call(self.cell.store_url + "/list", body)["items"]
        return ",".join(orjson.loads(item["value"])["address"] for item in items)

    def test_a_withdrawn_key_stops_on_every_process(self) -> None:
        """Guards against a process that never learns of a withdrawal (I4)."""
        accepted = self.withdraw()
        with ThreadPoolExecutor(3) as pool:
            list(pool.map(lambda name: self.check_withdrawn(name, accepted), NAMES))
        self.assertEqual(self.submit_for_code("d2", "fitting"), "OK")

    def test_a_withdrawn_key_stops_on_a_process_cut_off_from_the_store(self) -> None:
        """Guards against a process that applies an old configuration for an unlimited time.

        The process can reach its peers, but not the store.
        """
        self.cell.control_store(blocked=["d2"])
        wait_until(lambda: not self.cell.state("d2")["store_reached"], "d2 is cut off")
        time.sleep(4.5)
        wait_until(
            lambda: self.submit_for_code("d2") == "OK",
            "d2 serves with the configuration of its peers",
        )
        self.check_withdrawn("d2", self.withdraw())
        self.assertEqual(self.submit_for_code("d2", "fitting"), "OK")

    def test_a_withdrawn_key_stops_on_a_process_that_was_paused(self) -> None:
        """Guards against admitting work by a stale configuration right after a pause."""
        self.cell.daemons["d2"].signal(signal.SIGSTOP)
        accepted = self.withdraw()
        with ThreadPoolExecutor(8) as pool:
            calls = [pool.submit(self.submit_for_code, "d2") for _ in range(8)]
            time.sleep(max(0.0, accepted + PROPAGATION_LIMIT_S - time.monotonic()))
            self.cell.daemons["d2"].signal(signal.SIGCONT)
            codes = {fut.result() for fut in calls}
        self.assertLessEqual(codes, {"KEY_INVALID", "CONFIG_STALE"})
        self.check_withdrawn("d2", accepted)

    def test_a_process_started_in_an_outage_uses_the_configuration_of_its_peers(self) -> None:
        """Guards against a new process that admits withdrawn keys or refuses all clients."""
        peers = self.peer_addresses()
        self.withdraw()
        for name in NAMES:
            wait_until(
                lambda n=name: self.config(n)["revision"] == 2, f"{name} applies the change"
            )
        self.cell.control_store(mode="down")
        self.cell.start_daemon("d4", 4, peers=peers)
        wait_until(lambda: self.submit_for_code("d4", "fitting", 5) == "OK", "d4 serves")
        self.assertEqual(self.submit_for_code("d4"), "KEY_INVALID")
        self.cell.control_store(mode="up")
        wait_until(lambda: bool(self.cell.state("d4")["lease"]), "d4 registered")
        wait_until(lambda: self.submit_for_code("d4", "fitting") == "OK", "d4 still serves")

    def test_a_lost_answer_of_the_accepting_write(self) -> None:
        """Guards against reporting failure of an accepted change.

        The store applies the write, but its answer is lost.
        """
        self.cell.control_store(mode="lose_answers")
        accepted = self.withdraw()
        for name in NAMES:
            self.check_withdrawn(name, accepted)

    def test_concurrent_changes_and_restarts_revert_nothing(self) -> None:
        """Guards against two accepted changes of one revision, a lost and a reverted change.

        Two operators propose changes at once, 70 times; then processes resume and restart.
        """
        self.cell.daemons["d3"].signal(signal.SIGSTOP)
        document = copy.deepcopy(self.config("d1")["document"])
        for number in range(70):
            mine, theirs = copy.deepcopy(document), copy.deepcopy(document)
            mine["teams"]["slips"]["limit_tasks"] = 1000 + number
            theirs["teams"]["slips"]["limit_tasks"] = 2000 + number
            base = 1 + number
            with ThreadPoolExecutor(2) as pool:
                calls = [
                    pool.submit(self.propose, "d1", mine, base),
                    pool.submit(self.propose, "d2", theirs, base),
                ]
            answers = [call.result() for call in calls]
            self.assertEqual(sorted(a["code"] for a in answers), [2, 405], answers)
            accepted = mine if answers[0]["code"] == 2 else theirs
            for name in ("d1", "d2"):
                wait_until(lambda n=name, b=base: self.config(n)["revision"] == b + 1, "applied")
                self.assertEqual(self.config(name)["document"], accepted)
            document = accepted
        self.cell.daemons["d3"].signal(signal.SIGCONT)
        self.cell.kill("d1")
        self.cell.start_daemon("d1", 1)
        self.cell.start_daemon("d4", 4)
        for name in ("d1", "d2", "d3", "d4"):
            wait_until(lambda n=name: (self.config(n) or {"revision": 0})["revision"] == 71, name)
            self.assertEqual(self.config(name)["document"], document)

    def test_new_key_and_queue_work_at_once_and_a_removed_queue_stops_no_owner(self) -> None:
        """Guards against refusals by an owner with an old configuration.

        Also guards against an owner that fails when a queue of its tasks is removed.
        """
        document = copy.deepcopy(self.config("d1")["document"])
        text, entry = new_key(KeyId("key-new"), TeamId("slips"))
        self.cell.keys["new"] = text
        document["keys"]["key-new"] = entry.model_dump()
        document["queues"]["added"] = {}
        self.assertEqual(self.propose("d1", document)["code"], 2)
        for number in range(12):
            body = interactive_body(f"new{number}", queue="added")
            self.assertEqual(self.cell.submit("d1", "new", body)["name"], "OK")
        batch = interactive_body("job", kind="batch", tasks=40, queue="added", run_ms=400)
        self.assertEqual(self.cell.submit("d1", "new", batch)["name"], "ACCEPTED")
        del document["queues"]["added"]
        self.assertEqual(self.propose("d1", document)["code"], 2)
        self.cell.kill("d3")
        body = interactive_body("late", queue="added")
        wait_until(
            lambda: self.cell.submit("d2", "new", body)["name"] == "BAD_REQUEST", "queue removed"
        )
        wait_until(lambda: self.cell.lookup("d2", "new", "job")["state"] == "finished", "job")

    def test_owner_checks_the_key_and_queue_of_a_forwarded_request(self) -> None:
        """Guards against admitting work of a team without a key of that team (I3).

        The owner must not rely on the check of the peer that forwards the request.
        """
        cases = {
            ("slips", "key-slips", "urgent"): "OK",
            ("slips", "key-fitting", "urgent"): "TEAM_FORBIDDEN",
            ("slips", "key-slips", "fitting-only"): "TEAM_FORBIDDEN",
            ("slips", "key-gone", "urgent"): "KEY_INVALID",
            ("slips", "key-slips", "missing"): "BAD_REQUEST",
        }
        for number, (names, expected) in enumerate(cases.items()):
            codes = asyncio.run(self.submit_as_member(*names, f"word{number}"))
            self.assertEqual(codes - {"NO_OWNER"}, {expected}, names)

    async def submit_as_member(self, team: str, key: str, queue: str, request: str) -> set[str]:
        """Send a request to each process as a peer would and return the code names."""
        proof = hello_proof(CLUSTER_SECRET, "fake")
        net = PeerNet(Hello("fake", proof, "127.0.0.1:1", "fd"), CLUSTER_SECRET, None)
        body = Submit(
            team, key, queue, request, "interactive", True, 1000, 512, 0, 10, 1, "", 5000
        )
        addresses = self.peer_addresses().split(",")
        replies = [await net.call(address, "submit", body, 10) for address in addresses]
        await net.close()
        return {CODES_BY_NUMBER[reply.code].name for reply in replies}

    def test_another_number_of_partitions_is_refused(self) -> None:
        """Guards against processes that route the same request to different partitions."""
        daemon = self.cell.start_daemon("d4", 4, partitions=5)
        self.assertEqual(daemon.process.wait(30), 3)
        self.assertIn("PARTITION_MISMATCH", daemon.log_path.read_text())
        del self.cell.daemons["d4"]
