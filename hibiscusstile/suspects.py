"""Finds requests that crash engines, and blocks them."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import hashlib
from collections.abc import Collection, Iterable
from typing import Annotated, TypeAlias

import pydantic

from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome, request

__all__ = [
    "Clearance",
    "CrashCharge",
    "CrashedEngine",
    "Fact",
    "SuspectTable",
    "fingerprint",
]

_FACT_TTL = datetime.timedelta(minutes=10)
_MAX_CHARGES = 256
_MAX_CLEARANCES = 4096
_MAX_FINGERPRINTS = 256
# Crashes this close together likely share an outside cause, such as a power
# failure.
_BURST_GAP_S = 10.0
_MIN_BURST_CRASHES = 3
_DIGEST_BYTES = 16
_Text = Annotated[str, pydantic.StringConstraints(max_length=512)]
_Age = Annotated[float, pydantic.Field(ge=0.0, allow_inf_nan=False)]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashedEngine:
    """The engine process that crashed; its fields identify the crash."""

    zone: str
    peer_id: str
    incarnation: str

    @property
    def crash_id(self) -> str:
        """The crash identifier, `zone/peer_id/incarnation`."""
        return f"{self.zone}/{self.peer_id}/{self.incarnation}"


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCharge:
    """A crash and all requests charged with it.

    Attributes:
        crash_id: The crash, as in `CrashedEngine.crash_id`.
        fingerprints: Fingerprints of the charged requests.
        age_s: Seconds from the crash until this was sent.
    """

    crash_id: _Text
    fingerprints: Annotated[
        tuple[_Text, ...],
        pydantic.Field(min_length=1, max_length=_MAX_FINGERPRINTS),
    ]
    age_s: _Age = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """Withdraws charges against a request that has completed since.

    Attributes:
        fingerprint: Fingerprint of the request.
        crash_ids: The crashes it is no longer charged with.
        age_s: Seconds from its completion until this was sent.
    """

    fingerprint: _Text
    crash_ids: tuple[_Text, ...]
    age_s: _Age = 0.0


Fact: TypeAlias = CrashCharge | Clearance


def fingerprint(workspace: str, chat: request.ChatRequest) -> str:
    """Returns a digest that is the same whenever a request is sent again."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    fields = [workspace, chat.model, chat.adapter, str(chat.max_tokens)]
    for message in chat.messages:
        fields.append(message.role)
        fields.append(str(len(message.parts)))
        fields.extend(part.kind.value + part.text for part in message.parts)
    for field in fields:
        data = field.encode()
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


