"""Leases that limit concurrent loads of weights per weight store."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum

from hibiscusstile import platform
from hibiscusstile.placement import entries

__all__ = ["MAX_LEASES", "ClaimOutcome", "Grant", "LeaseHolder", "LeaseTable"]

# Loads slow down when more than two or three runners load at once.
MAX_LEASES = 2

# The holder sends no order in the last part of its lease, so that a load
# ordered before then ends within the lease. A load takes about 0.6 s, or a few
# seconds from a slow weight store.
_SAFETY_MARGIN = datetime.timedelta(seconds=15)

_MAX_OUTCOMES = 1024
_MAX_ENDED_CLAIMS = 64


class ClaimOutcome(enum.Enum):
    """State of a claim, according to the log."""

    UNSEEN = "unseen"
    GRANTED = "granted"
    DENIED = "denied"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A granted lease.

    Attributes:
        claim_id: Identifier of the claim.
        holder: Peer id of the sidecar that made the claim.
        offset: Offset of the claim in the log, used as the fencing number.
        expires_at: Log time at which it expires.
        active_before: Number of leases that were active when it was granted.
    """

    claim_id: str
    holder: str
    offset: int
    expires_at: datetime.datetime
    active_before: int


class LeaseTable:
    """Active leases of one lease stream, computed from its entries.

    Every process that reads the stream gets the same result. Only the log's
    timestamps count; a timestamp before that of an earlier entry is raised to
    it, so that a log clock that is set back does not revive a lease. A claim
    is granted if at its offset fewer than `MAX_LEASES` leases are active and
    its holder has none.

    If the log has dropped entries, a lease that is still active may be
    unknown. The table is then incomplete and grants no claims, until two
    consecutive entries are at least `MAX_LEASE` apart.
    """

    def __init__(self) -> None:
        self._next_offset = 0
        self._time = datetime.datetime.min.replace(tzinfo=datetime.UTC)
        self._complete = True
        self._after_gap = False
        self._active: dict[str, Grant] = {}
        self._outcomes: collections.OrderedDict[str, ClaimOutcome] = (
            collections.OrderedDict()
        )
        self._holdings: dict[str, entries.Holding] = {}

    @property
    def next_offset(self) -> int:
        """Offset of the next entry to apply."""
        return self._next_offset

    @property
    def complete(self) -> bool:
        """Whether all active leases are known."""
        return self._complete

    @property
    def time(self) -> datetime.datetime:
        """Log time of the last entry applied."""
        return self._time

    @property
    def active(self) -> tuple[Grant, ...]:
        """Leases active at the time of the last entry, oldest first."""
        return tuple(self._active.values())

    @property
    def holdings(self) -> dict[str, entries.Holding]:
        """Last reported holding of each sidecar's engine, by peer id."""
        return dict(self._holdings)

    def outcome(self, claim_id: str) -> ClaimOutcome:
        """Returns the outcome of a claim."""
        return self._outcomes.get(claim_id, ClaimOutcome.UNSEEN)

    def grant(self, claim_id: str) -> Grant | None:
        """Returns the active lease of a claim, None if there is none."""
        return self._active.get(claim_id)

    def skip_to(self, earliest: int) -> None:
        """Records that the log has dropped the entries before `earliest`."""
        if earliest > self._next_offset:
            self._next_offset = earliest
            self._complete = False
            self._after_gap = True

    def apply(self, entry: platform.LogEntry) -> None:
        """Applies the next entry; an entry applied before is ignored."""
        if entry.offset < self._next_offset:
            return
        self.skip_to(entry.offset)
        self._next_offset = entry.offset + 1
        self._advance(entry.time)
        decoded = entries.decode(entry.payload)
        match decoded:
            case entries.Claim():
                self._apply_claim(decoded, entry.offset)
            case entries.Release():
                self._apply_release(decoded)
            case entries.Holding():
                self._holdings[decoded.holder] = decoded

    def _advance(self, time: datetime.datetime) -> None:
        leases_expired = time - entries.MAX_LEASE >= self._time
        if leases_expired and not self._after_gap:
            self._complete = True
        self._after_gap = False
        self._time = max(self._time, time)
        for claim_id, grant in list(self._active.items()):
            if grant.expires_at <= self._time:
                del self._active[claim_id]

    def _apply_claim(self, claim: entries.Claim, offset: int) -> None:
        if claim.claim_id in self._outcomes:
            return
        holders = {grant.holder for grant in self._active.values()}
        grantable = (
            len(self._active) < MAX_LEASES and claim.holder not in holders
        )
        if grantable and self._complete:
            self._active[claim.claim_id] = Grant(
                claim.claim_id,
                claim.holder,
                offset,
                self._time + datetime.timedelta(seconds=claim.lease_s),
                len(self._active),
            )
        self._record_outcome(
            claim.claim_id,
            ClaimOutcome.GRANTED
            if grantable and self._complete
            else ClaimOutcome.DENIED,
        )

    def _apply_release(self, release: entries.Release) -> None:
        grant = self._active.get(release.claim_id)
        if grant is not None and grant.holder == release.holder:
            del self._active[release.claim_id]
            self._record_outcome(release.claim_id, ClaimOutcome.RELEASED)

    def _record_outcome(self, claim_id: str, outcome: ClaimOutcome) -> None:
        self._outcomes[claim_id] = outcome
        self._outcomes.move_to_end(claim_id)
        while len(self._outcomes) > _MAX_OUTCOMES:
            self._outcomes.popitem(last=False)


