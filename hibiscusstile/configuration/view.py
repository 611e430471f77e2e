"""The configuration in force, as data classes that decisions read."""

from __future__ import annotations

import dataclasses
import datetime
from collections.abc import Mapping
from typing import Any

__all__ = [
    "ApiKey",
    "Application",
    "BackendKind",
    "ConfigurationView",
    "Model",
    "Rank",
    "RoutingPolicy",
    "Workspace",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ApiKey:
    """A caller's key, as a salted digest only.

    Attributes:
        key_id: Public part of the key, by which it is looked up.
        salt: Random salt, hexadecimal.
        digest: SHA-256 of salt and secret part, hexadecimal.
        caller: The caller whom the key stands for.
        rank: Rank of the key's work, empty for the policy's default.
    """

    key_id: str
    salt: str
    digest: str
    caller: str = ""
    rank: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A tenant.

    Attributes:
        name: Unique name.
        keys: The keys that open it.
        policy: Name of its routing policy record.
        models: Models it may use; empty for all.
        applications: Applications it may call; empty for all.
        weight: Its share within a rank, relative to the others.
    """

    name: str
    keys: tuple[ApiKey, ...]
    policy: str = "default"
    models: tuple[str, ...] = ()
    applications: tuple[str, ...] = ()
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A rank of work.

    Attributes:
        name: Unique name.
        level: Order of service; 0 is served first.
        share: Least share of served tokens kept for the rank in a flood.
        queue_time: How long work of the rank may wait before it expires.
        first_token_target: Target for the time to first token.
    """

    name: str
    level: int
    share: float
    queue_time: datetime.timedelta
    first_token_target: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """A routing policy record.

    Attributes:
        name: Unique name.
        algorithm: Name in the registry of policies.
        version: The record's own version number.
        options: The algorithm's options.
        default_rank: Rank of work whose key names none.
        split_algorithm: A second algorithm running side by side, or empty.
        split_share: Share of workspaces' requests given to it, 0 to 1.
        split_options: The second algorithm's options.
    """

    name: str
    algorithm: str
    version: int = 1
    options: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    default_rank: str = "routine"
    split_algorithm: str = ""
    split_share: float = 0.0
    split_options: Mapping[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model and the weights it is to run.

    Attributes:
        name: Unique name.
        weights_version: The version to be in force.
        adapters: Adapters that callers may name.
        context_tokens: The longest prompt and answer together.
        replicas: Runners wanted per region; 0 for a share by demand.
        weight_store: Name of the store the weights come from.
    """

    name: str
    weights_version: str
    adapters: tuple[str, ...] = ()
    context_tokens: int = 131072
    replicas: int = 0
    weight_store: str = "default"


@dataclasses.dataclass(frozen=True, slots=True)
class Application:
    """A plain service's application.

    Attributes:
        name: Unique name.
        idempotent_methods: HTTP methods whose calls may be repeated.
        call_timeout: How long one call may take.
        key_required_methods: Methods that need an `Idempotency-Key`.
    """

    name: str
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    call_timeout: datetime.timedelta = datetime.timedelta(seconds=30)
    key_required_methods: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class BackendKind:
    """What a kind of backend server promises.

    Attributes:
        name: Name in the registry of backend kinds.
        checks_fencing: Whether it refuses an order with an old number.
    """

    name: str
    checks_fencing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationView:
    """All effective records at one revision.

    Attributes:
        revision: Offset of the last accepted record; -1 for none.
        workspaces: By name.
        keys: Workspace and key by key id.
        ranks: By name.
        policies: By name.
        models: By name.
        applications: By name.
        backend_kinds: By name.
    """

    revision: int = -1
    workspaces: Mapping[str, Workspace] = dataclasses.field(
        default_factory=dict
    )
    keys: Mapping[str, tuple[Workspace, ApiKey]] = dataclasses.field(
        default_factory=dict
    )
    ranks: Mapping[str, Rank] = dataclasses.field(default_factory=dict)
    policies: Mapping[str, RoutingPolicy] = dataclasses.field(
        default_factory=dict
    )
    models: Mapping[str, Model] = dataclasses.field(default_factory=dict)
    applications: Mapping[str, Application] = dataclasses.field(
        default_factory=dict
    )
    backend_kinds: Mapping[str, BackendKind] = dataclasses.field(
        default_factory=dict
    )
