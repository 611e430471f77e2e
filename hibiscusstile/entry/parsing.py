"""Validates callers' chat bodies and turns them into data classes."""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Sequence
from typing import Annotated, Any, Literal

import pydantic

from hibiscusstile import outcome, request

__all__ = ["parse_chat", "parse_idempotency_key"]

_MAX_KEY_LENGTH = 255

_DATA_URI = re.compile(r"data:image/[a-z0-9.+-]+;base64,", re.ASCII)
_Text = Annotated[str, pydantic.StringConstraints(max_length=5_000_000)]


class _Lenient(pydantic.BaseModel):
    """Callers' clients send fields that matter to other servers only."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class _CacheControl(_Lenient):
    type: str = "ephemeral"


class _ImageUrl(_Lenient):
    url: _Text


class _TextPart(_Lenient):
    type: Literal["text"]
    text: _Text
    cache_control: _CacheControl | None = None


class _ImagePart(_Lenient):
    type: Literal["image_url"]
    image_url: _ImageUrl
    cache_control: _CacheControl | None = None


_Part = Annotated[_TextPart | _ImagePart, pydantic.Field(discriminator="type")]


class _Message(_Lenient):
    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: _Text | Annotated[list[_Part], pydantic.Field(max_length=256)]


class _ChatBody(_Lenient):
    model: Annotated[str, pydantic.Field(min_length=1, max_length=200)]
    messages: Annotated[
        list[_Message], pydantic.Field(min_length=1, max_length=1024)
    ]
    stream: bool = False
    max_tokens: Annotated[int, pydantic.Field(ge=1, le=131072)] = 256
    max_completion_tokens: (
        Annotated[int, pydantic.Field(ge=1, le=131072)] | None
    ) = None
    adapter: Annotated[str, pydantic.Field(max_length=200)] = ""
    user: Annotated[str, pydantic.Field(max_length=200)] = ""


def parse_chat(body: bytes, *, image_bytes: int) -> request.ChatRequest:
    """Returns the request in a chat body.

    Args:
        body: JSON of the chat-completions protocol.
        image_bytes: Most bytes of one decoded image.

    Raises:
        Refused: `bad_request` or `too_large`, with `not_run`.
    """
    try:
        parsed = _ChatBody.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise _bad_request(_describe(error)) from None
    return request.ChatRequest(
        model=parsed.model,
        adapter=parsed.adapter,
        messages=tuple(_message(m, image_bytes) for m in parsed.messages),
        max_tokens=parsed.max_completion_tokens or parsed.max_tokens,
        stream=parsed.stream,
        user=parsed.user,
    )


def parse_idempotency_key(keys: Sequence[str]) -> str | None:
    """Returns the key of an `Idempotency-Key` header, None without one.

    Args:
        keys: The header's values.

    Raises:
        Refused: It could be read as another key by another process.
    """
    if not keys:
        return None
    key = keys[0]
    readable = key.isascii() and key.isprintable()
    if len(keys) > 1 or not readable or not 1 <= len(key) <= _MAX_KEY_LENGTH:
        raise _bad_request(
            "Idempotency-Key must be one text of 1 to 255 ASCII characters",
        )
    return key


def _message(message: _Message, image_bytes: int) -> request.Message:
    content = message.content
    if isinstance(content, str):
        part = request.ContentPart(request.PartKind.TEXT, content)
        return request.Message(message.role, (part,))
    parts = tuple(_part(part, image_bytes) for part in content)
    return request.Message(message.role, parts)


def _part(
    part: _TextPart | _ImagePart, image_bytes: int
) -> request.ContentPart:
    marked = part.cache_control is not None
    if isinstance(part, _TextPart):
        return request.ContentPart(request.PartKind.TEXT, part.text, marked)
    _check_image(part.image_url.url, image_bytes)
    return request.ContentPart(
        request.PartKind.IMAGE, part.image_url.url, marked
    )


def _check_image(uri: str, image_bytes: int) -> None:
    match = _DATA_URI.match(uri)
    if match is None:
        raise _bad_request("image_url must be a base64 image data URI")
    try:
        data = base64.b64decode(uri[match.end() :], validate=True)
    except (binascii.Error, ValueError):
        raise _bad_request("image_url is not valid base64") from None
    if len(data) > image_bytes:
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.TOO_LARGE,
                f"an image exceeds {image_bytes} bytes",
            )
        )


def _describe(error: pydantic.ValidationError) -> str:
    first: Any = error.errors(include_input=False, include_url=False)[0]
    where = ".".join(str(part) for part in first["loc"])
    return f"{where}: {first['msg']}" if where else str(first["msg"])


def _bad_request(message: str) -> outcome.Refused:
    return outcome.Refused(outcome.Refusal(outcome.Reason.BAD_REQUEST, message))
