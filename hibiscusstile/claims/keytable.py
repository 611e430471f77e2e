"""State of idempotency keys, derived from a claims stream."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import sys

from hibiscusstile import outcome
from hibiscusstile.claims import entries

__all__ = ["KEY_LIFETIME", "ClaimedKey", "KeyTable"]

KEY_LIFETIME = datetime.timedelta(hours=24)


@dataclasses.dataclass(slots=True)
class ClaimedKey:
    """A key with an active claim.

    Attributes:
        content: Digest of the claimed call's content.
        claim_id: Id of the active claim.
        peer_id: Peer id of the claiming sidecar.
        incarnation: Id of the claiming process.
        time_s: Log time of the claim in Unix seconds.
        verdict: Result of the run, None while it is not known.
        reply_offset: Log offset of the reply, -1 if it is not in the log.
    """

    content: bytes
    claim_id: str
    peer_id: str
    incarnation: str
    time_s: float
    verdict: outcome.Verdict | None = None
    reply_offset: int = -1


class KeyTable:
    """Applies claim records in log order, deterministically.

    A claim becomes active unless, at its position in the log, its key has
    another active claim or the claim itself was already released. Keys and
    released claims expire by log time, not by the local clock, so that every
    sidecar derives the same state from the same log.
    """

    def __init__(self) -> None:
        self._keys: dict[bytes, ClaimedKey] = {}
        self._released: dict[str, float] = {}
        self._expiry_queue: collections.deque[tuple[float, bytes, str]] = (
            collections.deque()
        )
        self._time_s = 0.0

    def __len__(self) -> int:
        """Number of claimed keys and released claims in memory."""
        return len(self._keys) + len(self._released)

    @property
    def time_s(self) -> float:
        """Log time of the newest entry in Unix seconds."""
        return self._time_s

    def get(self, key: bytes) -> ClaimedKey | None:
        """Returns the state of a key, None if it has no active claim."""
        return self._keys.get(key)

    def advance_time(self, time: datetime.datetime) -> None:
        """Sets the log time to that of an entry and drops what expired."""
        self._time_s = max(self._time_s, time.timestamp())
        expired_s = self._time_s - KEY_LIFETIME.total_seconds()
        while self._expiry_queue and self._expiry_queue[0][0] <= expired_s:
            _, key, claim_id = self._expiry_queue.popleft()
            claimed = self._keys.get(key)
            if claimed is not None and claimed.claim_id == claim_id:
                del self._keys[key]
        while self._released:
            claim_id, time_s = next(iter(self._released.items()))
            if time_s > expired_s:
                break
            del self._released[claim_id]

    def apply_claim(self, record: entries.Claim) -> bool:
        """Applies a claim; returns whether it is the active one."""
        if record.claim_id in self._released:
            return False
        claimed = self._keys.get(record.digests.key)
        if claimed is not None:
            return claimed.claim_id == record.claim_id
        self._keys[record.digests.key] = ClaimedKey(
            record.digests.content,
            record.claim_id,
            sys.intern(record.peer_id),
            sys.intern(record.incarnation),
            self._time_s,
        )
        self._expiry_queue.append(
            (self._time_s, record.digests.key, record.claim_id)
        )
        return True

    def apply_release(self, record: entries.Release) -> None:
        """Applies a release, which may precede its claim in the log."""
        self._released.setdefault(record.claim_id, self._time_s)
        claimed = self._keys.get(record.key)
        if claimed is not None and claimed.claim_id == record.claim_id:
            del self._keys[record.key]

    def apply_completion(self, record: entries.Completed, offset: int) -> bool:
        """Applies a completion; returns whether its claim is active."""
        claimed = self._keys.get(record.key)
        if claimed is None or claimed.claim_id != record.claim_id:
            return False
        claimed.verdict = record.verdict
        if record.reply is not None:
            claimed.reply_offset = offset
        return True
