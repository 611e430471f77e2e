"""Messages with which gateways hand over tokens of allowances."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import pydantic

from hibiscusstile.peers.messages.base import (
    Count,
    PeerMessage,
    ShortText,
    message_types,
)

__all__ = ["AllowanceAsk", "AllowanceGrant"]

_Tokens = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceAsk(PeerMessage):
    """A question for tokens of a workspace's allowance.

    Attributes:
        number: Number that the answer repeats.
        workspace: Name of the workspace.
        tokens: Tokens that the sender lacks.
    """

    name = "allowance_ask"
    number: Count
    workspace: ShortText
    tokens: _Tokens


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceGrant(PeerMessage):
    """The answer: tokens that the sender does not hold any more.

    Attributes:
        number: Number of the question.
        workspace: Name of the workspace.
        tokens: Tokens that the receiver may use.
        left: Tokens that the sender could lend besides.
    """

    name = "allowance_grant"
    number: Count
    workspace: ShortText
    tokens: _Tokens
    left: _Tokens = 0.0
