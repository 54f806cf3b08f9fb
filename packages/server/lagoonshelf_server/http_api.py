"""HTTP API for clients and operators, served by CherryPy."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import BinaryIO

import orjson
from returns.result import Failure

from lagoonshelf_core.errors import CODES_BY_NUMBER, Fault, LagoonshelfError, ResultCode
from lagoonshelf_core.ids import is_valid_id
from lagoonshelf_core.keys import ClientIdentity
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.logs import logger
from lagoonshelf_server.messages import Answer, RequestRef
from lagoonshelf_server.request_body import (
    MAX_BATCH,
    MAX_BODY_BYTES,
    decode_json,
    parse_request,
)

MAX_WAIT_S = 700.0
MAX_DISCARDED_BYTES = 8 * MAX_BODY_BYTES
DISCARD_CHUNK_BYTES = 64 * 1024
_log = logger("entry")


@dataclass(frozen=True, slots=True)
class ApiBackend:
    """Operations that the HTTP API runs on the event loop.

    :param authenticate: checks a key and returns the client it belongs to
    :param submit: submits validated requests and returns their answers in the same order
    :param cancel: cancels a request
    :param lookup: returns the state of a request
    :param get_config: returns the revision and document in force
    :param put_config: proposes a document; returns the new revision
    :param dump: returns the state of this process
    :param metrics: returns the metrics page and its content type
    :param drain: starts a graceful shutdown
    :param healthy: whether a load balancer should send clients to this process
    """

    authenticate: Callable[[str | None], Awaitable[ClientIdentity]]
    submit: Callable[[list], Awaitable[list[Answer]]]
    cancel: Callable[[RequestRef], Awaitable[Answer]]
    lookup: Callable[[RequestRef], Awaitable[Answer]]
    get_config: Callable[[], Awaitable[dict]]
    put_config: Callable[[int, object], Awaitable[int]]
    dump: Callable[[], Awaitable[dict]]
    metrics: Callable[[], Awaitable[tuple[bytes, str]]]
    drain: Callable[[], Awaitable[None]]
    healthy: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class HttpReply:
    """An HTTP response.

    :param retry_after_ms: retry delay, or 0 for none
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    retry_after_ms: int = 0


