"""Parses the envelope of configuration records.

Whether a record is accepted depends only on these rules and on the order of
the log. The rules must never change: two processes that treat a payload
differently hold different states from its offset on. JSON is therefore parsed
more strictly than the library does by default, so that no rule depends on the
version of the library or on limits of the interpreter.
"""

from __future__ import annotations

import json
import math
from typing import Annotated, Any

import pydantic

__all__ = [
    "MAX_DEPTH",
    "MAX_RECORD_BYTES",
    "Envelope",
    "EnvelopeError",
    "Name",
    "canonical_json",
    "parse_envelope",
    "parse_json",
]

MAX_RECORD_BYTES = 256 * 1024
MAX_DEPTH = 32
_MAX_INTEGER = 2**53 - 1
_MAX_INTEGER_DIGITS = 17  # 16 digits and a sign

Name = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"),
]


class EnvelopeError(ValueError):
    """A payload is not a well-formed record; the message gives the reason."""


class Envelope(pydantic.BaseModel):
    """A record as it is stored on the log.

    Attributes:
        kind: The kind of record.
        name: Its name within the kind.
        schema_version: Version of the body's schema, from 1.
        body: Its content, which does not influence acceptance.
        expect_revision: Expected offset of the last accepted record of this
            kind and name, -1 for none; the record is rejected if it differs.
            None skips this check.
        author: Who appended it, for information only.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)

    kind: Name
    name: Name
    schema_version: Annotated[int, pydantic.Field(ge=1)]
    body: dict[str, Any]
    expect_revision: int | None = None
    author: Annotated[str, pydantic.Field(max_length=200)] = ""


def parse_envelope(payload: bytes) -> Envelope:
    """Parses a payload into a record.

    Raises:
        EnvelopeError: The payload is not a well-formed record.
    """
    if len(payload) > MAX_RECORD_BYTES:
        raise EnvelopeError(f"record is larger than {MAX_RECORD_BYTES} bytes")
    document = parse_json(payload, MAX_DEPTH)
    try:
        return Envelope.model_validate(document)
    except pydantic.ValidationError as error:
        first_error = error.errors(include_input=False, include_url=False)[0]
        location = (
            ".".join(str(part) for part in first_error["loc"]) or "(record)"
        )
        raise EnvelopeError(
            f"envelope is malformed: {location}: {first_error['msg']}"
        ) from None


def parse_json(payload: bytes, max_depth: int) -> Any:
    """Parses JSON that has one meaning in every JSON library.

    Rejects text that is not UTF-8, duplicate keys, numbers that are not
    finite, integers over 53 bits, lone surrogates and deep nesting.

    Args:
        payload: The JSON text.
        max_depth: The deepest allowed nesting of arrays and objects.

    Raises:
        EnvelopeError: The payload breaks one of these rules.
    """
    try:
        document = json.loads(
            payload.decode("utf-8"),
            object_pairs_hook=_reject_duplicate_keys,
            parse_int=_parse_integer,
            parse_float=_parse_float,
            parse_constant=_reject_constant,
        )
        _check_depth(document, max_depth)
        canonical_json(document)
    except RecursionError:
        raise EnvelopeError(f"nested deeper than {max_depth} levels") from None
    except EnvelopeError:
        raise
    except ValueError as error:
        raise EnvelopeError(f"not valid JSON in UTF-8: {error}") from None
    return document


def canonical_json(document: Any) -> bytes:
    """Returns the canonical encoding of a document, used for digests."""
    return json.dumps(
        document,
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
        allow_nan=False,
    ).encode("utf-8")


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) != len(pairs):
        raise EnvelopeError("an object has a duplicate key")
    return document


def _parse_integer(text: str) -> int:
    if len(text) <= _MAX_INTEGER_DIGITS:
        value = int(text)
        if abs(value) <= _MAX_INTEGER:
            return value
    raise EnvelopeError("an integer exceeds 53 bits")


def _parse_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise EnvelopeError("a number is not finite")
    return value


def _reject_constant(text: str) -> float:
    raise EnvelopeError(f"{text} is not valid JSON")


def _check_depth(document: Any, max_depth: int) -> None:
    nodes = [document]
    for _ in range(max_depth):
        nodes = [child for node in nodes for child in _children(node)]
        if not nodes:
            return
    if any(isinstance(node, dict | list) for node in nodes):
        raise EnvelopeError(f"nested deeper than {max_depth} levels")


def _children(document: Any) -> list[Any]:
    if isinstance(document, dict):
        return list(document.values())
    return document if isinstance(document, list) else []
