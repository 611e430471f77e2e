"""Message types of the peer protocol, one data class for each.

Messages are encoded with field names, so that an older process can ignore
unknown fields and a newer one can fill missing fields with their defaults.
"""

from __future__ import annotations

from hibiscusstile.peers.messages.allowances import (
    AllowanceAsk,
    AllowanceGrant,
)
from hibiscusstile.peers.messages.base import PeerMessage, message_types
from hibiscusstile.peers.messages.configuration import (
    ConfigDigest,
    ConfigFetch,
    ConfigState,
)
from hibiscusstile.peers.messages.gateway import (
    MAX_NOTICE_ENTRIES,
    ClearanceUpdate,
    CrashUpdate,
    GatewayConfiguration,
    GatewayCountUpdate,
    GatewayNotice,
    LeaseClaimUpdate,
    LeavingUpdate,
    LoadUpdate,
    MemoryUpdate,
    PrefillDoneUpdate,
    PrefixUpdate,
    RatesUpdate,
    WeightsChangeUpdate,
    WeightsUpdate,
)
from hibiscusstile.peers.messages.session import (
    HandshakeChallenge,
    HandshakeProof,
    HandshakeStart,
    Hello,
    Leaving,
    PeerAddress,
    PeerInfo,
    Ping,
    Pong,
    SuspectNotice,
    build_suspect_notice,
)
from hibiscusstile.peers.messages.work import (
    Ack,
    BidReply,
    BidRequest,
    Call,
    CallReply,
    Cancel,
    Chunk,
    Dispatch,
    End,
    Failed,
    Progress,
    Resume,
    Started,
    Usage,
)

__all__ = [
    "MAX_NOTICE_ENTRIES",
    "Ack",
    "AllowanceAsk",
    "AllowanceGrant",
    "BidReply",
    "BidRequest",
    "Call",
    "CallReply",
    "Cancel",
    "Chunk",
    "ClearanceUpdate",
    "ConfigDigest",
    "ConfigFetch",
    "ConfigState",
    "CrashUpdate",
    "Dispatch",
    "End",
    "Failed",
    "GatewayConfiguration",
    "GatewayCountUpdate",
    "GatewayNotice",
    "HandshakeChallenge",
    "HandshakeProof",
    "HandshakeStart",
    "Hello",
    "LeaseClaimUpdate",
    "Leaving",
    "LeavingUpdate",
    "LoadUpdate",
    "MemoryUpdate",
    "PeerAddress",
    "PeerInfo",
    "PeerMessage",
    "Ping",
    "Pong",
    "PrefillDoneUpdate",
    "PrefixUpdate",
    "Progress",
    "RatesUpdate",
    "Resume",
    "Started",
    "SuspectNotice",
    "Usage",
    "WeightsChangeUpdate",
    "WeightsUpdate",
    "build_suspect_notice",
    "message_types",
]
