"""Splits a prompt into nested prefix levels with chained digests."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import xxhash

from hibiscusstile import identity, request

__all__ = ["estimate_tokens", "prefix_levels"]

_CHARS_PER_TOKEN = 4
_IMAGE_TOKENS = 600
_MAX_LEVELS = 16


def estimate_tokens(part: request.ContentPart) -> int:
    """Estimates the number of tokens of a content part."""
    if part.kind is request.PartKind.IMAGE:
        return _IMAGE_TOKENS
    return max(1, -(-len(part.text) // _CHARS_PER_TOKEN))


def prefix_levels(
    scope: identity.CacheScope, messages: Sequence[request.Message]
) -> tuple[request.PrefixLevel, ...]:
    """Returns a prompt's prefix levels, from outermost to whole prompt.

    Levels end at cache breakpoints, or at message ends if the prompt has no
    breakpoints. At most 16 levels are kept: the outermost 15, which are the
    ones that prompts share, and the whole prompt.

    Args:
        scope: Seeds the digests so that levels of other scopes differ.
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
