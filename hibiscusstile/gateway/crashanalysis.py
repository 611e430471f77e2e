"""Finds the keys that explain crashes of backend servers.

One analysis takes a bounded number of steps, whatever the number of crashes,
requests and keys: it works on groups of keys, and on the strongest of these.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Collection, Iterable, Sequence

from hibiscusstile.gateway import crashcharges, crashcounts, crashgroups

__all__ = ["MAX_STEPS", "CrashAnalysis", "Finding"]

# Steps after which an analysis looks for no further keys. One that has just
# fewer may exceed it by the steps of one search, which these limits bound.
MAX_STEPS = 65_536
_MAX_GROUPS = 4096
# Sets of keys that are blocked as the facts do not tell them apart.
_MAX_ALTERNATIVES = 64
# Crashes that block a part.
_MIN_CRASHES = 3
# Crashes that block a part which has never completed, if no other part is
# suspect once all processes have reported their requests.
_MIN_CRASHES_UNCONTESTED = 2
# Crashes that block each of several parts, if a block of all that earlier
# crashes had in common would have let later ones through.
_MIN_CRASHES_SEPARATE = 5
# Crashes that block a part that was sound before. Requests with frequent parts
# run wherever a server crashes.
_MIN_CRASHES_ONCE_SOUND = 5


class _Suspicion(enum.IntEnum):
    """Order in which keys with equally many crashes are considered."""

    COMPLETED_PART = 0
    """Requests with the part have completed before."""
    REQUEST = 1
    """A whole request that is sent again."""
    NEW_PART = 2
    """No request with the part has completed."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Rank:
    """Order in which suspect keys are considered, the highest first.

    Attributes:
        crashes: Crashes that count against the key. Close ones count once if
            they may have an outside cause.
        all_crashes: These crashes, close ones too.
        suspicion: Decides between keys with equally many crashes.
    """

    crashes: int
    all_crashes: int
    suspicion: _Suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Keys that explain crashes.

    Attributes:
        keys: Keys that were always in the same requests.
        crashes: Crashes that count against them.
        moments: How many of these were not at one moment with another.
        last_s: Time of the last one on the monotonic clock.
        contested: Whether other keys explain the same crashes as well.
        separate: Whether each of the keys is enough to block a request.
    """

    keys: frozenset[str]
    crashes: int
    moments: int
    last_s: float
    contested: bool = False
    separate: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class _Suspect:
    evidence: crashgroups.Evidence
    keys: Collection[str]

    @property
    def suspicion(self) -> _Suspicion:
        if self.evidence.is_request:
            return _Suspicion.REQUEST
        if self.evidence.has_completed:
            return _Suspicion.COMPLETED_PART
        return _Suspicion.NEW_PART


class CrashAnalysis:
    """One search for the keys that explain the known crashes.

    Keys are found by the crashes that no other finding explains; the key with
    the most of them is considered first.

    Keys with equally many crashes are told apart by the requests that met
    these. If all that had one key also had another, the first one alone is
    found. Keys that always came together are found together only: a request
    with some of them may be sound, and tells which of them crash servers.

    Prompts that are alike at their start, each shorter than the last, would
    need a crash for each that way: none has all of the keys that those before
    it had in common. After five crashes, new parts that share the highest rank
    are then found each. Sound requests, if they had them, would have cleared
    them.

    Args:
        charges: The crashes that count against each key.
        confirmed: Findings of earlier analyses on complete reports. These
            explain crashes first.
        reported: Whether all processes have reported their requests.
    """

    def __init__(
        self,
        charges: crashcharges.CrashCharges,
        confirmed: Iterable[frozenset[str]],
        reported: bool,
    ) -> None:
        self._groups = charges.groups
        self._reported = reported
        self._timeline = crashcounts.CrashTimeline(
            charges.crashes, charges.observed_from_s, reported
        )
        self._findings: list[Finding] = []
        # Mask of the crashes that findings explain.
        self._explained = 0
        self._steps = 0
        self._complete = True
        # The crashes of each group.
        self._crash_masks: set[int] = set()
        confirmed_keys = self._keep(confirmed)
        suspects = self._suspects(confirmed_keys)
        for once_sound in (False, True):
            suspects = self._search(suspects, once_sound=once_sound)

    @property
    def findings(self) -> Sequence[Finding]:
        """The keys that explain crashes."""
        return self._findings

    @property
    def complete(self) -> bool:
        """Whether all suspects were considered, within the limit of steps."""
        return self._complete

    @property
    def steps(self) -> int:
        """Number of steps that the analysis took, a measure of its work."""
        return self._steps + self._timeline.steps

    def _keep(self, confirmed: Iterable[frozenset[str]]) -> set[str]:
        """Adds earlier findings whose keys still have the same crashes.

        Otherwise, a request without some of them has crashed its server, or was
        sound.

        Returns:
            Their keys.
        """
        kept: set[str] = set()
        for keys in confirmed:
            self._steps += len(keys)
            groups = {self._groups.get(key) for key in keys}
            masks = {each.evidence.crashes if each else 0 for each in groups}
            crashes = masks.pop()
            if masks or crashes.bit_count() < 2:
                continue
            group = self._groups.get(min(keys))
            assert group is not None
            count = self._timeline.count(crashes, group.evidence)
            self._add(keys, count, crashes)
            kept |= keys
        return kept

    def _suspects(self, excluded: set[str]) -> list[_Suspect]:
        """Returns the groups with the most crashes, without some keys."""
        groups = self._groups.largest(2, _MAX_GROUPS)
        self._complete = len(groups) < _MAX_GROUPS
        self._steps += len(groups) + len(excluded)
        self._crash_masks = {each.evidence.crashes for each in groups}
        touched = {self._groups.get(key) for key in excluded}
        suspects = []
        for group in groups:
            keys: Collection[str] = group.keys
            if group in touched:
                self._steps += len(keys)
                keys = group.keys - excluded
            if keys:
                suspects.append(_Suspect(group.evidence, keys))
        return suspects

    def _search(
        self, suspects: list[_Suspect], *, once_sound: bool
    ) -> list[_Suspect]:
        """Adds findings, and returns the suspects that remain.

        Args:
            suspects: Groups of keys.
            once_sound: Whether to consider parts that were sound before, and
                crashes that met no request with the key at its begin.
        """
        while self.steps < MAX_STEPS:
            highest, tied = self._highest(suspects, once_sound)
            if highest is None or not (
                highest.crashes >= _MIN_CRASHES_ONCE_SOUND
                if once_sound
                else self._suffices(highest, tied)
            ):
                return suspects
            if (
                not once_sound
                and highest.crashes >= _MIN_CRASHES_SEPARATE
                and highest.suspicion is _Suspicion.NEW_PART
                and sum(len(each.keys) for each in tied) > 1
                and self._let_crashes_through(tied)
            ):
                self._add_separate(tied, highest)
                suspects = _without(suspects, tied)
                continue
            alternatives = self._most_specific(tied)
            contested = len(alternatives) > 1 or len(alternatives[0][0]) < sum(
                len(each.keys) for each in tied
            )
            for keys, crashes in alternatives:
                self._add(keys, highest.crashes, crashes, contested=contested)
            suspects = _without(suspects, tied)
        self._complete = False
        return suspects

    def _highest(
        self, suspects: Iterable[_Suspect], once_sound: bool
    ) -> tuple[_Rank | None, list[_Suspect]]:
        """Returns the highest rank and the suspects that share it."""
        candidates: list[tuple[int, int, _Suspect]] = []
        for each in suspects:
            self._steps += 1
            crashes = each.evidence.crashes & ~self._explained
            if not once_sound:
                if each.evidence.was_sound:
                    continue
                crashes &= each.evidence.begun
            candidates.append((crashes.bit_count(), crashes, each))
        candidates.sort(key=lambda candidate: -candidate[0])
        highest: _Rank | None = None
        tied: list[_Suspect] = []
        for number, crashes, each in candidates:
            # No more crashes count than there are.
            if number < (highest.crashes if highest else 1):
                break
            count = self._timeline.count(crashes, each.evidence)
            rank = _Rank(count, number, each.suspicion)
            if highest is None or rank > highest:
                highest, tied = rank, []
            if rank == highest:
                tied.append(each)
        return highest, tied

    def _suffices(self, rank: _Rank, tied: Collection[_Suspect]) -> bool:
        """Returns whether to block the keys that share the highest rank."""
        if rank.crashes >= _MIN_CRASHES:
            return True
        return (
            rank.crashes >= _MIN_CRASHES_UNCONTESTED
            and rank.suspicion is _Suspicion.NEW_PART
            and sum(len(each.keys) for each in tied) == 1
            and self._reported
        )

    def _most_specific(
        self, tied: Iterable[_Suspect]
    ) -> list[tuple[frozenset[str], int]]:
        """Returns the keys to block among those with equally many crashes.

        Returns:
            Sets of keys that were always in the same requests, and their
            crashes. Keys are left out if some, but not all, of their requests
            had another suspect key that explains the same crashes.
        """
        by_requests: dict[int, list[_Suspect]] = {}
        for each in tied:
            self._steps += len(each.keys)
            by_requests.setdefault(each.evidence.requests, []).append(each)
        alternatives = _apart(by_requests.pop(0, []))
        smallest: list[int] = []
        for requests in sorted(by_requests, key=int.bit_count):
            if len(alternatives) >= _MAX_ALTERNATIVES:
                break
            self._steps += len(smallest) + 1
            if any(other & requests == other for other in smallest):
                continue
            smallest.append(requests)
            alternatives.append(_together(by_requests[requests]))
        return alternatives

    def _add(
        self,
        keys: frozenset[str],
        count: int,
        crashes: int,
        *,
        contested: bool = False,
        separate: bool = False,
    ) -> None:
        # Crashes at one moment leave no time to stop the later ones.
        moments = min(count, len(self._timeline.moments(crashes)))
        last_s = self._timeline.last_s(crashes)
        self._findings.append(
            Finding(keys, count, moments, last_s, contested, separate)
        )
        self._explained |= crashes

    def _let_crashes_through(self, tied: Iterable[_Suspect]) -> bool:
        """Returns whether keys had the first crashes of others, but not all."""
        earlier = 0
        for moment in self._timeline.moments(_all_crashes(tied))[:-1]:
            earlier |= moment
            if (
                earlier.bit_count() >= _MIN_CRASHES
                and earlier in self._crash_masks
            ):
                return True
        return False

    def _add_separate(self, tied: Collection[_Suspect], rank: _Rank) -> None:
        """Adds each of the keys that share the highest rank."""
        self._steps += sum(len(each.keys) for each in tied)
        keys, _ = _together(tied)
        self._add(keys, rank.crashes, _all_crashes(tied), separate=True)


def _all_crashes(suspects: Iterable[_Suspect]) -> int:
    """Returns the crashes that count against any of the suspects."""
    crashes = 0
    for each in suspects:
        crashes |= each.evidence.crashes
    return crashes


def _without(
    suspects: Iterable[_Suspect], removed: Iterable[_Suspect]
) -> list[_Suspect]:
    excluded = set(removed)
    return [each for each in suspects if each not in excluded]


def _apart(
    suspects: Collection[_Suspect],
) -> list[tuple[frozenset[str], int]]:
    """Returns each key by itself, of suspects without a stored request.

    Which of them came together is not known. Too many are taken together.
    """
    if sum(len(each.keys) for each in suspects) > _MAX_ALTERNATIVES:
        return [_together(suspects)]
    return [
        (frozenset((key,)), each.evidence.crashes)
        for each in suspects
        for key in each.keys
    ]


def _together(suspects: Iterable[_Suspect]) -> tuple[frozenset[str], int]:
    """Returns the keys of suspects, and the crashes of the first key."""
    first = min(suspects, key=lambda each: min(each.keys))
    keys = frozenset().union(*(each.keys for each in suspects))
    return keys, first.evidence.crashes
