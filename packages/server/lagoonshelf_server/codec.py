"""Encoding and decoding of peer messages with the Cap'n Proto schema."""

import dataclasses
from functools import cache
from pathlib import Path
from types import UnionType
from typing import get_args, get_origin, get_type_hints

import capnp
from returns.result import Failure, Result, Success

from lagoonshelf_core.errors import Fault, LagoonshelfError, ResultCode
from lagoonshelf_server.messages import (
    Ack,
    Advice,
    AdviceAsk,
    Answer,
    Body,
    ConfigAsk,
    ConfigCopy,
    ConfigCopyAsk,
    ConfigReply,
    Delegate,
    DelegateDone,
    DelegateQuery,
    DelegateReply,
    DelegateStates,
    DelegateStop,
    Envelope,
    Fence,
    FenceReply,
    GrantAsk,
    Hello,
    JobRecord,
    JobRef,
    JobStateReply,
    Pulse,
    PulseReply,
    Relayed,
    RequestRef,
    Status,
    Submit,
    WhereText,
)

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_UNPACKED_WORDS = 2 * 1024 * 1024  # 16 MiB; packed zeros expand about a thousandfold
SCHEMA_PATH = Path(__file__).parent / "wire" / "lagoonshelf.capnp"

BODY_TYPES: dict[str, type] = {
    "hello": Hello,
    "ping": Status,
    "pong": Status,
    "submit": Submit,
    "answer": Answer,
    "cancel": RequestRef,
    "lookup": RequestRef,
    "delegate": Delegate,
    "delegateReply": DelegateReply,
    "delegateDone": DelegateDone,
    "delegateQuery": DelegateQuery,
    "delegateStates": DelegateStates,
    "delegateStop": DelegateStop,
    "fence": Fence,
    "fenceReply": FenceReply,
    "grantAsk": GrantAsk,
    "configAsk": ConfigAsk,
    "configReply": ConfigReply,
    "ack": Ack,
    "jobAccepted": JobRecord,
    "jobCancelled": JobRef,
    "jobStateAsk": JobRef,
    "jobState": JobStateReply,
    "pulse": Pulse,
    "pulseReply": PulseReply,
    "adviceAsk": AdviceAsk,
    "advice": Advice,
    "relayJob": JobRecord,
    "relayCancel": JobRef,
    "relayed": Relayed,
    "configCopyAsk": ConfigCopyAsk,
    "configCopy": ConfigCopy,
    "whereAsk": WhereText,
    "whereReply": WhereText,
}

capnp.remove_import_hook()
_schema = capnp.load(str(SCHEMA_PATH))


def encode(envelope: Envelope) -> bytes:
    """Encode a message.

    :raises LagoonshelfError: when a value does not fit the schema or the message is too large
    """
    message = _schema.Message.new_message(
        version=PROTOCOL_VERSION, id=envelope.id, reply=envelope.reply
    )
    try:
        message.body.from_dict({envelope.kind: _to_dict(envelope.body)})
    except (capnp.KjException, TypeError, ValueError, OverflowError) as exc:
        text = f"{envelope.kind}: a value does not fit the schema: {type(exc).__name__}"
        raise LagoonshelfError(Fault(ResultCode.PROTOCOL, text)) from exc
    data = message.to_bytes_packed()
    if len(data) > MAX_MESSAGE_BYTES:
        text = f"{envelope.kind} of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES}"
        raise LagoonshelfError(Fault(ResultCode.PROTOCOL, text))
    return data


def decode(data: bytes) -> Result[Envelope, Fault]:
    """Decode the message of a frame.

    :param data: packed bytes, at most ``MAX_MESSAGE_BYTES``
    """
    if len(data) > MAX_MESSAGE_BYTES:
        text = f"message of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES}"
        return Failure(Fault(ResultCode.PROTOCOL, text))
    try:
        message = _schema.Message.from_bytes_packed(data, MAX_UNPACKED_WORDS)
        kind = str(message.body.which())
        raw = getattr(message.body, kind).to_dict()
        body = _from_dict(BODY_TYPES[kind], raw)
        return Success(Envelope(message.id, kind, body, message.reply))
    except (capnp.KjException, KeyError, TypeError, ValueError) as exc:
        return Failure(Fault(ResultCode.PROTOCOL, f"garbled message: {type(exc).__name__}"))


def newer_message_id(data: bytes) -> int | None:
    """Return the id of a message from a newer protocol version, otherwise none.

    :param data: packed bytes that ``decode`` rejected
    """
    try:
        message = _schema.Message.from_bytes_packed(data, MAX_UNPACKED_WORDS)
        return message.id if message.version > PROTOCOL_VERSION else None
    except (capnp.KjException, ValueError):
        return None


@cache
def _camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.title() for part in tail)


def _to_dict(body: Body) -> dict:
    return {
        _camel_case(field.name): _to_value(getattr(body, field.name))
        for field in dataclasses.fields(body)
    }


def _to_value(value: object) -> object:
    if dataclasses.is_dataclass(value):
        return _to_dict(value)
    if isinstance(value, tuple):
        return [_to_value(item) for item in value]
    return value


def _from_dict(kind: type, raw: dict) -> Body:
    fields = {}
    for name, converter in _converters(kind).items():
        camel = _camel_case(name)
        if camel in raw:
            fields[name] = converter(raw[camel])
    return kind(**fields)


_converter_cache: dict[type, dict] = {}


def _converters(kind: type) -> dict:
    found = _converter_cache.get(kind)
    if found is None:
        hints = get_type_hints(kind)
        found = {field.name: _converter(hints[field.name]) for field in dataclasses.fields(kind)}
        _converter_cache[kind] = found
    return found


def _converter(hint: object) -> object:
    if get_origin(hint) is tuple:
        item = _converter(get_args(hint)[0])
        return lambda values: tuple(item(value) for value in values)
    if isinstance(hint, UnionType):
        raise TypeError(f"unions are not supported: {hint}")
    if dataclasses.is_dataclass(hint):
        return lambda raw: _from_dict(hint, raw)
    return hint
