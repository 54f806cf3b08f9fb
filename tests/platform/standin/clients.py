"""Clients of the server processes, which record the responses."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

import orjson

from tests.platform.standin.cluster import HOST, KEY
from tests.platform.standin.ports import raise_if_local

RESPONSE_TIMEOUT_S = 3.0
NO_RESPONSE = 0
UNKNOWN_JOB = 410


@dataclass(slots=True)
class ClientJob:
    """A job as observed by its clients.

    :param accepted_s: time of the first submission that returned 200, 0 for none
    :param is_submitted: a submission has been sent, whether it was answered or not
    :param cancel_status: status of the first answer that acknowledged its cancellation
    :param cancel_acknowledged_s: time of that answer, by the clock of the executors
    :param calls: submissions and cancellations with sending, end and status, in order of ends
    :param statuses: status of each submission; 0 for no response
    :param states: all returned states, in order
    """

    id: str
    queue: str
    tasks: int
    body: dict
    accepted_s: float = 0.0
    cancelled_s: float = 0.0
    is_submitted: bool = False
    cancel_status: int = NO_RESPONSE
    cancel_acknowledged_s: float = 0.0
    calls: list[tuple[str, float, float, int]] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    states: list[str] = field(default_factory=list)

    def record_submission(self) -> None:
        """Record that a submission has been sent."""
        self.is_submitted = True


class KeepAliveClient:
    """Client that sends all requests to one process on one connection while it is open."""

    def __init__(self, address: str, key: str = KEY) -> None:
        """Initialize without connecting."""
        self._key = key
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.on_sent: Callable[[], None] = lambda: None

    async def request(
        self, method: str, path: str, body: object = None, timeout_s: float = RESPONSE_TIMEOUT_S
    ) -> tuple[int, dict]:
        """Send a request; return status and body, with status 0 for no complete response.

        :raises PortError: if the system refuses the connection on this side
        """
        data = b"" if body is None else orjson.dumps(body)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {self._key}\r\n"
            f"Lagoonshelf-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self._host, self._port
                    )
                self._writer.write(head.encode() + data)
                self.on_sent()
                return await self._read_response()
        except OSError as exc:
            self.close()
            raise_if_local(f"cannot connect to {self._host}:{self._port}", exc)
            return NO_RESPONSE, {}
        except EOFError:
            self.close()
            return NO_RESPONSE, {}

    async def _read_response(self) -> tuple[int, dict]:
        response_head = await self._reader.readuntil(b"\r\n\r\n")
        lines = response_head.decode("latin-1").lower().split("\r\n")
        sizes = [line.partition(":")[2] for line in lines if line.startswith("content-length")]
        content = await self._reader.readexactly(int(sizes[0]) if sizes else 0)
        if "connection: close" in lines:
            self.close()
        return int(lines[0].split(" ")[1]), orjson.loads(content) if content else {}

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def request(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = RESPONSE_TIMEOUT_S,
    *,
    key: str = KEY,
) -> tuple[int, dict]:
    """Send a request; return status and body, with status 0 for no complete response."""
    client = KeepAliveClient(address, key)
    try:
        return await client.request(method, path, body, timeout_s)
    finally:
        client.close()


async def submit(address: str, job: ClientJob, now_s: float) -> int:
    """Submit a job and record the response status."""
    sent_s = monotonic()
    client = KeepAliveClient(address)
    client.on_sent = job.record_submission
    status, _ = await client.request("POST", f"/{job.queue}/{job.id}", job.body)
    client.close()
    job.calls.append((f"POST {address}", sent_s, monotonic(), status))
    job.statuses.append(status)
    if status == 200 and not job.accepted_s:
        job.accepted_s = now_s
    return status


async def cancel(address: str, job: ClientJob) -> None:
    """Request the cancellation of a job and record the response.

    An answer that the job is unknown counts if the job had been submitted before.
    """
    was_submitted, sent_s = job.is_submitted, monotonic()
    status, _ = await request(address, "DELETE", f"/{job.queue}/{job.id}")
    job.calls.append((f"DELETE {address}", sent_s, monotonic(), status))
    is_acknowledged = 200 <= status < 300 or (status == UNKNOWN_JOB and was_submitted)
    if is_acknowledged and not job.cancel_status:
        job.cancel_status, job.cancel_acknowledged_s = status, monotonic()


async def poll_state(address: str, job: ClientJob) -> str:
    """Request and record the state of a job; return "" if there was none."""
    status, fields = await request(address, "GET", f"/{job.queue}/{job.id}")
    state = fields.get("state", "") if status == 200 else ""
    if state:
        job.states.append(state)
    return state
