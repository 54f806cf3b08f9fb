"""Configuration revisions: encoding of changes and their application in order."""

from dataclasses import dataclass, field
from enum import Enum

import orjson
from returns.result import Failure, Result, Success

from lagoonshelf_core.document import (
    Document,
    apply_merge_patch,
    create_merge_patch,
    digest_document,
    parse_document,
)
from lagoonshelf_core.ids import Revision

SNAPSHOT_EVERY = 64  # revisions


class SkipReason(Enum):
    """Reason for which a change was not applied."""

    OLD = "old"
    GAP = "gap"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class Configuration:
    """A configuration document and its revision.

    :param raw: the document as a JSON object
    """

    revision: Revision = Revision(0)
    document: Document = field(default_factory=Document)
    raw: dict = field(default_factory=lambda: Document().model_dump())


def encode_change(current: Configuration, document: Document, token: str) -> str:
    """Encode the next revision as a store value.

    :param token: random writer token; after a lost answer it shows whether the write succeeded
    """
    revision = current.revision + 1
    new = document.model_dump()
    body = {"revision": revision, "token": token, "digest": digest_document(document)}
    if revision % SNAPSHOT_EVERY == 0:
        body["snapshot"] = new
    else:
        body["patch"] = create_merge_patch(current.raw, new)
    return orjson.dumps(body).decode()


def encode_snapshot(current: Configuration) -> str:
    """Encode a change that sets the current document regardless of the reader's revision."""
    digest = digest_document(current.document)
    body = {"revision": current.revision, "token": "", "digest": digest, "snapshot": current.raw}
    return orjson.dumps(body).decode()


def apply_change(current: Configuration, text: str) -> Result[Configuration, SkipReason]:
    """Return the configuration that results from a change.

    :param text: store value of a revision
    """
    try:
        change = orjson.loads(text)
        revision = int(change["revision"])
        if revision <= current.revision:
            return Failure(SkipReason.OLD)
        if "snapshot" in change:
            raw = change["snapshot"]
        elif revision == current.revision + 1:
            raw = apply_merge_patch(current.raw, change["patch"])
        else:
            return Failure(SkipReason.GAP)
        return _check(revision, raw, change["digest"])
    except (ValueError, KeyError, TypeError):
        return Failure(SkipReason.BROKEN)


def first_kept_revision(revision: int) -> int:
    """Return the oldest revision that must be kept, which is the last snapshot but one."""
    return max(0, (revision // SNAPSHOT_EVERY - 1) * SNAPSHOT_EVERY)


def _check(revision: int, raw: object, digest: str) -> Result[Configuration, SkipReason]:
    parsed = parse_document(raw)
    if isinstance(parsed, Failure) or digest_document(parsed.unwrap()) != digest:
        return Failure(SkipReason.BROKEN)
    document = parsed.unwrap()
    return Success(Configuration(Revision(revision), document, document.model_dump()))
