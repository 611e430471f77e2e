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
    has_breakpoints = any(p.breakpoint for m in messages for p in m.parts)
    levels = list(_iter_levels(scope.seed, messages, has_breakpoints))
    if len(levels) > _MAX_LEVELS:
        levels = [*levels[: _MAX_LEVELS - 1], levels[-1]]
    return tuple(levels)


def _iter_levels(
    seed: int, messages: Sequence[request.Message], has_breakpoints: bool
) -> Iterator[request.PrefixLevel]:
    digest = seed
    tokens = 0
    last_level_tokens = 0
    for message in messages:
        digest = _extend_digest(digest, message.role)
        for part in message.parts:
            digest = _extend_digest(digest, part.text)
            tokens += estimate_tokens(part)
            if part.breakpoint:
                last_level_tokens = tokens
                yield request.PrefixLevel(digest, tokens)
        if not has_breakpoints:
            last_level_tokens = tokens
            yield request.PrefixLevel(digest, tokens)
    if last_level_tokens != tokens:
        yield request.PrefixLevel(digest, tokens)


def _extend_digest(digest: int, text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode(), seed=digest)
