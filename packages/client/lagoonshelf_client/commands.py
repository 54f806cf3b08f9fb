"""The commands of ``lagoonshelf``."""

import getpass
import os
import secrets
import time
from collections.abc import Callable
from pathlib import Path

import orjson
from returns.result import Failure, Result, Success

from lagoonshelf_client.api import Client, Connection
from lagoonshelf_client.explain import explain, format_line, read_lines
from lagoonshelf_client.team_usage import find_usage
from lagoonshelf_core.document import create_merge_patch, parse_document
from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.ids import KeyId, TeamId, is_valid_id
from lagoonshelf_core.keys import new_key

URLS_VARIABLE = "LAGOONSHELF_URLS"
KEY_VARIABLE = "LAGOONSHELF_KEY"
DEFAULT_URL = "http://127.0.0.1:8080"
DEFAULT_RETRY_TIMEOUT_S = 60.0

Report = Callable[[Result], None]


class ConfigCommands:
    """Read, check and change the configuration (operator key)."""

    def __init__(self, client: Callable[[], Client], report: Report) -> None:
        """Create the commands."""
        self._client = client
        self._report = report

    def get(self) -> None:
        """Print the revision and document in force.

        Example: lagoonshelf config get > cell.json
        """
        self._report(self._client().get_config())

    def check(self, file: str) -> None:
        """Check a document without sending it.

        Example: lagoonshelf config check cell.json
        """
        document = _read_document(file).bind(lambda raw: parse_document(raw["document"]))
        self._report(document.map(lambda found: {"valid": True, **_counts(found.model_dump())}))

    def diff(self, file: str) -> None:
        """Print the change to a new document, as a JSON merge patch.

        Example: lagoonshelf config diff cell.json
        """
        current = self._client().get_config()
        change = _read_document(file).bind(
            lambda new: current.map(
                lambda old: create_merge_patch(old["document"], new["document"])
            )
        )
        self._report(change)

    def apply(self, file: str) -> None:
        """Make a document the next revision; this fails if the configuration has changed since.

        The file is the output of ``config get`` with an edited document.
        Example: lagoonshelf config apply cell.json
        """
        result = _read_document(file).bind(
            lambda raw: self._client().put_config(raw["revision"], raw["document"])
        )
        self._report(result)


class KeyCommands:
    """Create, list and withdraw team keys (operator key)."""

    def __init__(self, client: Callable[[], Client], report: Report) -> None:
        """Create the commands."""
        self._client = client
        self._report = report

    def create(self, key: str, team: str) -> None:
        """Create a key and print its text, which is shown only once.

        Example: lagoonshelf keys create desk-1 fitting
        """
        if not is_valid_id(key):
            self._report(Failure(Fault(ResultCode.BAD_REQUEST, f"key id {key!r} is not valid")))
            return
        text, entry = new_key(KeyId(key), TeamId(team))
        change = {"keys": {key: entry.model_dump()}}
        self._report(self._change(change, key, False).map(lambda answer: {**answer, "key": text}))

    def withdraw(self, key: str) -> None:
        """Withdraw a key.

        Example: lagoonshelf keys withdraw desk-1
        """
        self._report(self._change({"keys": {key: None}}, key, True))

    def list(self) -> None:
        """Print the ids of all keys and their teams."""
        current = self._client().get_config()
        self._report(
            current.map(
                lambda found: {name: k["team"] for name, k in found["document"]["keys"].items()}
            )
        )

    def _change(self, change: dict, key: str, must_exist: bool) -> Result[dict, Fault]:
        client = self._client()
        current = client.get_config()
        if isinstance(current, Failure):
            return current
        found = current.unwrap()
        if (key in found["document"]["keys"]) != must_exist:
            text = f"key {key!r} {'does not exist' if must_exist else 'exists already'}"
            return Failure(Fault(ResultCode.BAD_REQUEST, text))
        document = found["document"]
        keys = {**document["keys"], **change["keys"]}
        kept = {name: entry for name, entry in keys.items() if entry is not None}
        return client.put_config(found["revision"], {**document, "keys": kept})