class SuspectTable:
    """Tells requests that crash engines from those that ran alongside them.

    A crash is charged to the suspects that were running on the engine, or to
    all requests running there if none was suspect. A suspect is a request
    with an open charge. A request is blocked when it is the only one charged
    with both of two crashes.

    Charges and clearances form a grow-only set of facts that expire, so
    processes that have exchanged all of them reach the same result, whatever
    the order.

    Crashes in a burst count against no request unless one request is charged
    with more than half of them: the loss of a rack or an availability zone
    stops many engines within seconds, and the requests that are retried from
    one to the next must not be taken for its cause.

    Args:
        clock: Measures the age of facts.
        ttl: Lifetime of a fact.
    """

    def __init__(
        self, clock: clock_lib.Clock, ttl: datetime.timedelta = _FACT_TTL
    ) -> None:
        self._clock = clock
        self._ttl_s = ttl.total_seconds()
        # Time of the crash and charged fingerprints, by crash ID.
        self._charges: dict[str, tuple[float, frozenset[str]]] = {}
        # Time of the clearance, by fingerprint and crash ID.
        self._clearances: dict[tuple[str, str], float] = {}
        self._crashes_by_request: dict[str, set[str]] = {}
        # Pairs of crashes with exactly one request in common, by this request.
        self._sole_pairs: dict[str, set[tuple[str, str]]] = {}
        self._burst_crashes: set[str] = set()

    def __len__(self) -> int:
        """Returns the number of stored charges and clearances."""
        return len(self._charges) + len(self._clearances)

    def charged_crashes(self, request_fingerprint: str) -> list[str]:
        """Returns the crashes that currently count against a request."""
        if request_fingerprint not in self._crashes_by_request:
            return []
        self._expire()
        return sorted(self._current_charges(request_fingerprint))

    def is_suspect(self, request_fingerprint: str) -> bool:
        """Returns whether a request is charged with a crash.

        It must then not run alongside other suspects.
        """
        return bool(self.charged_crashes(request_fingerprint))

    def is_blocked(self, request_fingerprint: str) -> bool:
        """Returns whether a request must not run again."""
        if request_fingerprint not in self._sole_pairs:
            return False
        crashes = set(self.charged_crashes(request_fingerprint))
        pairs = self._sole_pairs.get(request_fingerprint, ())
        return any(crashes.issuperset(pair) for pair in pairs)

    def refusal(
        self,
        request_fingerprint: str,
        verdict: outcome.Verdict = outcome.Verdict.NOT_RUN,
    ) -> outcome.Refusal | None:
        """Returns the refusal of a blocked request, or None if not blocked."""
        if not self.is_blocked(request_fingerprint):
            return None
        return outcome.Refusal(
            outcome.Reason.SUSPECT,
            "engines crashed twice while they ran this request",
            verdict,
        )

    def note_crash(
        self, engine: CrashedEngine, running: Collection[str]
    ) -> CrashCharge | None:
        """Charges a crash to requests.

        Args:
            engine: The engine that crashed.
            running: Fingerprints of the requests that it was running.

        Returns:
            The new charge, or None if the crash was already charged or no
            request was running.
        """
        self._expire()
        suspected = {each for each in running if self._current_charges(each)}
        charged = sorted(suspected or set(running))[:_MAX_FINGERPRINTS]
        charge = CrashCharge(engine.crash_id, tuple(charged))
        if not charged or not self.merge([charge]):
            return None
        return charge

    def note_completed(self, request_fingerprint: str) -> Clearance | None:
        """Clears a completed request; returns None if it had no charges."""
        charged = self.charged_crashes(request_fingerprint)
        clearance = Clearance(request_fingerprint, tuple(charged))
        if not charged or not self.merge([clearance]):
            return None
        return clearance

    def merge(self, facts: Iterable[Fact]) -> list[Fact]:
        """Adds facts and returns those that were not known."""
        self._expire()
        new = [fact for fact in facts if self._add(fact)]
        if new:
            self._update_bursts()
        return new

    def facts(self) -> list[Fact]:
        """Returns all facts, to send to a process that has just connected."""
        self._expire()
        now_s = self._clock.monotonic()
        charges: list[Fact] = [
            CrashCharge(crash_id, tuple(sorted(digests)), now_s - at_s)
            for crash_id, (at_s, digests) in self._charges.items()
        ]
        return charges + [
            Clearance(digest, (crash_id,), now_s - at_s)
            for (digest, crash_id), at_s in self._clearances.items()
        ]

    def charges_of(self, request_fingerprint: str) -> list[Fact]:
        """Returns the stored charges against a request."""
        self._expire()
        now_s = self._clock.monotonic()
        facts: list[Fact] = []
        for crash_id in sorted(
            self._crashes_by_request.get(request_fingerprint, ())
        ):
            at_s, digests = self._charges[crash_id]
            facts.append(
                CrashCharge(crash_id, tuple(sorted(digests)), now_s - at_s)
            )
        return facts

    def _current_charges(self, request_fingerprint: str) -> list[str]:
        return [
            crash_id
            for crash_id in self._crashes_by_request.get(
                request_fingerprint, ()
            )
            if crash_id not in self._burst_crashes
            and (request_fingerprint, crash_id) not in self._clearances
        ]

    def _add(self, fact: Fact) -> bool:
        at_s = self._clock.monotonic() - fact.age_s
        if fact.age_s >= self._ttl_s:
            return False
        if isinstance(fact, Clearance):
            keys = [(fact.fingerprint, each) for each in fact.crash_ids]
            new = [key for key in keys if key not in self._clearances]
            self._clearances.update((key, at_s) for key in new)
            while len(self._clearances) > _MAX_CLEARANCES:
                del self._clearances[next(iter(self._clearances))]
            return bool(new)
        if fact.crash_id in self._charges:
            return False
        charged = frozenset(fact.fingerprints)
        for crash_id, (_, digests) in self._charges.items():
            common = charged & digests
            if len(common) == 1:
                (sole,) = common
                pairs = self._sole_pairs.setdefault(sole, set())
                pairs.add((crash_id, fact.crash_id))
        self._charges[fact.crash_id] = at_s, charged
        for each in fact.fingerprints:
            self._crashes_by_request.setdefault(each, set()).add(fact.crash_id)
        if len(self._charges) > _MAX_CHARGES:
            self._remove_charge(
                min(self._charges, key=lambda c: self._charges[c][0])
            )
        return True

    def _expire(self) -> None:
        cutoff_s = self._clock.monotonic() - self._ttl_s
        expired = [
            c for c, (at_s, _) in self._charges.items() if at_s <= cutoff_s
        ]
        for crash_id in expired:
            self._remove_charge(crash_id)
        for key in [
            k for k, at_s in self._clearances.items() if at_s <= cutoff_s
        ]:
            del self._clearances[key]
        if expired:
            self._update_bursts()

    def _remove_charge(self, crash_id: str) -> None:
        _, digests = self._charges.pop(crash_id)
        for each in digests:
            self._crashes_by_request[each].discard(crash_id)
            if not self._crashes_by_request[each]:
                del self._crashes_by_request[each]
            pairs = self._sole_pairs.get(each, set())
            pairs -= {pair for pair in pairs if crash_id in pair}
            if not pairs:
                self._sole_pairs.pop(each, None)

    def _update_bursts(self) -> None:
        self._burst_crashes.clear()
        ordered = sorted(self._charges, key=lambda c: self._charges[c][0])
        group: list[str] = []
        for crash_id in ordered:
            at_s = self._charges[crash_id][0]
            if group and at_s - self._charges[group[-1]][0] > _BURST_GAP_S:
                self._check_burst(group)
                group = []
            group.append(crash_id)
        self._check_burst(group)

    def _check_burst(self, group: list[str]) -> None:
        if len(group) < _MIN_BURST_CRASHES:
            return
        counts = collections.Counter(
            digest
            for crash_id in group
            for digest in self._charges[crash_id][1]
        )
        if max(counts.values()) <= len(group) / 2:
            self._burst_crashes.update(group)
