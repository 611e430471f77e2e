"""Converts the engines' JSON messages to and from data classes."""

from __future__ import annotations

from typing import Any, TypeVar

import pydantic

from hibiscusstile import backends, outcome, request

__all__ = [
    "encode_engine_order",
    "encode_generation_request",
    "parse_events",
    "parse_health",
    "parse_line",
    "parse_load",
    "stream_refusal",
]

_SSE_DATA_PREFIX = b"data: "
_ModelT = TypeVar("_ModelT", bound=pydantic.BaseModel)


class _Event(pydantic.BaseModel):
    number: int = 0
    kind: backends.BlockEventKind
    salt: str
    digest: int
    tokens: int


class _Events(pydantic.BaseModel):
    incarnation: str
    events: list[_Event]
    last_number: int = -1


class _Load(pydantic.BaseModel):
    running: int
    waiting: int
    prefill_tokens: int


class _Health(pydantic.BaseModel):
    incarnation: str
    model: str
    weights_version: str
    adapters: tuple[str, ...]
    role: str
    fencing_number: int


class _StreamEvent(pydantic.BaseModel):
    """One server-sent event of a generation stream."""

    event: str
    text: str = ""
    incarnation: str = ""
    cached_tokens: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    finish_reason: str = ""


def encode_generation_request(
    generation: backends.GenerationRequest,
) -> dict[str, Any]:
    """Returns the JSON body of a generation request."""
    return {
        "attempt_id": generation.attempt_id,
        "model": generation.chat.model,
        "adapter": generation.chat.adapter,
        "weights_version": generation.weights_version,
        "messages": [_encode_message(m) for m in generation.chat.messages],
        "max_tokens": generation.chat.max_tokens,
        "priority": generation.priority,
        "cache_salt": generation.cache_salt,
        "resume_text": generation.resume_text,
        "prefix_levels": [
            {"digest": level.digest, "tokens": level.tokens}
            for level in generation.prefix_levels
        ],
        "stream": True,
    }


def encode_engine_order(order: backends.EngineOrder) -> dict[str, Any]:
    """Returns the JSON body of an order."""
    return {
        "fencing_number": order.fencing_number,
        "model": order.model,
        "weights_version": order.weights_version,
        "adapters": list(order.adapters),
        "role": order.role,
    }


def parse_line(line: bytes) -> backends.EngineEvent | None:
    """Returns the event in a line of a stream, None if it has none.

    Raises:
        Refused: The event is malformed; the verdict is `may_have_run`.
    """
    if not line.startswith(_SSE_DATA_PREFIX):
        return None
    event = _parse(_StreamEvent, line[len(_SSE_DATA_PREFIX) :])
    if event is None:
        raise outcome.Refused(stream_refusal("malformed event"))
    if event.event == "started":
        return backends.EngineStarted(event.cached_tokens, event.incarnation)
    if event.event == "text":
        return backends.EngineText(event.text)
    if event.event == "end":
        return backends.EngineEnd(
            event.finish_reason,
            event.prompt_tokens,
            event.cached_tokens,
            event.completion_tokens,
        )
    return None


def parse_events(body: bytes | None) -> backends.CacheEvents | None:
    """Returns cache events, None if the body is missing or malformed."""
    page = _parse(_Events, body)
    if page is None:
        return None
    return backends.CacheEvents(
        page.incarnation,
        tuple(
            backends.BlockEvent(e.number, e.kind, e.salt, e.digest, e.tokens)
            for e in page.events
        ),
        page.last_number,
    )


def parse_health(body: bytes | None) -> backends.EngineHealth | None:
    """Returns the health, None if the body is missing or malformed."""
    page = _parse(_Health, body)
    if page is None:
        return None
    return backends.EngineHealth(**page.model_dump())


def parse_load(body: bytes | None) -> backends.EngineLoad | None:
    """Returns the load, None if the body is missing or malformed."""
    page = _parse(_Load, body)
    if page is None:
        return None
    return backends.EngineLoad(**page.model_dump())


def stream_refusal(
    detail: str,
    reason: outcome.Reason = outcome.Reason.BACKEND_FAILED,
) -> outcome.Refusal:
    """Returns the refusal for a stream that ended before its last event."""
    return outcome.Refusal(
        reason,
        f"the engine's stream broke: {detail}",
        outcome.Verdict.MAY_HAVE_RUN,
    )


def _parse(model: type[_ModelT], body: bytes | None) -> _ModelT | None:
    if body is None:
        return None
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError:
        return None


def _encode_message(message: request.Message) -> dict[str, Any]:
    return {
        "role": message.role,
        "content": [_encode_part(part) for part in message.parts],
    }


def _encode_part(part: request.ContentPart) -> dict[str, Any]:
    body: dict[str, Any]
    if part.kind is request.PartKind.IMAGE:
        body = {"type": "image_url", "image_url": {"url": part.text}}
    else:
        body = {"type": "text", "text": part.text}
    if part.breakpoint:
        body["cache_control"] = {"type": "ephemeral"}
    return body