class DomainCommands:
    """Evacuate and restore failure domains (operator key)."""

    def __init__(self, client: Callable[[], Client], report: Report) -> None:
        """Create the commands."""
        self._client = client
        self._report = report

    def evacuate(self, name: str, by: str | None = None) -> None:
        """Start nothing more on the workers of a failure domain until it is restored.

        Running tasks go on. The user's name is recorded unless --by names another.
        Example: lagoonshelf domains evacuate rack-hall-2 --by="night shift"
        """
        name = str(name)
        if not is_valid_id(name):
            self._report(Failure(Fault(ResultCode.BAD_REQUEST, f"domain {name!r} is not valid")))
            return
        requested_by = str(by or _user_name())
        if not requested_by:
            self._report(Failure(Fault(ResultCode.BAD_REQUEST, "--by: the user has no name")))
            return
        requested_ms = time.time_ns() // 1_000_000
        self._report(
            self._change(name, {"requested_by": requested_by, "requested_ms": requested_ms})
        )

    def restore(self, name: str) -> None:
        """End the evacuation of a failure domain.

        Example: lagoonshelf domains restore rack-hall-2
        """
        self._report(self._change(str(name), None))

    def list(self) -> None:
        """Print the evacuated failure domains, who requested it, and when."""
        current = self._client().get_config()
        self._report(current.map(lambda found: found["document"].get("evacuations", {})))

    def _change(self, name: str, entry: dict | None) -> Result[dict, Fault]:
        """Add or remove an evacuation; a revision that was made meanwhile is kept."""
        client = self._client()
        current = client.get_config()
        if isinstance(current, Failure):
            return current
        found = current.unwrap()
        evacuations = found["document"].get("evacuations", {})
        if (name in evacuations) != (entry is None):
            text = f"domain {name!r} is {'not' if entry is None else 'already'} evacuated"
            return Failure(Fault(ResultCode.BAD_REQUEST, text))
        changed = {key: value for key, value in evacuations.items() if key != name}
        if entry is not None:
            changed[name] = entry
        document = {**found["document"], "evacuations": changed}
        return client.put_config(found["revision"], document)


class TeamCommands:
    """Print figures of the teams."""

    def __init__(self, report: Report) -> None:
        """Create the commands."""
        self._report = report

    def usage(self, url: str) -> None:
        """Print past use, entitlement and longest delay of each team, or that they are unknown.

        Only the leader knows them, so give the metrics addresses of all processes.
        Example: lagoonshelf teams usage --url=http://192.0.2.1:9101,http://192.0.2.2:9101
        """
        self._report(find_usage(_split_urls(url)))


