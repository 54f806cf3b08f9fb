"""Callers: requests on connections of their own, and what they were told."""

import asyncio
from dataclasses import dataclass, field

import orjson

from tests.platform.standin.cluster import HOST, KEY

RESPONSE_TIMEOUT_S = 3.0
NO_RESPONSE = 0


@dataclass(slots=True)
class ClientJob:
    """What callers know of one job.

    :param accepted_s: time of the first 2xx, 0 for none
    :param statuses: of all answers to its submission; 0 for none
    :param states: all states shown, in order
    """

    id: str
    queue: str
    tasks: int
    body: dict
    accepted_s: float = 0.0
    cancelled_s: float = 0.0
    statuses: list[int] = field(default_factory=list)
    states: list[str] = field(default_factory=list)


async def request(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = RESPONSE_TIMEOUT_S,
) -> tuple[int, dict]:
    """Send one request; return status and body, 0 for no complete answer."""
    data = b"" if body is None else orjson.dumps(body)
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
        f"Lagoonshelf-Deadline-Ms: {int(timeout_s * 1000)}\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + data)
            reply = await reader.readuntil(b"\r\n\r\n")
            lines = reply.decode("latin-1").lower().split("\r\n")
            sizes = [line.partition(":")[2] for line in lines if line.startswith("content-length")]
            text = await reader.readexactly(int(sizes[0]) if sizes else 0)
            return int(lines[0].split(" ")[1]), orjson.loads(text) if text else {}
    except (OSError, TimeoutError, EOFError, asyncio.IncompleteReadError):
        return NO_RESPONSE, {}
    finally:
        if writer is not None:
            writer.close()


async def submit(address: str, job: ClientJob, now_s: float) -> int:
    """Hand a job in, and note the answer."""
    status, _ = await request(address, "POST", f"/{job.queue}/{job.id}", job.body)
    job.statuses.append(status)
    if status == 200 and not job.accepted_s:
        job.accepted_s = now_s
    return status


async def poll_state(address: str, job: ClientJob) -> str:
    """Ask for a job's state, and note it; empty when there was no answer."""
    status, fields = await request(address, "GET", f"/{job.queue}/{job.id}")
    state = fields.get("state", "") if status == 200 else ""
    if state:
        job.states.append(state)
    return state
