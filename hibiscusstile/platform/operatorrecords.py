"""Decoding of the records that operators write to the platform's store."""

from __future__ import annotations

import dataclasses
from typing import Literal

import pydantic

from hibiscusstile.gateway import routes
from hibiscusstile.platform import addresses, bounded, recorderrors

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_TOPIC",
    "RecordError",
    "VersionRecord",
    "decode_configuration",
    "decode_version",
    "is_version_key",
]

OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
_VERSION_PREFIX = "version/"


class RecordError(ValueError):
    """A record cannot be decoded."""


class _RecordModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")


class _Share(_RecordModel):
    service: bounded.Text
    weight: bounded.Weight = 1.0


class _Route(_RecordModel):
    name: bounded.Text = ""
    host: str
    path_prefix: str
    kind: str
    timeout_ms: bounded.Milliseconds
    target_latency_ms: bounded.Milliseconds
    priority: bounded.Rank = 5
    service: bounded.Text | None = None
    traffic_split: list[_Share] | None = None
    attempts: bounded.Count = 1
    allow_anonymous: bool = False
    resumable: bool = False
    gap_aim_ms: bounded.Milliseconds = 0


class _ModelName(_RecordModel):
    name: bounded.Text


class _Engine(_RecordModel):
    slots: bounded.Count
    kv_tokens: bounded.Count
    models: list[_ModelName] = []


class _Service(_RecordModel):
    name: bounded.Text
    # Absent for a KV cache store, since no requests are routed to it.
    max_connections: bounded.Count = 0
    engine: _Engine | None = None
    kv_store_addr: addresses.OptionalIpAddress = ""
    zone: bounded.Text = ""


class _Limits(_RecordModel):
    max_header_bytes: bounded.Count
    max_body_bytes: bounded.Count
    header_timeout_ms: bounded.Milliseconds
    idle_timeout_ms: bounded.Milliseconds


class _Tenant(_RecordModel):
    name: bounded.Text
    api_keys: list[str]
    priority: bounded.Rank | None = None
    isolated: bool = False
    rate_per_s: bounded.Rate | None = None
    burst: bounded.Rate | None = None
    unit: Literal["requests", "tokens"] | None = None
    plain_tokens: bounded.Count | None = None


class _Configuration(_RecordModel):
    version: bounded.Version
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


class _Version(_RecordModel):
    model: bounded.Text
    version: bounded.Version


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """A version of a model's weights that operators selected.

    Attributes:
        model: Name of the model.
        version: Version of the weights.
    """

    model: str
    version: int


def is_version_key(key: str) -> bool:
    """Returns whether a key belongs to a version record."""
    return key.startswith(_VERSION_PREFIX)


def decode_version(value: bytes) -> VersionRecord:
    """Decodes a version record.

    Raises:
        RecordError: The record is malformed.
    """
    try:
        parsed = _Version.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise RecordError(recorderrors.describe_first(error)) from None
    return VersionRecord(parsed.model, parsed.version)


def decode_configuration(value: bytes) -> routes.RoutingTable:
    """Decodes a configuration record.

    Raises:
        RecordError: The record is malformed.
    """
    try:
        parsed = _Configuration.model_validate_json(value)
        return _to_routing_table(parsed)
    except pydantic.ValidationError as error:
        raise RecordError(recorderrors.describe_first(error)) from None
    except ValueError as error:
        raise RecordError(str(error)) from None


def _to_routing_table(parsed: _Configuration) -> routes.RoutingTable:
    tenants = parsed.tenants or ()
    isolated = frozenset(each.name for each in tenants if each.isolated)
    workspaces_by_key = {
        key: routes.Workspace(
            tenant.name,
            tenant.priority,
            tenant.name in isolated,
            _to_allowance(tenant),
        )
        for tenant in tenants
        for key in tenant.api_keys
    }
    limits = routes.HttpLimits()
    if parsed.limits is not None:
        limits = routes.HttpLimits(
            header_bytes=parsed.limits.max_header_bytes,
            body_bytes=parsed.limits.max_body_bytes,
            header_timeout_s=parsed.limits.header_timeout_ms / 1000,
            idle_timeout_s=parsed.limits.idle_timeout_ms / 1000,
        )
    return routes.RoutingTable(
        version=parsed.version,
        routes=tuple(_to_route(each) for each in parsed.routes),
        services={each.name: _to_service(each) for each in parsed.services},
        workspaces_by_key=workspaces_by_key,
        keys_required=parsed.tenants is not None,
        limits=limits,
        isolated_workspaces=isolated,
    )


def _to_allowance(parsed: _Tenant) -> routes.Allowance | None:
    if not parsed.rate_per_s:
        return None
    return routes.Allowance(
        rate=parsed.rate_per_s,
        burst=parsed.burst or 0.0,
        in_tokens=parsed.unit == "tokens",
        plain_cost=float(parsed.plain_tokens or 0),
    )


def _to_route(parsed: _Route) -> routes.Route:
    if parsed.traffic_split:
        shares = tuple(
            routes.TrafficShare(each.service, each.weight)
            for each in parsed.traffic_split
        )
    else:
        shares = (routes.TrafficShare(parsed.service or "", 1.0),)
    return routes.Route(
        name=parsed.name,
        host=parsed.host.lower(),
        path_prefix=parsed.path_prefix,
        kind=routes.RequestKind(parsed.kind),
        timeout_s=parsed.timeout_ms / 1000,
        target_latency_s=parsed.target_latency_ms / 1000,
        rank=parsed.priority,
        shares=shares,
        max_runs=parsed.attempts,
        anonymous=parsed.allow_anonymous,
        resumable=parsed.resumable,
        event_gap_s=parsed.gap_aim_ms / 1000,
    )


def _to_service(parsed: _Service) -> routes.Service:
    engine = None
    if parsed.engine is not None:
        engine = routes.EngineProperties(
            slots=parsed.engine.slots,
            cache_tokens=parsed.engine.kv_tokens,
            models=tuple(each.name for each in parsed.engine.models),
        )
    prefix_store = None
    if parsed.kv_store_addr:
        prefix_store = routes.PrefixStore(parsed.kv_store_addr, parsed.zone)
    return routes.Service(
        parsed.name,
        parsed.max_connections,
        engine,
        prefix_store,
    )
