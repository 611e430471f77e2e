"""LRU cache of replies to keyed calls, bounded by bytes."""

from __future__ import annotations

import collections

from hibiscusstile import request

__all__ = ["ReplyCache"]

_ENTRY_OVERHEAD_BYTES = 512


class ReplyCache:
    """Keeps the most recently used replies.

    Args:
        max_bytes: Upper limit of `size_bytes`.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._replies: collections.OrderedDict[str, request.ServiceReply] = (
            collections.OrderedDict()
        )

    @property
    def size_bytes(self) -> int:
        """Size of the cached replies, with an overhead for each."""
        return self._size_bytes

    def get(self, claim_id: str) -> request.ServiceReply | None:
        """Returns the reply to a claim's run, None if it is not cached."""
        reply = self._replies.get(claim_id)
        if reply is not None:
            self._replies.move_to_end(claim_id)
        return reply

    def put(self, claim_id: str, reply: request.ServiceReply) -> None:
        """Adds a reply and evicts the least recently used ones."""
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
