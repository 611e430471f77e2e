"""Requests as the inside of the program sees them."""

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
    """Kind of a piece of message content."""

    TEXT = "text"
    IMAGE = "image"


@dataclasses.dataclass(frozen=True, slots=True)
class ContentPart:
    """A piece of message content.

    Attributes:
        kind: Text, or an image as a data URI.
        text: The text or the data URI.
        breakpoint: True where the caller marked the end of a prefix level.
    """

    kind: PartKind
    text: str
    breakpoint: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One message of a chat."""

    role: str
    parts: tuple[ContentPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """A model request after the border.

    Attributes:
        model: The requested model's name.
        adapter: The adapter's name, empty without one.
        messages: The prompt.
        max_tokens: The most tokens to generate.
        stream: Whether the caller wants server-sent events.
        user: The caller within the workspace, for fairness.
    """

    model: str
    adapter: str
    messages: tuple[Message, ...]
    max_tokens: int
    stream: bool
    user: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service.

    Attributes:
        application: The application's name in the records.
        method: The HTTP method in upper case.
        path: The path below the application, without a leading slash.
        query: The raw query string.
        content_type: The body's type, empty without a body.
        body: The body's bytes.
        idempotency_key: The caller's key, None without one.
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
    """A plain service's answer: HTTP status, content type and body."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixLevel:
    """One nested level of a prompt's prefix.

    Attributes:
        digest: Chained 64-bit digest of all content up to this level.
        tokens: Estimated tokens of all content up to this level.
    """

    digest: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkItem:
    """What routing and admission know of a request.

    Attributes:
        work_id: Identifier of the request.
        workspace: The workspace it belongs to.
        caller: The caller within the workspace.
        rank: The rank's name.
        model: The model's name.
        adapter: The adapter's name, empty without one.
        levels: Prefix levels from the outermost to the whole prompt.
        prompt_tokens: Estimated tokens of the whole prompt.
        max_tokens: The most tokens to generate.
        suspect: Whether it was running when an engine crashed.
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
