"""Load and expected cache contents of each backend server."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from hibiscusstile.gateway import enginerates, exchange

__all__ = [
    "InFlightRequest",
    "LoadTable",
    "PeerLoad",
    "ServerLoad",
]

# Share of an engine's cache memory assumed to hold idle prefixes; running
# requests take the rest.
_IDLE_PREFIX_SHARE = 0.6
_DEFAULT_CACHE_TOKENS = 100_000
# Weight of the newest observation in the moving average of the latency ratio.
_LATENCY_RATIO_WEIGHT = 0.15
_INITIAL_STREAM_DURATION_S = 0.4
_STREAM_DURATION_WEIGHT = 0.05
_MIN_LATENCY_RATIO = 0.5
# Shortest time for which a reported request is assumed to stay.
_MIN_DRAIN_S = 0.05
_MAX_LATENCY_RATIO = 8.0
# Cached parts that are remembered, of all servers and of one at least. One
# takes about 220 bytes. An engine's cache holds some hundred parts.
_MAX_CACHED_PARTS = 32_768
_MIN_CACHED_PARTS = 256


@dataclasses.dataclass(slots=True)
class InFlightRequest:
    """A request in flight at one server.

    Attributes:
        prefill_tokens: Prompt tokens that the engine has to compute.
        memory_tokens: Cache memory that the request occupies, in tokens.
        sent_s: Send time on the monotonic clock.
        expected_s: Expected time from `sent_s` to the first event.
        work: What the engine has to do before the first event; None for plain
            services.
        started: Whether the first event has arrived.
        started_s: Arrival time of the first event on the monotonic clock.
    """

    prefill_tokens: int
    memory_tokens: int
    sent_s: float
    expected_s: float
    work: enginerates.FirstTokenWork | None = None
    started: bool = False
    started_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Load that another gateway process causes at a server.

    Attributes:
        running: Requests in flight.
        waiting_tokens: Prompt tokens of requests that have not started.
        expires_s: When the report expires, on the monotonic clock.
        reported_s: When it arrived.
    """

    running: int
    waiting_tokens: int
    expires_s: float
    reported_s: float = 0.0


