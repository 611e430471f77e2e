"""Settings of a process: YAML, validated before anything starts."""

from __future__ import annotations

import dataclasses
import datetime
import os
import pathlib
from typing import Annotated, Literal

import pydantic
import yaml

from hibiscusstile import logs
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
    """A TCP address by IP."""

    host: pydantic.IPvAnyAddress
    port: _Port

    @property
    def host_text(self) -> str:
        """The IP address as text."""
        return str(self.host)


class SecretSource(_SettingsModel):
    """Where a secret comes from; exactly one of the two is given."""

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
            SettingsError: It is missing or shorter than 16 bytes.
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
                [SettingsFault("peer_secret", "the secret is under 16 bytes")]
            )
        return value


class ServiceSettings(_SettingsModel):
    """A platform service: the kind of its client, and its URL."""

    kind: str = "http"
    url: Annotated[str, pydantic.StringConstraints(pattern=r"^https?://\S+$")]


class PlatformSettings(_SettingsModel):
    """The platform's services.

    Attributes:
        log: The log service.
        instance_list: The list of instances.
        log_retention_s: Seconds that the log keeps an entry at least. A
            value below the real one costs more snapshots; a value above it
            loses configuration.
    """

    log: ServiceSettings
    instance_list: ServiceSettings
    log_retention_s: Annotated[float, pydantic.Field(ge=60, le=31_536_000)] = (
        172_800.0
    )

    @property
    def log_retention(self) -> datetime.timedelta:
        """Time that the log keeps an entry at least."""
        return datetime.timedelta(seconds=self.log_retention_s)


class LoggingSettings(_SettingsModel):
    """Form and level of the log."""

    format: logs.LogFormat = logs.LogFormat.KEY_VALUE
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class StopSettings(_SettingsModel):
    """Timing of a graceful stop.

    Attributes:
        balancer_delay_s: Seconds from "not ready" to the listener's close.
        deadline_s: Seconds after which what still runs is ended.
    """

    balancer_delay_s: Annotated[float, pydantic.Field(ge=0)] = 3.0
    deadline_s: _PositiveFloat = 120.0

    @property
    def balancer_delay(self) -> datetime.timedelta:
        """Time from "not ready" to the listener's close."""
        return datetime.timedelta(seconds=self.balancer_delay_s)

    @property
    def deadline(self) -> datetime.timedelta:
        """Time after which what still runs is ended."""
        return datetime.timedelta(seconds=self.deadline_s)


class CommonSettings(_SettingsModel):
    """What every role needs."""

    peer_id: _Name
    zone: _Name
    region: _Name
    operators: Address
    platform: PlatformSettings
    peer_secret: SecretSource
    logging: LoggingSettings = LoggingSettings()
    stop: StopSettings = StopSettings()


class LimitSettings(_SettingsModel):
    """Bounds of what a caller may send."""

    body_bytes: Annotated[int, pydantic.Field(ge=1024, le=5_000_000)] = (
        4_000_000
    )
    image_bytes: Annotated[int, pydantic.Field(ge=1024, le=4_000_000)] = (
        2_000_000
    )
    body_timeout_s: _PositiveFloat = 10.0
    concurrent_requests: Annotated[int, pydantic.Field(ge=1)] = 2000


class EntrySettings(CommonSettings):
    """Settings of an entry instance.

    Attributes:
        role: Always `entry`.
        http: Where callers connect.
        seeds: Sidecars to connect to before the instance list answers.
        limits: Bounds of what a caller may send.
        zone_delays_s: Seconds of round trip to other availability zones.
        region_delays_s: Seconds of round trip to other regions.
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
        url: Its base URL.
        application: Application that a plain service serves.
    """

    kind: str
    url: Annotated[str, pydantic.StringConstraints(pattern=r"^https?://\S+$")]
    application: str = ""


class QueueSettings(_SettingsModel):
    """Bounds of a sidecar's queue and of what runs at once.

    Attributes:
        running: Requests handed to the backend server at once.
        running_tokens: Tokens handed to the engine at once.
        queued_tokens: Tokens that may wait.
        queued_requests: Requests that may wait.
        prefill_tokens_per_s: The engine's speed before any was observed.
        prefill_ahead_tokens: Prompt tokens handed to an engine and not yet
            computed; 0 for no bound.
        next_class_share: Part of the running slots and tokens that each
            class of requests may fill, relative to the class before, 0 to 1.
        workspace_share: Part of the queue for one workspace in one rank.
        caller_share: Part of the queue for one caller in one rank.
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
        peers: Where entry instances connect.
        backend: The backend server beside it.
        queue: Bounds of its queue.
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
        SettingsError: With every fault found.
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
    """Drops the role that a tagged union puts before each path."""
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
        SettingsError: The file cannot be read or has faults.
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
