"""Messages about requests: bids, attempts, chunks and calls."""

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
    """Tokens of an answered request; `cached` counts reused prompt tokens."""

    prompt_tokens: Count
    cached_tokens: Count
    completion_tokens: Count


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class BidRequest(PeerMessage):
    """Asks a sidecar how soon it could start a request.

    Attributes:
        bid_id: Number of this question on its connection.
        workspace: The workspace.
        caller: The caller within the workspace.
        rank: The rank's name.
        model: The model's name.
        adapter: The adapter's name.
        levels: Prefix levels, outermost first.
        prompt_tokens: Tokens of the whole prompt.
        max_tokens: The most tokens to generate.
        suspect: Whether it was running when an engine crashed.
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
    """Answers a bid request.

    Attributes:
        bid_id: Number of the question.
        cached_tokens: Prompt tokens the engine holds in cache.
        wait_s: Expected seconds until the engine takes the request up.
        prefill_s: Expected seconds to compute the prompt's other tokens.
        load: Running and queued tokens, for choices by load.
        refusal: The reason when it would be refused now, else None.
        leaving: Whether the sidecar takes no new work.
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
    """Hands a model request to a sidecar.

    Attributes:
        attempt_id: Names this attempt; chunks and the end carry it.
        work: What admission needs to know.
        chat: The request.
        deadline_s: Seconds from now after which it is not to be started.
        resume_text: Text already sent to the caller, to be continued.
        priority: The engine's priority; lower runs first.
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
    """The engine has taken an attempt up; `cached_tokens` were reused."""

    name = "started"
    attempt_id: ShortText
    cached_tokens: Count = 0


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Chunk(PeerMessage):
    """A piece of generated text; `number` counts from 0 in an attempt."""

    name = "chunk"
    attempt_id: ShortText
    number: Count
    text: str


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Progress(PeerMessage):
    """Says that an attempt is alive though it has no new chunk."""

    name = "progress"
    attempt_id: ShortText


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class End(PeerMessage):
    """An attempt's answer is whole.

    Attributes:
        attempt_id: The attempt.
        chunks: How many chunks it had.
        digest: XXH3-64 of the concatenated text in UTF-8.
        finish_reason: `stop` or `length`.
        usage: Tokens.
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
    """An attempt or call ended without a whole answer.

    Attributes:
        attempt_id: The attempt or call.
        reason: The refusal's tag.
        message: One sentence for a person.
        verdict: Whether the backend server may have run it.
        retry_after_s: When a retry may help, None where it does not.
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
    """The entry has passed on all chunks below `next_number`."""

    name = "ack"
    attempt_id: ShortText
    next_number: Count


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Resume(PeerMessage):
    """Asks on a new connection for an attempt's chunks from a number on."""

    name = "resume"
    attempt_id: ShortText
    next_number: Count


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Cancel(PeerMessage):
    """The caller has gone; the attempt is to stop at the engine too."""

    name = "cancel"
    attempt_id: ShortText


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Call(PeerMessage):
    """Hands a plain-service call to a sidecar.

    Attributes:
        attempt_id: Names this attempt.
        workspace: The workspace.
        caller: The caller within the workspace.
        rank: The rank's name.
        call: The call.
        deadline_s: Seconds from now after which it is not to be started.
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
    """A plain service's whole answer.

    Attributes:
        attempt_id: The attempt.
        reply: Status, type and body.
        replayed: Whether it is the kept answer of an earlier call.
    """

    name = "call_reply"
    attempt_id: ShortText
    reply: request.ServiceReply
    replayed: bool = False
