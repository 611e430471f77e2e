"""Data classes of the configuration in force."""

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
    """A caller's API key, stored as a salted digest.

    Attributes:
        key_id: Public part of the key, used for lookup.
        salt: Random salt, hexadecimal.
        digest: SHA-256 of salt and secret part, hexadecimal.
        caller: The caller that the key identifies.
        rank: Rank of the key's requests, empty for the policy's default.
    """

    key_id: str
    salt: str
    digest: str
    caller: str = ""
    rank: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer with its API keys and permissions.

    Attributes:
        name: Unique name.
        keys: API keys that give access to it.
        policy: Name of its routing policy record.
        models: Models it may use; empty for all.
        applications: Applications it may call; empty for all.
        weight: Its weight within a rank, relative to other workspaces.
    """

    name: str
    keys: tuple[ApiKey, ...]
    policy: str = "default"
    models: tuple[str, ...] = ()
    applications: tuple[str, ...] = ()
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A priority class of requests.

    Attributes:
        name: Unique name.
        level: Order of service; 0 is served first.
        share: Minimum share of served tokens that the rank gets under
            overload.
        queue_time: How long a request of the rank may wait before it expires.
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
        version: Version number that the record's author assigns.
        options: The algorithm's options.
        default_rank: Rank of requests whose key has none.
        split_algorithm: A second algorithm in a traffic split, or empty.
        split_share: Fraction of requests routed by it, 0 to 1.
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
    """A model and the version of its weights.

    Attributes:
        name: Unique name.
        weights_version: The version that runners should load.
        adapters: Adapters that callers may request.
        context_tokens: Maximum length of prompt and response together.
        replicas: Target number of runners per region; 0 to derive it from
            demand.
        weight_store: Name of the store that holds the weights.
    """

    name: str
    weights_version: str
    adapters: tuple[str, ...] = ()
    context_tokens: int = 131072
    replicas: int = 0
    weight_store: str = "default"


@dataclasses.dataclass(frozen=True, slots=True)
class Application:
    """An application that a plain service provides.

    Attributes:
        name: Unique name.
        idempotent_methods: HTTP methods whose calls may be retried.
        call_timeout: Time limit of one call.
        key_required_methods: Methods that require an `Idempotency-Key`.
    """

    name: str
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    call_timeout: datetime.timedelta = datetime.timedelta(seconds=30)
    key_required_methods: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class BackendKind:
    """Guarantees of a kind of backend server.

    Attributes:
        name: Name in the registry of backend kinds.
        checks_fencing: Whether it rejects orders with an outdated fencing
            number.
    """

    name: str
    checks_fencing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationView:
    """All records in force at one revision.

    Attributes:
        revision: Offset of the last accepted record; -1 for none.
        workspaces: By name.
        keys: Workspace and API key by key ID.
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
