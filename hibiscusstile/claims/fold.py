"""The state that every sidecar derives from a claims stream."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import sys

from hibiscusstile import outcome
from hibiscusstile.claims import entries

__all__ = ["KEY_LIFETIME", "ClaimFold", "HeldKey"]

KEY_LIFETIME = datetime.timedelta(hours=24)


@dataclasses.dataclass(slots=True)
class HeldKey:
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
    answer_offset: int = -1


class ClaimFold:
    """Folds claim records in log order; the same log gives the same state.

    A claim is in force when neither another claim of its key was in force at
    its place in the log nor a release of it came before. Keys and released
    claims are forgotten by log time, never by a local clock.
    """

    def __init__(self) -> None:
        self._keys: dict[bytes, HeldKey] = {}
        self._released: dict[str, float] = {}
        self._order: collections.deque[tuple[float, bytes, str]] = (
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

    def get(self, key: bytes) -> HeldKey | None:
        """Returns the claim in force for a key, None if there is none."""
        return self._keys.get(key)

    def advance(self, time: datetime.datetime) -> None:
        """Takes note of an entry's log time and forgets what is too old."""
        self._time_s = max(self._time_s, time.timestamp())
        limit_s = self._time_s - KEY_LIFETIME.total_seconds()
        while self._order and self._order[0][0] <= limit_s:
            _, key, claim_id = self._order.popleft()
            held = self._keys.get(key)
            if held is not None and held.claim_id == claim_id:
                del self._keys[key]
        while self._released:
            claim_id, time_s = next(iter(self._released.items()))
            if time_s > limit_s:
                break
            del self._released[claim_id]

    def claim(self, record: entries.Claim) -> bool:
        """Folds a claim; returns whether it is the one in force."""
        if record.claim_id in self._released:
            return False
        held = self._keys.get(record.digests.key)
        if held is not None:
            return held.claim_id == record.claim_id
        self._keys[record.digests.key] = HeldKey(
            record.digests.content,
            record.claim_id,
            sys.intern(record.peer_id),
            sys.intern(record.incarnation),
            self._time_s,
        )
        self._order.append((self._time_s, record.digests.key, record.claim_id))
        return True

    def release(self, record: entries.Release) -> None:
        """Folds a release, which may precede its claim in the log."""
        self._released.setdefault(record.claim_id, self._time_s)
        held = self._keys.get(record.key)
        if held is not None and held.claim_id == record.claim_id:
            del self._keys[record.key]

    def complete(self, record: entries.Completed, offset: int) -> bool:
        """Folds a completion; returns whether it belongs to a claim here."""
        held = self._keys.get(record.key)
        if held is None or held.claim_id != record.claim_id:
            return False
        held.verdict = record.verdict
        if record.reply is not None:
            held.answer_offset = offset
        return True
