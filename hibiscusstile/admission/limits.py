"""Limits of an admission queue, and default rank records."""

from __future__ import annotations

import dataclasses
import datetime
from collections.abc import Mapping

from hibiscusstile.configuration import view

__all__ = ["DEFAULT_RANKS", "QueueLimits", "get_rank"]

_DEFAULT_QUEUE_TIME = datetime.timedelta(seconds=30)
_DEFAULT_FIRST_TOKEN_TARGET = datetime.timedelta(milliseconds=610)
_UNKNOWN_RANK_LEVEL = 9


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLimits:
    """Limits of an admission queue.

    Attributes:
        running: Maximum of requests on the backend server at once.
        running_tokens: Maximum of tokens on the engine at once.
        queued_tokens: Maximum of waiting tokens.
        queued_requests: Maximum of waiting requests.
        prefill_tokens_per_s: Assumed rate of the engine before any
            measurement.
        prefill_ahead_tokens: Maximum of prompt tokens submitted to the engine
            and not yet computed; 0 for no limit. Requires calls of
            `note_prefill_done`.
        next_class_share: Fraction of the running requests and tokens that a
            priority class may use, relative to the next higher class, 0 to 1.
        workspace_share: Fraction of the queue that one workspace may use in
            one rank, 0 to 1.
        caller_share: Fraction of the queue that one caller may use in one
            rank, 0 to 1.
    """

    running: int
    running_tokens: int
    queued_tokens: int
    queued_requests: int
    prefill_tokens_per_s: float
    prefill_ahead_tokens: int = 0
    next_class_share: float = 0.85
    workspace_share: float = 0.5
    caller_share: float = 0.25


def _rank(name: str, level: int, share: float) -> view.Rank:
    return view.Rank(
        name, level, share, _DEFAULT_QUEUE_TIME, _DEFAULT_FIRST_TOKEN_TARGET
    )


DEFAULT_RANKS: Mapping[str, view.Rank] = {
    "urgent": _rank("urgent", 0, 0.0),
    "routine": _rank("routine", 1, 0.1),
}


def get_rank(ranks: Mapping[str, view.Rank], name: str) -> view.Rank:
    """Returns the record of a rank, or the default rank of that name.

    If there is neither, the rank is served last.
    """
    rank = ranks.get(name) or DEFAULT_RANKS.get(name)
    return rank or _rank(name, _UNKNOWN_RANK_LEVEL, 0.0)
