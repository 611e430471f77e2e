"""Builders of test data; every test takes its data from here."""

from __future__ import annotations

import datetime
from typing import Any

from hibiscusstile import backends, policies, request
from hibiscusstile import clock as clock_lib
from hibiscusstile.configuration import view as configuration_view

__all__ = [
    "BENCH_FIGURES",
    "ManualClock",
    "OracleCache",
    "cache_events",
    "chat_messages",
    "cold_levels",
    "nested_levels",
    "record",
    "routed_work",
    "runner_views",
    "split_record",
    "work_item",
]


class ManualClock(clock_lib.Clock):
    """A clock that moves only when told to."""

    def __init__(self) -> None:
        self._seconds = 1000.0

    def now(self) -> datetime.datetime:
        """Returns a wall-clock time that moves with `advance`."""
        start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        return start + datetime.timedelta(seconds=self._seconds)

    def monotonic(self) -> float:
        """Returns seconds that move with `advance`."""
        return self._seconds

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Moves the clock instead of waiting."""
        self.advance(duration.total_seconds())

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self._seconds += seconds


def record(kind: str, name: str, **body: Any) -> dict[str, Any]:
    """Returns a configuration record of schema version 1."""
    return {"kind": kind, "name": name, "schema_version": 1, "body": body}


def work_item(
    work_id: str = "w1",
    *,
    workspace: str = "growers",
    caller: str = "shed-1",
    rank: str = "routine",
    levels: tuple[request.PrefixLevel, ...] = (),
    prompt_tokens: int = 100,
    max_tokens: int = 10,
) -> request.WorkItem:
    """Returns a request as routing and admission see it."""
    return request.WorkItem(
        work_id,
        workspace,
        caller,
        rank,
        "m1",
        "",
        levels or (request.PrefixLevel(7, prompt_tokens),),
        prompt_tokens,
        max_tokens,
    )


def chat_messages(question: str = "Is 12% moisture fine?") -> list[Any]:
    """Returns a chat prompt whose first message is long and shared."""
    return [
        {"role": "system", "content": "You grade carob pods. " * 50},
        {"role": "user", "content": question},
    ]


BENCH_FIGURES = {
    "prefix_hit_rate",
    "recomputed_tokens",
    "ttft_p50_s",
    "ttft_p95_s",
    "ttft_p99_s",
    "answered",
}


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


class OracleCache:
    """An engine's cache without any limit, as sets.

    `possible_tokens` counts what the engine has held since its start, less
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

    def delivered(self, batch: backends.CacheEvents) -> None:
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

    def possible_tokens(
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


def runner_views(count: int = 6) -> list[policies.RunnerView]:
    """Returns runners whose loads are not known."""
    return [policies.RunnerView(f"runner{n}") for n in range(count)]


def routed_work(
    work_id: str, *, question: int = 1, rank: str = "urgent"
) -> request.WorkItem:
    """Returns a request behind shared instructions and a member's history."""
    levels = (
        request.PrefixLevel(1, 4000),
        request.PrefixLevel(2, 9000),
        request.PrefixLevel(1000 + question, 9100),
    )
    return work_item(work_id, rank=rank, levels=levels, prompt_tokens=9100)


def split_record(*, share: float) -> configuration_view.RoutingPolicy:
    """Returns a policy record that compares `bidding` with `prefix_hash`."""
    return configuration_view.RoutingPolicy(
        "default",
        "bidding",
        split_algorithm="prefix_hash",
        split_share=share,
    )


def cold_levels(number: int) -> tuple[request.PrefixLevel, ...]:
    """Returns levels that no other number shares."""
    return (
        request.PrefixLevel(10_000 + 2 * number, 4000),
        request.PrefixLevel(10_001 + 2 * number, 4100),
    )
