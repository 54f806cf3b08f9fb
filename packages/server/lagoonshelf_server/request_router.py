"""Routing of requests from the API process to the owner of their partition."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import PartitionId, QueueId, RequestKey, TeamId
from lagoonshelf_core.model import RequestSpec, WorkKind
from lagoonshelf_core.records import Record
from lagoonshelf_core.resources import Resources
from lagoonshelf_core.routing import partition_of_request
from lagoonshelf_server.members import Members, OwnerInfo
from lagoonshelf_server.messages import Ack, Answer, Body, RequestRef, Submit
from lagoonshelf_server.owner import Owner
from lagoonshelf_server.peers import PeerLostError, PeerNet, PeerUnreachableError
from lagoonshelf_server.settings import Settings

RESEND_INTERVAL_S = 0.1
# The owner answers a timed-out request when the timeout ends; this is time for that answer to
# arrive.
CALL_MARGIN_MS = 1000
LOOKUP_TIMEOUT_MS = 1000
OWNER_CHECK_INTERVAL_S = 0.2
CONTROL_TIMEOUT_MS = 10_000

FindOwner = Callable[[PartitionId], Owner | None]
Authorize = Callable[[Submit | RequestRef], Awaitable[None]]


class RequestRouter:
    """Router that sends each request to the owner of its partition, again if the owner changes."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        members: Members,
        net: PeerNet,
        find_owner: FindOwner,
        authorize: Authorize,
    ) -> None:
        """Create the router.

        :param find_owner: returns the owner of a partition if it is in this process
        :param authorize: raises if the configuration does not allow the request
        """
        self._routing: set[asyncio.Task[Answer]] = set()
        self._aborted = False
        self._cfg = cfg
        self._clock = clock
        self._members = members
        self._net = net
        self._find_owner = find_owner
        self._authorize = authorize

    async def submit(self, submit: Submit) -> Answer:
        """Submit a request to the owner of its partition and return the answer."""
        return await self._route("submit", submit, submit.timeout_ms)

    async def cancel(self, ref: RequestRef) -> Answer:
        """Cancel a request at the owner of its partition."""
        return await self._route("cancel", ref, CONTROL_TIMEOUT_MS)

    async def lookup(self, ref: RequestRef) -> Answer:
        """Return the state of a request from the owner of its partition."""
        return await self._route("lookup", ref, CONTROL_TIMEOUT_MS)

    async def handle(self, kind: str, body: Submit | RequestRef) -> Answer:
        """Answer a message as the owner.

        :raises LagoonshelfError: if this process is not the active owner or refuses the request
        """
        partition = self._partition(body)
        owner = self._find_owner(partition)
        if owner is None or not owner.may_act():
            text = f"partition {partition} is not owned here"
            raise LagoonshelfError(Fault(ResultCode.NO_OWNER, text))
        record = owner.record_table.find(TeamId(body.team), RequestKey(body.request_key))
        if kind != "submit" or record is None:  # a known request is already authorized
            await self._authorize(body)
        if kind == "submit":
            return answer_of_record(await owner.submit(spec_of_submit(body), body.retry))
        if record is None:
            text = f"no request {body.request_key!r}"
            raise LagoonshelfError(Fault(ResultCode.NOT_FOUND, text))
        await owner.wait_accepted(record)
        if kind == "cancel":
            await owner.cancel(record)
        return answer_of_record(record)

    @property
    def in_flight(self) -> int:
        """Return the number of clients that wait in this process."""
        return len(self._routing)

    def abort(self) -> None:
        """Answer all waiting clients now with an unknown outcome, as the process is exiting."""
        self._aborted = True
        for routing in self._routing:
            routing.cancel()

    async def _route(self, kind: str, body: Submit | RequestRef, timeout_ms: int) -> Answer:
        end_ms = self._clock.now_ms() + timeout_ms
        routing = asyncio.ensure_future(self._route_with_retries(kind, body, end_ms))
        self._routing.add(routing)
        try:
            return await routing
        except asyncio.CancelledError:
            if not self._aborted:
                raise
            text = "the process ended before the answer"
            return Answer(ResultCode.OUTCOME_UNKNOWN.number, text, state="unknown")
        finally:
            routing.cancel()
            self._routing.discard(routing)

    async def _route_with_retries(
        self, kind: str, body: Submit | RequestRef, end_ms: int
    ) -> Answer:
        unanswered = False
        while self._clock.now_ms() < end_ms:
            answer = await self._send_once(
                kind, self._with_remaining_timeout(body, end_ms, unanswered), end_ms
            )
            if answer is None or answer.code == ResultCode.OWNER_LEFT.number:
                unanswered = True
            elif answer.code != ResultCode.NO_OWNER.number:
                return answer
            await asyncio.sleep(RESEND_INTERVAL_S)
        if not unanswered:
            return Answer(ResultCode.NO_OWNER.number, "no owner was found in time", 1000)
        if kind == "submit":
            return await self._look_up_outcome(body)
        return Answer(ResultCode.OUTCOME_UNKNOWN.number, "the owner was lost", state="unknown")

    def _with_remaining_timeout(
        self, body: Submit | RequestRef, end_ms: int, unanswered: bool
    ) -> Submit | RequestRef:
        """Return a message with the remaining timeout of the client.

        :param unanswered: whether an earlier owner may have received the request
        """
        if not isinstance(body, Submit):
            return body
        left_ms = max(1, end_ms - self._clock.now_ms())
        return replace(body, timeout_ms=left_ms, retry=body.retry or unanswered)

    async def _look_up_outcome(self, submit: Submit) -> Answer:
        """Look up a request whose last owner did not answer; only its end is conclusive."""
        ref = RequestRef(submit.team, submit.key_id, submit.request_key)
        end_ms = self._clock.now_ms() + LOOKUP_TIMEOUT_MS
        answer = await self._send_once("lookup", ref, end_ms)
        if answer is not None and answer.state in ("finished", "failed"):
            return answer
        return Answer(
            ResultCode.OUTCOME_UNKNOWN.number,
            "the owner was lost after the request was sent to it",
            state="unknown",
            request_key=submit.request_key,
        )

    async def _send_once(self, kind: str, body: Submit | RequestRef, end_ms: int) -> Answer | None:
        """Send a message to the owner; return none if it was sent but not answered."""
        partition = self._partition(body)
        if self._find_owner(partition) is not None:
            try:
                left_s = (end_ms + CALL_MARGIN_MS - self._clock.now_ms()) / 1000
                return await asyncio.wait_for(self.handle(kind, body), left_s)
            except LagoonshelfError as exc:
                return answer_of_fault(exc.fault)
            except TimeoutError:
                return None
        info = self._members.owner_of(partition)
        if info is None or info.member not in self._members.others:
            return answer_of_fault(Fault(ResultCode.NO_OWNER, "no owner is known"))
        try:
            reply = await self._call_owner(info, kind, body, end_ms + CALL_MARGIN_MS)
        except PeerUnreachableError as exc:
            return answer_of_fault(Fault(ResultCode.NO_OWNER, str(exc)))
        except PeerLostError:
            return None
        if isinstance(reply, Ack):
            return Answer(reply.code, reply.message)
        return reply if isinstance(reply, Answer) else None

    async def _call_owner(
        self, info: OwnerInfo, kind: str, body: Submit | RequestRef, end_ms: int
    ) -> Body:
        """Call an owner; stop waiting when the partition gets another owner.

        A paused owner keeps its connection open, so waiting for the reply alone would take
        the whole timeout.

        :raises PeerLostError: if no reply arrives
        """
        address = self._members.others[info.member].address
        timeout_s = (end_ms - self._clock.now_ms()) / 1000
        call = asyncio.ensure_future(self._net.call(address, kind, body, timeout_s))
        try:
            while not call.done():
                await asyncio.wait((call,), timeout=OWNER_CHECK_INTERVAL_S)
                if not call.done() and self._has_other_owner(self._partition(body), info):
                    raise PeerLostError(f"{info.member} does not own the partition any more")
            return call.result()
        finally:
            call.cancel()

    def _has_other_owner(self, partition: PartitionId, info: OwnerInfo) -> bool:
        if self._find_owner(partition) is not None or info.member not in self._members.others:
            return True
        current = self._members.owner_of(partition)
        return current is not None and (current.member, current.epoch) != (
            info.member,
            info.epoch,
        )

    def _partition(self, body: Submit | RequestRef) -> PartitionId:
        team, key = TeamId(body.team), RequestKey(body.request_key)
        return partition_of_request(team, key, self._cfg.partitions)


