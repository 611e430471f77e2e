"""Facts about crashes that other gateways have not been told."""

from __future__ import annotations

import collections

from hibiscusstile import clock as clock_lib
from hibiscusstile.gateway import crashfacts

__all__ = ["CrashNews"]

# Keys in one notice. Whatever their length, they are far below the limit of a
# message between gateways; further facts come in the next notices.
_MAX_NOTICE_KEYS = 8_192
_MAX_NOTICE_COMPLETIONS = 4_096
# Keys of requests that wait for a notice. Further requests are not announced:
# the first ones of a crash tell most.
_MAX_WAITING_KEYS = 131_072


class CrashNews:
    """Collects facts until they are announced.

    Args:
        clock: Measures the age of facts.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        # Requests with whether they had survived.
        self._requests: collections.deque[
            tuple[crashfacts.ChargedCrash, frozenset[str], bool]
        ] = collections.deque()
        self._waiting_keys = 0
        # Times of completion by key.
        self._completed_s: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Returns whether there are facts to announce."""
        return bool(self._requests or self._completed_s)

    def add_request(
        self,
        crash: crashfacts.ChargedCrash,
        request: frozenset[str],
        survived: bool,
    ) -> None:
        """Adds a request that a crash is charged to."""
        if self._waiting_keys + len(request) > _MAX_WAITING_KEYS:
            return
        self._requests.append((crash, request, survived))
        self._waiting_keys += len(request)

    def add_completion(self, key: str, completed_s: float) -> None:
        """Adds the time of a key's last completion."""
        self._completed_s[key] = completed_s

    def drain(
        self,
    ) -> tuple[list[crashfacts.Crash], list[crashfacts.Clearance]]:
        """Removes and returns facts, the oldest ones if they are many."""
        now_s = self._clock.monotonic()
        crashes: list[crashfacts.Crash] = []
        key_count = 0
        while self._requests and key_count < _MAX_NOTICE_KEYS:
            crash, request, survived = self._requests.popleft()
            self._waiting_keys -= len(request)
            key_count += len(request)
            crashes.append(crashfacts.describe(crash, request, survived, now_s))
        clearances: list[crashfacts.Clearance] = []
        while self._completed_s and len(clearances) < _MAX_NOTICE_COMPLETIONS:
            key = next(iter(self._completed_s))
            age_s = now_s - self._completed_s.pop(key)
            clearances.append(crashfacts.Clearance(key, age_s))
        return crashes, clearances
