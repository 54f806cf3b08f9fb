"""Hashing and checking of team keys.

A key reads ``<key id>.<secret>``; only the salted hash of the secret is stored.
"""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lagoonshelf_core.document import Document, KeyConfig
from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.ids import KeyId, TeamId

SECRET_BYTES = 32
SALT_BYTES = 16


@dataclass(frozen=True, slots=True)
class Caller:
    """The team and key that a request came with."""

    team: TeamId
    key: KeyId


def new_key(key: KeyId, team: TeamId) -> tuple[str, KeyConfig]:
    """Create a key; return the text shown once and the entry to store.

    :param key: id of the key
    :param team: team the key belongs to
    """
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    return f"{key}.{secret}", KeyConfig(team=team, salt=salt, digest=hash_secret(salt, secret))


def hash_secret(salt: str, secret: str) -> str:
    """Return the hexadecimal hash of a secret.

    SHA-256 is enough: secrets are random 256-bit values and are not guessable.
    """
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def authenticate(document: Document, text: str | None) -> Result[Caller, Fault]:
    """Find the caller that a key belongs to.

    :param text: key as sent by the caller
    """
    if not text:
        return Failure(Fault(ResultCode.KEY_MISSING, "no key was sent"))
    key, _, secret = text.partition(".")
    entry = document.keys.get(key)
    if entry is None:
        return Failure(Fault(ResultCode.KEY_INVALID, "the key is unknown or withdrawn"))
    if not hmac.compare_digest(entry.digest, hash_secret(entry.salt, secret)):
        return Failure(Fault(ResultCode.KEY_INVALID, "the key is unknown or withdrawn"))
    return Success(Caller(TeamId(entry.team), KeyId(key)))
