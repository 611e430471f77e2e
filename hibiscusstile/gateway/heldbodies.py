"""Bounds the memory of response bodies that are held until complete."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from hibiscusstile import memory

__all__ = ["Allowance", "HeldBodies"]

_DEFAULT_MAX_BODY_BYTES = 1024 * 1024
_DEFAULT_MAX_TOTAL_BYTES = 8 * 1024 * 1024
# Every body may have this size. Most responses are shorter, so endless ones at
# the same time do not change how they are relayed.
_FREE_BYTES = 16 * 1024


class HeldBodies:
    """Limits of one held body, and of all held at the same time.

    Args:
        max_body_bytes: Largest size of one body.
        max_total_bytes: Largest size of all bodies together, apart from the
            first 16 KiB of each.
        budget: Memory of the process, from which the bodies are taken.
    """

    def __init__(
        self,
        max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES,
        max_total_bytes: int = _DEFAULT_MAX_TOTAL_BYTES,
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        self._budget = budget
        self._max_body_bytes = max_body_bytes
        self._max_total_bytes = max_total_bytes
        self._total_bytes = 0

    @property
    def max_body_bytes(self) -> int:
        """Largest size of one body."""
        return self._max_body_bytes

    @property
    def total_bytes(self) -> int:
        """Size of all bodies, apart from the first 16 KiB of each."""
        return self._total_bytes

    @contextlib.contextmanager
    def hold(self) -> Iterator[Allowance]:
        """Accounts for a body until the end of the context."""
        allowance = Allowance(self)
        try:
            yield allowance
        finally:
            allowance.release()

    def replace(self, counted_bytes: int, by_bytes: int) -> bool:
        """Changes the size of one body; returns whether the limits allow it."""
        added_bytes = by_bytes - counted_bytes
        if added_bytes > 0 and not self._has_room(added_bytes):
            return False
        if added_bytes < 0 and self._budget is not None:
            self._budget.give_back(memory.Use.HELD, -added_bytes)
        self._total_bytes += added_bytes
        return True

    def _has_room(self, added_bytes: int) -> bool:
        """Returns whether bodies may grow, and takes memory for that."""
        if self._total_bytes + added_bytes > self._max_total_bytes:
            return False
        return self._budget is None or self._budget.take_held(added_bytes)


class Allowance:
    """The part of the memory that one body takes.

    Args:
        held_bodies: The limits.
    """

    def __init__(self, held_bodies: HeldBodies) -> None:
        self._held_bodies = held_bodies
        self._counted_bytes = 0

    def grow(self, size_bytes: int) -> bool:
        """Returns whether the body may be held at a size, and counts it."""
        if size_bytes > self._held_bodies.max_body_bytes:
            return False
        counted_bytes = max(0, size_bytes - _FREE_BYTES)
        if not self._held_bodies.replace(self._counted_bytes, counted_bytes):
            return False
        self._counted_bytes = counted_bytes
        return True

    def release(self) -> None:
        """Records that the body is not held any more."""
        self._held_bodies.replace(self._counted_bytes, 0)
        self._counted_bytes = 0
