"""Internal representation of chat requests and service calls."""

from __future__ import annotations

import dataclasses
import enum

__all__ = [
    "ChatRequest",
    "ContentPart",
    "Message",
    "PartKind",
    "PrefixLevel",
    "ServiceCall",
    "ServiceReply",
    "WorkItem",
]


class PartKind(enum.Enum):
    """Kind of a content part."""

    TEXT = "text"
    IMAGE = "image"


@dataclasses.dataclass(frozen=True, slots=True)
class ContentPart:
    """One part of a message's content.

    Attributes:
        kind: Text, or an image as a data URI.
        text: The text or the data URI.
        breakpoint: Whether the caller set a cache breakpoint after the part.
    """

    kind: PartKind
    text: str
    breakpoint: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One chat message."""

    role: str
    parts: tuple[ContentPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """A validated chat completion request.

    Attributes:
        model: The requested model's name.
        adapter: The adapter's name, empty without one.
        messages: The prompt.
        max_tokens: Maximum number of tokens to generate.
        stream: Whether the caller requested server-sent events.
        user: The caller within the workspace, for fair queuing.
    """

    model: str
    adapter: str
    messages: tuple[Message, ...]
    max_tokens: int
    stream: bool
    user: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """An HTTP call to a plain service.

    Attributes:
        application: Name of the application record.
        method: HTTP method in upper case.
        path: Path relative to the application, without a leading slash.
        query: Raw query string.
        content_type: Media type of the body, empty without a body.
        body: Request body.
        idempotency_key: Value of the caller's idempotency key, or None.
    """

    application: str
    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    idempotency_key: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReply:
    """Response of a plain service."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixLevel:
    """One nested level of a prompt's prefix.

    Attributes:
        digest: Chained 64-bit digest of all content up to its end.
        tokens: Estimated tokens of all content up to its end.
    """

    digest: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkItem:
    """The properties of a request that routing and admission use.

    Attributes:
        work_id: Request identifier.
        workspace: The workspace it belongs to.
        caller: The caller within the workspace.
        rank: The rank's name.
        model: The model's name.
        adapter: The adapter's name, empty without one.
        levels: Prefix levels, from outermost to whole prompt.
        prompt_tokens: Estimated tokens of the whole prompt.
        max_tokens: Maximum number of tokens to generate.
        suspect: Whether it is suspected of having crashed an engine.
    """

    work_id: str
    workspace: str
    caller: str
    rank: str
    model: str
    adapter: str
    levels: tuple[PrefixLevel, ...]
    prompt_tokens: int
    max_tokens: int
    suspect: bool = False
