"""Bounds what all gateways have sent to one backend server.

A server may end if the requests that it holds need more than its memory: the
bodies of its requests and, at engines that do not queue or preempt requests
themselves, prompts and longest answers in the KV cache.
"""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Iterator

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, metrics
from hibiscusstile.gateway import exchange, routes

__all__ = ["NOTHING", "Footprint", "ServerMemory", "ServerMemoryLimits", "fits"]

_log = logbook.Logger("servermemory")

# A change is announced from this size, or when nothing is held any more.
_ANNOUNCED_TOKENS = 2_000
_ANNOUNCED_BYTES = 64 * 1024
_REPEAT_S = 0.75
# A gateway repeats what it holds. One that is out of touch counts until most of
# its requests have ended.
_MAX_AGE_S = 5.0
# Largest share of a server's memory that is kept free for what peers have not
# announced yet.
_MAX_RESERVE_SHARE = 0.25
_LOG_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Footprint:
    """Memory of a server that requests need.

    Attributes:
        tokens: Prompt tokens and longest answer; 0 where they do not count.
        body_bytes: Size of the bodies.
    """

    tokens: int = 0
    body_bytes: int = 0

    def __add__(self, other: Footprint) -> Footprint:
        return Footprint(
            self.tokens + other.tokens, self.body_bytes + other.body_bytes
        )


NOTHING = Footprint()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerMemoryLimits:
    """Limits of what servers are sent.

    Attributes:
        enabled: Whether servers end if requests exceed their memory.
        max_body_bytes: Size of all bodies that one server may hold.
        engine_fill: What requests at an engine may need, as a multiple of its
            KV cache; 0 if tokens do not count.
    """

    enabled: bool = False
    max_body_bytes: int = 64 * 1024 * 1024
    engine_fill: float = 0.0


def fits(
    request: Footprint, held: Footprint, capacity: Footprint, peers: int
) -> bool:
    """Returns whether a server may be sent a further request.

    A server that holds nothing takes any request; it refuses one that it can
    never hold.

    Args:
        request: What the request needs.
        held: What all gateways have sent, as far as it is known.
        capacity: The server's memory; 0 tokens or bytes stand for no limit.
        peers: Number of other gateways. Each may hold a little more than it
            has announced.
    """
    if held == NOTHING:
        return True
    return _fits(
        request.tokens + held.tokens,
        capacity.tokens,
        peers * _ANNOUNCED_TOKENS,
    ) and _fits(
        request.body_bytes + held.body_bytes,
        capacity.body_bytes,
        peers * _ANNOUNCED_BYTES,
    )


def _fits(needed: int, capacity: int, unannounced: int) -> bool:
    reserve = min(unannounced, _MAX_RESERVE_SHARE * capacity)
    return not capacity or needed <= capacity - reserve


class ServerMemory:
    """What this and other gateways have sent to each server.

    Args:
        clock: Measures the age of what peers announce.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._own: dict[str, Footprint] = {}
        # What each peer holds and when it said so, by server and peer.
        self._peers: dict[str, dict[str, tuple[Footprint, float]]] = {}
        self._announced: dict[str, tuple[Footprint, float]] = {}
        self._logged_s: dict[str, float] = {}
        self.limits = ServerMemoryLimits()
        self.peer_count = 0

    def held(self, server_id: str) -> Footprint:
        """Returns what all gateways have sent to a server, as far as known."""
        oldest_s = self._clock.monotonic() - _MAX_AGE_S
        total = self._own.get(server_id, NOTHING)
        for footprint, said_s in self._peers.get(server_id, {}).values():
            if said_s > oldest_s:
                total += footprint
        return total

    def may_send(
        self,
        request: exchange.ForwardedRequest,
        service: routes.Service,
        server_id: str,
    ) -> bool:
        """Returns whether a server's memory holds a further request."""
        if not self.limits.enabled:
            return True
        cache_tokens = service.engine.cache_tokens if service.engine else 0
        capacity = Footprint(
            int(self.limits.engine_fill * cache_tokens),
            self.limits.max_body_bytes,
        )
        held = self.held(server_id)
        if fits(self._needs(request), held, capacity, self.peer_count):
            return True
        metrics.count_full_server(service.name)
        self._log_full(server_id, held, capacity)
        return False

    @contextlib.contextmanager
    def hold(
        self, server_id: str, request: exchange.ForwardedRequest
    ) -> Iterator[None]:
        """Counts a request as held by a server until the end of the context."""
        footprint = self._needs(request)
        self._own[server_id] = self._own.get(server_id, NOTHING) + footprint
        try:
            yield
        finally:
            rest = self._own.pop(server_id, NOTHING) + Footprint(
                -footprint.tokens, -footprint.body_bytes
            )
            if rest != NOTHING:
                self._own[server_id] = rest

    def note_peer(
        self, peer_id: str, server_id: str, footprint: Footprint
    ) -> None:
        """Records what another gateway has sent to a server."""
        now_s = self._clock.monotonic()
        self._peers[server_id] = {
            each: said
            for each, said in self._peers.get(server_id, {}).items()
            if said[1] > now_s - _MAX_AGE_S
        } | {peer_id: (footprint, now_s)}

    def snapshot(self) -> dict[str, Footprint]:
        """Returns what this gateway has sent, for a peer that is new."""
        return dict(self._own) if self.limits.enabled else {}

    def drain(self) -> dict[str, Footprint]:
        """Returns what peers have to be told, and records it as announced."""
        if not self.limits.enabled:
            return {}
        now_s = self._clock.monotonic()
        changed = {
            server_id: self._own.get(server_id, NOTHING)
            for server_id in {*self._own, *self._announced}
            if self._is_due(server_id, now_s)
        }
        for server_id, footprint in changed.items():
            if footprint == NOTHING:
                del self._announced[server_id]
            else:
                self._announced[server_id] = footprint, now_s
        return changed

    def keep_only(self, server_ids: set[str]) -> None:
        """Drops what is known of servers that are no longer listed."""
        for known in (self._peers, self._logged_s):
            for server_id in set(known) - server_ids:
                del known[server_id]

    def _needs(self, request: exchange.ForwardedRequest) -> Footprint:
        """Returns what a request needs.

        Shared prompt parts count for each request, since whether a server
        still has them when the request starts is not known.
        """
        tokens = request.prompt_tokens + request.max_output_tokens
        return Footprint(
            tokens if self.limits.engine_fill else 0, len(request.body)
        )

    def _is_due(self, server_id: str, now_s: float) -> bool:
        own = self._own.get(server_id, NOTHING)
        announced, said_s = self._announced.get(server_id, (NOTHING, 0.0))
        if announced != NOTHING and (
            own == NOTHING or now_s - said_s >= _REPEAT_S
        ):
            return True
        return (
            abs(own.tokens - announced.tokens) >= _ANNOUNCED_TOKENS
            or abs(own.body_bytes - announced.body_bytes) >= _ANNOUNCED_BYTES
        )

    def _log_full(
        self, server_id: str, held: Footprint, capacity: Footprint
    ) -> None:
        now_s = self._clock.monotonic()
        if now_s - self._logged_s.get(server_id, -_LOG_INTERVAL_S) < (
            _LOG_INTERVAL_S
        ):
            return
        self._logged_s[server_id] = now_s
        own = self._own.get(server_id, NOTHING)
        logs.event(
            _log,
            "server_memory_full",
            server=server_id,
            tokens=held.tokens,
            own_tokens=own.tokens,
            max_tokens=capacity.tokens,
            body_bytes=held.body_bytes,
            max_body_bytes=capacity.body_bytes,
        )
