"""Invariant checks that use only the events of workers and the calls of clients."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from lagoonshelf_core.errors import Effect, ResultCode

SIZE_FIELDS = ("cpu_milli", "memory_mib", "accelerators")
RESULT_PREFIX = "done:"


@dataclass(frozen=True, slots=True)
class ClientCall:
    """One call of a client and its answer.

    :param sent_ms: time at which the call was sent, on the clock of the workers
    :param answered_ms: time at which the answer arrived or the connection broke
    :param answer: decoded answer, or none if the connection broke
    """

    team: str
    request_key: str
    payload: str
    sent_ms: int
    answered_ms: int
    answer: dict | None


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant.

    :param invariant: its number in the design document, such as I1
    """

    invariant: str
    text: str


def check_capacity(history: dict[str, list[dict]], capacity: dict[str, int]) -> list[Violation]:
    """Check that no worker runs more tasks than its capacity allows (I1).

    :param history: start and end events by worker
    :param capacity: capacity of each worker; ``slots`` limits the number of tasks
    """
    found = []
    for worker, events in history.items():
        allocated: Counter[str] = Counter()
        for event in _in_order(events):
            sign = 1 if event["event"] == "start" else -1
            for name in SIZE_FIELDS:
                allocated[name] += sign * event[name]
            allocated["slots"] += sign
            over = [name for name in capacity if allocated[name] > capacity[name]]
            if sign > 0 and over:
                amounts = {name: allocated[name] for name in over}
                found.append(Violation("I1", f"{worker} holds {amounts} at {event['at_ms']}"))
    return found


def check_no_duplicate_runs(history: dict[str, list[dict]]) -> list[Violation]:
    """Check that no task of a request has two concurrent runs (I2)."""
    found = []
    running: dict[tuple, set[tuple]] = defaultdict(set)
    for event in _all_events(history):
        task = _task_key(event)
        run = (event["worker"], event["task"], event["attempt"])
        if event["event"] == "end":
            running[task].discard(run)
            continue
        running[task].add(run)
        if len(running[task]) > 1:
            found.append(Violation("I2", f"{task} runs in {sorted(running[task])}"))
    return found


def check_runs_once(history: dict[str, list[dict]]) -> list[Violation]:
    """Check that each task that is not repeatable starts at most once (I8)."""
    starts = Counter(
        _task_key(event)
        for event in _all_events(history)
        if event["event"] == "start" and not event["repeatable"]
    )
    return [
        Violation("I8", f"{task} was started {count} times")
        for task, count in starts.items()
        if count > 1
    ]


def check_limits(history: dict[str, list[dict]], limits: dict[str, int]) -> list[Violation]:
    """Check that no team runs more tasks than its limit (I5).

    :param limits: maximum number of running tasks by team
    """
    found = []
    running: Counter[str] = Counter()
    for event in _all_events(history):
        team = event["team"]
        running[team] += 1 if event["event"] == "start" else -1
        limit = limits.get(team)
        if event["event"] == "start" and limit is not None and running[team] > limit:
            found.append(Violation("I5", f"{team} runs {running[team]} tasks, limit {limit}"))
    return found


def check_answers(
    history: dict[str, list[dict]], answers: Iterable[ClientCall]
) -> list[Violation]:
    """Check that results belong to their requests (I6) and that "not run" is true (I7)."""
    found = []
    starts: dict[tuple[str, str], list[int]] = defaultdict(list)
    for event in _all_events(history):
        if event["event"] == "start":
            starts[(event["team"], event["request_key"])].append(event["at_ms"])
    by_request: dict[tuple[str, str], list[ClientCall]] = defaultdict(list)
    for call in answers:
        by_request[(call.team, call.request_key)].append(call)
    for request, calls in by_request.items():
        found += _check_results(request, calls, starts[request])
        found += _check_not_run(request, calls, starts[request])
    return found


def check_leaving_workers(
    history: dict[str, list[dict]], left_ms: dict[str, int], grace_ms: int
) -> list[Violation]:
    """Check that leaving workers start no new tasks (I9).

    :param left_ms: time at which each worker started to leave
    :param grace_ms: time after that in which starts are still allowed
    """
    return [
        Violation("I9", f"{worker} got {event['task']} {event['at_ms'] - left_ms[worker]} ms late")
        for worker, events in history.items()
        for event in events
        if worker in left_ms
        and event["event"] == "start"
        and event["at_ms"] > left_ms[worker] + grace_ms
    ]


def check_all(
    history: dict[str, list[dict]],
    capacity: dict[str, int],
    limits: dict[str, int],
    answers: Iterable[ClientCall],
) -> list[Violation]:
    """Check all invariants that need no further data."""
    return [
        *check_capacity(history, capacity),
        *check_no_duplicate_runs(history),
        *check_runs_once(history),
        *check_limits(history, limits),
        *check_answers(history, answers),
    ]


def _check_results(request: tuple, calls: list[ClientCall], starts: list[int]) -> list[Violation]:
    found = []
    for call in calls:
        if call.answer is None or call.answer["code"] != ResultCode.OK.number:
            continue
        if call.answer["tasks"]["total"] == 1 and call.answer["result"]:
            expected = RESULT_PREFIX + call.payload
            if call.answer["result"] != expected:
                found.append(Violation("I6", f"{request} got another result"))
        if not starts:
            found.append(Violation("I6", f"{request} was answered without a run"))
    return found


def _check_not_run(request: tuple, calls: list[ClientCall], starts: list[int]) -> list[Violation]:
    """Find starts of a request whose client was told "not run".

    A start is allowed if it precedes the call or if another call may have caused it: one that was
    answered no earlier than this call and was sent before the start.
    """
    found = []
    for call in calls:
        if call.answer is None or call.answer["effect"] != Effect.NOT_RUN.value:
            continue
        others = [other for other in calls if other is not call]
        open_calls = [o for o in others if o.answered_ms >= call.answered_ms]
        first_sent_ms = min((o.sent_ms for o in open_calls), default=None)
        for start_ms in starts:
            explained = first_sent_ms is not None and start_ms >= first_sent_ms
            earlier = start_ms < call.sent_ms
            if not explained and not earlier:
                text = f"{request} answered {call.answer['name']} but ran"
                found.append(Violation("I7", text))
    return found


def _task_key(event: dict) -> tuple:
    return (event["team"], event["request_key"], event["index"])


def _in_order(events: Iterable[dict]) -> list[dict]:
    """Sort by time; at equal times ends go first, since the clock has millisecond resolution."""
    return sorted(events, key=lambda event: (event["at_ms"], event["event"] == "start"))


def _all_events(history: dict[str, list[dict]]) -> list[dict]:
    return _in_order(event for events in history.values() for event in events)