def spec_of_submit(submit: Submit) -> RequestSpec:
    """Return the request specification of a submit message."""
    return RequestSpec(
        team=TeamId(submit.team),
        queue=QueueId(submit.queue),
        request_key=RequestKey(submit.request_key),
        kind=WorkKind(submit.kind),
        repeatable=submit.repeatable,
        size=Resources(submit.cpu_milli, submit.memory_mib, submit.accelerators, 1),
        run_ms=submit.run_ms,
        tasks=submit.tasks,
        payload=submit.payload,
        timeout_ms=submit.timeout_ms,
        deadline_wall_ms=submit.deadline_wall_ms,
    )


def answer_of_record(record: Record) -> Answer:
    """Return the answer for the current state of a record."""
    spec = record.spec
    code, result, state = ResultCode.ACCEPTED, "", "accepted"
    message = ""
    if record.ended:
        state = "failed" if record.failed else "finished"
        bad = [o for o in record.outcomes.values() if o.code is not ResultCode.OK]
        code = bad[0].code if bad else ResultCode.OK
        message = bad[0].result if bad else ""
        if spec.kind is WorkKind.INTERACTIVE:
            result = record.outcomes[0].result
    elif record.first_start_ms:
        state = "running"
    return Answer(
        code=code.number,
        message=message,
        state=state,
        result=result,
        request_key=spec.request_key,
        task_ids=tuple(record.tasks[index] for index in sorted(record.tasks)),
        finished=len(record.outcomes) - record.failed,
        failed=record.failed,
        total=spec.tasks,
        waited_ms=max(0, record.first_start_ms - record.created_ms),
    )


def answer_of_fault(fault: Fault) -> Answer:
    """Return the answer for a fault."""
    return Answer(fault.code.number, fault.message, fault.retry_after_ms)
