"""Finds prompt parts and requests that crash servers, and blocks them."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import random
from collections.abc import Iterable

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, metrics, outcome
from hibiscusstile.gateway import crashanalysis, crashcharges, crashfacts

__all__ = ["Block", "CrashingParts"]

_log = logbook.Logger("crashingparts")

_REPORT_S = 0.15
# How long a block lasts. It doubles with each further crash, and each process
# multiplies it by a factor of its own, so that not all of them try the part
# again at once.
_BLOCK_S = 60.0
_MAX_BLOCK_S = 900.0
_MAX_JITTER = 2.0
# Crashes after which a block starts to double, and after which one of each of
# several parts does. These are blocked only after five crashes.
_UNDOUBLED_CRASHES = 3
_UNDOUBLED_CRASHES_SEPARATE = 5
# How long blocks last of which only some are right. Soon a request tells.
_CONTESTED_BLOCK_S = 3.0
# Length of a block of each of several parts, before it doubles like _BLOCK_S.
# One causes the crashes, and sound requests with the others cannot tell so
# meanwhile.
_SEPARATE_BLOCK_S = 30.0
# A part is cleared as soon as a request with it completes.
_RETRY_AFTER = datetime.timedelta(seconds=1)
# Steps that all analyses may take in a second, about a tenth of a core, and how
# much earlier than evenly spread. The largest one is possible four times a
# second; usual ones take some hundred steps.
_MAX_STEPS_PER_S = 262_144
_MAX_STEPS_AHEAD_S = 0.05
# Keys that logs and messages name.
_MAX_NAMED_KEYS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """Why requests with certain keys must not run.

    Attributes:
        keys: A request that has all of these keys is blocked.
        separate: Whether a request with one of them is blocked.
        crashes: Crashes that count against them.
        until_s: End of the block on the monotonic clock.
        contested: Whether other keys explain the same crashes as well.
    """

    keys: frozenset[str]
    crashes: int
    until_s: float
    contested: bool = False
    separate: bool = False

    def covers(self, request_keys: frozenset[str]) -> bool:
        """Returns whether a request with these keys is blocked."""
        if self.separate:
            return not self.keys.isdisjoint(request_keys)
        return self.keys <= request_keys

    @property
    def label(self) -> str:
        """The keys as text, some of them if they are many."""
        label = " ".join(sorted(self.keys)[:_MAX_NAMED_KEYS])
        unnamed = len(self.keys) - _MAX_NAMED_KEYS
        return f"{label} and {unnamed} more" if unnamed > 0 else label


class CrashingParts:
    """Tells keys that crash servers from those that ran beside them.

    A crash is charged to all keys of the requests that the server was running,
    and a request that does not crash its server clears its keys. Keys are
    blocked that explain crashes (`crashanalysis`). If the facts leave a choice,
    blocks are short and last until a sound request or another crash tells the
    keys apart.

    After new facts, the blocks are computed anew when a request asks for them.
    While many facts make this expensive, requests meet the earlier blocks.

    Args:
        clock: Measures the length of blocks.
        jitter: This process's factor on the length of blocks.
    """

    def __init__(
        self, clock: clock_lib.Clock, jitter: float | None = None
    ) -> None:
        self._clock = clock
        self._charges = crashcharges.CrashCharges(clock)
        self._charging = asyncio.Lock()
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
        # When the steps taken are paid for, at the rate of steps allowed.
        self._paid_s = float("-inf")
        self._steps = 0

    @property
    def charges(self) -> crashcharges.CrashCharges:
        """The crashes that count against each key."""
        return self._charges

    @property
    def charging(self) -> asyncio.Lock:
        """To be held by a task that adds facts, until the loop's next pass.

        One crash may bring hundreds of requests with a thousand parts each, at
        the same moment.
        """
        return self._charging

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

    @property
    def steps(self) -> int:
        """Steps that all analyses have taken, a measure of their work."""
        return self._steps

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
            if block.covers(request_keys) and now_s < block.until_s:
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
        ) or now_s < self._paid_s - _MAX_STEPS_AHEAD_S:
            return
        self._revision = self._charges.revision
        reported_s = self._charges.last_crash_s + _REPORT_S
        reported = now_s >= reported_s
        self._reported_s = float("inf") if reported else reported_s
        analysis = self._analyze(reported, now_s)
        before = self._blocks
        self._blocks = {
            each.keys: self._block(each) for each in analysis.findings
        }
        if reported:
            self._confirmed = {
                keys
                for keys, block in self._blocks.items()
                if not block.contested and not block.separate
            }
        if not reported or not analysis.complete:
            # What is missing may concern keys that are blocked.
            for keys in before:
                if all(key in self._charges.groups for key in keys):
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

    def _analyze(
        self, reported: bool, now_s: float
    ) -> crashanalysis.CrashAnalysis:
        """Analyzes the crashes, and counts the steps that it takes."""
        analysis = crashanalysis.CrashAnalysis(
            self._charges, self._confirmed, reported
        )
        self._steps += analysis.steps
        self._paid_s = (
            max(self._paid_s, now_s) + analysis.steps / _MAX_STEPS_PER_S
        )
        metrics.count_crash_analysis(analysis.steps, analysis.complete)
        return analysis

    def _block(self, finding: crashanalysis.Finding) -> Block:
        first_s, undoubled = _BLOCK_S, _UNDOUBLED_CRASHES
        if finding.separate:
            first_s, undoubled = _SEPARATE_BLOCK_S, _UNDOUBLED_CRASHES_SEPARATE
        doublings = max(0, finding.moments - undoubled)
        length_s = min(_MAX_BLOCK_S, first_s * 2.0**doublings * self._jitter)
        if finding.contested:
            length_s = _CONTESTED_BLOCK_S * self._jitter
        return Block(
            finding.keys,
            finding.crashes,
            finding.last_s + length_s,
            finding.contested,
            finding.separate,
        )


def _describe(block: Block) -> str:
    if any(crashfacts.is_request_key(key) for key in block.keys):
        return "the same content"
    if len(block.keys) == 1:
        return f"the prompt part {block.label}"
    if block.separate:
        return f"one of the prompt parts {block.label}"
    return f"the prompt parts {block.label} together"
