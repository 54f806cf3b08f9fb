"""Stand-in of the key-value service and the host list of the platform.

Run as ``python -m lagoonshelf_standins.store --port 7000``.
"""

import threading
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from fire import Fire

from lagoonshelf_standins.http import make_server

MAX_VALUE_BYTES = 1024 * 1024
MAX_EVENTS = 10_000
SERVER_THREADS = 160
SLOW_MS = 1500


class Mode(Enum):
    """Fault mode of the service."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"


@dataclass(slots=True)
class _Item:
    value: str
    version: int
    lease: str | None


class Store:
    """Key-value store with versions, leases that delete their keys, and an event history."""

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.counters: Counter[str] = Counter()
        self.writes: list[tuple[int, str, str | None]] = []
        self.hosts: list[dict] = []
        self.mode = Mode.UP
        self.blocked: set[str] = set()
        self._items: dict[str, _Item] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._events: list[tuple[int, str, str | None]] = []
        self._revision = 0
        self._first_event = 0
        self._next_lease = 0
        self._changed = threading.Condition()

    def handle(self, path: str, body: dict) -> tuple[int, object]:
        """Handle a call.

        :param path: path of the call
        :param body: decoded body; ``client`` names the client, which may be blocked
        """
        if path == "/control":
            return self._control(body)
        if path == "/counters":
            return 200, dict(self.counters)
        if path == "/history":
            return 200, self.writes
        mode = Mode.DOWN if body.get("client") in self.blocked else self.mode
        if mode is Mode.DOWN:
            return 503, {"error": "down"}
        if mode is Mode.SLOW:
            time.sleep(SLOW_MS / 1000)
        calls = {
            "/get": self._get,
            "/list": self._list,
            "/cas": self._cas,
            "/delete": self._delete,
            "/lease/grant": self._lease_grant,
            "/lease/renew": self._lease_renew,
            "/lease/revoke": self._lease_revoke,
            "/watch": self._watch,
            "/hosts": self._hosts,
        }
        if path not in calls:
            return 404, {"error": f"no such call: {path}"}
        self.counters[path] += 1
        answer = calls[path](body)
        if mode is Mode.LOSE_ANSWERS and path in ("/cas", "/delete"):
            return 504, {"error": "answer lost"}
        return 200, answer

    def expire_leases(self) -> None:
        """Delete expired leases and their keys."""
        now = time.monotonic()
        with self._changed:
            expired = [lease for lease, (end, _) in self._leases.items() if end <= now]
            for lease in expired:
                self._drop_lease(lease)

    def _control(self, body: dict) -> tuple[int, object]:
        with self._changed:
            if "mode" in body:
                self.mode = Mode(body["mode"])
            if "blocked" in body:
                self.blocked = set(body["blocked"])
            if "hosts" in body:
                self.hosts = body["hosts"]
            self._changed.notify_all()
        return 200, {}

    def _get(self, body: dict) -> object:
        with self._changed:
            item = self._items.get(body["key"])
            if item is None:
                return {"value": None, "version": 0}
            return {"value": item.value, "version": item.version}

    def _list(self, body: dict) -> object:
        with self._changed:
            found = [
                {"key": key, "value": item.value, "version": item.version}
                for key, item in sorted(self._items.items())
                if key.startswith(body["prefix"]) and key > body.get("after", "")
            ]
            limit = body.get("limit", 1000)
            return {"items": found[:limit], "revision": self._revision}

    def _cas(self, body: dict) -> object:
        key, value = body["key"], body["value"]
        if len(value.encode()) > MAX_VALUE_BYTES:
            return {"ok": False, "error": "too large"}
        with self._changed:
            item = self._items.get(key)
            current = item.version if item else 0
            if current != body["version"]:
                return {"ok": False, "version": current}
            lease = body.get("lease")
            if lease is not None and lease not in self._leases:
                return {"ok": False, "error": "no such lease", "version": current}
            self._record(key, value)
            self._items[key] = _Item(value, self._revision, lease)
            return {"ok": True, "version": self._revision}

    def _delete(self, body: dict) -> object:
        with self._changed:
            item = self._items.get(body["key"])
            if item is None or item.version != body["version"]:
                return {"ok": False, "version": item.version if item else 0}
            del self._items[body["key"]]
            self._record(body["key"], None)
            return {"ok": True}

    def _lease_grant(self, body: dict) -> object:
        with self._changed:
            self._next_lease += 1
            lease = f"lease-{self._next_lease}"
            ttl = body["ttl_ms"] / 1000
            self._leases[lease] = (time.monotonic() + ttl, ttl)
            return {"lease": lease}

    def _lease_renew(self, body: dict) -> object:
        with self._changed:
            current = self._leases.get(body["lease"])
            if current is None:
                return {"ok": False}
            self._leases[body["lease"]] = (time.monotonic() + current[1], current[1])
            return {"ok": True}

    def _lease_revoke(self, body: dict) -> object:
        with self._changed:
            if body["lease"] in self._leases:
                self._drop_lease(body["lease"])
            return {"ok": True}

    def _watch(self, body: dict) -> object:
        after, prefixes = body["revision"], tuple(body["prefixes"])
        end = time.monotonic() + body["wait_ms"] / 1000
        with self._changed:
            while True:
                if after < self._first_event or after > self._revision:
                    return {"reset": True, "events": [], "revision": self._revision}
                found = [
                    {"revision": revision, "key": key, "value": value}
                    for revision, key, value in self._events[after - self._first_event :]
                    if key.startswith(prefixes)
                ]
                left = end - time.monotonic()
                if found or left <= 0 or self.mode is Mode.DOWN:
                    return {"reset": False, "events": found, "revision": self._revision}
                self._changed.wait(left)

    def _hosts(self, body: dict) -> object:
        del body
        return {"hosts": self.hosts}

    def _drop_lease(self, lease: str) -> None:
        del self._leases[lease]
        for key in [key for key, item in self._items.items() if item.lease == lease]:
            del self._items[key]
            self._record(key, None)

    def _record(self, key: str, value: str | None) -> None:
        self._revision += 1
        self._events.append((self._revision, key, value))
        self.writes.append((self._revision, key, value))
        if len(self._events) > MAX_EVENTS:
            drop = MAX_EVENTS // 2
            del self._events[:drop]
            self._first_event += drop
        self._changed.notify_all()


def serve(host: str = "127.0.0.1", port: int = 7000) -> None:
    """Serve the store until the process is terminated.

    :param host: loopback address to listen on
    :param port: port to listen on
    """
    store = Store()
    threading.Thread(target=_expire_forever, args=(store,), daemon=True).start()
    make_server(host, port, store.handle, SERVER_THREADS).safe_start()


def _expire_forever(store: Store) -> None:
    while True:
        time.sleep(0.05)
        store.expire_leases()


if __name__ == "__main__":
    Fire(serve)
