"""Finds prompt parts and requests that crash servers, and blocks them."""

from __future__ import annotations

import dataclasses
import datetime
import enum
import random
from collections.abc import Collection, Iterable, Mapping

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, metrics, outcome
from hibiscusstile.gateway import crashcharges, crashcounts, crashfacts

__all__ = ["Block", "CrashingParts"]

_log = logbook.Logger("crashingparts")

# Crashes that block a part.
_MIN_CRASHES = 3
# Crashes that block a part which has never completed, if no other part is
# suspect once all processes have reported their requests.
_MIN_CRASHES_UNCONTESTED = 2
# Crashes that block a part that was sound before. Requests with frequent parts
# run wherever a server crashes.
_MIN_CRASHES_ONCE_SOUND = 5
_REPORT_S = 0.15
# How long a block lasts. It doubles with each further crash, and each process
# multiplies it by a factor of its own, so that not all of them try the part
# again at once.
_BLOCK_S = 60.0
_MAX_BLOCK_S = 900.0
_MAX_JITTER = 2.0
# How long blocks last of which only some are right. Soon a request tells.
_CONTESTED_BLOCK_S = 3.0
# A part is cleared as soon as a request with it completes.
_RETRY_AFTER = datetime.timedelta(seconds=1)


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
class Block:
    """Why requests with certain keys must not run.

    Attributes:
        keys: A request that has all of these keys is blocked.
        crashes: Crashes that count against them.
        until_s: End of the block on the monotonic clock.
        contested: Whether other keys explain the same crashes as well.
    """

    keys: frozenset[str]
    crashes: int
    until_s: float
    contested: bool = False

    @property
    def label(self) -> str:
        """The keys as text."""
        return " ".join(sorted(self.keys))


