"""The description of a request whose placement operators ask for."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Annotated

import pydantic

__all__ = [
    "PlacementQuery",
    "PromptPartQuery",
    "QueryError",
    "from_fields",
    "parse_query",
]

_MAX_TEXT_LENGTH = 4096
_MAX_TOKENS = 2**40
_MAX_PARTS = 256

_Text = Annotated[str, pydantic.Field(max_length=_MAX_TEXT_LENGTH)]
_Tokens = Annotated[int, pydantic.Field(ge=0, le=_MAX_TOKENS)]


class QueryError(ValueError):
    """The description of a request is malformed."""


class _QueryModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PromptPartQuery(_QueryModel):
    """One part of a prompt.

    Attributes:
        part: Identifier of the part's content.
        tokens: Length in tokens.
    """

    part: Annotated[str, pydantic.Field(min_length=1, max_length=256)]
    tokens: _Tokens


class PlacementQuery(_QueryModel):
    """A request that is described and not sent.

    Attributes:
        host: Host that the request names.
        path: Path of the request.
        workspace: Name of the caller's workspace; empty for a caller without a
            key.
        model: Name of the model; empty for a plain service.
        parts: Parts of the prompt, in order.
        prompt_tokens: Length of the prompt; 0 for the sum of the parts.
        output_tokens: Upper bound on generated tokens.
        body_bytes: Size of the body.
        request_id: Identifier of the request, which decides between the
            services of a traffic split.
    """

    host: _Text
    path: Annotated[_Text, pydantic.Field(pattern="^/")]
    workspace: _Text = ""
    model: _Text = ""
    parts: Annotated[
        tuple[PromptPartQuery, ...], pydantic.Field(max_length=_MAX_PARTS)
    ] = ()
    prompt_tokens: _Tokens = 0
    output_tokens: _Tokens = 0
    body_bytes: Annotated[int, pydantic.Field(ge=0, le=2**30)] = 0
    request_id: _Text = ""

    @property
    def total_prompt_tokens(self) -> int:
        """Length of the prompt in tokens."""
        return self.prompt_tokens or sum(part.tokens for part in self.parts)


def parse_query(body: bytes) -> PlacementQuery:
    """Decodes a description from JSON.

    Raises:
        QueryError: It is malformed; the message names field and cause.
    """
    try:
        return PlacementQuery.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise QueryError(_describe(error)) from None


def from_fields(
    fields: Mapping[str, object], parts: Sequence[str]
) -> PlacementQuery:
    """Returns a description from its fields, and parts as `ID:TOKENS`.

    Raises:
        QueryError: A value is malformed; the message names it.
    """
    prompt = []
    for text in parts:
        part_id, _, tokens = text.rpartition(":")
        prompt.append({"part": part_id, "tokens": tokens})
    try:
        return PlacementQuery.model_validate({**fields, "parts": prompt})
    except pydantic.ValidationError as error:
        raise QueryError(_describe(error)) from None


def _describe(error: pydantic.ValidationError) -> str:
    first = error.errors()[0]
    field = ".".join(str(each) for each in first["loc"]) or "body"
    value = json.dumps(first.get("input"), default=str)[:80]
    return f"{field}: {first['msg']}, not {value}"
