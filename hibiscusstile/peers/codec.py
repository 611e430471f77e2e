"""Encodes and decodes the CBOR frames of the peer protocol."""

from __future__ import annotations

import dataclasses
import functools
from typing import Any

import cbor2
import pydantic

from hibiscusstile import registry
from hibiscusstile.peers import messages

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Envelope",
    "Frame",
    "FrameError",
    "decode",
    "encode",
    "encode_frame",
]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 6 * 1024 * 1024
_ENVELOPE_LENGTH = 4


class FrameError(ValueError):
    """The frame is invalid; its connection must be closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A received message.

    Attributes:
        protocol_version: The sender's protocol version.
        revision: The sender's configuration revision.
        message: The decoded message.
    """

    protocol_version: int
    revision: int
    message: messages.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """An encoded message, which may be sent to several peers.

    Attributes:
        name: Name of the message type.
        data: The encoded frame.
    """

    name: str
    data: bytes


@functools.cache
def _type_adapter(name: str) -> pydantic.TypeAdapter[Any]:
    cls: Any = messages.message_types.get_by_name(name)
    return pydantic.TypeAdapter(cls)


def encode(message: messages.PeerMessage, revision: int) -> bytes:
    """Encodes a message.

    Args:
        message: An instance of a registered message type.
        revision: The sender's configuration revision.

    Raises:
        FrameError: The frame exceeds `MAX_FRAME_BYTES`, or the message has a
            value that cannot be encoded.
    """
    fields = _type_adapter(message.name).dump_python(
        message, exclude_defaults=True
    )
    try:
        frame = cbor2.dumps(
            [PROTOCOL_VERSION, revision, message.name, fields],
            default=_encode_enum,
        )
    except (cbor2.CBOREncodeError, ValueError) as error:
        # Text with lone surrogates raises UnicodeEncodeError, a ValueError.
        raise FrameError(
            f"message {message.name!r} cannot be encoded: {error!r}"
        ) from None
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError(f"message {message.name!r} exceeds the frame limit")
    return frame


def encode_frame(message: messages.PeerMessage, revision: int) -> Frame:
    """Encodes a message for several peers.

    Args:
        message: An instance of a registered message type.
        revision: The sender's configuration revision.

    Raises:
        FrameError: As for `encode`.
    """
    return Frame(message.name, encode(message, revision))


def decode(frame: bytes) -> Envelope:
    """Decodes and validates a frame.

    Raises:
        FrameError: The frame is not a valid message.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError("frame exceeds the size limit")
    try:
        envelope = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise FrameError(f"frame is not CBOR: {error}") from None
    if not isinstance(envelope, list) or len(envelope) != _ENVELOPE_LENGTH:
        raise FrameError("frame is not an array of four elements")
    version, revision, name, fields = envelope
    if not isinstance(version, int) or not isinstance(revision, int):
        raise FrameError("protocol version and revision must be integers")
    if not isinstance(name, str) or not isinstance(fields, dict):
        raise FrameError("message type must be a string and fields a map")
    return Envelope(version, revision, _validate_message(name, fields))


def _validate_message(
    name: str, fields: dict[Any, Any]
) -> messages.PeerMessage:
    try:
        message: messages.PeerMessage = _type_adapter(name).validate_python(
            fields
        )
    except registry.NameNotFound as error:
        raise FrameError(str(error)) from None
    except pydantic.ValidationError as error:
        first_error = error.errors(include_input=False, include_url=False)[0]
        field_path = ".".join(str(part) for part in first_error["loc"])
        raise FrameError(
            f"{name}: {field_path}: {first_error['msg']}"
        ) from None
    return message


def _encode_enum(encoder: Any, value: Any) -> None:
    encoder.encode(value.value)
