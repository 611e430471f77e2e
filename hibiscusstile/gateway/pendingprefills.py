"""Prompt parts that engines are prefilling.

An engine looks up cached parts when a request arrives. If a request arrives
while another one with the same parts is still queued, the engine prefills them
twice. It is cheaper to send the second request after the first prefill.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Iterable

from hibiscusstile import clock as clock_lib
from hibiscusstile.gateway import exchange

__all__ = ["PendingPrefill", "PendingPrefills"]

# Shorter parts cost less to prefill again than to wait for.
_MIN_PART_TOKENS = 1_000
# Entries without a completion report expire after this time; requests that
# wait longer for their first token are refused or late.
_MAX_AGE_S = 4.0
_MAX_PARTS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class PendingPrefill:
    """A prompt part that an engine is prefilling.

    Attributes:
        server_id: The engine.
        expires_s: Expiry time on the monotonic clock.
        done: Set when the prefill has finished or its request has failed.
    """

    server_id: str
    expires_s: float
    done: asyncio.Event


class PendingPrefills:
    """Pending prefills of this process's and its peers' requests.

    Args:
        clock: Clock for expiry.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._prefills: dict[tuple[str, str], PendingPrefill] = {}

    def __len__(self) -> int:
        """Returns the number of entries, including expired ones."""
        return len(self._prefills)

    def begin(
        self, salt: str, part: exchange.PromptPart, server_id: str
    ) -> None:
        """Records the prefill of a part unless one is already pending."""
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
        """Records that a prefill has finished or its request has failed."""
        prefill = self._prefills.pop((salt, part_id), None)
        if prefill is not None:
            prefill.done.set()

    def find(
        self, salt: str, parts: Iterable[exchange.PromptPart]
    ) -> PendingPrefill | None:
        """Returns the pending prefill of the first part that has one."""
        for part in parts:
            prefill = self._find_unexpired((salt, part.part_id))
            if prefill is not None:
                return prefill
        return None

    def is_pending(self, salt: str, part_id: str) -> bool:
        """Returns whether a part is being prefilled."""
        return self._find_unexpired((salt, part_id)) is not None

    def _drop_expired(self) -> None:
        """Drops expired entries; the dict keeps them in order of expiry."""
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
