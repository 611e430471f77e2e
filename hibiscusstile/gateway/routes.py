"""Routing table: the operators' configuration in decoded form."""

from __future__ import annotations

import dataclasses
import enum
import functools
import hashlib
from collections.abc import Mapping

__all__ = [
    "Allowance",
    "EngineProperties",
    "HttpLimits",
    "PrefixStore",
    "RequestKind",
    "Route",
    "RoutingTable",
    "Service",
    "TrafficShare",
    "Workspace",
]


_SHARED_SCOPE = "shared"
_SCOPE_DIGEST_BYTES = 8


class RequestKind(enum.Enum):
    """Kind of a route's requests; decides which failures allow a retry."""

    IDEMPOTENT = "idempotent"
    """May be sent again after any failure, including a 5xx response."""
    NON_IDEMPOTENT = "non_idempotent"
    """May be sent again only if no server may have run the request."""
    STREAMING = "streaming"
    """Like `NON_IDEMPOTENT`, unless the route is resumable."""


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficShare:
    """One part of a route's traffic split.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other parts.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without a port.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: Kind of the requests.
        timeout_s: Longest time that a request may take.
        target_latency_s: Target latency. The platform rates a later response
            lower.
        rank: Rank of its requests; 0 is served first.
        shares: Traffic split over services.
        max_runs: Maximum number of attempts that may run one request.
        anonymous: Whether callers may omit the API key.
        resumable: Whether a stream may continue on another server.
        event_gap_s: Longest time between two events of a stream that is still
            on time; 0 if not given.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    rank: int
    shares: tuple[TrafficShare, ...]
    max_runs: int = 1
    anonymous: bool = False
    resumable: bool = False
    event_gap_s: float = 0.0

    @property
    def retryable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAMING and self.resumable
        )

    def service_for(self, request_id: str) -> str:
        """Returns the name of the service that a request is sent to.

        Returns an empty string if the weights add up to 0. The result depends
        only on the request id, so all processes agree.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        if total <= 0:
            return ""
        data = request_id.encode(errors="surrogateescape")
        digest = hashlib.blake2b(data, digest_size=8).digest()
        point = int.from_bytes(digest, "big") / 2**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProperties:
    """Properties that all model engines of a service share.

    Attributes:
        slots: Requests that an engine runs concurrently.
        cache_tokens: Size of one engine's KV cache in tokens.
        models: Names of the models served.
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixStore:
    """A KV cache store, which holds the KV cache of prompt prefixes.

    Engines save to it and fetch from it.

    Attributes:
        address: IP address and port.
        zone: Its availability zone.
    """

    address: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and the limits of its backend servers.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one backend server accepts from all
            gateways together; 0 for no limit.
        engine: Set when the backend servers are model engines.
        prefix_store: Set when the service is a KV cache store.
    """

    name: str
    max_connections: int
    engine: EngineProperties | None = None
    prefix_store: PrefixStore | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What the requests of a workspace may cost, over all gateways.

    Attributes:
        rate: Cost per second; above 0.
        burst: Cost that may be added to this at once.
        in_tokens: Whether a request costs its tokens; otherwise it costs 1.
        plain_cost: Cost in tokens of a request that states none.
    """

    rate: float
    burst: float = 0.0
    in_tokens: bool = False
    plain_cost: float = 0.0

    def cost(self, tokens: int) -> float:
        """Returns the cost of a request.

        Args:
            tokens: Tokens of its prompt and at most of its output; 0 if the
                request does not state them.
        """
        if not self.in_tokens:
            return 1.0
        return tokens or self.plain_cost


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer of the platform.

    Attributes:
        name: Name of the workspace.
        rank: Rank that replaces the route's; None keeps the route's.
        isolated: Whether it must not share cached prefixes with others.
        allowance: What its requests may cost; None for no limit.
    """

    name: str
    rank: int | None = None
    isolated: bool = False
    allowance: Allowance | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on callers' requests and connections.

    The defaults apply when the configuration sets no limits.

    Attributes:
        header_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of a request body.
        header_timeout_s: Time in which the headers must arrive.
        idle_timeout_s: Maximum idle time of a connection.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """One version of the configuration.

    Attributes:
        version: Version number; later versions have higher numbers.
        routes: All routes.
        services: Services by name.
        workspaces_by_key: Workspaces by API key.
        keys_required: Whether requests need a valid API key, except on
            anonymous routes.
        limits: Limits on callers' requests.
        isolated_workspaces: Names of all isolated workspaces, also of those
            without keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces_by_key: Mapping[str, Workspace]
    keys_required: bool = False
    limits: HttpLimits = HttpLimits()
    isolated_workspaces: frozenset[str] = frozenset()

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix.

        Args:
            host: The Host header, possibly with a port.
            path: The path without its query.
        """
        hostname = host.rpartition(":")[0] if ":" in host else host
        for route in self._by_host.get(hostname.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @functools.cached_property
    def prefix_stores(self) -> tuple[PrefixStore, ...]:
        """All KV cache stores."""
        return tuple(
            service.prefix_store
            for service in self.services.values()
            if service.prefix_store is not None
        )

    @functools.cached_property
    def allowances(self) -> Mapping[str, Allowance]:
        """Allowances of the limited workspaces that have keys, by name."""
        return {
            workspace.name: workspace.allowance
            for workspace in self.workspaces_by_key.values()
            if workspace.allowance is not None
        }

    @functools.cached_property
    def mean_token_rate(self) -> float:
        """Mean rate of the workspaces limited in tokens; 1 if none is."""
        rates = [
            allowance.rate
            for allowance in self.allowances.values()
            if allowance.in_tokens
        ]
        return sum(rates) / len(rates) if rates else 1.0

    @functools.cached_property
    def shared_cache_scope(self) -> str:
        """Scope in which workspaces that are not isolated share prompt parts.

        Its name is a function of the isolated workspaces. So no part in it was
        made by one of these, whenever they became isolated and whatever
        processes know of earlier configurations.
        """
        if not self.isolated_workspaces:
            return _SHARED_SCOPE
        digest = hashlib.blake2b(digest_size=_SCOPE_DIGEST_BYTES)
        for name in sorted(self.isolated_workspaces):
            data = name.encode(errors="surrogateescape")
            digest.update(len(data).to_bytes(8, "big"))
            digest.update(data)
        return f"{_SHARED_SCOPE}-{digest.hexdigest()}"

    @functools.cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda each: -len(each.path_prefix))
        return by_host
