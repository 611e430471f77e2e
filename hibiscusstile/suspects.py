"""Requests that were running when an engine crashed."""

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
# Unrelated crashes this close together have a common cause, such as power.
_BURST_GAP_S = 10.0
_MIN_BURST_CRASHES = 3
_DIGEST_BYTES = 16
_Text = Annotated[str, pydantic.StringConstraints(max_length=512)]
_Age = Annotated[float, pydantic.Field(ge=0.0, allow_inf_nan=False)]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashedEngine:
    """Which engine crashed; its text is the crash's identifier."""

    zone: str
    peer_id: str
    incarnation: str

    @property
    def crash_id(self) -> str:
        """The identifier, `zone/peer/incarnation`."""
        return f"{self.zone}/{self.peer_id}/{self.incarnation}"


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCharge:
    """A crash and all requests charged with it.

    Attributes:
        crash_id: The crash, as `CrashedEngine` writes it.
        fingerprints: The requests.
        age_s: Seconds since the crash when this was written.
    """

    crash_id: _Text
    fingerprints: Annotated[
        tuple[_Text, ...],
        pydantic.Field(min_length=1, max_length=_MAX_FINGERPRINTS),
    ]
    age_s: _Age = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """A charged request has completed after all.

    Attributes:
        fingerprint: The request.
        crash_ids: The crashes it is no longer charged with.
        age_s: Seconds since it completed when this was written.
    """

    fingerprint: _Text
    crash_ids: tuple[_Text, ...]
    age_s: _Age = 0.0


Fact: TypeAlias = CrashCharge | Clearance


def fingerprint(workspace: str, chat: request.ChatRequest) -> str:
    """Returns a digest by which a resend of a request is recognised."""
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
    """Tells a request that crashes engines from those that ran beside it.

    A request is charged with each crash that it was running at; where a
    request that was charged before was running, only such requests are. A
    request is convicted when it is the only one that two crashes have in
    common. Facts are only added, so processes that have exchanged all of them
    judge alike, whatever the order.

    Crashes in a burst are charged to nobody unless one request takes part in
    more than half of them: the loss of a rack or an availability zone ends
    many engines within seconds, and the requests that move from one to the
    next must not be taken for its cause.

    Args:
        clock: Measures the age of facts.
        ttl: How long facts count.
    """

    def __init__(
        self, clock: clock_lib.Clock, ttl: datetime.timedelta = _FACT_TTL
    ) -> None:
        self._clock = clock
        self._ttl_s = ttl.total_seconds()
        self._charges: dict[str, tuple[float, frozenset[str]]] = {}
        self._clearances: dict[tuple[str, str], float] = {}
        self._crashes_by_request: dict[str, set[str]] = {}
        self._burst_crashes: set[str] = set()

    def __len__(self) -> int:
        """Facts that are kept."""
        return len(self._charges) + len(self._clearances)

    def charged_crashes(self, request_digest: str) -> list[str]:
        """Returns the crashes that a request is charged with now."""
        if request_digest not in self._crashes_by_request:
            return []
        self._expire()
        return sorted(
            crash_id
            for crash_id in self._crashes_by_request.get(request_digest, ())
            if crash_id not in self._burst_crashes
            and (request_digest, crash_id) not in self._clearances
        )

    def is_suspect(self, request_digest: str) -> bool:
        """Returns whether a request must run apart from other suspects."""
        return bool(self.charged_crashes(request_digest))

    def is_blocked(self, request_digest: str) -> bool:
        """Returns whether a request must not run any more."""
        crashes = self.charged_crashes(request_digest)
        for index, first in enumerate(crashes):
            for second in crashes[index + 1 :]:
                common = self._charges[first][1] & self._charges[second][1]
                if common == {request_digest}:
                    return True
        return False

    def refusal(
        self,
        request_digest: str,
        verdict: outcome.Verdict = outcome.Verdict.NOT_RUN,
    ) -> outcome.Refusal | None:
        """Returns the refusal of a convicted request, None for others."""
        if not self.is_blocked(request_digest):
            return None
        return outcome.Refusal(
            outcome.Reason.SUSPECT,
            "engines crashed twice while they ran this request",
            verdict,
        )

    def note_crash(
        self, engine: CrashedEngine, running: Collection[str]
    ) -> CrashCharge | None:
        """Charges a crash; None when it was charged before or nobody ran.

        Args:
            engine: The engine that crashed.
            running: Fingerprints of what it was running.
        """
        suspected = {each for each in running if self.is_suspect(each)}
        charged = sorted(suspected or set(running))[:_MAX_FINGERPRINTS]
        charge = CrashCharge(engine.crash_id, tuple(charged))
        if not charged or not self.merge([charge]):
            return None
        return charge

    def note_completed(self, request_digest: str) -> Clearance | None:
        """Clears a request; None when it was charged with nothing."""
        charged = self.charged_crashes(request_digest)
        clearance = Clearance(request_digest, tuple(charged))
        if not charged or not self.merge([clearance]):
            return None
        return clearance

    def merge(self, facts: Iterable[Fact]) -> list[Fact]:
        """Takes facts in and returns those that are new here."""
        self._expire()
        new = [fact for fact in facts if self._add(fact)]
        if new:
            self._update_bursts()
        return new

    def facts(self) -> list[Fact]:
        """Returns all facts, for a process that has just connected."""
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

    def charges_of(self, request_digest: str) -> list[Fact]:
        """Returns the facts by which a request is judged."""
        crashes = self._crashes_by_request.get(request_digest, set())
        return [
            fact
            for fact in self.facts()
            if isinstance(fact, CrashCharge) and fact.crash_id in crashes
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
        self._charges[fact.crash_id] = at_s, frozenset(fact.fingerprints)
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
