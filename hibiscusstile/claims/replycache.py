"""Answers of keyed calls kept in memory, bounded by their bytes."""

from __future__ import annotations

import collections

from hibiscusstile import request

__all__ = ["ReplyCache"]

_ENTRY_OVERHEAD_BYTES = 512


class ReplyCache:
    """Keeps the most recently used answers.

    Args:
        limit_bytes: Bytes kept at most, each answer's overhead included.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._replies: collections.OrderedDict[str, request.ServiceReply] = (
            collections.OrderedDict()
        )

    @property
    def size_bytes(self) -> int:
        """Bytes kept now."""
        return self._size_bytes

    def get(self, claim_id: str) -> request.ServiceReply | None:
        """Returns the answer of a claim, None when it is not kept."""
        reply = self._replies.get(claim_id)
        if reply is not None:
            self._replies.move_to_end(claim_id)
        return reply

    def put(self, claim_id: str, reply: request.ServiceReply) -> None:
        """Keeps an answer and drops the ones that were not used for long."""
        old = self._replies.pop(claim_id, None)
        if old is not None:
            self._size_bytes -= _reply_size(old)
        self._replies[claim_id] = reply
        self._size_bytes += _reply_size(reply)
        while self._size_bytes > self._max_bytes:
            _, dropped = self._replies.popitem(last=False)
            self._size_bytes -= _reply_size(dropped)


def _reply_size(reply: request.ServiceReply) -> int:
    return len(reply.body) + len(reply.content_type) + _ENTRY_OVERHEAD_BYTES
