"""Crashes of backend servers, charged to the requests that they lost."""

from __future__ import annotations

import collections
from collections.abc import Collection, Iterable, Mapping, Sequence

from hibiscusstile import clock as clock_lib
from hibiscusstile.gateway import crashfacts

__all__ = ["CrashCharges"]

_FACT_TTL_S = 900.0
# Reports of one crash by several gateways are at most this far apart; a server
# may crash again before its new start time is known.
_SAME_CRASH_S = 10.0
# A request that completes in this time after a crash ran on another server:
# crashes with one cause may be 0.2 s apart, and a server is back after seconds.
_MIN_OUTLIVED_S = 0.2
_MAX_OUTLIVED_S = 2.0
_MAX_CRASHES = 128
_MAX_KEYS_PER_CRASH = 1024
_MAX_REQUESTS_PER_CRASH = 512
_MAX_COMPLETED = 16_384


class CrashCharges:
    """The crashes that count against each key.

    Crashes and completions form a set of facts that grows and expires. Gateways
    exchange them and reach the same result, whatever the order.

    Args:
        clock: Measures the age of facts.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._crashes: list[crashfacts.ChargedCrash] = []
        self._last_crash_s = float("-inf")
        # Crashes since the last completion, by key.
        self._charges: dict[str, list[crashfacts.ChargedCrash]] = {}
        # The keys of these with more than one crash.
        self._repeated: dict[str, list[crashfacts.ChargedCrash]] = {}
        # Time of the last known completion, by key, oldest first.
        self._completed_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Facts to announce: requests by crash, each with whether it had
        # survived, and times of completion by key.
        self._new_charges: dict[
            crashfacts.ChargedCrash, list[tuple[frozenset[str], bool]]
        ] = {}
        self._new_completions: dict[str, float] = {}
        self._observed_from_s = float("inf")
        self._revision = 0

    @property
    def by_key(self) -> Mapping[str, list[crashfacts.ChargedCrash]]:
        """Crashes that count against each key, if any."""
        return self._charges

    @property
    def repeated(self) -> Mapping[str, list[crashfacts.ChargedCrash]]:
        """Crashes that count against each key with more than one."""
        return self._repeated

    @property
    def crashes(self) -> Sequence[crashfacts.ChargedCrash]:
        """All known crashes."""
        return self._crashes

    @property
    def observed_from_s(self) -> float:
        """Time of this process's first completion; infinite if none.

        A part that was in use since then has completed.
        """
        return self._observed_from_s

    @property
    def last_crash_s(self) -> float:
        """Time of the last crash on the monotonic clock; -inf if none."""
        return self._last_crash_s

    @property
    def revision(self) -> int:
        """A number that grows whenever `repeated` changes.

        It also grows when one of its keys completes for the first time, and
        when a crash turns out to have left other servers running.
        """
        return self._revision

    @property
    def has_news(self) -> bool:
        """Whether there are facts to announce."""
        return bool(self._new_charges or self._new_completions)

    def has_completed(self, key: str) -> bool:
        """Returns whether a request with a key has completed before."""
        return key in self._completed_s

    def note_crash(
        self, crash_id: str, keys: Collection[str], *, survived: bool = False
    ) -> None:
        """Charges a crash to a request that the server ran; announces it.

        Args:
            crash_id: The server and its start time.
            keys: Keys of the request.
            survived: Whether the server had run the request for a while.
        """
        crash, request = self._charge(
            crash_id, self._clock.monotonic(), keys, survived
        )
        if request:
            self._new_charges.setdefault(crash, []).append((request, survived))

    def note_completed(self, keys: Iterable[str]) -> None:
        """Clears the keys of a request that did not crash its server.

        Clearances of charged keys are announced, and the first one after each
        crash.
        """
        now_s = self._clock.monotonic()
        self._observed_from_s = min(self._observed_from_s, now_s)
        for key in keys:
            if self._note_outlived(key, now_s) or key in self._charges:
                self._new_completions[key] = now_s
            self._clear(key, now_s)

    def merge_crash(self, crash: crashfacts.Crash) -> None:
        """Adds a crash, or a further request of a known one."""
        if crash.age_s < _FACT_TTL_S:
            self._charge(
                crash.crash_id,
                self._clock.monotonic() - crash.age_s,
                crash.keys,
                crash.survived,
            )

    def merge_clearance(self, clearance: crashfacts.Clearance) -> None:
        """Clears a key of the charges before its completion."""
        if clearance.age_s < _FACT_TTL_S:
            at_s = self._clock.monotonic() - clearance.age_s
            self._note_outlived(clearance.key, at_s)
            self._clear(clearance.key, at_s)

    def drain(
        self,
    ) -> tuple[list[crashfacts.Crash], list[crashfacts.Clearance]]:
        """Removes and returns the facts to announce to other gateways."""
        now_s = self._clock.monotonic()
        crashes = [
            crashfacts.Crash(
                each.crash_id, tuple(request), now_s - each.at_s, survived
            )
            for each, requests in self._new_charges.items()
            for request, survived in requests
        ]
        clearances = [
            crashfacts.Clearance(key, now_s - at_s)
            for key, at_s in self._new_completions.items()
        ]
        self._new_charges.clear()
        self._new_completions.clear()
        return crashes, clearances

    def snapshot(
        self,
    ) -> tuple[list[crashfacts.Crash], list[crashfacts.Clearance]]:
        """Returns the facts for a gateway that has just connected.

        Keys with a single charge are left out: they are many, and it takes
        several to block one.
        """
        self._expire()
        now_s = self._clock.monotonic()
        repeated = self._repeated.keys()
        crashes = [
            crashfacts.Crash(
                each.crash_id, tuple(request), now_s - each.at_s, survived
            )
            for each in self._crashes
            for request, survived in self._charged_requests(each, repeated)
        ]
        clearances = [
            crashfacts.Clearance(key, now_s - self._completed_s[key])
            for key in repeated
            if key in self._completed_s
        ]
        outlived = {each.outlived for each in self._crashes if each.outlived}
        clearances += [
            crashfacts.Clearance(key, now_s - at_s) for key, at_s in outlived
        ]
        return crashes, clearances

    def _charged_requests(
        self, crash: crashfacts.ChargedCrash, keys: Collection[str]
    ) -> list[tuple[frozenset[str], bool]]:
        """Returns the requests of a crash, without keys that are not charged.

        Keys that are charged only by requests that had survived come as one
        request.

        Args:
            crash: The crash.
            keys: Further keys are left out too.
        """
        charged = {
            key
            for key in crash.keys
            if key in keys and crash in self._charges[key]
        }
        requests = {request & charged for request in crash.requests}
        requests.discard(frozenset())
        survivors = frozenset(charged.difference(*requests))
        return [(request, False) for request in requests] + (
            [(survivors, True)] if survivors else []
        )

    def _charge(
        self,
        crash_id: str,
        at_s: float,
        keys: Collection[str],
        survived: bool,
    ) -> tuple[crashfacts.ChargedCrash, frozenset[str] | None]:
        """Charges a crash to a request; returns both.

        The request is None if it was charged before.
        """
        crash = self._find_crash(crash_id, at_s) or self._add_crash(
            crash_id, at_s
        )
        new_keys = [key for key in keys if key not in crash.keys]
        del new_keys[max(0, _MAX_KEYS_PER_CRASH - len(crash.keys)) :]
        for key in new_keys:
            crash.keys.add(key)
            crash.models.add(crashfacts.model_of(key))
            self._charge_key(key, crash)
        request = frozenset(key for key in keys if key in crash.keys)
        if survived:
            return crash, request if new_keys else None
        if (
            request in crash.requests
            or len(crash.requests) >= _MAX_REQUESTS_PER_CRASH
        ):
            return crash, None
        crash.requests.add(request)
        crash.begin_keys |= request
        if not request.isdisjoint(self._repeated):
            self._revision += 1
        return crash, request

    def _charge_key(self, key: str, crash: crashfacts.ChargedCrash) -> None:
        completed_s = self._completed_s.get(key)
        if completed_s is not None and completed_s >= crash.at_s:
            # The process that charged the key did not know of this.
            self._new_completions[key] = completed_s
            return
        charges = [*self._charges.get(key, ()), crash]
        self._set_charges(key, charges)
        if completed_s is not None and len(charges) > 1:
            # Tells the other processes that the key has completed before.
            self._new_completions[key] = completed_s

    def _note_outlived(self, key: str, at_s: float) -> bool:
        """Notes the crashes that the server of a completed request outlived.

        Returns:
            Whether this was not known of one of them.
        """
        if at_s > self._last_crash_s + _MAX_OUTLIVED_S:
            return False
        crashes = [
            each
            for each in self._crashes
            if each.outlived is None
            and _MIN_OUTLIVED_S <= at_s - each.at_s <= _MAX_OUTLIVED_S
            and crashfacts.model_of(key) in each.models
        ]
        for each in crashes:
            each.outlived = (key, at_s)
        if crashes:
            self._revision += 1
        return bool(crashes)

    def _clear(self, key: str, at_s: float) -> None:
        last_s = self._completed_s.get(key)
        if last_s is None and key in self._repeated:
            self._revision += 1
        self._completed_s[key] = at_s if last_s is None else max(at_s, last_s)
        self._completed_s.move_to_end(key)
        if len(self._completed_s) > _MAX_COMPLETED:
            self._completed_s.popitem(last=False)
        charges = self._charges.get(key, [])
        remaining = [each for each in charges if each.at_s > at_s]
        if len(remaining) < len(charges):
            self._set_charges(key, remaining)

    def _set_charges(
        self, key: str, charges: list[crashfacts.ChargedCrash]
    ) -> None:
        if charges:
            self._charges[key] = charges
        else:
            self._charges.pop(key, None)
        if len(charges) > 1:
            self._repeated[key] = charges
        elif self._repeated.pop(key, None) is None:
            return
        self._revision += 1

    def _find_crash(
        self, crash_id: str, at_s: float
    ) -> crashfacts.ChargedCrash | None:
        for each in reversed(self._crashes):
            if (
                each.crash_id == crash_id
                and abs(each.at_s - at_s) < _SAME_CRASH_S
            ):
                return each
        return None

    def _add_crash(self, crash_id: str, at_s: float) -> crashfacts.ChargedCrash:
        self._expire()
        if len(self._crashes) >= _MAX_CRASHES:
            self._remove(min(self._crashes, key=lambda each: each.at_s))
        crash = crashfacts.ChargedCrash(crash_id, at_s)
        self._crashes.append(crash)
        self._last_crash_s = max(self._last_crash_s, at_s)
        return crash

    def _expire(self) -> None:
        cutoff_s = self._clock.monotonic() - _FACT_TTL_S
        for each in [each for each in self._crashes if each.at_s <= cutoff_s]:
            self._remove(each)

    def _remove(self, crash: crashfacts.ChargedCrash) -> None:
        self._crashes.remove(crash)
        for key in crash.keys:
            charges = self._charges.get(key, [])
            if crash in charges:
                self._set_charges(
                    key, [each for each in charges if each is not crash]
                )