class HttpApi:
    """WSGI application for clients and operators; runs on CherryPy's threads."""

    def __init__(self, bridge: Bridge, backend: ApiBackend, operator_key_sha256: str) -> None:
        """Create the API.

        :param operator_key_sha256: hexadecimal SHA-256 of the operator key
        """
        self._bridge = bridge
        self._backend = backend
        self._operator_hash = operator_key_sha256

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer one HTTP request."""
        try:
            reply = self._route(environ)
        except LagoonshelfError as exc:
            reply = _fault_reply(exc.fault)
        except TimeoutError:
            reply = _fault_reply(Fault(ResultCode.OUTCOME_UNKNOWN, "no answer in time"))
        except Exception as exc:
            _log.error("HTTP call failed", path=environ.get("PATH_INFO"), exc_info=True)
            reply = _fault_reply(Fault(ResultCode.INTERNAL, type(exc).__name__))
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ]
        if reply.retry_after_ms:
            headers.append(("Retry-After", str(-(-reply.retry_after_ms // 1000))))
        start_response(f"{reply.status} Status", headers)
        return [reply.body]

    def _route(self, environ: dict) -> HttpReply:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/healthz":
            return _health_reply(self._backend.healthy())
        if path == "/metrics":
            body, content_type = self._wait(self._backend.metrics())
            return HttpReply(200, body, content_type)
        if path in ("/v1/config", "/v1/state", "/v1/drain"):
            return self._handle_operator_call(method, path, environ)
        if path == "/v1/requests" and method == "POST":
            return self._submit_one(environ)
        if path == "/v1/batch" and method == "POST":
            return self._submit_batch(environ)
        if path.startswith("/v1/requests/") and method in ("GET", "DELETE"):
            return self._handle_request(method, path.removeprefix("/v1/requests/"), environ)
        text = f"no such call: {method} {path[:100]!r}"
        raise LagoonshelfError(Fault(ResultCode.NOT_FOUND, text))

    def _submit_one(self, environ: dict) -> HttpReply:
        client = self._authenticate(environ)
        submit = _unwrap(parse_request(_unwrap(decode_json(_read_body(environ))), client))
        (answer,) = self._wait(self._backend.submit([submit]))
        return _answer_reply(answer)

    def _submit_batch(self, environ: dict) -> HttpReply:
        client = self._authenticate(environ)
        raw = _unwrap(decode_json(_read_body(environ)))
        requests = raw.get("requests") if isinstance(raw, dict) and len(raw) == 1 else None
        if not isinstance(requests, list) or not 1 <= len(requests) <= MAX_BATCH:
            text = f"requests: must be a list of 1 to {MAX_BATCH} requests, and nothing else"
            raise LagoonshelfError(Fault(ResultCode.BAD_REQUEST, text))
        parsed = [parse_request(item, client) for item in requests]
        good = [result.unwrap() for result in parsed if not isinstance(result, Failure)]
        answers = iter(self._wait(self._backend.submit(good)) if good else [])
        bodies = [
            _fault_to_dict(result.failure())
            if isinstance(result, Failure)
            else answer_to_dict(next(answers))
            for result in parsed
        ]
        return HttpReply(200, orjson.dumps({"answers": bodies}))

    def _handle_request(self, method: str, key: str, environ: dict) -> HttpReply:
        client = self._authenticate(environ)
        if not is_valid_id(key):
            raise LagoonshelfError(Fault(ResultCode.BAD_REQUEST, "request key: not a valid id"))
        ref = RequestRef(client.team, client.key, key)
        call = self._backend.lookup if method == "GET" else self._backend.cancel
        return _answer_reply(self._wait(call(ref)))

    def _handle_operator_call(self, method: str, path: str, environ: dict) -> HttpReply:
        self.check_operator(_bearer(environ))
        if path == "/v1/state" and method == "GET":
            return HttpReply(200, orjson.dumps(self._wait(self._backend.dump()), default=str))
        if path == "/v1/drain" and method == "POST":
            self._wait(self._backend.drain())
            return HttpReply(202, orjson.dumps({"code": ResultCode.DONE.number}))
        if path == "/v1/config" and method == "GET":
            return HttpReply(200, orjson.dumps(self._wait(self._backend.get_config())))
        if path == "/v1/config" and method == "POST":
            raw = _unwrap(decode_json(_read_body(environ)))
            if not isinstance(raw, dict) or not isinstance(raw.get("base_revision"), int):
                text = "base_revision: must be the revision the document is based on"
                raise LagoonshelfError(Fault(ResultCode.BAD_REQUEST, text))
            call = self._backend.put_config(raw["base_revision"], raw.get("document"))
            body = {"code": ResultCode.DONE.number, "revision": self._wait(call)}
            return HttpReply(200, orjson.dumps(body))
        raise LagoonshelfError(Fault(ResultCode.NOT_FOUND, f"no such call: {method} {path}"))

    def check_operator(self, key: str | None) -> None:
        """Check the operator key.

        :raises LagoonshelfError: if it is wrong
        """
        digest = hashlib.sha256((key or "").encode()).hexdigest()
        if not hmac.compare_digest(digest, self._operator_hash):
            raise LagoonshelfError(Fault(ResultCode.OPERATOR_ONLY, "the operator key is wrong"))

    def _authenticate(self, environ: dict) -> ClientIdentity:
        return self._wait(self._backend.authenticate(_bearer(environ)))

    def _wait(self, coro: Awaitable) -> object:
        return self._bridge.run_on_loop(coro, MAX_WAIT_S)


def answer_to_dict(answer: Answer) -> dict:
    """Return the JSON object for an answer."""
    code = CODES_BY_NUMBER[answer.code]
    return {
        "code": code.number,
        "name": code.name,
        "effect": code.effect.value,
        "message": answer.message,
        "state": answer.state,
        "request_key": answer.request_key,
        "result": answer.result,
        "tasks": {
            "ids": list(answer.task_ids[:100]),
            "finished": answer.finished,
            "failed": answer.failed,
            "total": answer.total,
        },
        "waited_ms": answer.waited_ms,
        "retry_after_ms": answer.retry_after_ms,
    }


def _read_body(environ: dict) -> bytes:
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError:
        length = -1
    if length < 0 or environ.get("HTTP_TRANSFER_ENCODING"):
        raise LagoonshelfError(Fault(ResultCode.BAD_REQUEST, "a Content-Length is needed"))
    if length > MAX_BODY_BYTES:
        _discard(environ["wsgi.input"], min(length, MAX_DISCARDED_BYTES))
        text = f"the body of {length} bytes exceeds {MAX_BODY_BYTES}"
        raise LagoonshelfError(Fault(ResultCode.TOO_LARGE, text))
    data = environ["wsgi.input"].read(length)
    if len(data) != length:
        raise LagoonshelfError(Fault(ResultCode.SLOW_BODY, "the body ended early"))
    return data


def _discard(body: BinaryIO, length: int) -> None:
    """Read and discard a body.

    If the connection is closed with unread bytes, the client may lose the answer.
    """
    while length > 0:
        data = body.read(min(length, DISCARD_CHUNK_BYTES))
        if not data:
            return
        length -= len(data)


def _bearer(environ: dict) -> str | None:
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    return key if scheme.lower() == "bearer" else None


def _unwrap(result: object) -> object:
    if isinstance(result, Failure):
        raise LagoonshelfError(result.failure())
    return result.unwrap()


def _fault_to_dict(fault: Fault) -> dict:
    return answer_to_dict(Answer(fault.code.number, fault.message, fault.retry_after_ms))


def _fault_reply(fault: Fault) -> HttpReply:
    body = orjson.dumps(_fault_to_dict(fault))
    return HttpReply(fault.code.value.http_status, body, retry_after_ms=fault.retry_after_ms)


def _answer_reply(answer: Answer) -> HttpReply:
    status = CODES_BY_NUMBER[answer.code].value.http_status
    body = orjson.dumps(answer_to_dict(answer))
    return HttpReply(status, body, retry_after_ms=answer.retry_after_ms)


def _health_reply(healthy: bool) -> HttpReply:
    return HttpReply(200 if healthy else 503, orjson.dumps({"healthy": healthy}))
