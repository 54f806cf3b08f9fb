"""Settings of the daemon: one source for flags, environment variables, checks and docs."""

from collections.abc import Mapping

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from lagoonshelf_core.errors import Fault, ResultCode

ENV_PREFIX = "LAGOONSHELF_"
ID_PATTERN = r"^[A-Za-z0-9._-]{1,64}$"
IP_V4_PATTERN = r"^(\d{1,3}\.){3}\d{1,3}$"
MAX_PORT = 65_535


def _field(default: object, unit: str, doc: str, **limits: object) -> object:
    return Field(default, description=doc, json_schema_extra={"unit": unit}, **limits)


class Settings(BaseModel):
    """All settings; a flag overrides an environment variable."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    member: str = _field(..., "", "Name of this process in the cell.", pattern=ID_PATTERN)
    failure_domain: str = _field(..., "", "Failure domain of this host.", pattern=ID_PATTERN)
    host: str = _field("127.0.0.1", "", "IP number to listen on.", pattern=IP_V4_PATTERN)
    http_port: int = _field(8080, "", "Port for callers and operators.", ge=1, le=MAX_PORT)
    peer_port: int = _field(8090, "", "Port for other daemon processes.", ge=1, le=MAX_PORT)
    store_url: str = _field(..., "", "Base URL of the platform's store.", pattern=r"^https?://")
    cluster_secret: str = _field(..., "", "Secret shared by all processes.", min_length=8)
    operator_key_sha256: str = _field(
        ..., "", "SHA-256 of the operator key.", pattern=r"^[0-9a-f]{64}$"
    )
    peers: str = _field("", "", "Addresses of peers to ask at start, separated by commas.")
    partitions: int = _field(4, "", "Number of partitions of the cell.", ge=1, le=256)
    http_threads: int = _field(96, "threads", "Requests held at once.", ge=4, le=512)
    lease_ttl_ms: int = _field(3000, "ms", "Time to live of the process lease.", ge=500)
    lease_margin_ms: int = _field(500, "ms", "Safety margin before the lease ends.", ge=50)
    lease_renew_ms: int = _field(1000, "ms", "Interval between lease renewals.", ge=50)
    takeover_margin_ms: int = _field(700, "ms", "Wait after an unclean owner change.", ge=0)
    ping_ms: int = _field(500, "ms", "Interval between pings to each member.", ge=50)
    promise_ms: int = _field(3000, "ms", "Length of a promise to take nothing over.", ge=100)
    fresh_ms: int = _field(4000, "ms", "How long a configuration counts as fresh.", ge=500)
    task_lease_ms: int = _field(6000, "ms", "Time to live of a task lease.", ge=500)
    task_renew_ms: int = _field(2000, "ms", "Interval between task lease renewals.", ge=100)
    start_timeout_ms: int = _field(2000, "ms", "Time limit of a start call.", ge=100)
    journal_flush_ms: int = _field(25, "ms", "Group commit interval of the journal.", ge=1)
    hosts_ms: int = _field(1000, "ms", "Interval between reads of the host list.", ge=50)
    drain_timeout_ms: int = _field(60_000, "ms", "Longest graceful shutdown.", ge=0)
    retain_ms: int = _field(300_000, "ms", "How long answers are kept.", ge=1000)
    log_level: str = _field(
        "INFO", "", "Least level that is logged.", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )


def load_settings(flags: Mapping[str, object], env: Mapping[str, str]) -> Result[Settings, Fault]:
    """Return the settings from flags and environment variables, or a fault.

    :param flags: values by setting name
    :param env: environment variables; those that start with ``LAGOONSHELF_`` are settings
    """
    values: dict[str, object] = {
        name.removeprefix(ENV_PREFIX).lower(): text
        for name, text in env.items()
        if name.startswith(ENV_PREFIX)
    }
    values.update({name: _to_text(value) for name, value in flags.items()})
    try:
        settings = Settings.model_validate(values)
    except ValidationError as exc:
        return Failure(Fault(ResultCode.BAD_SETTING, _describe(exc)))
    return _check_intervals(settings)


def _to_text(value: object) -> object:
    """Return a flag value as text: Fire parses a hash that looks like a number as one."""
    return str(value)


def _check_intervals(settings: Settings) -> Result[Settings, Fault]:
    if settings.lease_renew_ms + settings.lease_margin_ms >= settings.lease_ttl_ms:
        text = "lease_ttl_ms: must exceed lease_renew_ms plus lease_margin_ms"
        return Failure(Fault(ResultCode.BAD_SETTING, text))
    if settings.task_renew_ms * 2 >= settings.task_lease_ms:
        text = "task_lease_ms: must exceed twice task_renew_ms"
        return Failure(Fault(ResultCode.BAD_SETTING, text))
    return Success(settings)


def _describe(exc: ValidationError) -> str:
    parts = []
    for error in exc.errors():
        name = ".".join(str(item) for item in error["loc"])
        text = "no such setting" if error["type"] == "extra_forbidden" else error["msg"]
        parts.append(f"{name}: {text}")
    return "; ".join(parts)
