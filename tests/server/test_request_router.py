"""Tests of the request router: resending, and the answer if no owner replied."""

import asyncio
import unittest

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.errors import CODES_BY_NUMBER, ResultCode
from lagoonshelf_core.ids import Epoch, MemberId
from lagoonshelf_server.members import Member, OwnerInfo
from lagoonshelf_server.messages import Answer, RequestRef, Submit
from lagoonshelf_server.peers import PeerLostError, PeerUnreachableError
from lagoonshelf_server.request_router import RequestRouter
from lagoonshelf_server.settings import Settings
from tests.support.fakes import until

OK = Answer(ResultCode.OK.number, state="finished", result="r")
OWNER_LEFT = Answer(ResultCode.OWNER_LEFT.number)
NO_OWNER = Answer(ResultCode.NO_OWNER.number)
ACCEPTED = Answer(ResultCode.ACCEPTED.number, state="running")


def submit(timeout_ms: int = 400) -> Submit:
    """Return a request that is not repeatable."""
    return Submit("t", "k", "q", "once", "interactive", False, 1, 1, 0, 1, 1, "p", timeout_ms)


async def allow(body: Submit | RequestRef) -> None:
    """Allow all work."""
    del body


class FakeMembers:
    """Fake members with an owner that a test may change."""

    def __init__(self) -> None:
        names = ("m1", "m2")
        self.others = {name: Member(MemberId(name), f"{name}:1", "fd0") for name in names}
        self.owner = OwnerInfo(MemberId("m1"), Epoch(1), True)

    def owner_of(self, partition: int) -> OwnerInfo:
        del partition
        return self.owner


class FakeNet:
    """Fake peer network: answers calls of each kind in order and repeats the last answer.

    An answer may be an exception to raise, or none for a call that is never answered.
    """

    def __init__(self, **answers: list) -> None:
        self.answers = answers
        self.calls: list[tuple[str, str, Submit | RequestRef]] = []

    async def call(self, address: str, kind: str, body, timeout_s: float):
        self.calls.append((address, kind, body))
        planned = self.answers[kind]
        answer = planned.pop(0) if len(planned) > 1 else planned[0]
        if answer is None:
            await asyncio.sleep(timeout_s)
            raise PeerLostError(address)
        if isinstance(answer, Exception):
            raise answer
        return answer


class RoutingTest(unittest.IsolatedAsyncioTestCase):
    """Routes one request whose owner fails."""

    async def route(self, net: FakeNet, members: FakeMembers | None = None) -> ResultCode:
        """Submit a request and return the result code for its client."""
        cfg = Settings.model_validate(
            {
                "member": "m0",
                "failure_domain": "fd0",
                "store_url": "http://127.0.0.1:1",
                "cluster_secret": "secret-of-the-test",
                "operator_key_sha256": "0" * 64,
            }
        )
        self.requests = RequestRouter(
            cfg, Clock(), members or FakeMembers(), net, lambda partition: None, allow
        )
        answer = await self.requests.submit(submit())
        return CODES_BY_NUMBER[answer.code]

    async def test_unsent_request_is_reported_as_not_run(self) -> None:
        """Guards against an unknown outcome for a request that reached no owner."""
        for answer in (NO_OWNER, PeerUnreachableError("m1")):
            net = FakeNet(submit=[answer])
            self.assertIs(await self.route(net), ResultCode.NO_OWNER)

    async def test_unanswered_request_has_unknown_outcome(self) -> None:
        """Guards against reporting a request as not run that a lost owner may have started."""
        for first in (PeerLostError("m1"), OWNER_LEFT):
            net = FakeNet(submit=[first, NO_OWNER], lookup=[NO_OWNER])
            self.assertIs(await self.route(net), ResultCode.OUTCOME_UNKNOWN)

    async def test_final_lookup_finds_the_outcome(self) -> None:
        """Guards against an unknown outcome when the next owner knows that the request ended."""
        net = FakeNet(submit=[PeerLostError("m1"), NO_OWNER], lookup=[OK])
        self.assertIs(await self.route(net), ResultCode.OK)
        net = FakeNet(submit=[PeerLostError("m1"), NO_OWNER], lookup=[ACCEPTED])
        self.assertIs(await self.route(net), ResultCode.OUTCOME_UNKNOWN)

    async def test_resent_message_has_the_remaining_timeout(self) -> None:
        """Guards against an owner that keeps a request longer than its client waits."""
        net = FakeNet(submit=[OWNER_LEFT, OWNER_LEFT, OK])
        self.assertIs(await self.route(net), ResultCode.OK)
        timeouts = [body.timeout_ms for _, _, body in net.calls]
        self.assertEqual(timeouts, sorted(timeouts, reverse=True))
        self.assertLess(timeouts[-1], timeouts[0])
        self.assertEqual([body.retry for _, _, body in net.calls], [False, True, True])

    async def test_call_to_a_paused_owner_is_retried_at_its_successor(self) -> None:
        """Guards against a client that waits for a paused owner until its timeout."""
        members, net = FakeMembers(), FakeNet(submit=[None, OK])
        routing = asyncio.ensure_future(self.route(net, members))
        await until(lambda: net.calls)
        members.owner = OwnerInfo(MemberId("m2"), Epoch(2), True)
        self.assertIs(await routing, ResultCode.OK)
        self.assertEqual([address for address, _, _ in net.calls], ["m1:1", "m2:1"])

    async def test_exiting_process_answers_its_clients(self) -> None:
        """Guards against connections closed without an answer when the drain timeout expires."""
        net = FakeNet(submit=[None])
        routing = asyncio.ensure_future(self.route(net))
        await until(lambda: net.calls)
        self.requests.abort()
        self.assertIs(await routing, ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(self.requests.in_flight, 0)
