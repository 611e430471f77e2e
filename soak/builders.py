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
    "SILENT_LAYOUT",
    "SILENT_WIDE_LAYOUT",
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
STREAM_EVENTS = {
    "question": 4,
    "dossier": 4,
    "report": 20,
    "essay": 4,
    "novel": 4,
}
ROUTE_TIMEOUTS_S = {
    "lookup": 4.0,
    "payment": 4.0,
    "question": 4.0,
    "dossier": 4.0,
    "report": 8.0,
    "statement": 5.0,
    "transfer": 5.0,
    "essay": 5.0,
    "novel": 5.0,
}
_PLAIN_SERVICE = "accounts"
_SLOW_PLAIN_SERVICE = "archives"
_REPEATABLE_ROUTES = ("lookup", "dossier", "statement", "novel")
_RESUMABLE_ROUTES = ("dossier", "novel")
_RUNNER_SLOTS = 8
# Share of the responses of a silent server that have a silence.
_SILENT_SHARE = 0.9
_MODEL = {"name": "m1"}


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerSpec:
    """One backend server.

    Attributes:
        service: Name of its service.
        events: Number of events in each stream.
        pace_s: Interval between two events.
        silence_s: Shortest and longest silence in a response, if it has any.
    """

    service: str
    events: int = 4
    pace_s: float = 0.02
    silence_s: tuple[float, float] | None = None

    @property
    def is_engine(self) -> bool:
        """Whether the server runs a model."""
        return self.service not in (_PLAIN_SERVICE, _SLOW_PLAIN_SERVICE)

    def options(self, server_id: str, seed: int) -> list[str]:
        """Returns the command-line options of the server.

        Args:
            server_id: Id of the server.
            seed: Seed of its silences.
        """
        options = ["--server-id", server_id]
        options += ["--pace-s", str(self.pace_s), "--events", str(self.events)]
        if self.silence_s is None:
            return ["--kind", "runner", *options]
        shortest_s, longest_s = self.silence_s
        return [
            *("--kind", "silent_runner", *options),
            *("--silence-seed", str(seed)),
            *("--silent-share", str(_SILENT_SHARE)),
            *("--min-silence-s", str(shortest_s)),
            *("--max-silence-s", str(longest_s)),
        ]


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

# With silences of up to 4.4 s, streams with a time limit of 5 s often ended at
# it at load average 25, which excuses them.
_SILENT_RUNNERS = (
    *(RunnerSpec("thinkers", 4, 0.05, (1.5, 3.9)),) * 2,
    RunnerSpec(_SLOW_PLAIN_SERVICE, silence_s=(1.5, 3.9)),
    RunnerSpec("writers", 20, 0.05, (2.0, 5.5)),
)
SILENT_LAYOUT = Layout(3, (RunnerSpec(_PLAIN_SERVICE), *_SILENT_RUNNERS))
SILENT_WIDE_LAYOUT = Layout(
    10, (RunnerSpec(_PLAIN_SERVICE), *_SILENT_RUNNERS * 3)
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


def server_entry(
    runner: RunnerSpec, address: str, **changes: Any
) -> dict[str, Any]:
    """Returns the service discovery entry of a backend server.

    Args:
        runner: The server.
        address: Its address.
        **changes: Fields to replace.
    """
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
        **changes,
    }


def configuration(version: int, layout: Layout) -> dict[str, Any]:
    """Returns a version of the configuration; all have the same content.

    It has the routes whose services have a server in the layout.
    """
    services = {
        runner.service: runner.is_engine
        for runner in sorted(
            layout.runners, key=lambda each: not each.is_engine
        )
    }
    routes = [
        _route("lookup", "idempotent", _PLAIN_SERVICE),
        _route("payment", "non_idempotent", _PLAIN_SERVICE),
        _route("question", "streaming", "engines"),
        _route("dossier", "streaming", "engines"),
        _route("report", "streaming", "writers"),
        _route("statement", "idempotent", _SLOW_PLAIN_SERVICE),
        _route("transfer", "non_idempotent", _SLOW_PLAIN_SERVICE),
        _route("essay", "streaming", "thinkers"),
        _route("novel", "streaming", "thinkers"),
    ]
    return {
        "version": version,
        "routes": [route for route in routes if route["service"] in services],
        "services": [
            _engine_service(name)
            if is_engine
            else {"name": name, "max_connections": 100}
            for name, is_engine in services.items()
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
        "attempts": 2 if name in _REPEATABLE_ROUTES else 1,
        "resumable": name in _RESUMABLE_ROUTES,
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
