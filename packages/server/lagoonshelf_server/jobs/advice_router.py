"""Distributes advice requests to the placement policy over the members of the cell."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import inf

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import MemberId, WorkerId
from lagoonshelf_core.jobs.advice_lanes import (
    SHORT_REQUEST_MS,
    AdviceBudget,
    count_short_lanes,
)
from lagoonshelf_core.jobs.cell import Cell
from lagoonshelf_core.jobs.commands import RequestAdvice
from lagoonshelf_server.jobs import job_metrics
from lagoonshelf_server.jobs.ports import NoAnswerError
from lagoonshelf_server.logs import logger

# The policy serves the calls of one machine sequentially. Requests that would wait longer than
# this on every machine are postponed and sent later, in the priority order of that time.
MAX_BACKLOG_MS = 700.0
# A member without a heartbeat for this long gets no requests.
MEMBER_TIMEOUT_MS = 1_200
# A member gets no requests for this long after it failed to answer.
PENALTY_MS = 1_000

AdviceCall = Callable[[str, tuple[WorkerId, ...]], Awaitable[dict[WorkerId, str]]]
_log = logger("advisors")


@dataclass(slots=True)
class _Member:
    request: AdviceCall
    heartbeat_ms: int
    backlog_ms: float = 0.0
    avoided_until_ms: int = 0


class AdviceRouter:
    """Members that can call the policy, with the outstanding requests of each."""

    def __init__(self, cell: Cell, clock: Clock, on_change: Callable[[], None]) -> None:
        """Set up without members."""
        self._cell = cell
        self._clock = clock
        self._on_change = on_change
        self._members: dict[MemberId, _Member] = {}

    def record_heartbeat(self, member: MemberId, request: AdviceCall) -> None:
        """Record a heartbeat of a member."""
        entry = self._members.get(member)
        if entry is None:
            self._members[member] = _Member(request, self._clock.now_ms())
        else:
            entry.heartbeat_ms = self._clock.now_ms()

    def budget(self) -> AdviceBudget:
        """Return the policy time that new requests may take now."""
        live = self._live(self._clock.now_ms())
        total_ms = sum(map(_spare_ms, live))
        long_lanes = self._lanes(live, inf)
        long_ms = None if len(long_lanes) == len(live) else sum(map(_spare_ms, long_lanes))
        return AdviceBudget(total_ms, long_ms, MAX_BACKLOG_MS * len(live))

    async def request(self, command: RequestAdvice) -> None:
        """Request advice through the member with the smallest backlog and record the answer."""
        step, started_ms = command.step.name, self._clock.now_ms()
        live = self._live(started_ms)
        if not live:
            self._cell.permits.request_failed(step, started_ms)
            return
        lanes = self._lanes(live, command.cost_ms)
        entry = min(lanes, key=lambda candidate: candidate.backlog_ms)
        entry.backlog_ms += command.cost_ms
        try:
            permits = await entry.request(step, command.workers)
        except NoAnswerError as exc:
            entry.avoided_until_ms = self._clock.now_ms() + PENALTY_MS
            self._cell.permits.request_failed(step, self._clock.now_ms())
            _log.info(
                "no placement advice", request=command.step.job.id, step=step, reason=str(exc)
            )
            return
        finally:
            entry.backlog_ms -= command.cost_ms
        now_ms = self._clock.now_ms()
        job_metrics.advice_ms.observe({}, now_ms - started_ms)
        queue = self._cell.queue_of(command.step.job)
        if queue is None or queue.advice is None or command.step.job.is_final:
            self._cell.permits.remove(step)
            return
        self._cell.permits.response_received(
            step, queue.id, command.workers, permits, now_ms, queue.advice.valid_ms
        )
        _log.info(
            "advised",
            request=command.step.job.id,
            step=step,
            named=len(command.workers),
            allowed=len(permits),
            took_ms=now_ms - started_ms,
        )
        self._on_change()

    def _live(self, now_ms: int) -> list[_Member]:
        return [
            entry
            for entry in self._members.values()
            if now_ms - entry.heartbeat_ms < MEMBER_TIMEOUT_MS and now_ms >= entry.avoided_until_ms
        ]

    def _lanes(self, live: list[_Member], cost_ms: float) -> list[_Member]:
        """Return the members that may carry a request."""
        if not self._cell.options.reserves_advice_lanes or cost_ms <= SHORT_REQUEST_MS:
            return live
        return live[count_short_lanes(len(live)) :]


def _spare_ms(entry: _Member) -> float:
    return max(0.0, MAX_BACKLOG_MS - entry.backlog_ms)
