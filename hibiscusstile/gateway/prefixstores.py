"""What the stores of KV cache hold, as far as this process knows."""

from __future__ import annotations

import dataclasses

import logbook

from hibiscusstile import logs
from hibiscusstile.gateway import exchange, routes

__all__ = ["PrefixStoreTable"]

_log = logbook.Logger("prefixstores")

# Parts that a process remembers of one store; the largest store of today
# holds fewer.
_MAX_PARTS = 20_000


@dataclasses.dataclass(slots=True)
class _StoreView:
    alive: bool = True
    # When each part was first seen there, by salt and part id.
    parts: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )


class PrefixStoreTable:
    """The stores, which of them answer, and which parts they hold."""

    def __init__(self) -> None:
        self._views: dict[str, _StoreView] = {}

    def select(
        self, stores: tuple[routes.PrefixStore, ...], zone: str
    ) -> routes.PrefixStore | None:
        """Returns the store to use from a zone, None if none answers."""
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
            address: The store.
            salt: Namespace of the parts.
            parts: The prompt.
            before_s: Count only parts that were seen there before then.
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
        """Notes a part that a store holds since `seen_s`, None if dropped."""
        parts = self._view(address).parts
        if seen_s is None:
            parts.pop((salt, part_id), None)
            return
        parts.setdefault((salt, part_id), seen_s)
        if len(parts) > _MAX_PARTS:
            del parts[next(iter(parts))]

    def note_emptied(self, address: str) -> None:
        """Notes that a store has lost its parts."""
        self._view(address).parts.clear()

    def note_alive(self, address: str, alive: bool) -> None:
        """Notes whether a store answers."""
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
