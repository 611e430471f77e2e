"""The operators' configuration, as the gateway uses it."""

from __future__ import annotations

import dataclasses
import enum
import functools
import hashlib
from collections.abc import Mapping

__all__ = [
    "Engine",
    "HttpLimits",
    "PrefixStore",
    "RequestKind",
    "Route",
    "RoutingTable",
    "Service",
    "TrafficShare",
    "Workspace",
]


class RequestKind(enum.Enum):
    """What may be done with a request more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficShare:
    """One part of a route's traffic split.

    Attributes:
        service: Where this part goes.
        weight: Its size, relative to the other parts.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without a port.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a request may take.
        target_s: Time in which an answer has its full value.
        rank: Rank of its requests, 0 first.
        shares: The services that its requests go to.
        max_servers: Backend servers that may run one request.
        anonymous: Whether requests need no key.
        resumable: Whether a stream may continue on another server.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_s: float
    rank: int
    shares: tuple[TrafficShare, ...]
    max_servers: int = 1
    anonymous: bool = False
    resumable: bool = False

    @property
    def retryable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAMING and self.resumable
        )

    def service_for(self, request_id: str) -> str:
        """Returns the service that a request goes to, empty for none.

        Every process chooses alike for the same request id.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        if total <= 0:
            return ""
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") / 2**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """What the model engines of a service have in common.

    Attributes:
        slots: Requests that an engine runs at the same time.
        cache_tokens: Tokens of KV cache memory.
        models: Names of the models served.
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixStore:
    """A store of KV cache that engines save to and fetch from.

    Attributes:
        address: IP address and port.
        zone: Its availability zone.
    """

    address: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and what its backend servers take.

    Attributes:
        name: Name of the service.
        max_connections: Connections that a server accepts from all callers;
            0 for no bound.
        engine: Set when the backend servers are model engines.
        prefix_store: Set when the service is a store of KV cache.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    prefix_store: PrefixStore | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace.

    Attributes:
        name: Name of the workspace.
        rank: Rank that replaces the routes', if any.
        isolated: Whether it shares no cached prefix with others.
    """

    name: str
    rank: int | None = None
    isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds on what a caller may send.

    Attributes:
        header_bytes: Size of a request's head.
        body_bytes: Size of a request's body.
        header_timeout_s: Time in which a head must have arrived.
        idle_timeout_s: Time that a connection may stay idle.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """One version of the configuration.

    Attributes:
        version: Versions of the configuration increase.
        routes: All routes.
        services: Services by name.
        workspaces: Workspaces by key.
        keys_required: Whether requests need a key at all.
        limits: Bounds on what callers send.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    keys_required: bool = False
    limits: HttpLimits = HttpLimits()

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path.

        Args:
            host: The Host header, possibly with a port.
            path: The path without its query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @functools.cached_property
    def prefix_stores(self) -> tuple[PrefixStore, ...]:
        """The stores of KV cache."""
        return tuple(
            service.prefix_store
            for service in self.services.values()
            if service.prefix_store is not None
        )

    @functools.cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda each: -len(each.path_prefix))
        return by_host
