"""The entry's side of a request: resending, and what is said when no answer came."""

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
LEFT = Answer(ResultCode.OWNER_LEFT.number)
NO_OWNER = Answer(ResultCode.NO_OWNER.number)
ACCEPTED = Answer(ResultCode.ACCEPTED.number, state="running")


def submit(timeout_ms: int = 400) -> Submit:
    """Return a request that may run once."""
    return Submit("t", "k", "q", "once", "interactive", False, 1, 1, 0, 1, 1, "p", timeout_ms)


async def allow(body: Submit | RequestRef) -> None:
    """Allow all work."""
    del body


class FakeView:
    """Members with an owner that a test may change."""

    def __init__(self) -> None:
        names = ("m1", "m2")
        self.others = {name: Member(MemberId(name), f"{name}:1", "fd0") for name in names}
        self.owner = OwnerInfo(MemberId("m1"), Epoch(1), True)

    def owner_of(self, partition: int) -> OwnerInfo:
        del partition
        return self.owner


class FakeNet:
    """Answers calls by kind in order; the last answer is repeated.

    An answer may be an exception, or none for a call that is never answered.
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
    """One request whose owner fails in some way."""

    async def route(self, net: FakeNet, view: FakeView | None = None) -> ResultCode:
        """Submit a request and return the code that its caller gets."""
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
            cfg, Clock(), view or FakeView(), net, lambda partition: None, allow
        )
        answer = await self.requests.submit(submit())
        return CODES_BY_NUMBER[answer.code]

    async def test_never_sent_is_not_run(self) -> None:
        """Guards against a caller told that work may have run although nobody had it."""
        for answer in (NO_OWNER, PeerUnreachableError("m1")):
            net = FakeNet(submit=[answer])
            self.assertIs(await self.route(net), ResultCode.NO_OWNER)

    async def test_sent_and_unanswered_is_unknown(self) -> None:
        """Guards against a refusal of work that a lost owner may have started."""
        for first in (PeerLostError("m1"), LEFT):
            net = FakeNet(submit=[first, NO_OWNER], lookup=[NO_OWNER])
            self.assertIs(await self.route(net), ResultCode.OUTCOME_UNKNOWN)

    async def test_last_look_finds_the_outcome(self) -> None:
        """Guards against an unknown outcome that the next owner knows."""
        net = FakeNet(submit=[PeerLostError("m1"), NO_OWNER], lookup=[OK])
        self.assertIs(await self.route(net), ResultCode.OK)
        net = FakeNet(submit=[PeerLostError("m1"), NO_OWNER], lookup=[ACCEPTED])
        self.assertIs(await self.route(net), ResultCode.OUTCOME_UNKNOWN)

    async def test_resent_message_has_the_remaining_timeout(self) -> None:
        """Guards against an owner that holds a request longer than its caller waits."""
        net = FakeNet(submit=[LEFT, LEFT, OK])
        self.assertIs(await self.route(net), ResultCode.OK)
        timeouts = [body.timeout_ms for _, _, body in net.calls]
        self.assertEqual(timeouts, sorted(timeouts, reverse=True))
        self.assertLess(timeouts[-1], timeouts[0])
        self.assertEqual([body.retry for _, _, body in net.calls], [False, True, True])

    async def test_paused_owner_is_left_for_its_successor(self) -> None:
        """Guards against a caller who waits for a paused owner until the timeout."""
        view, net = FakeView(), FakeNet(submit=[None, OK])
        routing = asyncio.ensure_future(self.route(net, view))
        await until(lambda: net.calls)
        view.owner = OwnerInfo(MemberId("m2"), Epoch(2), True)
        self.assertIs(await routing, ResultCode.OK)
        self.assertEqual([address for address, _, _ in net.calls], ["m1:1", "m2:1"])

    async def test_ending_process_answers_its_callers(self) -> None:
        """Guards against callers cut off without a word when the drain timeout is over."""
        net = FakeNet(submit=[None])
        routing = asyncio.ensure_future(self.route(net))
        await until(lambda: net.calls)
        self.requests.abort()
        self.assertIs(await routing, ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(self.requests.in_flight, 0)
