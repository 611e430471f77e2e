"""The lease for weights orders, which one process holds at a time.

A process claims it with a record that the log takes only where the lease's
topic ends. The record's offset is the fencing token. A claim holds for a fixed
time from the moment before it was sent, and the next one may come only after
the claim and a pause have passed since it was read, so that two holders never
order within the lease.
"""

from __future__ import annotations

import dataclasses
import datetime
import hashlib
import json

import logbook

from hibiscusstile import logs, platform
from hibiscusstile.gateway import notices
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import topics

__all__ = ["Claim", "RolloutLease"]

_log = logbook.Logger("rolloutlease")

_TOPIC = "hibiscusstile.weights"
# A rollout of today's fleets takes two to three seconds; a claim is renewed.
_CLAIM_DURATION = datetime.timedelta(seconds=2.5)
# The holder of the last claim goes on at once; others wait until no engine
# has changed for this long.
_TAKEOVER_DELAY_S = 2.0
# Processes that could claim at the same moment spread over this time.
_CLAIM_SPREAD_S = 0.4
_RETRY_DELAY_S = 0.5
# An order that is sent at a claim's end reaches its engine this much later at
# most: it is given up after 0.3 s.
_MAX_DELIVERY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim of the lease.

    Attributes:
        holder: Name of the process that claimed it.
        fence: Its fencing token.
        until_s: When it ends, on the monotonic clock.
    """

    holder: str
    fence: int
    until_s: float


class RolloutLease:
    """Claims the lease, and knows who holds it.

    Args:
        state: State of this gateway process.
        log: Holds the claims.
        reader: Knows the claims that other processes told of.
        name: Name of this process, unique among all.
        pause: Least time between the orders of two holders.
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
    def held(self) -> Claim | None:
        """This process's claim, None if it holds none now."""
        claim = self._last_claim
        if claim is None or claim.holder != self._name:
            return None
        return claim if self._clock.monotonic() < claim.until_s else None

    @property
    def remaining_s(self) -> float:
        """Seconds for which this process still holds the lease."""
        claim = self.held
        return claim.until_s - self._clock.monotonic() if claim else 0.0

    def may_claim(self, unchanged_s: float) -> bool:
        """Returns whether it is this process's turn to claim the lease.

        Args:
            unchanged_s: For how long no engine has changed.
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
        """Returns this process's place in the order of claims, 0 to 1."""
        digest = hashlib.blake2b(self._name.encode(), digest_size=2).digest()
        return int.from_bytes(digest, "big") / 65_536

    async def claim(self) -> bool:
        """Appends a claim where the topic ends; returns whether it holds."""
        if self._topic_end is None and not await self._read_claims():
            self._earliest_claim_s = self._clock.monotonic() + _RETRY_DELAY_S
            return False
        if self._clock.monotonic() < self._earliest_claim_s:
            return False
        sent_s = self._clock.monotonic()
        payload = json.dumps({"holder": self._name}).encode()
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
        if isinstance(result, topics.Conflict):
            logs.event(_log, "lease_lost", end=result.end)
            await self._read_claims()
            return False
        # An append without an answer may still be done seconds later, but
        # only while the topic ends where it did; the claims are read anew.
        logs.event(_log, "lease_unknown", error=result.message)
        self._topic_end = None
        self._earliest_claim_s = self._clock.monotonic() + _RETRY_DELAY_S
        return False

    async def _read_claims(self) -> bool:
        """Learns the last claim and when the next one may come."""
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
        try:
            holder = str(json.loads(payload)["holder"])
        except (ValueError, KeyError, TypeError):
            holder = ""
        # The claim was sent before it was read, or told by its holder.
        sent_s = self._clock.monotonic()
        announced = self._notice_handler.last_claim
        if announced is not None and announced[:2] == (holder, fence):
            sent_s = announced[2]
        until_s = sent_s + _CLAIM_DURATION.total_seconds()
        self._last_claim = Claim(holder, fence, until_s)
        if holder != self._name:
            self._earliest_claim_s = until_s + _MAX_DELIVERY_S + self._pause_s
            logs.event(_log, "lease_held_elsewhere", holder=holder, fence=fence)
