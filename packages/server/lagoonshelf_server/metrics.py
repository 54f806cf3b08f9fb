"""Metrics of the process, scraped over HTTP."""

from aioprometheus import REGISTRY, Counter, Gauge
from aioprometheus.renderer import render

answers = Counter("lagoonshelf_answers_total", "Answers to callers by result code.")
starts = Counter("lagoonshelf_starts_total", "Tasks started on workers by queue.")
queued = Gauge("lagoonshelf_queued_tasks", "Waiting tasks by partition.")
running = Gauge("lagoonshelf_running_tasks", "Running tasks by partition.")
revision = Gauge("lagoonshelf_config_revision", "Revision of the configuration in force.")
waited_ms = Counter("lagoonshelf_waited_ms_total", "Waiting time of started requests in ms.")

bytes_total = Counter(
    "lagoonshelf_bytes_total",
    "Payload bytes by kind of peer (peers, store, workers) and direction.",
)
store_calls = Counter("lagoonshelf_store_calls_total", "Calls to the store by path.")
deadline_warnings = Counter(
    "lagoonshelf_deadline_warnings_total", "Forecasts of a missed deadline by queue."
)


def count_sent(peer: str, size: int) -> None:
    """Count bytes sent; call on the event loop only, since counters are not thread-safe.

    :param peer: kind of peer: peers, store or workers
    """
    bytes_total.add({"peer": peer, "direction": "sent"}, size)


def count_received(peer: str, size: int) -> None:
    """Count bytes received; call on the event loop only, since counters are not thread-safe.

    :param peer: kind of peer: peers, store or workers
    """
    bytes_total.add({"peer": peer, "direction": "received"}, size)


def render_page() -> tuple[bytes, str]:
    """Return the metrics page and its content type."""
    body, headers = render(REGISTRY, ["text/plain"])
    return body, headers["Content-Type"]
