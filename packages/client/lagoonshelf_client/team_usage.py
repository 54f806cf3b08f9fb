"""Past use of the teams, from the metrics pages of processes."""

import re
from collections.abc import Callable, Iterable

import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import HTTPError

from lagoonshelf_core.errors import Fault, ResultCode

METRICS_TIMEOUT_S = 5.0
# A page has a few hundred lines; a longer one is not read to its end.
MAX_PAGE_BYTES = 4_000_000
UNKNOWN = "unknown"
_KNOWN = "lagoonshelf_usage_is_known 1"
# Team names are printed as they are, quotation marks included.
_ROW = re.compile(
    r'lagoonshelf_team_(use_core_ms|entitlement_core_ms|penalty_ms)\{team="(.*)"\} (\S+)$'
)

ReadPage = Callable[[str], str]


def read_page(url: str) -> str:
    """Return the metrics page of a process.

    :raises HTTPError: if there is no answer
    """
    http = urllib3.PoolManager(retries=False)
    resp = http.request("GET", url + "/metrics", timeout=METRICS_TIMEOUT_S, preload_content=False)
    try:
        return resp.read(MAX_PAGE_BYTES).decode(errors="replace")
    finally:
        resp.close()


def find_usage(urls: Iterable[str], read: ReadPage = read_page) -> Result[dict, Fault]:
    """Return the past use as the first process tells it that knows it, which only the leader does.

    :param urls: base URLs of the processes' metrics
    """
    reasons, answered = [], 0
    for url in urls:
        try:
            found = parse_usage(read(url))
        except (HTTPError, ValueError) as exc:
            reasons.append(f"{url}: {type(exc).__name__}")
            continue
        if found is not None:
            return Success({"from": url, "usage": found})
        answered += 1
    if not answered:
        return Failure(Fault(ResultCode.NOT_FOUND, "no metrics page from " + ", ".join(reasons)))
    reason = "no process asked leads the cell and has read the record of past use"
    return Success({"usage": UNKNOWN, "reason": reason, "unreachable": reasons})


def parse_usage(page: str) -> dict[str, dict[str, float]] | None:
    """Return the figures of each team from a metrics page, ``None`` if they are unknown.

    :raises ValueError: if a figure is no number
    """
    lines = page.splitlines()
    if _KNOWN not in lines:
        return None
    teams: dict[str, dict[str, float]] = {}
    for line in lines:
        row = _ROW.match(line)
        if row is not None:
            name, team, value = row.groups()
            teams.setdefault(team, {})[name] = round(float(value), 1)
    return teams
