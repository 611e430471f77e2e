"""Lease that lets one process at a time send weights orders.

A process claims the lease by a conditional append to the lease's topic, which
succeeds only at the topic's expected end. The record's offset determines the
fencing token. A claim is valid for a fixed time from just before it is sent.
A process that reads another one's claim waits for the claim's duration, the
longest delivery of an order and a pause before it claims the lease itself, so
that two holders never overlap.
"""

from __future__ import annotations

import dataclasses
import datetime
import hashlib

import logbook

from hibiscusstile import logs, platform
from hibiscusstile.gateway import notices
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import claimrecords, topics

__all__ = ["Claim", "RolloutLease"]

_log = logbook.Logger("rolloutlease")

_TOPIC = "hibiscusstile.weights"
# A rollout takes two to three seconds on deployed fleets; claims are renewed.
_CLAIM_DURATION = datetime.timedelta(seconds=2.5)
# The last holder may claim again at once. Other processes that know of its
# claim wait until the set of outdated engines has not changed for this long.
_TAKEOVER_DELAY_S = 2.0
# Claims of processes that become eligible together spread over this time.
_CLAIM_SPREAD_S = 0.4
_RETRY_DELAY_S = 0.5
# Longest delay until an order sent at a claim's end reaches its engine: orders
# time out after 0.3 s.
_MAX_DELIVERY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim of the lease.

    Attributes:
        holder: Name of the process that holds the claim.
        fence: Fencing token of the claim.
        expires_s: Expiry time on the monotonic clock.
    """

    holder: str
    fence: int
    expires_s: float


class RolloutLease:
    """Claims the lease and tracks its holder.

    Args:
        state: State of this gateway process.
        log: Log that stores the claims.
        notice_handler: Source of the claims that other processes announce.
        name: Unique name of this process.
        pause: Minimum time between the orders of two holders.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        log: topics.KeyedLog,
        notice_handler: notices.NoticeHandler,
        name: str,
        pause: datetime.timedelta,
    ) -> None:
        self._state = state
        self._clock = state.clock
        self._log = log
        self._notice_handler = notice_handler
        self._name = name
        self._pause_s = pause.total_seconds()
        self._last_claim: Claim | None = None
        self._topic_end: int | None = None
        self._earliest_claim_s = 0.0

    @property
    def held_claim(self) -> Claim | None:
        """Valid claim of this process, or None."""
        claim = self._last_claim
        if claim is None or claim.holder != self._name:
            return None
        return claim if self._clock.monotonic() < claim.expires_s else None

    @property
    def remaining_s(self) -> float:
        """Seconds until this process's claim expires; 0 if it has none."""
        claim = self.held_claim
        return claim.expires_s - self._clock.monotonic() if claim else 0.0

    def may_claim(self, unchanged_s: float) -> bool:
        """Returns whether this process may try to claim the lease.

        Args:
            unchanged_s: Time since the set of outdated engines last changed.
        """
        now_s = self._clock.monotonic()
        if now_s < self._earliest_claim_s:
            return False
        last = self._last_claim
        if last is not None and last.holder == self._name:
            return True
        if last is None and self._topic_end is None:
            return unchanged_s >= _CLAIM_SPREAD_S * self._spread_position()
        return (
            unchanged_s
            >= _TAKEOVER_DELAY_S + _CLAIM_SPREAD_S * self._spread_position()
        )

    def _spread_position(self) -> float:
        """Returns this process's place among claimants, from 0 to 1."""
        digest = hashlib.blake2b(self._name.encode(), digest_size=2).digest()
        return int.from_bytes(digest, "big") / 65_536

    async def claim(self) -> bool:
        """Appends a claim; returns whether the append succeeded.

        If it failed, an earlier claim of this process stays valid until it
        expires.
        """
        if self._topic_end is None and not await self._read_claims():
            self._earliest_claim_s = self._clock.monotonic() + _RETRY_DELAY_S
            return False
        if self._clock.monotonic() < self._earliest_claim_s:
            return False
        sent_s = self._clock.monotonic()
        payload = claimrecords.encode(claimrecords.ClaimRecord(self._name))
        result = await self._log.append(_TOPIC, payload, self._topic_end)
        if isinstance(result, platform.Appended):
            self._topic_end = result.offset + 1
            self._last_claim = Claim(
                self._name,
                result.offset + 1,
                sent_s + _CLAIM_DURATION.total_seconds(),
            )
            self._state.notices.add_claim(result.offset + 1)
            logs.event(_log, "lease_won", fence=result.offset + 1)
            return True
        if isinstance(result, topics.AppendConflict):
            logs.event(_log, "lease_lost", end=result.end)
            await self._read_claims()
            return False
        # The append may still succeed seconds later, but only while the topic's
        # end is unchanged, so the claims are read again before the next try.
        logs.event(_log, "lease_unknown", error=result.message)
        self._topic_end = None
        self._earliest_claim_s = self._clock.monotonic() + _RETRY_DELAY_S
        return False

    async def _read_claims(self) -> bool:
        """Reads the last claim and sets the earliest time of the next one.

        Returns whether the log responded.
        """
        offset = self._topic_end or 0
        last: bytes | None = None
        while True:
            records = await self._log.read(
                _TOPIC, offset, datetime.timedelta(0)
            )
            if isinstance(records, platform.LogUnavailable):
                self._topic_end = None
                return False
            if isinstance(records, topics.Trimmed):
                offset = records.first
                continue
            if records.payloads:
                last = records.payloads[-1]
            offset = records.next_offset
            if offset >= records.end or not records.payloads:
                break
        self._topic_end = records.end
        if last is not None:
            self._note_claim(last, records.end)
        return True

    def _note_claim(self, payload: bytes, fence: int) -> None:
        record = claimrecords.decode(payload)
        holder = record.holder if record else ""
        # The log does not record the send time. The arrival of the holder's
        # notice is a tighter upper bound for it than the time of this read.
        sent_s = self._clock.monotonic()
        announced = self._notice_handler.last_claim
        if announced is not None and announced[:2] == (holder, fence):
            sent_s = announced[2]
        expires_s = sent_s + _CLAIM_DURATION.total_seconds()
        self._last_claim = Claim(holder, fence, expires_s)
        if holder != self._name:
            self._earliest_claim_s = expires_s + _MAX_DELIVERY_S + self._pause_s
            logs.event(_log, "lease_held_elsewhere", holder=holder, fence=fence)
