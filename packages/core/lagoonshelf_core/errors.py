"""Numbered result codes, and faults that carry them."""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether the work of a request ran."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class CodeInfo:
    """Properties of one result code.

    :param number: stable number, never reused
    :param http_status: status of an HTTP response with this code
    :param effect: whether the work ran
    :param text: one-sentence description for clients and operators
    :param may_retry: whether the same request may succeed later
    """

    number: int
    http_status: int
    effect: Effect
    text: str
    may_retry: bool = False


class ResultCode(Enum):
    """Result codes; their names are part of the public API."""

    OK = CodeInfo(0, 200, Effect.RAN, "The work ran and its result is attached.")
    ACCEPTED = CodeInfo(1, 202, Effect.NONE, "The work is durably accepted.")
    DONE = CodeInfo(2, 200, Effect.NONE, "The operation that starts no work succeeded.")

    BAD_REQUEST = CodeInfo(100, 400, Effect.NOT_RUN, "The request is not well formed.")
    TOO_LARGE = CodeInfo(101, 413, Effect.NOT_RUN, "The request body is too large.")
    NOT_FOUND = CodeInfo(102, 404, Effect.NONE, "No such request, path or object.")
    KEY_REUSED = CodeInfo(
        103, 409, Effect.NOT_RUN, "The request key was used before with other content."
    )
    NEVER_FITS = CodeInfo(104, 422, Effect.NOT_RUN, "No worker can ever hold this work.")
    SLOW_BODY = CodeInfo(
        105, 408, Effect.NOT_RUN, "The request body did not arrive in time.", may_retry=True
    )

    KEY_MISSING = CodeInfo(200, 401, Effect.NOT_RUN, "No key was sent.")
    KEY_INVALID = CodeInfo(201, 401, Effect.NOT_RUN, "The key is unknown or withdrawn.")
    TEAM_FORBIDDEN = CodeInfo(202, 403, Effect.NOT_RUN, "The queue is not open to this team.")
    OPERATOR_ONLY = CodeInfo(203, 403, Effect.NONE, "The operation needs the operator key.")

    QUEUE_FULL = CodeInfo(300, 429, Effect.NOT_RUN, "The team's queue is full.", may_retry=True)
    RETRY_BUDGET = CodeInfo(
        301, 429, Effect.NOT_RUN, "The team's retry budget is used up.", may_retry=True
    )
    OVERLOADED = CodeInfo(
        302, 503, Effect.NOT_RUN, "The entry process has no room for the request.", may_retry=True
    )

    NO_OWNER = CodeInfo(
        400, 503, Effect.NOT_RUN, "No process owns the request's partition.", may_retry=True
    )
    STORE_UNAVAILABLE = CodeInfo(
        401, 503, Effect.NOT_RUN, "The platform's store cannot be reached.", may_retry=True
    )
    CONFIG_STALE = CodeInfo(
        402, 503, Effect.NOT_RUN, "The configuration may be out of date.", may_retry=True
    )
    DRAINING = CodeInfo(403, 503, Effect.NOT_RUN, "The process is shutting down.", may_retry=True)
    TIMED_OUT_QUEUED = CodeInfo(
        404, 504, Effect.NOT_RUN, "The request timed out before it was started.", may_retry=True
    )
    CONFIG_CONFLICT = CodeInfo(
        405, 409, Effect.NONE, "Another operator changed the configuration first."
    )
    CONFIG_INVALID = CodeInfo(406, 422, Effect.NONE, "The configuration document is not valid.")
    WRITE_UNKNOWN = CodeInfo(
        407, 503, Effect.NONE, "The answer to a store write was lost; read before retrying."
    )

    TASK_FAILED = CodeInfo(500, 502, Effect.RAN, "The work ran and failed.")
    CANCELLED = CodeInfo(501, 409, Effect.NOT_RUN, "The work was cancelled before it started.")
    CANCELLED_RUNNING = CodeInfo(502, 409, Effect.RAN, "The work was cancelled while it ran.")
    OUTCOME_UNKNOWN = CodeInfo(
        503, 502, Effect.MAY_HAVE_RUN, "The work may have run; its outcome is lost."
    )
    TIMED_OUT_RUNNING = CodeInfo(
        504, 504, Effect.MAY_HAVE_RUN, "The request timed out while its work ran."
    )

    PROTOCOL = CodeInfo(600, 500, Effect.NONE, "A peer message was not valid.")
    PEER_REFUSED = CodeInfo(601, 500, Effect.NONE, "A peer refused the connection.")
    STALE_EPOCH = CodeInfo(602, 409, Effect.NOT_RUN, "The command carries an old epoch.")
    OWNER_LEFT = CodeInfo(
        603,
        503,
        Effect.MAY_HAVE_RUN,
        "The owner gave the partition up before it could answer.",
        may_retry=True,
    )

    BAD_SETTING = CodeInfo(700, 500, Effect.NONE, "A setting is unknown or impossible.")
    PARTITION_MISMATCH = CodeInfo(
        701, 500, Effect.NONE, "The number of partitions differs from the cell's."
    )
    PORT_UNAVAILABLE = CodeInfo(
        702, 500, Effect.NONE, "A port of the process cannot be opened.", may_retry=True
    )
    INTERNAL = CodeInfo(900, 500, Effect.MAY_HAVE_RUN, "An internal error occurred.")

    @property
    def number(self) -> int:
        """Return the code's number."""
        return self.value.number

    @property
    def effect(self) -> Effect:
        """Return whether the work ran."""
        return self.value.effect


CODES_BY_NUMBER = {code.number: code for code in ResultCode}
# Exit codes of a server process that cannot start.
EXIT_CODES = {
    ResultCode.BAD_SETTING: 2,
    ResultCode.PARTITION_MISMATCH: 3,
    ResultCode.PORT_UNAVAILABLE: 4,
}


@dataclass(frozen=True, slots=True)
class Fault:
    """A rejection or failure: a result code and a message that names the invalid value.

    :param retry_after_ms: time after which a client should retry, 0 when there is no hint
    """

    code: ResultCode
    message: str
    retry_after_ms: int = 0

    def __str__(self) -> str:
        """Return name, number and message."""
        return f"{self.code.name} ({self.code.number}): {self.message}"


class LagoonshelfError(Exception):
    """Exception that carries a fault where a ``Result`` cannot be returned."""

    def __init__(self, fault: Fault) -> None:
        """Wrap a fault.

        :param fault: the rejection or failure
        """
        super().__init__(str(fault))
        self.fault = fault
