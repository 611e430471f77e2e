"""Lease that lets one process at a time send weights orders.

A process claims the lease by a conditional append to the lease's topic, which
succeeds only at the topic's expected end. The log's era and the record's offset
determine the fencing token. A claim is valid for a fixed time from just before
it is sent. A process that reads another one's claim waits for the claim's
duration, the longest delivery of an order and a pause before it claims the
lease itself, so that two holders never overlap.

A log that has been restored from a copy may have lost claims whose holders
still count on them, and gives their offsets out again. A claim counts only in
its era. A process that learns of a newer era waits as if it had just read a
claim of another process, unless the last claim is its own or one of the new
era.

Once a process has waited in an era without claims, it appends a record that
opens the era. As long as that is the log's last record, nobody holds the lease,
and a process that starts need not wait.
"""

from __future__ import annotations

import datetime

import logbook

from hibiscusstile import logs, platform
from hibiscusstile.gateway import fencing, leaseclaims, notices
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import claimrecords, topics

__all__ = ["Claim", "Holder", "RolloutLease"]

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
# Processes that have waited in a new era read the log at different times, so
# that one of them opens the era and the others see it.
_OPENING_SPREAD_S = 8.0
# Longest delay until an order sent at a claim's end reaches its engine: orders
# time out after 0.3 s.
_MAX_DELIVERY_S = 0.5
# A read starts again if the log was restored or has deleted old records.
_MAX_READ_RESTARTS = 3


Claim = leaseclaims.Claim
Holder = leaseclaims.Holder