class ServerLoad:
    """Load of one server and the prompt parts that its cache should hold.

    Requests in flight are those of this process; loads of other processes come
    from their notices.
    """

    def __init__(self) -> None:
        self._max_cached_tokens = _DEFAULT_CACHE_TOKENS * _IDLE_PREFIX_SHARE
        self._in_flight: dict[int, InFlightRequest] = {}
        self._last_activity_s = 0.0
        self._peer_loads: dict[str, PeerLoad] = {}
        self._cached_parts: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        self._max_cached_parts = _MAX_CACHED_PARTS
        self._latency_ratio = 1.0
        self._mean_stream_duration_s = _INITIAL_STREAM_DURATION_S
        self._mean_flight_s = _INITIAL_STREAM_DURATION_S

    @property
    def running(self) -> int:
        """Number of this process's requests in flight."""
        return len(self._in_flight)

    def peer_running(self, now_s: float) -> int:
        """Returns the number of other processes' requests in flight."""
        return sum(
            each.running
            for each in self._peer_loads.values()
            if now_s < each.expires_s
        )

    def peer_waiting_tokens(self, now_s: float) -> int:
        """Returns the prompt tokens of other processes' waiting requests."""
        return sum(
            each.waiting_tokens
            for each in self._peer_loads.values()
            if now_s < each.expires_s
        )

    def probable_peer_load(
        self, now_s: float, prefill_tokens_per_s: float
    ) -> PeerLoad:
        """Returns what probably remains of the load that peers reported.

        Requests that take a time D and were in flight at the time of a report
        are spread evenly over their age, so that the share 1 - age/D remains.

        Args:
            now_s: Time on the monotonic clock.
            prefill_tokens_per_s: Prompt tokens that the server prefills.
        """
        reports = [
            each for each in self._peer_loads.values() if now_s < each.expires_s
        ]
        waiting = sum(each.waiting_tokens for each in reports)
        drain_s = max(_MIN_DRAIN_S, waiting / prefill_tokens_per_s)
        running = remaining = 0.0
        for each in reports:
            age_s = now_s - each.reported_s
            running += each.running * max(0.0, 1 - age_s / self._mean_flight_s)
            remaining += each.waiting_tokens * max(0.0, 1 - age_s / drain_s)
        return PeerLoad(round(running), round(remaining), now_s, now_s)

    def note_peer_load(
        self, peer_id: str, peer_load: PeerLoad, now_s: float
    ) -> None:
        """Records the load that another process reports."""
        expired_ids = [
            expired_id
            for expired_id, each in self._peer_loads.items()
            if each.expires_s <= now_s
        ]
        for expired_id in expired_ids:
            del self._peer_loads[expired_id]
        self._peer_loads[peer_id] = peer_load

    def set_cache_tokens(self, cache_tokens: int) -> None:
        """Sets the size of the engine's cache memory, in tokens."""
        self._max_cached_tokens = cache_tokens * _IDLE_PREFIX_SHARE

    @property
    def cached_parts(self) -> int:
        """Number of cached parts that are remembered."""
        return len(self._cached_parts)

    def set_max_cached_parts(self, count: int) -> None:
        """Bounds the cached parts that are remembered, whatever their size."""
        self._max_cached_parts = count
        self._evict_oldest()

    @property
    def memory_tokens(self) -> int:
        """Cache memory that this process's requests occupy, in tokens."""
        return sum(
            request.memory_tokens for request in self._in_flight.values()
        )

    @property
    def latency_ratio(self) -> float:
        """Moving average of observed over expected time to first token."""
        return self._latency_ratio

    def overdue_s(self, now_s: float) -> float:
        """Returns for how long output of the server has been overdue.

        Negative while no output is due yet.

        The first event of a request is due after its expected time, not when
        the request is sent, as long prompts may queue behind each other.
        """
        if not self._in_flight:
            return 0.0
        due_s = min(
            request.started_s
            if request.started
            else request.sent_s + request.expected_s
            for request in self._in_flight.values()
        )
        return now_s - max(due_s, self._last_activity_s)

    def note_activity(self, now_s: float) -> None:
        """Records that the server has sent data."""
        self._last_activity_s = now_s

    @property
    def mean_stream_duration_s(self) -> float:
        """Average time from a request's first event to its end."""
        return self._mean_stream_duration_s

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens to prefill for this process's waiting requests.

        Ranks are not considered: an engine prefills admitted prompts in order
        of arrival and uses ranks only in its queue.
        """
        return sum(
            request.prefill_tokens
            for request in self._in_flight.values()
            if not request.started
        )

    def cached_tokens(
        self, salt: str, parts: tuple[exchange.PromptPart, ...]
    ) -> int:
        """Returns how many leading prompt tokens the engine should hold."""
        tokens = 0
        for part in parts:
            if (salt, part.part_id) not in self._cached_parts:
                break
            tokens += part.tokens
        return tokens

    def begin(
        self,
        request: InFlightRequest,
        salt: str,
        shared_parts: tuple[exchange.PromptPart, ...],
    ) -> None:
        """Adds a request that is being sent.

        Its shared prompt parts count as cached at once: later requests with the
        same prefix wait until they are (see `prefillcoalescing`).
        """
        self._in_flight[id(request)] = request
        for part in shared_parts:
            self._add_cached_part(salt, part.part_id, part.tokens)
        self._evict_oldest()

    def note_started(self, request: InFlightRequest, now_s: float) -> None:
        """Records the first event of a request."""
        if request.started:
            return
        request.started = True
        request.started_s = now_s
        if request.expected_s > 0:
            ratio = (now_s - request.sent_s) / request.expected_s
            ratio = min(_MAX_LATENCY_RATIO, max(_MIN_LATENCY_RATIO, ratio))
            self._latency_ratio += _LATENCY_RATIO_WEIGHT * (
                ratio - self._latency_ratio
            )

    def end(self, request: InFlightRequest, now_s: float) -> None:
        """Removes a finished or failed request."""
        self._in_flight.pop(id(request), None)
        if request.started:
            self._mean_flight_s += _STREAM_DURATION_WEIGHT * (
                max(_MIN_DRAIN_S, now_s - request.sent_s) - self._mean_flight_s
            )
            stream_duration_s = now_s - request.started_s
            self._mean_stream_duration_s += _STREAM_DURATION_WEIGHT * (
                stream_duration_s - self._mean_stream_duration_s
            )

    def note_cached_part(self, salt: str, part_id: str, tokens: int) -> None:
        """Records a prompt part that another process caused to be cached."""
        self._add_cached_part(salt, part_id, tokens)
        self._evict_oldest()

    def clear_cached_parts(self) -> None:
        """Records that the engine's cache was emptied."""
        self._cached_parts.clear()
        self._cached_tokens = 0

    def _add_cached_part(self, salt: str, part_id: str, tokens: int) -> None:
        key = (salt, part_id)
        if key not in self._cached_parts:
            self._cached_tokens += tokens
        self._cached_parts[key] = tokens
        self._cached_parts.move_to_end(key)

    def _evict_oldest(self) -> None:
        while self._cached_parts and (
            self._cached_tokens > self._max_cached_tokens
            or len(self._cached_parts) > self._max_cached_parts
        ):
            _, tokens = self._cached_parts.popitem(last=False)
            self._cached_tokens -= tokens


class LoadTable:
    """Load of every server, by server id."""

    def __init__(self) -> None:
        self._loads: dict[str, ServerLoad] = {}
        # Of one server; the servers divide those of all.
        self._max_cached_parts = _MIN_CACHED_PARTS

    def for_server(self, server_id: str) -> ServerLoad:
        """Returns the load of a server, creating it if needed."""
        load = self._loads.get(server_id)
        if load is None:
            load = self._loads[server_id] = ServerLoad()
            load.set_max_cached_parts(self._max_cached_parts)
        return load

    def items(self) -> Iterable[tuple[str, ServerLoad]]:
        """Returns all server ids with their load."""
        return self._loads.items()

    def keep_only(self, server_ids: set[str]) -> None:
        """Sets the listed servers.

        Unlisted servers are dropped once they have no requests in flight.
        """
        for server_id in list(self._loads):
            if server_id in server_ids or self._loads[server_id].running:
                continue
            del self._loads[server_id]
        self._max_cached_parts = max(
            _MIN_CACHED_PARTS, _MAX_CACHED_PARTS // max(1, len(server_ids))
        )
        for load in self._loads.values():
            load.set_max_cached_parts(self._max_cached_parts)