@dataclasses.dataclass(frozen=True, slots=True)
class _SentClaim:
    claim_id: str
    sent_s: float
    lease_s: float


class LeaseHolder:
    """The claims of one sidecar.

    The holder measures its lease on the monotonic clock from the moment
    before it sends the claim. The log sets the claim's timestamp later, so
    the lease in the log never ends before the holder's.

    Args:
        table: State of the lease stream.
        holder: Peer id of the sidecar.
        lease: Duration of a lease.
    """

    def __init__(
        self,
        table: LeaseTable,
        holder: str,
        lease: datetime.timedelta = entries.MAX_LEASE,
    ) -> None:
        self._table = table
        self._holder = holder
        self._lease_s = lease.total_seconds()
        self._current: _SentClaim | None = None
        self._ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def outcome(self) -> ClaimOutcome:
        """Outcome of the current claim; `DENIED` if there is none."""
        if self._current is None:
            return ClaimOutcome.DENIED
        return self._table.outcome(self._current.claim_id)

    @property
    def grant(self) -> Grant | None:
        """The active lease of the current claim, None if there is none."""
        if self._current is None:
            return None
        return self._table.grant(self._current.claim_id)

    def start_claim(self, claim_id: str, now_s: float) -> entries.Claim:
        """Returns a new claim; must be called right before it is sent."""
        self.end_claim()
        self._current = _SentClaim(claim_id, now_s, self._lease_s)
        return entries.Claim(
            holder=self._holder, claim_id=claim_id, lease_s=self._lease_s
        )

    def remaining_s(self, now_s: float) -> float:
        """Returns for how many seconds orders may still be sent, 0 for none."""
        if self.grant is None or self._current is None:
            return 0.0
        expires_s = self._current.sent_s + self._current.lease_s
        return max(0.0, expires_s - _SAFETY_MARGIN.total_seconds() - now_s)

    def fencing_number(self, now_s: float) -> int | None:
        """Returns the fencing number for an order that is sent now.

        Args:
            now_s: Monotonic time read right before the order is sent.

        Returns:
            None if no order may be sent now.
        """
        grant = self.grant
        if grant is None or self.remaining_s(now_s) <= 0:
            return None
        return grant.offset

    def end_claim(self) -> None:
        """Ends the current claim, whether or not it appeared in the log."""
        if self._current is not None:
            self._ended[self._current.claim_id] = None
            self._current = None
        while len(self._ended) > _MAX_ENDED_CLAIMS:
            self._ended.popitem(last=False)

    def pending_releases(self) -> list[entries.Release]:
        """Returns the releases to append for ended claims.

        A claim that ended because its append got no response may still appear
        in the log later. Its lease is released then.
        """
        return [
            entries.Release(holder=self._holder, claim_id=claim_id)
            for claim_id in self._ended
            if self._table.grant(claim_id) is not None
        ]
