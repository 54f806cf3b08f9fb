"""Client of the platform's key-value store and host list."""

import secrets
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from lagoonshelf_core.ids import FailureDomain, RackId, WorkerId
from lagoonshelf_core.model import WorkerInfo
from lagoonshelf_core.resources import Resources
from lagoonshelf_server import metrics
from lagoonshelf_server.bridge import Bridge

CALL_TIMEOUT_S = 2.0
WATCH_WAIT_MS = 10_000
PAGE_KEYS = 500
CALL_THREADS = 48
LEASE_THREADS = 8  # renewals overlap while the store is slow
WATCH_THREADS = 2


class StoreError(Exception):
    """The store did not answer, or returned an error."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value and version.

    :param version: 0 when the key is absent
    """

    key: str
    value: str | None
    version: int


@dataclass(frozen=True, slots=True)
class Event:
    """A change returned by a watch; the value is none after a deletion."""

    key: str
    value: str | None


@dataclass(frozen=True, slots=True)
class Events:
    """Result of a watch.

    :param reset: whether the history is no longer available and the keys must be read again
    :param revision: revision from which the next watch continues
    """

    reset: bool
    events: tuple[Event, ...]
    revision: int


class StoreClient:
    """Calls to the store; each runs on a thread without blocking the event loop."""

    def __init__(self, url: str, bridge: Bridge, now_ms: Callable[[], int], client: str) -> None:
        """Initialize the connection and thread pools.

        :param url: base URL of the store
        :param now_ms: clock
        :param client: name of this process
        """
        self.last_contact_ms = -1
        self._url = url
        self._bridge = bridge
        self._now_ms = now_ms
        self._client = client
        self._http = urllib3.PoolManager(maxsize=CALL_THREADS, retries=False)
        self._calls = bridge.add_pool("store", CALL_THREADS)
        self._leases = bridge.add_pool("lease", LEASE_THREADS)
        self._watches = bridge.add_pool("watch", WATCH_THREADS)

    async def get(self, key: str) -> Item:
        """Read one key.

        :raises StoreError: when the store cannot be reached
        """
        raw = await self._call("/get", {"key": key})
        return Item(key, raw["value"], raw["version"])

    async def list_keys(
        self, prefix: str, after: str = "", page: int = PAGE_KEYS
    ) -> tuple[list[Item], int]:
        """Return all keys with a prefix in order, and the store's revision at the first page.

        :param after: only keys that sort after this one are read
        :param page: number of keys per call; small if values are large
        """
        items: list[Item] = []
        revision = -1
        while True:
            raw = await self._call("/list", {"prefix": prefix, "after": after, "limit": page})
            revision = raw["revision"] if revision < 0 else revision
            items += [Item(i["key"], i["value"], i["version"]) for i in raw["items"]]
            if len(raw["items"]) < page:
                return items, revision
            after = items[-1].key

    async def cas(self, key: str, value: str, version: int, lease: str | None = None) -> bool:
        """Write a key if it has the expected version.

        :param version: expected version, 0 for a key that must be absent
        :raises StoreError: when the outcome is not known
        """
        body = {"key": key, "value": value, "version": version, "lease": lease}
        raw = await self._call("/cas", body)
        return raw["ok"]

    async def cas_confirmed(
        self, key: str, value: str, version: int, lease: str | None = None
    ) -> bool:
        """Write a key like ``cas`` and read it back if the answer was lost.

        :param value: must be unique to this write, so that reading it back proves the write
        :raises StoreError: when the outcome is not known
        """
        try:
            return await self.cas(key, value, version, lease)
        except StoreError:
            item = await self.get(key)
            return item.value == value

    async def delete(self, key: str, version: int) -> bool:
        """Delete a key if it has the expected version."""
        raw = await self._call("/delete", {"key": key, "version": version})
        return raw["ok"]

    async def grant_lease(self, ttl_ms: int) -> str:
        """Create a lease; its keys are deleted when it expires."""
        raw = await self._call("/lease/grant", {"ttl_ms": ttl_ms})
        return raw["lease"]

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return false if it has expired."""
        raw = await self._call("/lease/renew", {"lease": lease})
        return raw["ok"]

    async def revoke_lease(self, lease: str) -> None:
        """Revoke a lease and delete its keys."""
        await self._call("/lease/revoke", {"lease": lease})

    async def watch(self, prefixes: list[str], revision: int) -> Events:
        """Wait for changes after a revision, for at most ``WATCH_WAIT_MS``."""
        body = {"prefixes": prefixes, "revision": revision, "wait_ms": WATCH_WAIT_MS}
        raw = await self._call("/watch", body, WATCH_WAIT_MS / 1000 + CALL_TIMEOUT_S)
        events = tuple(Event(event["key"], event["value"]) for event in raw["events"])
        return Events(raw["reset"], events, raw["revision"])

    async def hosts(self) -> list[WorkerInfo]:
        """Return the platform's list of workers, which may lag behind the actual state."""
        raw = await self._call("/hosts", {})
        return [_worker_info(host) for host in raw["hosts"]]

    def reached(self, within_ms: int) -> bool:
        """Return whether the store answered recently."""
        return self.last_contact_ms >= 0 and self._now_ms() - self.last_contact_ms < within_ms

    async def _call(self, path: str, body: dict, timeout_s: float = CALL_TIMEOUT_S) -> dict:
        body["client"] = self._client
        pool = self._pool_of(path)
        data = orjson.dumps(body)
        metrics.store_calls.inc({"call": path})
        metrics.count_sent("store", len(data))
        answer, size = await self._bridge.run_blocking_in(pool, self._post, path, data, timeout_s)
        metrics.count_received("store", size)
        self.last_contact_ms = self._now_ms()
        return answer

    def _pool_of(self, path: str) -> ThreadPoolExecutor:
        if path.startswith("/lease/"):
            return self._leases
        return self._watches if path == "/watch" else self._calls

    def _post(self, path: str, data: bytes, timeout_s: float) -> tuple[dict, int]:
        """Send a request; return the answer and its size in bytes."""
        try:
            resp = self._http.request("POST", self._url + path, body=data, timeout=timeout_s)
        except HTTPError as exc:
            raise StoreError(f"{path}: {type(exc).__name__}") from exc
        if resp.status != 200:
            raise StoreError(f"{path}: status {resp.status}")
        try:
            return orjson.loads(resp.data), len(resp.data)
        except ValueError as exc:
            raise StoreError(f"{path}: the answer is not JSON") from exc


def writer_token() -> str:
    """Return a random token that proves later whether a write took effect."""
    return secrets.token_hex(8)


def _worker_info(host: dict) -> WorkerInfo:
    return WorkerInfo(
        worker=WorkerId(host["worker"]),
        address=host["address"],
        failure_domain=FailureDomain(host["failure_domain"]),
        rack=RackId(host["rack"]),
        capacity=Resources(**host["capacity"]),
        leaving=host["leaving"],
        fencing=host["fencing"],
        boot_id=host.get("boot_id", ""),
    )
