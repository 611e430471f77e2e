"""Tokenization and text generation of the stand-in engine.

Each generated word depends only on the prompt and the word's position, so
that a test can compute the expected output and check a resumed response.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from typing import Any

__all__ = ["block_keys", "count_prompt_tokens", "expected_words", "prompt_text"]

_CHARS_PER_TOKEN = 4
_IMAGE_TOKENS = 600


def expected_words(messages: list[dict[str, Any]], count: int) -> list[str]:
    """Returns the words that the engine generates for a prompt.

    Args:
        messages: Chat messages; content is text or a list of parts.
        count: Number of words.
    """
    seed = hashlib.sha256(prompt_text(messages).encode()).hexdigest()
    return [
        hashlib.sha256(f"{seed}{i}".encode()).hexdigest()[:5] + " "
        for i in range(count)
    ]


def prompt_text(messages: list[dict[str, Any]]) -> str:
    """Returns the roles and contents of all messages as one string."""
    texts = []
    for message in messages:
        texts.append(message["role"])
        texts += [text for text, _ in _content_parts(message)]
    return "\x1f".join(texts)


def count_prompt_tokens(messages: list[dict[str, Any]]) -> int:
    """Returns the number of tokens in a prompt."""
    return sum(
        tokens for message in messages for _, tokens in _content_parts(message)
    )


def block_keys(
    salt: str, messages: list[dict[str, Any]], block_tokens: int
) -> list[str]:
    """Returns a key for each full block of a prompt, in prompt order.

    A key is a hash of the salt and of all content up to the end of its
    block, so that equal keys mean equal prefixes.

    Args:
        salt: The request's `cache_salt`.
        messages: The prompt.
        block_tokens: Block size in tokens.
    """
    digest = hashlib.sha256(salt.encode())
    keys = []
    tokens_to_boundary = block_tokens
    for message in messages:
        digest.update(f"\x1f{message['role']}".encode())
        for text, tokens in _content_parts(message):
            digest.update(b"\x1f")
            start = 0
            remaining = tokens
            while remaining >= tokens_to_boundary:
                end = start + tokens_to_boundary * _CHARS_PER_TOKEN
                digest.update(text[start:end].encode())
                keys.append(digest.copy().hexdigest())
                start = end
                remaining -= tokens_to_boundary
                tokens_to_boundary = block_tokens
            digest.update(text[start:].encode())
            tokens_to_boundary -= remaining
    return keys


def _content_parts(message: dict[str, Any]) -> Iterator[tuple[str, int]]:
    content = message["content"]
    if isinstance(content, str):
        content = [{"type": "text", "text": content}]
    for part in content:
        if "image_url" in part:
            # An image is hashed by its URL and counts a fixed number of tokens.
            yield part["image_url"]["url"], _IMAGE_TOKENS
        else:
            text = part["text"]
            yield text, max(1, -(-len(text) // _CHARS_PER_TOKEN))
