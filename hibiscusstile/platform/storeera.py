"""Era of the platform's store, which each restore from a copy increases."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, metrics

__all__ = ["EraTracker"]

_log = logbook.Logger("storeera")

_HEADER = "Store-Era"
# Fits into 64 bits.
_ERA_PATTERN = re.compile("[0-9]{1,18}")
_MIN_WARNING_INTERVAL_S = 60.0


class EraTracker:
    """Knows the newest era of one store and detects late responses.

    Args:
        clock: Clock for the time since which an era is known.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._era: int | None = None
        self._known_since_s = 0.0
        self._warned_s = -math.inf

    @property
    def era(self) -> int | None:
        """Newest era; None before the first response that carries one."""
        return self._era

    @property
    def known_for_s(self) -> float | None:
        """Seconds since the era became known; None if it is not."""
        if self._era is None:
            return None
        return self._clock.monotonic() - self._known_since_s

    def reset(self) -> None:
        """Forgets the era, because another store is used from now on."""
        self._era = None

    def note_response(
        self, headers: Mapping[str, str], era_at_sending: int | None
    ) -> bool:
        """Updates the era from a response.

        A lower era than the known one belongs to a response that was under way
        during a restore if its request was sent before the known era became
        known. Otherwise the store itself went back to it, as the newest state
        of the store determines each of its responses.

        Args:
            headers: Headers of the response.
            era_at_sending: Value of `era` when the request was sent.

        Returns:
            Whether the response describes the store of the current era. False
            for a response that a restore has made obsolete.
        """
        era = self._parse(headers.get(_HEADER))
        if era is None or era == self._era:
            return True
        before = self._era
        is_lower = before is not None and era < before
        if is_lower and era_at_sending != before:
            logs.event(_log, "response_of_older_era", era=era, newest=before)
            return False
        self._era = era
        self._known_since_s = self._clock.monotonic()
        metrics.set_store_era(era)
        if before is not None:
            metrics.count_store_restore()
            logs.warn(
                _log,
                "store_era_decreased" if is_lower else "store_restored",
                era=era,
                before=before,
            )
        return True

    def _parse(self, text: str | None) -> int | None:
        if text is not None and _ERA_PATTERN.fullmatch(text):
            return int(text)
        # Before the first era, a store without the header is an older one.
        is_unexpected = text is not None or self._era is not None
        now_s = self._clock.monotonic()
        if is_unexpected and now_s - self._warned_s >= _MIN_WARNING_INTERVAL_S:
            self._warned_s = now_s
            logs.warn(
                _log,
                "store_era_unreadable",
                text=None if text is None else text[:40],
                newest=self._era,
            )
        return None
