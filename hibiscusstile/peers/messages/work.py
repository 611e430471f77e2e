"""Messages of model requests and plain-service calls."""

from __future__ import annotations

import dataclasses

from hibiscusstile import outcome, request
from hibiscusstile.peers.messages.base import (
    Count,
    PeerMessage,
    PrefixLevels,
    Seconds,
    ShortText,
    message_types,
)

__all__ = [
    "Ack",
    "BidReply",
    "BidRequest",
    "Call",
    "CallReply",
    "Cancel",
    "Chunk",
    "Dispatch",
    "End",
    "Failed",
    "Progress",
    "Resume",
    "Started",
    "Usage",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a request; `cached_tokens` came from the cache."""

    prompt_tokens: Count
    cached_tokens: Count
    completion_tokens: Count


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class BidRequest(PeerMessage):
    """Asks a sidecar for its expected time to the first token.

    Attributes:
        bid_id: Request number, unique on the connection.
        workspace: Name of the workspace.
        caller: Name of the caller within the workspace.
        rank: Name of the rank.
        model: Name of the model.
        adapter: Name of the adapter.
        levels: Prefix levels of the prompt, shortest prefix first.
        prompt_tokens: Tokens of the whole prompt.
        max_tokens: Limit of generated tokens.
        suspect: Whether the request was running when an engine crashed.
    """

    name = "bid_request"
    bid_id: Count
    workspace: ShortText
    caller: ShortText
    rank: ShortText
    model: ShortText
    adapter: ShortText
    levels: PrefixLevels
    prompt_tokens: Count
    max_tokens: Count
    suspect: bool = False


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class BidReply(PeerMessage):
    """A sidecar's reply to a bid request.

    Attributes:
        bid_id: Number of the bid request.
        cached_tokens: Prompt tokens that the engine has in its cache.
        wait_s: Expected seconds until the engine starts the request.
        prefill_s: Expected seconds to prefill the remaining prompt tokens.
        load: Running and queued tokens, for load-based policies.
        refusal: Reason for which the sidecar would refuse the request now,
            None if it would accept it.
        leaving: Whether the sidecar accepts no new requests.
    """

    name = "bid_reply"
    bid_id: Count
    cached_tokens: Count
    wait_s: Seconds
    prefill_s: Seconds
    load: Count
    refusal: outcome.Reason | None = None
    leaving: bool = False


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch(PeerMessage):
    """Sends a model request to a sidecar.

    Attributes:
        attempt_id: Id of the attempt, which all its messages carry.
        work: Description of the request for admission control.
        chat: The request.
        deadline_s: Seconds from now after which it must not be started.
        resume_text: Text already sent to the caller, to be continued.
        priority: Priority at the engine; lower values run first.
    """

    name = "dispatch"
    attempt_id: ShortText
    work: request.WorkItem
    chat: request.ChatRequest
    deadline_s: Seconds
    resume_text: str = ""
    priority: int = 0


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Started(PeerMessage):
    """The engine has started an attempt and reused `cached_tokens`."""

    name = "started"
    attempt_id: ShortText
    cached_tokens: Count = 0


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Chunk(PeerMessage):
    """Generated text; `number` counts the attempt's chunks from 0."""

    name = "chunk"
    attempt_id: ShortText
    number: Count
    text: str


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Progress(PeerMessage):
    """Keep-alive of an attempt that has produced no new chunk."""

    name = "progress"
    attempt_id: ShortText


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class End(PeerMessage):
    """An attempt's response is complete.

    Attributes:
        attempt_id: Id of the attempt.
        chunks: Number of chunks.
        digest: XXH3-64 of the concatenated text in UTF-8.
        finish_reason: `stop` or `length`.
        usage: Token counts.
    """

    name = "end"
    attempt_id: ShortText
    chunks: Count
    digest: Count
    finish_reason: ShortText
    usage: Usage


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Failed(PeerMessage):
    """An attempt or call ended without a complete response.

    Attributes:
        attempt_id: Id of the attempt or call.
        reason: Reason of the refusal.
        message: Description for operators and callers.
        verdict: Whether the backend server may have run it.
        retry_after_s: Seconds after which a retry may succeed; None if a
            retry does not help.
    """

    name = "failed"
    attempt_id: ShortText
    reason: outcome.Reason
    message: ShortText
    verdict: outcome.Verdict
    retry_after_s: Seconds | None = None


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Ack(PeerMessage):
    """The entry has forwarded all chunks below `next_number`."""

    name = "ack"
    attempt_id: ShortText
    next_number: Count


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Resume(PeerMessage):
    """Requests, on a new connection, the chunks from `next_number` on."""

    name = "resume"
    attempt_id: ShortText
    next_number: Count


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Cancel(PeerMessage):
    """The caller has disconnected; cancels the attempt at the engine."""

    name = "cancel"
    attempt_id: ShortText


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Call(PeerMessage):
    """Sends a plain-service call to a sidecar.

    Attributes:
        attempt_id: Id of the attempt.
        workspace: Name of the workspace.
        caller: Name of the caller within the workspace.
        rank: Name of the rank.
        call: The call.
        deadline_s: Seconds from now after which it must not be started.
    """

    name = "call"
    attempt_id: ShortText
    workspace: ShortText
    caller: ShortText
    rank: ShortText
    call: request.ServiceCall
    deadline_s: Seconds


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class CallReply(PeerMessage):
    """The complete response of a plain service.

    Attributes:
        attempt_id: Id of the attempt.
        reply: Status, content type and body.
        replayed: Whether it is the stored response of an earlier call with
            the same idempotency key.
    """

    name = "call_reply"
    attempt_id: ShortText
    reply: request.ServiceReply
    replayed: bool = False
