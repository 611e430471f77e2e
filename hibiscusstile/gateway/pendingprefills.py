"""Prompt parts that engines read at this moment.

An engine finds cached parts when a request arrives. A request that arrives
while another one's prompt waits there has the same parts read a second time,
so that it is better sent once they have been read.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Iterable

from hibiscusstile import clock as clock_lib
from hibiscusstile.gateway import exchange

__all__ = ["PendingPrefill", "PendingPrefills"]

# Shorter parts cost less to read again than to wait for.
_MIN_PART_TOKENS = 1_000
# A read that nobody reported as done is given up; requests that wait longer
# for their first token are refused or late.
_MAX_AGE_S = 4.0
_MAX_PARTS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class PendingPrefill:
    """A part that an engine reads.

    Attributes:
        server_id: The engine.
        expires_s: When the entry is given up, on the monotonic clock.
        done: Set when the part was read, or its request has failed.
    """

    server_id: str
    expires_s: float
    done: asyncio.Event


class PendingPrefills:
    """Which parts are being read, by this and other processes' requests.

    Args:
        clock: Ends entries whose end nobody told.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._prefills: dict[tuple[str, str], PendingPrefill] = {}

    def __len__(self) -> int:
        """Parts that are being read."""
        return len(self._prefills)

    def begin(
        self, salt: str, part: exchange.PromptPart, server_id: str
    ) -> None:
        """Notes that a request has been sent that has a part read."""
        self._drop_expired()
        if part.tokens < _MIN_PART_TOKENS or len(self._prefills) >= _MAX_PARTS:
            return
        key = (salt, part.part_id)
        if self._find_unexpired(key) is None:
            self._prefills[key] = PendingPrefill(
                server_id,
                self._clock.monotonic() + _MAX_AGE_S,
                asyncio.Event(),
            )

    def finish(self, salt: str, part_id: str) -> None:
        """Notes that a part was read, or that its request has failed."""
        prefill = self._prefills.pop((salt, part_id), None)
        if prefill is not None:
            prefill.done.set()

    def find(
        self, salt: str, parts: Iterable[exchange.PromptPart]
    ) -> PendingPrefill | None:
        """Returns the first read under way of some parts."""
        for part in parts:
            prefill = self._find_unexpired((salt, part.part_id))
            if prefill is not None:
                return prefill
        return None

    def is_pending(self, salt: str, part_id: str) -> bool:
        """Returns whether a part is being read."""
        return self._find_unexpired((salt, part_id)) is not None

    def _drop_expired(self) -> None:
        """Drops reads whose end was never told; the oldest come first."""
        now_s = self._clock.monotonic()
        while self._prefills:
            key = next(iter(self._prefills))
            if now_s < self._prefills[key].expires_s:
                return
            self._prefills.pop(key).done.set()

    def _find_unexpired(self, key: tuple[str, str]) -> PendingPrefill | None:
        prefill = self._prefills.get(key)
        if prefill is not None and self._clock.monotonic() >= prefill.expires_s:
            del self._prefills[key]
            prefill.done.set()
            return None
        return prefill
