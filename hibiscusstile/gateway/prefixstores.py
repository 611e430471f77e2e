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
class _View:
    alive: bool = True
    parts: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)


class PrefixStoreTable:
    """The stores, which of them answer, and which parts they hold."""

    def __init__(self) -> None:
        self._views: dict[str, _View] = {}

    def select(
        self, stores: tuple[routes.PrefixStore, ...], zone: str
    ) -> routes.PrefixStore | None:
        """Returns the store to use from a zone, None if none answers."""
        alive = [
            store for store in stores if self._of(store.address).alive
        ]
        return min(alive, key=lambda each: each.zone != zone, default=None)

    def held_tokens(
        self,
        address: str,
        salt: str,
        parts: tuple[exchange.PromptPart, ...],
    ) -> int:
        """Returns how many leading prompt tokens a store holds."""
        held = self._of(address).parts
        tokens = 0
        for part in parts:
            if (salt, part.part_id) not in held:
                break
            tokens += part.tokens
        return tokens

    def note_part(
        self, address: str, salt: str, part_id: str, tokens: int
    ) -> None:
        """Notes a part that a store holds now; 0 tokens for a dropped one."""
        parts = self._of(address).parts
        if not tokens:
            parts.pop((salt, part_id), None)
            return
        parts[(salt, part_id)] = tokens
        if len(parts) > _MAX_PARTS:
            del parts[next(iter(parts))]

    def note_emptied(self, address: str) -> None:
        """Notes that a store has lost its parts."""
        self._of(address).parts.clear()

    def note_alive(self, address: str, alive: bool) -> None:
        """Notes whether a store answers."""
        view = self._of(address)
        if view.alive != alive:
            logs.event(
                _log,
                "prefix_store_back" if alive else "prefix_store_lost",
                address=address,
                parts=len(view.parts),
            )
        view.alive = alive

    def _of(self, address: str) -> _View:
        return self._views.setdefault(address, _View())
