"""Settings of a process, read from YAML and validated at start-up."""

from __future__ import annotations

import dataclasses
import datetime
import os
import pathlib
from typing import Annotated, Literal

import pydantic
import yaml

from hibiscusstile import logs, memory
from hibiscusstile.settingsfaults import (
    SettingsError,
    SettingsFault,
    list_faults,
)

__all__ = [
    "Address",
    "BackendSettings",
    "CommonSettings",
    "EntrySettings",
    "LoggingSettings",
    "PlatformSettings",
    "QueueSettings",
    "SecretSource",
    "ServiceSettings",
    "SidecarSettings",
    "StopSettings",
    "load_settings",
    "parse_settings",
]

_MIN_SECRET_BYTES = 16
_Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
_Name = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"),
]
_PositiveFloat = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class _SettingsModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Address(_SettingsModel):
    """An IP address and a TCP port."""

    host: pydantic.IPvAnyAddress
    port: _Port

    @property
    def host_text(self) -> str:
        """The IP address as text."""
        return str(self.host)


class SecretSource(_SettingsModel):
    """Source of a secret; exactly one of the two is set.

    Attributes:
        file: File that contains the secret.
        environment: Environment variable that contains the secret.
    """

    file: pathlib.Path | None = None
    environment: str | None = None

    @pydantic.model_validator(mode="after")
    def _check_one_source(self) -> SecretSource:
        if (self.file is None) == (self.environment is None):
            raise ValueError("give either 'file' or 'environment'")
        return self

    def read(self) -> bytes:
        """Returns the secret.

        Raises:
            SettingsError: The secret cannot be read or has under 16 bytes.
        """
        try:
            if self.file is not None:
                value = self.file.read_bytes().strip()
            else:
                value = os.environ[self.environment or ""].encode()
        except (OSError, KeyError):
            raise SettingsError(
                [SettingsFault("peer_secret", "the secret cannot be read")]
            ) from None
        if len(value) < _MIN_SECRET_BYTES:
            raise SettingsError(
                [
                    SettingsFault(
                        "peer_secret", "the secret must have 16 bytes or more"
                    )
                ]
            )
        return value


class ServiceSettings(_SettingsModel):
    """How to reach a platform service.

    Attributes:
        kind: Name of the client in the registry.
        url: Base URL of the service.
    """

    kind: str = "http"
    url: Annotated[str, pydantic.StringConstraints(pattern=r"^https?://\S+$")]


class PlatformSettings(_SettingsModel):
    """Services of the platform.

    Attributes:
        log: The log service.
        instance_list: The service that lists instances.
        log_retention_s: Minimum time for which the log keeps an entry. A
            value below the real retention causes more snapshots than needed;
            a value above it loses configuration records.
    """

    log: ServiceSettings
    instance_list: ServiceSettings
    log_retention_s: Annotated[float, pydantic.Field(ge=60, le=31_536_000)] = (
        172_800.0
    )

    @property
    def log_retention(self) -> datetime.timedelta:
        """Minimum time for which the log keeps an entry."""
        return datetime.timedelta(seconds=self.log_retention_s)


class LoggingSettings(_SettingsModel):
    """Format and level of the log."""

    format: logs.LogFormat = logs.LogFormat.KEY_VALUE
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class StopSettings(_SettingsModel):
    """Times of a graceful stop.

    Attributes:
        balancer_delay_s: Time between reporting "not ready" and closing the
            listener, for the load balancer to notice.
        deadline_s: Time after which unfinished requests are aborted.
    """

    balancer_delay_s: Annotated[float, pydantic.Field(ge=0)] = 3.0
    deadline_s: _PositiveFloat = 120.0

    @property
    def balancer_delay(self) -> datetime.timedelta:
        """Time between reporting "not ready" and closing the listener."""
        return datetime.timedelta(seconds=self.balancer_delay_s)

    @property
    def deadline(self) -> datetime.timedelta:
        """Time after which unfinished requests are aborted."""
        return datetime.timedelta(seconds=self.deadline_s)


class CommonSettings(_SettingsModel):
    """Settings that all roles have."""

    peer_id: _Name
    zone: _Name
    region: _Name
    operators: Address
    platform: PlatformSettings
    peer_secret: SecretSource
    logging: LoggingSettings = LoggingSettings()
    stop: StopSettings = StopSettings()


class LimitSettings(_SettingsModel):
    """Limits on what callers send.

    Attributes:
        body_bytes: Maximum size of a request body.
        image_bytes: Maximum size of an image.
        body_timeout_s: Time in which a body must arrive.
        concurrent_requests: Requests in progress.
        memory_mb: Memory at which the process is killed, in MB.
        max_fds: Descriptors that the process may have open.
    """

    body_bytes: Annotated[int, pydantic.Field(ge=1024, le=5_000_000)] = (
        4_000_000
    )
    image_bytes: Annotated[int, pydantic.Field(ge=1024, le=4_000_000)] = (
        2_000_000
    )
    body_timeout_s: _PositiveFloat = 10.0
    concurrent_requests: Annotated[int, pydantic.Field(ge=1)] = 2000
    memory_mb: Annotated[int, pydantic.Field(ge=100)] = memory.DEFAULT_MEMORY_MB
    max_fds: Annotated[int, pydantic.Field(ge=256)] = memory.DEFAULT_DESCRIPTORS


