"""The configuration of this process: follows revisions and applies changes."""

import orjson
from lagoonshelf_core.document import (
    Document,
    difference,
    digest_document,
    merge_patch,
    parse_document,
)
from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.ids import Revision
from returns.result import Failure, Result, Success

from lagoonshelf_server.logs import logger
from lagoonshelf_server.store import StoreClient, StoreError, writer_token

PREFIX = "config/"
SNAPSHOT_EVERY = 64
_log = logger("config")


def revision_key(revision: int) -> str:
    """Return the store key of a revision; keys sort in revision order."""
    return f"{PREFIX}{revision:012d}"


class ConfigSync:
    """The document in force and the changes that led to it."""

    def __init__(self, store: StoreClient) -> None:
        """Begin with an empty document at revision 0."""
        self.revision = Revision(0)
        self.document = Document()
        self.raw: dict = Document().model_dump()
        self.changes: dict[int, str] = {}
        self._store = store

    async def load(self) -> None:
        """Read all revisions from the store.

        :raises StoreError: when the store cannot be reached
        """
        items, _ = await self._store.list_keys(PREFIX)
        for item in items:
            self.apply(item.value or "")

    def apply(self, text: str) -> bool:
        """Apply the store value of one revision if it is the next or a later snapshot.

        :returns: whether the document changed
        """
        change = orjson.loads(text)
        revision = change["revision"]
        if revision <= self.revision:
            return False
        if "snapshot" in change:
            raw = change["snapshot"]
        elif revision == self.revision + 1:
            raw = merge_patch(self.raw, change["patch"])
        else:
            return False
        document = parse_document(raw).unwrap()
        if digest_document(document) != change["digest"]:
            _log.error("configuration digest differs", revision=revision)
            return False
        self.document = document
        self.raw = document.model_dump()
        self.revision = Revision(revision)
        self.changes[revision] = text
        _log.info("configuration applied", revision=revision)
        return True

    async def propose(self, base: int, raw: object) -> Result[Revision, Fault]:
        """Validate a document and make it the next revision.

        :param base: revision that the operator saw
        """
        parsed = parse_document(raw)
        if isinstance(parsed, Failure):
            return parsed
        if base != self.revision:
            return Failure(_conflict(base, self.revision))
        text = self._encode(base + 1, parsed.unwrap())
        written = await self._write(revision_key(base + 1), text)
        if isinstance(written, Failure):
            return written
        if not written.unwrap():
            return Failure(_conflict(base, base + 1))
        self.apply(text)
        return Success(Revision(base + 1))

    def _encode(self, revision: int, document: Document) -> str:
        new = document.model_dump()
        body: dict = {"revision": revision, "token": writer_token()}
        body["digest"] = digest_document(document)
        if revision % SNAPSHOT_EVERY == 0:
            body["snapshot"] = new
        else:
            body["patch"] = difference(self.raw, new)
        return orjson.dumps(body).decode()

    async def _write(self, key: str, text: str) -> Result[bool, Fault]:
        try:
            return Success(await self._store.cas(key, text, 0))
        except StoreError:
            pass
        try:
            item = await self._store.get(key)
        except StoreError:
            text = "the outcome is not known; read the configuration before retrying"
            return Failure(Fault(ResultCode.WRITE_UNKNOWN, text))
        if item.value is None:
            return Failure(Fault(ResultCode.STORE_UNAVAILABLE, "the store cannot be reached"))
        return Success(item.value == text)


def _conflict(base: int, current: int) -> Fault:
    text = f"the document was based on revision {base}, the current one is {current}"
    return Fault(ResultCode.CONFIG_CONFLICT, text)
