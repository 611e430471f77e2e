"""A sender's call while a sidecar has it, and what its task does next."""

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
    """One sender's keyed call.

    Attributes:
        digests: The call's digests.
        start_deadline_s: Monotonic time after which it must not start.
        reply_deadline_s: Monotonic time at which waiting for the answer of
            another sender's run ends.
        run_time: How long a run of the application may take in all.
        claim_deadline_s: Monotonic time at which a claim that the log does not
            show is given up.
        claim_id: The sender's own claim, empty before it has one.
    """

    digests: entries.CallDigests
    start_deadline_s: float
    reply_deadline_s: float
    run_time: datetime.timedelta
    claim_deadline_s: float = 0.0
    claim_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Ask again once the key has changed, at `deadline_s` at the latest."""

    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """This sender's claim is in force: it may run the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Another sender's run has this answer."""

    reply: request.ServiceReply


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayFromLog:
    """The answer of `claim_id`'s run is in the log entry at `offset`."""

    claim_id: str
    offset: int


Decision = Wait | Start | Replay | ReplayFromLog | outcome.Refusal
