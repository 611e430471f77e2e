"""Groups keys about which crashes tell the same.

A prompt may have a thousand parts, but all that were in the same requests have
the same evidence. What a group costs does not grow with the number of its keys.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Iterable

from hibiscusstile.gateway import crashfacts

__all__ = ["Evidence", "KeyGroup", "KeyGroups"]


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What crashes tell about a key. Sets are masks of `crashfacts` slots.

    Attributes:
        crashes: Crashes that count against the key.
        begun: Those whose server was about to begin, or had just begun, a
            request with the key.
        requests: The stored ones of these requests.
        is_request: Whether the key stands for a whole request.
        has_completed: Whether a request with the key has completed before.
    """

    crashes: int = 0
    begun: int = 0
    requests: int = 0
    is_request: bool = False
    has_completed: bool = False

    @property
    def was_sound(self) -> bool:
        """Whether requests with the key, a prompt part, have been sound."""
        return self.has_completed and not self.is_request

    def with_crash(self, crash: int, request: int) -> Evidence:
        """Returns the evidence with a further crash.

        Args:
            crash: Mask of the crash.
            request: Mask of its stored request with the key, 0 if none.
        """
        return Evidence(
            self.crashes | crash,
            self.begun | crash if request else self.begun,
            self.requests | request,
            self.is_request,
            self.has_completed,
        )

    def with_request(self, crash: int, request: int) -> Evidence:
        """Returns the evidence with a further request of a crash.

        It stays as it is if the crash does not count against the key.
        """
        if not self.crashes & crash:
            return self
        return dataclasses.replace(
            self, begun=self.begun | crash, requests=self.requests | request
        )

    def with_completion(self, has_completed: bool) -> Evidence:
        """Returns the evidence with whether the key has completed."""
        return dataclasses.replace(self, has_completed=has_completed)

    def without(self, crashes: int, requests: int) -> Evidence:
        """Returns the evidence without some crashes and requests."""
        if not (self.crashes & crashes or self.requests & requests):
            return self
        return dataclasses.replace(
            self,
            crashes=self.crashes & ~crashes,
            begun=self.begun & ~crashes,
            requests=self.requests & ~requests,
        )


class KeyGroup:
    """Keys with the same evidence.

    Args:
        evidence: The evidence.
    """

    def __init__(self, evidence: Evidence) -> None:
        self._evidence = evidence
        self._keys: set[str] = set()

    @property
    def evidence(self) -> Evidence:
        """The evidence about each of the keys."""
        return self._evidence

    @property
    def keys(self) -> set[str]:
        """The keys; `KeyGroups` changes them."""
        return self._keys

    def replace_evidence(self, evidence: Evidence) -> None:
        """Replaces the evidence about all keys; for `KeyGroups` only."""
        self._evidence = evidence


class KeyGroups:
    """All charged keys, by their evidence."""

    def __init__(self) -> None:
        self._groups: dict[Evidence, KeyGroup] = {}
        self._group_by_key: dict[str, KeyGroup] = {}
        # Groups in order of their creation, by the number of their crashes.
        self._by_crash_count: dict[int, dict[KeyGroup, None]] = {}

    def __len__(self) -> int:
        """Returns the number of keys."""
        return len(self._group_by_key)

    def __contains__(self, key: str) -> bool:
        """Returns whether a crash counts against a key."""
        return key in self._group_by_key

    def get(self, key: str) -> KeyGroup | None:
        """Returns the group of a key, None if no crash counts against it."""
        return self._group_by_key.get(key)

    def largest(self, min_crashes: int, max_groups: int) -> list[KeyGroup]:
        """Returns groups, those with the most crashes first.

        Args:
            min_crashes: Groups with fewer crashes are left out.
            max_groups: Limit of their number.
        """
        groups: list[KeyGroup] = []
        for count in sorted(self._by_crash_count, reverse=True):
            if count < min_crashes or len(groups) >= max_groups:
                break
            groups += self._by_crash_count[count]
        return groups[:max_groups]

    def update(
        self,
        keys: Iterable[str],
        change: Callable[[Evidence], Evidence],
        completed: Collection[str] = (),
    ) -> bool:
        """Changes the evidence about keys.

        Args:
            keys: The keys.
            change: Returns the new evidence; called once for each group.
            completed: Keys that have completed before they were charged.

        Returns:
            Whether it changed for a key that several crashes count against, or
            did before.
        """
        by_group: dict[KeyGroup, list[str]] = {}
        new_keys: dict[Evidence, list[str]] = {}
        for key in keys:
            group = self._group_by_key.get(key)
            if group is None:
                evidence = _initial(key, completed)
                new_keys.setdefault(evidence, []).append(key)
            else:
                by_group.setdefault(group, []).append(key)
        changed = False
        moved = [
            (KeyGroup(change(evidence)), own)
            for evidence, own in new_keys.items()
        ]
        # All keys leave their groups before any joins another one.
        for group, own in by_group.items():
            evidence = change(group.evidence)
            if evidence == group.evidence:
                continue
            changed = changed or _is_repeated(group)
            moved.append((self._detach(group, own), own))
            moved[-1][0].replace_evidence(evidence)
        for group, own in moved:
            changed = changed or _is_repeated(group)
            self._attach(group, own)
        return changed

    def _detach(self, group: KeyGroup, keys: list[str]) -> KeyGroup:
        """Returns a group of these keys only; all of them are in the group.

        If they are all that it has, this takes no step for each key.
        """
        if len(keys) < len(group.keys):
            group.keys.difference_update(keys)
            return KeyGroup(group.evidence)
        del self._groups[group.evidence]
        count = group.evidence.crashes.bit_count()
        del self._by_crash_count[count][group]
        if not self._by_crash_count[count]:
            del self._by_crash_count[count]
        return group

    def _attach(self, group: KeyGroup, keys: list[str]) -> None:
        """Adds a group of these keys, or its keys to one alike."""
        evidence = group.evidence
        if not evidence.crashes:
            for key in keys:
                self._group_by_key.pop(key, None)
            return
        target = self._groups.setdefault(evidence, group)
        if target is group:
            count = evidence.crashes.bit_count()
            self._by_crash_count.setdefault(count, {})[group] = None
            if group.keys:
                return
        target.keys.update(keys)
        self._group_by_key.update(dict.fromkeys(keys, target))


def _initial(key: str, completed: Collection[str]) -> Evidence:
    return Evidence(
        is_request=crashfacts.is_request_key(key),
        has_completed=key in completed,
    )


def _is_repeated(group: KeyGroup) -> bool:
    return group.evidence.crashes.bit_count() > 1
