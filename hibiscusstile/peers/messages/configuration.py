"""Messages that synchronize the configuration."""

from __future__ import annotations

import dataclasses

from hibiscusstile.peers.messages.base import (
    PeerMessage,
    ShortText,
    message_types,
)

__all__ = [
    "ConfigDigest",
    "ConfigFetch",
    "ConfigState",
]


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigDigest(PeerMessage):
    """Announces the sender's new configuration revision.

    Attributes:
        revision: The revision.
        digest: Hexadecimal digest of the configuration state.
    """

    name = "config_digest"
    revision: int
    digest: ShortText


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFetch(PeerMessage):
    """Requests the configuration state if it is newer than `revision`."""

    name = "config_fetch"
    revision: int


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigState(PeerMessage):
    """The sender's configuration state.

    Attributes:
        revision: Revision of the state; -1 for none.
        digest: Hexadecimal digest of the state.
        state: Snapshot in the encoding of `configuration.snapshot`.
    """

    name = "config_state"
    revision: int
    digest: ShortText
    state: bytes
