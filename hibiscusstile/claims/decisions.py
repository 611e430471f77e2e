"""Attempts at keyed calls and the next steps that the ledger decides on."""

from __future__ import annotations

import dataclasses
import datetime

from hibiscusstile import outcome, request
from hibiscusstile.claims import entries

__all__ = [
    "CallAttempt",
    "Decision",
    "Replay",
    "ReplayFromLog",
    "Start",
    "Wait",
]


@dataclasses.dataclass(eq=False, slots=True)
class CallAttempt:
    """One attempt at a keyed call on this sidecar.

    Attributes:
        digests: Digests of the call.
        start_deadline_s: Monotonic time after which the run must not start.
        reply_deadline_s: Monotonic time until which the attempt waits for
            the reply to another attempt with the same key.
        run_timeout: Maximum duration of a run, from claim to reply.
        claim_deadline_s: Monotonic time at which the claim is abandoned if
            it was not read back from the log.
        claim_id: Id of the attempt's claim, empty before it has one.
    """

    digests: entries.CallDigests
    start_deadline_s: float
    reply_deadline_s: float
    run_timeout: datetime.timedelta
    claim_deadline_s: float = 0.0
    claim_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Decide again when the key changes or `deadline_s` is reached."""

    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The attempt's claim is active; it may run the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The call already ran with this reply."""

    reply: request.ServiceReply


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayFromLog:
    """The call ran for `claim_id`; its reply is in the log at `offset`."""

    claim_id: str
    offset: int


Decision = Wait | Start | Replay | ReplayFromLog | outcome.Refusal
