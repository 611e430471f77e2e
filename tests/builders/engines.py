"""Builders of engines and their caches."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator
from typing import Any

from hibiscusstile import (
    backends,
    request,
)

__all__ = [
    "BENCH_METRICS",
    "FakeEngine",
    "ReferenceCache",
    "block_events",
    "cache_events",
    "engine_body",
    "generation_request",
    "long_prompt",
    "nested_levels",
]


BENCH_METRICS = {
    "prefix_hit_rate",
    "recomputed_tokens",
    "ttft_p50_s",
    "ttft_p95_s",
    "ttft_p99_s",
    "answered",
}


def engine_body(
    messages: list[Any], attempt_id: str = "a1", **fields: Any
) -> dict[str, Any]:
    """Returns a chat body of the engines' protocol."""
    return {
        "attempt_id": attempt_id,
        "model": "m1",
        "adapter": "",
        "weights_version": "v1",
        "messages": messages,
        "max_tokens": 4,
        "priority": 1,
        "cache_salt": "salt-a",
        "resume_text": "",
        "prefix_levels": [],
        **fields,
    }


def long_prompt(tokens: int, mark: str = "a") -> list[Any]:
    """Returns one message of a number of engine tokens."""
    text = (mark + " moisture ") * (tokens * 4)
    return [{"role": "user", "content": text[: tokens * 4]}]


def nested_levels(salt: str, prompt: int) -> tuple[request.PrefixLevel, ...]:
    """Returns instructions, one of two tenants, and a prompt's own level.

    The digests do not depend on the salt, so that only the salt keeps the
    scopes apart.
    """
    del salt
    return (
        request.PrefixLevel(1, 20),
        request.PrefixLevel(10 + prompt % 2, 50),
        request.PrefixLevel(100 + prompt, 100),
    )


class ReferenceCache:
    """An engine's cache without any limit, as sets.

    `max_cached_tokens` counts what the engine has held since its start, less
    what a delivered event says it has removed and what it has not stored
    again since.
    """

    def __init__(self, block_tokens: int) -> None:
        self._block_tokens = block_tokens
        self._starts = 0
        self._clear()

    @property
    def incarnation(self) -> str:
        """Fresh at each start."""
        return f"engine.{self._starts}"

    def crash(self) -> None:
        """Returns empty."""
        self._starts += 1
        self._clear()

    def store(self, salt: str, levels: tuple[request.PrefixLevel, ...]) -> None:
        """Holds a prompt's levels, touched last if held already."""
        for level in reversed(levels):
            name = (salt, level.digest)
            tokens = level.tokens // self._block_tokens * self._block_tokens
            if tokens and name not in self._held:
                self._note(backends.BlockEventKind.STORED, name, tokens)
            self._held.pop(name, None)
            self._held[name] = tokens
            self._stored_at[name] = self._number - 1

    def evict(self, count: int) -> None:
        """Removes the levels used least recently."""
        for name in list(self._held)[:count]:
            tokens = self._held.pop(name)
            if tokens:
                self._note(backends.BlockEventKind.REMOVED, name, tokens)

    def take_events(self, mask: int) -> backends.CacheEvents:
        """Returns the newest events; bit i of the mask keeps the ith."""
        events = tuple(
            event
            for index, event in enumerate(self._events)
            if mask >> (index % 8) & 1
        )
        self._events = []
        return backends.CacheEvents(self.incarnation, events)

    def note_delivered(self, batch: backends.CacheEvents) -> None:
        """Notes the events that the sidecar has seen."""
        if batch.incarnation != self.incarnation:
            return
        for event in batch.events:
            if event.number <= self._seen:
                continue
            self._seen = event.number
            name = (event.salt, event.digest)
            if event.kind is backends.BlockEventKind.REMOVED:
                self._gone[name] = event.number

    def max_cached_tokens(
        self, salt: str, levels: tuple[request.PrefixLevel, ...]
    ) -> int:
        """Returns the most tokens of the prompt that may still be held."""
        possible = 0
        for level in levels:
            name = (salt, level.digest)
            stored = self._stored_at.get(name)
            if stored is None or stored < self._gone.get(name, -1):
                break
            possible = level.tokens
        return possible

    def _clear(self) -> None:
        self._held: dict[tuple[str, int], int] = {}
        self._events: list[backends.BlockEvent] = []
        self._number = 0
        self._seen = -1
        self._stored_at: dict[tuple[str, int], int] = {}
        self._gone: dict[tuple[str, int], int] = {}

    def _note(
        self,
        kind: backends.BlockEventKind,
        name: tuple[str, int],
        tokens: int,
    ) -> None:
        self._events.append(
            backends.BlockEvent(self._number, kind, *name, tokens)
        )
        self._number += 1


