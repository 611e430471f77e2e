"""Crashes of backend servers, charged to the requests that they lost."""

from __future__ import annotations

import collections
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Sequence,
)

from hibiscusstile import clock as clock_lib
from hibiscusstile.gateway import crashfacts, crashgroups, crashnews

__all__ = ["FACT_TTL_S", "CrashCharges"]

# Age at which a fact no longer counts.
FACT_TTL_S = 900.0
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
# Requests stored over all crashes, and their keys. Each crash keeps its first
# request beyond these limits.
_MAX_REQUESTS = 2048
_MAX_REQUEST_KEYS = 131_072
# Crashes whose expiry is noted at a time. Each costs a step for each key.
_MAX_EXPIRED_AT_ONCE = 4
_MAX_COMPLETED = 16_384


class CrashCharges:
    """The crashes that count against each key.

    Crashes and completions form a set of facts that grows and expires. Gateways
    exchange them and reach the same result, whatever the order, as long as
    the facts stay within their limits. Each fact costs a number of steps that
    only its own keys and the limit of crashes bound.

    Args:
        clock: Measures the age of facts.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._crashes: list[crashfacts.ChargedCrash] = []
        self._last_crash_s = float("-inf")
        # The keys that crashes count against since their last completion.
        self._groups = crashgroups.KeyGroups()
        # Slots in use, as masks.
        self._crash_slots = 0
        self._request_slots = 0
        self._request_key_count = 0
        # Time of the last known completion, by key, oldest first.
        self._completed_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._news = crashnews.CrashNews(clock)
        self._observed_from_s = float("inf")
        self._revision = 0

    @property
    def groups(self) -> crashgroups.KeyGroups:
        """The keys that crashes count against, by what these tell."""
        return self._groups

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
        """A number that grows whenever keys with several crashes change.

        It also grows when a crash turns out to have left other servers running.
        """
        return self._revision

    @property
    def news(self) -> crashnews.CrashNews:
        """The facts to announce to other gateways."""
        return self._news

    def has_completed(self, key: str) -> bool:
        """Returns whether a request with a key has completed before."""
        return key in self._completed_s

    def completed_s(self, key: str) -> float | None:
        """Returns the monotonic time of a key's last completion, if any."""
        return self._completed_s.get(key)

    def crashes_of(self, key: str) -> list[crashfacts.ChargedCrash]:
        """Returns the crashes that count against a key."""
        group = self._groups.get(key)
        mask = group.evidence.crashes if group else 0
        return [each for each in self._crashes if each.mask & mask]

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
            self._news.add_request(crash, request, survived)

    def note_completed(self, keys: Iterable[str]) -> None:
        """Clears the keys of a request that did not crash its server.

        Clearances of charged keys are announced, and the first one after each
        crash.
        """
        now_s = self._clock.monotonic()
        self._observed_from_s = min(self._observed_from_s, now_s)
        keys = tuple(keys)
        announced = self._note_outlived(keys, now_s)
        announced += [key for key in keys if key in self._groups]
        for key in announced:
            self._news.add_completion(key, now_s)
        self._clear(keys, now_s)

    def merge_crash(self, crash: crashfacts.Crash) -> None:
        """Adds a crash, or a further request of a known one."""
        if crash.age_s < FACT_TTL_S:
            self._charge(
                crash.crash_id,
                self._clock.monotonic() - crash.age_s,
                crash.keys,
                crash.survived,
            )

    def merge_clearance(self, clearance: crashfacts.Clearance) -> None:
        """Clears a key of the charges before its completion."""
        if clearance.age_s < FACT_TTL_S:
            at_s = self._clock.monotonic() - clearance.age_s
            self._note_outlived((clearance.key,), at_s)
            self._clear((clearance.key,), at_s)

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
        crash.keys.update(new_keys)
        crash.models.update(crashfacts.model_of(key) for key in new_keys)
        charged = self._not_completed(new_keys, crash)
        request = frozenset(key for key in keys if key in crash.keys)
        request_mask = 0
        if (
            request
            and not survived
            and request not in crash.requests
            and self._make_room(crash, request)
        ):
            request_mask = self._store_request(crash, request)
        self._update(
            charged,
            lambda evidence: evidence.with_crash(crash.mask, request_mask),
        )
        if request_mask:
            self._update(
                request.difference(charged),
                lambda evidence: evidence.with_request(
                    crash.mask, request_mask
                ),
            )
        is_new = bool(new_keys if survived else request_mask)
        return crash, request if is_new else None

    def _not_completed(
        self, keys: Iterable[str], crash: crashfacts.ChargedCrash
    ) -> list[str]:
        """Returns the keys that have not completed since a crash.

        Completions that other processes may not know of are announced.
        """
        charged = []
        for key in keys:
            completed_s = self._completed_s.get(key)
            if completed_s is None or completed_s < crash.at_s:
                charged.append(key)
            if completed_s is not None and (
                completed_s >= crash.at_s or key in self._groups
            ):
                self._news.add_completion(key, completed_s)
        return charged

    def _store_request(
        self, crash: crashfacts.ChargedCrash, request: frozenset[str]
    ) -> int:
        """Stores a request of a crash; returns its mask."""
        slot = _lowest_free(self._request_slots)
        self._request_slots |= 1 << slot
        self._request_key_count += len(request)
        crash.requests[request] = slot
        crash.request_mask |= 1 << slot
        return 1 << slot

    def _make_room(
        self, crash: crashfacts.ChargedCrash, request: Collection[str]
    ) -> bool:
        """Forgets requests of the oldest crashes if a new one needs the room.

        Returns:
            Whether there is room for the request.
        """
        if not crash.requests:
            return True
        if len(crash.requests) >= _MAX_REQUESTS_PER_CRASH:
            return False
        while (
            self._request_slots.bit_count() >= _MAX_REQUESTS
            or self._request_key_count + len(request) > _MAX_REQUEST_KEYS
        ):
            oldest = next(
                each
                for each in self._crashes
                if len(each.requests) > 1 or each is crash
            )
            if oldest is crash:
                return False
            self._forget_request(oldest)
        return True

    def _forget_request(self, crash: crashfacts.ChargedCrash) -> None:
        """Forgets which keys the last request of a crash had together."""
        request, slot = crash.requests.popitem()
        self._request_slots &= ~(1 << slot)
        self._request_key_count -= len(request)
        crash.request_mask &= ~(1 << slot)
        self._update(request, lambda evidence: evidence.without(0, 1 << slot))

    def _note_outlived(self, keys: Iterable[str], at_s: float) -> list[str]:
        """Notes the crashes that the server of a completed request outlived.

        Returns:
            A key for each model of which this was not known of a crash.
        """
        if at_s > self._last_crash_s + _MAX_OUTLIVED_S:
            return []
        key_by_model: dict[str, str] = {}
        for key in keys:
            key_by_model.setdefault(crashfacts.model_of(key), key)
        first_keys = []
        for model, key in key_by_model.items():
            crashes = [
                each
                for each in self._crashes
                if each.outlived is None
                and _MIN_OUTLIVED_S <= at_s - each.at_s <= _MAX_OUTLIVED_S
                and model in each.models
            ]
            for each in crashes:
                each.outlived = (key, at_s)
            if crashes:
                first_keys.append(key)
                self._revision += 1
        return first_keys

    def _clear(self, keys: Iterable[str], at_s: float) -> None:
        charged = []
        for key in keys:
            last_s = self._completed_s.get(key)
            self._completed_s[key] = (
                at_s if last_s is None else max(at_s, last_s)
            )
            self._completed_s.move_to_end(key)
            if key in self._groups:
                charged.append(key)
        if charged:
            masks = _masks(each for each in self._crashes if each.at_s <= at_s)
            self._update(
                charged,
                lambda evidence: evidence.without(*masks).with_completion(True),
            )
        while len(self._completed_s) > _MAX_COMPLETED:
            forgotten, _ = self._completed_s.popitem(last=False)
            if forgotten in self._groups:
                self._update(
                    [forgotten],
                    lambda evidence: evidence.with_completion(False),
                )

    def _update(
        self,
        keys: Iterable[str],
        change: Callable[[crashgroups.Evidence], crashgroups.Evidence],
    ) -> None:
        if self._groups.update(keys, change, self._completed_s.keys()):
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
        slot = _lowest_free(self._crash_slots)
        self._crash_slots |= 1 << slot
        crash = crashfacts.ChargedCrash(crash_id, at_s, slot)
        self._crashes.append(crash)
        self._last_crash_s = max(self._last_crash_s, at_s)
        return crash

    def _expire(self) -> None:
        cutoff_s = self._clock.monotonic() - FACT_TTL_S
        expired = [each for each in self._crashes if each.at_s <= cutoff_s]
        for each in expired[:_MAX_EXPIRED_AT_ONCE]:
            self._remove(each)

    def _remove(self, crash: crashfacts.ChargedCrash) -> None:
        self._crashes.remove(crash)
        crashes, requests = _masks([crash])
        self._update(
            crash.keys, lambda evidence: evidence.without(crashes, requests)
        )
        self._crash_slots &= ~crashes
        self._request_slots &= ~requests
        self._request_key_count -= sum(len(each) for each in crash.requests)


def _masks(crashes: Iterable[crashfacts.ChargedCrash]) -> tuple[int, int]:
    """Returns masks of crashes and of their requests."""
    crash_mask = request_mask = 0
    for each in crashes:
        crash_mask |= each.mask
        request_mask |= each.request_mask
    return crash_mask, request_mask


def _lowest_free(slots: int) -> int:
    """Returns the lowest bit that is not in a mask."""
    return (~slots & (slots + 1)).bit_length() - 1
