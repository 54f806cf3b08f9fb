"""Client of the daemon's HTTP API, with retries that never run work twice."""

import time
from collections.abc import Mapping
from dataclasses import dataclass

import orjson
import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import HTTPError

from lagoonshelf_core.errors import CODES_BY_NUMBER, Fault, ResultCode

RETRY_PAUSE_S = 0.3
MAX_RETRY_PAUSE_S = 5.0
RESPONSE_MARGIN_S = 10.0


@dataclass(frozen=True, slots=True)
class Connection:
    """Addresses of the cell and the key for its API.

    :param urls: base URLs of API processes; the next one is tried when one does not answer
    :param key: team key or operator key
    """

    urls: tuple[str, ...]
    key: str


class Client:
    """HTTP client that resends the same request key after a broken connection."""

    def __init__(self, conn: Connection) -> None:
        """Create the connection pool."""
        self._conn = conn
        self._http = urllib3.PoolManager(retries=False)
        self._url_index = 0

    def submit(self, request: Mapping[str, object], retry_timeout_s: float) -> Result[dict, Fault]:
        """Submit a request and return its answer.

        :param request: body as described in the README; must contain a request key
        :param retry_timeout_s: how long to retry after broken connections and temporary faults
        """
        if not request.get("request_key"):
            return Failure(Fault(ResultCode.BAD_REQUEST, "request_key: required for safe retries"))
        return self._call_with_retries("POST", "/v1/requests", request, retry_timeout_s)

    def submit_batch(self, requests: list[Mapping[str, object]]) -> Result[dict, Fault]:
        """Submit up to 256 requests in one call and return the answers in the same order."""
        return self._call_any_url("POST", "/v1/batch", {"requests": requests})

    def status(self, request_key: str) -> Result[dict, Fault]:
        """Return the state of a request."""
        return self._call_any_url("GET", f"/v1/requests/{request_key}")

    def cancel(self, request_key: str) -> Result[dict, Fault]:
        """Cancel a request."""
        return self._call_any_url("DELETE", f"/v1/requests/{request_key}")

    def get_config(self) -> Result[dict, Fault]:
        """Return the revision and document in force."""
        return self._call_any_url("GET", "/v1/config")

    def put_config(self, base_revision: int, document: object) -> Result[dict, Fault]:
        """Propose a document; this fails if a newer revision has been accepted in the meantime."""
        body = {"base_revision": base_revision, "document": document}
        return self._call_any_url("POST", "/v1/config", body)

    def dump(self) -> Result[dict, Fault]:
        """Return the state of one API process."""
        return self._call_any_url("GET", "/v1/state")

    def where(self, job: Mapping[str, object]) -> Result[dict, Fault]:
        """Return where a described job would start; the URLs are those of the metrics."""
        return self._call_any_url("POST", "/where", job)

    def drain(self) -> Result[dict, Fault]:
        """Start a graceful shutdown of one API process."""
        return self._call_any_url("POST", "/v1/drain", {})

    def _call_with_retries(
        self, method: str, path: str, body: object, retry_timeout_s: float
    ) -> Result[dict, Fault]:
        end = time.monotonic() + retry_timeout_s
        pause_s = RETRY_PAUSE_S
        while True:
            result = self._call_any_url(method, path, body)
            fault = result.failure() if isinstance(result, Failure) else None
            if fault is None or not _is_temporary(fault) or time.monotonic() + pause_s > end:
                return result
            time.sleep(max(pause_s, fault.retry_after_ms / 1000))
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)

    def _call_any_url(self, method: str, path: str, body: object = None) -> Result[dict, Fault]:
        """Make one call, trying the next API process after a broken connection."""
        reasons = []
        for _ in self._conn.urls:
            url = self._conn.urls[self._url_index % len(self._conn.urls)]
            try:
                return self._call(method, url + path, body)
            except HTTPError as exc:
                reasons.append(f"{url}: {type(exc).__name__}")
                self._url_index += 1
        return Failure(Fault(ResultCode.OUTCOME_UNKNOWN, "no answer from " + ", ".join(reasons)))

    def _call(self, method: str, url: str, body: object) -> Result[dict, Fault]:
        headers = {"Authorization": f"Bearer {self._conn.key}", "Content-Type": "application/json"}
        data = None if body is None else orjson.dumps(body)
        resp = self._http.request(
            method, url, body=data, headers=headers, timeout=_timeout_s(body)
        )
        try:
            answer = orjson.loads(resp.data)
        except ValueError:
            text = f"status {resp.status} without a JSON body"
            return Failure(Fault(ResultCode.PROTOCOL, text))
        code = CODES_BY_NUMBER.get(answer.get("code", 0), ResultCode.INTERNAL)
        if resp.status < 400:
            return Success(answer)
        text = answer.get("message", "")
        return Failure(Fault(code, text, answer.get("retry_after_ms", 0)))


def _is_temporary(fault: Fault) -> bool:
    """Return whether to send the same request again, which is safe because of its key."""
    return fault.code.value.may_retry or fault.code is ResultCode.OUTCOME_UNKNOWN


def _timeout_s(body: object) -> float:
    wait_ms = body.get("timeout_ms", 30_000) if isinstance(body, Mapping) else 30_000
    return wait_ms / 1000 + RESPONSE_MARGIN_S
