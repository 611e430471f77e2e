"""Messages between own processes, one data class a type.

Field names travel with the values, so that an older process ignores fields it
does not know and a newer one fills missing fields with their defaults.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Annotated

import pydantic

from hibiscusstile import outcome, registry, request, suspects

__all__ = [
    "Ack",
    "BidReply",
    "BidRequest",
    "Call",
    "CallReply",
    "Cancel",
    "Chunk",
    "ConfigFetch",
    "ConfigState",
    "Dispatch",
    "End",
    "Failed",
    "HandshakeChallenge",
    "HandshakeProof",
    "HandshakeStart",
    "Hello",
    "Leaving",
    "PeerAddress",
    "PeerInfo",
    "PeerMessage",
    "Ping",
    "Pong",
    "Progress",
    "Resume",
    "Started",
    "SuspectNotice",
    "Usage",
    "message_types",
    "suspect_notice",
]

ShortText = Annotated[str, pydantic.StringConstraints(max_length=512)]
Levels = Annotated[
    tuple[request.PrefixLevel, ...], pydantic.Field(max_length=16)
]
Seconds = Annotated[float, pydantic.Field(ge=0.0, allow_inf_nan=False)]
Count = Annotated[int, pydantic.Field(ge=0)]
Nonce = Annotated[bytes, pydantic.Field(min_length=32, max_length=32)]


class PeerMessage:
    """Base of all messages.

    Attributes:
        name: The type's name on the wire.
        aliases: Further names that decode to the type.
    """

    name: str = ""
    aliases: tuple[str, ...] = ()


message_types: registry.Registry[PeerMessage] = registry.Registry(
    "peer message"
)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerInfo:
    """Where a process is and what it serves.

    Attributes:
        peer_id: The process's name in the settings.
        incarnation: Fresh at each start.
        role: `entry` or `sidecar`.
        host: IP address that peers connect to, empty for an entry.
        port: TCP port that peers connect to, 0 for an entry.
        zone: Availability zone.
        region: Region.
        backend_kind: Kind of the backend server beside a sidecar.
        model: Model in service, empty for none.
        adapters: Adapters in service.
        weights_version: Version of the model's weights.
        application: Application in service, empty for none.
        leaving: Whether the process takes no new work.
    """

    peer_id: ShortText
    incarnation: ShortText
    role: ShortText
    host: ShortText
    port: int
    zone: ShortText
    region: ShortText
    backend_kind: ShortText = ""
    model: ShortText = ""
    adapters: tuple[ShortText, ...] = ()
    weights_version: ShortText = ""
    application: ShortText = ""
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a sidecar can be reached."""

    host: ShortText
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of an answered request; `cached` counts reused prompt tokens."""

    prompt_tokens: Count
    cached_tokens: Count
    completion_tokens: Count


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeStart(PeerMessage):
    """The connecting side's name and fresh nonce."""

    name = "handshake_start"
    peer_id: ShortText
    role: ShortText
    nonce: Nonce


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeChallenge(PeerMessage):
    """The accepting side's name, fresh nonce and proof."""

    name = "handshake_challenge"
    peer_id: ShortText
    role: ShortText
    nonce: Nonce
    proof: Nonce


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeProof(PeerMessage):
    """The connecting side's proof."""

    name = "handshake_proof"
    proof: Nonce


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class SuspectNotice(PeerMessage):
    """Facts about requests that were running when engines crashed.

    All requests charged with one crash travel together, because a process
    that knew only some of them could convict the wrong one.
    """

    name = "suspect_notice"
    charges: tuple[suspects.CrashCharge, ...] = ()
    clearances: tuple[suspects.Clearance, ...] = ()

    @property
    def facts(self) -> tuple[suspects.Fact, ...]:
        """All facts."""
        return (*self.charges, *self.clearances)


def suspect_notice(facts: Iterable[suspects.Fact]) -> SuspectNotice:
    """Returns the message that carries some facts."""
    known = list(facts)
    return SuspectNotice(
        tuple(f for f in known if isinstance(f, suspects.CrashCharge)),
        tuple(f for f in known if isinstance(f, suspects.Clearance)),
    )


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Hello(PeerMessage):
    """First message of each side after the handshake, and on any change.

    Attributes:
        info: What the sender says of itself.
        wants_peers: Whether the sender asks for addresses of sidecars,
            because it has not seen the platform's list yet.
        peers: Sidecars that the sender knows.
        suspects: Requests that were running when an engine crashed.
    """

    name = "hello"
    info: PeerInfo
    wants_peers: bool = False
    peers: Annotated[
        tuple[PeerAddress, ...], pydantic.Field(max_length=1024)
    ] = ()
    suspects: SuspectNotice = SuspectNotice()


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
    levels: Levels
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


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFetch(PeerMessage):
    """Asks for the configuration state when it is newer than `revision`."""

    name = "config_fetch"
    revision: int


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigState(PeerMessage):
    """A whole folded configuration.

    Attributes:
        revision: Its revision; -1 for none.
        digest: Hexadecimal digest of the state.
        state: The encoded snapshot, as `configuration.snapshot` writes it.
    """

    name = "config_state"
    revision: int
    digest: ShortText
    state: bytes


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Leaving(PeerMessage):
    """The sender takes no new work from now on."""

    name = "leaving"
    peer_id: ShortText


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Ping(PeerMessage):
    """Checks an idle connection."""

    name = "ping"
    number: Count


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Pong(PeerMessage):
    """Answers a ping."""

    name = "pong"
    number: Count
