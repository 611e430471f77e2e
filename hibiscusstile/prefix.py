"""Nested prefix levels of a prompt, as chained digests."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import xxhash

from hibiscusstile import identity, request

__all__ = ["estimate_tokens", "prefix_levels"]

_CHARS_PER_TOKEN = 4
_IMAGE_TOKENS = 600
_MAX_LEVELS = 16


def estimate_tokens(part: request.ContentPart) -> int:
    """Returns the estimated number of tokens of a piece of content."""
    if part.kind is request.PartKind.IMAGE:
        return _IMAGE_TOKENS
    return max(1, -(-len(part.text) // _CHARS_PER_TOKEN))


def prefix_levels(
    scope: identity.CacheScope, messages: Sequence[request.Message]
) -> tuple[request.PrefixLevel, ...]:
    """Returns the prompt's levels, outermost first, whole prompt last.

    Cache breakpoints end levels where the prompt has any; otherwise each
    message does. At most 16 levels are kept: the outermost 15 and the whole
    prompt, since the outer ones are the shared ones.

    Args:
        scope: Seeds the digests, so that scopes never share a level.
        messages: The prompt.
    """
    marked = any(p.breakpoint for m in messages for p in m.parts)
    levels = list(_walk(scope.seed, messages, marked))
    if len(levels) > _MAX_LEVELS:
        levels = [*levels[: _MAX_LEVELS - 1], levels[-1]]
    return tuple(levels)


def _walk(
    seed: int, messages: Sequence[request.Message], marked: bool
) -> Iterator[request.PrefixLevel]:
    digest = seed
    tokens = 0
    emitted = 0
    for message in messages:
        digest = _chain(digest, message.role)
        for part in message.parts:
            digest = _chain(digest, part.text)
            tokens += estimate_tokens(part)
            if part.breakpoint:
                emitted = tokens
                yield request.PrefixLevel(digest, tokens)
        if not marked:
            emitted = tokens
            yield request.PrefixLevel(digest, tokens)
    if emitted != tokens:
        yield request.PrefixLevel(digest, tokens)


def _chain(digest: int, text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode(), seed=digest)
