"""Finds prompt parts and requests that crash servers, and blocks them."""

from __future__ import annotations

import dataclasses
import datetime
import enum
import random
from collections.abc import Collection, Iterable

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, metrics, outcome
from hibiscusstile.gateway import crashcharges

__all__ = ["Block", "CrashingParts"]

_log = logbook.Logger("crashingparts")

# Crashes this close together count once: they may have one outside cause, such
# as a power failure.
_MIN_CRASH_INTERVAL_S = 0.2
# Crashes that block a part.
_MIN_CRASHES = 3
# Crashes that block a part which has never completed, if no other part is
# suspect once all processes have reported their requests.
_MIN_CRASHES_UNCONTESTED = 2
_REPORT_S = 0.15
# How long a block lasts. It doubles with each further crash, and each process
# multiplies it by a factor of its own, so that not all of them try the part
# again at once.
_BLOCK_S = 60.0
_MAX_BLOCK_S = 900.0
_MAX_JITTER = 2.0
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
        crashes: Crashes that count against the key, close ones once.
        all_crashes: All crashes that count against the key.
        suspicion: Decides between keys with equally many crashes.
    """

    crashes: int
    all_crashes: int
    suspicion: _Suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """Why requests with a key must not run.

    Attributes:
        key: The key.
        crashes: Crashes that count against it.
        until_s: End of the block on the monotonic clock.
    """

    key: str
    crashes: int
    until_s: float


class CrashingParts:
    """Tells keys that crash servers from those that ran beside them.

    A crash is charged to all keys of the requests that the server was running,
    and a completed request clears its keys. A key is blocked by the crashes
    that no other blocked key explains; the key with the most of them is
    considered first.

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
        self._blocks: dict[str, Block] = {}
        # Keys blocked on complete reports. Later crashes explain them no more.
        self._confirmed: set[str] = set()
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
        """Returns the refusal of a request with a blocked key, or None.

        Args:
            keys: Keys of the request.
            verdict: Whether a server may have run the request.
        """
        self._update_blocks()
        if not self._blocks:
            return None
        now_s = self._clock.monotonic()
        for key in keys:
            block = self._blocks.get(key)
            if block is not None and now_s < block.until_s:
                return outcome.Refusal(
                    outcome.Reason.SUSPECT,
                    f"{block.crashes} servers crashed while they ran requests "
                    f"with {_describe(key)}",
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
            self._confirmed = set(self._blocks)
        else:
            # The missing reports may concern keys that are blocked.
            for key in before.keys() & self._charges.by_key.keys():
                self._blocks.setdefault(key, before[key])
        for key in before.keys() - self._blocks.keys():
            metrics.count_crashing_part("cleared")
            logs.event(_log, "part_cleared", key=key)
        for key in self._blocks.keys() - before.keys():
            metrics.count_crashing_part("blocked")
            logs.event(
                _log,
                "part_blocked",
                key=key,
                crashes=self._blocks[key].crashes,
                for_s=round(self._blocks[key].until_s - now_s, 1),
            )

    def _compute_blocks(self, reported: bool) -> dict[str, Block]:
        suspects = dict(self._charges.repeated)
        explained: set[crashcharges.ChargedCrash] = set()
        blocks: dict[str, Block] = {}
        for key in self._confirmed & suspects.keys():
            charged = suspects.pop(key)
            blocks[key] = self._block(key, _count(charged), charged)
            explained.update(charged)
        while suspects:
            ranks = {
                key: self._rank(key, charged, explained)
                for key, charged in suspects.items()
            }
            highest = max(ranks.values())
            keys = [key for key, rank in ranks.items() if rank == highest]
            if not _suffices(highest, len(keys), reported):
                break
            for key in keys:
                charged = suspects.pop(key)
                blocks[key] = self._block(key, highest.crashes, charged)
                explained.update(charged)
        return blocks

    def _rank(
        self,
        key: str,
        charged: Collection[crashcharges.ChargedCrash],
        explained: Collection[crashcharges.ChargedCrash],
    ) -> _Rank:
        unexplained = [each for each in charged if each not in explained]
        if crashcharges.is_request_key(key):
            suspicion = _Suspicion.REQUEST
        elif self._charges.has_completed(key):
            suspicion = _Suspicion.COMPLETED_PART
        else:
            suspicion = _Suspicion.NEW_PART
        return _Rank(_count(unexplained), len(unexplained), suspicion)

    def _block(
        self,
        key: str,
        crashes: int,
        charged: Collection[crashcharges.ChargedCrash],
    ) -> Block:
        doublings = max(0, crashes - _MIN_CRASHES)
        length_s = min(_MAX_BLOCK_S, _BLOCK_S * 2.0**doublings * self._jitter)
        return Block(key, crashes, _last_s(charged) + length_s)


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


def _describe(key: str) -> str:
    if crashcharges.is_request_key(key):
        return "the same content"
    return f"the prompt part {key}"


def _last_s(charged: Collection[crashcharges.ChargedCrash]) -> float:
    return max(each.at_s for each in charged)


def _count(charged: Collection[crashcharges.ChargedCrash]) -> int:
    """Returns how many crashes count, given that close ones count once."""
    count = 0
    counted_s = float("-inf")
    for at_s in sorted(each.at_s for each in charged):
        if at_s - counted_s >= _MIN_CRASH_INTERVAL_S:
            count += 1
            counted_s = at_s
    return count