class Commands:
    """Submit work to a cell and operate the cell.

    The cell's URLs come from --urls or LAGOONSHELF_URLS (separated by commas),
    the key from LAGOONSHELF_KEY. With --json each command prints one line of JSON.
    Exit codes: 0 done, 1 the work ran and failed, 2 usage error, 3 not run,
    4 may have run.
    """

    def __init__(self, report: Report, urls: str | None = None) -> None:
        """Create the commands.

        :param report: prints a result and stores its exit code
        :param urls: base URLs separated by commas
        """
        self._report = report
        self._urls = urls
        self.config = ConfigCommands(self._client, report)
        self.keys = KeyCommands(self._client, report)
        self.domains = DomainCommands(self._client, report)
        self.teams = TeamCommands(report)

    def explain(self, request: str, *files: str) -> None:
        """Print the log lines of several processes that explain one request, in order of time.

        Example: lagoonshelf explain 5c0e7a21d94b36f8 entry-1.log entry-2.log
        """
        try:
            found = explain(str(request), read_lines(files))
        except OSError as exc:
            self._report(Failure(Fault(ResultCode.BAD_REQUEST, str(exc))))
            return
        if not found:
            text = f"no log line of request {request} in {len(files)} files"
            self._report(Failure(Fault(ResultCode.NOT_FOUND, text)))
            return
        for line in found:
            print(format_line(line, found[0].at_ms))

    def submit(
        self,
        queue: str,
        repeatable: bool,
        request_key: str | None = None,
        kind: str = "interactive",
        cpu_milli: int = 1000,
        memory_mib: int = 512,
        accelerators: int = 0,
        run_ms: int = 0,
        tasks: int = 1,
        payload: str = "",
        timeout_ms: int = 30_000,
        patience_s: float = DEFAULT_RETRY_TIMEOUT_S,
    ) -> None:
        """Submit a request and, if it is interactive, print its result.

        Example: lagoonshelf submit urgent --repeatable=True --payload="scalp map 7"
        Example: lagoonshelf submit month-end --repeatable=False --kind=batch --tasks=40
        """
        request = {
            "queue": queue,
            "request_key": str(request_key or secrets.token_hex(16)),
            "kind": kind,
            "repeatable": repeatable,
            "size": {
                "cpu_milli": cpu_milli,
                "memory_mib": memory_mib,
                "accelerators": accelerators,
            },
            "run_ms": run_ms,
            "tasks": tasks,
            "payload": str(payload),
            "timeout_ms": timeout_ms,
        }
        self._report(self._client().submit(request, patience_s))

    def where(
        self,
        url: str,
        file: str = "",
        queue: str = "",
        team: str = "",
        tasks: int = 1,
        cpu_milli: int = 1000,
        memory_mib: int = 512,
        accelerators: int = 0,
        run_ms: int = 0,
        gang: bool = False,
        label: str = "",
    ) -> None:
        """Print where a job would start if it were submitted now; nothing is submitted.

        The URLs are the metrics addresses of any processes, which ask the leader.
        Example: lagoonshelf where --url=http://192.0.2.1:9101 --queue=urgent --team=fitting
        Example: lagoonshelf where --url=http://192.0.2.1:9101 --file=job.json
        """
        step = {
            "count": tasks,
            "cpu_milli": cpu_milli,
            "memory_mib": memory_mib,
            "accelerators": accelerators,
            "estimate_ms": run_ms,
            "is_gang": gang,
            "label": str(label),
        }
        described = {"queue": str(queue), "team": str(team), "steps": [step]}
        job = read_json(str(file)) if file else Success(described)
        client = Client(Connection(_split_urls(url), ""))
        self._report(job.bind(client.where))

    def status(self, request_key: str) -> None:
        """Print the state of a request.

        Example: lagoonshelf status run-2026-11
        """
        self._report(self._client().status(str(request_key)))

    def cancel(self, request_key: str) -> None:
        """Cancel a request.

        Example: lagoonshelf cancel run-2026-11
        """
        self._report(self._client().cancel(str(request_key)))

    def dump(self) -> None:
        """Print the state of the first API process (operator key)."""
        self._report(self._client().dump())

    def drain(self) -> None:
        """Start a graceful shutdown of the first API process (operator key)."""
        self._report(self._client().drain())

    def _client(self) -> Client:
        urls = self._urls or os.environ.get(URLS_VARIABLE, DEFAULT_URL)
        return Client(Connection(_split_urls(urls), os.environ.get(KEY_VARIABLE, "")))


def _user_name() -> str:
    """Return the name of the user of this process, "" if there is none."""
    try:
        return getpass.getuser()
    except (ImportError, KeyError, OSError):
        return ""


def read_json(file: str) -> Result[object, Fault]:
    """Return the content of a JSON file."""
    try:
        return Success(orjson.loads(Path(file).read_bytes()))
    except OSError as exc:
        text = f"cannot read {file!r}: {exc.strerror}"
        return Failure(Fault(ResultCode.BAD_REQUEST, text))
    except ValueError as exc:
        return Failure(Fault(ResultCode.CONFIG_INVALID, f"{file}: not valid JSON: {exc}"))


def _split_urls(url: str | list | tuple) -> tuple[str, ...]:
    parts = url if isinstance(url, (list, tuple)) else str(url).split(",")
    return tuple(str(part).strip().rstrip("/") for part in parts)


def _read_document(file: str) -> Result[dict, Fault]:
    return read_json(file).bind(lambda raw: _check_document(file, raw))


def _check_document(file: str, raw: object) -> Result[dict, Fault]:
    if not isinstance(raw, dict) or raw.keys() != {"revision", "document"}:
        text = f"{file}: must have exactly the keys revision and document"
        return Failure(Fault(ResultCode.CONFIG_INVALID, text))
    return Success(raw)


def _counts(document: dict) -> dict[str, int]:
    return {name: len(entries) for name, entries in document.items()}
