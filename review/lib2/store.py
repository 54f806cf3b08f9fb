"""Stand-in of the platform's store, with an outage and the limit on the size of a value."""

import asyncio
from base64 import b64decode, b64encode
from bisect import bisect_right

import orjson

from tests.platform.standin.http import Request, Response, StubServer

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
CALL_DELAY_S = 0.004
MAX_VALUE_BYTES = 1_048_576
MAX_ENTRIES = 32
MAX_WATCH_MS = 30_000


class Store:
    """Items with revisions, leases, watches and transactions, as ``PROTOCOL.md`` says."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.server = StubServer(self._handle)
        self.items: dict[str, dict] = {}
        self.revision = 100
        self.is_down = False
        self.refused_sizes: list[tuple[str, int]] = []
        self._down_since = 0.0
        self._event_revisions: list[int] = []
        self._events: list[dict] = []
        self._leases: dict[int, list[float]] = {}
        self._next_lease = 7_000
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Write a value as the operator or an executor does."""
        self.revision += 1
        self._put(key, b64encode(orjson.dumps(value)).decode(), 0)
        self._wake()

    def delete(self, key: str) -> None:
        """Delete a key as the platform does."""
        if key in self.items:
            self.revision += 1
            self._delete(key)
            self._wake()

    def read(self, key: str) -> dict | None:
        """Return the decoded value of a key, None if there is none."""
        item = self.items.get(key)
        return None if item is None else orjson.loads(b64decode(item["value"]))

    def history(self, key: str) -> list[dict]:
        """Return all values that a key has had."""
        values = [event.get("value") for event in self._events if event["key"] == key]
        return [orjson.loads(b64decode(value)) for value in values if value]

    def stop(self) -> None:
        """Go down: calls are neither executed nor answered, and leases pause."""
        self.is_down, self._down_since = True, _now()

    def resume(self) -> None:
        """Come back."""
        self.is_down = False
        for lease in self._leases.values():
            lease[0] += _now() - self._down_since

    async def expire_leases(self) -> None:
        """End leases that are over, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if self.is_down:
                continue
            for lease, (end_s, _) in list(self._leases.items()):
                if end_s <= _now():
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def _put(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        created = self.revision if old is None else old["created"]
        item = {"key": key, "value": value, "revision": self.revision, "created": created}
        self.items[key] = {**item, "lease": lease}
        self._add_event(self.items[key])

    def _delete(self, key: str) -> None:
        del self.items[key]
        self._add_event({"key": key, "revision": self.revision, "deleted": True})

    def _add_event(self, event: dict) -> None:
        self._event_revisions.append(self.revision)
        self._events.append(event)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> Response:
        await asyncio.sleep(CALL_DELAY_S)
        if self.is_down:
            await asyncio.sleep(3_600)
        name = request.path.removeprefix("/lagoonshelf/")
        if name == "kv-key":
            item = self.items.get(request.query["key"])
            return Response(404) if item is None else Response(200, {**item, "at": self.revision})
        if name == "kv-range":
            return self._range(request)
        if name == "kv-watch":
            return await self._watch(request)
        if name == "kv-txn":
            return self._transact(request.body)
        return self._handle_lease(name, request)

    def _handle_lease(self, name: str, request: Request) -> Response:
        call, _, number = name.partition("/")
        if call == "kv-lease":
            self._next_lease += 1
            ttl_s = request.body["ttl_ms"] / 1000
            self._leases[self._next_lease] = [_now() + ttl_s, ttl_s]
            return Response(200, {"lease": self._next_lease, "ttl_ms": int(ttl_s * 1000)})
        if call == "kv-keep" and int(number) in self._leases:
            lease = self._leases[int(number)]
            lease[0] = _now() + lease[1]
            return Response(200, {"ttl_ms": int(lease[1] * 1000)})
        if call == "kv-lease-end" and int(number) in self._leases:
            self._end_lease(int(number))
            return Response(200)
        return Response(404)

    def _range(self, request: Request) -> Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            items.append(self.items[key])
            size += len(self.items[key]["value"])
            if size >= PAGE_BYTES:
                break
        has_more = len(keys) > len(items)
        return Response(200, {"items": items, "has_more": has_more, "at": self.revision})

    async def _watch(self, request: Request) -> Response:
        prefix, after = request.query["prefix"], request.get_int("after")
        end_s = _now() + min(request.get_int("wait_ms"), MAX_WATCH_MS) / 1000
        while True:
            changed = self._changed
            first = bisect_right(self._event_revisions, after)
            found = [event for event in self._events[first:] if event["key"].startswith(prefix)]
            if found or _now() >= end_s:
                return Response(200, {"events": found, "at": self.revision})
            after = self.revision
            try:
                async with asyncio.timeout(max(0.0, end_s - _now())):
                    await changed.wait()
            except TimeoutError:
                pass
            if self.is_down:
                await asyncio.sleep(3_600)

    def _transact(self, body: dict) -> Response:
        expected, puts = body["expected_revision"], body["puts"]
        if len(expected) + len(puts) + len(body["deletes"]) > MAX_ENTRIES:
            return Response(400)
        for put in puts:
            size = len(b64decode(put["value"]))
            if size > MAX_VALUE_BYTES:
                self.refused_sizes.append((put["key"], size))
                return Response(400)
        for row in expected:
            item = self.items.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                keys = [row["key"] for row in expected if row["key"] in self.items]
                return Response(412, {"items": [self.items[key] for key in keys]})
        if any(put.get("lease", 0) not in {0, *self._leases} for put in puts):
            return Response(404)
        self.revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body["deletes"]:
            if key in self.items:
                self._delete(key)
        self._wake()
        return Response(200, {"revision": self.revision})


def _now() -> float:
    return asyncio.get_running_loop().time()