class EntrySettings(CommonSettings):
    """Settings of an entry instance.

    Attributes:
        role: Always `entry`.
        http: Address on which callers are served.
        seeds: Sidecars to connect to before the instance list is available.
        limits: Limits on what callers send.
        zone_delays_s: Round-trip time to other availability zones, by name.
        region_delays_s: Round-trip time to other regions, by name.
    """

    role: Literal["entry"]
    http: Address
    seeds: tuple[Address, ...] = ()
    limits: LimitSettings = LimitSettings()
    zone_delays_s: dict[str, float] = pydantic.Field(default_factory=dict)
    region_delays_s: dict[str, float] = pydantic.Field(default_factory=dict)


class BackendSettings(_SettingsModel):
    """The backend server beside a sidecar.

    Attributes:
        kind: Name in the registry of backend kinds.
        url: Base URL of the backend server.
        application: Application served, if the backend is a plain service.
    """

    kind: str
    url: Annotated[str, pydantic.StringConstraints(pattern=r"^https?://\S+$")]
    application: str = ""


class QueueSettings(_SettingsModel):
    """Limits of a sidecar's queue and of its running requests.

    Attributes:
        running: Limit of requests running at the backend server.
        running_tokens: Limit of tokens of the requests running at the engine.
        queued_tokens: Limit of tokens of the queued requests.
        queued_requests: Limit of queued requests.
        prefill_tokens_per_s: Prefill speed assumed until one is observed.
        prefill_ahead_tokens: Limit of prompt tokens sent to the engine and
            not yet computed; 0 for none.
        next_class_share: Fraction of the running slots and tokens that each
            class of requests may use, relative to the class before it.
        workspace_share: Fraction of the queue that one workspace may occupy
            in one rank.
        caller_share: Fraction of the queue that one caller may occupy in one
            rank.
    """

    running: Annotated[int, pydantic.Field(ge=1)] = 32
    running_tokens: Annotated[int, pydantic.Field(ge=1)] = 400_000
    queued_tokens: Annotated[int, pydantic.Field(ge=1)] = 2_000_000
    queued_requests: Annotated[int, pydantic.Field(ge=1)] = 1000
    prefill_tokens_per_s: _PositiveFloat = 20_000.0
    prefill_ahead_tokens: Annotated[int, pydantic.Field(ge=0)] = 4000
    next_class_share: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.85
    workspace_share: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.5
    caller_share: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.25


class SidecarSettings(CommonSettings):
    """Settings of a sidecar.

    Attributes:
        role: Always `sidecar`.
        peers: Address on which entry instances connect.
        backend: The backend server beside the sidecar.
        queue: Limits of the queue and of running requests.
    """

    role: Literal["sidecar"]
    peers: Address
    backend: BackendSettings
    queue: QueueSettings = QueueSettings()


_AnySettings = Annotated[
    EntrySettings | SidecarSettings, pydantic.Field(discriminator="role")
]
_SETTINGS_ADAPTER: pydantic.TypeAdapter[EntrySettings | SidecarSettings] = (
    pydantic.TypeAdapter(_AnySettings)
)


def parse_settings(text: str) -> EntrySettings | SidecarSettings:
    """Returns validated settings from YAML text.

    Raises:
        SettingsError: The text is not YAML, or settings are invalid.
    """
    try:
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(
            [SettingsFault("(file)", f"not YAML: {_join_lines(error)}")]
        ) from None
    try:
        return _SETTINGS_ADAPTER.validate_python(data)
    except pydantic.ValidationError as error:
        raise SettingsError(_strip_role_prefix(list_faults(error))) from None


def _strip_role_prefix(faults: list[SettingsFault]) -> list[SettingsFault]:
    """Removes the role with which pydantic prefixes paths in the union."""
    roles = [f"{name}." for name in ("entry", "sidecar")]
    return [
        dataclasses.replace(
            fault,
            path=next(
                (
                    fault.path.removeprefix(role)
                    for role in roles
                    if fault.path.startswith(role)
                ),
                fault.path,
            ),
        )
        for fault in faults
    ]


def load_settings(path: pathlib.Path) -> EntrySettings | SidecarSettings:
    """Returns validated settings from a YAML file.

    Raises:
        SettingsError: The file cannot be read, or settings are invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            [SettingsFault("(file)", f"cannot be read: {error}")]
        ) from None
    return parse_settings(text)


def _join_lines(error: Exception) -> str:
    return " ".join(str(error).split())
