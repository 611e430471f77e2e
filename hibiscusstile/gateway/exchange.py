"""Requests, answers and outcomes of attempts, free of any encoding."""

from __future__ import annotations

import abc
import contextlib
import dataclasses
import enum
from collections.abc import AsyncIterator

from hibiscusstile import outcome
from hibiscusstile.gateway import fleet

__all__ = [
    "AttemptFailed",
    "FailureCause",
    "ForwardedRequest",
    "Headers",
    "PromptPart",
    "ResponseHead",
    "ResponseWriter",
    "SendOptions",
    "ServerClient",
    "ServerResponse",
    "StreamEvent",
]

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt.

    Attributes:
        part_id: Identifier of the part's content.
        tokens: Length in tokens.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request as it arrived.

    Attributes:
        request_id: The caller's identifier of this attempt.
        method: HTTP method.
        target: Path and query, as sent.
        host: The Host header.
        key: The caller's key, empty if none.
        headers: Headers to pass on.
        body: The whole body.
        received_s: When its head arrived, on the monotonic clock.
        caller_timeout_s: Seconds that the caller waits, from `received_s`.
        model: Name of the model, empty for plain services.
        parts: The prompt, in order.
        prompt_tokens: Tokens of the prompt.
        max_output_tokens: Most tokens of the answer.
        last_event_id: The last event that the caller has, empty if none.
    """

    request_id: str
    method: str
    target: str
    host: str
    key: str
    headers: Headers
    body: bytes
    received_s: float
    caller_timeout_s: float | None = None
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: str = ""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class SendOptions:
    """What the gateway adds to a request that it passes on.

    Attributes:
        workspace: The workspace of the caller's key, empty if none.
        rank: Rank for the engine's scheduler, 0 first.
        time_left_s: Seconds that the server may work.
        cache_salt: Namespace of cached prompt parts.
        weights_version: Version that the server must have; None for any.
        last_event_id: The last event that the caller has, empty if none.
        fetch_from: Address that holds cached parts of the prompt.
        save_to: Address that keeps the prompt's parts once they are read.
    """

    workspace: str
    rank: int
    time_left_s: float
    cache_salt: str = ""
    weights_version: int | None = None
    last_event_id: str = ""
    fetch_from: str = ""
    save_to: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a server's answer.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on to the caller.
        event_stream: Whether the body is a stream of events.
        weights_version: Version of the weights that answer, if told.
    """

    status: int
    headers: Headers
    event_stream: bool = False
    weights_version: int | None = None


class FailureCause(enum.Enum):
    """Why an attempt gave no answer."""

    NOT_REACHED = "not_reached"
    """No connection to the server."""
    FULL = "full"
    """The server turned the request away before it ran it."""
    REPLACED = "replaced"
    """Another server has the address."""
    OTHER_WEIGHTS = "other_weights"
    """The server has other weights than demanded."""
    LOST = "lost"
    """The connection ended, or bytes came that are no answer."""
    TIMED_OUT = "timed_out"
    """No answer came in the time left."""


class AttemptFailed(Exception):  # noqa: N818 - an outcome, not a program error
    """An attempt gave no answer.

    Attributes:
        cause: Why.
        verdict: Whether the server may have run the request.
        weights_version: Version of the server's weights, if it told.
    """

    def __init__(
        self,
        cause: FailureCause,
        verdict: outcome.Verdict,
        detail: str = "",
        weights_version: int | None = None,
    ) -> None:
        super().__init__(f"{cause.value}: {detail}")
        self.cause = cause
        self.verdict = verdict
        self.weights_version = weights_version


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a streamed answer.

    Attributes:
        data: Its bytes, the blank line at its end included.
        event_id: Its identifier, empty if it has none.
        weights_version: The version from this event on, where it changes.
    """

    data: bytes
    event_id: str = ""
    weights_version: int | None = None


class ServerResponse(abc.ABC):
    """A server's answer, whose body is still arriving."""

    @property
    @abc.abstractmethod
    def head(self) -> ResponseHead:
        """Status and headers."""

    @abc.abstractmethod
    async def body(self) -> bytes:
        """Returns the whole body.

        Raises:
            AttemptFailed: The body ended early.
        """

    @abc.abstractmethod
    def events(self) -> AsyncIterator[StreamEvent]:
        """Returns whole events as they arrive.

        Bytes after the last event come as an event of their own, once the
        body has ended properly.

        Raises:
            AttemptFailed: The body ended early.
        """


class ServerClient(abc.ABC):
    """Sends requests to backend servers."""

    @abc.abstractmethod
    def send(
        self,
        server: fleet.BackendServer,
        request: ForwardedRequest,
        options: SendOptions,
    ) -> contextlib.AbstractAsyncContextManager[ServerResponse]:
        """Sends a request once and opens its answer.

        Leaving the context before the body's end closes the connection, by
        which a server learns that nobody waits for the answer.

        Raises:
            AttemptFailed: No answer came.
        """


class ResponseWriter(abc.ABC):
    """The caller's side of one request."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the answer's head was sent."""

    @abc.abstractmethod
    async def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Sends a whole answer."""

    @abc.abstractmethod
    async def start_stream(self, head: ResponseHead) -> None:
        """Sends the head of a streamed answer."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Sends a part of a streamed answer."""

    @abc.abstractmethod
    async def finish_stream(self) -> None:
        """Marks a streamed answer as complete."""

    @abc.abstractmethod
    async def refuse(self, refusal: outcome.Refusal) -> None:
        """Sends a refusal."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection, so that the answer looks incomplete."""