class RolloutLease:
    """Claims the lease and tracks its holder.

    Args:
        state: State of this gateway process.
        log: Log that stores the claims.
        notice_handler: Source of the claims that other processes announce.
        holder: This process's instance.
        pause: Minimum time between the orders of two holders.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        log: topics.KeyedLog,
        notice_handler: notices.NoticeHandler,
        holder: Holder,
        pause: datetime.timedelta,
    ) -> None:
        self._state = state
        self._clock = state.clock
        self._log = log
        self._notice_handler = notice_handler
        self._holder = holder
        # Time after a claim's expiry until another process may claim.
        self._grace_s = _MAX_DELIVERY_S + pause.total_seconds()
        self._era: int | None = None
        self._own_claim: Claim | None = None
        self._last_holder: Holder | None = None
        self._highest_fence = 0
        self._topic_end: int | None = None
        # Era and offset of the last claim that was read.
        self._read_claim: tuple[int | None, int] | None = None
        self._opened_era: int | None = None
        self._next_opening_s = 0.0
        self._next_read_s = 0.0
        self._earliest_claim_s = 0.0

    @property
    def held_claim(self) -> Claim | None:
        """Valid claim of this process, or None."""
        claim = self._own_claim
        # Another call to the log may have learned of a new era.
        if claim is None or claim.era != self._log_era():
            return None
        return claim if self._clock.monotonic() < claim.expires_s else None

    @property
    def remaining_s(self) -> float:
        """Seconds until this process's claim expires; 0 if it has none."""
        claim = self.held_claim
        return claim.expires_s - self._clock.monotonic() if claim else 0.0

    def status(self) -> dict[str, object]:
        """Returns the lease as shown to operators."""
        return {
            "era": self._era,
            "holder": self._last_holder.name if self._last_holder else None,
            "held": self.held_claim is not None,
            "highest_token": max(
                self._highest_fence, self._notice_handler.highest_fence
            ),
        }

    def may_claim(self, unchanged_s: float) -> bool:
        """Returns whether this process may try to claim the lease.

        Args:
            unchanged_s: Time since the set of outdated engines last changed.
        """
        if self._clock.monotonic() < self._earliest_claim_s:
            return False
        if self._last_holder == self._holder:
            return True
        spread_s = _CLAIM_SPREAD_S * self._holder.spread_position
        if self._last_holder is None:
            return unchanged_s >= spread_s
        return unchanged_s >= _TAKEOVER_DELAY_S + spread_s

    def observe_era(self) -> None:
        """Adopts the log's era and waits for claims that it may have lost.

        Claims of other eras were sent before now. If other processes still wait
        after this one's claim, none of them has claimed since.
        """
        era = self._log_era()
        if era == self._era:
            return
        logs.event(_log, "lease_era", era=era, before=self._era)
        self._era = era
        self._topic_end = None
        self._next_read_s = 0.0
        if not self._others_wait():
            self._last_holder = None
            now_s = self._clock.monotonic()
            self._earliest_claim_s = self._earliest_after(now_s)

    def _others_wait(self) -> bool:
        """Returns whether other processes still wait after this one's claim."""
        claim = self._own_claim
        return (
            claim is not None
            and self._clock.monotonic() < claim.expires_s + self._grace_s
        )

    def _log_era(self) -> int | None:
        """Returns the era that the log's client knows.

        If it knows none that tokens can represent, the last one stays.
        """
        era = self._log.era
        if era is None or era > fencing.MAX_ERA:
            return self._era
        return era

    async def refresh(self) -> None:
        """Reads the claims once after each change of the log's era.

        The waits that the last claim requires then begin before a rollout is
        needed.
        """
        self.observe_era()
        if (
            self._era is not None
            and self._topic_end is None
            and self._clock.monotonic() >= self._next_read_s
        ):
            await self._read_claims()

    async def open_era(self) -> None:
        """Opens the log's era if no process has claimed the lease in it."""
        if not self._may_open():
            return
        # Another process may have opened it meanwhile.
        if not await self._read_claims() or not self._may_open():
            return
        era = self._era
        self._next_opening_s = self._clock.monotonic() + _OPENING_SPREAD_S
        payload = self._holder.record(era, opens_era=True)
        result = await self._log.append(_TOPIC, payload, self._topic_end)
        self.observe_era()
        if isinstance(result, platform.Appended) and era == self._era:
            logs.event(_log, "lease_era_opened", era=era)
        self._read_again_later()

    def _may_open(self) -> bool:
        spread_s = _OPENING_SPREAD_S * self._holder.spread_position
        return (
            self._era is not None
            and self._topic_end is not None
            and self._last_holder is None
            and self._opened_era != self._era
            and self._clock.monotonic()
            >= max(self._next_opening_s, self._earliest_claim_s + spread_s)
        )

    async def claim(self) -> bool:
        """Appends a claim; returns whether it succeeded.

        If it failed, an earlier claim of this process stays valid until it
        expires.
        """
        self.observe_era()
        if self._topic_end is None and not await self._read_claims():
            return False
        if self._clock.monotonic() < self._earliest_claim_s:
            return False
        era = self._era
        sent_s = self._clock.monotonic()
        payload = self._holder.record(era)
        result = await self._log.append(_TOPIC, payload, self._topic_end)
        if isinstance(result, platform.Appended):
            return self._note_appended(result, era, sent_s)
        if isinstance(result, topics.AppendConflict):
            logs.event(_log, "lease_lost", end=result.end)
            self.observe_era()
            await self._read_claims()
            return False
        # The append may still succeed seconds later, but only while the topic's
        # end is unchanged, so the claims are read again before the next try.
        logs.event(_log, "lease_unknown", error=result.message)
        self._read_again_later()
        return False

    def _note_appended(
        self, result: platform.Appended, era: int | None, sent_s: float
    ) -> bool:
        """Records an appended claim; returns whether it counts.

        Args:
            result: Response to the append.
            era: Era that the claim names.
            sent_s: When the append was sent, on the monotonic clock.
        """
        self.observe_era()
        if result.era != era or self._era != era:
            # The claim was appended at an offset that another era gave out.
            logs.event(_log, "lease_outdated", era=era, current=self._era)
            self._read_again_later()
            return False
        self._topic_end = result.offset + 1
        self._last_holder = self._holder
        fence = fencing.fencing_token(era, result.offset)
        floor = max(self._highest_fence, self._notice_handler.highest_fence)
        if fence is None or fence <= floor:
            # Without eras, offsets pass the floor again after some claims.
            logs.warn(_log, "lease_token_unusable", fence=fence, floor=floor)
            now_s = self._clock.monotonic()
            self._earliest_claim_s = (
                now_s + _RETRY_DELAY_S
                if era is None
                else self._earliest_after(now_s)
            )
            return False
        self._highest_fence = fence
        self._own_claim = Claim(
            fence, era, sent_s + _CLAIM_DURATION.total_seconds()
        )
        self._state.notices.add_claim(fence)
        logs.event(_log, "lease_won", fence=fence, era=era)
        return True

    def _earliest_after(self, sent_s: float) -> float:
        """Returns when a process may claim after another one's claim."""
        return sent_s + _CLAIM_DURATION.total_seconds() + self._grace_s

    def _read_again_later(self) -> None:
        self._topic_end = None
        self._next_read_s = self._clock.monotonic() + _RETRY_DELAY_S
        self._earliest_claim_s = max(self._earliest_claim_s, self._next_read_s)

    async def _read_claims(self) -> bool:
        """Reads the last claim and sets the earliest time of the next one.

        Returns whether the log responded.
        """
        offset = self._topic_end or 0
        last: tuple[claimrecords.ClaimRecord | None, int] | None = None
        restarts, claims_hidden = 0, False
        while restarts <= _MAX_READ_RESTARTS:
            known_era = self._era
            records = await self._log.read(
                _TOPIC, offset, datetime.timedelta(0)
            )
            if isinstance(records, platform.LogUnavailable):
                break
            self.observe_era()
            if records.era != self._era:
                break
            if self._era != known_era and offset:
                # The offset was one of an earlier era.
                restarts += 1
                offset, last = 0, None
                continue
            if isinstance(records, topics.Trimmed):
                restarts += 1
                claims_hidden = self._era is not None
                offset = records.first
                continue
            for index, payload in enumerate(records.payloads):
                record = claimrecords.decode(payload)
                if not self._is_of_earlier_era(record):
                    last = record, offset + index
            offset = records.next_offset
            if offset >= records.end or not records.payloads:
                self._topic_end = records.end
                if last is not None and self._is_opening(*last):
                    self._note_opening()
                elif last is not None:
                    self._note_claim(*last)
                elif claims_hidden and not self._others_wait():
                    self._note_claim(None, offset - 1)
                return True
        self._read_again_later()
        return False

    def _is_opening(
        self, record: claimrecords.ClaimRecord | None, offset: int
    ) -> bool:
        return (
            record is not None
            and record.opens_era
            and record.era == self._era
            and offset + 1 == self._topic_end
        )

    def _is_of_earlier_era(
        self, record: claimrecords.ClaimRecord | None
    ) -> bool:
        return (
            record is not None
            and record.era is not None
            and self._era is not None
            and record.era < self._era
        )

    def _note_opening(self) -> None:
        self._opened_era = self._era
        self._last_holder = None
        self._earliest_claim_s = self._clock.monotonic()

    def _note_claim(
        self, record: claimrecords.ClaimRecord | None, offset: int
    ) -> None:
        """Records the last claim that was read.

        Args:
            record: The claim; None if it is unreadable.
            offset: Its offset.
        """
        if self._read_claim == (self._era, offset):
            return
        self._read_claim = self._era, offset
        now_s = self._clock.monotonic()
        self._last_holder = (
            Holder(record.holder, record.address) if record else Holder("", "")
        )
        if record is None or record.era != self._era:
            # An older release or another writer appended it at some time.
            self._own_claim = None
            self._earliest_claim_s = self._earliest_after(now_s)
            return
        if self._last_holder == self._holder:
            if self._era is not None:
                self._earliest_claim_s = now_s
            return
        # The log does not record the send time. The arrival of the holder's
        # notice is a tighter upper bound for it than the time of this read.
        fence = fencing.fencing_token(record.era, offset)
        announced = self._notice_handler.last_claim
        sent_s = now_s
        if announced is not None and announced[:2] == (record.holder, fence):
            sent_s = announced[2]
        self._own_claim = None
        self._earliest_claim_s = self._earliest_after(sent_s)
        logs.event(
            _log, "lease_held_elsewhere", holder=record.holder, fence=fence
        )
