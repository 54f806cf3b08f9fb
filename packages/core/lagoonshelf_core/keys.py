"""Creation and verification of team keys.

A key has the form ``<key id>.<secret>``; only a salted hash of the secret is stored.
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
class ClientIdentity:
    """Team of an authenticated client, and the id of its key."""

    team: TeamId
    key: KeyId


def new_key(key: KeyId, team: TeamId) -> tuple[str, KeyConfig]:
    """Create a key and return its text, which is shown only once, and the entry to store.

    :param key: id of the key
    :param team: team that the key belongs to
    """
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    return f"{key}.{secret}", KeyConfig(team=team, salt=salt, digest=hash_secret(salt, secret))


def hash_secret(salt: str, secret: str) -> str:
    """Return the hexadecimal hash of a secret.

    A slow password hash is not needed: secrets are random 256-bit values, so they cannot be
    guessed, and SHA-256 is sufficient.
    """
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def authenticate(document: Document, text: str | None) -> Result[ClientIdentity, Fault]:
    """Return the team and key id of the client that sent a key.

    :param text: key as sent by the client
    """
    if not text:
        return Failure(Fault(ResultCode.KEY_MISSING, "no key was sent"))
    key, _, secret = text.partition(".")
    entry = document.keys.get(key)
    if entry is None:
        return Failure(Fault(ResultCode.KEY_INVALID, "the key is unknown or withdrawn"))
    if not hmac.compare_digest(entry.digest, hash_secret(entry.salt, secret)):
        return Failure(Fault(ResultCode.KEY_INVALID, "the key is unknown or withdrawn"))
    return Success(ClientIdentity(TeamId(entry.team), KeyId(key)))
