"""Decisions of one sidecar on calls that have an idempotency key."""

from __future__ import annotations

import collections
import datetime
import enum

from hibiscusstile import clock as clock_lib
from hibiscusstile import identity, outcome, platform, request
from hibiscusstile.claims import (
    decisions,
    entries,
    keytable,
    ledgerlimits,
    refusals,
    replica,
    replycache,
)
from hibiscusstile.claims import outbox as outbox_lib

__all__ = ["Ledger"]


class _ClaimState(enum.Enum):
    """State of a claim of this process, as far as it knows the log.

    PENDING claims were not read back yet. Another claim of the same key came
    before an INACTIVE one.
    """

    PENDING = enum.auto()
    ACTIVE = enum.auto()
    INACTIVE = enum.auto()
    APPEND_REFUSED = enum.auto()
    STARTED = enum.auto()


class Ledger:
    """Decides which process runs a call; the first claim in the log wins.

    A claimed call is run only by the process that made the claim, and only
    after this process has read the log up to the claim and found it active.
    A process that abandons a claim appends a release, after which it never
    starts the call; until then no other process can take over the key.
    A process that is suspended at any point and resumed later therefore
    cannot cause a second run.

    Args:
        peer_id: Peer id of this sidecar.
        incarnation: Id of this process, new at each start.
        clock: Measures deadlines.
        limits: Limits on memory and time.
    """

    def __init__(
        self,
        peer_id: str,
        incarnation: str,
        clock: clock_lib.Clock,
        limits: ledgerlimits.LedgerLimits,
    ) -> None:
        self._peer_id = peer_id
        self._incarnation = incarnation
        self._clock = clock
        self._limits = limits
        self._replica = replica.ClaimReplica(clock)
        self._outbox = outbox_lib.Outbox(clock)
        self._reply_cache = replycache.ReplyCache(limits.max_reply_bytes)
        self._own_claims: dict[str, _ClaimState] = {}
        self._pending_claims: collections.Counter[bytes] = collections.Counter()
        self._changed_keys: set[bytes] = set()
        self._log_readable = True

    def __len__(self) -> int:
        """Number of keys, releases, own claims and queued records."""
        return len(self._replica) + len(self._own_claims) + len(self._outbox)

    @property
    def next_offset(self) -> int:
        """Log offset of the next entry to read."""
        return self._replica.next_offset

    @property
    def outbox(self) -> outbox_lib.Outbox:
        """Records to append to the log."""
        return self._outbox

    @property
    def caught_up(self) -> bool:
        """Whether the stream was read to its end at least once."""
        return self._replica.caught_up

    def has_claim(self, key: bytes) -> bool:
        """Returns whether the key has an active or a pending claim."""
        return self._replica.get(key) is not None or key in self._pending_claims

    def pop_changed_keys(self) -> set[bytes]:
        """Returns and clears the keys that changed since the last call."""
        changed, self._changed_keys = self._changed_keys, set()
        return changed

    def new_attempt(
        self,
        digests: entries.CallDigests,
        start_timeout: datetime.timedelta,
        run_timeout: datetime.timedelta,
    ) -> decisions.CallAttempt:
        """Returns a new attempt at a call.

        Args:
            digests: Digests of the call.
            start_timeout: Maximum delay of the run, besides the claim timeout.
            run_timeout: Maximum duration of a run, from claim to reply.
        """
        now_s = self._clock.monotonic()
        timeout_s = self._limits.claim_timeout.total_seconds()
        return decisions.CallAttempt(
            digests,
            now_s + timeout_s + start_timeout.total_seconds(),
            now_s + run_timeout.total_seconds(),
            run_timeout,
        )

    def decide(self, attempt: decisions.CallAttempt) -> decisions.Decision:
        """Returns the next step of an attempt.

        A refusal or a replay ends the attempt.
        """
        claimed = self._replica.get(attempt.digests.key)
        if claimed is None:
            return self._decide_unclaimed(attempt)
        if claimed.claim_id == attempt.claim_id:
            if self._replica.blocked:
                return self._abandon_and_refuse(
                    attempt, refusals.claim_unavailable()
                )
            if self._clock.monotonic() >= attempt.start_deadline_s:
                return self._abandon_and_refuse(
                    attempt, refusals.start_deadline_exceeded()
                )
            return decisions.Start()
        if not self._replica.caught_up:
            return self._wait_for_catch_up(attempt)
        if claimed.content != attempt.digests.content:
            self.abandon(attempt)
            return refusals.key_conflict()
        if claimed.verdict is not None:
            self.abandon(attempt)
            return self._recorded_result(claimed)
        return self._wait_for_active_claim(attempt, claimed)

    def start(self, attempt: decisions.CallAttempt) -> outcome.Refusal | None:
        """Checks the claim again, right before the first byte is sent.

        Returns None if the call must be sent now. The deadline is checked
        again because the process may have been suspended since `decide`.
        """
        claimed = self._replica.get(attempt.digests.key)
        if (
            claimed is None
            or claimed.claim_id != attempt.claim_id
            or self._own_claims.get(attempt.claim_id) is not _ClaimState.ACTIVE
            or self._replica.blocked
            or self._clock.monotonic() >= attempt.start_deadline_s
        ):
            return self._abandon_and_refuse(
                attempt, refusals.start_deadline_exceeded()
            )
        self._own_claims[attempt.claim_id] = _ClaimState.STARTED
        return None

    def mark_unsent(self, attempt: decisions.CallAttempt) -> None:
        """Undoes a start of which no byte left this process."""
        if self._own_claims.get(attempt.claim_id) is _ClaimState.STARTED:
            self._own_claims[attempt.claim_id] = _ClaimState.ACTIVE

    def finish(
        self,
        attempt: decisions.CallAttempt,
        verdict: outcome.Verdict,
        reply: request.ServiceReply | None = None,
    ) -> None:
        """Records the result of a run, locally at once and in the log."""
        if (
            self._own_claims.pop(attempt.claim_id, None)
            is not _ClaimState.STARTED
        ):
            return
        key = attempt.digests.key
        claimed = self._replica.get(key)
        if claimed is not None and claimed.claim_id == attempt.claim_id:
            claimed.verdict = verdict
        logged = reply
        if reply is not None:
            self._reply_cache.put(attempt.claim_id, reply)
            if len(reply.body) > entries.MAX_LOGGED_BODY_BYTES:
                logged = None
        self._outbox.put(
            entries.Completed(attempt.claim_id, key, verdict, logged)
        )
        self._changed_keys.add(key)

    def abandon(self, attempt: decisions.CallAttempt) -> None:
        """Gives up the attempt's claim unless its run has started.

        The claim is removed from the outbox if it was never sent to the log;
        otherwise it is released through the log.
        """
        state = self._own_claims.get(attempt.claim_id)
        if state is None or state is _ClaimState.STARTED:
            return
        del self._own_claims[attempt.claim_id]
        key = attempt.digests.key
        if state is _ClaimState.PENDING:
            self._remove_pending_claim(key)
        appended = self._outbox.withdraw(attempt.claim_id)
        if state is _ClaimState.ACTIVE or (
            state is _ClaimState.PENDING and appended
        ):
            self._outbox.put(entries.Release(attempt.claim_id, key))
        self._changed_keys.add(key)

    def handle_append_result(
        self,
        batch: outbox_lib.Batch,
        result: platform.Appended
        | platform.AppendRefused
        | platform.AppendUnknown,
    ) -> None:
        """Handles the result of appending a batch."""
        for claim in self._outbox.complete_batch(batch, result):
            if self._own_claims.get(claim.claim_id) is _ClaimState.PENDING:
                self._own_claims[claim.claim_id] = _ClaimState.APPEND_REFUSED
                self._remove_pending_claim(claim.digests.key)
                self._changed_keys.add(claim.digests.key)

    def mark_unreadable(self) -> None:
        """Stops new claims until the log can be read again."""
        self._log_readable = False

    def apply(self, page: platform.LogEntries) -> None:
        """Applies a page read from `next_offset`."""
        self._log_readable = True
        for record in self._replica.apply(page):
            match record:
                case entries.Claim():
                    self._handle_claim(record)
                    self._changed_keys.add(record.digests.key)
                case entries.Release():
                    self._changed_keys.add(record.key)
                case entries.Completed():
                    if record.reply is not None:
                        self._reply_cache.put(record.claim_id, record.reply)
                    self._changed_keys.add(record.key)
            self._outbox.discard(record)

    def _handle_claim(self, record: entries.Claim) -> None:
        claimed = self._replica.get(record.digests.key)
        is_active = claimed is not None and claimed.claim_id == record.claim_id
        if record.incarnation != self._incarnation:
            return
        state = self._own_claims.get(record.claim_id)
        if state is _ClaimState.PENDING:
            self._remove_pending_claim(record.digests.key)
            self._own_claims[record.claim_id] = (
                _ClaimState.ACTIVE if is_active else _ClaimState.INACTIVE
            )
        elif is_active and state is not _ClaimState.ACTIVE:
            self._release_late_claim(record, state)

    def _release_late_claim(
        self, record: entries.Claim, state: _ClaimState | None
    ) -> None:
        """Releases a claim that became active after it was abandoned."""
        claimed = self._replica.get(record.digests.key)
        if state is _ClaimState.STARTED or claimed is None or claimed.verdict:
            return
        self._own_claims.pop(record.claim_id, None)
        self._outbox.put(entries.Release(record.claim_id, record.digests.key))

    def _decide_unclaimed(
        self, attempt: decisions.CallAttempt
    ) -> decisions.Decision:
        now_s = self._clock.monotonic()
        state = self._own_claims.get(attempt.claim_id)
        if state is _ClaimState.APPEND_REFUSED:
            return self._abandon_and_refuse(
                attempt, refusals.claim_unavailable()
            )
        if state is _ClaimState.PENDING:
            if now_s >= attempt.claim_deadline_s:
                return self._abandon_and_refuse(
                    attempt, refusals.claim_unavailable()
                )
            return decisions.Wait(attempt.claim_deadline_s)
        self.abandon(attempt)
        if now_s >= attempt.start_deadline_s:
            return refusals.claim_unavailable()
        if (
            not self._replica.caught_up
            or self._pending_claims[attempt.digests.key]
        ):
            return decisions.Wait(attempt.start_deadline_s)
        refusal = self._check_claim_allowed()
        if refusal is None:
            self._queue_claim(attempt)
            return decisions.Wait(attempt.claim_deadline_s)
        return refusal

    def _queue_claim(self, attempt: decisions.CallAttempt) -> None:
        timeout_s = self._limits.claim_timeout.total_seconds()
        attempt.claim_deadline_s = self._clock.monotonic() + timeout_s
        attempt.claim_id = identity.new_id("clm")
        self._own_claims[attempt.claim_id] = _ClaimState.PENDING
        self._pending_claims[attempt.digests.key] += 1
        self._outbox.put(
            entries.Claim(
                attempt.claim_id,
                attempt.digests,
                self._peer_id,
                self._incarnation,
            )
        )

    def _check_claim_allowed(self) -> outcome.Refusal | None:
        log_usable = self._log_readable and not self._outbox.in_backoff
        if not log_usable or self._replica.blocked:
            return refusals.claim_unavailable()
        if len(self._replica) >= self._limits.max_keys or self._outbox.is_full:
            return refusals.claim_unavailable(outcome.Reason.OVERLOADED)
        return None

    def _wait_for_catch_up(
        self, attempt: decisions.CallAttempt
    ) -> decisions.Decision:
        """Waits until the replica has caught up with the log."""
        if self._clock.monotonic() < attempt.start_deadline_s:
            return decisions.Wait(attempt.start_deadline_s)
        return self._abandon_and_refuse(
            attempt,
            refusals.claim_unavailable(verdict=outcome.Verdict.MAY_HAVE_RUN),
        )

    def _wait_for_active_claim(
        self, attempt: decisions.CallAttempt, claimed: keytable.ClaimedKey
    ) -> decisions.Decision:
        """Waits for the active claim's run while it can still end."""
        state = self._own_state(claimed)
        if state is _ClaimState.INACTIVE:
            if self._clock.monotonic() < attempt.start_deadline_s:
                return decisions.Wait(attempt.start_deadline_s)
            return self._abandon_and_refuse(
                attempt, refusals.claim_unavailable()
            )
        deadline_s = attempt.reply_deadline_s
        if state is None:
            age_s = self._clock.now().timestamp() - claimed.time_s
            remaining_s = attempt.run_timeout.total_seconds() - age_s
            if claimed.peer_id == self._peer_id:
                remaining_s = 0.0
            deadline_s = min(deadline_s, self._clock.monotonic() + remaining_s)
        if self._clock.monotonic() < deadline_s:
            return decisions.Wait(deadline_s)
        self.abandon(attempt)
        return refusals.may_have_run()

    def _recorded_result(
        self, claimed: keytable.ClaimedKey
    ) -> decisions.Decision:
        if claimed.verdict is not outcome.Verdict.RAN:
            return refusals.may_have_run()
        reply = self._reply_cache.get(claimed.claim_id)
        if reply is not None:
            return decisions.Replay(reply)
        if claimed.reply_offset >= 0:
            return decisions.ReplayFromLog(
                claimed.claim_id, claimed.reply_offset
            )
        return refusals.reply_unavailable()

    def _own_state(self, claimed: keytable.ClaimedKey) -> _ClaimState | None:
        """Returns the state of this process's claim, None for other claims.

        A claim that this process has abandoned counts as inactive.
        """
        if claimed.incarnation != self._incarnation:
            return None
        return self._own_claims.get(claimed.claim_id, _ClaimState.INACTIVE)

    def _abandon_and_refuse(
        self, attempt: decisions.CallAttempt, refusal: outcome.Refusal
    ) -> outcome.Refusal:
        self.abandon(attempt)
        return refusal

    def _remove_pending_claim(self, key: bytes) -> None:
        self._pending_claims[key] -= 1
        if self._pending_claims[key] <= 0:
            del self._pending_claims[key]