class CrashingParts:
    """Tells keys that crash servers from those that ran beside them.

    A crash is charged to all keys of the requests that the server was running,
    and a request that does not crash its server clears its keys. A key is
    blocked by the crashes that no other blocked key explains; the key with the
    most of them is considered first.

    Keys with equally many crashes are told apart by the requests that met
    these. If all that had one key also had another, the first one alone is
    blocked. Keys that always came together are blocked together only: a request
    with some of them may be sound, and tells which of them crash servers. If
    the facts leave a choice, blocks are short and last until a sound request or
    another crash tells the keys apart.

    Args:
        clock: Measures the length of blocks.
        jitter: This process's factor on the length of blocks.
    """

    def __init__(
        self, clock: clock_lib.Clock, jitter: float | None = None
    ) -> None:
        self._clock = clock
        self._charges = crashcharges.CrashCharges(clock)
        self._jitter = (
            random.uniform(1.0, _MAX_JITTER) if jitter is None else jitter
        )
        self._blocks: dict[frozenset[str], Block] = {}
        # Keys blocked on complete reports. Later crashes explain them no more.
        self._confirmed: set[frozenset[str]] = set()
        self._revision = 0
        # When the reports of the last crash will be complete, on the monotonic
        # clock; infinite if they are.
        self._reported_s = float("inf")

    @property
    def charges(self) -> crashcharges.CrashCharges:
        """The crashes that count against each key."""
        return self._charges

    @property
    def blocks(self) -> tuple[Block, ...]:
        """The current blocks."""
        self._update_blocks()
        now_s = self._clock.monotonic()
        return tuple(
            block for block in self._blocks.values() if now_s < block.until_s
        )

    @property
    def has_blocks(self) -> bool:
        """Whether any key is or was blocked."""
        self._update_blocks()
        return bool(self._blocks)

    def refusal(
        self, keys: Iterable[str], verdict: outcome.Verdict
    ) -> outcome.Refusal | None:
        """Returns the refusal of a request with blocked keys, or None.

        Args:
            keys: Keys of the request.
            verdict: Whether a server may have run the request.
        """
        self._update_blocks()
        if not self._blocks:
            return None
        now_s = self._clock.monotonic()
        request_keys = frozenset(keys)
        for block in self._blocks.values():
            if block.keys <= request_keys and now_s < block.until_s:
                return outcome.Refusal(
                    outcome.Reason.SUSPECT,
                    f"{block.crashes} servers crashed while they ran requests "
                    f"with {_describe(block)}",
                    verdict,
                    _RETRY_AFTER,
                )
        return None

    def _update_blocks(self) -> None:
        """Recomputes the blocks after new facts."""
        now_s = self._clock.monotonic()
        if (
            self._revision == self._charges.revision
            and now_s < self._reported_s
        ):
            return
        self._revision = self._charges.revision
        reported_s = self._charges.last_crash_s + _REPORT_S
        reported = now_s >= reported_s
        self._reported_s = float("inf") if reported else reported_s
        before, self._blocks = self._blocks, self._compute_blocks(reported)
        if reported:
            self._confirmed = {
                keys
                for keys, block in self._blocks.items()
                if not block.contested
            }
        else:
            # The missing reports may concern keys that are blocked.
            for keys in before:
                if keys <= self._charges.by_key.keys():
                    self._blocks.setdefault(keys, before[keys])
        for keys in before.keys() - self._blocks.keys():
            metrics.count_crashing_part("cleared")
            logs.event(_log, "part_cleared", key=before[keys].label)
        for keys in self._blocks.keys() - before.keys():
            metrics.count_crashing_part("blocked")
            logs.event(
                _log,
                "part_blocked",
                key=self._blocks[keys].label,
                crashes=self._blocks[keys].crashes,
                for_s=round(self._blocks[keys].until_s - now_s, 1),
            )

    def _compute_blocks(self, reported: bool) -> dict[frozenset[str], Block]:
        suspects = dict(self._charges.repeated)
        explained: set[crashfacts.ChargedCrash] = set()
        blocks: dict[frozenset[str], Block] = {}
        for keys in self._confirmed:
            if not self._still_together(keys):
                continue
            charged = suspects[min(keys)]
            count = crashcounts.count(
                min(keys), charged, self._charges, reported
            )
            blocks[keys] = self._block(keys, count, charged)
            explained.update(charged)
            for key in keys:
                del suspects[key]
        self._add_blocks(blocks, suspects, explained, reported)
        self._add_blocks(blocks, suspects, explained, reported, once_sound=True)
        return blocks

    def _add_blocks(
        self,
        blocks: dict[frozenset[str], Block],
        suspects: dict[str, list[crashfacts.ChargedCrash]],
        explained: set[crashfacts.ChargedCrash],
        reported: bool,
        *,
        once_sound: bool = False,
    ) -> None:
        """Blocks suspects, and moves their crashes to those explained.

        Args:
            blocks: Receives the blocks.
            suspects: The crashes that count against each key.
            explained: Crashes that other blocks explain.
            reported: Whether all processes have reported their requests.
            once_sound: Whether to consider parts that were sound before, and
                crashes that met no request with the key at its begin.
        """
        while True:
            ranks = {
                key: self._rank(
                    key,
                    [
                        each
                        for each in charged
                        if each not in explained
                        and (once_sound or key in each.begin_keys)
                    ],
                    reported,
                )
                for key, charged in suspects.items()
                if once_sound or not self._was_sound(key)
            }
            if not ranks:
                break
            highest = max(ranks.values())
            tied = {
                key: suspects[key]
                for key, rank in ranks.items()
                if rank == highest
            }
            if not (
                highest.crashes >= _MIN_CRASHES_ONCE_SOUND
                if once_sound
                else _suffices(highest, len(tied), reported)
            ):
                break
            groups = _most_specific(tied)
            contested = groups != {frozenset(tied)}
            for keys in groups:
                charged = tied[min(keys)]
                blocks[keys] = self._block(
                    keys, highest.crashes, charged, contested=contested
                )
                explained.update(charged)
            for key in tied:
                del suspects[key]

    def _still_together(self, keys: frozenset[str]) -> bool:
        """Returns whether all keys of a block still have the same crashes.

        If not, a request without some of them has crashed its server, or was
        sound.
        """
        charged = [self._charges.repeated.get(key, []) for key in keys]
        return bool(charged[0]) and all(each == charged[0] for each in charged)

    def _rank(
        self,
        key: str,
        charged: Collection[crashfacts.ChargedCrash],
        reported: bool,
    ) -> _Rank:
        if crashfacts.is_request_key(key):
            suspicion = _Suspicion.REQUEST
        elif self._was_sound(key):
            suspicion = _Suspicion.COMPLETED_PART
        else:
            suspicion = _Suspicion.NEW_PART
        crashes = crashcounts.count(key, charged, self._charges, reported)
        return _Rank(crashes, len(charged), suspicion)

    def _was_sound(self, key: str) -> bool:
        """Returns whether requests with a prompt part have been sound."""
        return not crashfacts.is_request_key(
            key
        ) and self._charges.has_completed(key)

    def _block(
        self,
        keys: frozenset[str],
        crashes: int,
        charged: Collection[crashfacts.ChargedCrash],
        *,
        contested: bool = False,
    ) -> Block:
        # Crashes at one moment leave no time to stop the later ones.
        moments = min(crashes, len(crashcounts.moments(charged)))
        doublings = max(0, moments - _MIN_CRASHES)
        length_s = min(_MAX_BLOCK_S, _BLOCK_S * 2.0**doublings * self._jitter)
        if contested:
            length_s = _CONTESTED_BLOCK_S * self._jitter
        return Block(keys, crashes, _last_s(charged) + length_s, contested)


def _most_specific(
    suspects: Mapping[str, Collection[crashfacts.ChargedCrash]],
) -> set[frozenset[str]]:
    """Returns the keys to block among those with equally many crashes.

    Args:
        suspects: The crashes that count against each key.

    Returns:
        Sets of keys that were always in the same requests. Keys are left out
        if some, but not all, of their requests had another suspect key that
        explains the same crashes.
    """
    requests = {
        key: frozenset(
            (crash, request.intersection(suspects))
            for crash in charged
            for request in crash.requests
            if key in request
        )
        for key, charged in suspects.items()
    }
    return {
        frozenset(other for other in requests if own and requests[other] == own)
        or frozenset((key,))
        for key, own in requests.items()
        if not any(each and each < own for each in requests.values())
    }


def _suffices(rank: _Rank, key_count: int, reported: bool) -> bool:
    """Returns whether to block the keys that share the highest rank.

    Args:
        rank: Their rank.
        key_count: Their number.
        reported: Whether all processes have reported their requests.
    """
    if rank.crashes >= _MIN_CRASHES:
        return True
    return (
        rank.crashes >= _MIN_CRASHES_UNCONTESTED
        and rank.suspicion is _Suspicion.NEW_PART
        and key_count == 1
        and reported
    )


def _describe(block: Block) -> str:
    if any(crashfacts.is_request_key(key) for key in block.keys):
        return "the same content"
    if len(block.keys) == 1:
        return f"the prompt part {block.label}"
    return f"the prompt parts {block.label} together"


def _last_s(charged: Collection[crashfacts.ChargedCrash]) -> float:
    return max(each.at_s for each in charged)
