"""Parses and validates chat requests and idempotency keys."""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Sequence
from typing import Annotated, Any, Literal

import pydantic

from hibiscusstile import outcome, request

__all__ = ["parse_chat", "parse_idempotency_key"]

_MAX_IDEMPOTENCY_KEY_CHARS = 255

_DATA_URI = re.compile(r"data:image/[a-z0-9.+-]+;base64,", re.ASCII)
_LimitedText = Annotated[str, pydantic.StringConstraints(max_length=5_000_000)]


class _LenientModel(pydantic.BaseModel):
    """Ignores unknown fields; clients also send fields for other servers."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class _CacheControl(_LenientModel):
    type: str = "ephemeral"


class _ImageUrl(_LenientModel):
    url: _LimitedText


class _TextPart(_LenientModel):
    type: Literal["text"]
    text: _LimitedText
    cache_control: _CacheControl | None = None


class _ImagePart(_LenientModel):
    type: Literal["image_url"]
    image_url: _ImageUrl
    cache_control: _CacheControl | None = None


_Part = Annotated[_TextPart | _ImagePart, pydantic.Field(discriminator="type")]


class _Message(_LenientModel):
    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: (
        _LimitedText | Annotated[list[_Part], pydantic.Field(max_length=256)]
    )


class _ChatBody(_LenientModel):
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


def parse_chat(body: bytes, *, max_image_bytes: int) -> request.ChatRequest:
    """Parses the body of a chat request.

    Args:
        body: JSON of the chat-completions protocol.
        max_image_bytes: Size limit of a decoded image.

    Raises:
        Refused: `bad_request` or `too_large`; the verdict is `not_run`.
    """
    try:
        parsed = _ChatBody.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise _bad_request(_format_error(error)) from None
    return request.ChatRequest(
        model=parsed.model,
        adapter=parsed.adapter,
        messages=tuple(
            _convert_message(m, max_image_bytes) for m in parsed.messages
        ),
        max_tokens=parsed.max_completion_tokens or parsed.max_tokens,
        stream=parsed.stream,
        user=parsed.user,
    )


def parse_idempotency_key(keys: Sequence[str]) -> str | None:
    """Returns the value of the `Idempotency-Key` header, None without one.

    Args:
        keys: All values of the header.

    Raises:
        Refused: There are several values, or the value is not 1 to 255
            printable ASCII characters. Other processes could read such a
            header as a different key.
    """
    if not keys:
        return None
    key = keys[0]
    is_printable_ascii = key.isascii() and key.isprintable()
    if (
        len(keys) > 1
        or not is_printable_ascii
        or not 1 <= len(key) <= _MAX_IDEMPOTENCY_KEY_CHARS
    ):
        raise _bad_request(
            "Idempotency-Key must be a single value of 1 to 255 printable "
            "ASCII characters",
        )
    return key


def _convert_message(
    message: _Message, max_image_bytes: int
) -> request.Message:
    content = message.content
    if isinstance(content, str):
        part = request.ContentPart(request.PartKind.TEXT, content)
        return request.Message(message.role, (part,))
    parts = tuple(_convert_part(part, max_image_bytes) for part in content)
    return request.Message(message.role, parts)


def _convert_part(
    part: _TextPart | _ImagePart, max_image_bytes: int
) -> request.ContentPart:
    is_breakpoint = part.cache_control is not None
    if isinstance(part, _TextPart):
        return request.ContentPart(
            request.PartKind.TEXT, part.text, is_breakpoint
        )
    _validate_image(part.image_url.url, max_image_bytes)
    return request.ContentPart(
        request.PartKind.IMAGE, part.image_url.url, is_breakpoint
    )


def _validate_image(data_uri: str, max_image_bytes: int) -> None:
    match = _DATA_URI.match(data_uri)
    if match is None:
        raise _bad_request("image_url must be a base64 image data URI")
    try:
        data = base64.b64decode(data_uri[match.end() :], validate=True)
    except (binascii.Error, ValueError):
        raise _bad_request("image_url is not valid base64") from None
    if len(data) > max_image_bytes:
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.TOO_LARGE,
                f"image_url exceeds {max_image_bytes} bytes when decoded",
            )
        )


def _format_error(error: pydantic.ValidationError) -> str:
    first_error: Any = error.errors(include_input=False, include_url=False)[0]
    location = ".".join(str(part) for part in first_error["loc"])
    return (
        f"{location}: {first_error['msg']}"
        if location
        else str(first_error["msg"])
    )


def _bad_request(message: str) -> outcome.Refused:
    return outcome.Refused(outcome.Refusal(outcome.Reason.BAD_REQUEST, message))
