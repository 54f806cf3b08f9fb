"""Measures the peer codec, configuration changes and the HTTP API, with ratios within one run.

Usage: python -m bench edges
"""

import statistics
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import orjson

from bench.state_size import TEAMS, sample_teams
from lagoonshelf_core.document import Document, create_merge_patch, digest_document, parse_document
from lagoonshelf_server.codec import decode, encode
from lagoonshelf_server.messages import Envelope, Owned, Status, Submit
from lagoonshelf_standins.cell import Cell, new_cell, sample_document

REPEATS = 7
CALLS_PER_REPEAT = 200
CONNECTIONS = 12
REQUESTS = 600
BATCH = 50
SIZE = {"cpu_milli": 100, "memory_mib": 64}


def run() -> list[str]:
    """Return one line for each measurement."""
    return [*_codec_rows(), *_config_rows(), *_api_rows()]


def _median_us(call: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        begin = time.perf_counter()
        for _ in range(CALLS_PER_REPEAT):
            call()
        times.append((time.perf_counter() - begin) / CALLS_PER_REPEAT * 1e6)
    return statistics.median(times)


def _codec_rows() -> list[str]:
    submit = Submit("t", "k", "q", "key", "interactive", True, 1, 1, 0, 1, 1, "x" * 200, 1000)
    status = Status("m1", 7, True, 0, False, tuple(Owned(n, 3, True) for n in range(4)))
    rows = []
    for name, kind, body in (("submit", "submit", submit), ("ping", "ping", status)):
        envelope = Envelope(1, kind, body)
        data = encode(envelope)
        round_trip_us = _median_us(lambda e=envelope: decode(encode(e)))
        json_us = _median_us(lambda e=envelope: orjson.loads(orjson.dumps(e)))
        rows.append(
            f"codec {name}: {round_trip_us:.0f} us round trip, {len(data)} bytes; "
            f"JSON of the same message {json_us:.0f} us "
            f"(ratio {round_trip_us / json_us:.1f})"
        )
    return rows


def _config_rows() -> list[str]:
    old = sample_teams(TEAMS)
    raw = old.model_dump()
    new = {**raw, "teams": {**raw["teams"], "team-0": {**raw["teams"]["team-0"], "share": 9}}}
    document_bytes = len(orjson.dumps(raw))
    patch_bytes = len(orjson.dumps(create_merge_patch(raw, new)))

    def apply() -> Document:
        document = parse_document(new).unwrap()
        digest_document(document)
        return document

    return [
        f"configuration with {TEAMS} teams, keys and queues: a change is validated and applied in "
        f"{_median_us(apply) / 1000:.2f} ms; {patch_bytes} bytes instead of {document_bytes} for "
        f"the whole document (ratio {document_bytes / patch_bytes:.0f})"
    ]


def _api_rows() -> list[str]:
    cell = new_cell()
    try:
        cell.start_platform(12)
        cell.start_daemon("m1", 1)
        document = sample_document(cell)
        for team in document["teams"].values():
            team["limit_tasks"] = 10_000
            team["limit_cpu_milli"] = 10_000_000
        cell.configure(document)
        cell.wait_healthy()
        cell.wait_for_owners()
        _send(cell, "warm", 1)
        single, batched = _send(cell, "single", 1), _send(cell, "batch", BATCH)
        return [
            f"HTTP API, one process: {single:.0f} requests/s singly, {batched:.0f} in batches of "
            f"{BATCH} (ratio {batched / single:.1f}), {CONNECTIONS} connections, each request "
            "placed, run for 1 ms and answered"
        ]
    finally:
        cell.close()


def _send(cell: Cell, prefix: str, size: int) -> float:
    """Send requests and return the number of successful ones per second.

    :param size: number of requests in each HTTP call
    """
    url = cell.daemons["m1"].url + "/v1/batch"

    def call(number: int) -> int:
        bodies = [_body(f"{prefix}-{number}-{index}") for index in range(size)]
        if size == 1:
            return cell.submit("m1", "fitting", bodies[0])["name"] == "OK"
        answers = cell.call(url, {"requests": bodies}, "fitting")["answers"]
        return sum(answer["name"] == "OK" for answer in answers)

    begin = time.perf_counter()
    with ThreadPoolExecutor(CONNECTIONS) as pool:
        done = sum(pool.map(call, range(REQUESTS // size)))
    return done / (time.perf_counter() - begin)


def _body(key: str) -> dict:
    return {
        "queue": "urgent",
        "request_key": key,
        "repeatable": True,
        "size": SIZE,
        "run_ms": 1,
        "payload": key,
        "timeout_ms": 20_000,
    }