def cache_events(
    incarnation: str, *events: tuple[str, int, int, int]
) -> backends.CacheEvents:
    """Returns a batch under the salt `salt`.

    Args:
        incarnation: The engine's.
        *events: Kind, number, digest and tokens of each.
    """
    return backends.CacheEvents(
        incarnation,
        tuple(
            backends.BlockEvent(
                number, backends.BlockEventKind(kind), "salt", digest, tokens
            )
            for kind, number, digest, tokens in events
        ),
    )


def generation_request(
    messages: list[Any], attempt_id: str = "a1", **fields: Any
) -> backends.GenerationRequest:
    """Returns what an engine client is asked to generate."""
    chat = request.ChatRequest(
        "m1",
        "",
        tuple(
            request.Message(
                each["role"],
                (request.ContentPart(request.PartKind.TEXT, each["content"]),),
            )
            for each in messages
        ),
        fields.pop("max_tokens", 4),
        True,
        "",
    )
    return backends.GenerationRequest(
        attempt_id,
        chat,
        fields.pop("weights_version", "v1"),
        1,
        "salt-a",
        **fields,
    )


def block_events(
    incarnation: str, *numbers: int, last_number: int = -1
) -> backends.CacheEvents:
    """Returns stored events whose digests are 100 above their numbers."""
    events = tuple(
        backends.BlockEvent(
            number, backends.BlockEventKind.STORED, "salt-a", 100 + number, 2048
        )
        for number in numbers
    )
    return backends.CacheEvents(incarnation, events, last_number)


class FakeEngine(backends.EngineBackend):
    """An engine that takes orders and checks their fencing number.

    Attributes:
        state: What it says of itself.
        orders: The orders it followed.
    """

    checks_fencing = True

    def __init__(self, model: str = "m1", weights_version: str = "v1") -> None:
        super().__init__("")
        self.state = backends.EngineHealth(
            "inc-1", model, weights_version, (), "mixed", -1
        )
        self.orders: list[backends.EngineOrder] = []

    async def order(self, order: backends.EngineOrder) -> backends.OrderResult:
        """Follows an order at once."""
        return self.apply_order(order)

    def apply_order(self, order: backends.EngineOrder) -> backends.OrderResult:
        """Follows an order without an event loop."""
        if order.fencing_number < self.state.fencing_number:
            return backends.OrderResult(False, "the fencing number is old")
        self.orders.append(order)
        self.state = dataclasses.replace(
            self.state,
            model=order.model,
            weights_version=order.weights_version,
            adapters=order.adapters,
            fencing_number=order.fencing_number,
        )
        return backends.OrderResult(True)

    async def health(self) -> backends.EngineHealth | None:
        """Returns its state."""
        return self.state

    async def probe(
        self, timeout_s: float
    ) -> backends.EngineHealth | backends.ProbeFailure:
        """Returns its state."""
        return self.state

    async def generate(
        self, generation: backends.GenerationRequest
    ) -> AsyncIterator[backends.EngineEvent]:
        """Generates nothing."""
        yield backends.EngineEnd("stop", 0, 0, 0)

    async def cancel(self, attempt_id: str) -> None:
        """Does nothing."""

    async def cache_events(self, after: int) -> backends.CacheEvents | None:
        """Has no cache."""
        return None

    async def cache_blocks(self) -> backends.CacheEvents | None:
        """Has no cache."""
        return None

    async def load(self) -> backends.EngineLoad | None:
        """Reports no load."""
        return None

    async def export_kv(self, salt: str, digest: int) -> bytes | None:
        """Holds no KV cache."""
        return None

    async def import_kv(self, salt: str, digest: int, data: bytes) -> bool:
        """Takes no KV cache."""
        return False

    async def close(self) -> None:
        """Does nothing."""
