"""Stand-in for the platform's store: items with revisions, leases, watches and transactions."""

import asyncio
from base64 import b64decode, b64encode
from dataclasses import dataclass

import orjson

from tests.platform.standin.http import Request, Response, StubServer

# A page ends at the first of these limits; values are counted as transferred.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
WATCH_POLL_S = 0.005
# Duration of an ordinary call.
CALL_DELAY_S = 0.004


@dataclass(slots=True)
class _Entry:
    value: str
    revision: int
    created: int
    lease: int = 0


class StubStore:
    """In-memory store that all processes share."""

    def __init__(self) -> None:
        """Initialize an empty store."""
        self.server = StubServer(self._handle)
        self.entries: dict[str, _Entry] = {}
        self.revision = 100
        self.delay_s = CALL_DELAY_S
        self._events: list[tuple[int, str, dict]] = []
        self._compacted_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1

    def put(self, key: str, value: object) -> None:
        """Write a value as the operator or an executor does."""
        self.revision += 1
        self._put(key, b64encode(orjson.dumps(value)).decode(), 0)

    def read(self, key: str) -> dict:
        """Return the decoded value of a key."""
        return orjson.loads(b64decode(self.entries[key].value))

    def values(self, key: str) -> dict[int, dict]:
        """Return all values that a key has had, by revision."""
        return {
            revision: orjson.loads(b64decode(event["value"]))
            for revision, changed, event in self._events
            if changed == key and "value" in event
        }

    def delete(self, key: str) -> None:
        """Delete a key at the current revision."""
        if self.entries.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "deleted": True}
            self._events.append((self.revision, key, event))

    def compact_history(self) -> None:
        """Discard all events; watches from earlier revisions fail with status 410."""
        self._compacted_revision = self.revision

    async def expire_leases(self) -> None:
        """Expire leases until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = asyncio.get_running_loop().time()
            for lease, (expires_s, _) in list(self._leases.items()):
                if expires_s <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, entry in list(self.entries.items()):
            if entry.lease == lease:
                self.revision += 1
                self.delete(key)

    def _put(self, key: str, value: str, lease: int) -> None:
        old = self.entries.get(key)
        created = self.revision if old is None else old.created
        self.entries[key] = _Entry(value, self.revision, created, lease)
        self._events.append((self.revision, key, self._item(key)))

    def _item(self, key: str) -> dict:
        entry = self.entries[key]
        return {
            "key": key,
            "value": entry.value,
            "revision": entry.revision,
            "created": entry.created,
            "lease": entry.lease,
        }

    async def _handle(self, request: Request) -> Response:
        await asyncio.sleep(self.delay_s)
        name = request.path.removeprefix("/lagoonshelf/")
        if name == "kv-key":
            key = request.query["key"]
            return Response(200, self._item(key)) if key in self.entries else Response(404)
        if name == "kv-range":
            return self._range(request)
        if name == "kv-watch":
            return await self._watch(request)
        if name == "kv-txn":
            return self._transact(request.body)
        if name == "kv-lease":
            return self._grant_lease(request.body["ttl_ms"] / 1000)
        if name.startswith("kv-keep/"):
            return self._keep_lease(int(name.partition("/")[2]))
        if name.startswith("kv-lease-end/"):
            self._end_lease(int(name.partition("/")[2]))
            return Response(200)
        return Response(404)

    def _range(self, request: Request) -> Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.entries if key.startswith(prefix) and key > after)
        items: list[dict] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            items.append(self._item(key))
            size += len(items[-1]["value"])
            if size >= PAGE_BYTES:
                break
        has_more = len(keys) > len(items)
        return Response(200, {"items": items, "has_more": has_more, "at": self.revision})

    async def _watch(self, request: Request) -> Response:
        prefix, after = request.query["prefix"], request.get_int("after")
        deadline_s = asyncio.get_running_loop().time() + request.get_int("wait_ms") / 1000
        while True:
            if after < self._compacted_revision:
                return Response(410)
            found = [
                event
                for revision, key, event in self._events
                if revision > after and key.startswith(prefix)
            ]
            if found or asyncio.get_running_loop().time() >= deadline_s:
                return Response(200, {"events": found, "at": self.revision})
            await asyncio.sleep(WATCH_POLL_S)

    def _transact(self, body: dict) -> Response:
        for row in body["expected_revision"]:
            entry = self.entries.get(row["key"])
            if (0 if entry is None else entry.revision) != row["revision"]:
                keys = [r["key"] for r in body["expected_revision"] if r["key"] in self.entries]
                return Response(412, {"items": [self._item(key) for key in keys]})
        if any(put.get("lease", 0) not in {0, *self._leases} for put in body["puts"]):
            return Response(404)
        # All writes of a transaction have the same revision.
        self.revision += 1
        for put in body["puts"]:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body["deletes"]:
            self.delete(key)
        return Response(200, {"revision": self.revision})

    def _grant_lease(self, ttl_s: float) -> Response:
        self._next_lease += 1
        self._leases[self._next_lease] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return Response(200, {"lease": self._next_lease, "ttl_ms": int(ttl_s * 1000)})

    def _keep_lease(self, lease: int) -> Response:
        if lease not in self._leases:
            return Response(404)
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return Response(200, {"ttl_ms": int(ttl_s * 1000)})
