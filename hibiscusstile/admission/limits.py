"""Bounds of a queue and the ranks that hold without any record."""

from __future__ import annotations

import dataclasses
import datetime
from collections.abc import Mapping

from hibiscusstile.configuration import view

__all__ = ["DEFAULT_RANKS", "QueueLimits", "get_rank"]

_DEFAULT_QUEUE_TIME = datetime.timedelta(seconds=30)
_DEFAULT_TARGET = datetime.timedelta(milliseconds=610)
_UNKNOWN_RANK_LEVEL = 9


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLimits:
    """Bounds of a queue.

    Attributes:
        running: Requests handed to the backend server at once.
        running_tokens: Tokens handed to the engine at once.
        queued_tokens: Tokens that may wait.
        queued_requests: Requests that may wait.
        prefill_tokens_per_s: The engine's speed before any was observed.
        prefill_ahead_tokens: Prompt tokens handed to the engine and not yet
            computed; 0 for no bound. It needs `note_prefill_done` to be called.
        next_class_share: Part of the running slots and tokens that each
            class of requests may fill, relative to the class before, 0 to 1.
        workspace_share: Part of the queue that one workspace may occupy in
            one rank, 0 to 1.
        caller_share: Part of the queue that one caller may occupy in one
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
    return view.Rank(name, level, share, _DEFAULT_QUEUE_TIME, _DEFAULT_TARGET)


DEFAULT_RANKS: Mapping[str, view.Rank] = {
    "urgent": _rank("urgent", 0, 0.0),
    "routine": _rank("routine", 1, 0.1),
}


def get_rank(ranks: Mapping[str, view.Rank], name: str) -> view.Rank:
    """Returns the record of a rank, or its default where there is none.

    A rank that is neither configured nor known is served last.
    """
    rank = ranks.get(name) or DEFAULT_RANKS.get(name)
    return rank or _rank(name, _UNKNOWN_RANK_LEVEL, 0.0)
