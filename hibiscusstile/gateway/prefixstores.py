"""Known contents and availability of the KV cache stores."""

from __future__ import annotations

import dataclasses

import logbook

from hibiscusstile import logs
from hibiscusstile.gateway import exchange, routes

__all__ = ["PrefixStoreTable"]

_log = logbook.Logger("prefixstores")

# Parts tracked for one store; the largest deployed store holds fewer.
_MAX_PARTS = 20_000


@dataclasses.dataclass(slots=True)
class _StoreView:
    alive: bool = True
    # Time at which each part was first seen, by salt and part id.
    parts: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )


class PrefixStoreTable:
    """Availability and contents of each store, by address."""

    def __init__(self) -> None:
        self._views: dict[str, _StoreView] = {}

    def select(
        self, stores: tuple[routes.PrefixStore, ...], zone: str
    ) -> routes.PrefixStore | None:
        """Returns an available store, preferably in `zone`, or None."""
        alive = [store for store in stores if self._view(store.address).alive]
        return min(alive, key=lambda each: each.zone != zone, default=None)

    def held_tokens(
        self,
        address: str,
        salt: str,
        parts: tuple[exchange.PromptPart, ...],
        before_s: float = float("inf"),
    ) -> int:
        """Returns how many leading prompt tokens a store holds.

        Args:
            address: Address of the store.
            salt: Cache namespace of the parts.
            parts: Parts of the prompt.
            before_s: Count only parts first seen before this monotonic time.
        """
        held = self._view(address).parts
        tokens = 0
        for part in parts:
            if held.get((salt, part.part_id), float("inf")) >= before_s:
                break
            tokens += part.tokens
        return tokens

    def note_part(
        self, address: str, salt: str, part_id: str, seen_s: float | None
    ) -> None:
        """Records a part seen at `seen_s`; None means it was evicted."""
        parts = self._view(address).parts
        if seen_s is None:
            parts.pop((salt, part_id), None)
            return
        parts.setdefault((salt, part_id), seen_s)
        if len(parts) > _MAX_PARTS:
            del parts[next(iter(parts))]

    def note_emptied(self, address: str) -> None:
        """Records that a store has lost all its parts."""
        self._view(address).parts.clear()

    def note_alive(self, address: str, alive: bool) -> None:
        """Records whether a store responds."""
        view = self._view(address)
        if view.alive != alive:
            logs.event(
                _log,
                "prefix_store_back" if alive else "prefix_store_lost",
                address=address,
                parts=len(view.parts),
            )
        view.alive = alive

    def _view(self, address: str) -> _StoreView:
        return self._views.setdefault(address, _StoreView())
