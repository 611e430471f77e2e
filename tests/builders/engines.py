"""Builders of engine requests, engine fakes and cache events."""

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
    """Returns the JSON body of a generation request."""
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


def long_prompt(tokens: int, word: str = "a") -> list[Any]:
    """Returns one message with the given number of engine tokens."""
    text = (word + " moisture ") * (tokens * 4)
    return [{"role": "user", "content": text[: tokens * 4]}]


def nested_levels(salt: str, prompt: int) -> tuple[request.PrefixLevel, ...]:
    """Returns levels of the instructions, one of two tenants, and a prompt.

    The digests do not depend on the salt, so that only the salt separates
    the scopes.
    """
    del salt
    return (
        request.PrefixLevel(1, 20),
        request.PrefixLevel(10 + prompt % 2, 50),
        request.PrefixLevel(100 + prompt, 100),
    )


class ReferenceCache:
    """Reference model of an engine's prefix cache, without a size limit.

    `max_cached_tokens` counts what the engine has stored since its start,
    except levels that a delivered event reported as removed and that have
    not been stored again since.
    """

    def __init__(self, block_tokens: int) -> None:
        self._block_tokens = block_tokens
        self._start_count = 0
        self._reset()

    @property
    def incarnation(self) -> str:
        """Unique for each start."""
        return f"engine.{self._start_count}"

    def crash(self) -> None:
        """Restarts with an empty cache."""
        self._start_count += 1
        self._reset()

    def store(self, salt: str, levels: tuple[request.PrefixLevel, ...]) -> None:
        """Stores a prompt's levels as the most recently used ones."""
        for level in reversed(levels):
            key = (salt, level.digest)
            tokens = level.tokens // self._block_tokens * self._block_tokens
            if tokens and key not in self._cached_levels:
                self._append_event(backends.BlockEventKind.STORED, key, tokens)
            self._cached_levels.pop(key, None)
            self._cached_levels[key] = tokens
            self._stored_at[key] = self._number - 1

    def evict(self, count: int) -> None:
        """Removes the least recently used levels."""
        for key in list(self._cached_levels)[:count]:
            tokens = self._cached_levels.pop(key)
            if tokens:
                self._append_event(backends.BlockEventKind.REMOVED, key, tokens)

    def take_events(self, mask: int) -> backends.CacheEvents:
        """Returns the new events; bit i % 8 of the mask keeps event i."""
        events = tuple(
            event
            for index, event in enumerate(self._events)
            if mask >> (index % 8) & 1
        )
        self._events = []
        return backends.CacheEvents(self.incarnation, events)

    def note_delivered(self, batch: backends.CacheEvents) -> None:
        """Records the events that the sidecar has received."""
        if batch.incarnation != self.incarnation:
            return
        for event in batch.events:
            if event.number <= self._last_delivered:
                continue
            self._last_delivered = event.number
            key = (event.salt, event.digest)
            if event.kind is backends.BlockEventKind.REMOVED:
                self._removed_at[key] = event.number

    def max_cached_tokens(
        self, salt: str, levels: tuple[request.PrefixLevel, ...]
    ) -> int:
        """Returns the upper bound of the prompt's cached tokens."""
        cached_tokens = 0
        for level in levels:
            key = (salt, level.digest)
            stored = self._stored_at.get(key)
            if stored is None or stored < self._removed_at.get(key, -1):
                break
            cached_tokens = level.tokens
        return cached_tokens

    def _reset(self) -> None:
        self._cached_levels: dict[tuple[str, int], int] = {}
        self._events: list[backends.BlockEvent] = []
        self._number = 0
        self._last_delivered = -1
        self._stored_at: dict[tuple[str, int], int] = {}
        self._removed_at: dict[tuple[str, int], int] = {}

    def _append_event(
        self,
        kind: backends.BlockEventKind,
        key: tuple[str, int],
        tokens: int,
    ) -> None:
        self._events.append(
            backends.BlockEvent(self._number, kind, *key, tokens)
        )
        self._number += 1


def cache_events(
    incarnation: str, *events: tuple[str, int, int, int]
) -> backends.CacheEvents:
    """Returns a batch of events with the cache salt `salt`.

    Args:
        incarnation: Incarnation of the engine.
        *events: Kind, number, digest and tokens of each event.
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
    """Returns a generation request."""
    chat = request.ChatRequest(
        "m1",
        "",
        tuple(
            request.Message(
                message["role"],
                (
                    request.ContentPart(
                        request.PartKind.TEXT, message["content"]
                    ),
                ),
            )
            for message in messages
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
    """Returns stored events whose digest is their number plus 100."""
    events = tuple(
        backends.BlockEvent(
            number, backends.BlockEventKind.STORED, "salt-a", 100 + number, 2048
        )
        for number in numbers
    )
    return backends.CacheEvents(incarnation, events, last_number)


class FakeEngine(backends.EngineBackend):
    """An engine that applies orders and checks their fencing number.

    Attributes:
        state: Its health report.
        orders: Orders that it has applied.
    """

    checks_fencing = True

    def __init__(self, model: str = "m1", weights_version: str = "v1") -> None:
        super().__init__("")
        self.state = backends.EngineHealth(
            "inc-1", model, weights_version, (), "mixed", -1
        )
        self.orders: list[backends.EngineOrder] = []

    async def order(self, order: backends.EngineOrder) -> backends.OrderResult:
        """Applies an order at once."""
        return self.apply_order(order)

    def apply_order(self, order: backends.EngineOrder) -> backends.OrderResult:
        """Applies an order without an event loop."""
        if order.fencing_number < self.state.fencing_number:
            return backends.OrderResult(False, "the fencing number is outdated")
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
        """Returns its health report."""
        return self.state

    async def probe(
        self, timeout_s: float
    ) -> backends.EngineHealth | backends.ProbeFailure:
        """Returns its health report."""
        return self.state

    async def generate(
        self, generation: backends.GenerationRequest
    ) -> AsyncIterator[backends.EngineEvent]:
        """Generates nothing."""
        yield backends.EngineEnd("stop", 0, 0, 0)

    async def cancel(self, attempt_id: str) -> None:
        """Does nothing."""

    async def cache_events(self, after: int) -> backends.CacheEvents | None:
        """Returns None, since it has no cache."""
        return None

    async def cache_blocks(self) -> backends.CacheEvents | None:
        """Returns None, since it has no cache."""
        return None

    async def load(self) -> backends.EngineLoad | None:
        """Returns None, since it reports no load."""
        return None

    async def export_kv(self, salt: str, digest: int) -> bytes | None:
        """Returns None, since it has no KV cache."""
        return None

    async def import_kv(self, salt: str, digest: int, data: bytes) -> bool:
        """Refuses the KV cache."""
        return False

    async def close(self) -> None:
        """Does nothing."""
