"""Messages about the configuration in force."""

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
    """A new revision is in force at the sender.

    Attributes:
        revision: The revision.
        digest: Hexadecimal digest of the folded state.
    """

    name = "config_digest"
    revision: int
    digest: ShortText


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
