"""The state that every sidecar derives from a claims stream."""

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
    """A key that a claim holds.

    Attributes:
        content: Digest of the call that the key stands for.
        claim_id: The claim in force.
        peer_id: The claim's sidecar.
        incarnation: The sidecar's incarnation.
        time_s: Log time of the claim, in seconds since 1970.
        verdict: How the run ended, None while that is not known.
        answer_offset: Log offset of the answer, -1 when it is not there.
    """

    content: bytes
    claim_id: str
    peer_id: str
    incarnation: str
    time_s: float
    verdict: outcome.Verdict | None = None
    reply_offset: int = -1


class KeyTable:
    """Folds claim records in log order; the same log gives the same state.

    A claim is in force when neither another claim of its key was in force at
    its place in the log nor a release of it came before. Keys and released
    claims are forgotten by log time, never by a local clock.
    """

    def __init__(self) -> None:
        self._keys: dict[bytes, ClaimedKey] = {}
        self._released: dict[str, float] = {}
        self._expiry_queue: collections.deque[tuple[float, bytes, str]] = (
            collections.deque()
        )
        self._time_s = 0.0

    def __len__(self) -> int:
        """Keys and released claims that are remembered."""
        return len(self._keys) + len(self._released)

    @property
    def time_s(self) -> float:
        """Log time of the newest entry, in seconds since 1970."""
        return self._time_s

    def get(self, key: bytes) -> ClaimedKey | None:
        """Returns the claim in force for a key, None if there is none."""
        return self._keys.get(key)

    def advance_time(self, time: datetime.datetime) -> None:
        """Takes note of an entry's log time and forgets what is too old."""
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
        """Folds a claim; returns whether it is the one in force."""
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
        """Folds a release, which may precede its claim in the log."""
        self._released.setdefault(record.claim_id, self._time_s)
        claimed = self._keys.get(record.key)
        if claimed is not None and claimed.claim_id == record.claim_id:
            del self._keys[record.key]

    def apply_completion(self, record: entries.Completed, offset: int) -> bool:
        """Folds a completion; returns whether it belongs to a claim here."""
        claimed = self._keys.get(record.key)
        if claimed is None or claimed.claim_id != record.claim_id:
            return False
        claimed.verdict = record.verdict
        if record.reply is not None:
            claimed.reply_offset = offset
        return True
