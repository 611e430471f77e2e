"""Counts the crashes that speak against a key."""

from __future__ import annotations

import bisect
import itertools
import operator
from collections.abc import Collection

from hibiscusstile.gateway import crashfacts, crashgroups

__all__ = ["CrashTimeline"]

# Crashes this close together count once if they may have one outside cause,
# such as a power failure.
_MIN_INTERVAL_S = 0.2
# Fewer crashes at one moment may have met the same requests by chance.
_MIN_CRASHES_AT_ONCE = 3
# Share of the crashes at one moment that a key must explain for each of them to
# count. The request behind a crash is not always known.
_MIN_SHARE = 0.8
# A part in common use completes within this time: a stream counts as completed
# 0.1 s after its first event.
_MIN_OBSERVED_S = 2.0


class CrashTimeline:
    """Crashes in order of time. Sets of crashes are masks of their slots.

    Args:
        crashes: All known crashes.
        observed_from_s: Time of this process's first completion on the
            monotonic clock.
        reported: Whether all processes have reported their requests.
    """

    def __init__(
        self,
        crashes: Collection[crashfacts.ChargedCrash],
        observed_from_s: float,
        reported: bool,
    ) -> None:
        self._observed_from_s = observed_from_s
        self._reported = reported
        ordered = sorted(crashes, key=lambda each: each.at_s)
        self._times_s = [each.at_s for each in ordered]
        self._masks = [each.mask for each in ordered]
        # Masks of the first crashes, by their number.
        self._prefixes = list(
            itertools.accumulate(self._masks, operator.or_, initial=0)
        )
        self._outlived = 0
        # Crashes that are close to another one.
        self._close = 0
        for each in ordered:
            if each.outlived is not None:
                self._outlived |= each.mask
        for (first_s, first), (second_s, second) in itertools.pairwise(
            zip(self._times_s, self._masks, strict=True)
        ):
            if second_s - first_s < _MIN_INTERVAL_S:
                self._close |= first | second
        self._steps = 2 * len(ordered)
        self._counts: dict[tuple[int, int, bool], int] = {}

    @property
    def steps(self) -> int:
        """Number of steps that all computations took, a measure of work."""
        return self._steps

    def count(self, charged: int, evidence: crashgroups.Evidence) -> int:
        """Returns how many crashes count against a key.

        Args:
            charged: The crashes to count; the key is charged with all of them.
            evidence: All evidence about the key.
        """
        isolated = (charged & ~self._close).bit_count()
        close = charged & self._close
        if not close:
            self._steps += 1
            return isolated
        begun = evidence.begun & self._close
        question = (close, begun, evidence.has_completed)
        if question not in self._counts:
            self._counts[question] = sum(
                mask.bit_count()
                if self._reported and self._is_caused_by(evidence, mask)
                else 1
                for mask in self.moments(close)
            )
        return isolated + self._counts[question]

    def moments(self, crashes: int) -> list[int]:
        """Returns crashes in order of time, those close together as one."""
        self._steps += len(self._times_s)
        result: list[int] = []
        first_s = float("-inf")
        for at_s, mask in zip(self._times_s, self._masks, strict=True):
            if not mask & crashes:
                continue
            if at_s - first_s >= _MIN_INTERVAL_S:
                result.append(0)
                first_s = at_s
            result[-1] |= mask
        return result

    def last_s(self, crashes: int) -> float:
        """Returns the time of the last one of some crashes."""
        self._steps += len(self._times_s)
        return next(
            at_s
            for at_s, mask in zip(
                reversed(self._times_s), reversed(self._masks), strict=True
            )
            if mask & crashes
        )

    def _is_caused_by(
        self, evidence: crashgroups.Evidence, moment: int
    ) -> bool:
        """Returns whether requests with a key caused the crashes of a moment.

        They did if nearly all crashed servers had just begun a request with the
        key, though it is not one in common use. A rack, a rollout or a network
        fault does not choose servers by what they run; a key that it meets
        everywhere is in common use, and a request with it has completed. To
        know this takes a process that has seen completions for a while before,
        or servers that run on and complete other requests.
        """
        if (
            moment.bit_count() < _MIN_CRASHES_AT_ONCE
            or evidence.has_completed
            or moment & ~evidence.begun
        ):
            return False
        self._steps += len(self._times_s)
        times_s = [
            at_s
            for at_s, mask in zip(self._times_s, self._masks, strict=True)
            if mask & moment
        ]
        first = bisect.bisect_right(self._times_s, times_s[0] - _MIN_INTERVAL_S)
        end = bisect.bisect_left(self._times_s, times_s[-1] + _MIN_INTERVAL_S)
        beside = self._prefixes[end] & ~self._prefixes[first]
        in_use_known = (
            self._observed_from_s <= times_s[0] - _MIN_OBSERVED_S
            or not beside & ~self._outlived
        )
        explained = (beside & evidence.begun).bit_count()
        return in_use_known and explained >= _MIN_SHARE * beside.bit_count()
