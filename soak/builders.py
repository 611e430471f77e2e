"""Builders of a soak's layout, settings files and store entries."""

from __future__ import annotations

import dataclasses
from typing import Any

__all__ = [
    "API_KEY",
    "GRACE_S",
    "HOST",
    "MIXED_LAYOUT",
    "PLANNED_LAYOUT",
    "ROUTE_TIMEOUTS_S",
    "STREAM_EVENTS",
    "GatewayAddresses",
    "Layout",
    "RunnerSpec",
    "configuration",
    "gateway_settings",
    "server_entry",
]

HOST = "soak.example"
API_KEY = "soak-key"
# Time between the stop signal and the kill signal.
GRACE_S = 8.0
# Number of events in each response of a streaming route.
STREAM_EVENTS = {"question": 4, "dossier": 4, "report": 20}
ROUTE_TIMEOUTS_S = {
    "lookup": 4.0,
    "payment": 4.0,
    "question": 4.0,
    "dossier": 4.0,
    "report": 8.0,
}
_PLAIN_SERVICE = "accounts"
_RUNNER_SLOTS = 8
_MODEL = {"name": "m1"}


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerSpec:
    """One backend server.

    Attributes:
        service: Name of its service.
        events: Number of events in each stream.
        pace_s: Interval between two events.
    """

    service: str
    events: int = 4
    pace_s: float = 0.02

    @property
    def is_engine(self) -> bool:
        """Whether the server runs a model."""
        return self.service != _PLAIN_SERVICE


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The gateways and backend servers of a soak.

    Attributes:
        gateway_count: Number of gateways.
        runners: The backend servers.
    """

    gateway_count: int
    runners: tuple[RunnerSpec, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayAddresses:
    """Addresses of a gateway.

    Attributes:
        host: IP address.
        internal_port: Port for its peers.
        callers: Address for callers, as `ip:port`.
        ready: Address of the readiness check, as `ip:port`.
    """

    host: str
    internal_port: int
    callers: str
    ready: str


_SHORT_RUNNERS = (RunnerSpec("engines"), RunnerSpec(_PLAIN_SERVICE)) * 2
MIXED_LAYOUT = Layout(3, _SHORT_RUNNERS)
# Streams of the route "report" last 2 s or 4 s.
PLANNED_LAYOUT = Layout(
    4,
    (
        *_SHORT_RUNNERS,
        *(RunnerSpec("writers", 20, pace_s) for pace_s in (0.1, 0.2) * 2),
    ),
)


def gateway_settings(
    number: int, addresses: GatewayAddresses, store: str, **bounds: float
) -> str:
    """Returns the content of a gateway's settings file.

    Args:
        number: Number of the gateway.
        addresses: Its addresses.
        store: Address of the store.
        **bounds: Further bounds.
    """
    port = addresses.internal_port
    lines = [
        f'node = "gateway-{number}"',
        'zone = "z1"',
        f'ip = "{addresses.host}"',
        f"internal_ports = [{port}, {port}]",
        "[listen]",
        f'front = "{addresses.callers}"',
        f'ready = "{addresses.ready}"',
        "[platform]",
        f'address = "{store}"',
        "[bounds]",
        f"grace_s = {GRACE_S}",
        *(f"{name} = {value}" for name, value in bounds.items()),
    ]
    return "\n".join(lines) + "\n"


def server_entry(runner: RunnerSpec, address: str) -> dict[str, Any]:
    """Returns the service discovery entry of a backend server."""
    models = [{"name": "m1", "version": 1, "adapters": []}]
    return {
        "service": runner.service,
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slots": _RUNNER_SLOTS,
        "state": "ready",
        "cold_remaining_ms": 0,
        "models": models if runner.is_engine else [],
        "sequence": 1,
        "born": 1,
    }


def configuration(version: int, layout: Layout) -> dict[str, Any]:
    """Returns a version of the configuration; all have the same content.

    It has the routes whose services have a server in the layout.
    """
    engine_services = {
        runner.service: None for runner in layout.runners if runner.is_engine
    }
    routes = [
        _route("lookup", "idempotent", _PLAIN_SERVICE),
        _route("payment", "non_idempotent", _PLAIN_SERVICE),
        _route("question", "streaming", "engines"),
        _route("dossier", "streaming", "engines"),
        _route("report", "streaming", "writers"),
    ]
    return {
        "version": version,
        "routes": [
            route
            for route in routes
            if route["service"] in (*engine_services, _PLAIN_SERVICE)
        ],
        "services": [
            *(_engine_service(name) for name in engine_services),
            {"name": _PLAIN_SERVICE, "max_connections": 100},
        ],
        "tenants": [{"name": "soak", "api_keys": [API_KEY]}],
    }


def _route(name: str, kind: str, service: str) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": int(ROUTE_TIMEOUTS_S[name] * 1000),
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "attempts": 2 if name in ("lookup", "dossier") else 1,
        "resumable": name == "dossier",
    }


def _engine_service(name: str) -> dict[str, Any]:
    return {
        "name": name,
        "max_connections": 100,
        "engine": {
            "slots": _RUNNER_SLOTS,
            "kv_tokens": 100_000,
            "models": [_MODEL],
        },
    }
